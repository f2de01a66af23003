/* HTTP for users, workers and health checks, on libmicrohttpd: one polling thread, and a
 * connection is suspended while the owner decides. A thread for each connection would not fit
 * the machine's memory. */
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX 65536u
#define POOL_BYTES 6144u /* memory a connection keeps */
#define IDLE_S 120u
#define BODY_SHARE 0.15   /* of the memory: bodies that are being received or decided */
#define PENDING_MIN 512   /* requests that wait for the owner, or half as many as sockets; */
#define PENDING_USERS 0.6 /* ... beyond this share workers' reports only */
#define BACKLOG 1024u     /* all workers come at once when all controllers are back together */

struct request {
    bool remote; /* never: see struct bd_remote */
    struct MHD_Connection *conn;
    char *buf;
    size_t len, cap;
    size_t sent; /* bytes of the answer's body */
    bool too_large, too_much, asked, answered, health;
    int status, retry_after;
    char *body;
    enum bd_event_kind kind; /* once it was asked */
    struct timespec since;
};

struct bd_api_server {
    struct MHD_Daemon *daemon;
    atomic_int pending;
    size_t held, most_held; /* bytes of bodies, used by the polling thread only */
};

static enum MHD_Result send_now(struct MHD_Connection *conn, int status, char *body, int retry)
{
    char text[16];
    struct MHD_Response *r =
        MHD_create_response_from_buffer(body ? strlen(body) : 0, body, MHD_RESPMEM_MUST_FREE);
    if (!r) {
        free(body);
        return MHD_NO;
    }
    (void)MHD_add_response_header(r, "Content-Type", "application/json");
    if (retry > 0) {
        snprintf(text, sizeof text, "%d", retry);
        (void)MHD_add_response_header(r, "Retry-After", text);
    }
    /* the next try goes through the load balancer again, perhaps to a node that can */
    if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
        (void)MHD_add_response_header(r, "Connection", "close");
    enum MHD_Result rc = MHD_queue_response(conn, (unsigned)status, r);
    MHD_destroy_response(r);
    return rc;
}

static enum MHD_Result say(struct MHD_Connection *conn, int status, const char *why, int retry)
{
    char buf[128];
    snprintf(buf, sizeof buf, "{\"error\":\"%s\"}", why);
    return send_now(conn, status, strdup(buf), retry);
}

static enum bd_timing timing_of(enum bd_event_kind kind)
{
    if (kind == BD_EVENT_HEARTBEAT)
        return BD_TIMING_HEARTBEAT;
    if (kind == BD_EVENT_USER_SUBMIT)
        return BD_TIMING_SUBMISSION;
    return kind == BD_EVENT_USER_STATUS ? BD_TIMING_STATUS_READ : BD_TIMING_CANCELLATION;
}

void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after)
{
    struct request *r = request;
    bd_metrics_time(node->metrics, timing_of(r->kind), bd_between(r->since, bd_now()));
    r->status = status;
    r->body = body;
    r->retry_after = retry_after;
    r->answered = true;
    atomic_fetch_sub(&node->api_server->pending, 1);
    MHD_resume_connection(r->conn);
}

/* Many large bodies at once would not fit the memory: beyond a part of it they are not kept, and
 * the request gets 503. */
static bool take_body(struct bd_api_server *api_server, struct request *r, const char *data,
                      size_t size)
{
    if (r->too_large || r->len + size > BODY_MAX) {
        r->too_large = true;
        return true;
    }
    if (r->too_much || api_server->held + size > api_server->most_held) {
        r->too_much = true;
        return true;
    }
    api_server->held += size;
    if (r->len + size > r->cap) {
        size_t cap = r->len + size + 1024;
        char *grown = realloc(r->buf, cap);
        if (!grown)
            return false;
        r->buf = grown;
        r->cap = cap;
    }
    memcpy(r->buf + r->len, data, size);
    r->len += size;
    return true;
}

/* The id between the jobs' path and the tail into name; true if both match. */
static bool job_path(const char *url, const char *tail, char *name, size_t cap)
{
    const char *prefix = BD_PATH_JOBS "/";
    size_t p = strlen(prefix), t = strlen(tail), u = strlen(url);
    if (strncmp(url, prefix, p) != 0 || u <= p + t || strcmp(url + u - t, tail) != 0 ||
        u - p - t >= cap)
        return false;
    memcpy(name, url + p, u - p - t);
    name[u - p - t] = '\0';
    return strchr(name, '/') == NULL;
}

static int route(const char *method, const char *url, char *name, size_t cap)
{
    bool get = strcmp(method, "GET") == 0, post = strcmp(method, "POST") == 0;
    if (strcmp(url, BD_PATH_HEARTBEAT) == 0)
        return post ? BD_EVENT_HEARTBEAT : -405;
    if (strcmp(url, BD_PATH_JOBS) == 0)
        return post ? BD_EVENT_USER_SUBMIT : -405;
    if (job_path(url, BD_PATH_CANCEL, name, cap))
        return post ? BD_EVENT_USER_CANCEL : -405;
    if (job_path(url, "", name, cap))
        return get ? BD_EVENT_USER_STATUS : -405;
    return -404;
}

static enum MHD_Result ask_core(struct bd_node *node, struct request *r, int kind, const char *name)
{
    struct bd_event *event = bd_event_new((enum bd_event_kind)kind);
    event->request = r;
    event->text = r->buf ? r->buf : strdup("");
    event->len = r->len;
    r->buf = NULL;
    snprintf(event->name, sizeof event->name, "%s", name);
    r->asked = true;
    r->kind = event->kind;
    r->since = bd_now();
    atomic_fetch_add(&node->api_server->pending, 1);
    MHD_suspend_connection(r->conn);
    bd_event_post(node, event);
    return MHD_YES;
}

/* Users are refused before workers: a user asks again, a lease runs out. */
static bool room_for(const struct bd_node *node, int kind)
{
    int most = node->settings.max_sockets / 2;
    most = most < PENDING_MIN ? PENDING_MIN : most;
    if (kind != BD_EVENT_HEARTBEAT)
        most = (int)(PENDING_USERS * most);
    return atomic_load(&node->api_server->pending) < most;
}

static enum MHD_Result decide(struct bd_node *node, struct request *r, const char *method,
                              const char *url)
{
    char name[BD_LABEL] = "";
    if (strcmp(url, BD_PATH_HEALTH) == 0) {
        r->health = true;
        if (strcmp(method, "GET") != 0)
            return say(r->conn, 405, "wrong method", 0);
        return atomic_load(&node->up) ? send_now(r->conn, 200, strdup("{\"up\":true}"), 0)
                                      : say(r->conn, 503, "not ready", 1);
    }
    int kind = route(method, url, name, sizeof name);
    if (kind == -404)
        return say(r->conn, 404, "no such path", 0);
    if (kind == -405)
        return say(r->conn, 405, "wrong method", 0);
    if (r->too_large)
        return say(r->conn, 413, "body over 64 KiB", 0);
    if (r->too_much || !room_for(node, kind))
        return say(r->conn, 503, "busy", 1);
    return ask_core(node, r, kind, name);
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
                              const char *method, const char *version, const char *data,
                              size_t *size, void **ctx)
{
    (void)version;
    struct request *r = *ctx;
    if (!r) {
        r = calloc(1, sizeof *r);
        if (!r)
            return MHD_NO;
        r->conn = conn;
        *ctx = r;
        return MHD_YES;
    }
    if (*size > 0) {
        bool ok = take_body(((struct bd_node *)arg)->api_server, r, data, *size);
        *size = 0;
        return ok ? MHD_YES : MHD_NO;
    }
    if (r->answered) {
        char *body = r->body;
        r->body = NULL;
        r->sent = body ? strlen(body) : 0;
        return send_now(conn, r->status, body, r->retry_after);
    }
    if (r->asked)
        return MHD_YES;
    return decide(arg, r, method, url);
}

static enum bd_traffic traffic_of(const struct request *r)
{
    static const struct {
        enum bd_event_kind kind;
        enum bd_traffic traffic;
    } known[] = {{BD_EVENT_HEARTBEAT, BD_TRAFFIC_HEARTBEAT},
                 {BD_EVENT_USER_STATUS, BD_TRAFFIC_STATUS_READ},
                 {BD_EVENT_USER_SUBMIT, BD_TRAFFIC_SUBMISSION},
                 {BD_EVENT_USER_CANCEL, BD_TRAFFIC_CANCELLATION}};
    for (size_t i = 0; r->asked && i < sizeof known / sizeof known[0]; i++)
        if (known[i].kind == r->kind)
            return known[i].traffic;
    return r->health ? BD_TRAFFIC_HEALTH : BD_TRAFFIC_INVALID;
}

/* Connections of users and workers look alike before they ask: all are counted as check-ins'. */
static void connection_changed(void *arg, struct MHD_Connection *conn, void **ctx,
                               enum MHD_ConnectionNotificationCode code)
{
    struct bd_node *node = arg;
    (void)conn;
    (void)ctx;
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        bd_count_connections(bd_metrics_counter(node->metrics, BD_TRAFFIC_HEARTBEAT), 1);
}

static void completed(void *arg, struct MHD_Connection *conn, void **ctx,
                      enum MHD_RequestTerminationCode code)
{
    struct bd_node *node = arg;
    (void)conn;
    (void)code;
    struct request *r = *ctx;
    if (!r)
        return;
    node->api_server->held -= r->len;
    bd_count_message(bd_metrics_counter(node->metrics, traffic_of(r)), r->sent, r->len);
    free(r->buf);
    free(r->body);
    free(r);
    *ctx = NULL;
}

bool bd_parse_addr(const char *text, struct sockaddr_in *out)
{
    char host[BD_NAME];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof host)
        return false;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

int bd_api_start(struct bd_node *node)
{
    struct sockaddr_in addr;
    if (!bd_parse_addr(node->settings.api_addr, &addr))
        return -1;
    node->api_server = calloc(1, sizeof *node->api_server);
    if (!node->api_server)
        return -1;
    node->api_server->most_held = (size_t)(node->settings.ram_mb * BODY_SHARE * 1048576.0);
    int own = BD_SOCKETS_OWN + bd_worker_client_sockets(&node->settings);
    int most = node->settings.max_sockets - own;
    node->api_server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, node,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)(most > 8 ? most : 8), MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)POOL_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
        completed, node, MHD_OPTION_NOTIFY_CONNECTION, connection_changed, node,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE, BACKLOG,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)131072, MHD_OPTION_END);
    return node->api_server->daemon ? 0 : -1;
}
