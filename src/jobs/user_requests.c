/* Users' requests about submitted jobs: status and cancellation. */
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <string.h>

/* The store counts as reachable for this long after the newest successful refresh was sent. */
#define KV_REACHABLE_S 2.0

static const char *state_name(const struct bd_job *job, uint32_t running)
{
    switch (job->state) {
    case BD_JOB_CANCELLED:
        return "cancelled";
    case BD_JOB_DONE:
        return "done";
    default:
        return running > 0 ? "running" : "pending";
    }
}

void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job)
{
    bool is_leader = core->role == BD_LEADER;
    uint32_t done = is_leader ? job->ndone : job->reported_done;
    uint32_t running = is_leader ? job->nrunning : job->reported_running;
    if (job->state != BD_JOB_ACTIVE)
        running = 0;
    if (job->state == BD_JOB_DONE)
        done = job->ntasks;
    bd_effect_reply(core, request, 200,
                    bd_wire_write_job_state(job->id, state_name(job, running), done, running), 0);
}

void bd_user_reply_kv_unreachable(struct bd_core *core, void *request, int retry_after_s)
{
    bd_effect_reply_error(core, request, 503, "state service not reached", retry_after_s);
}

bool bd_kv_reachable(const struct bd_core *core)
{
    return core->replica.is_ready &&
           bd_seconds_between(core->replica.refreshed_at, core->now) < KV_REACHABLE_S;
}

static bool is_valid_id(const char *id)
{
    return bd_wire_is_job_id(id) && strlen(id) < BD_JOB_ID_BYTES - 1;
}

/* Replies if neither a read barrier nor a transaction is needed. Returns whether a reply was
 * emitted. */
static bool reply_at_once(struct bd_core *core, void *request, const char *id,
                          const struct bd_job *job)
{
    if (job && job->state != BD_JOB_ACTIVE)
        bd_user_reply_status(core, request, job);
    else if (!is_valid_id(id))
        bd_effect_reply_error(core, request, 404, "no such job", 0);
    else if (!bd_kv_reachable(core))
        bd_user_reply_kv_unreachable(core, request, BD_KV_OUTAGE_RETRY_AFTER_S);
    else
        return false;
    return true;
}

void bd_user_status(struct bd_core *core, void *request, const char *id)
{
    if (!reply_at_once(core, request, id, bd_job_find(core, id)))
        bd_read_after_barrier(core, request, id, BD_PURPOSE_STATUS);
}

void bd_user_cancel(struct bd_core *core, void *request, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (reply_at_once(core, request, id, job))
        return;
    if (job)
        bd_user_cancel_emit(core, request, job);
    else /* another controller may have accepted the job since the last refresh */
        bd_read_after_barrier(core, request, id, BD_PURPOSE_CANCEL);
}

/* Omits what only placement needs, so that the record is no larger than the accepted one: the
 * store's limits may have been lowered since the job was accepted. */
json_t *bd_job_cancelled_record(const struct bd_job *job)
{
    struct bd_job_record record = {
        .state = BD_JOB_CANCELLED, .tasks = job->ntasks, .submitted_at = job->submitted_at};
    json_t *json = bd_wire_write_job_record(&record);
    if (json && job->record_spec)
        json_object_set_new(json, "job", bd_wire_write_cancelled_spec(job->record_spec));
    return json;
}
