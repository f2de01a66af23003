/* Workers: heartbeats, the commands in the replies to them, leases and lease expiry. Also how
 * workers are answered during network partitions: by forwarding, by a delegate, or by an autonomous
 * zone.
 *
 * Owns core->forwarding, core->delegate, core->delegates and the machines' incarnations and leases.
 * Called by the runtime for input from workers, peers and the key-value store, and by core/ at each
 * step. Times are of the monotonic clock unless a name says wall. */
#ifndef BD_WORKERS_H
#define BD_WORKERS_H
#include "model/core_state.h"

/* ---- heartbeats (heartbeats.c, direct_commands.c) ---- */

/* Handles a heartbeat that a worker sent to this controller. The effect that carries the reply,
 * emitted now or later, names request. body: the heartbeat as received, to be forwarded if another
 * controller leads. heartbeat, body: borrowed. */
void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len);
/* Handles a worker's heartbeat that a peer forwarded to this controller. peer: the peer's name.
 * id: the peer's number for the heartbeat, which the reply carries. */
void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len);
/* As leader: handles the outcome of a direct command: answered, failed or not sent. has_launch:
 * the command contained launches. status: the HTTP status, 0 without a response, or
 * BD_DIRECT_NOT_SENT. heartbeat: the machine's response, borrowed, or NULL. */
void bd_worker_direct_command_completed(struct bd_core *core, uint32_t machine_index,
                                        uint64_t fencing_token, bool has_launch, long status,
                                        const struct bd_heartbeat *heartbeat);

/* ---- health, partitions and leases of machines (machine_health.c, partition_detection.c,
 * lease_expiry.c) ---- */

/* As leader: quarantines the machine if several of its tasks run far longer than the finished tasks
 * of their jobs did. */
void bd_machine_detect_slow(struct bd_core *core, struct bd_machine *machine);
/* As leader: records whether so many machines do not receive replies that the leader's own link is
 * the likely cause. */
void bd_machines_detect_outbound_partition(struct bd_core *core);
/* As leader: records whether most of the machines that sent heartbeats to the leader directly
 * stopped doing so at the same time. Machines rarely fail together, so the leader is more likely
 * cut off from them. */
void bd_machines_detect_inbound_partition(struct bd_core *core);
/* As leader: releases the reservations of machines whose leases have expired. */
void bd_workers_expire_leases(struct bd_core *core);

/* ---- forwarding (forwarding.c, worker_redirects.c) ---- */

/* Handles the leader's reply to the heartbeat that this controller forwarded under the number id.
 * body: borrowed. */
void bd_forward_reply_received(struct bd_core *core, uint64_t id, int status, const char *body,
                               size_t len);
/* Whether another controller leads and its status arrived recently. */
bool bd_forward_is_leader_reachable(const struct bd_core *core);
/* Answers forwarded heartbeats without the leader once its reply has timed out. */
void bd_forward_tick(struct bd_core *core);

/* ---- delegates (delegate.c, delegate_record.c, delegate_probes.c, delegate_view.c) ---- */

/* As follower: answers or redirects waiting heartbeats where possible, and writes this controller's
 * delegate record when that is due. */
void bd_delegate_tick(struct bd_core *core);
/* Handles a read of the leader's key. dismissed: the key lists this controller among the delegates
 * that are not needed. revision: the key's. sent_at: when the read was sent. */
void bd_delegate_dismissal_observed(struct bd_core *core, bool dismissed, uint64_t revision,
                                    struct timespec sent_at);
/* As leader: the names of the delegates that are not needed, for the leader's key. The caller owns
 * the list. */
json_t *bd_delegates_list_dismissed(const struct bd_core *core);
/* Stops acting as a delegate, as when this controller becomes the leader: waiting heartbeats are
 * answered or redirected. */
void bd_delegate_stop(struct bd_core *core);
/* As leader: handles a read of all controllers' records. pairs: borrowed. sent_at: when the read
 * was sent. */
void bd_delegate_records_read(struct bd_core *core, json_t *pairs, struct timespec sent_at);
/* As follower: handles the outcome of writing this controller's delegate record, or of reading the
 * record's revision (status 0, and revision_known). status: the HTTP status, 0 without a response.
 * sent_at: when the request was sent. */
void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent_at, bool revision_known);

/* ---- autonomous zones (autonomous_zone.c) ---- */

/* Whether the key-value store has been unreachable for so long that this controller's zone may be
 * autonomous. */
bool bd_autonomous_zone_active(const struct bd_core *core);
/* Records that this controller sends its liveness record at sent_at. */
void bd_liveness_record_sent(struct bd_core *core, struct timespec sent_at);
/* Records that the liveness record that was sent at sent_at has been written. */
void bd_liveness_record_written(struct bd_core *core, struct timespec sent_at);

/* ---- release of memory ---- */

/* Frees waiting and forwarded heartbeats, the delegate's machines and the redirected workers. */
void bd_workers_free(struct bd_core *core);
#endif
