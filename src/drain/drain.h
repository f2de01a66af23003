/* Draining: machines are emptied and returned, or replaced, in steps, so that no team ever has more
 * of its tasks down at once by our doing than it declared. The one header of the package.
 *
 *   rules.c       the operators' declarations
 *   record.c      a drain's records in the state service
 *   request.c     what an administrator asks for, judged
 *   candidate.c   what emptying a machine would take: tasks by budget, and room
 *   steps.c       which machines go next; solver.c the same as an integer program
 *   plan.c        steps for the machines that there are: chosen, recorded, then told
 *   replacement.c new machines for those that are replaced
 *   drain.c       the life of a drain: the leader's tick, and what the autoscaler asks
 *   durable.c     its records: taken in by a leader, and written with its transactions
 *   admin_server.c, admin_store.c   the adapters: HTTP, and the records as administrators see them
 *
 * All but the adapters are part of the pure core. docs/draining.md says why it is built this way.
 * Every function that takes a core does nothing while draining is off (core->drains is NULL). */
#ifndef BD_DRAIN_H
#define BD_DRAIN_H
#include "brambledoor/settings.h"
#include "model/disruption_ledger.h"
#include "wire/wire.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct bd_core;
struct bd_job;
struct bd_machine;
struct bd_spec;
struct elt; /* of libsexp */

/* ---- declarations ---- */

enum bd_drain_planner { BD_PLANNER_GREEDY, BD_PLANNER_SOLVER };

/* Machines that administrators may name by a label; empty fields match all. */
struct bd_selection {
    char label[BD_NAME], type[BD_NAME], zone[BD_NAME];
};

/* Two zones that may not have machines in a step at the same time. */
struct bd_zones_apart {
    char one[BD_NAME], other[BD_NAME];
};

#define BD_BUDGET_RULES 256
#define BD_SELECTIONS 64

/* The `(draining ...)` entry of the operators' file. */
struct bd_drain_rules {
    char admin_addr[BD_NAME]; /* empty: no administration resources on this controller */
    uint32_t machines_in_step;
    double stop_s;    /* a task that was told to stop is given so long, then it is ended */
    double wait_s;    /* arrays, and gangs that never save, may take so long to end by themselves */
    double replace_s; /* a replacement that is not up after this is given up */
    double keep_s;    /* the records of a drain that is over are kept so long */
    enum bd_drain_planner planner;
    struct bd_budget_rule budgets[BD_BUDGET_RULES];
    uint32_t nbudgets;
    struct bd_selection selections[BD_SELECTIONS];
    uint32_t nselections;
    struct bd_zones_apart apart[BD_MAX_ZONES];
    uint32_t napart;
};

/* Where the declarations are wrong. */
struct bd_rules_fault {
    char field[BD_NAME], what[96];
};

/* Reads the entry's list of fields; NULL with *fault filled if one is wrong. The settings' teams
 * and zones must be known by then. The caller frees the result. */
struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_rules_fault *fault);

/* ---- drains ---- */

enum bd_drain_mode { BD_DRAIN_RETIRE, BD_DRAIN_REPLACE };
enum bd_drain_state { BD_DRAIN_ACTIVE, BD_DRAIN_PAUSED, BD_DRAIN_CALLED_OFF, BD_DRAIN_DONE };

/* How far a machine is. */
enum bd_drain_stage {
    BD_STAGE_CORDONED, /* gets nothing new */
    BD_STAGE_WAITING,  /* for what `bd_drain_wait` says */
    BD_STAGE_STOPPING, /* its tasks are told to stop */
    BD_STAGE_EMPTY,    /* nothing is on it any more */
    BD_STAGE_REPLACED, /* its replacement is up and has taken work */
    BD_STAGE_RETURNED, /* the cloud has it back */
    BD_STAGE_FAILED,   /* it went without us */
    BD_STAGES
};

enum bd_drain_wait {
    BD_DRAIN_WAIT_NOTHING,
    BD_DRAIN_WAIT_OLDER,       /* a controller is heard that does not know drains */
    BD_DRAIN_WAIT_PAUSED,      /* for `resume` */
    BD_DRAIN_WAIT_HEARTBEAT,   /* it is not heard */
    BD_DRAIN_WAIT_REPLACEMENT, /* its replacement is not up */
    BD_DRAIN_WAIT_TASKS,       /* its tasks may end by themselves for a while */
    BD_DRAIN_WAIT_BUDGET,      /* of the team that is named */
    BD_DRAIN_WAIT_STEP,        /* enough machines are in a step */
    BD_DRAIN_WAIT_ZONE,        /* a zone that may not drain together with its own is in a step */
    BD_DRAIN_WAIT_CAPACITY,    /* for what would move */
    BD_DRAIN_WAIT_WORK,        /* until its replacement has taken work */
    BD_DRAIN_WAITS
};

/* One machine of a drain. */
struct bd_drain_machine {
    char id[BD_LABEL];
    struct bd_machine *machine; /* as leader, once it is known; NULL: not yet */
    char replacement[BD_LABEL]; /* empty: none */
    char team[BD_NAME];         /* whose budget it waits for */
    enum bd_drain_stage stage, recorded, sent;
    enum bd_drain_wait wait;
    double since;           /* by the time of day: of this stage and wait */
    struct timespec asked;  /* when its replacement was asked for */
    struct timespec told;   /* when its tasks were told to stop; zero: not by us */
    uint32_t tries;         /* replacements that came to nothing */
    char request[BD_LABEL]; /* the provisioning request that is under way for it */
};

/* What an administrator asked for. */
struct bd_drain_request {
    char name[BD_LABEL];
    enum bd_drain_mode mode;
    char type[BD_NAME], zone[BD_NAME], selection[BD_NAME];
    bool all;         /* a selection that is all machines is meant so */
    json_t *machines; /* ids, or NULL */
};

/* A refusal: an HTTP status, and the field that is wrong. */
struct bd_drain_refusal {
    int status;
    char field[BD_NAME], why[96];
};

/* One drain's record, `d/NAME`. */
struct bd_drain_record {
    char name[BD_LABEL], set[BD_HASH]; /* set: names the records of its machines */
    enum bd_drain_mode mode;
    enum bd_drain_state state;
    double at, ended;
    uint32_t parts, machines;
    uint64_t revision;
    json_t *asked; /* the request as it came, for a repeated one */
};

#define BD_DRAIN_KEY "d/"     /* of drains, */
#define BD_DRAIN_SET "e/"     /* and of their machines: e/SET/PART */
#define BD_DRAIN_NAME_MAX 40u /* bytes */

/* ---- records (record.c) ---- */

const char *bd_drain_stage_name(enum bd_drain_stage stage);
const char *bd_drain_wait_name(enum bd_drain_wait wait);
const char *bd_drain_state_name(enum bd_drain_state state);
const char *bd_drain_mode_name(enum bd_drain_mode mode);
json_t *bd_drain_record_value(const struct bd_drain_record *record);
/* False: damaged. The request is borrowed from the value. */
bool bd_drain_record_read(const char *name, json_t *value, uint64_t revision,
                          struct bd_drain_record *out);
json_t *bd_drain_part_value(const struct bd_drain_machine *machines, uint32_t n);
/* Appends the part's machines to *machines; false: damaged. */
bool bd_drain_part_read(json_t *value, struct bd_drain_machine **machines, uint32_t *n);
/* How many machines a part may name, so that it fits a value however far they come. */
uint32_t bd_drain_part_machines(const struct bd_settings *settings, size_t kv_value_bytes_max,
                                size_t longest_id);
void bd_drain_part_key(char *key, size_t cap, const char *set, uint32_t part);

/* ---- requests (request.c) ---- */

/* False with the refusal: 400 and the field. The request's list is a reference to be dropped. */
bool bd_drain_request_read(json_t *o, struct bd_drain_request *out, struct bd_drain_refusal *no);
/* The machines that the request means, of those that the cloud lists: a list of ids, or NULL with
 * the refusal (404 unknown machine, 400 empty or all without saying so). */
json_t *bd_drain_request_machines(const struct bd_drain_request *request,
                                  const struct bd_drain_rules *rules,
                                  const struct bd_cloud_machine *listed, size_t n,
                                  struct bd_drain_refusal *no);

/* ---- the leader's part (drain.c, steps.c, replacement.c) ---- */

struct bd_drains;
struct bd_drains *bd_drains_new(const struct bd_settings *settings);
void bd_drains_free(struct bd_drains *drains);

/* The drains' records as the state service listed them, and their machines' if those were asked
 * for. */
void bd_drain_records(struct bd_core *core, json_t *records, json_t *sets);
/* Whether the machines' records are to be read with the next look. */
bool bd_drain_wants_sets(const struct bd_core *core);
/* A new term begins, after the tasks were classified; a term is over. */
void bd_drain_leadership_acquired(struct bd_core *core);
void bd_drain_leadership_lost(struct bd_core *core);
void bd_drain_tick(struct bd_core *core);

/* One write that the leader's next transaction is to hold. */
struct bd_drain_write {
    char key[BD_LABEL + 32];
    json_t *value;     /* NULL: the key is dropped */
    uint64_t revision; /* the key's, as a condition; 0: none */
    size_t bytes;
};
/* The next one, in order; the caller owns the value. False: none is due. */
bool bd_drain_next_write(struct bd_core *core, struct bd_drain_write *out);
/* The fate of the transaction that held them. */
void bd_drain_committed(struct bd_core *core, bool applied);

/* Whether the machine gets nothing new; is kept although it is idle; may go back now. */
bool bd_drain_cordoned(const struct bd_core *core, const struct bd_machine *machine);
bool bd_drain_keeps(const struct bd_core *core, const struct bd_machine *machine);
bool bd_drain_returns(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the autoscaler may empty the machine now as far as the budgets go. */
bool bd_drain_allows(struct bd_core *core, struct bd_machine *machine);
/* How far the drain's machine is, in this leader's view; false: no such entry. */
bool bd_drain_look(const struct bd_core *core, const char *drain, const char *machine,
                   struct bd_drain_machine *out);
/* The outcome of a provisioning request. */
void bd_drain_provisioned(struct bd_core *core, const char *request, char (*names)[BD_LABEL],
                          int n);
/* Calls `want` for the tasks of machines that wait for room elsewhere. */
void bd_drain_demand(struct bd_core *core, void (*want)(void *arg, const struct bd_spec *spec),
                     void *arg);

#endif
