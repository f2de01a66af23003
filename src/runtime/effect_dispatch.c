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

/* Waits while the adapter's queue is full, because the effect must not be lost. */
static void queue_effect(struct bd_node *node, struct bd_queue *queue, struct bd_effect *effect)
{
    while (!bd_queue_put(queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "adapter queue full: waiting");
        bd_sleep(QUEUE_FULL_PAUSE_S);
    }
}

/* Sends a heartbeat to the leader, or a reply to the peer that forwarded the heartbeat. */
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
        bd_log_write(&node->log, BD_LOG_DEBUG, "frame to a peer dropped");
}

/* Sends the cancellation to all peers that support the frame. The other peers read it from the
 * job's record. */
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

/* Takes ownership of the effect, as do the functions below. */
static void reply(struct bd_node *node, struct bd_effect *effect)
{
    bd_api_reply(node, effect->request, effect->status, effect->body, effect->retry_after_s);
    effect->body = NULL;
    bd_effect_free(effect);
}

static void step_down(struct bd_node *node, struct bd_effect *effect)
{
    atomic_store(&node->must_revoke_grant, effect->step_down_reason == BD_STEP_DOWN_RESIGNED);
    atomic_store(&node->step_down_requested, true);
    bd_effect_free(effect);
}

static void request_read_barrier(struct bd_node *node, struct bd_effect *effect)
{
    atomic_store(&node->is_barrier_requested, true);
    (void)bd_queue_put(&node->reader_wakeups, node);
    bd_effect_free(effect);
}

/* A lookup that cannot be queued is completed as if the store had not answered. */
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

/* Performs one effect and takes ownership of it. */
static void perform_effect(struct bd_node *node, struct bd_effect *effect)
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
        node->commit_queued_at = node->core->now;
        queue_effect(node, &node->leader_txns, effect);
        break;
    case BD_EFFECT_DIRECT_COMMAND:
        bd_worker_client_send(node, effect);
        break;
    case BD_EFFECT_SCALE_OUT:
    case BD_EFFECT_SCALE_IN:
        queue_effect(node, &node->cloud_effects, effect);
        break;
    }
}

static bool is_for_peers(const struct bd_effect *effect)
{
    return effect->kind == BD_EFFECT_FORWARD_HEARTBEAT || effect->kind == BD_EFFECT_FORWARD_REPLY ||
           effect->kind == BD_EFFECT_ANNOUNCE_CANCELLATION;
}

/* Publishes the core's state that the adapters' threads read. */
static void publish_state(struct bd_node *node)
{
    const struct bd_core *core = node->core;
    atomic_store(&node->is_leading, core->role == BD_LEADER);
    atomic_store(&node->replica_revision, core->replica.store_revision);
    atomic_store(&node->needs_drain_machine_records, bd_drain_needs_machine_records(core));
    atomic_store(&node->is_healthy, bd_leadership_is_healthy(core));
    atomic_store(&node->are_machine_types_known, core->types_known);
}

void bd_effects_perform(struct bd_node *node)
{
    bool must_flush = false;
    struct bd_effect *effect = bd_effects_take(node->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        must_flush = must_flush || is_for_peers(effect);
        perform_effect(node, effect);
        /* a refused effect may make the core emit further ones */
        effect = next ? next : bd_effects_take(node->core);
    }
    if (must_flush)
        bd_transport_flush(node);
    publish_state(node);
}
