/* The administrators' operations on drains: reads and conditional writes of the drains' records in
 * the key-value store. Any controller serves a request, leader or not.
 *
 * Owns no state: each request brings its own HTTP client. Called by the threads of the
 * administration server. All functions block, and every call to the store has a timeout. */
#ifndef BD_ADMIN_STORE_H
#define BD_ADMIN_STORE_H
#include <jansson.h>
#include <stddef.h>

struct bd_http;
struct bd_node;

/* The HTTP statuses of responses to administrators. */
enum bd_admin_status {
    BD_ADMIN_OK = 200,
    BD_ADMIN_CREATED = 201,
    BD_ADMIN_MALFORMED = 400,
    BD_ADMIN_NOT_FOUND = 404,
    BD_ADMIN_METHOD_NOT_ALLOWED = 405,
    BD_ADMIN_CONFLICT = 409,
    BD_ADMIN_TOO_LARGE = 413,
    BD_ADMIN_UNAVAILABLE = 503
};

/* A response. Its receiver owns the body and releases it. */
struct bd_admin_response {
    enum bd_admin_status status;
    int retry_after_s; /* 0: no Retry-After header */
    json_t *body;
};

enum bd_drain_verb { BD_VERB_PAUSE, BD_VERB_RESUME, BD_VERB_CANCEL };

/* The resources for serving one request. */
struct bd_admin_store {
    struct bd_node *node;
    struct bd_http *http; /* the calling thread's own client */
};

/* An error response. field: the request's invalid field, or "" if there is none. */
struct bd_admin_response bd_admin_refuse(enum bd_admin_status status, const char *field,
                                         const char *message);
/* All drains: OK, or UNAVAILABLE. */
struct bd_admin_response bd_admin_list_drains(const struct bd_admin_store *store);
/* One drain with its machines: OK, NOT_FOUND or UNAVAILABLE. */
struct bd_admin_response bd_admin_show_drain(const struct bd_admin_store *store, const char *name);
/* Creates the drain that the body (JSON, len bytes) describes: CREATED; OK if the same request was
 * served before; CONFLICT if a different drain has the name; MALFORMED, NOT_FOUND or UNAVAILABLE.
 */
struct bd_admin_response bd_admin_create_drain(const struct bd_admin_store *store, const char *body,
                                               size_t len);
/* Pauses, resumes or cancels a drain: OK, also if it is in the requested state already; NOT_FOUND;
 * CONFLICT if it has ended in another state; UNAVAILABLE. */
struct bd_admin_response bd_admin_change_drain(const struct bd_admin_store *store, const char *name,
                                               enum bd_drain_verb verb);
#endif
