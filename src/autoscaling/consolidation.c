/* Consolidation: moves services off expensive machines, so that these become free for GPU work or
 * are scaled in. */
#include "autoscaling/autoscaling_internal.h"
#include "autoscaling/move_targets.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include <math.h>
#include <stdlib.h>

#define SETTLED_S 40.0      /* a job that started a task more recently is not moved */
#define FULL_SHARE 0.8      /* of a machine's cores: with more services it is full of them */
#define SOURCE_TASKS_MAX 64 /* a machine with more tasks is left as it is */
#define MOVE_S 2.0          /* that a move stops a replica for, beside the image's fetch */

/* the budget for moves, in replica-seconds */
#define BUDGET_RATE_MIN 2.0     /* that it grows by each second, at least */
#define BUDGET_RATE_SHARE 0.003 /* ... of the services' running tasks */
#define BUDGET_KEPT_S 40.0      /* growth of so long is kept when it is not spent */

/* A machine that could be emptied. */
struct source {
    struct bd_machine *machine;
    double service_cpus;
};

/* One tick's view of the machines that could be emptied, and of those with capacity. */
struct consolidation {
    struct bd_core *core;
    struct source *sources;
    uint32_t nsources;
    struct bd_move_targets targets;
};

/* What a tried move has to be undone with. */
struct tried_move {
    struct bd_move_target *target;
    const struct bd_spec *spec;
    int fetched_image_before;
};

double bd_blocking_service_cpus(const struct bd_core *core, const struct bd_machine *machine)
{
    double cpus = 0;
    if (machine->reserved_gpus > 0)
        return 0;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_spec *spec = &machine->reservations[i].job->spec;
        if (spec->kind == BD_JOB_SERVICE &&
            bd_type_is_expensive(core, spec, machine->type, machine->spot))
            cpus += spec->cpus;
    }
    return cpus;
}

static void add_services(struct bd_demand *demand, const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_job *job = machine->reservations[i].job;
        if (job->spec.kind == BD_JOB_SERVICE && job->state == BD_JOB_ACTIVE)
            bd_demand_add_tasks(demand, &job->spec, 1, BD_TIER_CHEAP);
    }
}

void bd_demand_add_consolidation(struct bd_demand *demand)
{
    const struct bd_core *core = demand->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (!machine->terminated && bd_machine_is_usable(core, machine) &&
            bd_blocking_service_cpus(core, machine) > 0)
            add_services(demand, machine);
    }
}

/* ---- view ---- */

static int sort_by_services(const void *x, const void *y)
{
    const struct source *a = x, *b = y;
    if (a->service_cpus != b->service_cpus)
        return a->service_cpus < b->service_cpus ? -1 : 1;
    return a->machine->index < b->machine->index ? -1 : 1;
}

static void add_to_view(struct consolidation *view, struct bd_machine *machine)
{
    double service_cpus = bd_blocking_service_cpus(view->core, machine);
    if (service_cpus > 0)
        view->sources[view->nsources++] = (struct source){machine, service_cpus};
    bd_move_targets_add(&view->targets, machine, service_cpus);
}

static void init_view(struct consolidation *view, struct bd_core *core)
{
    *view = (struct consolidation){.core = core};
    view->sources = calloc(core->nmachines + 1, sizeof *view->sources);
    if (!view->sources)
        abort();
    bd_move_targets_init(&view->targets, core);
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        machine->consolidating =
            machine->consolidating && machine->nreservations > 0 && !machine->terminated;
        if (!machine->terminated && bd_machine_is_usable(core, machine))
            add_to_view(view, machine);
    }
    qsort(view->sources, view->nsources, sizeof *view->sources, sort_by_services);
}

static void free_view(struct consolidation *view)
{
    free(view->sources);
    bd_move_targets_free(&view->targets);
}

/* ---- moves ---- */

static bool is_movable(const struct bd_core *core, const struct bd_reservation *reservation)
{
    const struct bd_job *job = reservation->job;
    const struct bd_task *task = &job->tasks[reservation->task];
    return job->spec.kind == BD_JOB_SERVICE && job->npending == 0 &&
           task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           bd_seconds_between(job->last_started_at, core->now) > SETTLED_S;
}

static bool is_stopping(const struct bd_reservation *reservation)
{
    return reservation->job->tasks[reservation->task].flags & BD_TASK_FLAG_STOP_REQUESTED;
}

/* In the reverse order, so that sums are again exactly what they were. */
static void undo_moves(const struct tried_move *moves, uint32_t n)
{
    while (n > 0) {
        n--;
        bd_move_target_undo(moves[n].target, moves[n].spec, moves[n].fetched_image_before);
    }
}

/* Whether all that the machine holds could move now: to empty it in part frees nothing. Moves with
 * a long fetch wait until the budget covers them all. */
static bool can_empty(const struct consolidation *view, const struct bd_machine *machine,
                      double above_cpus)
{
    struct tried_move moves[SOURCE_TASKS_MAX];
    uint32_t n = 0;
    bool can_move_all = machine->nreservations <= SOURCE_TASKS_MAX, has_long_fetch = false;
    double away_s = 0;
    for (uint32_t i = 0; can_move_all && i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        const struct bd_spec *spec = &reservation->job->spec;
        if (is_stopping(reservation))
            continue;
        struct bd_move_target *target =
            is_movable(view->core, reservation)
                ? bd_move_target_choose(&view->targets, spec, machine, above_cpus)
                : NULL;
        can_move_all = target != NULL;
        if (!target)
            break;
        moves[n++] = (struct tried_move){target, spec, target->fetched_image};
        double fetch = bd_move_target_add(view->core, target, spec);
        has_long_fetch = has_long_fetch || fetch >= BD_MOVE_FETCH_MAX_S;
        away_s += MOVE_S + fetch;
    }
    undo_moves(moves, n);
    return can_move_all && (!has_long_fetch || away_s <= view->core->cloud.move_budget_s);
}

/* Moves all services off the machine at once, as a job is not moved again for a while. Returns for
 * how many seconds replicas are away, in sum. */
static double empty_machine(const struct consolidation *view, struct bd_machine *machine,
                            double above_cpus)
{
    struct bd_core *core = view->core;
    double away_s = 0;
    for (uint32_t i = machine->nreservations; i > 0; i--) {
        if (i > machine->nreservations) /* a stop may release several */
            continue;
        struct bd_reservation reservation = machine->reservations[i - 1];
        const struct bd_spec *spec = &reservation.job->spec;
        if (!is_movable(core, &reservation))
            continue;
        struct bd_move_target *target =
            bd_move_target_choose(&view->targets, spec, machine, above_cpus);
        if (!target)
            continue;
        away_s += MOVE_S + bd_move_target_add(core, target, spec);
        target->is_taken = true;
        machine->consolidating = true;
        bd_log_write(core->log, BD_LOG_INFO, "%s/%u is consolidated off %s", reservation.job->id,
                     reservation.task, machine->id);
        bd_task_stop(core, reservation.job, reservation.task, BD_STOP_CONSOLIDATED, false);
    }
    return away_s;
}

/* ---- budget ---- */

static double running_replicas(const struct bd_core *core)
{
    double n = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        if (job->state == BD_JOB_ACTIVE && job->has_spec && job->spec.kind == BD_JOB_SERVICE)
            n += job->nrunning;
    return n;
}

static void grow_budget(struct bd_core *core)
{
    struct bd_cloud_view *cloud = &core->cloud;
    double passed_s = fmin(bd_seconds_between(cloud->move_budget_at, core->now), BUDGET_KEPT_S);
    double rate = fmax(BUDGET_RATE_MIN, BUDGET_RATE_SHARE * running_replicas(core));
    cloud->move_budget_s = fmin(cloud->move_budget_s + rate * passed_s, rate * BUDGET_KEPT_S);
    cloud->move_budget_at = core->now;
}

/* A machine full of services is worth emptying into cheap capacity only. */
static double target_services_above(const struct bd_core *core, const struct source *source)
{
    double full_cpus = FULL_SHARE * core->types[source->machine->type].cpus;
    return source->service_cpus > full_cpus ? INFINITY : source->service_cpus;
}

/* Empties machines, those with the fewest services first; one that cannot be emptied now does not
 * delay the others. */
void bd_consolidate(struct bd_core *core)
{
    struct consolidation view;
    init_view(&view, core);
    grow_budget(core);
    for (uint32_t i = 0; i < view.nsources && core->cloud.move_budget_s > 0; i++) {
        struct bd_machine *machine = view.sources[i].machine;
        double above_cpus = target_services_above(core, &view.sources[i]);
        /* open to new work, unless it is emptied after all */
        machine->consolidating = false;
        if (!bd_move_target_is_taken(&view.targets, machine) &&
            can_empty(&view, machine, above_cpus) && bd_drain_budgets_allow(core, machine))
            core->cloud.move_budget_s -= empty_machine(&view, machine, above_cpus);
    }
    free_view(&view);
}
