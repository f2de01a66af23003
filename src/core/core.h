/* The pure state machine of one controller. Its inputs are events and the time; its outputs are
 * effects. It does no input or output, reads no clock and starts no threads, so that tests can
 * apply events in any order.
 *
 * Events are applied by functions of jobs/, leadership/, workers/, autoscaling/ and drain/ that are
 * named for the event, after bd_core_set_clock and before bd_core_tick. */
#ifndef BD_CORE_H
#define BD_CORE_H
#include "autoscaling/autoscaling.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "wire/wire_limits.h"
#include "workers/workers.h"

/* Borrows the settings and the log, which must outlive the core. Returns NULL if out of memory. */
struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log);
void bd_core_free(struct bd_core *core);
/* Sets the id after which the ids of forwarded heartbeats start. Peers return these ids in their
 * replies, so they must not start where those of the controller's last process did. */
void bd_core_seed_forwarding_ids(struct bd_core *core, uint64_t seed);
/* Sets the time of the next step. now: monotonic clock; wall_s: time of day in seconds. */
void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall_s);
/* Applies a read of the leader's key; see bd_leadership_leader_observed. dismissed: the key lists
 * this controller as a delegate that is not needed, since its workers' heartbeats reach the leader.
 */
void bd_core_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                             struct timespec sent_at, bool dismissed);
/* Starts a term (failover) after the lease was acquired and the replica became as new as the term.
 */
void bd_core_leadership_acquired(struct bd_core *core, const struct bd_acquisition *acquisition);
/* Applies the outcome of the leader's transaction; see bd_leader_txn_completed. */
void bd_core_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                                  uint64_t store_revision, json_t *failed);
/* Applies the result of a provisioning request. status: HTTP status, 0 if the cloud did not answer;
 * names: the names of the new machines, nnames of them. */
void bd_core_scale_out_completed(struct bd_core *core, const char *request, long status,
                                 char (*names)[BD_LABEL_BYTES], int nnames);
/* Runs a step: calls the modules in order. */
void bd_core_tick(struct bd_core *core);
/* When the next tick is due if no event arrives. */
struct timespec bd_core_next_tick_at(const struct bd_core *core);
#endif
