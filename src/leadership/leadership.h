/* Who leads: the term and its lease, the leader's transaction and its outcome, failover, and how
 * long workers' leases may be renewed. The face of the folder; commit.h is for those who fill the
 * leader's transaction.
 *
 *   leadership.c      the term's lease, and what ends a term
 *   peer_status.c     the other controllers' statuses, and what follows for who leads
 *   reconciliation.c  the beginning of a term: earlier terms' records are taken in
 *   commit.c          the leader's transaction, built with txn_builder.c
 *   commit_garbage.c  ... and the deletions that go with it
 *   commit_outcome.c  what follows when the store has answered it
 *   intent_record.c, receipt.c   the records that only the leader writes
 *   fencing.c         when the fencing token must rise
 *   lease_renewal.c   the renewal window, and until when commands may be sent
 *
 * Owns core->lead, core->role, and what is known of the leader and the peers. Called by the runtime
 * for what the election, the key-value store and the peers bring, by core/ at each step, and by
 * workers/ and scheduling/ for what a leader may do now. All of it is part of the pure core and
 * runs on the owner thread; moments are of the steady clock unless a name says wall. */
#ifndef BD_LEADERSHIP_H
#define BD_LEADERSHIP_H
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* ---- term (leadership.c) ---- */

/* Whether our term's lease is certainly valid, so that we may write and launch. */
bool bd_leadership_lease_valid(const struct bd_core *core);
/* Whether we may answer workers as the leader, and so renew their leases. It may outlast our own
 * lease by the renewal window, while no newer leader is known. */
bool bd_leadership_may_reply(const struct bd_core *core);
/* Whether users and workers are served well here: for the health resource and the peers. */
bool bd_leadership_is_healthy(const struct bd_core *core);
/* The leader's key was read. revision: its own, the leader's term; 0: nobody leads, and name is
 * empty. sent: when the read was sent. */
void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent);
/* The store renewed the grant; the request was sent at that moment. Other grants than our term's
 * are ignored. */
void bd_leadership_lease_renewed(struct bd_core *core, uint64_t grant, struct timespec sent);
/* Ends our term, if there is one: frees the leader's state and emits BD_EFFECT_STEP_DOWN. */
void bd_leadership_lost(struct bd_core *core);
/* Ends a term whose lease has expired, once a peer names a newer one: without the store, that is
 * how we learn who leads. */
void bd_leadership_step_down_if_superseded(struct bd_core *core);
/* Ends the term, and asks the election to end its grant, if our reads of the records have failed
 * for a while and another controller's have not: it could launch at once, we could not. */
void bd_leadership_resign_if_reads_fail(struct bd_core *core);

/* ---- peers (peer_status.c) ---- */

/* A peer's status. Names that are not in the settings are ignored. heard: when the frame arrived,
 * which may be some time before it is handled. kv_age_s: since the store last answered the peer.
 * status_sent_wall_s: by the peer's time of day. */
void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s, struct timespec heard);
/* The leader's counts of a job's tasks, which we show to users. Ignored while we lead. */
void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running);

/* ---- failover (reconciliation.c) ---- */

/* The three parts of a failover, which bd_core_leadership_acquired calls in order. What the
 * acquisition points to is only borrowed. */

/* A new term begins: its numbers are set, nothing is launched yet. */
void bd_leadership_begin_term(struct bd_core *core, const struct bd_acquisition *acquisition);
/* Receipts and intents are loaded, and each task that may run somewhere is marked as unknown. */
void bd_leadership_reconcile(struct bd_core *core, const struct bd_acquisition *acquisition);
/* The lease counts as ours. */
void bd_leadership_start_serving(struct bd_core *core, const struct bd_acquisition *acquisition);

/* ---- the leader's transaction (commit_outcome.c; see commit.h) ---- */

/* The outcome of the transaction in flight is known; ignored if there is none. store_revision: of
 * the commit. failed: an array of the keys whose comparison failed, or NULL; borrowed. False: it
 * was not ours to conclude, or the term is over. */
bool bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed);

/* ---- fencing (fencing.c) ---- */

/* Asks for a higher fencing token (token_raise_wanted) when a direct launch has no answer, and when
 * workers must store results until the token is higher. */
void bd_fencing_tick(struct bd_core *core);

/* ---- renewal of workers' leases (lease_renewal.c) ---- */

/* A delegate answers so long after its record was last confirmed. */
#define BD_DELEGATE_CONFIRMATION_VALID_S 1.5

/* Seconds after the sending of the last answered refresh in which leases may be renewed. A new
 * leader relies on it too: all controllers must come to the same figure. */
double bd_renewal_window_s(const struct bd_settings *settings);
/* Whether we are within that window after the moment; false if it is zero. */
bool bd_is_within_renewal_window(const struct bd_core *core, struct timespec seen);
/* Whether a cancellation that we do not know of still ends in time if we answer a worker now. */
bool bd_may_renew_worker_leases(const struct bd_core *core);
/* Whether launches may be sent. A launch is repeated until its task is seen, but not while the job
 * may have been cancelled for long. */
bool bd_may_launch(const struct bd_core *core);
/* Until when the right by which a direct command was decided holds. The command may wait in a queue
 * behind machines that do not answer; whoever sends it checks this again. */
struct timespec bd_command_deadline(const struct bd_core *core, bool launch);

/* ---- the end ---- */

/* Frees the term's intent records and the transaction under way. */
void bd_leadership_free(struct bd_core *core);
#endif
