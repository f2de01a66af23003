/* The cloud's client: reads machine types and the inventory for the owner thread, and carries out
 * its scale-out and scale-in effects in order.
 *
 * One thread, which lives as long as the process, does all that within the cloud's rate limit; it
 * alone owns the client's state. bd_cloud_list may be called from any thread with a connection of
 * its own; it blocks. Started by the runtime; drains' administration lists machines too. */
#ifndef BD_CLOUD_CLIENT_H
#define BD_CLOUD_CLIENT_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>

struct bd_http;
struct bd_node;

/* Starts the thread. 0, or -1: no memory or no thread could be had. */
int bd_cloud_start(struct bd_node *node);

/* Appends all machines of the inventory to *machines. A page that fails is asked for again a few
 * times. False: the list is incomplete. The caller frees *machines in any case. */
bool bd_cloud_list(const struct bd_node *node, struct bd_http *http,
                   struct bd_cloud_machine **machines, size_t *count);
#endif
