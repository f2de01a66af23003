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

#define MOVE_COOLDOWN_S 40.0 /* a job is not moved for this long after it started a task */
#define FULL_SHARE 0.8 /* a machine is full if services use more than this share of its cores */
#define SOURCE_TASKS_MAX 64 /* a machine with more tasks is not emptied */
#define MOVE_DOWNTIME_S 2.0 /* a move stops a replica for this long, plus the image fetch */

/* The budget for moves, in replica-seconds. */
#define BUDGET_RATE_MIN 2.0           /* minimum growth per second */
#define BUDGET_RATE_PER_REPLICA 0.003 /* growth per second for each running task of a service */
#define BUDGET_CAP_S 40.0             /* the budget is capped at the growth of this time */

/* A machine that could be emptied. */
struct source {
    struct bd_machine *machine;
    double service_cpus;
};

/* One tick's view of the machines that could be emptied and of those with free capacity. */
struct consolidation {
    struct bd_core *core;
    struct source *sources;
    uint32_t nsources;
    struct bd_move_targets targets;
};

/* A tried move, with what is needed to undo it. */
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

static void add_service_demand(struct bd_demand *demand, const struct bd_machine *machine)
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
            add_service_demand(demand, machine);
    }
}

/* ---- view ---- */

static int compare_service_cpus(const void *x, const void *y)
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
    qsort(view->sources, view->nsources, sizeof *view->sources, compare_service_cpus);
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
    const struct bd_task *task = reservation->task;
    return job->spec.kind == BD_JOB_SERVICE && job->npending == 0 &&
           task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           bd_seconds_between(job->last_started_at, core->now) > MOVE_COOLDOWN_S;
}

static bool is_stopping(const struct bd_reservation *reservation)
{
    return reservation->task->flags & BD_TASK_FLAG_STOP_REQUESTED;
}

/* Undoes the moves in reverse order, so that sums return exactly to their former values. */
static void undo_moves(const struct tried_move *moves, uint32_t nmoves)
{
    while (nmoves > 0) {
        const struct tried_move *move = &moves[--nmoves];
        bd_move_target_undo(move->target, move->spec, move->fetched_image_before);
    }
}

/* Whether all tasks on the machine could move now: emptying it in part frees nothing. If some image
 * fetch is long, the moves wait until the budget covers them all. */
static bool can_empty(const struct consolidation *view, const struct bd_machine *machine,
                      double min_service_cpus)
{
    struct tried_move moves[SOURCE_TASKS_MAX];
    uint32_t nmoves = 0;
    bool can_move_all = machine->nreservations <= SOURCE_TASKS_MAX, has_long_fetch = false;
    double downtime_s = 0;
    for (uint32_t i = 0; can_move_all && i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        const struct bd_spec *spec = &reservation->job->spec;
        if (is_stopping(reservation))
            continue;
        struct bd_move_target *target =
            is_movable(view->core, reservation)
                ? bd_move_target_choose(&view->targets, spec, machine, min_service_cpus)
                : NULL;
        can_move_all = target != NULL;
        if (!target)
            break;
        moves[nmoves++] = (struct tried_move){target, spec, target->fetched_image};
        double fetch_s = bd_move_target_add(view->core, target, spec);
        has_long_fetch = has_long_fetch || fetch_s >= BD_MOVE_FETCH_MAX_S;
        downtime_s += MOVE_DOWNTIME_S + fetch_s;
    }
    undo_moves(moves, nmoves);
    return can_move_all && (!has_long_fetch || downtime_s <= view->core->cloud.move_budget_s);
}

/* Moves all services off the machine in one tick, because a job that was moved is not moved again
 * for MOVE_COOLDOWN_S. Returns the replicas' total downtime in seconds. */
static double empty_machine(const struct consolidation *view, struct bd_machine *machine,
                            double min_service_cpus)
{
    struct bd_core *core = view->core;
    double downtime_s = 0;
    for (uint32_t i = machine->nreservations; i > 0; i--) {
        if (i > machine->nreservations) /* stopping a task may release several reservations */
            continue;
        struct bd_reservation reservation = machine->reservations[i - 1];
        const struct bd_spec *spec = &reservation.job->spec;
        if (!is_movable(core, &reservation))
            continue;
        struct bd_move_target *target =
            bd_move_target_choose(&view->targets, spec, machine, min_service_cpus);
        if (!target)
            continue;
        downtime_s += MOVE_DOWNTIME_S + bd_move_target_add(core, target, spec);
        target->is_used = true;
        machine->consolidating = true;
        bd_log_write(core->log, BD_LOG_INFO, "moving task %s/%u off %s for consolidation",
                     reservation.job->id, reservation.task->index, machine->id);
        bd_task_stop(core, reservation.job, reservation.task->index, BD_STOP_CONSOLIDATED, false);
    }
    return downtime_s;
}

/* ---- budget ---- */

static double running_replicas(const struct bd_core *core)
{
    double replicas = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        if (job->state == BD_JOB_ACTIVE && job->has_spec && job->spec.kind == BD_JOB_SERVICE)
            replicas += job->nrunning;
    return replicas;
}

static void grow_budget(struct bd_core *core)
{
    struct bd_cloud_view *cloud = &core->cloud;
    double elapsed_s = fmin(bd_seconds_between(cloud->move_budget_at, core->now), BUDGET_CAP_S);
    double rate = fmax(BUDGET_RATE_MIN, BUDGET_RATE_PER_REPLICA * running_replicas(core));
    cloud->move_budget_s = fmin(cloud->move_budget_s + rate * elapsed_s, rate * BUDGET_CAP_S);
    cloud->move_budget_at = core->now;
}

/* The cores that services on an expensive target without GPU work must exceed. Infinite for a
 * source that is full of services: it is emptied only into cheap machines and machines with GPU
 * work. */
static double target_min_service_cpus(const struct bd_core *core, const struct source *source)
{
    double full_cpus = FULL_SHARE * core->types[source->machine->type].cpus;
    return source->service_cpus > full_cpus ? INFINITY : source->service_cpus;
}

/* Empties the machines whose services use the fewest cores first. A machine that cannot be emptied
 * now does not delay the others. */
void bd_consolidate(struct bd_core *core)
{
    struct consolidation view;
    init_view(&view, core);
    grow_budget(core);
    for (uint32_t i = 0; i < view.nsources && core->cloud.move_budget_s > 0; i++) {
        struct bd_machine *machine = view.sources[i].machine;
        double min_service_cpus = target_min_service_cpus(core, &view.sources[i]);
        /* open to new work again, unless it is emptied below */
        machine->consolidating = false;
        if (!bd_move_target_is_used(&view.targets, machine) &&
            can_empty(&view, machine, min_service_cpus) && bd_drain_budgets_allow(core, machine))
            core->cloud.move_budget_s -= empty_machine(&view, machine, min_service_cpus);
    }
    free_view(&view);
}
