#include "adapters/admin_server.h"
#include "adapters/admin_store.h"
#include "adapters/node.h"
#include "base/address.h"
#include "base/http.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_DRAINS "/admin/v1/drains"
#define BODY_BYTES_MAX 65536u
#define CONNECTIONS_MAX 8u
#define REQUESTS_MAX 3 /* at once; more are answered 503 */
#define CONNECTION_IDLE_S 30u
#define STACK_BYTES 262144u

struct admin_server {
    struct bd_node *node;
    struct MHD_Daemon *daemon;
    atomic_int requests; /* being answered */
};

struct admin_request {
    char *body;
    size_t len;
    bool too_large;
};

static enum MHD_Result send_answer(struct MHD_Connection *connection, struct bd_admin_answer answer)
{
    char retry[16], *text = json_dumps(answer.body, JSON_INDENT(1));
    json_decref(answer.body);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(text ? strlen(text) : 0, text, MHD_RESPMEM_MUST_FREE);
    if (!response) {
        free(text);
        return MHD_NO;
    }
    (void)MHD_add_response_header(response, "Content-Type", "application/json");
    if (answer.retry_after > 0) {
        snprintf(retry, sizeof retry, "%d", answer.retry_after);
        (void)MHD_add_response_header(response, "Retry-After", retry);
    }
    enum MHD_Result result = MHD_queue_response(connection, (unsigned)answer.status, response);
    MHD_destroy_response(response);
    return result;
}

/* The name, and the verb after it, of a path below the drains' own; false: neither. */
static bool split_path(const char *url, char *name, size_t cap, const char **verb)
{
    size_t prefix = strlen(PATH_DRAINS);
    if (strncmp(url, PATH_DRAINS "/", prefix + 1) != 0)
        return false;
    const char *from = url + prefix + 1;
    size_t len = strcspn(from, "/");
    if (len == 0 || len > BD_DRAIN_NAME_MAX || len >= cap)
        return false;
    memcpy(name, from, len);
    name[len] = '\0';
    *verb = from[len] == '/' ? from + len + 1 : "";
    return true;
}

static bool parse_verb(const char *text, enum bd_drain_verb *verb)
{
    static const char *const verbs[] = {"pause", "resume", "cancel"};
    for (int i = 0; i < 3; i++) {
        if (strcmp(text, verbs[i]) != 0)
            continue;
        *verb = (enum bd_drain_verb)i;
        return true;
    }
    return false;
}

static struct bd_admin_answer route(const struct bd_admin_store *store,
                                    const struct admin_request *request, const char *method,
                                    const char *url)
{
    char name[BD_LABEL];
    const char *tail = "";
    enum bd_drain_verb verb = BD_VERB_PAUSE;
    bool get = strcmp(method, "GET") == 0, post = strcmp(method, "POST") == 0;
    if (strcmp(url, PATH_DRAINS) == 0) {
        if (get)
            return bd_admin_list(store);
        return post ? bd_admin_create(store, request->body ? request->body : "", request->len)
                    : bd_admin_refuse(MHD_HTTP_METHOD_NOT_ALLOWED, "", "wrong method");
    }
    if (!split_path(url, name, sizeof name, &tail) || (*tail && !parse_verb(tail, &verb)))
        return bd_admin_refuse(MHD_HTTP_NOT_FOUND, "", "no such path");
    if (!*tail)
        return get ? bd_admin_show(store, name)
                   : bd_admin_refuse(MHD_HTTP_METHOD_NOT_ALLOWED, "", "wrong method");
    return post ? bd_admin_change(store, name, verb)
                : bd_admin_refuse(MHD_HTTP_METHOD_NOT_ALLOWED, "", "wrong method");
}

static struct bd_admin_answer answer_request(struct admin_server *server,
                                             const struct admin_request *request,
                                             const char *method, const char *url)
{
    struct bd_admin_answer answer = bd_admin_refuse(MHD_HTTP_SERVICE_UNAVAILABLE, "", "busy");
    if (request->too_large) {
        json_decref(answer.body);
        return bd_admin_refuse(MHD_HTTP_CONTENT_TOO_LARGE, "body", "over 64 KiB");
    }
    struct bd_admin_store store = {server->node, NULL};
    if (atomic_fetch_add(&server->requests, 1) < REQUESTS_MAX)
        store.http = bd_http_new(1, NULL);
    if (store.http) {
        json_decref(answer.body);
        answer = route(&store, request, method, url);
        bd_http_free(store.http);
    }
    atomic_fetch_sub(&server->requests, 1);
    return answer;
}

static void receive_body(struct admin_request *request, const char *data, size_t size)
{
    if (request->too_large || request->len + size > BODY_BYTES_MAX) {
        request->too_large = true;
        return;
    }
    char *grown = realloc(request->body, request->len + size + 1);
    if (!grown)
        abort();
    memcpy(grown + request->len, data, size);
    request->body = grown;
    request->len += size;
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *connection, const char *url,
                              const char *method, const char *version, const char *data,
                              size_t *size, void **context)
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
    return send_answer(connection, answer_request(arg, *context, method, url));
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
    server->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
        CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S,
        MHD_OPTION_NOTIFY_COMPLETED, request_completed, server, MHD_OPTION_LISTENING_ADDRESS_REUSE,
        1u, MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES, MHD_OPTION_END);
    if (!server->daemon) {
        free(server);
        return -1;
    }
    bd_log_write(&node->log, BD_LOG_INFO, "administration API listens on %s", rules->admin_addr);
    return 0;
}
