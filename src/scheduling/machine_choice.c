/* Which machine is best for a task: filters, and a cost in seconds of later start. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <math.h>

/* weights of a choice, in seconds of later start */
#define GPU_WASTE_COST_S 200.0      /* work without GPUs on a machine that has some */
#define KEEPS_EXPENSIVE_COST_S 30.0 /* an expensive machine that would be scaled in otherwise */
#define LEFTOVER_COST_S 5.0         /* the whole machine left free after the placement */
#define ON_DEMAND_COST_S 20.0       /* work that may use spot, on an on-demand machine */
#define SPOT_LOSS_COST_S 8.0        /* work with a deadline, on a spot machine that may be taken */

#define ON_DEMAND_SLACK_SHARE 0.2 /* of an objective's slack, the most for ON_DEMAND_COST_S */
#define URGENT_DEADLINE_S 8.0     /* a deadline with less slack leaves no time for a fetch */
#define URGENT_SLO_S 30.0         /* ... nor does an objective with less */
#define NEAR_IMAGE_S 0.5          /* a fetch that is as good as none */

struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *cycle,
                                          const struct bd_machine *machine)
{
    struct bd_resources capacity = bd_machine_free_resources(cycle->core, machine);
    const struct bd_resources *claimed = &cycle->machines[machine->index].claimed;
    return (struct bd_resources){capacity.cpus - claimed->cpus, capacity.gpus - claimed->gpus,
                                 capacity.mem - claimed->mem};
}

bool bd_zone_is_open(const struct placement_cycle *cycle, const struct bd_machine *machine)
{
    return cycle->only_zone < 0 || cycle->only_zone == machine->zone;
}

bool bd_image_is_near(const struct bd_core *core, const struct bd_spec *spec,
                      const struct bd_machine *machine)
{
    return bd_image_fetch_s(core, machine, spec) < NEAR_IMAGE_S;
}

/* ---- weights of a job ---- */

static void apply_deadline(struct placement_cycle *cycle, const struct bd_job *job)
{
    struct job_weights *weights = &cycle->weights;
    /* a second run costs the jobs that wait for this one more than a spot machine saves */
    weights->spot_penalty_s = SPOT_LOSS_COST_S;
    weights->on_demand_penalty_s = 0;
    weights->is_urgent = bd_deadline_slack(cycle->core, job) < URGENT_DEADLINE_S;
}

static void apply_objectives(struct placement_cycle *cycle, const struct bd_spec *spec)
{
    const struct bd_settings *settings = cycle->core->settings;
    struct job_weights *weights = &cycle->weights;
    for (int i = 0; i < settings->nslos; i++) {
        double slack =
            bd_slo_slack(cycle->core, spec->job_class, spec->estimate_s, &settings->slos[i]);
        if (slack < 0)
            continue;
        weights->on_demand_penalty_s =
            fmin(weights->on_demand_penalty_s, slack * ON_DEMAND_SLACK_SHARE);
        weights->is_urgent = weights->is_urgent || slack < URGENT_SLO_S;
    }
}

void bd_job_weights_update(struct placement_cycle *cycle, const struct bd_job *job)
{
    const struct bd_spec *spec = &job->spec;
    struct job_weights *weights = &cycle->weights;
    weights->spot_penalty_s = 0;
    weights->on_demand_penalty_s = ON_DEMAND_COST_S;
    weights->is_urgent = spec->kind == BD_JOB_SERVICE;
    if (isfinite(job->finish_by))
        apply_deadline(cycle, job);
    apply_objectives(cycle, spec);
    bd_find_expensive_types(cycle->core, spec, weights->is_expensive);
}

/* ---- cost of a machine ---- */

/* Seconds until the task's image is there, with the fetches that this cycle has planned there. */
static double fetch_s(const struct placement_cycle *cycle, const struct bd_machine *machine,
                      const struct bd_spec *spec)
{
    double fetch = bd_image_fetch_s(cycle->core, machine, spec);
    if (fetch > 0 && !bd_machine_has_image(machine, spec->image))
        return fetch + cycle->machines[machine->index].planned_fetch_s;
    return fetch;
}

static double placement_cost_s(const struct placement_cycle *cycle, const struct bd_spec *spec,
                               const struct bd_machine *machine, struct bd_resources capacity,
                               bool harms_gpu_work)
{
    const struct bd_machine_type *type = &cycle->core->types[machine->type];
    double left = type->cpus > 0 ? (capacity.cpus - spec->cpus) / type->cpus : 0;
    if (spec->gpus > 0 && type->gpus > 0)
        left = (capacity.gpus - spec->gpus) / type->gpus;
    double cost = left * LEFTOVER_COST_S;
    if (harms_gpu_work)
        cost += GPU_WASTE_COST_S;
    cost += fetch_s(cycle, machine, spec);
    if (spec->spot && !machine->spot)
        cost += cycle->weights.on_demand_penalty_s;
    if (machine->spot)
        cost += cycle->weights.spot_penalty_s;
    return cost;
}

/* Whether the task alone would keep an expensive machine from being scaled in: one short task in
 * each of many such machines costs more than all that runs there is worth. */
static bool keeps_expensive_machine(const struct placement_cycle *cycle, const struct bd_spec *spec,
                                    const struct bd_machine *machine)
{
    return spec->gpus <= 0 && spec->kind == BD_JOB_ARRAY &&
           cycle->weights.is_expensive[machine->type][machine->spot] && machine->pinned_cpus <= 0 &&
           machine->pinned_gpus <= 0 && !machine->is_headroom;
}

static bool is_candidate(const struct placement_cycle *cycle, const struct bd_spec *spec,
                         const struct bd_machine *machine)
{
    if (!cycle->machines[machine->index].is_schedulable || !bd_zone_is_open(cycle, machine) ||
        !bd_placement_allowed(spec, machine->type, machine->zone, machine->spot))
        return false;
    return !cycle->only_near_image || bd_image_is_near(cycle->core, spec, machine);
}

/* The cost of one task of the job on the candidate; infinite: it may not go there. */
static double machine_cost_s(const struct placement_cycle *cycle, const struct bd_job *job,
                             const struct bd_machine *machine, const uint32_t *zone_counts,
                             enum bd_price_limit price_limit, enum bd_gpu_capacity gpu_capacity)
{
    const struct bd_core *core = cycle->core;
    const struct bd_spec *spec = &job->spec;
    struct bd_resources capacity = bd_unclaimed_capacity(cycle, machine);
    if (!bd_resources_fit_count(capacity, spec, 1) ||
        !bd_zone_allowance(core, job, zone_counts, machine->zone, 1))
        return INFINITY;
    bool harms_gpu_work = bd_tasks_beside_gpu_work(core, spec, machine, 1) == 0;
    if (harms_gpu_work && gpu_capacity == BD_GPU_CAPACITY_PROTECTED)
        return INFINITY;
    /* an expensive machine that GPU work cannot use anyway is as good as a cheap one */
    bool is_expensive = cycle->weights.is_expensive[machine->type][machine->spot];
    if (price_limit == BD_PRICE_CHEAP && is_expensive &&
        (harms_gpu_work || !bd_gpu_use_is_known(core, machine)))
        return INFINITY;
    bool keeps_expensive = keeps_expensive_machine(cycle, spec, machine);
    if (keeps_expensive && price_limit == BD_PRICE_CHEAP)
        return INFINITY;
    return placement_cost_s(cycle, spec, machine, capacity, harms_gpu_work) +
           (keeps_expensive ? KEEPS_EXPENSIVE_COST_S : 0);
}

struct bd_machine *bd_choose_machine(const struct placement_cycle *cycle, const struct bd_job *job,
                                     const uint32_t *zone_counts, enum bd_price_limit price_limit,
                                     enum bd_gpu_capacity gpu_capacity)
{
    struct bd_machine *best = NULL;
    double lowest = INFINITY;
    for (uint32_t i = 0; i < cycle->core->nmachines; i++) {
        struct bd_machine *machine = cycle->core->machines_by_index[i];
        if (!is_candidate(cycle, &job->spec, machine))
            continue;
        double cost = machine_cost_s(cycle, job, machine, zone_counts, price_limit, gpu_capacity);
        if (cost < lowest) {
            lowest = cost;
            best = machine;
        }
    }
    return best;
}
