/* The pure state machine of one controller: events and the time go in, effects come out. No input
 * or output, no clock and no threads live here, so that tests can play any order of events.
 *
 * Events go in through the functions of jobs/, leadership/, workers/, autoscaling/ and drain/ that
 * are named for what arrived, each after bd_core_set_clock and before bd_core_tick. */
#ifndef BD_CORE_H
#define BD_CORE_H
#include "autoscaling/autoscaling.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "wire/wire_limits.h"
#include "workers/workers.h"

/* The settings and the log must outlive it. NULL: no memory. */
struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log);
void bd_core_free(struct bd_core *core);
/* Where the numbers begin that peers send back to us: not where our last process's did. */
void bd_core_seed_forwarding_ids(struct bd_core *core, uint64_t seed);
/* now: the steady clock; wall: the time of day in seconds. */
void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall);
/* The key of the leader was read. dismissed: it hears the workers that we answer for it. */
void bd_core_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                             struct timespec sent, bool dismissed);
/* The lease was acquired, and the replica is as new as the term: failover. */
void bd_core_leadership_acquired(struct bd_core *core, const struct bd_acquisition *acquisition);
/* The outcome of the leader's transaction is known. failed: the keys whose comparison failed. */
void bd_core_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                                  uint64_t store_revision, json_t *failed);
/* The cloud answered a provisioning request. status: HTTP's, 0 without an answer; names: the n new
 * machines. */
void bd_core_scale_out_completed(struct bd_core *core, const char *request, long status,
                                 char (*names)[BD_LABEL_BYTES], int n);
/* The one step: calls the parts in order. */
void bd_core_tick(struct bd_core *core);
/* When the next step is due without an event. */
struct timespec bd_core_next_tick_at(const struct bd_core *core);
#endif
