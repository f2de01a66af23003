/* Decides when a scheduling cycle runs. Placement fills a plan, which leadership/ commits in a
 * fenced transaction; only one transaction is in flight at a time. */
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
#define CYCLE_CPU_SHARE 0.3    /* share of the processor that cycles may use */
#define JOB_MACHINE_CPU_S 1e-7 /* time of one core to rate one machine for one job */
#define CYCLE_WRITES_MIN 2     /* least write budget with which a cycle runs */

static double pending_jobs(const struct bd_core *core)
{
    double count = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        count += job->state == BD_JOB_ACTIVE && job->npending > 0 && !bd_job_has_open_parents(job);
    return count;
}

/* A cycle rates each machine for each pending job. With many of both, the interval grows, so that
 * most of the processor time remains for other work. */
static double cycle_interval_s(const struct bd_core *core)
{
    double cores = core->settings->cpu_cores, interval_s = 0;
    if (cores > 0)
        interval_s =
            pending_jobs(core) * core->nmachines * JOB_MACHINE_CPU_S / cores / CYCLE_CPU_SHARE;
    return fmin(fmax(interval_s, BD_CYCLE_INTERVAL_S), CYCLE_INTERVAL_MAX_S);
}

static bool has_work(const struct bd_core *core)
{
    return core->lead.cycle_wanted || core->lead.token_raise_wanted ||
           core->graph.nunrecorded_cancellations > 0 ||
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
    bd_leader_txn_submit(core);
}
