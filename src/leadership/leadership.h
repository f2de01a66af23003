/* Leadership: the term and its lease, the leader's transaction and its outcome, failover, and how
 * long worker leases may be renewed. This is the public header of the folder; commit.h declares
 * what scheduling/ needs to fill the leader's transaction.
 *
 *   leadership.c      the term's lease, and the end of a term
 *   peer_status.c     the other controllers' statuses
 *   reconciliation.c  the start of a term: loads the records of earlier terms
 *   commit.c          the leader's transaction, built with txn_builder.c
 *   commit_garbage.c  the deletions in the leader's transaction
 *   commit_outcome.c  applies or reverts the leader's transaction once the store has answered
 *   intent_record.c, receipt.c   the records that only the leader writes
 *   fencing.c         when the fencing token must be raised
 *   lease_renewal.c   the renewal window, and the deadline of commands
 *
 * Owns core->lead, core->role, and the state of the leader and the peers as this controller knows
 * it. Called by the runtime for events of the election, the key-value store and the peers, by core/
 * at each tick, and by workers/ and drain/ to query what the leader may do now. All functions
 * are part of the pure core and run on the owner thread. Times are of the monotonic clock unless a
 * name says wall. */
#ifndef BD_LEADERSHIP_H
#define BD_LEADERSHIP_H
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* ---- term (leadership.c) ---- */

/* Whether this controller leads and its lease is valid even at the maximum clock drift. Only
 * then may it write to the store and launch tasks. */
bool bd_leadership_lease_valid(const struct bd_core *core);
/* Whether this controller may answer heartbeats as the leader, which renews the worker leases.
 * After its own lease has expired it may do so for the rest of the renewal window, while no peer
 * reports a newer term or fresher reads. */
bool bd_leadership_may_reply(const struct bd_core *core);
/* Whether users and workers are served well by this controller. Reported by the health resource and
 * to the peers. */
bool bd_leadership_is_healthy(const struct bd_core *core);
/* Records a read of the leader's key. revision: the key's revision, which is the leader's term; 0
 * if there is no leader, and name is then empty. sent_at: when the read request was sent. */
void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent_at);
/* Extends the lease after the store renewed the grant. sent_at: when the renewal request was sent.
 * Ignored if the grant is not that of this controller's term. */
void bd_leadership_lease_renewed(struct bd_core *core, uint64_t grant, struct timespec sent_at);
/* Ends the term if this controller leads: frees the leader's state and emits
 * BD_EFFECT_STEP_DOWN. */
void bd_leadership_lost(struct bd_core *core);
/* Ends the term if its lease has expired and a peer reports a newer term. While the store cannot be
 * read, the peers' statuses are the only way to learn who leads. */
void bd_leadership_step_down_if_superseded(struct bd_core *core);
/* Ends the term, and requests that the election revoke the grant, if this controller's reads of the
 * records have failed for several seconds while another controller's have not. The other controller
 * could launch tasks at once; this one cannot. */
void bd_leadership_resign_if_reads_fail(struct bd_core *core);

/* ---- peers (peer_status.c) ---- */

/* Records a peer's status. Names that are not in the settings are ignored. received_at: when the
 * frame arrived, which may be some time before it is handled. kv_age_s: seconds since the peer
 * sent its newest refresh that the store answered. status_sent_wall_s: when the status was sent, by
 * the peer's time of day.
 */
void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s,
                             struct timespec received_at);
/* Records the leader's counts of a job's tasks, which a follower shows to users. Ignored while this
 * controller leads. */
void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running);

/* ---- failover (reconciliation.c) ---- */

/* The three parts of a failover, which bd_core_leadership_acquired calls in order. The acquisition
 * and all that it points to are borrowed. */

/* Begins a new term: sets its number, grant and counters. Nothing is launched yet. */
void bd_leadership_begin_term(struct bd_core *core, const struct bd_acquisition *acquisition);
/* Loads the receipts and intents of earlier terms, and marks each task that may be running as
 * unknown. */
void bd_leadership_reconcile(struct bd_core *core, const struct bd_acquisition *acquisition);
/* Makes the term's lease valid from the newest renewal, and requests a scheduling cycle. */
void bd_leadership_start_serving(struct bd_core *core, const struct bd_acquisition *acquisition);

/* ---- the leader's transaction (commit_outcome.c; see commit.h) ---- */

/* Applies or reverts the transaction in flight, by its outcome. store_revision: the revision of the
 * commit. failed: an array of the keys whose comparison failed, or NULL; borrowed. Returns false if
 * no transaction is in flight, if this controller does not lead, or if the outcome ended the
 * term. */
bool bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed);

/* ---- fencing (fencing.c) ---- */

/* Requests a higher fencing token (lead.token_raise_wanted) when a direct launch was not answered
 * in time, or when workers have stored too many results, or some for too long, that they may delete
 * only after the token is raised. */
void bd_fencing_tick(struct bd_core *core);

/* ---- renewal of workers' leases (lease_renewal.c) ---- */

/* How long a delegate may answer heartbeats after it sent the last write of its record that
 * succeeded. */
#define BD_DELEGATE_CONFIRMATION_VALID_S 1.5

/* Length of the renewal window in seconds: worker leases may be renewed for this long after the
 * newest answered refresh was sent. A new leader relies on the window of the earlier one, so all
 * controllers must compute the same value. */
double bd_renewal_window_s(const struct bd_settings *settings);
/* Whether the renewal window that starts at window_start is still open; false if that time is
 * zero. */
bool bd_is_within_renewal_window(const struct bd_core *core, struct timespec window_start);
/* Whether worker leases may be renewed now: a cancellation that this controller has not read yet
 * would still end the job's tasks within the cancellation limit. */
bool bd_may_renew_worker_leases(const struct bd_core *core);
/* Whether launches may be sent: the lease is valid and the records were read recently. A launch is
 * repeated until its task is seen, but not on old records, since the job may have been cancelled
 * long before. */
bool bd_may_launch(const struct bd_core *core);
/* Until when a direct command that is decided now may be sent. The command may wait in a queue
 * behind machines that do not answer, so its sender checks the deadline again. */
struct timespec bd_command_deadline(const struct bd_core *core, bool is_launch);

/* ---- release of memory ---- */

/* Frees the term's intent records and the transaction in flight. */
void bd_leadership_free(struct bd_core *core);
#endif
