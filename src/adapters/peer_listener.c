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
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#define IDLE_TIMEOUT_S 20.0  /* a connection that receives nothing for this time is closed */
#define POLL_TIMEOUT_MS 2000 /* between checks for idle connections */
#define CONNECTIONS_MAX (2 * BD_PEERS_MAX + 8) /* a peer's new connection overlaps its old one */
#define BUFFER_BYTES_MIN 4096

/* A connection that a peer opened. */
struct connection {
    int fd; /* -1: unused */
    unsigned char *buffer;
    size_t len, capacity; /* of the buffer: bytes received and not parsed yet; bytes allocated */
    struct timespec received_at; /* when the newest bytes arrived, or else the connection */
    /* contents of the last peer status received */
    uint64_t status_term;
    uint8_t status_flags;
    char status_name[BD_LABEL_BYTES];
};

/* Owned by the listening thread. */
struct listener {
    struct bd_node *node;
    int fd;
    struct connection connections[CONNECTIONS_MAX];
    struct bd_frame frame; /* the frame being parsed */
};

static void close_connection(struct connection *connection)
{
    (void)close(connection->fd);
    free(connection->buffer);
    memset(connection, 0, sizeof *connection);
    connection->fd = -1;
}

/* Whether the owner thread need not be woken for the frame: job progress, or an unchanged status.
 * Decisions depend on when such a status was received, not on when it is handled. Stores a changed
 * status in the connection. */
static bool can_post_without_wakeup(struct connection *connection, const struct bd_frame *frame)
{
    if (frame->type == BD_FRAME_JOB_PROGRESS)
        return true; /* only for display */
    if (frame->type != BD_FRAME_PEER_STATUS)
        return false;
    bool is_unchanged = connection->status_term == frame->term &&
                        connection->status_flags == frame->flags &&
                        strcmp(connection->status_name, frame->sender) == 0;
    connection->status_term = frame->term;
    connection->status_flags = frame->flags;
    memcpy(connection->status_name, frame->sender, sizeof connection->status_name);
    return is_unchanged;
}

static void post_frame(struct bd_node *node, struct connection *connection,
                       const struct bd_frame *frame)
{
    struct bd_event *event = bd_event_new(BD_EVENT_PEER_FRAME_RECEIVED);
    size_t size = offsetof(struct bd_frame, jobs) + frame->count * sizeof frame->jobs[0];
    event->peer_frame.frame = malloc(size); /* without the unused entries of jobs */
    if (!event->peer_frame.frame)
        abort();
    memcpy(event->peer_frame.frame, frame, size);
    event->peer_frame.received_at = connection->received_at;
    if (frame->text) {
        event->peer_frame.text = strndup(frame->text, frame->len);
        event->peer_frame.len = frame->len;
    }
    bool is_queued = can_post_without_wakeup(connection, frame)
                         ? bd_queue_put_without_wakeup(&node->events, event)
                         : bd_queue_put(&node->events, event);
    if (!is_queued)
        bd_event_free(event); /* harmless: peers repeat their status, and requests have deadlines */
}

/* Makes space for received bytes. False: out of memory, or the buffer is full at the size of the
 * largest frame. */
static bool grow_buffer(struct connection *connection)
{
    if (connection->len < connection->capacity)
        return true;
    size_t capacity = connection->capacity ? connection->capacity * 2 : BUFFER_BYTES_MIN;
    if (capacity > BD_FRAME_BYTES_MAX)
        capacity = BD_FRAME_BYTES_MAX;
    unsigned char *grown =
        capacity > connection->capacity ? realloc(connection->buffer, capacity) : NULL;
    if (!grown)
        return false;
    connection->buffer = grown;
    connection->capacity = capacity;
    return true;
}

/* Posts all complete frames in the buffer. False: the buffer holds a malformed frame. */
static bool post_frames(struct listener *listener, struct connection *connection)
{
    size_t consumed = 0;
    long frame_bytes;
    while ((frame_bytes = bd_frame_read(connection->buffer + consumed, connection->len - consumed,
                                        &listener->frame)) > 0) {
        bd_count_message(
            bd_metrics_counter(listener->node->metrics, bd_frame_traffic(&listener->frame)), 0,
            (size_t)frame_bytes);
        post_frame(listener->node, connection, &listener->frame);
        consumed += (size_t)frame_bytes;
    }
    connection->len -= consumed;
    memmove(connection->buffer, connection->buffer + consumed, connection->len);
    if (frame_bytes < 0)
        bd_log_write(&listener->node->log, BD_LOG_ERROR,
                     "malformed frame from a peer; closing the connection");
    return frame_bytes == 0;
}

static void read_connection(struct listener *listener, struct connection *connection)
{
    if (!grow_buffer(connection)) {
        close_connection(connection);
        return;
    }
    ssize_t received = recv(connection->fd, connection->buffer + connection->len,
                            connection->capacity - connection->len, MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (received <= 0) {
        close_connection(connection);
        return;
    }
    connection->len += (size_t)received;
    connection->received_at = bd_now();
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
        listener->connections[i].received_at = bd_now();
        return;
    }
    (void)close(fd);
}

/* Fills poll_fds with the listening socket, followed by all open connections, and indices with the
 * connections' indices at the same positions. Returns the number of sockets. */
static nfds_t fill_poll_set(const struct listener *listener, struct pollfd *poll_fds, int *indices)
{
    nfds_t nsockets = 0;
    poll_fds[nsockets++] = (struct pollfd){.fd = listener->fd, .events = POLLIN};
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (listener->connections[i].fd < 0)
            continue;
        indices[nsockets] = i;
        poll_fds[nsockets++] = (struct pollfd){.fd = listener->connections[i].fd, .events = POLLIN};
    }
    return nsockets;
}

/* The function of the listening thread. */
static void *listen_run(void *arg)
{
    struct listener *listener = arg;
    struct pollfd poll_fds[CONNECTIONS_MAX + 1];
    int indices[CONNECTIONS_MAX + 1];
    for (;;) {
        nfds_t nsockets = fill_poll_set(listener, poll_fds, indices);
        int ready = poll(poll_fds, nsockets, POLL_TIMEOUT_MS);
        struct timespec now = bd_now();
        for (nfds_t i = 1; i < nsockets; i++) {
            struct connection *connection = &listener->connections[indices[i]];
            if (ready > 0 && poll_fds[i].revents)
                read_connection(listener, connection);
            else if (bd_seconds_between(connection->received_at, now) > IDLE_TIMEOUT_S)
                close_connection(connection);
        }
        if (ready > 0 && poll_fds[0].revents)
            accept_connection(listener);
    }
    return NULL;
}

/* Opens a socket that listens on the address. Returns -1 on failure. */
static int open_listening_socket(const struct sockaddr_in *address)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (const struct sockaddr *)address, sizeof *address) != 0 ||
        listen(fd, CONNECTIONS_MAX) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

int bd_peer_listener_start(struct bd_node *node)
{
    struct sockaddr_in address;
    if (!bd_address_parse(node->settings.peer_addr, &address))
        return -1;
    struct listener *listener = calloc(1, sizeof *listener);
    if (!listener)
        return -1;
    listener->node = node;
    for (int i = 0; i < CONNECTIONS_MAX; i++)
        listener->connections[i].fd = -1;
    listener->fd = open_listening_socket(&address);
    if (listener->fd < 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s", node->settings.peer_addr);
        free(listener);
        return -1;
    }
    return bd_thread_start(listen_run, listener, BD_THREAD_STACK_BYTES);
}
