/* Users' requests: polls and cancellations. Part of the pure core. */
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job)
{
    const char *state = "pending";
    uint32_t done = job->ndone, run = job->nrunning;
    if (core->role != BD_LEADER) {
        done = job->shown_done;
        run = job->shown_running;
    }
    if (job->state == BD_JOB_CANCELLED)
        state = "cancelled";
    else if (job->state == BD_JOB_DONE)
        state = "done";
    else if (run > 0)
        state = "running";
    if (job->state != BD_JOB_ACTIVE)
        run = 0;
    if (job->state == BD_JOB_DONE)
        done = job->ntasks;
    bd_effect_reply(core, request, 200, bd_wire_state(job->id, state, done, run), 0);
}

/* Whether the state service answered lately: without it nothing can be accepted, and the user is
 * told so at once. */
bool bd_kv_reachable(const struct bd_core *core)
{
    return core->replica.ready && bd_between(core->replica.refreshed_at, core->now) < 2.0;
}

void bd_user_status(struct bd_core *core, void *request, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (job && job->state != BD_JOB_ACTIVE)
        bd_user_reply_status(core, request, job);
    else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1)
        bd_effect_reply_error(core, request, 404, "no such job", 0);
    else if (!bd_kv_reachable(core))
        bd_effect_reply_error(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
    else
        bd_read_after_barrier(core, request, id, BD_READ_STATUS);
}

/* Without what only placing needs: it is no larger than what was accepted, and fits limits that are
 * lower now. */
json_t *bd_cancelled_record(const struct bd_job *job)
{
    struct bd_record r = {.state = BD_JOB_CANCELLED, .tasks = job->ntasks, .at = job->at};
    json_t *o = bd_wire_record(&r);
    if (o && job->record_spec)
        json_object_set_new(o, "job", bd_wire_ended_spec(job->record_spec));
    return o;
}

void bd_user_cancel(struct bd_core *core, void *request, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (job && job->state != BD_JOB_ACTIVE) {
        bd_user_reply_status(core, request, job);
    } else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1) {
        bd_effect_reply_error(core, request, 404, "no such job", 0);
    } else if (!bd_kv_reachable(core)) {
        bd_effect_reply_error(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
    } else if (job) {
        bd_user_txn_emit(core, request, id, job->revision, bd_cancelled_record(job),
                         BD_READ_CANCEL);
    } else { /* perhaps accepted by another node a moment ago */
        bd_read_after_barrier(core, request, id, BD_READ_CANCEL);
    }
}