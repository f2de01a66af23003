/* Who leads: the term and its lease, the leader's transaction and its outcome, failover, and how
 * long workers' leases may be renewed.
 *
 * Owns core->lead, core->role and what is known of the leader and the peers. Called by the runtime
 * for what the election, the key-value store and the peers say, and by core/ at each step. */
#ifndef BD_LEADERSHIP_H
#define BD_LEADERSHIP_H
#include "model/core_state.h"

/* ---- term (leadership.c) ---- */

/* Whether our term's lease surely stands, so that we may write and start. */
bool bd_leadership_lease_valid(const struct bd_core *core);
/* Whether we may answer workers as the leader, and so renew their leases. */
bool bd_leadership_may_reply(const struct bd_core *core);
/* Whether users and workers are served well here. */
bool bd_leadership_healthy(const struct bd_core *core);
/* The leader's key was read. Revision 0: nobody leads. sent: when the read was sent. */
void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent);
void bd_leadership_renewed(struct bd_core *core, uint64_t grant, struct timespec sent);
void bd_leadership_lost(struct bd_core *core);
/* Ends a term whose lease has expired, once a peer names a newer one. */
void bd_leadership_step_down(struct bd_core *core);
/* Ends the term if the records cannot be read here while a peer can read them. */
void bd_leadership_resign_if_reads_fail(struct bd_core *core);
/* heard: when the frame arrived, which may be some time before it is handled. kv_age_s: since the
 * store last answered the peer. status_sent_wall_s: by the peer's time of day. */
void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s, struct timespec heard);
/* The leader's counts of a job's tasks. */
void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running);

/* ---- failover (reconciliation.c) ---- */

/* The three parts of a failover, which bd_core_leadership_acquired calls in order: a new term
 * begins; receipts and intents are loaded and each task is classified; the lease counts as ours. */
void bd_leadership_begin_term(struct bd_core *core, const struct bd_acquisition *acquisition);
void bd_leadership_reconcile(struct bd_core *core, const struct bd_acquisition *acquisition);
void bd_leadership_start_serving(struct bd_core *core, const struct bd_acquisition *acquisition);

/* ---- the leader's transaction (commit_outcome.c; commit.h) ---- */

/* Its outcome is known. failed: the keys whose comparison failed. */
void bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed);

/* ---- fencing (fencing.c) ---- */

/* Wants a higher fencing token for direct launches without an answer, and for results that may not
 * be forgotten before. */
void bd_fencing_tick(struct bd_core *core);

/* ---- renewal deadline of workers' leases (lease_renewal.c) ---- */

#define BD_DELEGATE_FRESH_S                                                                        \
    1.5 /* a delegate answers so long after its record was last confirmed                          \
         */

/* Seconds after the sending of the last answered refresh in which leases may be renewed. */
double bd_renewal_window_s(const struct bd_settings *settings);
bool bd_within_renewal_window(const struct bd_core *core, struct timespec seen);
/* Whether a cancellation that we do not know of still ends in time if we answer now. */
bool bd_may_renew_leases(const struct bd_core *core);
bool bd_may_launch(const struct bd_core *core);
/* Until when the right by which a direct command was decided holds. */
struct timespec bd_command_deadline(const struct bd_core *core, bool launch);
#endif
