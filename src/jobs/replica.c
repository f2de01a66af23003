/* The replica of the jobs' records: changes, read barriers, look-ups, and which final records stay
 * in memory. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void stop_tasks(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; job->tasks && i < job->ntasks; i++) {
        enum bd_task_state st = (enum bd_task_state)job->tasks[i].state;
        if (st == BD_TASK_LAUNCHING || st == BD_TASK_CONFIRMED || st == BD_TASK_UNKNOWN)
            bd_task_stop(core, job, i, BD_STOP_CANCELLED, true);
    }
}

void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state)
{
    job->state = state;
    if (state != BD_JOB_ACTIVE)
        bd_ledger_forget(core, job);
    if (state == BD_JOB_CANCELLED)
        stop_tasks(core, job);
    if (state == BD_JOB_DONE) {
        json_decref(job->record_spec);
        job->record_spec = NULL;
    }
}

static struct bd_job *new_job(struct bd_core *core, const char *id, const struct bd_record *record)
{
    struct bd_job *j = calloc(1, sizeof *j);
    if (!j)
        abort();
    snprintf(j->id, sizeof j->id, "%s", id);
    j->ntasks = record->tasks;
    j->job_class = *record->spec.job_class ? bd_intern(&core->classes, record->spec.job_class) : -1;
    j->at = j->ready = record->at;
    j->priority = record->spec.priority;
    j->finish_by = INFINITY;
    HASH_ADD_STR(core->jobs, id, j);
    bd_dag_job_loaded(core, j);
    return j;
}

/* What the record says now. A job that was cancelled with another's record stays so until its own
 * says it too. */
static void take_state(struct bd_core *core, struct bd_job *job, const struct bd_record *record)
{
    if (record->state == BD_JOB_ACTIVE)
        return;
    bd_dag_cancellation_written(core, job);
    if (job->state == record->state)
        return;
    job->end = record->end > 0 ? record->end : core->replica.ready ? core->wall : record->at;
    bd_job_set_state(core, job, record->state);
    bd_dag_job_ended(core, job);
}

void bd_replica_apply(struct bd_core *core, const struct bd_change *ch)
{
    struct bd_record r;
    if (strncmp(ch->key, "j/", 2) != 0 || !ch->value)
        return;
    const char *id = ch->key + 2;
    if (strchr(id, '/')) {
        bd_dag_parents_part_loaded(core, id, ch->value);
        return;
    }
    if (strlen(id) >= BD_ID || !bd_wire_read_record(ch->value, &r)) {
        bd_log_write(core->log, BD_LOG_ERROR, "record %s cannot be read", ch->key);
        return;
    }
    struct bd_job *job = bd_job_find(core, id);
    if (job && ch->revision <= job->revision)
        return;
    bool first = !job;
    if (first)
        job = new_job(core, id, &r);
    job->revision = ch->revision;
    job->stale = false;
    job->at = r.at;
    if (r.has_spec && !job->has_spec) {
        bd_spec_resolve(core, &r.spec, &job->spec);
        job->has_spec = true;
        if (r.state != BD_JOB_DONE)
            job->record_spec = json_deep_copy(json_object_get(ch->value, "job"));
    }
    if (core->role == BD_LEADER && !job->tasks && r.state == BD_JOB_ACTIVE &&
        !bd_job_start_tracking(core, job))
        bd_log_write(core->log, BD_LOG_ERROR, "%s: no memory for its tasks yet", job->id);
    take_state(core, job, &r);
    if (first && r.state == BD_JOB_ACTIVE)
        bd_dag_record_loaded(core, job, &r.parents);
    core->lead.cycle_wanted = true;
}

#define NEWS_S 5.0 /* a cancellation that is only heard of counts so long */

bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job)
{
    return !bd_is_zero(job->cancellation_heard_at) &&
           bd_between(job->cancellation_heard_at, core->now) < NEWS_S;
}

/* The record comes with the next refresh, up to seconds later; starts and halts need not wait for
 * it. If it does not come the news is forgotten, and the job is served as before. */
void bd_job_cancellation_received(struct bd_core *core, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || job->state != BD_JOB_ACTIVE || bd_job_cancellation_announced(core, job))
        return;
    job->cancellation_heard_at = core->now;
    stop_tasks(core, job);
}

static void answer_none(struct bd_core *core, void *request, enum bd_read_purpose purpose)
{
    if (purpose == BD_READ_INVALID_SUBMISSION)
        bd_effect_reply_error(core, request, 400, "malformed", 0);
    else if (purpose == BD_READ_IMPOSSIBLE_SUBMISSION)
        bd_effect_reply_error(core, request, 422, "can never run", 0);
    else
        bd_effect_reply_error(core, request, 404, "no such job", 0);
}

static void look_up(struct bd_core *core, const struct bd_pending_read *w)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_JOB_LOOKUP);
    effect->request = w->request;
    effect->status = (int)w->purpose;
    snprintf(effect->key, sizeof effect->key, "%s", w->id);
}

static void answer_wait(struct bd_core *core, const struct bd_pending_read *w)
{
    const char *id = w->id;
    struct bd_job *job = bd_job_find(core, id);
    if (w->accept && !job) {
        bd_admission_proven(core, w->accept);
        return;
    }
    bd_admission_drop(w->accept);
    if (job && w->purpose == BD_READ_CANCEL && job->state == BD_JOB_ACTIVE)
        bd_user_txn_emit(core, w->request, id, job->revision, bd_cancelled_record(job),
                         BD_READ_CANCEL);
    else if (job)
        bd_user_reply_status(core, w->request, job);
    else if (core->replica.evicted)
        look_up(core, w);
    else
        answer_none(core, w->request, w->purpose);
}

void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id, int purpose,
                                 long status, const struct bd_change *ch)
{
    struct bd_pending_read w = {.request = request, .purpose = (enum bd_read_purpose)purpose};
    snprintf(w.id, sizeof w.id, "%s", id);
    if (status == 200)
        bd_replica_apply(core, ch);
    if (w.purpose == BD_READ_PARENT)
        return;
    if (w.purpose == BD_READ_ADMISSION)
        bd_admission_looked_up(core, request, status == 200 && !bd_job_find(core, id) ? 0 : status);
    else if (status == 200 && bd_job_find(core, id))
        answer_wait(core, &w);
    else if (status == 404)
        answer_none(core, request, w.purpose);
    else
        bd_effect_reply_error(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
}

/* ---- final records in memory ---- */

#define FINALS_SHARE 0.12    /* of the memory */
#define FINALS_FRESH_S 600.0 /* younger ones are asked about */

static uint32_t finals_most(const struct bd_core *core)
{
    double n = core->settings->ram_mb * 1048576.0 * FINALS_SHARE / sizeof(struct bd_job);
    return n < 100 ? 100 : (uint32_t)n;
}

/* Jobs that something else still points to stay. */
static void pin(struct bd_core *core)
{
    for (struct bd_job *job = core->jobs; job; job = job->hh.next)
        job->pinned = job->state == BD_JOB_ACTIVE || job->tasks || job->receipt_chunks ||
                      job->cancelled_by_parent;
    for (uint32_t r = 0; r < core->lead.nintent_records; r++)
        for (uint32_t k = 0; k < core->lead.intent_records[r].n; k++)
            core->lead.intent_records[r].e[k].job->pinned = true;
    for (uint32_t k = 0; core->lead.commit && k < core->lead.commit->nplan; k++)
        core->lead.commit->plan[k].job->pinned = true;
    for (uint32_t k = 0; core->lead.commit && k < core->lead.commit->nreceipts; k++)
        core->lead.commit->receipts[k].job->pinned = true;
    for (uint32_t k = 0; core->lead.commit && k < core->lead.commit->ndone; k++)
        core->lead.commit->done[k]->pinned = true;
    for (uint32_t k = 0; core->lead.commit && k < core->lead.commit->ncancelled; k++)
        core->lead.commit->cancelled[k]->pinned = true;
}

void bd_replica_evict(struct bd_core *core)
{
    struct bd_job *job, *jt;
    uint32_t count = HASH_COUNT(core->jobs), most = finals_most(core);
    if (count <= most)
        return;
    pin(core);
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (count <= most)
            return;
        /* by its end: what was cancelled now may still run, and be asked about, however old it is
         */
        if (job->pinned || core->wall - fmax(job->at, job->end) < FINALS_FRESH_S)
            continue;
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job);
        count--;
        core->replica.evicted = true;
    }
}

void bd_replica_refreshed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                          struct timespec sent, bool barrier, bool ok)
{
    if (ok && after <= core->replica.store_revision &&
        store_revision > core->replica.store_revision)
        core->replica.store_revision = store_revision;
    if (ok)
        core->replica.refreshed_at = bd_max(core->replica.refreshed_at, sent);
    if (!barrier)
        return;
    core->replica.barrier_out = false;
    struct bd_pending_read *w = core->replica.asked;
    core->replica.asked = NULL;
    while (w) {
        struct bd_pending_read *next = w->next;
        if (ok)
            answer_wait(core, w);
        else
            bd_admission_drop(w->accept);
        if (!ok)
            bd_effect_reply_error(core, w->request, 503, "state service not reached",
                                  OUTAGE_RETRY_S);
        free(w);
        w = next;
    }
}

void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent)
{
    core->replica.store_revision = store_revision;
    core->replica.ready = true;
    bd_decision_log_term(core, "replica_listed", "revision=%llu age_ms=%.0f jobs=%u",
                         (unsigned long long)store_revision, 1000 * bd_between(sent, core->now),
                         HASH_COUNT(core->jobs));
    core->replica.refreshed_at = bd_max(core->replica.refreshed_at, sent);
}