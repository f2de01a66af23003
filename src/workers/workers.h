/* Workers: their heartbeats and the commands that go back, leases and their expiry, and how workers
 * are answered through partitions, by forwarding, by a delegate or by an autonomous zone.
 *
 * Owns core->forwarding, core->delegate, core->delegates and the machines' incarnations and leases.
 * Called by the runtime for what workers, peers and the key-value store send, and by core/ at each
 * step. */
#ifndef BD_WORKERS_H
#define BD_WORKERS_H
#include "model/core_state.h"

/* ---- heartbeats (heartbeats.c, direct_commands.c) ---- */

/* A worker sent a heartbeat here itself. request: the effect of the reply carries it, now or later;
 * heartbeat, body: borrowed. body: the heartbeat as it came, to be forwarded if the leader is
 * elsewhere. */
void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len);
/* A peer forwarded a worker's heartbeat to us. peer: its name; id: the peer's number for it, which
 * the reply names. */
void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len);
/* As leader: a direct command was answered, failed, or was not sent. launch: launches were among
 * its commands; status: HTTP's, 0 without a response, or BD_DIRECT_NOT_SENT; heartbeat: the
 * machine's response, borrowed, or NULL. */
void bd_worker_direct_command_completed(struct bd_core *core, uint32_t machine_index,
                                        uint64_t fencing_token, bool launch, long status,
                                        const struct bd_heartbeat *heartbeat);

/* ---- health, partitions and leases of machines (machine_health.c, partition_detection.c,
 * lease_expiry.c) ---- */

/* As leader: quarantines the machine if several of its tasks run far longer than any others of
 * their jobs. */
void bd_machine_detect_slow(struct bd_core *core, struct bd_machine *machine);
/* As leader: whether so many machines do not receive our replies that our own link is to blame. */
void bd_machines_detect_outbound_partition(struct bd_core *core);
/* As leader: whether most of the machines that reported to us directly are silent at once. They do
 * not fail together; more likely we are cut off from them. */
void bd_machines_detect_inbound_partition(struct bd_core *core);
/* As leader: releases what machines with expired leases held. */
void bd_workers_expire_leases(struct bd_core *core);

/* ---- forwarding (forwarding.c, worker_redirects.c) ---- */

/* The leader replied to a heartbeat that we forwarded as number id. body: borrowed. */
void bd_forward_reply_received(struct bd_core *core, uint64_t id, int status, const char *body,
                               size_t len);
/* Whether another controller leads and we have heard it lately. */
bool bd_forward_is_leader_reachable(const struct bd_core *core);
/* Gives up forwarded heartbeats that the leader has not replied to in time. */
void bd_forward_tick(struct bd_core *core);

/* ---- delegates (delegate.c, delegate_record.c, delegate_probes.c, delegate_view.c) ---- */

/* As follower: settles heartbeats that wait, and writes our record when it is due. */
void bd_delegate_tick(struct bd_core *core);
/* The leader's key was read. dismissed: it names us among the delegates that are not needed;
 * revision: the key's; sent: when the read was sent. */
void bd_delegate_dismissal_observed(struct bd_core *core, bool dismissed, uint64_t revision,
                                    struct timespec sent);
/* As leader: the names of delegates that are not needed, for our key. The caller owns the list. */
json_t *bd_delegates_list_dismissed(const struct bd_core *core);
/* Ends our part as a delegate, as when we lead: heartbeats that wait are answered or redirected. */
void bd_delegate_stop(struct bd_core *core);
/* As leader: the controllers' records were read. pairs: borrowed; sent: when the read was sent. */
void bd_delegate_records_read(struct bd_core *core, json_t *pairs, struct timespec sent);
/* As follower: the outcome of writing our own record, or of reading its revision (status 0, and
 * revision_known). status: HTTP's, 0 without a response; sent: when the request was sent. */
void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent, bool revision_known);

/* ---- autonomous zones (autonomous_zone.c) ---- */

/* Whether we have lost the key-value store for so long that our zone may be autonomous. */
bool bd_autonomous_zone_active(const struct bd_core *core);
/* Our own liveness record is about to be sent, at that moment. */
void bd_liveness_record_sent(struct bd_core *core, struct timespec sent);
/* The liveness record that was sent at that moment was written. */
void bd_liveness_record_written(struct bd_core *core, struct timespec sent);

/* ---- the end ---- */

/* Frees what waits for replies and what is known of other controllers' workers. */
void bd_workers_free(struct bd_core *core);
#endif
