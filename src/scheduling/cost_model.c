/* What a place costs, and how long a job may look for a cheap one before its aims are in danger. */
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <math.h>
#include <string.h>

/* named defaults */
#define EXPENSIVE_FACTOR 2.5 /* times the cheapest ordinary place for the task */
#define PATIENCE 1.0         /* of the time that a job can spare */
#define HOPE_S 20.0          /* with less to spare an aim is not counted on */
#define YIELD_MIN_S 15.0     /* while GPU work waits for machines */
#define RUN_FACTOR 1.5       /* a job's slowest task against its owner's guess */

int bd_tasks_a_machine(const struct bd_type *type, const struct bd_spec *spec)
{
    double n = 1e6;
    if (spec->cpus > 0)
        n = fmin(n, floor(type->cpus / spec->cpus + 1e-9));
    if (spec->gpus > 0)
        n = fmin(n, floor(type->gpus / spec->gpus + 1e-9));
    if (spec->mem > 0)
        n = fmin(n, floor(type->mem / spec->mem + 1e-9));
    return (int)n;
}

static double place_price(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot)
{
    const struct bd_type *t = &core->types[type];
    int n = t->known ? bd_tasks_a_machine(t, spec) : 0;
    if (n < 1 || !bd_type_allowed(spec, type) || (spot && !spec->spot))
        return INFINITY;
    return (spot ? t->spot_price : t->price) / n;
}

/* Whether a place on such a machine costs much more than the cheapest would. */
bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot)
{
    double low = INFINITY;
    for (int t = 0; t < core->ntypes; t++)
        low = fmin(low, place_price(core, spec, t, false));
    return place_price(core, spec, type, spot) > EXPENSIVE_FACTOR * low;
}

/* How long a job of the class may wait and still meet the aim; below 0: not this class's aim. */
double bd_slack(const struct bd_core *core, int job_class, double estimate, const struct bd_slo *a)
{
    if (strcmp(a->job_class, bd_class_name(core, job_class)) != 0)
        return -1;
    if (a->kind == BD_SLO_WAIT)
        return a->within_s;
    if (a->kind == BD_SLO_FINISHED)
        return fmax(0, a->within_s - RUN_FACTOR * estimate);
    return -1;
}

/* Seconds from its submission that the job can wait for a cheap place; a class whose aim for its
 * start leaves no time for a new machine waits for nothing. A job that is too long for the tightest
 * aim for its end goes by the next one. */
static double patience(const struct bd_core *core, const struct bd_spec *spec)
{
    double tight = INFINITY, loose = 0, lead = 0;
    bool any = false;
    for (int t = 0; t < core->ntypes; t++)
        if (place_price(core, spec, t, false) < INFINITY)
            lead = fmax(lead, core->types[t].boot + spec->image_gb / core->types[t].fetch);
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *a = &core->settings->slos[i];
        double slack = bd_slack(core, spec->job_class, spec->estimate, a), v = slack - lead;
        if (slack < 0)
            continue;
        if (a->kind == BD_SLO_WAIT && v < HOPE_S)
            return 0;
        any = true;
        loose = fmax(loose, v);
        if (v >= HOPE_S)
            tight = fmin(tight, v);
    }
    return any ? PATIENCE * fmin(tight, loose) : 0;
}

enum bd_cost_tier bd_cost_tier_of(const struct bd_core *core, const struct bd_job *job)
{
    double can = patience(core, &job->spec), waited = core->wall - job->ready;
    if (isfinite(job->finish_by)) /* what waits for it leaves it no more than that */
        can = fmin(can, fmax(0, bd_deadline_slack(core, job) - HOPE_S + waited));
    bool yields = core->cloud.gpu_waiting && job->spec.gpus <= 0 &&
                  job->spec.kind == BD_JOB_ARRAY && job->priority <= BD_PRIORITY_STANDARD;
    if (waited >= (yields ? fmax(can, YIELD_MIN_S) : can))
        return BD_TIER_ANY;
    return job->spec.spot && waited < can / 2 ? BD_TIER_SPOT : BD_TIER_CHEAP;
}

bool bd_within_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                         enum bd_cost_tier cost_tier, int type, bool spot)
{
    if (cost_tier == BD_TIER_ANY)
        return true;
    if (cost_tier == BD_TIER_SPOT && !spot)
        return false;
    return !bd_type_is_expensive(core, spec, type, spot);
}
