/* Frames from the other controllers: accepts their connections and hands whole frames to the owner
 * thread.
 *
 * One thread, which alone owns the connections that came in. */
#include "adapters/event.h"
#include "adapters/node.h"
#include "adapters/peer_transport.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SILENT_S 20.0                   /* an incoming connection that says nothing is closed */
#define IDLE_POLL_MS 2000               /* between refreshes for silent connections */
#define INCOMING (2 * BD_MAX_PEERS + 8) /* a new connection overlaps the old one */
#define READ_BYTES 4096

/* ---- connections that came in ---- */

struct incoming {
    int fd; /* -1: unused */
    size_t len, cap;
    struct timespec heard;
    unsigned char *buf;
    /* the last status that it said */
    uint64_t term;
    uint8_t flags;
    char name[BD_LABEL];
};

struct listener {
    struct bd_node *n;
    int fd;
    struct incoming incoming[INCOMING];
    struct bd_frame frame; /* the one being read */
};

static void close_incoming(struct incoming *in)
{
    (void)close(in->fd);
    free(in->buf);
    memset(in, 0, sizeof *in);
    in->fd = -1;
}

/* Whether the frame says only that its sender is as it was: the owner thread learns of it with the
 * next command. What is decided then rests on the time of the frame's arrival, not of its handling.
 */
static bool says_nothing_new(struct incoming *in, const struct bd_frame *frame)
{
    if (frame->type == BD_FRAME_PROGRESS)
        return true; /* for display only */
    if (frame->type != BD_FRAME_STATUS)
        return false;
    bool same =
        in->term == frame->term && in->flags == frame->flags && strcmp(in->name, frame->name) == 0;
    in->term = frame->term;
    in->flags = frame->flags;
    memcpy(in->name, frame->name, sizeof in->name);
    return same;
}

static void hand_over(struct bd_node *node, struct incoming *in, const struct bd_frame *frame)
{
    struct bd_event *event = bd_event_new(BD_EVENT_PEER_FRAME);
    size_t size = offsetof(struct bd_frame, jobs) + frame->count * sizeof frame->jobs[0];
    event->data = malloc(size); /* without the room for jobs that it does not name */
    if (!event->data)
        abort();
    memcpy(event->data, frame, size);
    event->sent = in->heard;
    if (frame->text) {
        event->text = strndup(frame->text, frame->len);
        event->len = frame->len;
    }
    bool quiet = says_nothing_new(in, frame);
    if (!(quiet ? bd_queue_put_quietly(&node->events, event) : bd_queue_put(&node->events, event)))
        bd_event_free(event); /* the next heartbeat says it again */
}

/* Room for one whole frame is the most that a connection can claim. */
static bool make_room(struct incoming *in)
{
    if (in->len < in->cap)
        return true;
    size_t cap = in->cap ? in->cap * 2 : READ_BYTES;
    if (cap > BD_FRAME_MAX)
        cap = BD_FRAME_MAX;
    unsigned char *grown = cap > in->cap ? realloc(in->buf, cap) : NULL;
    if (!grown)
        return false;
    in->buf = grown;
    in->cap = cap;
    return true;
}

enum bd_traffic bd_frame_traffic(const struct bd_frame *frame)
{
    return frame->type == BD_FRAME_STATUS || frame->type == BD_FRAME_PROGRESS
               ? BD_TRAFFIC_PEER_STATUS
               : BD_TRAFFIC_FORWARD;
}

/* Hands over all whole frames in the buffer. False: what came is not a frame. */
static bool take_frames(struct listener *l, struct incoming *in)
{
    size_t taken = 0;
    long used;
    while ((used = bd_frame_read(in->buf + taken, in->len - taken, &l->frame)) > 0) {
        bd_count_message(bd_metrics_counter(l->n->metrics, bd_frame_traffic(&l->frame)), 0,
                         (size_t)used);
        hand_over(l->n, in, &l->frame);
        taken += (size_t)used;
    }
    in->len -= taken;
    memmove(in->buf, in->buf + taken, in->len);
    if (used < 0)
        bd_log_write(&l->n->log, BD_LOG_ERROR, "malformed frame from a peer");
    return used == 0;
}

static void read_incoming(struct listener *l, struct incoming *in)
{
    if (!make_room(in)) {
        close_incoming(in);
        return;
    }
    ssize_t got = recv(in->fd, in->buf + in->len, in->cap - in->len, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (got <= 0) {
        close_incoming(in);
        return;
    }
    in->len += (size_t)got;
    in->heard = bd_now();
    if (!take_frames(l, in))
        close_incoming(in);
}

static void accept_incoming(struct listener *l)
{
    int fd = accept(l->fd, NULL, NULL);
    if (fd < 0)
        return;
    for (int i = 0; i < INCOMING; i++) {
        if (l->incoming[i].fd >= 0)
            continue;
        l->incoming[i].fd = fd;
        l->incoming[i].heard = bd_now();
        return;
    }
    (void)close(fd);
}

/* Fills `p` with the listening socket and all connections; how many they are. */
static nfds_t to_poll(const struct listener *l, struct pollfd *p, int *which)
{
    nfds_t n = 0;
    p[n++] = (struct pollfd){.fd = l->fd, .events = POLLIN};
    for (int i = 0; i < INCOMING; i++) {
        if (l->incoming[i].fd < 0)
            continue;
        which[n] = i;
        p[n++] = (struct pollfd){.fd = l->incoming[i].fd, .events = POLLIN};
    }
    return n;
}

static void *listen_run(void *arg)
{
    struct listener *l = arg;
    struct pollfd p[INCOMING + 1];
    int which[INCOMING + 1];
    for (;;) {
        nfds_t n = to_poll(l, p, which);
        int ready = poll(p, n, IDLE_POLL_MS);
        struct timespec now = bd_now();
        for (nfds_t i = 1; i < n; i++) {
            struct incoming *in = &l->incoming[which[i]];
            if (ready > 0 && p[i].revents)
                read_incoming(l, in);
            else if (bd_between(in->heard, now) > SILENT_S)
                close_incoming(in);
        }
        if (ready > 0 && p[0].revents)
            accept_incoming(l);
    }
    return NULL;
}

int bd_peer_listener_start(struct bd_node *node)
{
    struct sockaddr_in at;
    int one = 1;
    struct listener *l = calloc(1, sizeof *l);
    if (!l || !bd_parse_addr(node->settings.peer_addr, &at)) {
        free(l);
        return -1;
    }
    l->n = node;
    for (int i = 0; i < INCOMING; i++)
        l->incoming[i].fd = -1;
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (l->fd >= 0)
        (void)setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (l->fd < 0 || bind(l->fd, (struct sockaddr *)&at, sizeof at) != 0 ||
        listen(l->fd, INCOMING) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s", node->settings.peer_addr);
        if (l->fd >= 0)
            (void)close(l->fd);
        free(l);
        return -1;
    }
    return bd_thread_start(listen_run, l, STACK_BYTES);
}