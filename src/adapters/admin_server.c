#include "adapters/admin_server.h"
#include "adapters/admin_store.h"
#include "adapters/json_response.h"
#include "adapters/node.h"
#include "base/address.h"
#include "base/http.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PATH_DRAINS "/admin/v1/drains"
#define BODY_BYTES_MAX 65536u
#define CONNECTIONS_MAX 8u
#define REQUESTS_MAX 3 /* served concurrently; further requests are answered with 503 */
#define CONNECTION_IDLE_S 30u
#define STACK_BYTES 262144u

/* State shared by the connections' threads; lives as long as the process. */
struct admin_server {
    struct bd_node *node;
    struct MHD_Daemon *daemon;
    atomic_int active_requests;
};

/* One request, owned by its connection's thread. */
struct admin_request {
    char *body;
    size_t body_len;
    bool body_too_large;
};

/* Sends the response and releases its body. */
static enum MHD_Result send_response(struct MHD_Connection *connection,
                                     struct bd_admin_response response)
{
    struct bd_json_response message = {.status = (int)response.status,
                                       .body = json_dumps(response.body, JSON_INDENT(1)),
                                       .retry_after_s = response.retry_after_s};
    json_decref(response.body);
    return bd_json_response_send(connection, &message);
}

/* ---- routing ---- */

/* Splits PATH_DRAINS/NAME or PATH_DRAINS/NAME/VERB; *verb is "" if the path has none. False: the
 * path has neither form, or the name is too long. */
static bool parse_drain_path(const char *url, char *name, size_t capacity, const char **verb)
{
    size_t prefix_len = strlen(PATH_DRAINS "/");
    if (strncmp(url, PATH_DRAINS "/", prefix_len) != 0)
        return false;
    const char *start = url + prefix_len;
    size_t len = strcspn(start, "/");
    if (len == 0 || len > BD_DRAIN_NAME_MAX || len >= capacity)
        return false;
    memcpy(name, start, len);
    name[len] = '\0';
    *verb = start[len] == '/' ? start + len + 1 : "";
    return true;
}

static bool parse_verb(const char *text, enum bd_drain_verb *verb)
{
    static const char *const verbs[] = {
        [BD_VERB_PAUSE] = "pause", [BD_VERB_RESUME] = "resume", [BD_VERB_CANCEL] = "cancel"};
    for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++) {
        if (strcmp(text, verbs[i]) != 0)
            continue;
        *verb = (enum bd_drain_verb)i;
        return true;
    }
    return false;
}

static struct bd_admin_response refuse_method(void)
{
    return bd_admin_refuse(BD_ADMIN_METHOD_NOT_ALLOWED, "", "wrong method");
}

static struct bd_admin_response route_request(const struct bd_admin_store *store,
                                              const struct admin_request *request,
                                              const char *method, const char *url)
{
    char name[BD_LABEL_BYTES];
    const char *verb_text = "";
    enum bd_drain_verb verb = BD_VERB_PAUSE;
    bool is_get = strcmp(method, "GET") == 0, is_post = strcmp(method, "POST") == 0;
    if (strcmp(url, PATH_DRAINS) == 0) {
        if (is_get)
            return bd_admin_list_drains(store);
        if (is_post)
            return bd_admin_create_drain(store, request->body ? request->body : "",
                                         request->body_len);
        return refuse_method();
    }
    if (!parse_drain_path(url, name, sizeof name, &verb_text) ||
        (*verb_text && !parse_verb(verb_text, &verb)))
        return bd_admin_refuse(BD_ADMIN_NOT_FOUND, "", "no such path");
    if (!*verb_text)
        return is_get ? bd_admin_show_drain(store, name) : refuse_method();
    return is_post ? bd_admin_change_drain(store, name, verb) : refuse_method();
}

/* Serves the request with its own HTTP client for calls to the store and the cloud. Answers 503 if
 * REQUESTS_MAX requests are being served already, or if there is no memory for the client. */
static struct bd_admin_response serve_request(struct admin_server *server,
                                              const struct admin_request *request,
                                              const char *method, const char *url)
{
    struct bd_admin_response response;
    struct bd_admin_store store = {server->node, NULL};
    if (request->body_too_large)
        return bd_admin_refuse(BD_ADMIN_TOO_LARGE, "body", "over 64 KiB");
    if (atomic_fetch_add(&server->active_requests, 1) < REQUESTS_MAX)
        store.http = bd_http_new(1, NULL);
    if (store.http) {
        response = route_request(&store, request, method, url);
        bd_http_free(store.http);
    } else {
        response = bd_admin_refuse(BD_ADMIN_UNAVAILABLE, "", "busy");
    }
    atomic_fetch_sub(&server->active_requests, 1);
    return response;
}

/* ---- libmicrohttpd's callbacks, on the connection's thread ---- */

static void receive_body(struct admin_request *request, const char *data, size_t size)
{
    if (request->body_too_large || request->body_len + size > BODY_BYTES_MAX) {
        request->body_too_large = true;
        return;
    }
    char *grown = realloc(request->body, request->body_len + size + 1);
    if (!grown)
        abort();
    memcpy(grown + request->body_len, data, size);
    request->body = grown;
    request->body_len += size;
}

/* Called after the headers, for each part of the body, and after the body. */
static enum MHD_Result access_callback(void *arg, struct MHD_Connection *connection,
                                       const char *url, const char *method, const char *version,
                                       const char *data, size_t *size, void **context)
{
    (void)version;
    if (!*context) {
        *context = calloc(1, sizeof(struct admin_request));
        return *context ? MHD_YES : MHD_NO;
    }
    if (*size > 0) {
        receive_body(*context, data, *size);
        *size = 0;
        return MHD_YES;
    }
    return send_response(connection, serve_request(arg, *context, method, url));
}

static void request_completed(void *arg, struct MHD_Connection *connection, void **context,
                              enum MHD_RequestTerminationCode code)
{
    struct admin_request *request = *context;
    (void)arg;
    (void)connection;
    (void)code;
    if (request)
        free(request->body);
    free(request);
    *context = NULL;
}

/* ---- start ---- */

/* The daemon's thread accepts connections and starts a thread for each. That thread ends when its
 * connection is closed. */
static struct MHD_Daemon *start_daemon(struct admin_server *server, struct sockaddr_in *address)
{
    return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
                            NULL, NULL, access_callback, server, MHD_OPTION_SOCK_ADDR,
                            (struct sockaddr *)address, MHD_OPTION_CONNECTION_LIMIT,
                            CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S,
                            MHD_OPTION_NOTIFY_COMPLETED, request_completed, server,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_THREAD_STACK_SIZE,
                            (size_t)STACK_BYTES, MHD_OPTION_END);
}

int bd_admin_start(struct bd_node *node)
{
    struct sockaddr_in address;
    const struct bd_drain_rules *rules = node->settings.draining;
    if (!rules || !*rules->admin_addr)
        return 0;
    struct admin_server *server = calloc(1, sizeof *server);
    if (!server || !bd_address_parse(rules->admin_addr, &address)) {
        free(server);
        return -1;
    }
    server->node = node;
    server->daemon = start_daemon(server, &address);
    if (!server->daemon) {
        free(server);
        return -1;
    }
    bd_log_write(&node->log, BD_LOG_INFO, "administration API listens on %s", rules->admin_addr);
    return 0;
}
