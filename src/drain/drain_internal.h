/* What the files of the drain package share: the leader's view of the drains, and one group of
 * functions for each file. Owner thread only; nobody else includes it but the package's own test.
 */
#ifndef BD_DRAIN_INTERNAL_H
#define BD_DRAIN_INTERNAL_H
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "model/resources.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <uthash.h>

struct bd_job;

/* ---- the leader's view ---- */

/* Machines whose stages are in one record. */
struct bd_drain_part {
    uint32_t from, n; /* of the drain's machines */
    bool is_dirty;    /* it is to be written; */
    bool is_urgent;   /* a stage changed: at once. A change of a wait alone may be delayed */
    bool in_flight;   /* the transaction in flight holds it */
    struct timespec written;
};

struct bd_drain {
    UT_hash_handle hh; /* by the record's name */
    struct bd_drain_record record;
    struct bd_drain_machine *machines;
    uint32_t nmachines;
    struct bd_drain_part *parts;
    bool is_loaded;      /* its machines are known */
    bool is_damaged;     /* its machines' records cannot be read: it is left alone */
    bool is_listed;      /* in the newest listing of the records */
    bool is_over;        /* all machines are final: its record is to become `done` */
    bool done_in_flight; /* ... by the transaction in flight */
    bool is_stale;       /* a newer record may exist: `done` is not written before a listing */
    uint32_t
        deleted; /* records that were deleted after record_retention_s: its parts, then its own */
    uint32_t delete_in_flight; /* deletions in the transaction in flight */
};

struct bd_drains {
    const struct bd_drain_rules *rules;
    struct bd_drain *drains;          /* hash by name, in the order of names */
    struct bd_drain_machine **owners; /* by machine index: the entry that drives the machine */
    uint32_t nowners;
    bool zones_conflict[BD_ZONES_MAX][BD_ZONES_MAX];
    bool wants_sets; /* the machines' records are to be read */
    struct timespec leadership_acquired, next_tick, next_summary;
    struct timespec next_write; /* earliest, after a transaction that was not applied */
    uint32_t stop_requests;     /* requests to machines to stop their tasks, in this term */
};

/* ---- entry.c: the machines of drains ---- */

/* Visits the machines of all open drains that are not final, in the order of the drains' names. */
struct bd_drain_iterator {
    struct bd_drain *drain; /* of the entry that was returned last */
    uint32_t next;
};
struct bd_drain_iterator bd_drain_entries(const struct bd_core *core);
/* The next entry, or NULL. */
struct bd_drain_machine *bd_drain_next_entry(struct bd_drain_iterator *iterator);

/* Whether the drain is under way: active or paused, with machines that are not final. */
bool bd_drain_is_open(const struct bd_drain *drain);
/* Whether nothing happens to the machine any more. */
bool bd_drain_entry_is_final(const struct bd_drain_machine *entry);
/* Whether no task of the machine has been stopped for a step so far. */
bool bd_drain_entry_awaits_step(const struct bd_drain_machine *entry);

/* A stage, what it waits for, and whose budget. */
struct bd_entry_state {
    enum bd_drain_stage stage;
    enum bd_drain_wait wait;
    const char *team; /* "": none */
};
/* Changes the entry, marks its record to be written, and logs it; nothing if it is the same. */
void bd_drain_set_entry_state(struct bd_core *core, struct bd_drain *drain,
                              struct bd_drain_machine *entry, struct bd_entry_state state);
/* The same for an entry that waits for a step. */
void bd_drain_set_entry_waiting(struct bd_core *core, struct bd_drain *drain,
                                struct bd_drain_machine *entry, enum bd_drain_wait wait,
                                const char *team);
/* The entry's record is to be written at once. */
void bd_drain_mark_entry_urgent(struct bd_drain *drain, const struct bd_drain_machine *entry);
/* The machine if it is known in this term, or NULL. */
struct bd_machine *bd_drain_find_machine(const struct bd_core *core, const char *id);

/* ---- machine_stage.c ---- */

/* Moves the entry to its next stage if its machine has got there. */
void bd_drain_advance_entry(struct bd_core *core, struct bd_drain *drain,
                            struct bd_drain_machine *entry);

/* ---- ownership.c ---- */

/* Sets the machines' flags, and which entry drives which machine. */
void bd_drain_update_owners(struct bd_core *core);
/* Copies the owners' stages to the other entries of the same machines. */
void bd_drain_update_mirrors(struct bd_core *core);
/* Clears the flags that drains set on machines. */
void bd_drain_clear_machine_flags(struct bd_core *core);
/* Whether another drain's entry drives the machine. */
bool bd_drain_entry_is_mirror(const struct bd_core *core, const struct bd_drain_machine *entry);

/* ---- replacement.c ---- */

/* Requests replacements, and abandons those that did not come up. */
void bd_replacements_tick(struct bd_core *core);
bool bd_replacement_is_up(const struct bd_core *core, const struct bd_drain_machine *entry);
/* Whether the replacement runs tasks, or no task is left that it could run. */
bool bd_replacement_has_work(const struct bd_core *core, const struct bd_drain_machine *entry);

/* ---- candidate.c: what emptying a machine takes ---- */

/* Tasks that a step would stop, by budget. */
struct bd_budget_need {
    uint32_t budget, tasks;
    uint32_t largest; /* number of tasks that can only stop together: a gang, or one task */
};

#define BD_NEEDS_MAX 64 /* budgets that one machine's tasks draw on */

/* A machine that could be in the next step. */
struct bd_drain_candidate {
    struct bd_drain_machine *entry;
    struct bd_machine *machine;
    int zone;
    struct bd_budget_need needs[BD_NEEDS_MAX];
    uint32_t nneeds, tasks;
    struct bd_resources task_resources; /* the sum of its tasks' resources */
};

/* Fills the candidate's needs. False: they are more than BD_NEEDS_MAX. */
bool bd_drain_candidate_fill(struct bd_core *core, struct bd_drain_candidate *candidate);
/* Limits each need to what its budget ever allows, unless tasks that stop together exceed it: such
 * a machine is emptied bit by bit, and needs the whole budget to begin. */
void bd_drain_candidate_limit_needs(const struct bd_core *core,
                                    struct bd_drain_candidate *candidate);
/* Whether stopping the task takes something down. A task that is being launched may run already,
 * and counts like one that does. */
bool bd_drain_can_stop_task(const struct bd_job *job, uint32_t task);
/* How many tasks stop with this one: a gang stops as a whole, wherever its tasks are. */
uint32_t bd_drain_count_stopped_with(struct bd_core *core, const struct bd_job *job, uint32_t task);

/* ---- free_capacity.c ---- */

/* Free capacity by machine, of those that new tasks may be placed on. */
struct bd_bins {
    struct bd_bin {
        struct bd_machine *machine;
        struct bd_resources capacity;
    } * bins;
    uint32_t n;
};
/* Allocates the bins; bd_bins_free releases them. */
void bd_bins_fill(struct bd_core *core, struct bd_bins *bins);
void bd_bins_free(struct bd_bins *bins);
struct bd_resources bd_bins_total(const struct bd_bins *bins);
/* Takes capacity for all of the candidate's tasks. False: one of them does not fit, and nothing is
 * taken. */
bool bd_bins_take(struct bd_bins *bins, const struct bd_drain_candidate *candidate);

/* ---- greedy.c, solver.c: the choice of a step's machines ---- */

#define BD_STEP_CANDIDATES_MAX 96u

/* The candidates, and what limits the choice. */
struct bd_step_problem {
    const struct bd_drain_candidate *candidates;
    uint32_t ncandidates;
    const uint32_t *budgets_remaining; /* by budget: tasks that may still go down */
    uint32_t nbudgets;
    uint32_t max_machines;
    struct bd_resources capacity; /* free, in sum */
    const bool (*zones_conflict)[BD_ZONES_MAX];
    bool zone_used[BD_ZONES_MAX]; /* a machine of the zone is in a step */
};

/* What keeps the candidate out of the step; *budget is set with BD_DRAIN_WAIT_BUDGET. */
enum bd_drain_wait bd_step_wait_reason(const struct bd_step_problem *problem,
                                       const struct bd_drain_candidate *candidate,
                                       uint32_t *budget);
/* Takes the candidate into the step: subtracts what it needs. `left` is the problem's. */
void bd_step_add_candidate(struct bd_step_problem *problem, uint32_t *left,
                           const struct bd_drain_candidate *candidate);
/* Adds the numbers of the chosen candidates to an empty set. */
void bd_step_choose_greedy(const struct bd_step_problem *given, roaring_bitmap_t *chosen);
/* The same by an integer program. False: no solution within the solver's limits; the set may hold
 * anything. */
bool bd_step_choose_by_solver(const struct bd_step_problem *problem, roaring_bitmap_t *chosen);

/* ---- step_plan.c, step_stop.c ---- */

/* Chooses the machines of the next step, and sets for all others what they wait for. */
void bd_drain_plan_step(struct bd_core *core);
/* Stops the tasks of machines whose step is on record, as far as the budgets still allow it. */
void bd_drain_execute_step(struct bd_core *core);

/* ---- record_load.c, record_write.c ---- */

/* Drops the leader's view; the records stay. */
void bd_drains_clear(struct bd_drains *drains);
/* Whether the drain is done or cancelled. */
bool bd_drain_record_has_ended(const struct bd_drain_record *record);

/* ---- summary_log.c ---- */

/* Logs the open drains and the budgets, once in a while. */
void bd_drain_log_summary(struct bd_core *core);
#endif
