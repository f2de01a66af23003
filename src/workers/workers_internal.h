/* Shared by the files of src/workers/ only: heartbeats and machines, forwarding and redirects,
 * autonomous zones, and the parts of a delegate. */
#ifndef BD_WORKERS_INTERNAL_H
#define BD_WORKERS_INTERNAL_H
#include "workers/workers.h"

struct bd_command_list;

/* In place of the index of a forwarding peer: the worker sent the heartbeat itself. */
#define BD_NOT_FORWARDED (-1)

/* Key prefix of controllers' records in the key-value store; the controller's name follows. */
#define BD_NODE_RECORD_PREFIX "p/"

/* If no status of a peer arrives for this long, the peer may be cut off from this controller. */
#define BD_PEER_STATUS_TIMEOUT_S 1.3

/* ---- heartbeats (heartbeats.c, heartbeat_tasks.c) ---- */

/* As leader: updates the machine from its heartbeat and, once the machine has seen a fencing token
 * of this term, its tasks too. Appends the resulting commands. False: the heartbeat is not newer
 * than the last one, and nothing changed. */
bool bd_heartbeat_apply(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat, struct bd_command_list *commands);
/* Reconciles the tasks in a heartbeat with the leader's records. The machine must have seen a
 * fencing token of this term. Appends the resulting commands. */
void bd_heartbeat_reconcile_tasks(struct bd_core *core, struct bd_machine *machine,
                                  const struct bd_heartbeat *heartbeat,
                                  struct bd_command_list *commands);

/* ---- health and partitions of machines (machine_health.c, partition_detection.c) ---- */

/* Updates the health of the machine and the retry pause of the job after a task's current attempt
 * has exited. */
void bd_machine_record_exit(struct bd_core *core, struct bd_machine *machine, struct bd_job *job,
                            enum bd_exit_reason reason);
/* Detects from two consecutive heartbeats whether replies reach the machine: a worker that receives
 * replies stays with the controller that sent them, and one that receives none goes to the next
 * controller. forwarding_peer: a peer's index or BD_NOT_FORWARDED. Called before the heartbeat is
 * applied. */
void bd_machine_detect_outbound_partition(struct bd_machine *machine,
                                          const struct bd_heartbeat *heartbeat,
                                          int forwarding_peer);

/* ---- forwarding (forwarding.c) ---- */

/* A copy that bd_heartbeat_free frees; never NULL. */
struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat);
/* Forwards the heartbeat to the leader, directly or through a third controller, if that is better
 * than to redirect its worker to the leader. True: the heartbeat was forwarded, and its worker is
 * answered when the leader's reply arrives or times out. */
bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len);
/* Forwards a heartbeat that came from another controller, which cannot reach the leader. Forwards
 * it only to the leader itself, so that no heartbeat circulates. False: this controller cannot
 * reach the leader either. */
bool bd_forward_relay(struct bd_core *core, struct bd_request_origin *request,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len);
/* Whether another controller leads, according to the leader's key. */
bool bd_forward_is_peer_leading(const struct bd_core *core);
/* Whether some other zone has no controller whose status arrived recently: that zone is likely cut
 * off from this one. */
bool bd_forward_is_other_zone_unreachable(const struct bd_core *core);
/* Whether the peer's status arrived recently and reports that the peer can reach the key-value
 * store and receives the leader's statuses. */
bool bd_forward_can_relay(const struct bd_core *core, int peer);

/* ---- redirects of workers (worker_redirects.c) ---- */

/* As follower: replies with a redirect to the leader, or to no particular controller if the leader
 * is not known. */
void bd_redirect_to_leader(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
/* As follower: records that the worker sent a heartbeat here. True: the worker came back soon after
 * it was redirected to the leader, so it cannot reach the leader. With more redirects it would go
 * back and forth until its lease expires. */
bool bd_redirect_record_return(struct bd_core *core, const char *machine);
/* As leader: the index of the controller of the machine's own zone to which the machine should be
 * redirected; -1: none. */
int bd_redirect_zone_peer(struct bd_core *core, struct bd_machine *machine,
                          const struct bd_heartbeat *heartbeat);

/* ---- autonomous zones (autonomous_zone.c) ---- */

/* As follower: whether this controller may renew the worker's lease since its zone is autonomous.
 */
bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
/* As follower: whether a worker should wait for a reply because the zone may be about to become
 * autonomous: a partition may just have begun. */
bool bd_autonomous_zone_may_begin(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
/* As leader: handles a controller's liveness record. wall_s: the time of day in the record. */
void bd_autonomous_zone_liveness_record_read(struct bd_core *core, const char *node, double wall_s);
/* As leader: sets for each zone, by index, whether controllers there may be renewing leases on
 * their own now. */
void bd_autonomous_zones_detect(struct bd_core *core, bool *may_be_autonomous_by_zone);
/* As leader: whether an autonomous zone may have renewed the machine's lease. A machine whose zone
 * is not known may be in any zone. */
bool bd_autonomous_zone_may_have_renewed(const struct bd_core *core,
                                         const struct bd_machine *machine,
                                         const bool *may_be_autonomous_by_zone);

/* ---- delegates (delegate.c, delegate_view.c) ---- */

/* As follower: replies to the heartbeat as a delegate or autonomous zone, or lets it wait until its
 * machine is in the delegate record or the zone is autonomous. False: neither. */
bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
/* As leader: lists the machine's delegate as not needed in the leader's key, and the delegate then
 * redirects its workers to the leader. Called when a worker in the delegate's record has sent its
 * heartbeat to the leader itself: the worker is not cut off, only the two controllers do not
 * receive each other's statuses. */
void bd_delegate_dismiss(struct bd_core *core, const struct bd_machine *machine);

/* ---- the delegate's record (delegate_record.c) ---- */

/* The served machine with that id; NULL: it is not in the record. */
struct bd_served_machine *bd_delegate_find(const struct bd_core *core, const char *id);
/* The served machine with that id, added if it is new. NULL: the record is full. */
struct bd_served_machine *bd_delegate_find_or_add(struct bd_core *core, const char *id);
/* Removes machines whose last heartbeat is older than the retention time of the record. */
void bd_delegate_expire_machines(struct bd_core *core);
/* Marks the machines in the last sent record as confirmed, so that they may be answered. */
void bd_delegate_confirm_machines(struct bd_core *core);
/* Emits the transaction that writes the record, or a read of the record's revision if that is not
 * known. */
void bd_delegate_write_record(struct bd_core *core);

/* ---- probes of a delegate (delegate_probes.c) ---- */

/* Whether to redirect the worker to the leader, to probe whether workers can reach it. */
bool bd_delegate_probe_leader(struct bd_core *core, const struct bd_heartbeat *heartbeat);

/* ---- release of memory ---- */

/* Frees the table of redirected workers. */
void bd_redirects_free(struct bd_core *core);
/* Frees a heartbeat and its tasks. */
void bd_heartbeat_free(struct bd_heartbeat *heartbeat);
/* Removes and frees all machines that this controller answered as a delegate. */
void bd_delegate_remove_all_machines(struct bd_core *core);
/* Frees the forwarded heartbeats that wait for the leader's reply. */
void bd_forwarded_heartbeats_free(struct bd_core *core);
#endif
