/* Headroom: capacity for the tasks that are expected before a new machine could serve them, from
 * the service-level objectives and the arrivals of each class of jobs. */
#include "autoscaling/autoscaling_internal.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <string.h>

#define CLASSES_MAX 32
#define WINDOW_S 150.0       /* in which arrivals are counted */
#define WINDOW_MIN_S 12.0    /* with less of it the rate is not known */
#define FIRST_ARRIVALS_S 4.0 /* jobs that are there at the very start say nothing of the rate */
#define QUANTILE_MAX 0.995   /* of the arrivals that headroom covers */

struct class_arrivals {
    int job_class;
    struct bd_spec spec; /* of its newest job that is described */
    double newest_at;    /* when that one was submitted */
    uint32_t arrived;    /* in the window */
    uint32_t jobs;       /* of which the following are sums */
    uint32_t tasks;
    double estimate, image_gb;
};

struct arrivals {
    struct class_arrivals classes[CLASSES_MAX];
    int nclasses;
};

/* NULL: too many classes. */
static struct class_arrivals *arrivals_of(struct arrivals *arrivals, int job_class)
{
    for (int i = 0; i < arrivals->nclasses; i++)
        if (arrivals->classes[i].job_class == job_class)
            return &arrivals->classes[i];
    if (arrivals->nclasses == CLASSES_MAX)
        return NULL;
    struct class_arrivals *added = &arrivals->classes[arrivals->nclasses++];
    memset(added, 0, sizeof *added);
    added->job_class = job_class;
    return added;
}

/* When the window in which arrivals are counted began. */
static double window_start(const struct bd_core *core)
{
    double first = INFINITY;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        first = fmin(first, job->submitted_at);
    return fmax(first + FIRST_ARRIVALS_S, core->wall_s - WINDOW_S);
}

static void count_job(struct class_arrivals *group, const struct bd_job *job, double from)
{
    if (bd_job_has_open_parents(job))
        return;
    group->arrived += job->ready_at >= from;
    if (!job->has_spec)
        return;
    group->jobs++;
    group->tasks += job->ntasks;
    group->estimate += job->spec.estimate_s;
    group->image_gb += job->spec.image_gb;
    if (job->submitted_at >= group->newest_at) {
        group->newest_at = job->submitted_at;
        group->spec = job->spec;
    }
}

static void log_too_many_classes(struct bd_core *core)
{
    if (!core->lead.is_class_limit_logged)
        bd_log_write(core->log, BD_LOG_ERROR, "more than %d classes: the rest gets no headroom",
                     CLASSES_MAX);
    core->lead.is_class_limit_logged = true;
}

static void count_arrivals(struct bd_core *core, struct arrivals *arrivals, double from)
{
    arrivals->nclasses = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->job_class < 0 || core->wall_s - job->ready_at > 2 * WINDOW_S)
            continue;
        struct class_arrivals *group = arrivals_of(arrivals, job->job_class);
        if (group)
            count_job(group, job, from);
        else
            log_too_many_classes(core);
    }
}

/* Tasks that capacity is kept free for: those that arrive before a new machine would be ready, to
 * the normal quantile that the objectives' shares ask for. The variance is taken as twice that of a
 * Poisson process. */
static uint32_t headroom_tasks(const struct bd_demand *demand, const struct class_arrivals *group,
                               double window_s)
{
    const struct bd_core *core = demand->core;
    struct bd_pool_choice pool = {0};
    double most = 0, tasks_per_job = (double)group->tasks / group->jobs;
    if (!bd_demand_choose_pool(demand, &group->spec, (uint32_t)ceil(tasks_per_job), BD_TIER_ANY,
                               &pool))
        return 0;
    const struct bd_machine_type *type = &core->types[pool.type];
    double lead_s = type->boot_s + group->image_gb / group->jobs / type->fetch_gb_per_s;
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *slo = &core->settings->slos[i];
        double slack = bd_slo_slack(core, group->job_class, group->estimate / group->jobs, slo);
        if (slack < 0 || slack >= lead_s)
            continue;
        double z = gsl_cdf_ugaussian_Pinv(fmin(QUANTILE_MAX, (1 + slo->share) / 2));
        most = fmax(most, z * sqrt(2 * group->arrived / window_s * lead_s) * tasks_per_job);
    }
    return (uint32_t)ceil(most * core->settings->headroom_share);
}

enum work { WORK_WITH_GPUS, WORK_WITHOUT_GPUS };

static void add_classes(struct bd_demand *demand, const struct arrivals *arrivals, enum work work,
                        double window_s)
{
    for (int i = 0; i < arrivals->nclasses; i++) {
        const struct class_arrivals *group = &arrivals->classes[i];
        bool has_gpus = group->spec.gpus > 0;
        if (!group->jobs || has_gpus != (work == WORK_WITH_GPUS) || group->spec.team < 0)
            continue;
        bd_demand_add_tasks(demand, &group->spec, headroom_tasks(demand, group, window_s),
                            BD_TIER_ANY);
    }
}

void bd_demand_add_headroom(struct bd_demand *demand)
{
    struct bd_core *core = demand->core;
    struct arrivals arrivals;
    double from = window_start(core), window_s = core->wall_s - from;
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->machines_by_index[i]->is_headroom = false;
    if (window_s < WINDOW_MIN_S)
        return;
    count_arrivals(core, &arrivals, from);
    bd_demand_add_free_capacity(demand);
    add_classes(demand, &arrivals, WORK_WITH_GPUS, window_s);
    add_classes(demand, &arrivals, WORK_WITHOUT_GPUS, window_s);
}
