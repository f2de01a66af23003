/* Shared by the files of src/workers/ only: heartbeats and machines, forwarding and redirects,
 * autonomous zones, and the parts of a delegate. */
#ifndef BD_WORKERS_INTERNAL_H
#define BD_WORKERS_INTERNAL_H
#include "workers/workers.h"

struct bd_command_list;

/* Where a heartbeat came from: a peer's index, or this, from the worker itself. */
#define BD_VIA_NO_PEER (-1)

/* A controller's records in the key-value store: this and its name. */
#define BD_NODE_RECORD_PREFIX "p/"

#define BD_PEER_SILENT_S 1.3 /* without a status: the peer may be cut off from us */

/* ---- heartbeats (heartbeats.c, heartbeat_tasks.c) ---- */

/* As leader: takes in what a heartbeat says of its machine and, once the machine has seen our term,
 * of its tasks. Appends the commands that follow. False: it is not newer, nothing changed. */
bool bd_heartbeat_apply(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat, struct bd_command_list *commands);
/* Reconciles the tasks of a heartbeat that has seen our term with our records. */
void bd_heartbeat_reconcile_tasks(struct bd_core *core, struct bd_machine *machine,
                                  const struct bd_heartbeat *heartbeat,
                                  struct bd_command_list *commands);

/* ---- health and partitions of machines (machine_health.c, partition_detection.c) ---- */

/* Records what the exit of a task's current attempt says of its machine and its job. */
void bd_machine_record_exit(struct bd_core *core, struct bd_machine *machine, struct bd_job *job,
                            enum bd_exit_reason reason);
/* A worker that receives replies stays with the controller that sent them, one that receives none
 * goes to the next: two heartbeats in a row show which. via: a peer's index or BD_VIA_NO_PEER.
 * Called before the heartbeat is applied. */
void bd_machine_detect_outbound_partition(struct bd_machine *machine,
                                          const struct bd_heartbeat *heartbeat, int via);

/* ---- forwarding (forwarding.c) ---- */

/* A copy that bd_heartbeat_free frees; never NULL. */
struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat);
/* Forwards the heartbeat to the leader, directly or by a third controller, if that is better than
 * to redirect its worker there. True: the leader's reply is passed on, or its time runs out. */
bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len);
/* Forwards a heartbeat of another controller, which does not hear the leader; only to the leader
 * itself, so that none circulates. False: we do not hear it either. */
bool bd_forward_relay(struct bd_core *core, struct bd_request_origin *request,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len);
/* Whether another controller leads, by the leader's key. */
bool bd_forward_other_leads(const struct bd_core *core);
/* Whether no controller of some other zone is heard: that zone is likely cut off from ours. */
bool bd_forward_is_zone_silent(const struct bd_core *core);
/* Whether the peer is in touch with the key-value store, the leader and us. */
bool bd_forward_can_relay(const struct bd_core *core, int peer);

/* ---- redirects of workers (worker_redirects.c) ---- */

/* As follower: replies with a redirect to the leader, where one is known. */
void bd_redirect_to_leader(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
/* As follower: the worker sent a heartbeat here. True: it came back soon after it was redirected to
 * the leader, which it cannot reach; it would go back and forth until its lease expires. */
bool bd_redirect_record_return(struct bd_core *core, const char *machine);
/* As leader: the controller of the machine's own zone that it should be redirected to; -1: none. */
int bd_redirect_zone_peer(struct bd_core *core, struct bd_machine *machine,
                          const struct bd_heartbeat *heartbeat);

/* ---- autonomous zones (autonomous_zone.c) ---- */

/* As follower: whether we may renew the worker's lease since our zone is autonomous. */
bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
/* As follower: whether it is worthwhile to let a worker wait, since the cut may just have begun. */
bool bd_autonomous_zone_may_begin(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
/* As leader: a controller's liveness record was read. wall_s: its time of day. */
void bd_autonomous_zone_liveness_record(struct bd_core *core, const char *node, double wall_s);
/* As leader: for each zone, by index, whether controllers there may be renewing leases on their own
 * now. */
void bd_autonomous_zones_detect(struct bd_core *core, bool *may_be_autonomous_by_zone);
/* As leader: whether the machine's lease may have been renewed so; if its zone is not known, it may
 * be in any. */
bool bd_autonomous_zone_may_have_renewed(const struct bd_core *core,
                                         const struct bd_machine *machine,
                                         const bool *may_be_autonomous_by_zone);

/* ---- delegates (delegate.c, delegate_view.c) ---- */

/* As follower: whether the heartbeat was answered, or will be once its machine is in our record or
 * the zone is autonomous. */
bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
/* As leader: a worker in a delegate's record sent its heartbeat here itself, so it is not cut off;
 * only the two controllers do not hear each other. Has the leader's key dismiss the delegate, which
 * then redirects its workers here. */
void bd_delegate_not_needed(struct bd_core *core, const struct bd_machine *machine);

/* ---- the delegate's record (delegate_record.c) ---- */

/* The served machine; NULL: it is not in our record. */
struct bd_served_machine *bd_delegate_find(const struct bd_core *core, const char *id);
/* ... added if it is new. NULL: the record is full. */
struct bd_served_machine *bd_delegate_find_or_add(struct bd_core *core, const char *id);
/* Removes machines that were not heard for longer than they stay in the record. */
void bd_delegate_expire_machines(struct bd_core *core);
/* The record was written: its machines may be answered. */
void bd_delegate_confirm_machines(struct bd_core *core);
/* Emits the transaction that writes the record, or first a read of its revision. */
void bd_delegate_write_record(struct bd_core *core);

/* ---- probes of a delegate (delegate_probes.c) ---- */

/* Whether the worker is to be redirected to the leader, to see if it can be reached. */
bool bd_delegate_probe_leader(struct bd_core *core, const struct bd_heartbeat *heartbeat);

/* Frees what is known of redirected workers. */
void bd_redirects_free(struct bd_core *core);
/* Frees a heartbeat and its tasks. */
void bd_heartbeat_free(struct bd_heartbeat *heartbeat);
/* Forgets all machines that we answered for the leader. */
void bd_delegate_forget(struct bd_core *core);
/* Frees the heartbeats that wait for the leader's reply. */
void bd_forwards_free(struct bd_core *core);
#endif
