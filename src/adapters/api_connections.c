#include "adapters/api_connections.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

#define SPARE_SHARE 0.1     /* of the connections, kept for those that serve one request each */
#define ROOM_SHARE 0.5      /* of the connections that are open once room was made */
#define CALM_INTERVAL_S 1.0 /* between two checks of all connections */
#define CROWDED_INTERVAL_S 0.1
/* When connections are few, a request may take this long. */
#define CROWDED_REQUEST_S 0.2
/* A connection idle for this long is looked at for the beginning of a request; workers report and
 * users ask more often. */
#define IDLE_LOOK_S 5.0

enum phase {
    PHASE_IDLE,      /* no request, or less than its first line */
    PHASE_RECEIVING, /* from the first line to the end of the request */
    PHASE_SERVING,   /* the controller has the request */
    PHASE_ANSWERING  /* until the answer is sent */
};

struct bd_connection {
    struct bd_connection *prev, *next; /* in the order of their opening */
    int socket;
    enum phase phase;
    struct timespec phase_since;
    struct timespec partial_since; /* PHASE_IDLE: when bytes of a first line were seen; 0: never */
    uint64_t bytes_at_idle;        /* received before PHASE_IDLE began */
    bool has_served;               /* at least one request */
    bool is_surplus;
    bool is_shut; /* about to be closed, for a reason that was counted */
};

struct bd_connections {
    pthread_mutex_t lock; /* protects all fields but the constant ones, and the connections */
    pthread_cond_t crowded;
    struct bd_connection *list;
    unsigned count;
    /* constant */
    unsigned limit, limit_before_spare;
    double request_s, answer_s;
    struct bd_metrics *metrics;
};

/* ---- what was received ---- */

/* The bytes received on a socket since it was opened; 0 if the system does not tell. */
static uint64_t received_bytes(int socket)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_bytes_received;
}

/* Looks whether an idle connection has received a part of a request's first line. */
static void look_for_partial_request(struct bd_connection *connection, struct timespec now)
{
    if (received_bytes(connection->socket) <= connection->bytes_at_idle)
        connection->partial_since = (struct timespec){0, 0};
    else if (!connection->has_served)
        connection->partial_since = connection->phase_since;
    else if (bd_time_is_zero(connection->partial_since))
        connection->partial_since = now;
}

/* ---- closing ---- */

/* The polling thread sees the end of the connection and closes it. */
static void shut(struct bd_connections *connections, struct bd_connection *connection,
                 enum bd_closing reason)
{
    connection->is_shut = true;
    (void)shutdown(connection->socket, SHUT_RDWR);
    bd_count_closed(connections->metrics, reason);
}

static bool has_passed(struct timespec since, double seconds, struct timespec now)
{
    return !bd_time_is_zero(since) && bd_seconds_between(since, now) >= seconds;
}

/* Whether the connection has begun a request, or never did, and that is `seconds` ago. */
static bool lacks_request_for(const struct bd_connection *connection, double seconds,
                              struct timespec now)
{
    if (connection->phase == PHASE_RECEIVING ||
        (connection->phase == PHASE_IDLE && !connection->has_served))
        return has_passed(connection->phase_since, seconds, now);
    return connection->phase == PHASE_IDLE && has_passed(connection->partial_since, seconds, now);
}

static void enforce_deadlines(struct bd_connections *connections, struct bd_connection *connection,
                              struct timespec now)
{
    if (connection->phase == PHASE_IDLE && has_passed(connection->phase_since, IDLE_LOOK_S, now))
        look_for_partial_request(connection, now);
    bool is_receiving =
        connection->phase == PHASE_RECEIVING || !bd_time_is_zero(connection->partial_since);
    if (is_receiving && lacks_request_for(connection, connections->request_s, now))
        shut(connections, connection, BD_CLOSING_REQUEST_DEADLINE);
    else if (connection->phase == PHASE_ANSWERING &&
             has_passed(connection->phase_since, connections->answer_s, now))
        shut(connections, connection, BD_CLOSING_ANSWER_DEADLINE);
}

static bool is_crowded(const struct bd_connections *connections)
{
    return connections->count >= connections->limit_before_spare;
}

/* Closes connections without a complete request, the oldest first. */
static void make_room(struct bd_connections *connections, struct timespec now)
{
    unsigned left = connections->count;
    struct bd_connection *connection;
    DL_FOREACH(connections->list, connection)
    {
        if ((double)left <= ROOM_SHARE * (double)connections->limit)
            return;
        if (!connection->is_shut && connection->phase == PHASE_IDLE && connection->has_served &&
            has_passed(connection->phase_since, CALM_INTERVAL_S, now))
            look_for_partial_request(connection, now);
        if (!connection->is_shut && lacks_request_for(connection, CROWDED_REQUEST_S, now))
            shut(connections, connection, BD_CLOSING_ROOM);
        left -= connection->is_shut;
    }
}

static void check_all(struct bd_connections *connections)
{
    struct timespec now = bd_now();
    struct bd_connection *connection;
    DL_FOREACH(connections->list, connection)
    {
        if (!connection->is_shut)
            enforce_deadlines(connections, connection, now);
    }
    if (is_crowded(connections))
        make_room(connections, now);
}

/* Waits until the next check is due: sooner when connections are few. */
static void wait_for_check(struct bd_connections *connections)
{
    if (is_crowded(connections)) {
        (void)pthread_mutex_unlock(&connections->lock);
        bd_sleep(CROWDED_INTERVAL_S);
        (void)pthread_mutex_lock(&connections->lock);
        return;
    }
    struct timespec due = bd_time_add(bd_now(), bd_secs(CALM_INTERVAL_S));
    (void)pthread_cond_timedwait(&connections->crowded, &connections->lock, &due);
}

static void *watch(void *arg)
{
    struct bd_connections *connections = arg;
    (void)pthread_mutex_lock(&connections->lock);
    for (;;) {
        wait_for_check(connections);
        check_all(connections);
    }
    return NULL;
}

/* ---- the steps of connections ---- */

struct bd_connections *bd_connections_new(const struct bd_settings *settings,
                                          struct bd_metrics *metrics, unsigned limit)
{
    struct bd_connections *connections = calloc(1, sizeof *connections);
    pthread_condattr_t attributes;
    if (!connections)
        return NULL;
    connections->limit = limit;
    connections->limit_before_spare = limit - (unsigned)(SPARE_SHARE * (double)limit);
    connections->request_s = bd_to_secs(settings->request_deadline);
    connections->answer_s = bd_to_secs(settings->answer_deadline);
    connections->metrics = metrics;
    (void)pthread_mutex_init(&connections->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&connections->crowded, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    if (bd_thread_start(watch, connections, 0) == 0)
        return connections;
    free(connections);
    return NULL;
}

struct bd_connection *bd_connection_opened(struct bd_connections *connections, int socket)
{
    struct bd_connection *connection = calloc(1, sizeof *connection);
    if (!connection)
        return NULL;
    connection->socket = socket;
    connection->phase_since = bd_now();
    (void)pthread_mutex_lock(&connections->lock);
    connection->is_surplus = is_crowded(connections);
    DL_APPEND(connections->list, connection);
    connections->count++;
    if (is_crowded(connections))
        (void)pthread_cond_signal(&connections->crowded);
    (void)pthread_mutex_unlock(&connections->lock);
    return connection;
}

void bd_connection_closed(struct bd_connections *connections, struct bd_connection *connection)
{
    if (!connection)
        return;
    (void)pthread_mutex_lock(&connections->lock);
    DL_DELETE(connections->list, connection);
    connections->count--;
    (void)pthread_mutex_unlock(&connections->lock);
    free(connection);
}

static void enter(struct bd_connections *connections, struct bd_connection *connection,
                  enum phase phase)
{
    if (!connection)
        return;
    (void)pthread_mutex_lock(&connections->lock);
    connection->phase = phase;
    connection->phase_since = bd_now();
    connection->partial_since = (struct timespec){0, 0};
    (void)pthread_mutex_unlock(&connections->lock);
}

void bd_connection_request_began(struct bd_connections *connections,
                                 struct bd_connection *connection)
{
    enter(connections, connection, PHASE_RECEIVING);
}

void bd_connection_request_received(struct bd_connections *connections,
                                    struct bd_connection *connection)
{
    enter(connections, connection, PHASE_SERVING);
}

void bd_connection_answer_began(struct bd_connections *connections,
                                struct bd_connection *connection)
{
    enter(connections, connection, PHASE_ANSWERING);
}

void bd_connection_request_ended(struct bd_connections *connections,
                                 struct bd_connection *connection)
{
    if (!connection)
        return;
    (void)pthread_mutex_lock(&connections->lock);
    connection->bytes_at_idle = received_bytes(connection->socket);
    connection->has_served = true;
    (void)pthread_mutex_unlock(&connections->lock);
    enter(connections, connection, PHASE_IDLE);
}

bool bd_connection_is_surplus(const struct bd_connection *connection)
{
    return connection && connection->is_surplus;
}
