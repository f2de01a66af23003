/* The placement step of a scheduling cycle: for each job in scheduling order, chooses machines for
 * its pending tasks, and preempts other tasks for them. */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <stdlib.h>

#define FETCH_WORTH_PREEMPTING_S 12.0 /* a longer fetch justifies preempting borrowed capacity */

/* Comparisons that a plan may use for each change that the store allows. commit.c sets the limit of
 * the whole transaction. */
#define PLAN_COMPARES_PER_OP 3

/* A gang of one task that is within its team's guaranteed share need not wait for a long image
 * fetch while another team, beyond its own share, uses a machine that holds the image. Preempts
 * tasks on such a machine. Returns whether capacity there is being freed for the job. */
static bool preempt_instead_of_fetch(struct placement_cycle *cycle, struct bd_job *job)
{
    uint32_t zone_counts[BD_ZONES_MAX];
    if (!job->is_within_guaranteed_share || job->ntasks != 1)
        return false;
    bd_count_tasks_by_zone(cycle->core, job, zone_counts);
    const struct bd_machine *machine =
        bd_choose_machine(cycle, job, zone_counts, BD_PRICE_ANY, BD_GPU_CAPACITY_SHARED);
    if (!machine || bd_image_fetch_s(cycle->core, machine, &job->spec) < FETCH_WORTH_PREEMPTING_S)
        return false;
    return bd_preempt_where_image_is_held(cycle, job);
}

/* Plans tasks only on machines where their image is ready soon. If capacity is lacking there,
 * preempts other tasks, because that is faster than an image fetch. Returns how many tasks were
 * planned, and subtracts from *wanted the tasks for which bd_preempt claimed capacity. */
static uint32_t place_where_image_is_ready_soon(struct placement_cycle *cycle, struct bd_job *job,
                                                uint32_t *wanted, uint64_t attempt)
{
    cycle->requires_image_soon = true;
    uint32_t placed = bd_plan_tasks(cycle, job, *wanted, attempt, BD_GPU_CAPACITY_PROTECTED);
    if (placed < *wanted)
        *wanted -= bd_preempt(cycle, job, *wanted - placed, BD_PRICE_CHEAP);
    cycle->requires_image_soon = false;
    return placed;
}

/* Plans tasks of an array or a service, the best machines first. The result and *wanted are as for
 * place_where_image_is_ready_soon. */
static uint32_t place_tasks(struct placement_cycle *cycle, struct bd_job *job, uint32_t *wanted,
                            uint64_t attempt)
{
    bool may_preempt = job->priority > BD_PRIORITY_IDLE;
    uint32_t placed = 0;
    if (cycle->weights.is_urgent && may_preempt)
        placed = place_where_image_is_ready_soon(cycle, job, wanted, attempt);
    if (placed < *wanted)
        placed += bd_plan_tasks(cycle, job, *wanted - placed, attempt, BD_GPU_CAPACITY_PROTECTED);
    /* preempting a short task costs less than occupying a GPU machine with a long service */
    if (placed < *wanted && job->spec.kind == BD_JOB_SERVICE && may_preempt)
        *wanted -= bd_preempt(cycle, job, *wanted - placed, BD_PRICE_CHEAP);
    if (placed < *wanted)
        placed += bd_plan_tasks(cycle, job, *wanted - placed, attempt, BD_GPU_CAPACITY_SHARED);
    return placed;
}

/* Plans the job's pending tasks within its team's quota. Preempts other tasks if necessary. */
static void place_job(struct placement_cycle *cycle, struct bd_job *job)
{
    struct bd_core *core = cycle->core;
    bool is_gang = job->spec.kind == BD_JOB_GANG;
    uint32_t wanted = bd_quota_fit_count(core, &job->spec, job->npending), placed = 0;
    if (cycle->compares >= cycle->compares_max || wanted == 0 || (is_gang && wanted < job->ntasks))
        return;
    uint64_t attempt =
        (core->lead.base_term << BD_ATTEMPT_TERM_SHIFT) + core->lead.attempt_count + 1;
    bd_job_weights_update(cycle, job);
    if (is_gang && preempt_instead_of_fetch(cycle, job))
        return;
    if (is_gang) {
        placed = bd_place_gang(cycle, job, attempt) ? job->ntasks : 0;
        wanted = placed; /* bd_place_gang itself preempts for a gang without capacity */
    } else {
        placed = place_tasks(cycle, job, &wanted, attempt);
    }
    core->lead.attempt_count += placed > 0;
    cycle->compares += placed > 0;
    if (placed >= wanted || job->priority <= BD_PRIORITY_IDLE || !bd_preemption_is_due(core, job))
        return;
    if (bd_preempt(cycle, job, wanted - placed, BD_PRICE_ANY) == 0)
        bd_preemption_back_off(core, job);
}

static bool is_placeable(const struct bd_core *core, const struct bd_job *job)
{
    return job->npending > 0 && !job->record_stale &&
           bd_time_is_before(job->placement_backoff_until, core->now) &&
           !bd_time_is_before(core->now, job->backoff_until);
}

static void init_txn_limits(struct placement_cycle *cycle)
{
    const struct bd_kv_limits *limits = &cycle->core->kv_limits;
    /* a record other than the last may have up to one group's bytes unused */
    uint32_t records_max = bd_txn_intent_records_max(cycle->core);
    cycle->record_bytes_max =
        (size_t)(BD_VALUE_SHARE * (double)limits->kv_value_bytes_max * records_max) -
        (size_t)(records_max - 1) * 2 * BD_LABEL_BYTES;
    cycle->compares_max = (uint32_t)(PLAN_COMPARES_PER_OP * limits->kv_txn_ops_max);
}

static void init_machines(struct placement_cycle *cycle)
{
    const struct bd_core *core = cycle->core;
    cycle->machines = calloc(core->nmachines + 1, sizeof *cycle->machines);
    if (!cycle->machines)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        cycle->machines[i].is_schedulable =
            bd_machine_is_usable(core, machine) && !machine->consolidating;
    }
}

void bd_cycle_place(struct bd_core *core)
{
    struct placement_cycle cycle = {
        .core = core, .commit = core->lead.commit, .only_zone = -1, .generation = 1};
    struct bd_job **jobs = NULL;
    uint32_t njobs = bd_jobs_in_scheduling_order(core, &jobs);
    bd_gpu_demand_update(core, jobs, njobs);
    init_txn_limits(&cycle);
    init_machines(&cycle);
    for (uint32_t i = 0; i < njobs; i++)
        if (is_placeable(core, jobs[i]))
            place_job(&cycle, jobs[i]);
    free(cycle.machines);
    free(jobs);
}
