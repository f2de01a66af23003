/* The cost model: the price of running a task on a machine type, and how long a job can wait for a
 * cheap machine without missing its objectives. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <string.h>

#define EXPENSIVE_FACTOR 2.5 /* times the task's lowest on-demand price */
#define SLACK_MIN_S 20.0     /* least slack with which an objective counts as attainable */
#define GPU_YIELD_MIN_S 15.0 /* least time that arrays leave expensive machines to GPU tasks */
#define TASKS_MAX 1000000u   /* on one machine, for a task that requests no resources */

/* Run time of a job's slowest task, relative to the estimate, as planned for with objectives. */
#define SLO_RUN_TIME_FACTOR 1.5

/* Price per hour of one task on a machine that is full with `tasks` of them; infinite: the task may
 * not run there. */
static double price_per_task(const struct bd_core *core, const struct bd_spec *spec, int type,
                             bool spot, uint32_t tasks)
{
    const struct bd_machine_type *machine_type = &core->types[type];
    if (tasks < 1 || !bd_type_allowed(spec, type) || (spot && !spec->spot))
        return INFINITY;
    return (spot ? machine_type->spot_price : machine_type->price) / tasks;
}

/* The prices per task and hour of all types, on demand and spot. */
struct task_prices {
    double by_type[BD_TYPES_MAX][2];
    double expensive_above; /* the price above which a machine is expensive for the task */
};

static void find_task_prices(const struct bd_core *core, const struct bd_spec *spec,
                             struct task_prices *prices)
{
    double lowest = INFINITY;
    for (int type = 0; type < core->ntypes; type++) {
        uint32_t tasks = bd_type_fit_count(&core->types[type], spec, TASKS_MAX);
        for (int spot = 0; spot < 2; spot++)
            prices->by_type[type][spot] = price_per_task(core, spec, type, spot, tasks);
        if (prices->by_type[type][0] < lowest)
            lowest = prices->by_type[type][0];
    }
    prices->expensive_above = EXPENSIVE_FACTOR * lowest;
}

bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot)
{
    struct task_prices prices;
    find_task_prices(core, spec, &prices);
    return prices.by_type[type][spot] > prices.expensive_above;
}

void bd_find_expensive_types(const struct bd_core *core, const struct bd_spec *spec,
                             bool is_expensive[BD_TYPES_MAX][2])
{
    struct task_prices prices;
    find_task_prices(core, spec, &prices);
    for (int type = 0; type < core->ntypes; type++)
        for (int spot = 0; spot < 2; spot++)
            is_expensive[type][spot] = prices.by_type[type][spot] > prices.expensive_above;
}

double bd_slo_slack_s(const struct bd_core *core, int job_class, double estimated_run_s,
                      const struct bd_slo *slo)
{
    if (strcmp(slo->job_class, bd_job_class_name(core, job_class)) != 0)
        return -1;
    if (slo->kind == BD_SLO_WAIT)
        return slo->within_s;
    if (slo->kind == BD_SLO_FINISHED)
        return fmax(0, slo->within_s - SLO_RUN_TIME_FACTOR * estimated_run_s);
    return -1;
}

/* Longest time in seconds until a newly provisioned machine could start a task of the job. */
static double provisioning_lead_s(const struct bd_core *core, const struct bd_spec *spec)
{
    double lead_s = 0;
    for (int type = 0; type < core->ntypes; type++)
        if (bd_type_allowed(spec, type) && bd_type_fit_count(&core->types[type], spec, 1) > 0)
            lead_s = fmax(lead_s, core->types[type].boot_s +
                                      spec->image_gb / core->types[type].fetch_gb_per_s);
    return lead_s;
}

/* How long, in seconds from when it is ready, a job with this spec can wait for a cheap machine. 0
 * if a BD_SLO_WAIT objective of its class leaves no time to provision a machine. If the job is too
 * long to meet the tightest BD_SLO_FINISHED objective, the next one applies. */
static double cheap_wait_s(const struct bd_core *core, const struct bd_spec *spec)
{
    double tightest_s = INFINITY, loosest_s = 0, lead_s = provisioning_lead_s(core, spec);
    bool has_objective = false;
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *slo = &core->settings->slos[i];
        double slack_s = bd_slo_slack_s(core, spec->job_class, spec->estimate_s, slo);
        double spare_s = slack_s - lead_s;
        if (slack_s < 0)
            continue;
        if (slo->kind == BD_SLO_WAIT && spare_s < SLACK_MIN_S)
            return 0;
        has_objective = true;
        loosest_s = fmax(loosest_s, spare_s);
        if (spare_s >= SLACK_MIN_S)
            tightest_s = fmin(tightest_s, spare_s);
    }
    return has_objective ? fmin(tightest_s, loosest_s) : 0;
}

/* Whether the job leaves expensive machines to pending GPU tasks for a while. */
static bool yields_to_gpu_work(const struct bd_core *core, const struct bd_job *job)
{
    return core->cloud.has_pending_gpu_work && job->spec.gpus <= 0 &&
           job->spec.kind == BD_JOB_ARRAY && job->priority <= BD_PRIORITY_STANDARD;
}

enum bd_cost_tier bd_job_cost_tier(const struct bd_core *core, const struct bd_job *job)
{
    double max_wait_s = cheap_wait_s(core, &job->spec), waited_s = core->wall_s - job->ready_at;
    if (isfinite(job->finish_by)) /* its own and its dependents' deadlines limit the wait */
        max_wait_s =
            fmin(max_wait_s, fmax(0, bd_deadline_slack_s(core, job) - SLACK_MIN_S + waited_s));
    double any_tier_after_s =
        yields_to_gpu_work(core, job) ? fmax(max_wait_s, GPU_YIELD_MIN_S) : max_wait_s;
    if (waited_s >= any_tier_after_s)
        return BD_TIER_ANY;
    return job->spec.spot && waited_s < max_wait_s / 2 ? BD_TIER_SPOT : BD_TIER_CHEAP;
}

void bd_find_types_in_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                                enum bd_cost_tier cost_tier, bool is_in_tier[BD_TYPES_MAX][2])
{
    bool is_expensive[BD_TYPES_MAX][2] = {{false}};
    if (cost_tier != BD_TIER_ANY)
        bd_find_expensive_types(core, spec, is_expensive);
    for (int type = 0; type < core->ntypes; type++)
        for (int spot = 0; spot < 2; spot++)
            is_in_tier[type][spot] =
                !is_expensive[type][spot] && (spot || cost_tier != BD_TIER_SPOT);
}
