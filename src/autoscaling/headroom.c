/* Headroom: capacity for tasks that are expected to arrive before a new machine could serve them,
 * computed from the service-level objectives and the arrivals of each job class. */
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
#define ARRIVAL_WINDOW_S 150.0    /* in which arrivals are counted */
#define ARRIVAL_WINDOW_MIN_S 12.0 /* a shorter window does not show the rate */
#define QUANTILE_MAX 0.995        /* of the arrivals that headroom covers */

/* Jobs that arrive this soon after the first one are not counted: those that are there at the very
 * start come at once and do not show the rate. */
#define START_EXCLUDED_S 4.0

struct class_arrivals {
    int job_class;
    struct bd_spec spec; /* of the newest job whose spec is known */
    double newest_at;    /* when that job was submitted: time of day, seconds */
    uint32_t arrivals;   /* jobs that became ready in the window */
    uint32_t jobs;       /* whose spec is known; the fields below are their sums */
    uint32_t tasks;
    double estimate_s, image_gb;
};

struct arrivals {
    struct class_arrivals classes[CLASSES_MAX];
    int nclasses;
};

/* The entry of the class, added if it is new. NULL: too many classes. */
static struct class_arrivals *find_or_add_class(struct arrivals *arrivals, int job_class)
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

/* Start of the window in which arrivals are counted: time of day, seconds. */
static double window_start(const struct bd_core *core)
{
    double first = INFINITY;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        first = fmin(first, job->submitted_at);
    return fmax(first + START_EXCLUDED_S, core->wall_s - ARRIVAL_WINDOW_S);
}

static void count_job(struct class_arrivals *class_stats, const struct bd_job *job,
                      double window_started_at)
{
    if (bd_job_has_open_parents(job))
        return;
    class_stats->arrivals += job->ready_at >= window_started_at;
    if (!job->has_spec)
        return;
    class_stats->jobs++;
    class_stats->tasks += job->ntasks;
    class_stats->estimate_s += job->spec.estimate_s;
    class_stats->image_gb += job->spec.image_gb;
    if (job->submitted_at >= class_stats->newest_at) {
        class_stats->newest_at = job->submitted_at;
        class_stats->spec = job->spec;
    }
}

static void log_too_many_classes(struct bd_core *core)
{
    if (!core->lead.is_class_limit_logged)
        bd_log_write(core->log, BD_LOG_ERROR,
                     "more than %d job classes: no headroom for the others", CLASSES_MAX);
    core->lead.is_class_limit_logged = true;
}

static void count_arrivals(struct bd_core *core, struct arrivals *arrivals,
                           double window_started_at)
{
    arrivals->nclasses = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->job_class < 0 || core->wall_s - job->ready_at > 2 * ARRIVAL_WINDOW_S)
            continue;
        struct class_arrivals *class_stats = find_or_add_class(arrivals, job->job_class);
        if (class_stats)
            count_job(class_stats, job, window_started_at);
        else
            log_too_many_classes(core);
    }
}

/* The number of tasks that capacity is kept free for: a deviation from the mean of the tasks that
 * arrive before a new machine would be ready, at the normal quantile that the objectives' shares
 * require. The variance of the arrivals is taken as twice that of a Poisson process. */
static uint32_t headroom_tasks(const struct bd_demand *demand,
                               const struct class_arrivals *class_stats, double window_s)
{
    const struct bd_core *core = demand->core;
    struct bd_pool_choice pool = {0};
    double max_tasks = 0, tasks_per_job = (double)class_stats->tasks / class_stats->jobs;
    if (!bd_demand_choose_pool(demand, &class_stats->spec, (uint32_t)ceil(tasks_per_job),
                               BD_TIER_ANY, &pool))
        return 0;
    const struct bd_machine_type *type = &core->types[pool.type];
    double provisioning_s =
        type->boot_s + class_stats->image_gb / class_stats->jobs / type->fetch_gb_per_s;
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *slo = &core->settings->slos[i];
        double slack_s = bd_slo_slack_s(core, class_stats->job_class,
                                        class_stats->estimate_s / class_stats->jobs, slo);
        if (slack_s < 0 || slack_s >= provisioning_s)
            continue;
        double z = gsl_cdf_ugaussian_Pinv(fmin(QUANTILE_MAX, (1 + slo->share) / 2));
        max_tasks =
            fmax(max_tasks,
                 z * sqrt(2 * class_stats->arrivals / window_s * provisioning_s) * tasks_per_job);
    }
    return (uint32_t)ceil(max_tasks * core->settings->headroom_share);
}

enum gpu_use { TASKS_WITH_GPUS, TASKS_WITHOUT_GPUS };

static void add_classes(struct bd_demand *demand, const struct arrivals *arrivals,
                        enum gpu_use gpu_use, double window_s)
{
    for (int i = 0; i < arrivals->nclasses; i++) {
        const struct class_arrivals *class_stats = &arrivals->classes[i];
        bool is_gpu_class = class_stats->spec.gpus > 0;
        if (!class_stats->jobs || is_gpu_class != (gpu_use == TASKS_WITH_GPUS) ||
            class_stats->spec.team < 0)
            continue;
        bd_demand_add_tasks(demand, &class_stats->spec,
                            headroom_tasks(demand, class_stats, window_s), BD_TIER_ANY);
    }
}

void bd_demand_add_headroom(struct bd_demand *demand)
{
    struct bd_core *core = demand->core;
    struct arrivals arrivals;
    double window_started_at = window_start(core), window_s = core->wall_s - window_started_at;
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->machines_by_index[i]->is_headroom = false;
    if (window_s < ARRIVAL_WINDOW_MIN_S)
        return;
    count_arrivals(core, &arrivals, window_started_at);
    bd_demand_add_free_capacity(demand);
    add_classes(demand, &arrivals, TASKS_WITH_GPUS, window_s);
    add_classes(demand, &arrivals, TASKS_WITHOUT_GPUS, window_s);
}
