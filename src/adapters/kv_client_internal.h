/* Shared by the files of the key-value store's client: reading a page of a list, and the functions
 * of the threads. Each thread has its own HTTP client and runs as long as the process; it returns
 * only if there is no memory for the client. */
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

#define BD_KV_KEY_BYTES 256 /* of the last key of a list's page */
#define BD_KV_TIMEOUT_S 1.5
#define BD_KV_RETRY_S 0.25 /* pause after a failed call */

/* Reads one page of the pairs whose keys have the prefix, starting after the key `after` (empty:
 * from the first), which is set to the page's last key. *has_more: whether another page follows.
 * NULL: the call failed. The caller releases the page. */
json_t *bd_kv_list_page(const struct bd_node *node, struct bd_http *http, const char *prefix,
                        char *after, size_t after_capacity, bool *has_more);

/* Serves the queue's effects one by one, and frees each. Uses its own HTTP client, whose traffic is
 * counted as the given kind. Returns only if there is no memory for the client. */
void bd_kv_serve_queue(struct bd_node *node, struct bd_queue *queue, enum bd_traffic traffic,
                       void (*serve)(struct bd_node *node, struct bd_http *http,
                                     struct bd_effect *effect));

/* Reads the jobs' records and their changes; while this node leads, also the delegates' and the
 * drains' records (kv_reader.c). arg, here and below: the struct bd_node. */
void *bd_kv_reader_run(void *arg);
/* Commits the transactions of node->leader_txns, one at a time (kv_leader_writer.c). */
void *bd_kv_leader_writer_run(void *arg);
/* Commits the transactions of node->user_txns, for users and the delegate's record, and looks up
 * jobs (kv_user_writer.c). Several of these threads may run. */
void *bd_kv_user_writer_run(void *arg);
#endif
