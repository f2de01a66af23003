/* The controllers' own connections: each node sends its status to every other, and reads theirs.
 * Nothing that a rule rests on goes this way; it only makes failures shorter. */
#include "brambledoor/frame.h"
#include "brambledoor/node.h"
#include "brambledoor/timeutil.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* named defaults */
#define BEAT_S 0.4
#define PROGRESS_S 1.2 /* between beats that carry the jobs' counts, which are for display */
#define BEAT_BYTES 16384u
#define SEND_S 0.5
#define LIFE_S 4.0
#define SILENT_S 20.0                   /* an incoming connection that says nothing is closed */
#define INCOMING (2 * BD_MAX_PEERS + 8) /* a new connection overlaps the old one */

struct line { /* one connection that came in */
    int fd;
    size_t len;
    size_t cap;
    struct timespec heard;
    unsigned char *buf;
};

struct ear {
    struct bd_node *n;
    int fd;
    struct line lines[INCOMING];
};

struct mouth {
    struct bd_node *n;
    int peer, fd;
    struct timespec next_beat, next_progress, dialled;
};

struct words { /* frames that go out together: each packet and each call costs */
    size_t len;
    unsigned char buf[BEAT_BYTES];
};

static void set_timeouts(int fd, double s)
{
    struct timeval tv = {(time_t)s, (suseconds_t)((s - (double)(time_t)s) * 1e6)};
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
}

/* ---- hearing ---- */

static void hang_up(struct line *l)
{
    (void)close(l->fd);
    free(l->buf);
    l->buf = NULL;
    l->fd = -1;
    l->len = l->cap = 0;
}

static void tell(struct bd_node *n, const struct bd_frame *f)
{
    struct bd_cmd *cmd = bd_cmd_new(BD_C_PEER);
    cmd->data = malloc(sizeof *f);
    if (!cmd->data)
        abort();
    memcpy(cmd->data, f, sizeof *f);
    if (f->text) {
        cmd->text = strndup(f->text, f->len);
        cmd->len = f->len;
    }
    if (!bd_queue_put(&n->to_owner, cmd))
        bd_cmd_free(cmd); /* the next beat says it again */
}

/* Room for one whole frame is the most that a connection can claim. */
static bool make_room(struct line *l)
{
    if (l->len < l->cap)
        return true;
    size_t cap = l->cap ? l->cap * 2 : 4096;
    if (cap > BD_FRAME_MOST)
        cap = BD_FRAME_MOST;
    unsigned char *p = cap > l->cap ? realloc(l->buf, cap) : NULL;
    if (!p)
        return false;
    l->buf = p;
    l->cap = cap;
    return true;
}

static void hear(struct ear *e, struct line *l)
{
    struct bd_frame *f = calloc(1, sizeof *f);
    long used = -1;
    ssize_t got = -1;
    if (f && make_room(l)) {
        got = recv(l->fd, l->buf + l->len, l->cap - l->len, MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            free(f);
            return;
        }
    }
    if (got > 0) {
        l->len += (size_t)got;
        l->heard = bd_now();
        while ((used = bd_frame_read(l->buf, l->len, f)) > 0) {
            tell(e->n, f);
            l->len -= (size_t)used;
            memmove(l->buf, l->buf + used, l->len);
        }
        if (used < 0)
            bd_say(&e->n->log, BD_ERROR, "malformed frame from another controller");
    }
    free(f);
    if (used < 0)
        hang_up(l);
}

static void take_in(struct ear *e)
{
    int fd = accept(e->fd, NULL, NULL);
    if (fd < 0)
        return;
    for (int i = 0; i < INCOMING; i++) {
        if (e->lines[i].fd >= 0)
            continue;
        e->lines[i].fd = fd;
        e->lines[i].len = 0;
        e->lines[i].heard = bd_now();
        return;
    }
    (void)close(fd);
}

static void *listen_run(void *arg)
{
    struct ear *e = arg;
    for (;;) {
        struct pollfd p[INCOMING + 1];
        p[0] = (struct pollfd){.fd = e->fd, .events = POLLIN};
        for (int i = 0; i < INCOMING; i++)
            p[i + 1] = (struct pollfd){.fd = e->lines[i].fd, .events = POLLIN};
        int ready = poll(p, INCOMING + 1, 2000);
        struct timespec now = bd_now();
        for (int i = 0; i < INCOMING; i++) {
            struct line *l = &e->lines[i];
            if (l->fd < 0)
                continue;
            if (ready > 0 && p[i + 1].revents)
                hear(e, l);
            else if (bd_between(l->heard, now) > SILENT_S)
                hang_up(l);
        }
        if (ready > 0 && p[0].revents)
            take_in(e);
    }
    return NULL;
}

/* ---- speaking ---- */

static int dial(const char *addr)
{
    struct sockaddr_in to;
    if (!bd_parse_addr(addr, &to))
        return -1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    set_timeouts(fd, SEND_S); /* bounds the connection attempt too */
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

static bool send_all(int fd, const unsigned char *buf, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, buf, len, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        buf += n;
        len -= (size_t)n;
    }
    return true;
}

static bool speak(struct mouth *m, struct words *w)
{
    bool ok = w->len == 0 || send_all(m->fd, w->buf, w->len);
    w->len = 0;
    return ok;
}

/* A full progress frame is much smaller than the room for all. */
static bool add_words(struct mouth *m, struct words *w, const struct bd_frame *f)
{
    size_t len = bd_frame_write(f, w->buf + w->len, sizeof w->buf - w->len);
    if (len == 0 && w->len > 0) {
        if (!speak(m, w))
            return false;
        len = bd_frame_write(f, w->buf, sizeof w->buf);
    }
    w->len += len;
    return len > 0;
}

struct note { /* a frame to be sent at once */
    size_t len;
    unsigned char bytes[];
};

bool bd_mesh_send(struct bd_node *n, int peer, const struct bd_frame *f)
{
    struct note *k = malloc(sizeof *k + f->len + 256);
    if (!k)
        return false;
    k->len = bd_frame_write(f, k->bytes, f->len + 256);
    if (k->len > 0 && bd_queue_put(&n->to_peer[peer], k))
        return true;
    free(k);
    return false;
}

static void hang(struct mouth *m)
{
    (void)close(m->fd);
    m->fd = -1;
}

/* A connection can be dead without an error, for minutes: what is sent goes nowhere and the peer
 * hears nothing. So each is replaced after a while, the new one being opened first. */
static void redial(struct mouth *m)
{
    struct timespec now = bd_now();
    if (m->fd >= 0 && bd_between(m->dialled, now) < LIFE_S)
        return;
    int fd = dial(m->n->set.peers[m->peer].addr);
    if (m->fd >= 0)
        (void)close(m->fd);
    m->fd = fd;
    m->dialled = now;
}

static bool add_progress(struct mouth *m, struct words *w, struct bd_frame *f)
{
    bool ok = true;
    for (uint32_t from = 0; ok; from += f->count) {
        (void)pthread_mutex_lock(&m->n->said_lock);
        memset(f, 0, sizeof *f);
        f->type = BD_FRAME_PROGRESS;
        while (f->count < BD_FRAME_JOBS && from + f->count < m->n->nprogress) {
            f->jobs[f->count] = m->n->progress[from + f->count];
            f->count++;
        }
        (void)pthread_mutex_unlock(&m->n->said_lock);
        if (f->count == 0)
            break;
        ok = add_words(m, w, f);
    }
    return ok;
}

static void beat(struct mouth *m, struct bd_frame *f)
{
    struct words w;
    w.len = 0;
    redial(m);
    if (m->fd < 0)
        return;
    (void)pthread_mutex_lock(&m->n->said_lock);
    *f = m->n->status;
    (void)pthread_mutex_unlock(&m->n->said_lock);
    bool ok = add_words(m, &w, f);
    if (ok && bd_before(m->next_progress, bd_now())) {
        m->next_progress = bd_add(bd_now(), bd_secs(PROGRESS_S));
        ok = add_progress(m, &w, f);
    }
    if (!ok || !speak(m, &w))
        hang(m);
}

/* What cannot be sent is dropped: whoever waits for the answer has a deadline. */
static void pass_on(struct mouth *m, struct note *k)
{
    if (m->fd >= 0 && !send_all(m->fd, k->bytes, k->len))
        hang(m);
    free(k);
}

static void *speak_run(void *arg)
{
    struct mouth *m = arg;
    struct bd_frame *f = calloc(1, sizeof *f);
    while (f) {
        void *k;
        if (bd_queue_take(&m->n->to_peer[m->peer], &k, 1, m->next_beat) == 1)
            pass_on(m, k);
        if (bd_before(bd_now(), m->next_beat))
            continue;
        beat(m, f);
        m->next_beat = bd_add(bd_now(), bd_secs(BEAT_S));
    }
    return NULL;
}

static int open_ear(struct bd_node *n)
{
    struct sockaddr_in at;
    int one = 1;
    struct ear *e = calloc(1, sizeof *e);
    if (!e || !bd_parse_addr(n->set.mesh, &at))
        return -1;
    e->n = n;
    for (int i = 0; i < INCOMING; i++)
        e->lines[i].fd = -1;
    e->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (e->fd < 0)
        return -1;
    (void)setsockopt(e->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(e->fd, (struct sockaddr *)&at, sizeof at) != 0 || listen(e->fd, 16) != 0) {
        bd_say(&n->log, BD_ERROR, "cannot listen on %s", n->set.mesh);
        return -1;
    }
    return bd_thread(listen_run, e, 131072);
}

int bd_mesh_start(struct bd_node *n)
{
    if (pthread_mutex_init(&n->said_lock, NULL) != 0)
        return -1;
    n->status.type = BD_FRAME_STATUS;
    snprintf(n->status.name, sizeof n->status.name, "%s", n->set.node);
    int rc = open_ear(n);
    for (int i = 0; i < n->set.npeers; i++) {
        struct mouth *m = calloc(1, sizeof *m);
        if (!m)
            return -1;
        *m = (struct mouth){.n = n, .peer = i, .fd = -1};
        if (bd_queue_init(&n->to_peer[i], 256) != 0)
            return -1;
        rc |= bd_thread(speak_run, m, 131072);
    }
    return rc;
}
