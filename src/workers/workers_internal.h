/* Shared by the files of this folder only. */
#ifndef BD_WORKERS_INTERNAL_H
#define BD_WORKERS_INTERNAL_H
#include "leadership/leadership.h"
#include "model/peers.h"
#include "workers/workers.h"

struct bd_command_list;

/* Where a heartbeat came from: a peer's index, or this, from the worker itself. */
#define BD_VIA_NO_PEER (-1)

#define AUTONOMOUS_AFTER_S 3.0 /* without a word from the key-value store */
#define LEADER_SILENT_S 1.3    /* unheard by the other controllers for so long it may be cut off */

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

/* ---- autonomous zones (autonomous_zone.c) ---- */

bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
bool bd_autonomous_zone_is_local(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
/* As leader: a controller's liveness record. at: its time of day. */
void bd_autonomous_zone_liveness_record(struct bd_core *core, const char *node, double at);
/* By zone: the last moment at which a controller there may have renewed leases on its own. */
void bd_autonomous_zone_leases(struct bd_core *core, struct timespec *until);
struct timespec bd_autonomous_zone_lease_until(const struct bd_core *core,
                                               const struct bd_machine *machine,
                                               const struct timespec *until);

struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat);
bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len);
bool bd_forward_relay(struct bd_core *core, struct bd_remote *q,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len);
void bd_forward_away(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat);
int bd_forward_redirect(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat);

bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
void bd_delegate_not_needed(struct bd_core *core, const struct bd_machine *machine);
#endif
