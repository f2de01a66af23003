/* What a place costs, and how long a job may wait for a cheap one before its objectives are in
 * danger. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <string.h>

#define EXPENSIVE_FACTOR 2.5    /* times the cheapest on-demand place for the task */
#define SLACK_MIN_S 20.0        /* with less to spare an objective is not counted on */
#define GPU_YIELD_MIN_S 15.0    /* arrays leave expensive places to GPU work that waits, at least */
#define SLOWEST_TASK_FACTOR 1.5 /* a job's slowest task against the estimate */
#define ROUNDING 1e-9           /* of a quotient of amounts */
#define TASKS_MAX 1e6           /* for a task that needs nothing */

int bd_tasks_per_machine(const struct bd_machine_type *type, const struct bd_spec *spec)
{
    double n = TASKS_MAX;
    if (spec->cpus > 0)
        n = fmin(n, floor(type->cpus / spec->cpus + ROUNDING));
    if (spec->gpus > 0)
        n = fmin(n, floor(type->gpus / spec->gpus + ROUNDING));
    if (spec->mem > 0)
        n = fmin(n, floor(type->mem / spec->mem + ROUNDING));
    return (int)n;
}

/* Of one task on a full machine; infinite: it may not run there. */
static double place_price(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot)
{
    const struct bd_machine_type *machine_type = &core->types[type];
    int n = machine_type->known ? bd_tasks_per_machine(machine_type, spec) : 0;
    if (n < 1 || !bd_type_allowed(spec, type) || (spot && !spec->spot))
        return INFINITY;
    return (spot ? machine_type->spot_price : machine_type->price) / n;
}

/* A place that costs more is expensive. */
static double expensive_above(const struct bd_core *core, const struct bd_spec *spec)
{
    double lowest = INFINITY;
    for (int type = 0; type < core->ntypes; type++)
        lowest = fmin(lowest, place_price(core, spec, type, false));
    return EXPENSIVE_FACTOR * lowest;
}

bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot)
{
    return place_price(core, spec, type, spot) > expensive_above(core, spec);
}

void bd_find_expensive_types(const struct bd_core *core, const struct bd_spec *spec,
                             bool is_expensive[BD_TYPES_MAX][2])
{
    double limit = expensive_above(core, spec);
    for (int type = 0; type < core->ntypes; type++)
        for (int spot = 0; spot < 2; spot++)
            is_expensive[type][spot] = place_price(core, spec, type, spot) > limit;
}

double bd_slo_slack(const struct bd_core *core, int job_class, double estimate,
                    const struct bd_slo *slo)
{
    if (strcmp(slo->job_class, bd_job_class_name(core, job_class)) != 0)
        return -1;
    if (slo->kind == BD_SLO_WAIT)
        return slo->within_s;
    if (slo->kind == BD_SLO_FINISHED)
        return fmax(0, slo->within_s - SLOWEST_TASK_FACTOR * estimate);
    return -1;
}

/* Seconds until a new machine for the job could begin its first task, at worst. */
static double provisioning_lead_s(const struct bd_core *core, const struct bd_spec *spec)
{
    double lead = 0;
    for (int type = 0; type < core->ntypes; type++)
        if (place_price(core, spec, type, false) < INFINITY)
            lead = fmax(lead, core->types[type].boot_s +
                                  spec->image_gb / core->types[type].fetch_gb_per_s);
    return lead;
}

/* Seconds from its submission that the job can wait for a cheap place. A class whose objective for
 * its start leaves no time for a new machine waits for nothing; a job that is too long for the
 * tightest objective for its end goes by the next one. */
static double cheap_wait_s(const struct bd_core *core, const struct bd_spec *spec)
{
    double tightest = INFINITY, loosest = 0, lead = provisioning_lead_s(core, spec);
    bool has_objective = false;
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *slo = &core->settings->slos[i];
        double slack = bd_slo_slack(core, spec->job_class, spec->estimate_s, slo);
        double spare = slack - lead;
        if (slack < 0)
            continue;
        if (slo->kind == BD_SLO_WAIT && spare < SLACK_MIN_S)
            return 0;
        has_objective = true;
        loosest = fmax(loosest, spare);
        if (spare >= SLACK_MIN_S)
            tightest = fmin(tightest, spare);
    }
    return has_objective ? fmin(tightest, loosest) : 0;
}

/* Whether the job leaves expensive machines to GPU work that waits for them. */
static bool yields_to_gpu_work(const struct bd_core *core, const struct bd_job *job)
{
    return core->cloud.has_pending_gpu_work && job->spec.gpus <= 0 &&
           job->spec.kind == BD_JOB_ARRAY && job->priority <= BD_PRIORITY_STANDARD;
}

enum bd_cost_tier bd_cost_tier_of(const struct bd_core *core, const struct bd_job *job)
{
    double may_wait = cheap_wait_s(core, &job->spec), waited = core->wall_s - job->ready_at;
    if (isfinite(job->finish_by)) /* the jobs that wait for it leave it no more than that */
        may_wait = fmin(may_wait, fmax(0, bd_deadline_slack(core, job) - SLACK_MIN_S + waited));
    double until_any = yields_to_gpu_work(core, job) ? fmax(may_wait, GPU_YIELD_MIN_S) : may_wait;
    if (waited >= until_any)
        return BD_TIER_ANY;
    return job->spec.spot && waited < may_wait / 2 ? BD_TIER_SPOT : BD_TIER_CHEAP;
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
