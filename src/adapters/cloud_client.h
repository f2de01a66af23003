/* The client of the cloud's API: reads the machine types and the inventory for the owner thread,
 * and carries out the core's scale-out and scale-in effects in order.
 *
 * One thread, which lives as long as the process, makes these calls within the cloud's rate limit
 * and owns the client's state. bd_cloud_list_machines blocks; any thread with an HTTP client of its
 * own may call it. Started by the runtime; also used by the administration of drains. */
#ifndef BD_CLOUD_CLIENT_H
#define BD_CLOUD_CLIENT_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>

struct bd_http;
struct bd_node;

/* Starts the thread. 0, or -1: out of memory, or the thread cannot be started. */
int bd_cloud_start(struct bd_node *node);

/* Appends all machines of the inventory to *machines. A page that fails is retried a few times.
 * False: the list is incomplete. The caller frees *machines in either case. */
bool bd_cloud_list_machines(const struct bd_node *node, struct bd_http *http,
                            struct bd_cloud_machine **machines, size_t *count);
#endif
