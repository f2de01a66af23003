#include "adapters/peer_listener.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "adapters/peer_traffic.h"
#include "base/address.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SILENT_TIMEOUT_S 20.0 /* a connection that sends nothing for so long is closed */
#define POLL_TIMEOUT_MS 2000  /* between checks for silent connections */
#define CONNECTIONS_MAX (2 * BD_MAX_PEERS + 8) /* a new connection overlaps the old one */
#define READ_BYTES 4096
#define STACK_BYTES 131072

struct connection {
    int fd; /* -1: unused */
    size_t len, cap;
    struct timespec heard;
    unsigned char *buf;
    /* the last status that came */
    uint64_t term;
    uint8_t flags;
    char name[BD_LABEL];
};

struct listener {
    struct bd_node *node;
    int fd;
    struct connection connections[CONNECTIONS_MAX];
    struct bd_frame frame; /* the one being read */
};

static void close_connection(struct connection *connection)
{
    (void)close(connection->fd);
    free(connection->buf);
    memset(connection, 0, sizeof *connection);
    connection->fd = -1;
}

/* Whether the frame says only that its sender is as it was: the owner thread learns of it with the
 * next event. What is decided then rests on the time of the frame's arrival, not of its handling.
 */
static bool is_unchanged_status(struct connection *connection, const struct bd_frame *frame)
{
    if (frame->type == BD_FRAME_PROGRESS)
        return true; /* for display only */
    if (frame->type != BD_FRAME_STATUS)
        return false;
    bool same = connection->term == frame->term && connection->flags == frame->flags &&
                strcmp(connection->name, frame->name) == 0;
    connection->term = frame->term;
    connection->flags = frame->flags;
    memcpy(connection->name, frame->name, sizeof connection->name);
    return same;
}

static void post_frame(struct bd_node *node, struct connection *connection,
                       const struct bd_frame *frame)
{
    struct bd_event *event = bd_event_new(BD_EVENT_PEER_FRAME);
    size_t size = offsetof(struct bd_frame, jobs) + frame->count * sizeof frame->jobs[0];
    event->peer_frame.frame = malloc(size); /* without the space for jobs that it does not name */
    if (!event->peer_frame.frame)
        abort();
    memcpy(event->peer_frame.frame, frame, size);
    event->peer_frame.received = connection->heard;
    if (frame->text) {
        event->peer_frame.text = strndup(frame->text, frame->len);
        event->peer_frame.len = frame->len;
    }
    bool quiet = is_unchanged_status(connection, frame);
    if (!(quiet ? bd_queue_put_quietly(&node->events, event) : bd_queue_put(&node->events, event)))
        bd_event_free(event); /* the next status says it again */
}

/* One whole frame is the most that a connection can claim. */
static bool grow_buffer(struct connection *connection)
{
    if (connection->len < connection->cap)
        return true;
    size_t capacity = connection->cap ? connection->cap * 2 : READ_BYTES;
    if (capacity > BD_FRAME_MAX)
        capacity = BD_FRAME_MAX;
    unsigned char *grown = capacity > connection->cap ? realloc(connection->buf, capacity) : NULL;
    if (!grown)
        return false;
    connection->buf = grown;
    connection->cap = capacity;
    return true;
}

/* Posts all whole frames in the buffer. False: what came is not a frame. */
static bool post_frames(struct listener *listener, struct connection *connection)
{
    size_t taken = 0;
    long used;
    while ((used = bd_frame_read(connection->buf + taken, connection->len - taken,
                                 &listener->frame)) > 0) {
        bd_count_message(
            bd_metrics_counter(listener->node->metrics, bd_frame_traffic(&listener->frame)), 0,
            (size_t)used);
        post_frame(listener->node, connection, &listener->frame);
        taken += (size_t)used;
    }
    connection->len -= taken;
    memmove(connection->buf, connection->buf + taken, connection->len);
    if (used < 0)
        bd_log_write(&listener->node->log, BD_LOG_ERROR, "malformed frame from a peer");
    return used == 0;
}

static void read_connection(struct listener *listener, struct connection *connection)
{
    if (!grow_buffer(connection)) {
        close_connection(connection);
        return;
    }
    ssize_t got = recv(connection->fd, connection->buf + connection->len,
                       connection->cap - connection->len, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (got <= 0) {
        close_connection(connection);
        return;
    }
    connection->len += (size_t)got;
    connection->heard = bd_now();
    if (!post_frames(listener, connection))
        close_connection(connection);
}

static void accept_connection(struct listener *listener)
{
    int fd = accept(listener->fd, NULL, NULL);
    if (fd < 0)
        return;
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (listener->connections[i].fd >= 0)
            continue;
        listener->connections[i].fd = fd;
        listener->connections[i].heard = bd_now();
        return;
    }
    (void)close(fd);
}

/* Fills the set with the listening socket and all connections; how many they are. */
static nfds_t fill_poll_set(const struct listener *listener, struct pollfd *polled, int *which)
{
    nfds_t n = 0;
    polled[n++] = (struct pollfd){.fd = listener->fd, .events = POLLIN};
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (listener->connections[i].fd < 0)
            continue;
        which[n] = i;
        polled[n++] = (struct pollfd){.fd = listener->connections[i].fd, .events = POLLIN};
    }
    return n;
}

static void *listen_run(void *arg)
{
    struct listener *listener = arg;
    struct pollfd polled[CONNECTIONS_MAX + 1];
    int which[CONNECTIONS_MAX + 1];
    for (;;) {
        nfds_t n = fill_poll_set(listener, polled, which);
        int ready = poll(polled, n, POLL_TIMEOUT_MS);
        struct timespec now = bd_now();
        for (nfds_t i = 1; i < n; i++) {
            struct connection *connection = &listener->connections[which[i]];
            if (ready > 0 && polled[i].revents)
                read_connection(listener, connection);
            else if (bd_between(connection->heard, now) > SILENT_TIMEOUT_S)
                close_connection(connection);
        }
        if (ready > 0 && polled[0].revents)
            accept_connection(listener);
    }
    return NULL;
}

int bd_peer_listener_start(struct bd_node *node)
{
    struct sockaddr_in address;
    int one = 1;
    struct listener *listener = calloc(1, sizeof *listener);
    if (!listener || !bd_address_parse(node->settings.peer_addr, &address)) {
        free(listener);
        return -1;
    }
    listener->node = node;
    for (int i = 0; i < CONNECTIONS_MAX; i++)
        listener->connections[i].fd = -1;
    listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener->fd >= 0)
        (void)setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (listener->fd < 0 || bind(listener->fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listener->fd, CONNECTIONS_MAX) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s", node->settings.peer_addr);
        if (listener->fd >= 0)
            (void)close(listener->fd);
        free(listener);
        return -1;
    }
    return bd_thread_start(listen_run, listener, STACK_BYTES);
}