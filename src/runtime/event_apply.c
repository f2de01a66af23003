#include "runtime/event_apply.h"
#include "adapters/api_server.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "autoscaling/autoscaling.h"
#include "base/metrics.h"
#include "base/timeutil.h"
#include "core/core.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <jansson.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400

static void apply_changes(struct bd_core *core, json_t *changes)
{
    struct bd_change change;
    json_t *value;
    size_t i;
    json_array_foreach(changes, i, value)
    {
        if (bd_wire_change(value, &change))
            bd_replica_apply(core, &change);
    }
}

static void apply_replica_refreshed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_refresh *refresh = &event->refresh;
    if (refresh->ok)
        apply_changes(node->core, bd_wire_log(refresh->answer));
    bd_replica_refreshed(node->core, refresh->after, refresh->store_revision, refresh->sent,
                         refresh->is_barrier, refresh->ok);
}

static void apply_replica_listed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_page *page = &event->page;
    apply_changes(node->core, page->pairs);
    bd_replica_evict(node->core);
    if (page->is_last)
        bd_replica_listed(node->core, page->store_revision, page->sent);
    atomic_store(&node->page_out, false);
}

static void apply_job_lookup(struct bd_node *node, const struct bd_event *event)
{
    struct bd_change change;
    uint64_t grant;
    const struct bd_event_job_lookup *lookup = &event->job_lookup;
    long status = lookup->status;
    if (status == HTTP_OK && !bd_wire_pair(lookup->answer, &change, &grant))
        status = 0;
    bd_replica_lookup_completed(node->core, lookup->request, lookup->job_id, lookup->purpose,
                                status, status == HTTP_OK ? &change : NULL);
}

static void apply_leader_txn(struct bd_node *node, const struct bd_event *event)
{
    struct bd_core *core = node->core;
    bd_metrics_time(node->metrics, BD_TIMING_COMMIT, bd_between(node->commit_sent, core->now));
    /* the outcome of an earlier term's transaction is ignored */
    const struct bd_event_leader_txn *txn = &event->leader_txn;
    if (txn->term == core->lead.base_term && txn->sequence == core->lead.sequence)
        bd_leader_txn_completed(core, txn->outcome, txn->store_revision,
                                bd_wire_failed(txn->answer));
}

static void apply_heartbeat(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_request *received = &event->user;
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(node->heartbeats, received->text, received->len);
    if (heartbeat)
        bd_worker_heartbeat_received(node->core, received->request, heartbeat, received->text,
                                     received->len);
    else
        bd_api_reply(node, received->request, HTTP_BAD_REQUEST,
                     strdup("{\"error\":\"malformed report\"}"), 0);
}

static void apply_direct_command(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_direct_command *command = &event->direct_command;
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(node->heartbeats, command->text, command->len);
    bd_worker_direct_command_completed(node->core, command->machine, command->fencing_token,
                                       command->has_launches, command->status, heartbeat);
}

static void apply_forwarded_heartbeat(struct bd_node *node, const struct bd_frame *frame,
                                      const char *text, size_t len)
{
    const struct bd_heartbeat *heartbeat = bd_heartbeat_cache_read(node->heartbeats, text, len);
    if (heartbeat)
        bd_worker_heartbeat_forwarded(node->core, frame->name, frame->id, heartbeat, text, len);
}

static void apply_peer_status(struct bd_core *core, const struct bd_frame *frame,
                              struct timespec received)
{
    double kv_age_s = frame->age_ms / 1000.0;
    double sent_wall_s = (double)frame->at_ms / 1000.0;
    bd_peer_status_received(core, frame->name, frame->term, frame->flags, kv_age_s, sent_wall_s,
                            received);
}

static void apply_peer_frame(struct bd_node *node, const struct bd_event *event)
{
    struct bd_core *core = node->core;
    const struct bd_event_peer_frame *received = &event->peer_frame;
    const struct bd_frame *frame = received->frame;
    switch (frame->type) {
    case BD_FRAME_STATUS:
        apply_peer_status(core, frame, received->received);
        break;
    case BD_FRAME_HEARTBEAT:
        apply_forwarded_heartbeat(node, frame, received->text, received->len);
        break;
    case BD_FRAME_ANSWER:
        bd_forward_reply_received(core, frame->id, frame->status, received->text, received->len);
        break;
    case BD_FRAME_CANCELLED:
        if (received->len < BD_ID)
            bd_job_cancellation_received(core, received->text);
        break;
    case BD_FRAME_PROGRESS:
        break;
    }
    for (unsigned i = 0; i < frame->count; i++)
        bd_peer_progress_received(core, frame->jobs[i].id, frame->jobs[i].done,
                                  frame->jobs[i].running);
}

static void apply_leader_observed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_leader *leader = &event->leader;
    if (node->core->role == BD_FOLLOWER && !node->pending_acquisition)
        bd_core_leader_observed(node->core, leader->name, leader->revision, leader->sent,
                                leader->dismisses_us);
}

/* Events of workers, peers and the cloud; others are ignored. */
static void apply_fleet_event(struct bd_node *node, struct bd_event *event)
{
    struct bd_core *core = node->core;
    switch (event->kind) {
    case BD_EVENT_HEARTBEAT:
        apply_heartbeat(node, event);
        break;
    case BD_EVENT_DIRECT_COMMAND_COMPLETED:
        apply_direct_command(node, event);
        break;
    case BD_EVENT_PEER_FRAME:
        apply_peer_frame(node, event);
        break;
    case BD_EVENT_MACHINE_TYPES:
        bd_inventory_types(core, event->types.types, (int)event->types.n);
        break;
    case BD_EVENT_INVENTORY:
        bd_inventory_machines(core, event->inventory.machines, event->inventory.n,
                              event->inventory.sent);
        break;
    case BD_EVENT_SCALE_OUT_COMPLETED:
        bd_scale_out_completed(core, event->scaling.request, event->scaling.status,
                               event->scaling.machines, (int)event->scaling.n);
        break;
    case BD_EVENT_SCALE_IN_COMPLETED:
        bd_scale_in_completed(core, event->scaling.machines, (int)event->scaling.n,
                              event->scaling.status == HTTP_OK);
        break;
    default:
        break;
    }
}

/* Events of the election. */
static void apply_leadership_event(struct bd_node *node, struct bd_event *event)
{
    struct bd_core *core = node->core;
    switch (event->kind) {
    case BD_EVENT_LEADER_OBSERVED:
        apply_leader_observed(node, event);
        break;
    case BD_EVENT_LIVENESS_SENT:
        bd_liveness_sent(core, event->liveness.sent);
        break;
    case BD_EVENT_LIVENESS_WRITTEN:
        bd_liveness_written(core, event->liveness.sent);
        break;
    case BD_EVENT_LEASE_RENEWED:
        bd_leadership_renewed(core, event->renewed.grant, event->renewed.sent);
        break;
    case BD_EVENT_LEADERSHIP_LOST:
        bd_leadership_lost(core);
        break;
    default:
        apply_fleet_event(node, event);
    }
}

/* Events of the key-value store. */
static void apply_store_event(struct bd_node *node, struct bd_event *event)
{
    struct bd_core *core = node->core;
    switch (event->kind) {
    case BD_EVENT_USER_TXN_COMPLETED:
        bd_user_txn_completed(core, event->user_txn.request, event->user_txn.job_id,
                              event->user_txn.body, event->user_txn.purpose, event->user_txn.status,
                              event->user_txn.store_revision);
        break;
    case BD_EVENT_LEADER_TXN_COMPLETED:
        apply_leader_txn(node, event);
        break;
    case BD_EVENT_DELEGATE_TXN_COMPLETED:
        bd_delegate_txn_completed(core, event->delegate_txn.status,
                                  event->delegate_txn.store_revision, event->delegate_txn.sent,
                                  event->delegate_txn.is_revision_known);
        break;
    case BD_EVENT_KV_RATE_EXCEEDED:
        bd_kv_rate_exceeded(core);
        break;
    case BD_EVENT_REPLICA_REFRESHED:
        apply_replica_refreshed(node, event);
        break;
    case BD_EVENT_REPLICA_LISTED:
        apply_replica_listed(node, event);
        break;
    case BD_EVENT_JOB_LOOKUP_COMPLETED:
        apply_job_lookup(node, event);
        break;
    case BD_EVENT_DELEGATE_RECORDS:
        bd_delegate_records_read(core, event->records.records, event->records.sent);
        break;
    case BD_EVENT_DRAIN_RECORDS:
        bd_drain_records(core, event->records.records, event->records.sets);
        break;
    default:
        apply_leadership_event(node, event);
    }
}

void bd_event_apply(struct bd_node *node, struct bd_event *event)
{
    switch (event->kind) {
    case BD_EVENT_USER_SUBMIT:
        bd_user_submit(node->core, event->user.request, event->user.text, event->user.len);
        break;
    case BD_EVENT_USER_STATUS:
        bd_user_status(node->core, event->user.request, event->user.job_id);
        break;
    case BD_EVENT_USER_CANCEL:
        bd_user_cancel(node->core, event->user.request, event->user.job_id);
        break;
    default:
        apply_store_event(node, event);
    }
}
