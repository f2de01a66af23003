/* Internal declarations of the drain package: the leader's view of the drains, and one group of
 * functions for each file. Owner thread only. Outside the package, only its tests include this
 * header. */
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

/* The range of a drain's machines that one record holds. */
struct bd_drain_part {
    uint32_t first_machine, nmachines;
    bool is_dirty;  /* must be written */
    bool is_urgent; /* must be written at once, as after a change of a stage */
    bool in_flight; /* in the transaction in flight */
    struct timespec last_written_at;
};

struct bd_drain {
    UT_hash_handle hh; /* key: record.name */
    struct bd_drain_record record;
    struct bd_drain_machine *machines;
    uint32_t nmachines;
    struct bd_drain_part *parts;
    bool is_loaded;      /* its machines' records were read */
    bool is_damaged;     /* its machines' records are missing or malformed: the drain is ignored */
    bool is_listed;      /* in the latest listing of the records */
    bool is_over;        /* all machines are final: the state `done` must be written */
    bool done_in_flight; /* the transaction in flight writes the state `done` */
    bool is_stale;       /* the store may have a newer record: `done` waits for a listing */
    /* Number of records deleted after record_retention_s: parts first, then the drain's record. */
    uint32_t records_deleted;
    uint32_t deletions_in_flight; /* in the transaction in flight */
};

/* The permit to stop tasks; stop_permit.c explains it. */
struct bd_stop_permit {
    bool is_counted;     /* the budgets were counted in this term */
    bool count_wanted;   /* tasks were stopped since the count, or could be if it were newer */
    uint32_t *remaining; /* by budget: tasks that may still be stopped on this count */
    struct timespec counted_at;
    struct timespec records_sent_at; /* when the newest read of the drains' records was sent */
};

struct bd_drains {
    const struct bd_drain_rules *rules;
    struct bd_drain *drains;          /* hash table by name, sorted by name */
    struct bd_drain_machine **owners; /* by machine index: the entry that controls the machine */
    uint32_t nowners;
    bool zones_conflict[BD_ZONES_MAX][BD_ZONES_MAX];
    bool needs_machine_records; /* the next read must include the machines' records */
    struct bd_stop_permit stop_permit;
    struct timespec leadership_acquired_at, next_tick_at, next_summary_at;
    struct timespec next_write_at; /* set after a rejected transaction: no writes before */
    uint32_t stop_requests;        /* requests to machines to stop tasks, in this term */
};

/* ---- entry.c: the machine entries of drains ---- */

/* Iterates over the entries of all open drains, except final entries, in the order of the drains'
 * names. */
struct bd_drain_iterator {
    struct bd_drain *drain; /* drain of the last returned entry */
    uint32_t next_machine;
};
struct bd_drain_iterator bd_drain_entries(const struct bd_core *core);
/* Returns the next entry, or NULL at the end. */
struct bd_drain_machine *bd_drain_next_entry(struct bd_drain_iterator *iterator);

/* Whether the drain is loaded and in progress: active or paused, and not over. */
bool bd_drain_is_open(const struct bd_drain *drain);
/* Whether the entry has reached its last stage. */
bool bd_drain_entry_is_final(const struct bd_drain_machine *entry);
/* Whether the machine is not in a step yet. */
bool bd_drain_entry_awaits_step(const struct bd_drain_machine *entry);

/* A stage, the reason for waiting, and the team whose budget is waited for. */
struct bd_entry_state {
    enum bd_drain_stage stage;
    enum bd_drain_wait wait;
    const char *team; /* empty: none */
};
/* Changes the entry, marks its record dirty and logs the change. Does nothing if the state is
 * unchanged. */
void bd_drain_set_entry_state(struct bd_core *core, struct bd_drain *drain,
                              struct bd_drain_machine *entry, struct bd_entry_state state);
/* Sets the stage to waiting, with the given reason. */
void bd_drain_set_entry_waiting(struct bd_core *core, struct bd_drain *drain,
                                struct bd_drain_machine *entry, enum bd_drain_wait wait,
                                const char *team);
/* Requests that the entry's record be written at once. */
void bd_drain_mark_entry_urgent(struct bd_drain *drain, const struct bd_drain_machine *entry);
/* Returns the machine, or NULL if it is not known in this term. */
struct bd_machine *bd_drain_find_machine(const struct bd_core *core, const char *id);

/* ---- machine_stage.c ---- */

/* Moves the entry to its next stage if its machine has reached it. */
void bd_drain_advance_entry(struct bd_core *core, struct bd_drain *drain,
                            struct bd_drain_machine *entry);

/* ---- ownership.c ---- */

/* Recomputes the machines' drain flags, and which entry controls each machine. */
void bd_drain_update_owners(struct bd_core *core);
/* Copies the controlling entries' states to the mirrors: other entries of the same machines. */
void bd_drain_update_mirrors(struct bd_core *core);
/* Clears the drain flags of all machines. */
void bd_drain_clear_machine_flags(struct bd_core *core);
/* Whether another drain's entry controls the machine. */
bool bd_drain_entry_is_mirror(const struct bd_core *core, const struct bd_drain_machine *entry);

/* ---- replacement.c ---- */

/* Requests replacements, and abandons those that were lost or did not come up in time. */
void bd_replacements_tick(struct bd_core *core);
bool bd_replacement_is_up(const struct bd_core *core, const struct bd_drain_machine *entry);
/* Whether the replacement runs a task, or no task is down that it could run. */
bool bd_replacement_has_work(const struct bd_core *core, const struct bd_drain_machine *entry);

/* ---- candidate.c: budgets that emptying a machine takes ---- */

/* How many tasks that count towards a budget stop if a machine is emptied. */
struct bd_budget_need {
    uint32_t budget, tasks;
    uint32_t largest_group; /* most tasks that stop together: a gang, or a single task */
};

#define BD_BUDGET_NEEDS_MAX 64 /* budgets of one machine's tasks */

/* A machine that the next step may include. */
struct bd_drain_candidate {
    struct bd_drain_machine *entry;
    struct bd_machine *machine;
    int zone;
    struct bd_budget_need needs[BD_BUDGET_NEEDS_MAX];
    uint32_t nneeds, tasks;
    struct bd_resources task_resources; /* sum over its tasks */
};

/* Computes the candidate's needs. False: there are more than BD_BUDGET_NEEDS_MAX. */
bool bd_drain_candidate_fill(struct bd_core *core, struct bd_drain_candidate *candidate);
/* Caps each need at the size of its budget, unless a group of tasks that stop together exceeds it.
 * A machine with a capped need is emptied gradually, and needs the whole budget to begin. */
void bd_drain_candidate_limit_needs(const struct bd_core *core,
                                    struct bd_drain_candidate *candidate);
/* Whether the task can be stopped: it may run, and no stop was requested. A task that is being
 * launched counts, because it may run already. */
bool bd_drain_can_stop_task(const struct bd_job *job, uint32_t task);
/* How many tasks stop together with this one. A gang stops as a whole, on all its machines. */
uint32_t bd_drain_stop_group_size(struct bd_core *core, const struct bd_job *job, uint32_t task);

/* ---- free_capacity.c ---- */

/* Free capacity of each machine that new tasks may be placed on. */
struct bd_bins {
    struct bd_bin {
        struct bd_machine *machine;
        struct bd_resources capacity;
    } * bins;
    uint32_t nbins;
};
/* Allocates the bins; bd_bins_free releases them. */
void bd_bins_fill(struct bd_core *core, struct bd_bins *bins);
void bd_bins_free(struct bd_bins *bins);
struct bd_resources bd_bins_total_capacity(const struct bd_bins *bins);
/* Reserves capacity for all of the candidate's tasks. False: a task does not fit, and nothing is
 * reserved. */
bool bd_bins_reserve(struct bd_bins *bins, const struct bd_drain_candidate *candidate);

/* ---- greedy.c, solver.c: choice of a step's machines ---- */

/* Limits the size of the solver's integer program. Further machines wait for a later step. */
#define BD_STEP_CANDIDATES_MAX 96u

/* The candidates and the constraints of the choice. */
struct bd_step_problem {
    const struct bd_drain_candidate *candidates;
    uint32_t ncandidates;
    const uint32_t *budgets_remaining; /* tasks that may still be stopped, by budget */
    uint32_t nbudgets;
    uint32_t max_machines;
    struct bd_resources capacity; /* free capacity in total */
    const bool (*zones_conflict)[BD_ZONES_MAX];
    bool zone_used[BD_ZONES_MAX]; /* a machine of the zone is in the step */
};

/* The constraint that keeps the candidate out of the step, or BD_DRAIN_WAIT_NOTHING. With
 * BD_DRAIN_WAIT_BUDGET, *budget is the index of the exhausted budget. */
enum bd_drain_wait bd_step_wait_reason(const struct bd_step_problem *problem,
                                       const struct bd_drain_candidate *candidate,
                                       uint32_t *budget);
/* Adds the candidate to the step: subtracts its needs from the problem. `budgets_remaining` is the
 * problem's array, here writable. */
void bd_step_add_candidate(struct bd_step_problem *problem, uint32_t *budgets_remaining,
                           const struct bd_drain_candidate *candidate);
/* Adds the indexes of the chosen candidates to an empty set. */
void bd_step_choose_greedy(const struct bd_step_problem *initial, roaring_bitmap_t *chosen);
/* Chooses by an integer program. False: no solution within the solver's limits; the contents of the
 * set are undefined. */
bool bd_step_choose_by_solver(const struct bd_step_problem *problem, roaring_bitmap_t *chosen);

/* ---- step_plan.c, step_stop.c ---- */

/* Chooses the machines of the next step, and sets the wait reason of all others. */
void bd_drain_plan_step(struct bd_core *core);
/* Stops the tasks of machines whose step is recorded, as far as the budgets still allow. */
void bd_drain_execute_step(struct bd_core *core);

/* ---- stop_permit.c ---- */

enum bd_stop_verdict {
    BD_STOP_ALLOWED,
    BD_STOP_EXCEEDS_BUDGET,
    BD_STOP_AWAITS_COUNT /* within the budget, but not within its last count */
};

/* Begins a term: until the first stop, the budgets alone limit the stops. */
void bd_stop_permit_begin_term(struct bd_core *core);
void bd_stop_permit_free(struct bd_stop_permit *permit);
/* The drains' records were read; sent_at: when the read was sent. */
void bd_stop_permit_records_read(struct bd_core *core, struct timespec sent_at);
/* Whether tasks of active drains may be stopped now, within the last count. */
bool bd_stop_permit_is_valid(const struct bd_core *core);
/* Counts the budgets anew if that is wanted and the last count was confirmed by a read. The count
 * is valid once the records were read again. */
void bd_stop_permit_renew(struct bd_core *core);
/* Whether the number of tasks may be stopped on account of the budget. */
enum bd_stop_verdict bd_stop_permit_check(struct bd_core *core, uint32_t budget, uint32_t tasks);
/* Takes stopped tasks off the count of the budget. */
void bd_stop_permit_use(struct bd_core *core, uint32_t budget, uint32_t tasks);

/* ---- record_load.c, record_write.c ---- */

/* Discards the leader's view; the stored records stay. */
void bd_drains_clear(struct bd_drains *drains);
/* Whether the drain is done or cancelled. */
bool bd_drain_record_has_ended(const struct bd_drain_record *record);

/* ---- summary_log.c ---- */

/* Logs the open drains and the budgets periodically. */
void bd_drain_log_summary(struct bd_core *core);
#endif
