#include "runtime/peer_status.h"
#include "adapters/node.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "wire/frame.h"
#include "wire/wire_jobs.h"
#include "workers/workers.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_INTERVAL_S 0.3
#define KV_AGE_MAX_S 1.0 /* the store counts as reachable if its last answer is younger */
#define AGE_MAX_S 1e6    /* the age of an older answer is sent as UNKNOWN_AGE_MS */
#define UNKNOWN_AGE_MS 1000000000u
#define PROGRESS_CAPACITY_MIN 64u

/* Adds the job's task counts. If out of memory, leaves the job out. */
static void add_progress(struct bd_node *node, const struct bd_job *job)
{
    if (node->job_progress_count == node->job_progress_capacity) {
        uint32_t capacity =
            node->job_progress_capacity ? node->job_progress_capacity * 2 : PROGRESS_CAPACITY_MIN;
        struct bd_job_progress *grown = realloc(node->job_progress, capacity * sizeof *grown);
        if (!grown)
            return;
        node->job_progress = grown;
        node->job_progress_capacity = capacity;
    }
    struct bd_job_progress *progress = &node->job_progress[node->job_progress_count++];
    memcpy(progress->id, job->id, sizeof progress->id);
    progress->done = job->ndone;
    progress->running = job->nrunning;
}

static uint8_t status_flags(const struct bd_node *node, double kv_age_s)
{
    const struct bd_core *core = node->core;
    bool is_leader = core->role == BD_LEADER;
    unsigned flags = BD_PEER_SUPPORTS_DEPENDENCIES | BD_PEER_SUPPORTS_CANCELLATIONS;
    if (is_leader)
        flags |= BD_PEER_IS_LEADER;
    if (is_leader && core->lead.inbound_partition)
        flags |= BD_PEER_INBOUND_PARTITION;
    if (node->settings.draining)
        flags |= BD_PEER_SUPPORTS_DRAINS;
    if (bd_forward_is_leader_reachable(core))
        flags |= BD_PEER_RECEIVES_LEADER_STATUS;
    if (kv_age_s < KV_AGE_MAX_S && core->replica.is_ready)
        flags |= BD_PEER_KV_REACHABLE;
    if (bd_autonomous_zone_active(core))
        flags |= BD_PEER_KV_OUTAGE;
    return (uint8_t)flags;
}

/* Collects, as leader, the jobs' task counts, which the other controllers report to users. */
static void collect_progress(struct bd_node *node)
{
    struct bd_job *job, *next;
    node->job_progress_count = 0;
    if (node->core->role != BD_LEADER)
        return;
    HASH_ITER(hh, node->core->jobs, job, next)
    {
        if (job->state == BD_JOB_ACTIVE && job->tasks && (job->ndone || job->nrunning))
            add_progress(node, job);
    }
}

void bd_peer_status_update(struct bd_node *node)
{
    const struct bd_core *core = node->core;
    if (bd_time_is_before(core->now, node->next_status_update_at))
        return;
    node->next_status_update_at = bd_time_add(core->now, bd_secs(STATUS_INTERVAL_S));
    double kv_age_s = bd_seconds_between(core->replica.refreshed_at, core->now);
    (void)pthread_mutex_lock(&node->status_lock);
    node->status.term = core->role == BD_LEADER ? core->lead.term : 0;
    node->status.flags = status_flags(node, kv_age_s);
    node->status.wall_clock_ms = (uint64_t)(core->wall_s * 1000);
    node->status.kv_age_ms = kv_age_s > AGE_MAX_S ? UNKNOWN_AGE_MS : (uint32_t)(kv_age_s * 1000);
    collect_progress(node);
    (void)pthread_mutex_unlock(&node->status_lock);
}
