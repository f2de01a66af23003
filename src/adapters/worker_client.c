#include "adapters/worker_client.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/effect.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define CALL_TIMEOUT_S 1.5
#define STALLED_AFTER_S 0.1 /* a sender that waits longer for an answer is passed over */
#define SENDERS_MIN 6
#define SENDERS_MAX 64
#define SOCKETS_PER_SENDER 80 /* larger fleets need more: each hanging worker stalls a sender */
#define OUTGOING_SHARE 0.35   /* of all sockets, for connections that this process opens */
#define POOLED_CONNECTIONS_MIN 4
/* A machine has at most one direct command in flight, so SENDERS_MIN queues hold the commands of
 * 4000 machines even if all senders but one are stalled. */
#define QUEUE_CAPACITY 1024
#define QUEUE_WAIT_S 5.0
#define QUEUE_FULL_PAUSE_S 0.05

/* State that the owner thread shares with one sending thread. */
struct sender {
    struct bd_node *node;
    struct bd_queue queue;       /* of struct bd_effect */
    atomic_int pending_commands; /* commands in the queue, and the one being sent */
    atomic_llong sent_at_ms;     /* when the command being sent was started, monotonic; 0: none */
};

/* Constant once started, except for the senders' shared fields. */
struct bd_worker_client {
    int sender_count;
    struct sender senders[SENDERS_MAX];
};

static long long monotonic_ms(void)
{
    return (long long)(bd_to_secs(bd_now()) * 1000.0);
}

static int sender_count_for(const struct bd_settings *settings)
{
    int count = settings->max_sockets / SOCKETS_PER_SENDER;
    if (count < SENDERS_MIN)
        return SENDERS_MIN;
    return count > SENDERS_MAX ? SENDERS_MAX : count;
}

static int pooled_connections(const struct bd_settings *settings)
{
    int outgoing = (int)(OUTGOING_SHARE * settings->max_sockets) - BD_SOCKETS_RESERVED;
    int per_sender = outgoing / sender_count_for(settings);
    return per_sender < POOLED_CONNECTIONS_MIN ? POOLED_CONNECTIONS_MIN : per_sender;
}

int bd_worker_client_sockets_max(const struct bd_settings *settings)
{
    return sender_count_for(settings) * pooled_connections(settings);
}

/* Sends one command, and posts its outcome to the owner thread. Takes ownership of the effect. A
 * command whose deadline passed in the queue is not sent: it might start a task that has been
 * cancelled since, and would delay the commands behind it. */
static void send_command(struct sender *sender, struct bd_http *http, struct bd_effect *effect)
{
    char url[128];
    struct bd_http_response response;
    struct bd_event *event = bd_event_new(BD_EVENT_DIRECT_COMMAND_COMPLETED);
    snprintf(url, sizeof url, "http://%s" BD_PATH_COMMANDS, effect->addr);
    if (bd_time_is_before(bd_now(), effect->send_deadline)) {
        bd_http_call(http, "POST", url, effect->body, CALL_TIMEOUT_S, &response);
        event->direct_command.status = response.status;
        event->direct_command.text = response.body;
        event->direct_command.len = response.len;
    } else {
        event->direct_command.status = BD_DIRECT_NOT_SENT;
    }
    event->direct_command.machine = effect->machine;
    event->direct_command.fencing_token = effect->fencing_token;
    event->direct_command.has_launches = effect->has_launches;
    bd_effect_free(effect);
    bd_event_post(sender->node, event);
}

/* The function of a sending thread: serves its sender's queue for the life of the process. */
static void *sender_run(void *arg)
{
    struct sender *sender = arg;
    struct bd_http *http =
        bd_http_new(pooled_connections(&sender->node->settings),
                    bd_metrics_counter(sender->node->metrics, BD_TRAFFIC_DIRECT_COMMAND));
    while (http) {
        void *item;
        if (bd_queue_take(&sender->queue, &item, 1, bd_time_add(bd_now(), bd_secs(QUEUE_WAIT_S))) ==
            0)
            continue;
        atomic_store(&sender->sent_at_ms, monotonic_ms());
        send_command(sender, http, item);
        atomic_store(&sender->sent_at_ms, 0);
        atomic_fetch_sub(&sender->pending_commands, 1);
    }
    return NULL;
}

static bool is_stalled(const struct sender *sender, long long now_ms)
{
    long long sent_at_ms = atomic_load(&sender->sent_at_ms);
    return sent_at_ms != 0 && (double)(now_ms - sent_at_ms) / 1000.0 > STALLED_AFTER_S;
}

static bool is_full(const struct sender *sender)
{
    return atomic_load(&sender->pending_commands) >= QUEUE_CAPACITY;
}

/* Whether the candidate is a better sender for a command than the one chosen so far. */
static bool is_better_sender(const struct sender *candidate, const struct sender *chosen,
                             long long now_ms)
{
    if (is_full(candidate))
        return false;
    if (is_full(chosen))
        return true;
    if (is_stalled(candidate, now_ms))
        return false;
    return is_stalled(chosen, now_ms) ||
           atomic_load(&candidate->pending_commands) < atomic_load(&chosen->pending_commands);
}

/* The machine's own sender, or the least busy one while its own is stalled or full. */
static struct sender *choose_sender(struct bd_worker_client *client, uint32_t machine)
{
    long long now_ms = monotonic_ms();
    struct sender *chosen = &client->senders[machine % (uint32_t)client->sender_count];
    if (!is_stalled(chosen, now_ms) && !is_full(chosen))
        return chosen;
    for (int i = 0; i < client->sender_count; i++) {
        if (is_better_sender(&client->senders[i], chosen, now_ms))
            chosen = &client->senders[i];
    }
    return chosen;
}

void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect)
{
    struct sender *sender = choose_sender(node->worker_client, effect->machine);
    atomic_fetch_add(&sender->pending_commands, 1);
    while (!bd_queue_put(&sender->queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "queue of direct commands is full; retrying");
        bd_sleep(QUEUE_FULL_PAUSE_S);
    }
}

int bd_worker_client_start(struct bd_node *node)
{
    int result = 0;
    struct bd_worker_client *client = calloc(1, sizeof *client);
    if (!client)
        return -1;
    node->worker_client = client;
    client->sender_count = sender_count_for(&node->settings);
    for (int i = 0; i < client->sender_count && result == 0; i++) {
        struct sender *sender = &client->senders[i];
        sender->node = node;
        result = bd_queue_init(&sender->queue, QUEUE_CAPACITY);
        if (result == 0)
            result = bd_thread_start(sender_run, sender, BD_THREAD_STACK_BYTES);
    }
    return result;
}
