/* The replica of the job records: applies changes of the store to the jobs in memory. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANNOUNCEMENT_VALID_S 5.0 /* of a peer's announcement that a job is cancelled */

static void stop_tasks(struct bd_core *core, struct bd_job *job)
{
    if (!job->tasks)
        return;
    for (uint32_t i = bd_task_table_next_record(job->tasks, 0); i < job->ntasks;
         i = bd_task_table_next_record(job->tasks, i + 1)) {
        enum bd_task_state state = (enum bd_task_state)bd_job_task(job, i)->state;
        if (state == BD_TASK_LAUNCHING || state == BD_TASK_CONFIRMED || state == BD_TASK_UNKNOWN)
            bd_task_stop(core, job, i, BD_STOP_CANCELLED, true);
    }
}

void bd_job_release_record_spec(struct bd_job *job)
{
    json_decref(job->record_spec);
    job->record_spec = NULL;
}

void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state)
{
    job->state = state;
    if (state != BD_JOB_ACTIVE)
        bd_ledger_remove_job(core, job);
    if (state == BD_JOB_CANCELLED)
        stop_tasks(core, job);
    if (state == BD_JOB_DONE)
        bd_job_release_record_spec(job);
}

static struct bd_job *add_job(struct bd_core *core, const char *id,
                              const struct bd_job_record *record)
{
    struct bd_job *job = calloc(1, sizeof *job);
    const char *job_class = record->spec.job_class;
    if (!job)
        abort();
    snprintf(job->id, sizeof job->id, "%s", id);
    job->ntasks = record->tasks;
    job->job_class = *job_class ? bd_name_intern(&core->classes, job_class) : -1;
    job->submitted_at = job->ready_at = record->submitted_at;
    job->priority = record->spec.priority;
    job->finish_by = INFINITY;
    HASH_ADD_STR(core->jobs, id, job);
    bd_dag_job_loaded(core, job);
    return job;
}

static void apply_spec(struct bd_core *core, struct bd_job *job, const struct bd_job_record *record,
                       const json_t *value)
{
    if (!record->has_spec || job->has_spec)
        return;
    bd_spec_resolve(core, &record->spec, &job->spec);
    job->has_spec = true;
    if (record->state == BD_JOB_ACTIVE)
        job->record_spec = json_deep_copy(json_object_get(value, "job"));
}

static void start_tracking(struct bd_core *core, struct bd_job *job)
{
    if (!bd_job_start_tracking(core, job))
        bd_log_write(core->log, BD_LOG_ERROR,
                     "job %s: out of memory for its tasks, not scheduled yet", job->id);
}

/* When a final job ended, as time of day in seconds; an estimate if the record lacks the time. */
static double end_time(const struct bd_core *core, const struct bd_job_record *record)
{
    if (record->ended_at > 0)
        return record->ended_at;
    return core->replica.is_ready ? core->wall_s : record->submitted_at;
}

/* An active record does not undo a cancellation that was derived from a parent. */
static void apply_state(struct bd_core *core, struct bd_job *job,
                        const struct bd_job_record *record)
{
    if (record->state == BD_JOB_ACTIVE)
        return;
    bd_dag_cancellation_written(core, job);
    bd_job_release_record_spec(job);
    if (job->state == record->state)
        return;
    job->ended_at = end_time(core, record);
    bd_job_set_state(core, job, record->state);
    bd_dag_job_ended(core, job);
}

static void apply_record(struct bd_core *core, const char *id, const struct bd_job_record *record,
                         const struct bd_kv_change *change)
{
    struct bd_job *job = bd_job_find(core, id);
    bool is_new = !job;
    if (job && change->revision <= job->revision)
        return;
    if (is_new)
        job = add_job(core, id, record);
    job->revision = change->revision;
    job->record_stale = false;
    job->submitted_at = record->submitted_at;
    apply_spec(core, job, record, change->value);
    if (core->role == BD_LEADER && !job->tasks && record->state == BD_JOB_ACTIVE)
        start_tracking(core, job);
    apply_state(core, job, record);
    if (is_new && record->state == BD_JOB_ACTIVE)
        bd_dag_record_loaded(core, job, &record->parents);
    core->lead.cycle_wanted = true;
}

void bd_replica_apply(struct bd_core *core, const struct bd_kv_change *change)
{
    struct bd_job_record record;
    if (strncmp(change->key, "j/", 2) != 0 || !change->value)
        return;
    const char *id = change->key + 2;
    if (strchr(id, '/'))
        bd_dag_parents_part_loaded(core, id, change->value);
    else if (strlen(id) >= BD_JOB_ID_BYTES || !bd_wire_read_job_record(change->value, &record))
        bd_log_write(core->log, BD_LOG_ERROR, "record %s is malformed, ignored", change->key);
    else
        apply_record(core, id, &record, change);
}

void bd_replica_apply_all(struct bd_core *core, json_t *changes)
{
    struct bd_kv_change change;
    json_t *entry;
    size_t i;
    json_array_foreach(changes, i, entry)
    {
        if (bd_wire_read_change(entry, &change))
            bd_replica_apply(core, &change);
    }
}

void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent_at)
{
    core->replica.store_revision = store_revision;
    core->replica.is_ready = true;
    bd_decision_log_term(core, "replica_listed", "revision=%llu age_ms=%.0f jobs=%u",
                         (unsigned long long)store_revision,
                         1000 * bd_seconds_between(sent_at, core->now), HASH_COUNT(core->jobs));
    core->replica.refreshed_at = bd_time_max(core->replica.refreshed_at, sent_at);
}

bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job)
{
    return !bd_time_is_zero(job->cancellation_announced_at) &&
           bd_seconds_between(job->cancellation_announced_at, core->now) < ANNOUNCEMENT_VALID_S;
}

/* The cancelled record arrives with a refresh, up to a few seconds later; the announcement stops
 * tasks and prevents starts before that. If the record does not arrive, the announcement expires
 * and the job is scheduled again. */
void bd_job_cancellation_announcement_received(struct bd_core *core, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || job->state != BD_JOB_ACTIVE || bd_job_cancellation_announced(core, job))
        return;
    job->cancellation_announced_at = core->now;
    stop_tasks(core, job);
}

static void free_jobs(struct bd_core *core)
{
    struct bd_job *job, *next;
    HASH_ITER(hh, core->jobs, job, next)
    {
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job->parent_edges);
        bd_task_table_free(job->tasks);
        free(job);
    }
}

void bd_jobs_free(struct bd_core *core)
{
    free_jobs(core);
    bd_pending_reads_free(core);
    bd_admissions_free(core);
    bd_dag_free(core);
}
