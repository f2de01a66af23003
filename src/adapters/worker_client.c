#include "adapters/worker_client.h"
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

#define ANSWER_TIMEOUT_S 1.5
#define HELD_UP_AFTER_S 0.1 /* a sender that has waited so long for an answer gets nothing new */
#define SENDERS_MIN 6
#define SENDERS_MAX 64
#define SOCKETS_PER_SENDER 80 /* so many machines that hang at once hold up few others */
#define OUTGOING_SHARE 0.35   /* of all sockets, for connections that we open */
#define KEPT_CONNECTIONS_MIN 4
#define QUEUE_CAPACITY 1024
#define QUEUE_WAIT_S 5.0
#define QUEUE_FULL_PAUSE_S 0.05
#define STACK_BYTES 131072

struct sender {
    struct bd_node *node;
    struct bd_queue queue;
    atomic_int pending;      /* commands in the queue, and the one being sent */
    atomic_llong sent_at_ms; /* when the one being sent went out; 0: none is */
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
    int n = settings->max_sockets / SOCKETS_PER_SENDER;
    return n < SENDERS_MIN ? SENDERS_MIN : n > SENDERS_MAX ? SENDERS_MAX : n;
}

static int kept_connections(const struct bd_settings *settings)
{
    int n = ((int)(OUTGOING_SHARE * settings->max_sockets) - BD_SOCKETS_RESERVED) /
            sender_count(settings);
    return n < KEPT_CONNECTIONS_MIN ? KEPT_CONNECTIONS_MIN : n;
}

int bd_worker_client_sockets(const struct bd_settings *settings)
{
    return sender_count(settings) * kept_connections(settings);
}

/* Sends one command; the answer, or that there was none, goes to the owner. One that waited here
 * for longer than the right to it lasted is not sent: it would start what was cancelled meanwhile,
 * and hold up those behind it. */
static void send_command(struct sender *sender, struct bd_http *http, struct bd_effect *effect)
{
    char url[128];
    struct bd_http_response response;
    struct bd_event *event = bd_event_new(BD_EVENT_DIRECT_COMMAND_COMPLETED);
    snprintf(url, sizeof url, "http://%s" BD_PATH_COMMANDS, effect->addr);
    if (bd_before(bd_now(), effect->until)) {
        bd_http_call(http, "POST", url, effect->body, ANSWER_TIMEOUT_S, &response);
        event->direct_command.status = response.status;
        event->direct_command.text = response.body;
        event->direct_command.len = response.len;
    } else {
        event->direct_command.status = BD_DIRECT_NOT_SENT;
    }
    event->direct_command.machine = effect->machine;
    event->direct_command.fencing_token = effect->fencing_token;
    event->direct_command.launch = effect->launch;
    bd_effect_free(effect);
    bd_event_post(sender->node, event);
}

static void *sender_run(void *arg)
{
    struct sender *sender = arg;
    struct bd_http *http =
        bd_http_new(kept_connections(&sender->node->settings),
                    bd_metrics_counter(sender->node->metrics, BD_TRAFFIC_DIRECT));
    while (http) {
        void *item;
        if (bd_queue_take(&sender->queue, &item, 1, bd_add(bd_now(), bd_secs(QUEUE_WAIT_S))) == 0)
            continue;
        atomic_store(&sender->sent_at_ms, now_ms());
        send_command(sender, http, item);
        atomic_store(&sender->sent_at_ms, 0);
        atomic_fetch_sub(&sender->pending, 1);
    }
    return NULL;
}

static bool is_held_up(struct sender *sender, long long now)
{
    long long sent_at = atomic_load(&sender->sent_at_ms);
    return sent_at != 0 && (double)(now - sent_at) / 1000.0 > HELD_UP_AFTER_S;
}

static bool is_full(struct sender *sender)
{
    return atomic_load(&sender->pending) >= QUEUE_CAPACITY;
}

/* The worker's own sender, or the least busy one while that waits for an answer or is full. A
 * machine has one command under way, so that the fewest senders hold those of 4,000 machines even
 * if all but one are held up. */
static struct sender *choose_sender(struct bd_worker_client *client, uint32_t machine)
{
    long long now = now_ms();
    struct sender *best = &client->senders[machine % (uint32_t)client->nsenders];
    if (!is_held_up(best, now) && !is_full(best))
        return best;
    for (int i = 0; i < client->nsenders; i++) {
        struct sender *sender = &client->senders[i];
        if (!is_full(sender) && (is_full(best) || !is_held_up(sender, now)) &&
            (is_full(best) || is_held_up(best, now) ||
             atomic_load(&sender->pending) < atomic_load(&best->pending)))
            best = sender;
    }
    return best;
}

void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect)
{
    struct sender *sender = choose_sender(node->worker_client, effect->machine);
    atomic_fetch_add(&sender->pending, 1);
    while (!bd_queue_put(&sender->queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "the queue of direct commands is full");
        bd_pause(QUEUE_FULL_PAUSE_S);
    }
}

int bd_worker_client_start(struct bd_node *node)
{
    int result = 0;
    struct bd_worker_client *client = calloc(1, sizeof *client);
    if (!client)
        return -1;
    node->worker_client = client;
    client->nsenders = sender_count(&node->settings);
    for (int i = 0; i < client->nsenders && result == 0; i++) {
        client->senders[i].node = node;
        result = bd_queue_init(&client->senders[i].queue, QUEUE_CAPACITY);
        if (result == 0)
            result = bd_thread_start(sender_run, &client->senders[i], STACK_BYTES);
    }
    return result;
}
