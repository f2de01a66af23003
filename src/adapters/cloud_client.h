/* The cloud: machine types and the inventory for the owner thread, scale out and in, in order.
 *
 * One thread serves the owner's effects and keeps to the cloud's rate; the functions that list may
 * be called from any thread, with its own connection. Blocking. */
#ifndef BD_CLOUD_CLIENT_H
#define BD_CLOUD_CLIENT_H
#include "base/http.h"
#include "wire/wire.h"

struct bd_node;

/* Starts the thread. 0, or -1. */
int bd_cloud_start(struct bd_node *node);

/* All pages. False: a page was not had; *out is to be freed all the same. */
bool bd_cloud_list(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                   size_t *n);
/* One page, beginning after the last machine of *out, which grows. The answer's status. */
long bd_cloud_list_page(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                        size_t *n, bool *more);
#endif
