/* Direct commands to workers: a few threads, each with connections that it keeps.
 *
 * A worker's commands go to the same thread as long as that one is not held up, so that its
 * connection is used again: at a burst of short tasks opening connections cost the leader more than
 * all the rest. Nothing waits behind a worker that does not answer while another thread is idle.
 * Threads: bd_worker_client_send is called by the owner alone. */
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/effect.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>

/* named defaults */
#define ANSWER_S 1.5
#define SLOW_S 0.1 /* a sender that has waited so long for an answer gets nothing new */
#define SENDERS_MIN 6
#define SENDERS_MAX 64
#define SOCKETS_A_SENDER 80 /* of all: a hundred machines that hang at once hold up few others */
#define OWN_SHARE 0.35      /* of all sockets, for those that we open: to workers and all others */
#define KEEP_MIN 4
#define QUEUE_CAP 1024
#define IDLE_WAIT_S 5.0
#define STACK_BYTES 131072

struct sender {
    struct bd_node *n;
    struct bd_queue queue;
    atomic_int waiting;       /* commands in the queue, and the one being sent */
    atomic_llong asked_at_ms; /* when the one being sent went out; 0: none is */
};

struct bd_worker_client {
    int nsenders;
    struct sender senders[SENDERS_MAX];
};

static long long now_ms(void)
{
    return (long long)(bd_to_secs(bd_now()) * 1000.0);
}

static int sender_count(const struct bd_settings *settings)
{
    int n = settings->max_sockets / SOCKETS_A_SENDER;
    return n < SENDERS_MIN ? SENDERS_MIN : n > SENDERS_MAX ? SENDERS_MAX : n;
}

static int kept_connections(const struct bd_settings *settings)
{
    int n = ((int)(OWN_SHARE * settings->max_sockets) - BD_SOCKETS_OWN) / sender_count(settings);
    return n < KEEP_MIN ? KEEP_MIN : n;
}

int bd_worker_client_sockets(const struct bd_settings *settings)
{
    return sender_count(settings) * kept_connections(settings);
}

/* Sends one command; the answer, or that there was none, goes to the owner. One that waited here
 * for longer than the right to it lasted is not sent: it would start what was cancelled meanwhile,
 * and hold up those behind it. */
static void send_command(struct sender *s, struct bd_http *http, struct bd_effect *effect)
{
    char url[128];
    struct bd_http_response r;
    struct bd_event *event = bd_event_new(BD_EVENT_DIRECT_COMMAND_COMPLETED);
    snprintf(url, sizeof url, "http://%s" BD_PATH_COMMANDS, effect->addr);
    if (bd_before(bd_now(), effect->until)) {
        bd_http_call(http, "POST", url, effect->body, ANSWER_S, &r);
        event->status = r.status;
        event->text = r.body;
        event->len = r.len;
    } else {
        event->status = BD_DIRECT_NOT_SENT;
    }
    event->machine = effect->machine;
    event->number = effect->fencing_token;
    event->flag = effect->launch;
    bd_effect_free(effect);
    bd_event_post(s->n, event);
}

static void *sender_run(void *arg)
{
    struct sender *s = arg;
    struct bd_http *http = bd_http_new(kept_connections(&s->n->settings),
                                       bd_metrics_counter(s->n->metrics, BD_TRAFFIC_DIRECT));
    while (http) {
        void *item;
        if (bd_queue_take(&s->queue, &item, 1, bd_add(bd_now(), bd_secs(IDLE_WAIT_S))) == 0)
            continue;
        atomic_store(&s->asked_at_ms, now_ms());
        send_command(s, http, item);
        atomic_store(&s->asked_at_ms, 0);
        atomic_fetch_sub(&s->waiting, 1);
    }
    return NULL;
}

static bool held_up(struct sender *s, long long now)
{
    long long since = atomic_load(&s->asked_at_ms);
    return since != 0 && (double)(now - since) / 1000.0 > SLOW_S;
}

static bool full(struct sender *s)
{
    return atomic_load(&s->waiting) >= QUEUE_CAP;
}

/* The worker's own sender, or the least busy one while that waits for an answer or is full. A
 * machine has one command under way, so that the fewest senders hold those of 4,000 machines even
 * if all but one are held up. */
static struct sender *sender_for(struct bd_worker_client *w, uint32_t machine)
{
    long long now = now_ms();
    struct sender *best = &w->senders[machine % (uint32_t)w->nsenders];
    if (!held_up(best, now) && !full(best))
        return best;
    for (int i = 0; i < w->nsenders; i++) {
        struct sender *s = &w->senders[i];
        if (!full(s) && (full(best) || !held_up(s, now)) &&
            (full(best) || held_up(best, now) ||
             atomic_load(&s->waiting) < atomic_load(&best->waiting)))
            best = s;
    }
    return best;
}

void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect)
{
    struct sender *s = sender_for(node->worker_client, effect->machine);
    atomic_fetch_add(&s->waiting, 1);
    while (!bd_queue_put(&s->queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "the queue of direct commands is full");
        bd_pause(0.05);
    }
}

int bd_worker_client_start(struct bd_node *node)
{
    int rc = 0;
    struct bd_worker_client *w = calloc(1, sizeof *w);
    if (!w)
        return -1;
    node->worker_client = w;
    w->nsenders = sender_count(&node->settings);
    for (int i = 0; i < w->nsenders && rc == 0; i++) {
        w->senders[i].n = node;
        rc = bd_queue_init(&w->senders[i].queue, QUEUE_CAP);
        if (rc == 0)
            rc = bd_thread_start(sender_run, &w->senders[i], STACK_BYTES);
    }
    return rc;
}
