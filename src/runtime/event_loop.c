/* The loop of the owner thread, the only thread that accesses the core. It takes events in batches,
 * applies them, runs the core's step and passes the effects to the adapters. */
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "brambledoor/controller.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "model/core_state.h"
#include "runtime/controller_internal.h"
#include "runtime/effect_dispatch.h"
#include "runtime/event_apply.h"
#include "runtime/peer_status.h"
#include "wire/heartbeat_cache.h"
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define BATCH_EVENTS_MAX 128
#define METRICS_INTERVAL_S 20.0
#define LARGE_ANSWER_RECORDS 100 /* of the store, a few hundred KB in memory */

void bd_controller_set_clock(struct bd_node *node)
{
    struct timespec wall = {0, 0};
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    bd_core_set_clock(node->core, bd_now(), bd_to_secs(wall));
}

/* Frees an event that was handled. The reader then returns the memory of a large answer. */
static void free_event(struct bd_node *node, struct bd_event *event)
{
    bool is_large = bd_event_record_count(event) >= LARGE_ANSWER_RECORDS;
    bd_event_free(event);
    if (is_large)
        atomic_store(&node->is_heap_trim_wanted, true);
}

/* Completes the acquisition of the leader lease once the replica has reached the term, which is the
 * store revision of the leader's key. */
static void complete_acquisition(struct bd_node *node)
{
    struct bd_event *event = node->pending_acquisition;
    if (!event || !node->core->replica.is_ready ||
        node->core->replica.store_revision < event->acquired.acquisition.term)
        return;
    node->pending_acquisition = NULL;
    event->acquired.acquisition.nonce = event->acquired.nonce;
    bd_core_leadership_acquired(node->core, &event->acquired.acquisition);
    bd_metrics_record_duration(node->metrics, BD_TIMING_FAILOVER,
                               bd_seconds_between(event->acquired.acquired_at, bd_now()));
    free_event(node, event);
}

static void drop_acquisition(struct bd_node *node)
{
    if (!node->pending_acquisition)
        return;
    bd_event_free(node->pending_acquisition);
    node->pending_acquisition = NULL;
}

/* Takes ownership of the event. */
static void handle_event(struct bd_node *node, struct bd_event *event)
{
    if (event->kind == BD_EVENT_LEADERSHIP_ACQUIRED) {
        node->pending_acquisition = event;
        return;
    }
    if (event->kind == BD_EVENT_LEADERSHIP_LOST)
        drop_acquisition(node);
    if (!bd_time_is_zero(event->queued_at))
        bd_metrics_record_duration(node->metrics, BD_TIMING_QUEUE,
                                   bd_seconds_between(event->queued_at, node->core->now));
    bd_event_apply(node, event);
    free_event(node, event);
}

/* Runs the core's step, and records its duration if it started a scheduling cycle. */
static void run_step(struct bd_node *node)
{
    struct timespec started_at = bd_now();
    bool was_in_cycle = node->core->lead.commit != NULL;
    bd_core_tick(node->core);
    if (!was_in_cycle && node->core->lead.commit)
        bd_metrics_record_duration(node->metrics, BD_TIMING_CYCLE,
                                   bd_seconds_between(started_at, bd_now()));
}

/* Logs traffic and durations at intervals. */
static void log_metrics(struct bd_node *node)
{
    struct timespec now = node->core->now;
    uint32_t total, unchanged;
    if (bd_time_is_before(now, node->next_metrics_report_at))
        return;
    bd_heartbeat_cache_take_counts(node->heartbeat_cache, &total, &unchanged);
    if (total > 0)
        bd_log_write(&node->log, BD_LOG_INFO, "heartbeats: %u, %u of them unchanged", total,
                     unchanged);
    if (!bd_time_is_zero(node->metrics_period_start))
        bd_metrics_write_report(node->metrics, &node->log,
                                bd_seconds_between(node->metrics_period_start, now));
    node->metrics_period_start = now;
    node->next_metrics_report_at = bd_time_add(now, bd_secs(METRICS_INTERVAL_S));
}

void bd_controller_run(struct bd_node *node)
{
    void *batch[BATCH_EVENTS_MAX];
    for (;;) {
        struct timespec wake_at =
            bd_time_min(bd_core_next_tick_at(node->core), node->next_status_update_at);
        size_t count = bd_queue_take(&node->events, batch, BATCH_EVENTS_MAX, wake_at);
        bd_controller_set_clock(node);
        for (size_t i = 0; i < count; i++)
            handle_event(node, batch[i]);
        complete_acquisition(node);
        run_step(node);
        bd_effects_perform(node);
        bd_peer_status_update(node);
        log_metrics(node);
    }
}
