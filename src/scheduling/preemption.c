/* Which tasks may be stopped to make room, and which are. Part of the pure core. */
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/placement_internal.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <math.h>

#define COST_STOPPING 10.0 /* the whole room of a task made by stopping others */
#define PREEMPT_MAX 32u    /* places made for one job in one round */

bool bd_stoppable(const struct bd_job *job, const struct bd_task *task)
{
    return !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           (task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING) &&
           job->spec.kind != BD_JOB_SERVICE;
}

static bool may_stop(const struct bd_job *want, const struct bd_job *job,
                     const struct bd_task *task)
{
    /* a team's guarantee may take what another team runs beyond its own, but for a few short tasks
     * that others wait for by a due time: there is enough beside them */
    bool hurries = isfinite(job->finish_by) && job->priority > want->priority;
    bool owed = want->within_guaranteed_share && !job->within_guaranteed_share &&
                want->spec.team != job->spec.team && !hurries && task->state == BD_TASK_CONFIRMED &&
                task->execution == BD_EXECUTION_RUNNING;
    return (job->priority < want->priority || owed) && bd_stoppable(job, task);
}

static const struct stops *sum_up(struct placement_cycle *r, const struct bd_machine *machine)
{
    struct stops *s = &r->stops[machine->index];
    if (s->stamp == r->nstops)
        return s;
    *s = (struct stops){.stamp = r->nstops, .lowest_priority = BD_PRIORITY_PRODUCTION};
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        const struct bd_task *task = &job->tasks[machine->reservations[k].task];
        s->stopping |= (task->flags & BD_TASK_FLAG_STOP_REQUESTED) != 0;
        if (!bd_stoppable(job, task))
            continue;
        s->any = true;
        s->lowest_priority =
            job->priority < s->lowest_priority ? job->priority : s->lowest_priority;
        s->borrowed |= !job->within_guaranteed_share;
    }
    return s;
}

/* Room on the machine once what is stopping has gone, and what else could be stopped. */
static void later_room(struct placement_cycle *r, const struct bd_job *want,
                       struct bd_machine *machine, struct bd_resources *soon,
                       struct bd_resources *most)
{
    const struct stops *s = sum_up(r, machine);
    *soon = bd_unclaimed_capacity(r, machine);
    *most = *soon;
    bool lower = s->any && s->lowest_priority < want->priority;
    if (!s->stopping && !lower && !(want->within_guaranteed_share && s->borrowed))
        return;
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        struct bd_job *job = machine->reservations[k].job;
        struct bd_task *task = &job->tasks[machine->reservations[k].task];
        if (task->flags & BD_TASK_FLAG_STOP_REQUESTED) {
            bd_resources_add(soon, &job->spec, 1);
            bd_resources_add(most, &job->spec, 1);
        } else if (may_stop(want, job, task)) {
            bd_resources_add(most, &job->spec, 1);
        }
    }
}

/* Whether x is less worth keeping than y: the lower rank, then the younger job, which has more time
 * to make up for it, then the newer start. */
static bool less_valuable(const struct bd_reservation *x, const struct bd_reservation *y)
{
    const struct bd_job *a = x->job, *b = y->job;
    if (a->priority != b->priority)
        return a->priority < b->priority;
    if (a != b && a->ready != b->ready)
        return a->ready > b->ready;
    return a->tasks[x->task].attempt > b->tasks[y->task].attempt;
}

/* Picks the lowest_priority valuable of what may be stopped. */
static struct bd_reservation least_valuable(const struct bd_job *want,
                                            const struct bd_machine *machine)
{
    struct bd_reservation pick = {0};
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        struct bd_job *job = machine->reservations[k].job;
        if (may_stop(want, job, &job->tasks[machine->reservations[k].task]) &&
            (!pick.job || less_valuable(&machine->reservations[k], &pick)))
            pick = machine->reservations[k];
    }
    return pick;
}

static void stop_for(struct placement_cycle *r, const struct bd_job *want,
                     struct bd_machine *machine, struct bd_resources soon)
{
    while (!bd_resources_fit(soon, &want->spec, 1)) {
        struct bd_reservation pick = least_valuable(want, machine);
        if (!pick.job)
            return;
        bd_resources_add(&soon, &pick.job->spec, 1);
        r->nstops++;
        bd_task_stop(r->core, pick.job, pick.task, BD_STOP_PREEMPTED, false);
    }
}

/* What making room on the machine would cost; infinite where it cannot be made. */
static double stop_cost(struct placement_cycle *r, const struct bd_job *job,
                        struct bd_machine *machine, const uint32_t *zones, bool only_cheap)
{
    struct bd_core *core = r->core;
    struct bd_resources soon, most;
    if (!r->open[machine->index] || !bd_zone_open(r, machine) ||
        !bd_allowed(&job->spec, machine->type, machine->zone, machine->spot) ||
        (only_cheap && r->expensive[machine->type][machine->spot]) ||
        !bd_zone_left(core, job, zones, machine->zone, 1))
        return INFINITY;
    later_room(r, job, machine, &soon, &most);
    if (!bd_resources_fit(most, &job->spec, 1))
        return INFINITY;
    double v = bd_fetch_s(core, machine, &job->spec);
    double lacking = fmax(0, fmax(job->spec.cpus - soon.cpus, 0) / fmax(job->spec.cpus, 1) +
                                 fmax(job->spec.gpus - soon.gpus, 0) / fmax(job->spec.gpus, 1));
    return v + lacking * COST_STOPPING;
}

/* What room for one task would cost on each machine. */
void bd_stop_costs(struct placement_cycle *r, const struct bd_job *job, const uint32_t *zones,
                   bool only_cheap, bool with_image)
{
    for (uint32_t i = 0; i < r->core->nmachines; i++) {
        struct bd_machine *machine = r->core->by_index[i];
        bool out = (with_image && !bd_has_image(machine, job->spec.image)) ||
                   (r->quick && !bd_quick_there(r->core, &job->spec, machine));
        r->cost[i] = out ? INFINITY : stop_cost(r, job, machine, zones, only_cheap);
    }
}

/* Makes room for one task where that costs lowest_priority, and keeps it for the task. False:
 * nowhere. The costs are counted once for all tasks of the job, and again only for the machine that
 * is picked.
 */
bool bd_vacate(struct placement_cycle *r, struct bd_job *job, uint32_t *zones, bool only_cheap)
{
    for (;;) {
        struct bd_resources soon, most;
        uint32_t pick = 0;
        for (uint32_t i = 1; i < r->core->nmachines; i++)
            if (r->cost[i] < r->cost[pick])
                pick = i;
        if (r->core->nmachines == 0 || !(r->cost[pick] < INFINITY))
            return false;
        struct bd_machine *machine = r->core->by_index[pick];
        double v = stop_cost(r, job, machine, zones, only_cheap);
        if (v > r->cost[pick]) { /* what was taken before has changed it */
            r->cost[pick] = v;
            continue;
        }
        later_room(r, job, machine, &soon, &most);
        stop_for(r, job, machine, soon);
        bd_resources_add(&r->claimed[pick], &job->spec, 1);
        zones[machine->zone]++;
        r->cost[pick] = stop_cost(r, job, machine, zones, only_cheap);
        return true;
    }
}

/* Makes room for up to n tasks; returns for how many room is made or on its way. */
uint32_t bd_preempt(struct placement_cycle *r, struct bd_job *job, uint32_t n, bool only_cheap)
{
    uint32_t zones[BD_MAX_ZONES], made = 0;
    bd_zone_counts(r->core, job, zones);
    bd_stop_costs(r, job, zones, only_cheap, false);
    n = n < PREEMPT_MAX ? n : PREEMPT_MAX;
    while (made < n && bd_vacate(r, job, zones, only_cheap))
        made++;
    return made;
}

/* Stops nothing unless all that the gang lacks can be had; false: it cannot. */
bool bd_preempt_gang(struct placement_cycle *r, struct bd_job *job, uint32_t lacking)
{
    uint32_t zones[BD_MAX_ZONES], can = 0;
    bd_zone_counts(r->core, job, zones);
    for (uint32_t i = 0; i < r->core->nmachines && can < lacking; i++)
        can += stop_cost(r, job, r->core->by_index[i], zones, false) < INFINITY;
    return can >= lacking && bd_preempt(r, job, lacking, false) > 0;
}