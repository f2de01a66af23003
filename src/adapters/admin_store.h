/* What administrators ask of drains: reads and conditional writes of the drains' records in the
 * key-value store. Any controller serves a request, leader or not.
 *
 * Owns no state: each request brings its own connection. Called by the threads of the
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

/* A response; whoever receives it releases the body. */
struct bd_admin_response {
    enum bd_admin_status status;
    int retry_after_s; /* 0: none */
    json_t *body;
};

enum bd_drain_verb { BD_VERB_PAUSE, BD_VERB_RESUME, BD_VERB_CANCEL };

/* What one request is served with. */
struct bd_admin_store {
    struct bd_node *node;
    struct bd_http *http; /* the calling thread's own connection */
};

/* An error response. field: the request's field that is wrong, or "" for none. */
struct bd_admin_response bd_admin_refuse(enum bd_admin_status status, const char *field,
                                         const char *why);
/* All drains: OK, or UNAVAILABLE. */
struct bd_admin_response bd_admin_list(const struct bd_admin_store *store);
/* One drain with its machines: OK, NOT_FOUND or UNAVAILABLE. */
struct bd_admin_response bd_admin_show(const struct bd_admin_store *store, const char *name);
/* Creates the drain that the body (JSON, len bytes) describes: CREATED; OK if the same request was
 * served before; CONFLICT if another drain has the name; MALFORMED, NOT_FOUND or UNAVAILABLE. */
struct bd_admin_response bd_admin_create(const struct bd_admin_store *store, const char *body,
                                         size_t len);
/* Pauses, resumes or cancels a drain: OK also if it is in that state already; NOT_FOUND; CONFLICT
 * if it has ended otherwise; UNAVAILABLE. */
struct bd_admin_response bd_admin_change(const struct bd_admin_store *store, const char *name,
                                         enum bd_drain_verb verb);
#endif
