/* What the files of the key-value store's client share: a page of a list, and the threads' bodies.
 * Each thread has an HTTP connection of its own and runs as long as the process; it returns only if
 * it cannot have one. */
#ifndef BD_KV_CLIENT_INTERNAL_H
#define BD_KV_CLIENT_INTERNAL_H
#include "base/http.h"
#include "base/metrics.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

struct bd_effect;
struct bd_node;
struct bd_queue;

#define BD_KV_KEY_BYTES 256 /* of a key that a list goes on after */
#define BD_KV_TIMEOUT_S 1.5
#define BD_KV_RETRY_S 0.25 /* between a call that failed and the next */

/* One page of the prefix's pairs after the key `after`, which becomes the page's last key. *more:
 * whether another page follows. NULL: failed. The caller releases it. */
json_t *bd_kv_list_page(const struct bd_node *node, struct bd_http *http, const char *prefix,
                        char *after, size_t after_cap, bool *more);

/* Serves the queue's effects one by one, and frees each, on a connection of its own whose traffic
 * is counted as that kind. Returns only if there can be no connection. */
void bd_kv_serve_queue(struct bd_node *node, struct bd_queue *queue, enum bd_traffic traffic,
                       void (*serve)(struct bd_node *node, struct bd_http *http,
                                     struct bd_effect *effect));

/* Reads the jobs' records and their changes, and as leader the delegates' and the drains' records
 * (kv_reader.c). arg, here and below: the struct bd_node. */
void *bd_kv_reader_run(void *arg);
/* Commits the transactions of node->leader_txns, one after the other (kv_leader_writer.c). */
void *bd_kv_leader_writer_run(void *arg);
/* Commits the transactions of node->user_txns, for users and the delegate's record, and looks up
 * jobs (kv_user_writer.c). Several of these threads may run. */
void *bd_kv_user_writer_run(void *arg);
#endif
