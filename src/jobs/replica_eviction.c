/* Evicts final jobs from memory, except recent ones and those that other state refers to. */
#include "base/units.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <math.h>
#include <stdlib.h>

#define JOBS_MEMORY_SHARE 0.12  /* of the memory setting, for job structs */
#define JOBS_ALLOWED_MIN 100    /* however small the memory setting is */
#define EVICTABLE_AFTER_S 600.0 /* users query the status of jobs that ended recently */

static uint32_t jobs_max(const struct bd_core *core)
{
    double bytes = core->settings->ram_mb * BD_BYTES_PER_MB * JOBS_MEMORY_SHARE;
    double jobs = bytes / sizeof(struct bd_job);
    return jobs < JOBS_ALLOWED_MIN ? JOBS_ALLOWED_MIN : (uint32_t)jobs;
}

static void pin_intent_records(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->lead.nintent_records; i++) {
        const struct bd_intent_record *record = &core->lead.intent_records[i];
        for (uint32_t k = 0; k < record->nintents; k++)
            record->intents[k].job->pinned = true;
    }
}

static void pin_commit(const struct bd_commit *commit)
{
    for (uint32_t i = 0; i < commit->nplan; i++)
        commit->plan[i].job->pinned = true;
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        commit->receipts[i].job->pinned = true;
    for (uint32_t i = 0; i < commit->ndone; i++)
        commit->done[i]->pinned = true;
    for (uint32_t i = 0; i < commit->ncancelled; i++)
        commit->cancelled[i]->pinned = true;
}

/* Pins the jobs that must stay in memory: active ones and those that other state points to. */
static void pin_jobs(struct bd_core *core)
{
    for (struct bd_job *job = core->jobs; job; job = job->hh.next)
        job->pinned = job->state == BD_JOB_ACTIVE || job->tasks || job->receipt_chunks ||
                      job->cancelled_by_parent;
    pin_intent_records(core);
    if (core->lead.commit)
        pin_commit(core->lead.commit);
}

/* The age counts from the job's end: a job that was cancelled just now may still run and be
 * queried, however long ago it was submitted. */
static bool is_evictable(const struct bd_core *core, const struct bd_job *job)
{
    return !job->pinned &&
           core->wall_s - fmax(job->submitted_at, job->ended_at) >= EVICTABLE_AFTER_S;
}

static void evict(struct bd_core *core, struct bd_job *job)
{
    HASH_DEL(core->jobs, job);
    json_decref(job->record_spec);
    free(job);
    core->replica.has_evicted_jobs = true;
}

void bd_replica_evict(struct bd_core *core)
{
    struct bd_job *job, *next;
    uint32_t max = jobs_max(core);
    if (HASH_COUNT(core->jobs) <= max)
        return;
    pin_jobs(core);
    HASH_ITER(hh, core->jobs, job, next)
    {
        if (HASH_COUNT(core->jobs) <= max)
            return;
        if (is_evictable(core, job))
            evict(core, job);
    }
}
