/* The operators' declarations for draining: the `(draining ...)` entry of their file.
 *
 * Owns no state: the settings hold the declarations for as long as the controller runs. The
 * runtime reads them; the drain package, the ledger of disruption and the administration server
 * use them. */
#ifndef BD_DRAIN_RULES_H
#define BD_DRAIN_RULES_H
#include "brambledoor/settings.h"
#include "model/disruption_ledger.h"
#include <stdint.h>

struct elt; /* an S-expression of libsexp */

/* How the machines of a step are chosen. */
enum bd_drain_planner {
    BD_PLANNER_GREEDY, /* those with the fewest tasks first */
    BD_PLANNER_SOLVER  /* an integer program, and the greedy choice where it fails */
};

/* Machines that administrators may name by a label; an empty type or zone matches all. */
struct bd_machine_selection {
    char label[BD_NAME_BYTES], type[BD_NAME_BYTES], zone[BD_NAME_BYTES];
};

/* Two zones that may not have machines in a step at the same time. */
struct bd_zone_conflict {
    char one[BD_NAME_BYTES], other[BD_NAME_BYTES];
};

#define BD_BUDGET_RULES_MAX 256
#define BD_SELECTIONS_MAX 64

struct bd_drain_rules {
    char admin_addr[BD_NAME_BYTES]; /* empty: no administration resources on this controller */
    uint32_t machines_in_step;
    double stop_timeout_s;        /* from the request to stop a task until it is stopped by force */
    double completion_timeout_s;  /* how long arrays, and gangs without checkpoints, may take to
                                     finish */
    double replacement_timeout_s; /* after which a replacement that is not up is abandoned */
    double record_retention_s;    /* how long the records of a finished drain are kept */
    enum bd_drain_planner planner;
    struct bd_budget_rule budgets[BD_BUDGET_RULES_MAX];
    uint32_t nbudgets;
    struct bd_machine_selection selections[BD_SELECTIONS_MAX];
    uint32_t nselections;
    struct bd_zone_conflict zone_conflicts[BD_ZONES_MAX];
    uint32_t nzone_conflicts;
};

/* Which field of the declarations is wrong, and why. */
struct bd_drain_rules_error {
    char field[BD_NAME_BYTES], message[96];
};

/* Reads the entry's list of fields. The settings' teams and zones must be known by then. The
 * caller frees the result with free(); NULL with *fault filled if a field is wrong. */
struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_drain_rules_error *fault);
#endif
