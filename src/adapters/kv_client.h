/* The client of the key-value store: blocking calls, and the threads that read the jobs' records,
 * commit the leader's transactions, and serve users.
 *
 * Owns no state except an HTTP client for each thread. State shared with the owner thread is in
 * struct bd_node. Started by the runtime; the election and the administration of drains use the
 * calls too. */
#ifndef BD_KV_CLIENT_H
#define BD_KV_CLIENT_H
#include "base/http.h"
#include <jansson.h>

struct bd_node;

/* Results of bd_kv_call: the HTTP statuses that the store's interface defines. */
enum bd_kv_status {
    BD_KV_NO_ANSWER = 0, /* or a malformed one: the request may have been executed */
    BD_KV_OK = 200,
    BD_KV_REJECTED = 400, /* malformed request, limit exceeded, or the grant has expired */
    BD_KV_NOT_FOUND = 404,
    BD_KV_CONFLICT = 409,  /* a comparison failed */
    BD_KV_COMPACTED = 410, /* the changes since the revision are no longer stored */
    BD_KV_RATE_EXCEEDED = 429,
    BD_KV_UNAVAILABLE = 503 /* not executed */
};

/* Makes one blocking request. path: includes the query; body: NULL for none. Returns an enum
 * bd_kv_status or another HTTP status. *out is the answer's JSON for any status, or NULL; the
 * caller releases it. */
long bd_kv_call(const struct bd_node *node, struct bd_http *http, const char *method,
                const char *path, const char *body, double timeout_s, json_t **out);
/* Reads all pairs whose keys have the prefix, in pages: for lists that fit into memory. NULL: a
 * call failed. The caller releases the result. */
json_t *bd_kv_list(const struct bd_node *node, struct bd_http *http, const char *prefix);

/* Starts the client's threads, once. Non-zero: a thread could not be started. */
int bd_kv_client_start(struct bd_node *node);
#endif
