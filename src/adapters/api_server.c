#include "adapters/api_server.h"
#include "adapters/api_connections.h"
#include "adapters/api_route.h"
#include "adapters/event.h"
#include "adapters/json_response.h"
#include "adapters/node.h"
#include "adapters/worker_client.h"
#include "base/address.h"
#include "base/metrics.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "base/units.h"
#include "brambledoor/settings.h"
#include "model/effect.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BODY_BYTES_MAX 65536u
#define BODY_GROWTH_BYTES 1024u
#define CONNECTION_MEMORY_BYTES 6144u
#define CONNECTION_IDLE_S 120u
#define CONNECTIONS_MIN 8
#define BODY_MEMORY_SHARE 0.15 /* of the settings' ram_mb, for the bodies of all requests */
#define PENDING_LIMIT_MIN 512  /* pending requests; the limit is half the sockets, at least this */
#define USER_PENDING_SHARE 0.6 /* of the limit; the rest is reserved for workers' heartbeats */
/* After an outage of all controllers, all workers reconnect at once. */
#define LISTEN_BACKLOG 1024u
#define BUSY_RETRY_S 1

/* One request. The polling thread owns it, except between post_to_owner and bd_api_reply: its
 * connection is then suspended, and only the owner thread may use the request. */
struct request {
    struct bd_request_origin origin; /* first: see model/effect.h; all zero: not forwarded */
    struct bd_api_server *server;
    struct MHD_Connection *connection;
    char *body;
    size_t body_len, body_capacity;
    bool body_too_large, body_memory_exhausted, is_health_check;
    bool is_posted, has_reply;
    enum bd_event_kind kind; /* valid once the request is posted */
    struct timespec posted_at;
    int reply_status, retry_after_s;
    char *reply_body;
    size_t reply_len;
};

/* Lives as long as the process. */
struct bd_api_server {
    struct MHD_Daemon *daemon; /* runs the polling thread */
    struct bd_connections *connections;
    atomic_int pending_requests;       /* posted to the owner thread and not answered yet */
    size_t body_bytes, body_bytes_max; /* of all requests' bodies; polling thread only */
};

/* ---- replies ---- */

/* The watched connection. NULL: it is not watched. */
static struct bd_connection *watched(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

/* Takes ownership of body. */
static enum MHD_Result send_reply(const struct request *request, int status, char *body,
                                  int retry_after_s)
{
    struct bd_connection *connection = watched(request->connection);
    struct bd_json_response response = {status, body, retry_after_s, false};
    /* a new connection lets the load balancer send the retry to another controller */
    response.closes_connection =
        status == MHD_HTTP_SERVICE_UNAVAILABLE || bd_connection_is_surplus(connection);
    bd_connection_answer_began(request->server->connections, connection);
    return bd_json_response_send(request->connection, &response);
}

static enum MHD_Result send_error(const struct request *request, int status, const char *message,
                                  int retry_after_s)
{
    char body[128];
    snprintf(body, sizeof body, "{\"error\":\"%s\"}", message);
    return send_reply(request, status, strdup(body), retry_after_s);
}

static enum bd_timing timing_of(enum bd_event_kind kind)
{
    if (kind == BD_EVENT_HEARTBEAT)
        return BD_TIMING_HEARTBEAT;
    if (kind == BD_EVENT_USER_SUBMIT)
        return BD_TIMING_SUBMISSION;
    return kind == BD_EVENT_USER_STATUS ? BD_TIMING_STATUS_READ : BD_TIMING_CANCELLATION;
}

void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after_s)
{
    struct request *replied = request;
    bd_metrics_record_duration(node->metrics, timing_of(replied->kind),
                               bd_seconds_between(replied->posted_at, bd_now()));
    replied->reply_status = status;
    replied->reply_body = body;
    replied->retry_after_s = retry_after_s;
    replied->has_reply = true;
    atomic_fetch_sub(&node->api_server->pending_requests, 1);
    MHD_resume_connection(replied->connection);
}

static enum MHD_Result send_owner_reply(struct request *request)
{
    char *body = request->reply_body;
    request->reply_body = NULL;
    request->reply_len = body ? strlen(body) : 0;
    return send_reply(request, request->reply_status, body, request->retry_after_s);
}

/* ---- bodies ---- */

static bool grow_body(struct request *request, size_t size)
{
    if (request->body_len + size <= request->body_capacity)
        return true;
    size_t capacity = request->body_len + size + BODY_GROWTH_BYTES;
    char *grown = realloc(request->body, capacity);
    if (!grown)
        return false;
    request->body = grown;
    request->body_capacity = capacity;
    return true;
}

/* Appends a part of the body, unless this body or all bodies together would exceed their limit:
 * many large bodies at once would not fit into memory. False: the allocation failed. */
static bool receive_body(struct bd_api_server *server, struct request *request, const char *data,
                         size_t size)
{
    if (request->body_too_large || request->body_len + size > BODY_BYTES_MAX) {
        request->body_too_large = true;
        return true;
    }
    if (request->body_memory_exhausted || server->body_bytes + size > server->body_bytes_max) {
        request->body_memory_exhausted = true;
        return true;
    }
    server->body_bytes += size;
    if (!grow_body(request, size))
        return false;
    memcpy(request->body + request->body_len, data, size);
    request->body_len += size;
    return true;
}

/* ---- handling ---- */

/* Under overload, users' requests are refused before workers' heartbeats: a user can retry, but a
 * worker's lease expires. */
static bool may_admit(const struct bd_node *node, enum bd_event_kind kind)
{
    int pending_max = node->settings.max_sockets / 2;
    if (pending_max < PENDING_LIMIT_MIN)
        pending_max = PENDING_LIMIT_MIN;
    if (kind != BD_EVENT_HEARTBEAT)
        pending_max = (int)(USER_PENDING_SHARE * pending_max);
    return atomic_load(&node->api_server->pending_requests) < pending_max;
}

static enum MHD_Result post_to_owner(struct bd_node *node, struct request *request,
                                     const struct bd_api_route *route)
{
    struct bd_event *event = bd_event_new(route->kind);
    event->api_request.request = request;
    event->api_request.text = request->body ? request->body : strdup("");
    event->api_request.len = request->body_len;
    request->body = NULL;
    snprintf(event->api_request.job_id, sizeof event->api_request.job_id, "%s", route->job_id);
    request->is_posted = true;
    request->kind = event->kind;
    request->posted_at = bd_now();
    atomic_fetch_add(&node->api_server->pending_requests, 1);
    MHD_suspend_connection(request->connection);
    bd_event_post(node, event);
    return MHD_YES;
}

static enum MHD_Result reply_health(const struct bd_node *node, struct request *request,
                                    const char *method)
{
    request->is_health_check = true;
    if (strcmp(method, "GET") != 0)
        return send_error(request, MHD_HTTP_METHOD_NOT_ALLOWED, "wrong method", 0);
    if (!atomic_load(&node->is_healthy))
        return send_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "not ready", BUSY_RETRY_S);
    return send_reply(request, MHD_HTTP_OK, strdup("{\"up\":true}"), 0);
}

static enum MHD_Result handle_request(struct bd_node *node, struct request *request,
                                      const char *method, const char *url)
{
    bd_connection_request_received(node->api_server->connections, watched(request->connection));
    if (strcmp(url, BD_PATH_HEALTH) == 0)
        return reply_health(node, request, method);
    struct bd_api_route route = bd_api_find_route(method, url);
    if (route.error_status == MHD_HTTP_NOT_FOUND)
        return send_error(request, route.error_status, "no such path", 0);
    if (route.error_status)
        return send_error(request, route.error_status, "wrong method", 0);
    if (request->body_too_large)
        return send_error(request, MHD_HTTP_CONTENT_TOO_LARGE, "body over 64 KiB", 0);
    if (request->body_memory_exhausted || !may_admit(node, route.kind))
        return send_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "busy", BUSY_RETRY_S);
    return post_to_owner(node, request, &route);
}

/* ---- libmicrohttpd's callbacks, on the polling thread ---- */

/* Called after the headers, for each part of the body, after the body, and again after the
 * connection is resumed. */
static enum MHD_Result access_callback(void *arg, struct MHD_Connection *connection,
                                       const char *url, const char *method, const char *version,
                                       const char *data, size_t *size, void **context)
{
    struct bd_node *node = arg;
    struct request *request = *context;
    (void)version;
    if (!request) {
        request = calloc(1, sizeof *request);
        if (!request)
            return MHD_NO;
        request->server = node->api_server;
        request->connection = connection;
        *context = request;
        return MHD_YES;
    }
    if (*size > 0) {
        bool received = receive_body(node->api_server, request, data, *size);
        *size = 0;
        return received ? MHD_YES : MHD_NO;
    }
    if (request->has_reply)
        return send_owner_reply(request);
    if (request->is_posted)
        return MHD_YES;
    return handle_request(node, request, method, url);
}

static enum bd_traffic traffic_of(const struct request *request)
{
    if (!request->is_posted)
        return request->is_health_check ? BD_TRAFFIC_HEALTH : BD_TRAFFIC_INVALID;
    switch (request->kind) {
    case BD_EVENT_HEARTBEAT:
        return BD_TRAFFIC_HEARTBEAT;
    case BD_EVENT_USER_STATUS:
        return BD_TRAFFIC_STATUS_READ;
    case BD_EVENT_USER_SUBMIT:
        return BD_TRAFFIC_SUBMISSION;
    case BD_EVENT_USER_CANCEL:
        return BD_TRAFFIC_CANCELLATION;
    default:
        return BD_TRAFFIC_INVALID;
    }
}

/* Counts new connections. A connection does not show whether a user or a worker opened it, so all
 * count as heartbeat traffic. */
static void connection_changed(void *arg, struct MHD_Connection *connection, void **context,
                               enum MHD_ConnectionNotificationCode code)
{
    struct bd_node *node = arg;
    struct bd_connections *connections = node->api_server->connections;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        bd_count_connections(bd_metrics_counter(node->metrics, BD_TRAFFIC_HEARTBEAT), 1);
        int socket =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *context = bd_connection_opened(connections, socket);
    } else {
        bd_connection_closed(connections, *context);
        *context = NULL;
    }
}

/* Called once the first line of a request is received. Returns the request's first context. */
static void *request_began(void *arg, const char *url, struct MHD_Connection *connection)
{
    const struct bd_node *node = arg;
    (void)url;
    bd_connection_request_began(node->api_server->connections, watched(connection));
    return NULL;
}

static void request_completed(void *arg, struct MHD_Connection *connection, void **context,
                              enum MHD_RequestTerminationCode code)
{
    struct bd_node *node = arg;
    struct request *request = *context;
    (void)code;
    bd_connection_request_ended(node->api_server->connections, watched(connection));
    if (!request)
        return;
    node->api_server->body_bytes -= request->body_len;
    bd_count_message(bd_metrics_counter(node->metrics, traffic_of(request)), request->reply_len,
                     request->body_len);
    free(request->body);
    free(request->reply_body);
    free(request);
    *context = NULL;
}

/* ---- start ---- */

static unsigned connections_max(const struct bd_settings *settings)
{
    int outgoing = BD_SOCKETS_RESERVED + bd_worker_client_sockets_max(settings);
    int incoming = settings->max_sockets - outgoing;
    return (unsigned)(incoming > CONNECTIONS_MIN ? incoming : CONNECTIONS_MIN);
}

static struct MHD_Daemon *start_daemon(struct bd_node *node, struct sockaddr_in *address)
{
    return MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, access_callback,
        node, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)address, MHD_OPTION_CONNECTION_LIMIT,
        connections_max(&node->settings), MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_URI_LOG_CALLBACK, request_began, node, MHD_OPTION_NOTIFY_COMPLETED,
        request_completed, node, MHD_OPTION_NOTIFY_CONNECTION, connection_changed, node,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)BD_THREAD_STACK_BYTES, MHD_OPTION_END);
}

int bd_api_start(struct bd_node *node)
{
    struct sockaddr_in address;
    if (!bd_address_parse(node->settings.api_addr, &address))
        return -1;
    struct bd_api_server *server = calloc(1, sizeof *server);
    if (!server)
        return -1;
    node->api_server = server;
    server->body_bytes_max = (size_t)(node->settings.ram_mb * BODY_MEMORY_SHARE * BD_BYTES_PER_MB);
    server->connections =
        bd_connections_new(&node->settings, node->metrics, connections_max(&node->settings));
    if (!server->connections)
        return -1;
    server->daemon = start_daemon(node, &address);
    return server->daemon ? 0 : -1;
}
