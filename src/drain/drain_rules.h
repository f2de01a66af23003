/* The operators' declarations for draining: the `(draining ...)` entry of the operators' file.
 *
 * Owns no state: the settings own the declarations for the life of the process. The runtime reads
 * them; the drain package, the disruption ledger and the administration server use them. */
#ifndef BD_DRAIN_RULES_H
#define BD_DRAIN_RULES_H
#include "brambledoor/settings.h"
#include "model/disruption_ledger.h"
#include <stdint.h>

struct elt; /* an S-expression of libsexp */

/* How the machines of a step are chosen. */
enum bd_drain_planner {
    BD_PLANNER_GREEDY, /* machines with the fewest tasks first */
    BD_PLANNER_SOLVER  /* an integer program; greedy if the solver fails */
};

/* A labelled selection of machines for requests; an empty type or zone matches all. */
struct bd_machine_selection {
    char label[BD_NAME_BYTES], type[BD_NAME_BYTES], zone[BD_NAME_BYTES];
};

/* Two zones of which only one may have machines in a step at a time. */
struct bd_zone_conflict {
    char one[BD_NAME_BYTES], other[BD_NAME_BYTES];
};

#define BD_BUDGET_RULES_MAX 256
#define BD_SELECTIONS_MAX 64

struct bd_drain_rules {
    char admin_addr[BD_NAME_BYTES]; /* HOST:PORT; empty: no administration API */
    uint32_t machines_in_step;      /* maximum number in a step */
    double stop_timeout_s;          /* from the request to stop a task until a forced stop */
    /* From the drain's request; arrays, and gangs without checkpoints, may finish within it. */
    double completion_timeout_s;
    double replacement_timeout_s; /* from the request; a replacement not up then is abandoned */
    double record_retention_s;    /* from a drain's end until its records are deleted */
    enum bd_drain_planner planner;
    struct bd_budget_rule budgets[BD_BUDGET_RULES_MAX];
    uint32_t nbudgets;
    struct bd_machine_selection selections[BD_SELECTIONS_MAX];
    uint32_t nselections;
    struct bd_zone_conflict zone_conflicts[BD_ZONES_MAX];
    uint32_t nzone_conflicts;
};

/* The invalid field of the declarations, and what is wrong with it. */
struct bd_drain_rules_error {
    char field[BD_NAME_BYTES], message[96];
};

/* Reads the fields of the `(draining ...)` entry. The settings' teams and zones must have been read
 * before. The caller frees the result with free(). NULL with *error filled: a field is invalid. */
struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_drain_rules_error *error);
#endif
