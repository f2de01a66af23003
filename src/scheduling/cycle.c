/* When a scheduling cycle runs: placement fills a plan, which leadership/ writes in one fenced
 * transaction at a time. */
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/job.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <math.h>
#include <stdlib.h>

#define CYCLE_INTERVAL_MAX_S 0.5
#define CYCLE_CPU_SHARE 0.3 /* of the processor that cycles may take */
#define JOB_MACHINE_S 1e-7  /* processor time to weigh one machine for one job, on a whole core */
#define CYCLE_WRITES_MIN 2  /* in the write budget, for a cycle to run */

static double pending_jobs(const struct bd_core *core)
{
    double n = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        n += job->state == BD_JOB_ACTIVE && job->npending > 0 && !bd_job_has_open_parents(job);
    return n;
}

/* A cycle weighs each machine for each pending job: with many of both, cycles are rarer, so that
 * they leave most of the processor to everything else. */
static double cycle_interval_s(const struct bd_core *core)
{
    double cpu = core->settings->cpu, interval = 0;
    if (cpu > 0)
        interval = pending_jobs(core) * core->nmachines * JOB_MACHINE_S / cpu / CYCLE_CPU_SHARE;
    return fmin(fmax(interval, BD_CYCLE_INTERVAL_S), CYCLE_INTERVAL_MAX_S);
}

static bool has_work(const struct bd_core *core)
{
    return core->lead.cycle_wanted || core->lead.token_raise_wanted ||
           core->graph.ncancelled_by_parent > 0 ||
           !bd_time_is_before(core->now, core->lead.next_garbage_collection);
}

void bd_cycle_run(struct bd_core *core)
{
    if (core->lead.commit || bd_time_is_before(core->now, core->lead.next_cycle) ||
        core->lead.write_budget < CYCLE_WRITES_MIN || !has_work(core))
        return;
    core->lead.cycle_wanted = false;
    core->lead.next_cycle = bd_time_add(core->now, bd_secs(cycle_interval_s(core)));
    core->lead.commit = calloc(1, sizeof *core->lead.commit);
    if (!core->lead.commit)
        abort();
    if (!core->lead.token_raise_wanted)
        bd_cycle_place(core);
    bd_cycle_commit(core);
}
