/* Draining: empties machines in steps, and scales them in or replaces them. The controller never
 * takes down more tasks of a team at once than the team's disruption budget allows.
 *
 * Public interface of the package, which owns the leader's view of the drains (`struct bd_drains`).
 * core/ creates and advances the view, leadership/ writes the drains' records and clears the view
 * at the end of the term, and autoscaling/ queries the view.
 *
 *   drain_rules.h, rules*.c        the operators' declarations
 *   drain_record.h, record.c       encoding of a drain's records in the key-value store
 *   drain_request.h, request.c     validation of an administrator's request
 *   drain.c                        lifetime of the leader's view, and the order of one tick
 *   entry.c                        iteration over machine entries, and changes of their stages
 *   machine_stage.c                stage transitions of one machine
 *   ownership.c                    cordons, and which drain controls a machine of several drains
 *   replacement.c                  provisioning of replacement machines
 *   candidate.c, free_capacity.c   budgets and free capacity that emptying a machine takes
 *   greedy.c, solver.c             the two algorithms that choose a step's machines
 *   step_plan.c                    planning of the next step
 *   step_stop.c                    stopping of a recorded step's tasks
 *   stop_permit.c                  proof that a drain is still active when its tasks are stopped
 *   record_load.c, record_write.c  reading and writing of the records by the leader
 *   queries.c                      queries by other packages
 *   summary_log.c                  periodic summary in the log
 *
 * The whole package belongs to the pure core. docs/draining.md gives the reasons for the design.
 * Every function that takes a core does nothing while draining is off (core->drains is NULL). */
#ifndef BD_DRAIN_H
#define BD_DRAIN_H
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "drain/drain_rules.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

struct bd_core;
struct bd_drains;
struct bd_machine;
struct bd_spec;

/* ---- lifetime and progress ---- */

/* The result borrows settings->draining, which must outlive it. NULL: out of memory. */
struct bd_drains *bd_drains_new(const struct bd_settings *settings);
void bd_drains_free(struct bd_drains *drains);

/* Begins a term. Reconciliation must have classified the tasks. */
void bd_drain_leadership_acquired(struct bd_core *core);
void bd_drain_leadership_lost(struct bd_core *core);
/* Advances all drains. Does nothing unless this controller is leader with a valid lease. */
void bd_drain_tick(struct bd_core *core);

/* ---- records ---- */

/* Applies the drains' records as the store listed them. `machine_records` is the listing of their
 * machines' records, or NULL if it was not read. Both are borrowed. sent_at: when the read of the
 * drains' records was sent. */
void bd_drain_apply_records(struct bd_core *core, json_t *records, json_t *machine_records,
                            struct timespec sent_at);
/* Whether the next read must include the machines' records. */
bool bd_drain_needs_machine_records(const struct bd_core *core);

/* One write for the leader's next transaction. */
struct bd_drain_write {
    char key[BD_LABEL_BYTES + 32];
    json_t *value;     /* NULL: the key is deleted */
    uint64_t revision; /* the key must have this revision; 0: no condition */
    size_t bytes;      /* size of the value, or an upper bound */
};
/* Returns the next write that is due; the caller owns out->value. False: no write is due. */
bool bd_drain_next_write(struct bd_core *core, struct bd_drain_write *out);
/* Reports the outcome of the transaction that held the writes. */
void bd_drain_txn_completed(struct bd_core *core, bool applied);

/* ---- queries ---- */

/* Whether the disruption budgets allow consolidation to empty the machine now. */
bool bd_drain_budgets_allow(struct bd_core *core, struct bd_machine *machine);
/* Copies the leader's view of a drain's machine. False: the drain has no such machine. */
bool bd_drain_copy_entry(const struct bd_core *core, const char *drain, const char *machine,
                         struct bd_drain_machine *out);
/* Calls `visit` with the spec of each task on the machines that wait for free capacity elsewhere,
 * but for no more machines than a step may have. */
void bd_drain_visit_demand(struct bd_core *core,
                           void (*visit)(void *arg, const struct bd_spec *spec), void *arg);

/* Reports the outcome of a provisioning request: the ids of the machines that it created. */
void bd_drain_provisioning_completed(struct bd_core *core, const char *request,
                                     char (*machine_ids)[BD_LABEL_BYTES], int nmachines);
#endif
