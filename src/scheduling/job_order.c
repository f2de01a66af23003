/* The order in which jobs are served. Part of the pure core. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "scheduling/placement_internal.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

static int order_jobs(const void *x, const void *y)
{
    const struct bd_job *a = *(struct bd_job *const *)x, *b = *(struct bd_job *const *)y;
    if (a->priority != b->priority)
        return a->priority > b->priority ? -1 : 1;
    if (a->within_guaranteed_share != b->within_guaranteed_share)
        return a->within_guaranteed_share ? -1 : 1;
    if (a->finish_by != b->finish_by) /* most have none */
        return a->finish_by < b->finish_by ? -1 : 1;
    if (a->ready != b->ready)
        return a->ready < b->ready ? -1 : 1;
    return strcmp(a->id, b->id);
}

static int order_age(const void *x, const void *y)
{
    const struct bd_job *a = *(struct bd_job *const *)x, *b = *(struct bd_job *const *)y;
    if (a->ready != b->ready)
        return a->ready < b->ready ? -1 : 1;
    return strcmp(a->id, b->id);
}

/* A job is within its team's guarantee if it fits with the team's earlier unfinished jobs. */
static void mark_guarantees(struct bd_core *core, struct bd_job **jobs, uint32_t n)
{
    double cpus[BD_MAX_TEAMS] = {0}, gpus[BD_MAX_TEAMS] = {0};
    qsort(jobs, n, sizeof(struct bd_job *), order_age);
    for (uint32_t i = 0; i < n; i++) {
        struct bd_job *job = jobs[i];
        const struct bd_team_quota *t = &core->settings->teams[job->spec.team];
        double left = job->ntasks - job->ndone;
        cpus[job->spec.team] += left * job->spec.cpus;
        gpus[job->spec.team] += left * job->spec.gpus;
        /* work that uses nothing of what is guaranteed is not owed anything */
        job->within_guaranteed_share =
            ((t->cpus > 0 && job->spec.cpus > 0) || (t->gpus > 0 && job->spec.gpus > 0)) &&
            (t->cpus <= 0 || cpus[job->spec.team] <= t->cpus + EPS) &&
            (t->gpus <= 0 || gpus[job->spec.team] <= t->gpus + EPS);
    }
}

static uint32_t live_jobs(struct bd_core *core, struct bd_job ***out)
{
    struct bd_job *job, *jt, **list = calloc(HASH_COUNT(core->jobs) + 1, sizeof *list);
    uint32_t n = 0;
    if (!list)
        abort();
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (job->state == BD_JOB_ACTIVE && job->tasks && job->has_spec && job->spec.team >= 0 &&
            job->ndone < job->ntasks && !bd_job_has_open_parents(job) &&
            !bd_job_cancellation_announced(core, job))
            list[n++] = job;
    }
    *out = list;
    return n;
}

/* The live jobs in the order in which they are served. The caller frees the list. */
uint32_t bd_jobs_in_order(struct bd_core *core, struct bd_job ***out)
{
    bd_dag_update_priorities(core);
    uint32_t n = live_jobs(core, out);
    mark_guarantees(core, *out, n);
    qsort(*out, n, sizeof(struct bd_job *), order_jobs);
    return n;
}