/* The thread that alone owns the core. It drains the commands in batches and hands the effects
 * to the adapters. */
#include "adapters/admin_server.h"
#include "adapters/election.h"
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "autoscaling/autoscaling.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "brambledoor/controller.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "runtime/effect_dispatch.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define BATCH 128
#define QUEUE_CAP 4096
#define STATUS_S 0.3
#define TTL_SHARE 0.2 /* of the workers' lease, */
#define TTL_MIN_S 2.0 /* ... so that several slow answers of the state service fit in, */
#define TTL_MAX_S 2.5 /* ... and a takeover does not take long */
#define HEARTBEAT_CACHE_SHARE 0.08 /* of the memory, for the machines' newest reports */
#define METRICS_INTERVAL_S 20.0    /* between the log's lines of traffic and times */

static void changes(struct bd_core *core, json_t *log)
{
    struct bd_change ch;
    json_t *v;
    size_t i;
    json_array_foreach(log, i, v)
    {
        if (bd_wire_change(v, &ch))
            bd_replica_apply(core, &ch);
    }
}

static void apply_heartbeat(struct bd_node *node, struct bd_event *event)
{
    const struct bd_heartbeat *r =
        bd_heartbeat_cache_read(node->heartbeats, event->text, event->len);
    if (r)
        bd_worker_heartbeat_received(node->core, event->request, r, event->text, event->len);
    else
        bd_api_reply(node, event->request, 400, strdup("{\"error\":\"malformed report\"}"), 0);
}

static void apply_direct_command_completed(struct bd_node *node, const struct bd_event *event)
{
    bd_worker_direct_command_completed(
        node->core, event->machine, event->number, event->flag, event->status,
        bd_heartbeat_cache_read(node->heartbeats, event->text, event->len));
}

static void followed(struct bd_node *node, struct bd_event *event)
{
    if (event->ok)
        changes(node->core, bd_wire_log(event->json));
    bd_replica_refreshed(node->core, event->after, event->store_revision, event->sent, event->flag,
                         event->ok);
}

static void relisted(struct bd_node *node, struct bd_event *event)
{
    changes(node->core, event->json);
    bd_replica_evict(node->core);
    if (event->flag) /* the last page */
        bd_replica_listed(node->core, event->store_revision, event->sent);
    atomic_store(&node->page_out, false);
}

static void forwarded(struct bd_node *node, const struct bd_frame *frame, const char *text,
                      size_t len)
{
    const struct bd_heartbeat *r = bd_heartbeat_cache_read(node->heartbeats, text, len);
    if (r)
        bd_worker_heartbeat_forwarded(node->core, frame->name, frame->id, r, text, len);
}

static void peer(struct bd_node *node, const struct bd_event *event)
{
    struct bd_core *core = node->core;
    const struct bd_frame *frame = event->data;
    const char *text = event->text;
    size_t len = event->len;
    if (frame->type == BD_FRAME_STATUS)
        bd_peer_status_received(core, frame->name, frame->term, frame->flags,
                                frame->age_ms / 1000.0, (double)frame->at_ms / 1000.0, event->sent);
    if (frame->type == BD_FRAME_HEARTBEAT)
        forwarded(node, frame, text, len);
    if (frame->type == BD_FRAME_ANSWER)
        bd_forward_reply_received(core, frame->id, frame->status, text, len);
    if (frame->type == BD_FRAME_CANCELLED && len < BD_ID)
        bd_job_cancellation_received(core, text);
    for (unsigned i = 0; i < frame->count; i++)
        bd_peer_progress_received(core, frame->jobs[i].id, frame->jobs[i].done,
                                  frame->jobs[i].running);
}

static void looked_up(struct bd_node *node, struct bd_event *event)
{
    struct bd_change ch;
    uint64_t grant;
    long status = event->status;
    if (status == 200 && !bd_wire_pair(event->json, &ch, &grant))
        status = 0;
    bd_replica_lookup_completed(node->core, event->request, event->name, event->purpose, status,
                                status == 200 ? &ch : NULL);
}

static void apply_worker_event(struct bd_node *node, struct bd_event *event)
{
    struct bd_core *core = node->core;
    switch (event->kind) {
    case BD_EVENT_HEARTBEAT:
        apply_heartbeat(node, event);
        break;
    case BD_EVENT_DIRECT_COMMAND_COMPLETED:
        apply_direct_command_completed(node, event);
        break;
    case BD_EVENT_MACHINE_TYPES:
        bd_inventory_types(core, event->data, (int)event->n);
        break;
    case BD_EVENT_INVENTORY:
        bd_inventory_machines(core, event->data, event->n, event->sent);
        break;
    case BD_EVENT_SCALE_OUT_COMPLETED:
        bd_scale_out_completed(core, event->name, event->status, event->data, (int)event->n);
        break;
    case BD_EVENT_PEER_FRAME:
        peer(node, event);
        break;
    case BD_EVENT_DELEGATE_RECORDS:
        bd_delegate_records_read(core, event->json, event->sent);
        break;
    case BD_EVENT_DELEGATE_TXN_COMPLETED:
        bd_delegate_txn_completed(core, event->status, event->store_revision, event->sent,
                                  event->flag);
        break;
    case BD_EVENT_JOB_LOOKUP_COMPLETED:
        looked_up(node, event);
        break;
    case BD_EVENT_DRAIN_RECORDS:
        bd_drain_records(core, event->json, event->sets);
        break;
    case BD_EVENT_SCALE_IN_COMPLETED:
        bd_scale_in_completed(core, event->data, (int)event->n, event->status == 200);
        break;
    default:
        break;
    }
}

static void apply(struct bd_node *node, struct bd_event *event)
{
    struct bd_core *core = node->core;
    switch (event->kind) {
    case BD_EVENT_USER_SUBMIT:
        bd_user_submit(core, event->request, event->text, event->len);
        break;
    case BD_EVENT_USER_STATUS:
        bd_user_status(core, event->request, event->name);
        break;
    case BD_EVENT_USER_CANCEL:
        bd_user_cancel(core, event->request, event->name);
        break;
    case BD_EVENT_USER_TXN_COMPLETED:
        bd_user_txn_completed(core, event->request, event->name, event->text, event->purpose,
                              event->status, event->store_revision);
        break;
    case BD_EVENT_REPLICA_REFRESHED:
        followed(node, event);
        break;
    case BD_EVENT_REPLICA_LISTED:
        relisted(node, event);
        break;
    case BD_EVENT_LEADER_OBSERVED:
        if (core->role == BD_FOLLOWER && !node->pending_acquisition)
            bd_core_leader_observed(core, event->name, event->number, event->sent, event->flag);
        break;
    case BD_EVENT_LIVENESS_SENT:
        bd_liveness_sent(core, event->sent);
        break;
    case BD_EVENT_LIVENESS_WRITTEN:
        bd_liveness_written(core, event->sent);
        break;
    case BD_EVENT_LEASE_RENEWED:
        bd_leadership_renewed(core, event->number, event->sent);
        break;
    case BD_EVENT_LEADERSHIP_LOST:
        bd_leadership_lost(core);
        break;
    case BD_EVENT_KV_RATE_EXCEEDED:
        bd_kv_rate_exceeded(core);
        break;
    case BD_EVENT_LEADER_TXN_COMPLETED:
        /* an answer to an earlier term's transaction says nothing about ours */
        bd_metrics_time(node->metrics, BD_TIMING_COMMIT, bd_between(node->commit_sent, core->now));
        if (event->term == core->lead.base_term && event->number == core->lead.sequence)
            bd_leader_txn_completed(core, event->outcome, event->store_revision,
                                    bd_wire_failed(event->json));
        break;
    default:
        apply_worker_event(node, event);
    }
}

static void add_progress(struct bd_node *node, const struct bd_job *job)
{
    if (node->nprogress == node->cap_progress) {
        uint32_t cap = node->cap_progress ? node->cap_progress * 2 : 64;
        struct bd_progress *p = realloc(node->progress, cap * sizeof *p);
        if (!p)
            return;
        node->progress = p;
        node->cap_progress = cap;
    }
    struct bd_progress *p = &node->progress[node->nprogress++];
    memcpy(p->id, job->id, sizeof p->id);
    p->done = job->ndone;
    p->running = job->nrunning;
}

/* What the other controllers are told of us; the leader adds its jobs' counts, for the others to
 * show. */
static void status(struct bd_node *node)
{
    struct bd_core *core = node->core;
    struct bd_job *job, *jt;
    if (bd_before(core->now, node->next_status))
        return;
    node->next_status = bd_add(core->now, bd_secs(STATUS_S));
    double age = bd_between(core->replica.refreshed_at, core->now);
    (void)pthread_mutex_lock(&node->status_lock);
    node->status.term = core->role == BD_LEADER ? core->lead.term : 0;
    node->status.flags = core->role == BD_LEADER ? BD_PEER_LEADS : 0;
    node->status.flags |= BD_PEER_KNOWS_DAG | BD_PEER_READS_CANCELLATIONS;
    if (node->settings.draining)
        node->status.flags |= BD_PEER_KNOWS_DRAINS;
    if (bd_forward_hears_leader(core))
        node->status.flags |= BD_PEER_HEARS_LEADER;
    if (core->role == BD_LEADER && core->lead.inbound_partition)
        node->status.flags |= BD_PEER_INBOUND_PARTITION;
    if (age < 1.0 && core->replica.ready)
        node->status.flags |= BD_PEER_KV_REACHABLE;
    if (bd_autonomous_zone_active(core))
        node->status.flags |= BD_PEER_KV_LOST;
    node->status.at_ms = (uint64_t)(core->wall * 1000);
    node->status.age_ms = age > 1e6 ? 1000000000u : (uint32_t)(age * 1000);
    node->nprogress = 0;
    if (core->role == BD_LEADER) {
        HASH_ITER(hh, core->jobs, job, jt)
        {
            if (job->state == BD_JOB_ACTIVE && job->tasks && (job->ndone || job->nrunning))
                add_progress(node, job);
        }
    }
    (void)pthread_mutex_unlock(&node->status_lock);
}

/* A gained term takes effect once the replica is at least as new as the term itself. */
static void gain(struct bd_node *node)
{
    struct bd_event *g = node->pending_acquisition;
    if (!g || !node->core->replica.ready || node->core->replica.store_revision < g->gain.term)
        return;
    node->pending_acquisition = NULL;
    g->gain.nonce = g->name;
    bd_core_leadership_acquired(node->core, &g->gain);
    bd_metrics_time(node->metrics, BD_TIMING_FAILOVER, bd_between(g->sent, bd_now()));
    bd_event_free(g);
}

/* A tick of the core; if it planned a round, how long that took. */
static void tick(struct bd_node *node)
{
    struct timespec began = bd_now();
    bool under_way = node->core->lead.commit != NULL;
    bd_core_tick(node->core);
    if (!under_way && node->core->lead.commit)
        bd_metrics_time(node->metrics, BD_TIMING_CYCLE, bd_between(began, bd_now()));
}

static struct timespec clock_core(struct bd_node *node)
{
    struct timespec wall = {0, 0}, now = bd_now();
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    bd_core_set_clock(node->core, now, bd_to_secs(wall));
    return now;
}

static void log_metrics(struct bd_node *node)
{
    struct timespec now = node->core->now;
    if (bd_before(now, node->next_metrics))
        return;
    uint32_t all, repeated;
    bd_heartbeat_cache_counts(node->heartbeats, &all, &repeated);
    if (all > 0)
        bd_log_write(&node->log, BD_LOG_INFO, "heartbeats: %u, %u of them unchanged", all,
                     repeated);
    if (!bd_is_zero(node->metrics_since))
        bd_metrics_report(node->metrics, &node->log, bd_between(node->metrics_since, now));
    node->metrics_since = now;
    node->next_metrics = bd_add(now, bd_secs(METRICS_INTERVAL_S));
}

void bd_controller_run(struct bd_node *node)
{
    void *batch[BATCH];
    for (;;) {
        struct timespec until = bd_min(bd_core_next(node->core), node->next_status);
        size_t got = bd_queue_take(&node->events, batch, BATCH, until);
        (void)clock_core(node);
        for (size_t i = 0; i < got; i++) {
            struct bd_event *event = batch[i];
            if (event->kind == BD_EVENT_LEADERSHIP_ACQUIRED) {
                node->pending_acquisition = event;
                continue;
            }
            if (event->kind == BD_EVENT_LEADERSHIP_LOST && node->pending_acquisition) {
                bd_event_free(node->pending_acquisition);
                node->pending_acquisition = NULL;
            }
            if (!bd_is_zero(event->queued))
                bd_metrics_time(node->metrics, BD_TIMING_QUEUE,
                                bd_between(event->queued, node->core->now));
            apply(node, event);
            bd_event_free(event);
        }
        gain(node);
        tick(node);
        bd_effects_perform(node);
        status(node);
        log_metrics(node);
    }
}

/* The leader's grant is a part of the workers' lease, so that a takeover fits into one. */
static void derive_ttl(struct bd_settings *settings)
{
    if (!bd_is_zero(settings->leader_ttl))
        return;
    double ttl = bd_to_secs(settings->lease) * TTL_SHARE;
    ttl = ttl < TTL_MIN_S ? TTL_MIN_S : ttl > TTL_MAX_S ? TTL_MAX_S : ttl;
    settings->leader_ttl = bd_secs(ttl);
}

struct bd_node *bd_controller_new(const struct bd_settings *settings, enum bd_log_level level)
{
    struct bd_node *node = calloc(1, sizeof *node);
    if (!node)
        return NULL;
    node->settings = *settings;
    derive_ttl(&node->settings);
    node->log = (struct bd_log){level, node->settings.node};
    return node;
}

static int start_parts(struct bd_node *node)
{
    if (bd_http_start() != 0 || bd_queue_init(&node->events, QUEUE_CAP) != 0 ||
        bd_queue_init(&node->to_commit, 16) != 0 || bd_queue_init(&node->to_users, 64) != 0 ||
        bd_queue_init(&node->to_cloud, 64) != 0 || bd_queue_init(&node->reader_wake, 4) != 0)
        return -1;
    node->metrics = bd_metrics_new();
    node->core = bd_core_new(&node->settings, &node->log);
    node->heartbeats =
        bd_heartbeat_cache_new((size_t)(node->settings.ram_mb * HEARTBEAT_CACHE_SHARE * 1048576.0));
    if (!node->core || !node->metrics || !node->heartbeats)
        return -1;
    node->core->metrics = node->metrics;
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof seed, GRND_NONBLOCK) != (ssize_t)sizeof seed)
        seed = (uint64_t)bd_now().tv_nsec << 20;
    bd_core_seed(node->core, seed >> 1);
    (void)clock_core(node);
    if (bd_kv_client_start(node) != 0 || bd_cloud_start(node) != 0 ||
        bd_worker_client_start(node) != 0 || bd_election_start(node) != 0 ||
        bd_transport_start(node) != 0)
        return -1;
    if (bd_api_start(node) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s", node->settings.api_addr);
        return -1;
    }
    if (bd_admin_start(node) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s",
                     node->settings.draining->admin_addr);
        return -1;
    }
    return 0;
}

int bd_controller_start(struct bd_node *node)
{
    if (start_parts(node) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot start");
        return -1;
    }
    bd_log_write(&node->log, BD_LOG_INFO, "started, version %s", BD_VERSION);
    return 0;
}
