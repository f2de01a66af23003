#include "runtime/event_apply.h"
#include "adapters/api_server.h"
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "autoscaling/autoscaling.h"
#include "base/http.h"
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
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "workers/workers.h"
#include <jansson.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#define HTTP_BAD_REQUEST 400

/* ---- the API server ---- */

static void apply_user_submit(struct bd_node *node, const struct bd_event *event)
{
    bd_user_submit(node->core, event->api_request.request, event->api_request.text,
                   event->api_request.len);
}

static void apply_user_status(struct bd_node *node, const struct bd_event *event)
{
    bd_user_status(node->core, event->api_request.request, event->api_request.job_id);
}

static void apply_user_cancel(struct bd_node *node, const struct bd_event *event)
{
    bd_user_cancel(node->core, event->api_request.request, event->api_request.job_id);
}

static void apply_heartbeat(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_api_request *received = &event->api_request;
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(node->heartbeat_cache, received->text, received->len);
    if (heartbeat)
        bd_worker_heartbeat_received(node->core, received->request, heartbeat, received->text,
                                     received->len);
    else
        bd_api_reply(node, received->request, HTTP_BAD_REQUEST,
                     strdup("{\"error\":\"malformed report\"}"), 0);
}

/* ---- the key-value store's client ---- */

static void apply_user_txn(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_user_txn *txn = &event->user_txn;
    bd_user_txn_completed(node->core, txn->request, txn->job_id, txn->body, txn->purpose,
                          txn->status, txn->store_revision);
}

/* A malformed record counts as no answer. */
static void apply_job_lookup(struct bd_node *node, const struct bd_event *event)
{
    struct bd_kv_change change;
    uint64_t grant;
    const struct bd_event_job_lookup *lookup = &event->job_lookup;
    long status = lookup->status;
    if (status == BD_KV_OK && !bd_wire_read_pair(lookup->answer, &change, &grant))
        status = BD_KV_NO_ANSWER;
    bd_replica_lookup_completed(node->core, lookup->request, lookup->job_id, lookup->purpose,
                                status, status == BD_KV_OK ? &change : NULL);
}

static void apply_leader_txn(struct bd_node *node, const struct bd_event *event)
{
    struct bd_core *core = node->core;
    bd_metrics_record_duration(node->metrics, BD_TIMING_COMMIT,
                               bd_seconds_between(node->commit_queued_at, core->now));
    /* only the outcome of this term's newest transaction counts */
    const struct bd_event_leader_txn *txn = &event->leader_txn;
    if (txn->term == core->lead.base_term && txn->sequence == core->lead.commit_sequence)
        bd_core_leader_txn_completed(core, txn->outcome, txn->store_revision,
                                     bd_wire_read_failed_compares(txn->answer));
}

static void apply_delegate_txn(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_delegate_txn *txn = &event->delegate_txn;
    bd_delegate_txn_completed(node->core, txn->status, txn->store_revision, txn->sent_at,
                              txn->is_revision_known);
}

static void apply_replica_refreshed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_refresh *refresh = &event->refresh;
    if (refresh->is_answered)
        bd_replica_apply_all(node->core, bd_wire_read_change_log(refresh->answer));
    bd_replica_refreshed(node->core, refresh->after_revision, refresh->store_revision,
                         refresh->sent_at, refresh->is_barrier, refresh->is_answered);
}

static void apply_replica_listed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_list_page *page = &event->page;
    bd_replica_apply_all(node->core, page->pairs);
    bd_replica_evict(node->core);
    if (page->is_last)
        bd_replica_listed(node->core, page->store_revision, page->first_page_sent_at);
    atomic_store(&node->is_page_pending, false);
}

static void apply_delegate_records(struct bd_node *node, const struct bd_event *event)
{
    bd_delegate_records_read(node->core, event->records.records, event->records.sent_at);
}

static void apply_drain_records(struct bd_node *node, const struct bd_event *event)
{
    bd_drain_apply_records(node->core, event->records.records, event->records.machine_records,
                           event->records.sent_at);
}

static void apply_kv_rate_exceeded(struct bd_node *node, const struct bd_event *event)
{
    (void)event;
    bd_kv_limits_rate_exceeded(node->core);
}

/* ---- the election ---- */

static void apply_leader_observed(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_leader *leader = &event->leader;
    if (node->core->role == BD_FOLLOWER && !node->pending_acquisition)
        bd_core_leader_observed(node->core, leader->name, leader->revision, leader->sent_at,
                                leader->dismisses_this_node);
}

static void apply_lease_renewed(struct bd_node *node, const struct bd_event *event)
{
    bd_leadership_lease_renewed(node->core, event->renewed.grant, event->renewed.sent_at);
}

static void apply_liveness_sent(struct bd_node *node, const struct bd_event *event)
{
    bd_liveness_record_sent(node->core, event->liveness.sent_at);
}

static void apply_liveness_written(struct bd_node *node, const struct bd_event *event)
{
    bd_liveness_record_written(node->core, event->liveness.sent_at);
}

static void apply_leadership_lost(struct bd_node *node, const struct bd_event *event)
{
    (void)event;
    bd_leadership_lost(node->core);
}

/* ---- workers, the cloud and peers ---- */

static void apply_direct_command(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_direct_command *command = &event->direct_command;
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(node->heartbeat_cache, command->text, command->len);
    bd_worker_direct_command_completed(node->core, command->machine, command->fencing_token,
                                       command->has_launches, command->status, heartbeat);
}

static void apply_machine_types(struct bd_node *node, const struct bd_event *event)
{
    bd_inventory_types_received(node->core, event->machine_types.types,
                                (int)event->machine_types.count);
}

static void apply_inventory(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_inventory *inventory = &event->inventory;
    bd_inventory_machines_received(node->core, inventory->machines, inventory->count,
                                   inventory->sent_at);
}

static void apply_scale_out(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_scaling *scaling = &event->scaling;
    bd_core_scale_out_completed(node->core, scaling->request_id, scaling->status, scaling->machines,
                                (int)scaling->count);
}

static void apply_scale_in(struct bd_node *node, const struct bd_event *event)
{
    const struct bd_event_scaling *scaling = &event->scaling;
    bd_scale_in_completed(node->core, scaling->machines, (int)scaling->count,
                          scaling->status == BD_HTTP_OK);
}

static void apply_forwarded_heartbeat(struct bd_node *node, const struct bd_frame *frame,
                                      const char *text, size_t len)
{
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(node->heartbeat_cache, text, len);
    if (heartbeat)
        bd_worker_heartbeat_forwarded(node->core, frame->sender, frame->heartbeat_id, heartbeat,
                                      text, len);
}

static void apply_peer_status(struct bd_core *core, const struct bd_frame *frame,
                              struct timespec received_at)
{
    double kv_age_s = frame->kv_age_ms / 1000.0;
    double sent_wall_s = (double)frame->wall_clock_ms / 1000.0;
    bd_peer_status_received(core, frame->sender, frame->term, frame->flags, kv_age_s, sent_wall_s,
                            received_at);
}

static void apply_peer_frame(struct bd_node *node, const struct bd_event *event)
{
    struct bd_core *core = node->core;
    const struct bd_event_peer_frame *received = &event->peer_frame;
    const struct bd_frame *frame = received->frame;
    switch (frame->type) {
    case BD_FRAME_PEER_STATUS:
        apply_peer_status(core, frame, received->received_at);
        break;
    case BD_FRAME_HEARTBEAT:
        apply_forwarded_heartbeat(node, frame, received->text, received->len);
        break;
    case BD_FRAME_HEARTBEAT_REPLY:
        bd_forward_reply_received(core, frame->heartbeat_id, frame->status, received->text,
                                  received->len);
        break;
    case BD_FRAME_CANCELLATION:
        if (received->len < BD_JOB_ID_BYTES)
            bd_job_cancellation_announcement_received(core, received->text);
        break;
    case BD_FRAME_JOB_PROGRESS:
        break;
    }
    for (unsigned i = 0; i < frame->count; i++)
        bd_peer_progress_received(core, frame->jobs[i].id, frame->jobs[i].done,
                                  frame->jobs[i].running);
}

/* ---- dispatch ---- */

typedef void event_handler(struct bd_node *node, const struct bd_event *event);

/* BD_EVENT_LEADERSHIP_ACQUIRED has no handler, because the event loop defers it. */
static event_handler *const handlers[] = {
    [BD_EVENT_USER_SUBMIT] = apply_user_submit,
    [BD_EVENT_USER_STATUS] = apply_user_status,
    [BD_EVENT_USER_CANCEL] = apply_user_cancel,
    [BD_EVENT_HEARTBEAT] = apply_heartbeat,
    [BD_EVENT_USER_TXN_COMPLETED] = apply_user_txn,
    [BD_EVENT_JOB_LOOKUP_COMPLETED] = apply_job_lookup,
    [BD_EVENT_LEADER_TXN_COMPLETED] = apply_leader_txn,
    [BD_EVENT_DELEGATE_TXN_COMPLETED] = apply_delegate_txn,
    [BD_EVENT_REPLICA_REFRESHED] = apply_replica_refreshed,
    [BD_EVENT_REPLICA_LISTED] = apply_replica_listed,
    [BD_EVENT_DELEGATE_RECORDS_READ] = apply_delegate_records,
    [BD_EVENT_DRAIN_RECORDS_READ] = apply_drain_records,
    [BD_EVENT_KV_RATE_EXCEEDED] = apply_kv_rate_exceeded,
    [BD_EVENT_LEADER_OBSERVED] = apply_leader_observed,
    [BD_EVENT_LEASE_RENEWED] = apply_lease_renewed,
    [BD_EVENT_LIVENESS_SENT] = apply_liveness_sent,
    [BD_EVENT_LIVENESS_WRITTEN] = apply_liveness_written,
    [BD_EVENT_LEADERSHIP_LOST] = apply_leadership_lost,
    [BD_EVENT_DIRECT_COMMAND_COMPLETED] = apply_direct_command,
    [BD_EVENT_MACHINE_TYPES_READ] = apply_machine_types,
    [BD_EVENT_INVENTORY_READ] = apply_inventory,
    [BD_EVENT_SCALE_OUT_COMPLETED] = apply_scale_out,
    [BD_EVENT_SCALE_IN_COMPLETED] = apply_scale_in,
    [BD_EVENT_PEER_FRAME_RECEIVED] = apply_peer_frame,
};

void bd_event_apply(struct bd_node *node, const struct bd_event *event)
{
    event_handler *apply = handlers[event->kind];
    if (apply)
        apply(node, event);
}
