/* Draining: machines are emptied and scaled in, or replaced, in steps, so that no team ever has
 * more of its tasks down at once by our doing than it declared.
 *
 * The face of the package. It owns the leader's view of the drains (`struct bd_drains`), which
 * core/ creates and advances, leadership/ writes and ends, and autoscaling/ queries.
 *
 *   drain_rules.h, rules*.c     the operators' declarations
 *   drain_record.h, record.c    a drain's records in the key-value store
 *   drain_request.h, request.c  an administrator's request
 *   drain.c                     creation, and the order of one tick
 *   entry.c                     the machines of drains, and changes of their stages
 *   machine_stage.c             how one machine goes from stage to stage
 *   ownership.c                 cordons, and which drain drives a machine that several name
 *   replacement.c               new machines in place of old ones
 *   candidate.c, free_capacity.c  what emptying a machine takes: budgets, and capacity elsewhere
 *   greedy.c, solver.c          the choice of a step's machines, in two ways
 *   step_plan.c, step_stop.c    a step is planned, and once it is on record its tasks are stopped
 *   record_load.c, record_write.c  the records as the leader reads and writes them
 *   queries.c                   queries of other packages
 *   summary_log.c               the summary in the log
 *
 * All of it belongs to the pure core. docs/draining.md says why it is built this way. Every
 * function that takes a core does nothing while draining is off (core->drains is NULL). */
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

struct bd_core;
struct bd_drains;
struct bd_machine;
struct bd_spec;

/* ---- lifetime and progress ---- */

/* The settings' declarations must outlive the result. NULL: out of memory. */
struct bd_drains *bd_drains_new(const struct bd_settings *settings);
void bd_drains_free(struct bd_drains *drains);

/* A new term begins, and reconciliation has classified the tasks. */
void bd_drain_leadership_acquired(struct bd_core *core);
void bd_drain_leadership_lost(struct bd_core *core);
/* Advances all drains, as leader with a valid lease. */
void bd_drain_tick(struct bd_core *core);

/* ---- records ---- */

/* Applies the drains' records as the store listed them. `sets`: their machines' records, or NULL
 * if those were not read. Both are borrowed. */
void bd_drain_apply_records(struct bd_core *core, json_t *records, json_t *sets);
/* Whether the next read is to include the machines' records. */
bool bd_drain_needs_machine_records(const struct bd_core *core);

/* One write for the leader's next transaction. */
struct bd_drain_write {
    char key[BD_LABEL_BYTES + 32];
    json_t *value;     /* NULL: the key is deleted */
    uint64_t revision; /* the key's, as a condition; 0: no condition */
    size_t bytes;      /* of the value, or an upper bound */
};
/* The next write that is due; the caller owns its value. False: none is due. */
bool bd_drain_next_write(struct bd_core *core, struct bd_drain_write *out);
/* The outcome of the transaction that held the writes. */
void bd_drain_txn_completed(struct bd_core *core, bool applied);

/* ---- queries ---- */

/* Whether the machine gets no new tasks because a drain names it. */
bool bd_drain_is_cordoned(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the machine is a replacement, which is not scaled in although it is idle. */
bool bd_drain_is_kept(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the machine's drain wants it scaled in now. */
bool bd_drain_wants_scale_in(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the disruption budgets allow consolidation to empty the machine now. */
bool bd_drain_budgets_allow(struct bd_core *core, struct bd_machine *machine);
/* Copies the leader's view of a drain's machine. False: the drain has no such machine. */
bool bd_drain_copy_entry(const struct bd_core *core, const char *drain, const char *machine,
                         struct bd_drain_machine *out);
/* Calls `want` with each task on machines that wait for free capacity elsewhere. */
void bd_drain_visit_demand(struct bd_core *core,
                           void (*want)(void *arg, const struct bd_spec *spec), void *arg);

/* The outcome of a provisioning request: the n machines that it made. */
void bd_drain_provisioning_completed(struct bd_core *core, const char *request,
                                     char (*names)[BD_LABEL_BYTES], int n);
#endif
