/* The leader's rounds: intents, receipts and done records go into one fenced transaction at a
 * time; recovery reads them back. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "scheduling/placement_internal.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>

/* named defaults */
#define CYCLE_INTERVAL_MAX_S 0.5
#define CYCLE_SHARE 0.3 /* of the processor that rounds may take */
#define REFRESH_S 1e-7  /* for one job at one machine, on a whole core (callgrind, about) */

/* ---- time ---- */

/* A round looks at each machine for each waiting job: with many of both, rounds are rarer, so that
 * they leave most of the processor to everything else. */
static double cycle_interval_s(const struct bd_core *core)
{
    double jobs = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        jobs += job->state == BD_JOB_ACTIVE && job->npending > 0 && !bd_job_has_open_parents(job);
    double s = core->settings->cpu > 0
                   ? jobs * core->nmachines * REFRESH_S / core->settings->cpu / CYCLE_SHARE
                   : 0;
    return s < BD_CYCLE_INTERVAL_S    ? BD_CYCLE_INTERVAL_S
           : s > CYCLE_INTERVAL_MAX_S ? CYCLE_INTERVAL_MAX_S
                                      : s;
}

void bd_cycle_run(struct bd_core *core)
{
    if (core->lead.commit || bd_before(core->now, core->lead.next_cycle) ||
        core->lead.write_budget < 2)
        return;
    if (!core->lead.cycle_wanted && !core->lead.token_raise_wanted &&
        core->graph.ncancelled_by_parent == 0 && bd_before(core->now, core->lead.next_gc))
        return;
    core->lead.cycle_wanted = false;
    core->lead.next_cycle = bd_add(core->now, bd_secs(cycle_interval_s(core)));
    core->lead.commit = calloc(1, sizeof *core->lead.commit);
    if (!core->lead.commit)
        abort();
    if (!core->lead.token_raise_wanted)
        bd_cycle_place(core);
    bd_cycle_commit(core);
}
