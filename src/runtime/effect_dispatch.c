/* Hands the core's effects to the adapters. Owner thread only. */
#include "runtime/effect_dispatch.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

static void give(struct bd_node *node, struct bd_queue *queue, struct bd_effect *effect)
{
    while (!bd_queue_put(queue, effect)) {
        bd_log_write(&node->log, BD_LOG_ERROR, "an adapter's queue is full");
        bd_pause(0.05);
    }
}

/* Towards another controller: a report to the leader, or the answer to one. */
static void pass_on(struct bd_node *node, const struct bd_effect *effect)
{
    struct bd_frame f;
    f.type = effect->kind == BD_EFFECT_FORWARD_HEARTBEAT ? BD_FRAME_HEARTBEAT : BD_FRAME_ANSWER;
    snprintf(f.name, sizeof f.name, "%s", node->settings.node);
    f.id = effect->forward_id;
    f.status = (uint16_t)effect->status;
    f.text = effect->body;
    f.len = effect->body ? (uint32_t)strlen(effect->body) : 0;
    f.count = 0;
    if (!bd_transport_send(node, effect->peer, &f))
        bd_log_write(&node->log, BD_LOG_DEBUG, "a frame to a peer was dropped");
}

/* To all controllers that understand it; the others learn of it from the records, as we would. */
static void tell_cancelled(struct bd_node *node, const char *id)
{
    struct bd_frame f;
    f.type = BD_FRAME_CANCELLED;
    f.text = id;
    f.len = (uint32_t)strlen(id);
    f.count = 0;
    for (int i = 0; i < node->settings.npeers; i++)
        if (node->core->peers[i].flags & BD_PEER_READS_CANCELLATIONS)
            (void)bd_transport_send(node, i, &f);
}

static void perform(struct bd_node *node, struct bd_effect *effect)
{
    switch (effect->kind) {
    case BD_EFFECT_REPLY:
        bd_api_reply(node, effect->request, effect->status, effect->body, effect->retry_after);
        effect->body = NULL;
        break;
    case BD_EFFECT_READ_BARRIER:
        atomic_store(&node->want_barrier, true);
        (void)bd_queue_put(&node->reader_wake, node);
        break;
    case BD_EFFECT_ANNOUNCE_CANCELLATION:
        tell_cancelled(node, effect->key);
        break;
    case BD_EFFECT_STEP_DOWN:
        atomic_store(&node->resign, effect->status == BD_STEP_DOWN_RESIGNED);
        atomic_store(&node->step_down, true);
        break;
    case BD_EFFECT_FORWARD_HEARTBEAT:
    case BD_EFFECT_FORWARD_REPLY:
        pass_on(node, effect);
        break;
    case BD_EFFECT_DELEGATE_TXN:
        give(node, &node->to_users, effect);
        return;
    case BD_EFFECT_JOB_LOOKUP:
        if (bd_queue_put(&node->to_users, effect))
            return;
        bd_replica_lookup_completed(node->core, effect->request, effect->key, effect->status, 0,
                                    NULL);
        break;
    case BD_EFFECT_USER_TXN:
        if (bd_queue_put(&node->to_users, effect))
            return;
        bd_api_reply(node, effect->request, 503, strdup("{\"error\":\"busy\"}"), 1);
        break;
    case BD_EFFECT_LEADER_TXN:
        node->commit_sent = node->core->now;
        give(node, &node->to_commit, effect);
        return;
    case BD_EFFECT_DIRECT_COMMAND:
        bd_worker_client_send(node, effect);
        return;
    case BD_EFFECT_SCALE_OUT:
    case BD_EFFECT_SCALE_IN:
        give(node, &node->to_cloud, effect);
        return;
    }
    bd_effect_free(effect);
}

void bd_effects_perform(struct bd_node *node)
{
    bool sends = false; /* to other controllers */
    struct bd_effect *effect = bd_effects_take(node->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        sends = sends || effect->kind == BD_EFFECT_FORWARD_HEARTBEAT ||
                effect->kind == BD_EFFECT_FORWARD_REPLY ||
                effect->kind == BD_EFFECT_ANNOUNCE_CANCELLATION;
        perform(node, effect);
        effect =
            next ? next : bd_effects_take(node->core); /* one that failed may have others follow */
    }
    if (sends)
        bd_transport_flush(node);
    atomic_store(&node->leading, node->core->role == BD_LEADER);
    atomic_store(&node->store_revision, node->core->replica.store_revision);
    atomic_store(&node->want_drain_sets, bd_drain_wants_sets(node->core));
    atomic_store(&node->up, bd_leadership_healthy(node->core));
    atomic_store(&node->types_known, node->core->types_known);
}