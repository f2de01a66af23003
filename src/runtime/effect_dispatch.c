#include "runtime/effect_dispatch.h"
#include "adapters/api_server.h"
#include "adapters/node.h"
#include "adapters/peer_transport.h"
#include "adapters/worker_client.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "wire/frame.h"
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define QUEUE_FULL_PAUSE_S 0.05
#define HTTP_SERVICE_UNAVAILABLE 503
#define BUSY_RETRY_S 1

/* Waits while the adapter's queue is full: the effect must not be lost. */
static void queue_effect(struct bd_node *node, struct bd_queue *queue, struct bd_effect *effect)
{
    while (!bd_queue_put(queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "an adapter's queue is full");
        bd_sleep(QUEUE_FULL_PAUSE_S);
    }
}

/* A heartbeat to the leader, or the reply to one. */
static void send_to_peer(struct bd_node *node, const struct bd_effect *effect)
{
    struct bd_frame frame;
    frame.type =
        effect->kind == BD_EFFECT_FORWARD_HEARTBEAT ? BD_FRAME_HEARTBEAT : BD_FRAME_HEARTBEAT_REPLY;
    snprintf(frame.sender, sizeof frame.sender, "%s", node->settings.node);
    frame.heartbeat_id = effect->forward_id;
    frame.status = (uint16_t)effect->status;
    frame.text = effect->body;
    frame.len = effect->body ? (uint32_t)strlen(effect->body) : 0;
    frame.count = 0;
    if (!bd_transport_send(node, effect->peer, &frame))
        bd_log_write(&node->log, BD_LOG_DEBUG, "a frame to a peer was dropped");
}

/* To all peers that understand the frame; the others read it in the job's record. */
static void announce_cancellation(struct bd_node *node, const char *job_id)
{
    struct bd_frame frame;
    frame.type = BD_FRAME_CANCELLATION;
    frame.text = job_id;
    frame.len = (uint32_t)strlen(job_id);
    frame.count = 0;
    for (int i = 0; i < node->settings.npeers; i++)
        if (node->core->peers[i].flags & BD_PEER_SUPPORTS_CANCELLATIONS)
            (void)bd_transport_send(node, i, &frame);
}

/* Takes the effect over, as the functions below do. */
static void reply(struct bd_node *node, struct bd_effect *effect)
{
    bd_api_reply(node, effect->request, effect->status, effect->body, effect->retry_after);
    effect->body = NULL;
    bd_effect_free(effect);
}

static void step_down(struct bd_node *node, struct bd_effect *effect)
{
    atomic_store(&node->resign, effect->step_down_reason == BD_STEP_DOWN_RESIGNED);
    atomic_store(&node->step_down, true);
    bd_effect_free(effect);
}

static void request_read_barrier(struct bd_node *node, struct bd_effect *effect)
{
    atomic_store(&node->wants_barrier, true);
    (void)bd_queue_put(&node->reader_wake, node);
    bd_effect_free(effect);
}

/* A lookup that cannot be queued counts as one without an answer. */
static void look_up_job(struct bd_node *node, struct bd_effect *effect)
{
    if (bd_queue_put(&node->user_txns, effect))
        return;
    bd_replica_lookup_completed(node->core, effect->request, effect->key, effect->purpose, 0, NULL);
    bd_effect_free(effect);
}

static void commit_for_user(struct bd_node *node, struct bd_effect *effect)
{
    if (bd_queue_put(&node->user_txns, effect))
        return;
    bd_api_reply(node, effect->request, HTTP_SERVICE_UNAVAILABLE, strdup("{\"error\":\"busy\"}"),
                 BUSY_RETRY_S);
    bd_effect_free(effect);
}

/* Performs one effect, and takes it over. */
static void perform(struct bd_node *node, struct bd_effect *effect)
{
    switch (effect->kind) {
    case BD_EFFECT_REPLY:
        reply(node, effect);
        break;
    case BD_EFFECT_READ_BARRIER:
        request_read_barrier(node, effect);
        break;
    case BD_EFFECT_ANNOUNCE_CANCELLATION:
        announce_cancellation(node, effect->key);
        bd_effect_free(effect);
        break;
    case BD_EFFECT_STEP_DOWN:
        step_down(node, effect);
        break;
    case BD_EFFECT_FORWARD_HEARTBEAT:
    case BD_EFFECT_FORWARD_REPLY:
        send_to_peer(node, effect);
        bd_effect_free(effect);
        break;
    case BD_EFFECT_DELEGATE_TXN:
        queue_effect(node, &node->user_txns, effect);
        break;
    case BD_EFFECT_JOB_LOOKUP:
        look_up_job(node, effect);
        break;
    case BD_EFFECT_USER_TXN:
        commit_for_user(node, effect);
        break;
    case BD_EFFECT_LEADER_TXN:
        node->commit_sent = node->core->now;
        queue_effect(node, &node->leader_txns, effect);
        break;
    case BD_EFFECT_DIRECT_COMMAND:
        bd_worker_client_send(node, effect);
        break;
    case BD_EFFECT_SCALE_OUT:
    case BD_EFFECT_SCALE_IN:
        queue_effect(node, &node->to_cloud, effect);
        break;
    }
}

static bool is_for_peers(const struct bd_effect *effect)
{
    return effect->kind == BD_EFFECT_FORWARD_HEARTBEAT || effect->kind == BD_EFFECT_FORWARD_REPLY ||
           effect->kind == BD_EFFECT_ANNOUNCE_CANCELLATION;
}

/* Publishes what the adapters' threads need to know of the core. */
static void publish_state(struct bd_node *node)
{
    const struct bd_core *core = node->core;
    atomic_store(&node->leading, core->role == BD_LEADER);
    atomic_store(&node->store_revision, core->replica.store_revision);
    atomic_store(&node->wants_drain_sets, bd_drain_wants_sets(core));
    atomic_store(&node->up, bd_leadership_is_healthy(core));
    atomic_store(&node->types_known, core->types_known);
}

void bd_effects_perform(struct bd_node *node)
{
    bool flush = false;
    struct bd_effect *effect = bd_effects_take(node->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        flush = flush || is_for_peers(effect);
        perform(node, effect);
        /* an effect that is refused may make the core emit others */
        effect = next ? next : bd_effects_take(node->core);
    }
    if (flush)
        bd_transport_flush(node);
    publish_state(node);
}
