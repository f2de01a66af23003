/* Preemption: which tasks may be preempted for a job, on which machine that costs least, and the
 * preemption itself. */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include <math.h>

#define PREEMPTION_COST_S 10.0 /* to free all cores, or all GPUs, that a task needs */
#define PREEMPTIONS_MAX 32u    /* tasks for which one call frees capacity */

/* Delay after a search that found nothing for the job: a search goes through all machines, and one
 * that follows at once seldom finds more. */
#define PREEMPTION_RETRY_S 0.5

bool bd_preemption_is_due(const struct bd_core *core, const struct bd_job *job)
{
    return !bd_time_is_before(core->now, job->next_preemption_at);
}

void bd_preemption_back_off(const struct bd_core *core, struct bd_job *job)
{
    job->next_preemption_at = bd_time_add(core->now, bd_secs(PREEMPTION_RETRY_S));
}

/* ---- what may be preempted ---- */

static bool is_preemptible(const struct bd_job *job, const struct bd_task *task)
{
    return !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           (task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING) &&
           job->spec.kind != BD_JOB_SERVICE;
}

/* Whether the preemptor, within its team's guaranteed share, may preempt a running task that
 * another team runs beyond its own share. Tasks of jobs with a deadline and a higher priority are
 * exempt: they are few and short, and there is enough other borrowed capacity. */
static bool may_reclaim(const struct bd_job *preemptor, const struct bd_job *job,
                        const struct bd_task *task)
{
    bool is_exempt = isfinite(job->finish_by) && job->priority > preemptor->priority;
    return preemptor->is_within_guaranteed_share && !job->is_within_guaranteed_share &&
           preemptor->spec.team != job->spec.team && !is_exempt &&
           task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING;
}

static bool may_preempt(const struct bd_job *preemptor, const struct bd_job *job,
                        const struct bd_task *task)
{
    return (job->priority < preemptor->priority || may_reclaim(preemptor, job, task)) &&
           is_preemptible(job, task);
}

/* The machine's summary, computed again if a task was preempted since. */
static const struct preemption_summary *get_preemption_summary(struct placement_cycle *cycle,
                                                               const struct bd_machine *machine)
{
    struct preemption_summary *summary = &cycle->machines[machine->index].preemption;
    if (summary->generation == cycle->generation)
        return summary;
    *summary = (struct preemption_summary){.generation = cycle->generation,
                                           .lowest_priority = BD_PRIORITY_PRODUCTION};
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_job *job = machine->reservations[i].job;
        const struct bd_task *task = machine->reservations[i].task;
        summary->has_stopping |= (task->flags & BD_TASK_FLAG_STOP_REQUESTED) != 0;
        if (!is_preemptible(job, task))
            continue;
        summary->has_preemptible = true;
        if (job->priority < summary->lowest_priority)
            summary->lowest_priority = job->priority;
        summary->has_borrowed |= !job->is_within_guaranteed_share;
    }
    return summary;
}

/* Unclaimed capacity of a machine once all stopping tasks have exited, and once all tasks that may
 * be preempted for a job have exited too. */
struct freeable_capacity {
    struct bd_resources after_stops, after_preemption;
};

static struct freeable_capacity freeable_capacity(struct placement_cycle *cycle,
                                                  const struct bd_job *preemptor,
                                                  const struct bd_machine *machine)
{
    const struct preemption_summary *summary = get_preemption_summary(cycle, machine);
    struct bd_resources unclaimed = bd_unclaimed_capacity(cycle, machine);
    struct freeable_capacity capacity = {unclaimed, unclaimed};
    bool has_lower_priority =
        summary->has_preemptible && summary->lowest_priority < preemptor->priority;
    bool has_reclaimable = preemptor->is_within_guaranteed_share && summary->has_borrowed;
    if (!summary->has_stopping && !has_lower_priority && !has_reclaimable)
        return capacity;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_job *job = machine->reservations[i].job;
        const struct bd_task *task = machine->reservations[i].task;
        bool is_stopping = task->flags & BD_TASK_FLAG_STOP_REQUESTED;
        if (is_stopping)
            bd_resources_add(&capacity.after_stops, &job->spec, 1);
        if (is_stopping || may_preempt(preemptor, job, task))
            bd_resources_add(&capacity.after_preemption, &job->spec, 1);
    }
    return capacity;
}

/* ---- victims on a machine ---- */

/* Whether x is preempted before y: the lower priority first, then the younger job, which has more
 * time to recover the lost work, then the newer attempt. */
static bool is_better_victim(const struct bd_reservation *x, const struct bd_reservation *y)
{
    const struct bd_job *a = x->job, *b = y->job;
    if (a->priority != b->priority)
        return a->priority < b->priority;
    if (a != b && a->ready_at != b->ready_at)
        return a->ready_at > b->ready_at;
    return x->task->attempt > y->task->attempt;
}

/* The task to preempt next for the job; the result's job is NULL if there is none. */
static struct bd_reservation choose_victim(const struct bd_job *preemptor,
                                           const struct bd_machine *machine)
{
    struct bd_reservation victim = {0};
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        const struct bd_job *job = reservation->job;
        if (may_preempt(preemptor, job, reservation->task) &&
            (!victim.job || is_better_victim(reservation, &victim)))
            victim = *reservation;
    }
    return victim;
}

/* Preempts tasks on the machine until one task of the job fits into the capacity. */
static void preempt_on_machine(struct placement_cycle *cycle, const struct bd_job *preemptor,
                               const struct bd_machine *machine, struct bd_resources capacity)
{
    while (!bd_resources_fit_count(capacity, &preemptor->spec, 1)) {
        struct bd_reservation victim = choose_victim(preemptor, machine);
        if (!victim.job)
            return;
        bd_resources_add(&capacity, &victim.job->spec, 1);
        cycle->generation++;
        bd_task_stop(cycle->core, victim.job, victim.task->index, BD_STOP_PREEMPTED, false);
    }
}

/* ---- choice of the machine ---- */

/* Limits on the machines where a search may preempt. */
struct preemption_search {
    const uint32_t *zone_counts;
    enum bd_price_limit price_limit;
    bool needs_image; /* only on machines that hold the job's image */
};

static bool is_candidate(const struct placement_cycle *cycle, const struct bd_job *job,
                         const struct bd_machine *machine, const struct preemption_search *search)
{
    if (!cycle->machines[machine->index].is_schedulable || !bd_zone_is_eligible(cycle, machine) ||
        !bd_placement_allowed(&job->spec, machine->type, machine->zone, machine->spot))
        return false;
    if (search->price_limit == BD_PRICE_CHEAP &&
        cycle->weights.is_expensive[machine->type][machine->spot])
        return false;
    if (search->needs_image && !bd_machine_has_image(machine, job->spec.image))
        return false;
    if (cycle->requires_image_soon && !bd_image_is_ready_soon(cycle->core, &job->spec, machine))
        return false;
    return bd_zone_allowance(cycle->core, job, search->zone_counts, machine->zone, 1) > 0;
}

/* The cost of freeing capacity for one task on the machine, in seconds of start delay; infinite:
 * not possible. */
static double preemption_cost_s(struct placement_cycle *cycle, const struct bd_job *job,
                                const struct bd_machine *machine,
                                const struct preemption_search *search)
{
    const struct bd_spec *spec = &job->spec;
    if (!is_candidate(cycle, job, machine, search))
        return INFINITY;
    struct freeable_capacity capacity = freeable_capacity(cycle, job, machine);
    if (!bd_resources_fit_count(capacity.after_preemption, spec, 1))
        return INFINITY;
    const struct bd_resources *available = &capacity.after_stops;
    double fetch_s = bd_image_fetch_s(cycle->core, machine, spec);
    double lacking_share = fmax(0, fmax(spec->cpus - available->cpus, 0) / fmax(spec->cpus, 1) +
                                       fmax(spec->gpus - available->gpus, 0) / fmax(spec->gpus, 1));
    return fetch_s + lacking_share * PREEMPTION_COST_S;
}

static void update_preemption_costs(struct placement_cycle *cycle, const struct bd_job *job,
                                    const struct preemption_search *search)
{
    for (uint32_t i = 0; i < cycle->core->nmachines; i++)
        cycle->machines[i].preemption_cost_s =
            preemption_cost_s(cycle, job, cycle->core->machines_by_index[i], search);
}

/* The machine with the lowest preemption cost; NULL: it is infinite on all machines. */
static struct bd_machine *cheapest_machine(const struct placement_cycle *cycle)
{
    struct bd_machine *cheapest = NULL;
    double lowest_s = INFINITY;
    for (uint32_t i = 0; i < cycle->core->nmachines; i++) {
        if (cycle->machines[i].preemption_cost_s < lowest_s) {
            lowest_s = cycle->machines[i].preemption_cost_s;
            cheapest = cycle->core->machines_by_index[i];
        }
    }
    return cheapest;
}

/* Preempts for one task on the machine where that costs least, and claims the capacity. The costs
 * are computed once for all tasks of a job, and again only for the chosen machine. Returns false if
 * no machine is possible. */
static bool preempt_for_task(struct placement_cycle *cycle, const struct bd_job *job,
                             const struct preemption_search *search, uint32_t *zone_counts)
{
    for (;;) {
        struct bd_machine *machine = cheapest_machine(cycle);
        if (!machine)
            return false;
        struct cycle_machine *chosen = &cycle->machines[machine->index];
        double cost_s = preemption_cost_s(cycle, job, machine, search);
        if (cost_s > chosen->preemption_cost_s) { /* raised by an earlier preemption */
            chosen->preemption_cost_s = cost_s;
            continue;
        }
        struct freeable_capacity capacity = freeable_capacity(cycle, job, machine);
        preempt_on_machine(cycle, job, machine, capacity.after_stops);
        bd_resources_add(&chosen->claimed, &job->spec, 1);
        zone_counts[machine->zone]++;
        chosen->preemption_cost_s = preemption_cost_s(cycle, job, machine, search);
        return true;
    }
}

static uint32_t preempt_for_tasks(struct placement_cycle *cycle, struct bd_job *job,
                                  uint32_t max_tasks, enum bd_price_limit price_limit,
                                  bool needs_image)
{
    uint32_t zone_counts[BD_ZONES_MAX], freed = 0;
    struct preemption_search search = {zone_counts, price_limit, needs_image};
    bd_count_tasks_by_zone(cycle->core, job, zone_counts);
    update_preemption_costs(cycle, job, &search);
    max_tasks = max_tasks < PREEMPTIONS_MAX ? max_tasks : PREEMPTIONS_MAX;
    while (freed < max_tasks && preempt_for_task(cycle, job, &search, zone_counts))
        freed++;
    return freed;
}

uint32_t bd_preempt(struct placement_cycle *cycle, struct bd_job *job, uint32_t max_tasks,
                    enum bd_price_limit price_limit)
{
    return preempt_for_tasks(cycle, job, max_tasks, price_limit, false);
}

bool bd_preempt_where_image_is_held(struct placement_cycle *cycle, struct bd_job *job)
{
    return preempt_for_tasks(cycle, job, 1, BD_PRICE_ANY, true) > 0;
}

bool bd_preempt_for_gang(struct placement_cycle *cycle, struct bd_job *job, uint32_t unplaced_tasks)
{
    uint32_t zone_counts[BD_ZONES_MAX], possible_machines = 0;
    struct preemption_search search = {zone_counts, BD_PRICE_ANY, false};
    bd_count_tasks_by_zone(cycle->core, job, zone_counts);
    for (uint32_t i = 0; i < cycle->core->nmachines && possible_machines < unplaced_tasks; i++)
        possible_machines +=
            preemption_cost_s(cycle, job, cycle->core->machines_by_index[i], &search) < INFINITY;
    return possible_machines >= unplaced_tasks &&
           bd_preempt(cycle, job, unplaced_tasks, BD_PRICE_ANY) > 0;
}
