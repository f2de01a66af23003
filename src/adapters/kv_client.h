/* Calls to the state service, shared by the threads that make them. */
#ifndef BD_KV_CLIENT_H
#define BD_KV_CLIENT_H
#include "adapters/node.h"
#include "base/http.h"

long bd_kv_call(struct bd_node *node, struct bd_http *http, const char *method, const char *path,
                const char *body, double timeout_s, json_t **out);
json_t *bd_kv_list(struct bd_node *node, struct bd_http *http, const char *prefix);
#endif
