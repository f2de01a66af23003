/* Chooses the machine for a task: filters candidates and rates them by a cost, in seconds of start
 * delay. */
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

/* costs of a placement, in seconds of start delay */
#define GPU_WASTE_COST_S 200.0      /* a task without GPUs uses a GPU task's capacity */
#define KEEPS_EXPENSIVE_COST_S 30.0 /* the task keeps an expensive machine from being scaled in */
#define LEFTOVER_COST_S 5.0         /* times the share of the machine that stays free */
#define ON_DEMAND_COST_S 20.0       /* a task that may use spot is placed on demand */
#define SPOT_LOSS_COST_S 8.0        /* a task with a deadline may lose its spot machine */

#define ON_DEMAND_SLACK_SHARE 0.2 /* of an objective's slack: limits ON_DEMAND_COST_S */
#define URGENT_DEADLINE_S 8.0     /* deadline slack that leaves no time for an image fetch */
#define URGENT_SLO_S 30.0         /* objective's slack that leaves no time for an image fetch */
#define IMAGE_READY_SOON_S 0.5    /* a shorter fetch is treated as none */

struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *cycle,
                                          const struct bd_machine *machine)
{
    struct bd_resources capacity = bd_machine_free_resources(cycle->core, machine);
    const struct bd_resources *claimed = &cycle->machines[machine->index].claimed;
    return (struct bd_resources){capacity.cpus - claimed->cpus, capacity.gpus - claimed->gpus,
                                 capacity.mem_gb - claimed->mem_gb};
}

bool bd_zone_is_eligible(const struct placement_cycle *cycle, const struct bd_machine *machine)
{
    return cycle->only_zone < 0 || cycle->only_zone == machine->zone;
}

bool bd_image_is_ready_soon(const struct bd_core *core, const struct bd_spec *spec,
                            const struct bd_machine *machine)
{
    return bd_image_fetch_s(core, machine, spec) < IMAGE_READY_SOON_S;
}

/* ---- weights of a job ---- */

static void apply_deadline(struct placement_cycle *cycle, const struct bd_job *job)
{
    struct job_weights *weights = &cycle->weights;
    /* running again after a spot loss costs the dependents more than a spot machine saves */
    weights->spot_penalty_s = SPOT_LOSS_COST_S;
    weights->on_demand_penalty_s = 0;
    weights->is_urgent = bd_deadline_slack_s(cycle->core, job) < URGENT_DEADLINE_S;
}

static void apply_objectives(struct placement_cycle *cycle, const struct bd_spec *spec)
{
    const struct bd_settings *settings = cycle->core->settings;
    struct job_weights *weights = &cycle->weights;
    for (int i = 0; i < settings->nslos; i++) {
        double slack_s =
            bd_slo_slack_s(cycle->core, spec->job_class, spec->estimate_s, &settings->slos[i]);
        if (slack_s < 0)
            continue;
        weights->on_demand_penalty_s =
            fmin(weights->on_demand_penalty_s, slack_s * ON_DEMAND_SLACK_SHARE);
        weights->is_urgent = weights->is_urgent || slack_s < URGENT_SLO_S;
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

/* Seconds until the task's image is on the machine, including the earlier fetches that this
 * cycle's plan adds there. */
static double image_ready_s(const struct placement_cycle *cycle, const struct bd_machine *machine,
                            const struct bd_spec *spec)
{
    double fetch_s = bd_image_fetch_s(cycle->core, machine, spec);
    if (fetch_s > 0 && !bd_machine_has_image(machine, spec->image))
        return fetch_s + cycle->machines[machine->index].planned_fetch_s;
    return fetch_s;
}

static double placement_cost_s(const struct placement_cycle *cycle, const struct bd_spec *spec,
                               const struct bd_machine *machine, struct bd_resources capacity,
                               bool harms_gpu_work)
{
    const struct bd_machine_type *type = &cycle->core->types[machine->type];
    double free_share = type->cpus > 0 ? (capacity.cpus - spec->cpus) / type->cpus : 0;
    if (spec->gpus > 0 && type->gpus > 0)
        free_share = (capacity.gpus - spec->gpus) / type->gpus;
    double cost_s = free_share * LEFTOVER_COST_S;
    if (harms_gpu_work)
        cost_s += GPU_WASTE_COST_S;
    cost_s += image_ready_s(cycle, machine, spec);
    if (spec->spot && !machine->spot)
        cost_s += cycle->weights.on_demand_penalty_s;
    if (machine->spot)
        cost_s += cycle->weights.spot_penalty_s;
    return cost_s;
}

/* Whether the task alone would keep an expensive machine from being scaled in. One short task on
 * each of many such machines would cost more than the tasks are worth. */
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
    if (!cycle->machines[machine->index].is_schedulable || !bd_zone_is_eligible(cycle, machine) ||
        !bd_placement_allowed(spec, machine->type, machine->zone, machine->spot))
        return false;
    return !cycle->requires_image_soon || bd_image_is_ready_soon(cycle->core, spec, machine);
}

/* The cost of placing one task of the job on the candidate; infinite: not possible. */
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
    bool harms_gpu_work = bd_fit_count_beside_gpu_tasks(core, spec, machine, 1) == 0;
    if (harms_gpu_work && gpu_capacity == BD_GPU_CAPACITY_PROTECTED)
        return INFINITY;
    /* an expensive machine counts as cheap if it is known that the task harms no GPU work there */
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
    double lowest_s = INFINITY;
    for (uint32_t i = 0; i < cycle->core->nmachines; i++) {
        struct bd_machine *machine = cycle->core->machines_by_index[i];
        if (!is_candidate(cycle, &job->spec, machine))
            continue;
        double cost_s = machine_cost_s(cycle, job, machine, zone_counts, price_limit, gpu_capacity);
        if (cost_s < lowest_s) {
            lowest_s = cost_s;
            best = machine;
        }
    }
    return best;
}
