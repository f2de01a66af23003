#include "adapters/peer_transport.h"
#include "adapters/node.h"
#include "adapters/peer_listener.h"
#include "adapters/peer_traffic.h"
#include "base/address.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "wire/frame.h"
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define PEER_STATUS_INTERVAL_S 0.4
#define PROGRESS_INTERVAL_S 1.2 /* of the jobs' progress, which is for display only */
#define CONNECT_TIMEOUT_S 0.5
#define STALL_TIMEOUT_S 0.5   /* a connection that accepts no bytes for this time is closed */
#define CONNECTION_LIFE_S 4.0 /* see connect_run */
#define OUTBOX_BYTES_MIN 4096u
#define OUTBOX_BYTES_MAX 524288u /* frames beyond it are dropped; requests have deadlines */

/* ---- outboxes ---- */

/* The connection to one peer, and the frames to be sent on it. Locking order: a link's lock before
 * the node's status_lock. */
struct bd_peer_link {
    struct bd_node *node;
    int peer;                      /* index into the settings' peers */
    struct bd_queue reconnects;    /* wakes the connecting thread */
    pthread_mutex_t lock;          /* protects the fields below */
    int fd;                        /* -1: not connected */
    size_t len, capacity;          /* of the outbox: bytes not sent yet; bytes allocated */
    struct timespec stalled_since; /* zero: not stalled */
    unsigned char *outbox;
};

/* The caller holds the lock. */
static void disconnect(struct bd_peer_link *link)
{
    if (link->fd >= 0)
        (void)close(link->fd);
    link->fd = -1;
    link->len = link->capacity = 0;
    link->stalled_since = (struct timespec){0, 0};
    free(link->outbox); /* memory that a burst needed is not kept */
    link->outbox = NULL;
}

/* Sends as many bytes as the connection accepts without blocking. If the connection has failed or
 * stalled, closes it and wakes the connecting thread. The caller holds the lock. */
static void flush_outbox(struct bd_peer_link *link, enum bd_traffic kind)
{
    if (link->fd < 0 || link->len == 0)
        return;
    ssize_t sent = send(link->fd, link->outbox, link->len, MSG_DONTWAIT | MSG_NOSIGNAL);
    bd_count_write(bd_metrics_counter(link->node->metrics, kind));
    if (sent > 0) {
        link->len -= (size_t)sent;
        memmove(link->outbox, link->outbox + sent, link->len);
        link->stalled_since = (struct timespec){0, 0};
        return;
    }
    struct timespec now = bd_now();
    bool is_blocked = sent < 0 && (errno == EAGAIN || errno == EINTR);
    if (is_blocked && bd_time_is_zero(link->stalled_since))
        link->stalled_since = now;
    if (is_blocked && bd_seconds_between(link->stalled_since, now) < STALL_TIMEOUT_S)
        return;
    disconnect(link);
    (void)bd_queue_put(&link->reconnects, link);
}

/* Makes space for `added` bytes in the outbox. False: it would exceed OUTBOX_BYTES_MAX, or out of
 * memory. The caller holds the lock. */
static bool reserve_outbox(struct bd_peer_link *link, size_t added)
{
    size_t capacity = link->capacity ? link->capacity : OUTBOX_BYTES_MIN;
    while (capacity < link->len + added)
        capacity *= 2;
    if (capacity > OUTBOX_BYTES_MAX)
        return false;
    unsigned char *grown =
        capacity > link->capacity ? realloc(link->outbox, capacity) : link->outbox;
    if (!grown)
        return false;
    link->outbox = grown;
    link->capacity = capacity;
    return true;
}

/* Appends the frame to the outbox. False: the frame is dropped, because there is no space or no
 * connection. The caller holds the lock. */
static bool append_frame(struct bd_peer_link *link, const struct bd_frame *frame)
{
    if (link->fd < 0 || !reserve_outbox(link, bd_frame_bytes_max(frame)))
        return false;
    size_t len = bd_frame_write(frame, link->outbox + link->len, link->capacity - link->len);
    link->len += len;
    if (len > 0)
        bd_count_message(bd_metrics_counter(link->node->metrics, bd_frame_traffic(frame)), len, 0);
    return len > 0;
}

bool bd_transport_send(struct bd_node *node, int peer, const struct bd_frame *frame)
{
    struct bd_peer_link *link = node->links[peer];
    (void)pthread_mutex_lock(&link->lock);
    bool appended = append_frame(link, frame);
    (void)pthread_mutex_unlock(&link->lock);
    return appended;
}

void bd_transport_flush(struct bd_node *node)
{
    for (int i = 0; i < node->settings.npeers; i++) {
        struct bd_peer_link *link = node->links[i];
        (void)pthread_mutex_lock(&link->lock);
        flush_outbox(link, BD_TRAFFIC_FORWARD);
        (void)pthread_mutex_unlock(&link->lock);
    }
}

/* ---- peer status ---- */

/* Appends the jobs' progress, in as many frames as it needs. frame: scratch space. The caller holds
 * the link's lock. */
static void append_progress(struct bd_peer_link *link, struct bd_frame *frame)
{
    struct bd_node *node = link->node;
    uint32_t first = 0;
    bool has_more = true;
    while (has_more) {
        (void)pthread_mutex_lock(&node->status_lock);
        memset(frame, 0, sizeof *frame);
        frame->type = BD_FRAME_JOB_PROGRESS;
        while (frame->count < BD_FRAME_JOBS_MAX &&
               first + frame->count < node->job_progress_count) {
            frame->jobs[frame->count] = node->job_progress[first + frame->count];
            frame->count++;
        }
        (void)pthread_mutex_unlock(&node->status_lock);
        has_more = frame->count > 0 && append_frame(link, frame);
        first += frame->count;
    }
}

/* Copies this node's status into the frame. */
static void read_status(struct bd_node *node, struct bd_frame *frame)
{
    (void)pthread_mutex_lock(&node->status_lock);
    memcpy(frame, &node->status, offsetof(struct bd_frame, jobs));
    frame->count = 0;
    (void)pthread_mutex_unlock(&node->status_lock);
}

/* Sends this node's status at once, if there is a connection. frame: scratch space. */
static void send_status(struct bd_peer_link *link, struct bd_frame *frame, bool with_progress)
{
    (void)pthread_mutex_lock(&link->lock);
    if (link->fd >= 0) {
        read_status(link->node, frame);
        (void)append_frame(link, frame);
        if (with_progress)
            append_progress(link, frame);
        flush_outbox(link, BD_TRAFFIC_PEER_STATUS);
    }
    (void)pthread_mutex_unlock(&link->lock);
}

/* The function of the status thread: sends this node's status to all peers at an interval. */
static void *status_run(void *arg)
{
    struct bd_node *node = arg;
    struct timespec next_progress_at = bd_now();
    struct bd_frame *frame = calloc(1, sizeof *frame);
    while (frame) {
        struct timespec now = bd_now();
        bool with_progress = bd_time_is_before(next_progress_at, now);
        if (with_progress)
            next_progress_at = bd_time_add(now, bd_secs(PROGRESS_INTERVAL_S));
        for (int i = 0; i < node->settings.npeers; i++)
            send_status(node->links[i], frame, with_progress);
        bd_sleep(PEER_STATUS_INTERVAL_S);
    }
    return NULL;
}

/* ---- connecting ---- */

static bool set_send_timeout(int fd, double seconds)
{
    struct timespec span = bd_secs(seconds);
    struct timeval timeout = {span.tv_sec, span.tv_nsec / 1000};
    return setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout) == 0;
}

static int open_connection(const char *addr)
{
    struct sockaddr_in address;
    if (!bd_address_parse(addr, &address))
        return -1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    /* the send timeout bounds the connection attempt */
    if (!set_send_timeout(fd, CONNECT_TIMEOUT_S) ||
        connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Replaces the old connection by a new one, or by none (-1). Bytes that the old connection did not
 * accept are dropped, because they may begin in the middle of a frame. True: there was no
 * connection before, and there is one now. */
static bool replace_connection(struct bd_peer_link *link, int fd)
{
    (void)pthread_mutex_lock(&link->lock);
    bool is_newly_connected = link->fd < 0 && fd >= 0;
    flush_outbox(link, BD_TRAFFIC_FORWARD);
    disconnect(link);
    link->fd = fd;
    (void)pthread_mutex_unlock(&link->lock);
    if (fd >= 0)
        bd_count_connections(bd_metrics_counter(link->node->metrics, BD_TRAFFIC_PEER_STATUS), 1);
    return is_newly_connected;
}

/* The function of one peer's connecting thread. A connection can be broken for minutes without an
 * error, while nothing that is sent arrives. Each connection is therefore replaced after
 * CONNECTION_LIFE_S; the new one is opened before the old one is closed. */
static void *connect_run(void *arg)
{
    struct bd_peer_link *link = arg;
    struct bd_frame *frame = calloc(1, sizeof *frame);
    while (frame) {
        void *wakeup;
        int fd = open_connection(link->node->settings.peers[link->peer].addr);
        if (replace_connection(link, fd))
            send_status(link, frame, false);
        struct timespec opened_at = bd_now();
        double life_s = fd >= 0 ? CONNECTION_LIFE_S : PEER_STATUS_INTERVAL_S;
        (void)bd_queue_take(&link->reconnects, &wakeup, 1, bd_time_add(opened_at, bd_secs(life_s)));
        /* a connection that fails at once is not reopened in a busy loop */
        double open_s = bd_seconds_between(opened_at, bd_now());
        if (open_s < PEER_STATUS_INTERVAL_S)
            bd_sleep(PEER_STATUS_INTERVAL_S - open_s);
    }
    return NULL;
}

static struct bd_peer_link *new_link(struct bd_node *node, int peer)
{
    struct bd_peer_link *link = calloc(1, sizeof *link);
    if (!link)
        return NULL;
    link->node = node;
    link->peer = peer;
    link->fd = -1;
    if (bd_queue_init(&link->reconnects, 1) != 0 || pthread_mutex_init(&link->lock, NULL) != 0) {
        free(link);
        return NULL;
    }
    return link;
}

int bd_transport_start(struct bd_node *node)
{
    if (pthread_mutex_init(&node->status_lock, NULL) != 0)
        return -1;
    node->status.type = BD_FRAME_PEER_STATUS;
    snprintf(node->status.sender, sizeof node->status.sender, "%s", node->settings.node);
    for (int i = 0; i < node->settings.npeers; i++) {
        node->links[i] = new_link(node, i);
        if (!node->links[i])
            return -1;
    }
    int result = bd_peer_listener_start(node);
    for (int i = 0; i < node->settings.npeers && result == 0; i++)
        result = bd_thread_start(connect_run, node->links[i], BD_THREAD_STACK_BYTES);
    return result == 0 ? bd_thread_start(status_run, node, BD_THREAD_STACK_BYTES) : result;
}