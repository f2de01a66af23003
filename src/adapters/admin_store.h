/* Drains as administrators ask for and see them: reads and conditional writes of their records, on
 * any controller. Blocking; every call has a deadline. */
#ifndef BD_ADMIN_STORE_H
#define BD_ADMIN_STORE_H
#include "base/http.h"
#include "drain/drain.h"

struct bd_admin_answer {
    int status, retry_after;
    json_t *body;
};

enum bd_drain_verb { BD_VERB_PAUSE, BD_VERB_RESUME, BD_VERB_CANCEL };

/* One request's means: a thread's own connection. */
struct bd_admin_store {
    struct bd_node *node;
    struct bd_http *http;
};

struct bd_admin_answer bd_admin_refuse(int status, const char *field, const char *why);
struct bd_admin_answer bd_admin_list(const struct bd_admin_store *store);
struct bd_admin_answer bd_admin_show(const struct bd_admin_store *store, const char *name);
struct bd_admin_answer bd_admin_create(const struct bd_admin_store *store, const char *body,
                                       size_t len);
struct bd_admin_answer bd_admin_change(const struct bd_admin_store *store, const char *name,
                                       enum bd_drain_verb verb);
#endif
