/* The client of the key-value store: calls for the threads that need them, and the threads that
 * read the jobs' records, commit the leader's transactions, and serve users.
 *
 * Owns no state but each thread's HTTP connection; what the owner thread and the threads share
 * is in struct bd_node. Started by the runtime; the calls are used by the election and by the
 * drains' administration too. */
#ifndef BD_KV_CLIENT_H
#define BD_KV_CLIENT_H
#include "base/http.h"
#include <jansson.h>

struct bd_node;

/* What bd_kv_call returns: the HTTP statuses that the store's interface gives a meaning. */
enum bd_kv_status {
    BD_KV_NO_ANSWER = 0, /* or a malformed one: the request may have been executed */
    BD_KV_OK = 200,
    BD_KV_REJECTED = 400, /* malformed, beyond a limit, or on a grant that has expired */
    BD_KV_NOT_FOUND = 404,
    BD_KV_CONFLICT = 409,  /* a comparison failed */
    BD_KV_COMPACTED = 410, /* the changes since the revision are not stored any more */
    BD_KV_RATE_EXCEEDED = 429,
    BD_KV_UNAVAILABLE = 503 /* not executed */
};

/* One blocking request. path: with its query; body: NULL for none; timeout_s: in seconds. Returns
 * an enum bd_kv_status or another HTTP status. *out is the answer's JSON for any status, or NULL;
 * the caller releases it. */
long bd_kv_call(const struct bd_node *node, struct bd_http *http, const char *method,
                const char *path, const char *body, double timeout_s, json_t **out);
/* All pairs with the prefix, read in pages: for lists that fit the memory. NULL: a call failed. The
 * caller releases it. */
json_t *bd_kv_list(const struct bd_node *node, struct bd_http *http, const char *prefix);

/* Starts the client's threads, once. Non-zero: a thread could not be started. */
int bd_kv_client_start(struct bd_node *node);
#endif
