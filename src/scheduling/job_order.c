/* The order in which jobs are scheduled: by priority, guaranteed share, deadline and age. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdlib.h>
#include <string.h>

static int compare_ages(const struct bd_job *a, const struct bd_job *b)
{
    if (a->ready_at != b->ready_at)
        return a->ready_at < b->ready_at ? -1 : 1;
    return strcmp(a->id, b->id);
}

static int compare_by_age(const void *x, const void *y)
{
    return compare_ages(*(struct bd_job *const *)x, *(struct bd_job *const *)y);
}

static int compare_by_scheduling_order(const void *x, const void *y)
{
    const struct bd_job *a = *(struct bd_job *const *)x, *b = *(struct bd_job *const *)y;
    if (a->priority != b->priority)
        return a->priority > b->priority ? -1 : 1;
    if (a->is_within_guaranteed_share != b->is_within_guaranteed_share)
        return a->is_within_guaranteed_share ? -1 : 1;
    if (a->finish_by != b->finish_by)
        return a->finish_by < b->finish_by ? -1 : 1;
    return compare_ages(a, b);
}

/* A job is within its team's guaranteed share if its unfinished tasks and those of the team's
 * earlier jobs together fit into the share. A job that uses none of the guaranteed resources is
 * not. */
static void mark_guaranteed_shares(struct bd_core *core, struct bd_job **jobs, uint32_t njobs)
{
    double cpus[BD_TEAMS_MAX] = {0}, gpus[BD_TEAMS_MAX] = {0};
    qsort(jobs, njobs, sizeof *jobs, compare_by_age);
    for (uint32_t i = 0; i < njobs; i++) {
        struct bd_job *job = jobs[i];
        int team = job->spec.team;
        const struct bd_team_quota *share = &core->settings->teams[team];
        double unfinished = job->ntasks - job->ndone;
        cpus[team] += unfinished * job->spec.cpus;
        gpus[team] += unfinished * job->spec.gpus;
        bool uses_share = (share->cpus_guaranteed > 0 && job->spec.cpus > 0) ||
                          (share->gpus_guaranteed > 0 && job->spec.gpus > 0);
        job->is_within_guaranteed_share =
            uses_share &&
            (share->cpus_guaranteed <= 0 ||
             cpus[team] <= share->cpus_guaranteed + BD_QUOTA_TOLERANCE) &&
            (share->gpus_guaranteed <= 0 ||
             gpus[team] <= share->gpus_guaranteed + BD_QUOTA_TOLERANCE);
    }
}

static bool is_schedulable(const struct bd_core *core, const struct bd_job *job)
{
    return job->state == BD_JOB_ACTIVE && job->tasks && job->has_spec && job->spec.team >= 0 &&
           job->ndone < job->ntasks && !bd_job_has_open_parents(job) &&
           !bd_job_cancellation_announced(core, job);
}

uint32_t bd_jobs_in_scheduling_order(struct bd_core *core, struct bd_job ***out)
{
    bd_dag_update_priorities(core);
    struct bd_job **jobs = calloc(HASH_COUNT(core->jobs) + 1, sizeof *jobs);
    if (!jobs)
        abort();
    uint32_t njobs = 0;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next)
        if (is_schedulable(core, job))
            jobs[njobs++] = job;
    mark_guaranteed_shares(core, jobs, njobs);
    qsort(jobs, njobs, sizeof *jobs, compare_by_scheduling_order);
    *out = jobs;
    return njobs;
}
