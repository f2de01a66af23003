/* How a task's state changes, with the sums over jobs, machines and teams that go with it. */
#include "model/task_state.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "wire/wire.h"
#include "workers/commands.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

uint32_t bd_tenths(struct timespec t)
{
    return (uint32_t)((uint64_t)t.tv_sec * 10 + (uint64_t)t.tv_nsec / 100000000u) | 1u;
}

static bool has_reservation(const struct bd_task *task)
{
    return task->machine != BD_NO_MACHINE;
}

static void team_use(struct bd_core *core, const struct bd_spec *spec, double sign)
{
    if (spec->team < 0)
        return;
    core->team_cpus[spec->team] += sign * spec->cpus;
    core->team_gpus[spec->team] += sign * spec->gpus;
}

static void machine_use(struct bd_machine *machine, const struct bd_spec *spec, double sign)
{
    machine->cpus += sign * spec->cpus;
    machine->gpus += sign * spec->gpus;
    machine->mem += sign * spec->mem;
    if (spec->kind != BD_JOB_SERVICE && spec->gpus <= 0)
        return; /* ends by itself before long */
    machine->pinned_cpus += sign * spec->cpus;
    machine->pinned_gpus += sign * spec->gpus;
    machine->pinned_mem += sign * spec->mem;
}

bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job)
{
    (void)core;
    if (job->tasks)
        return true;
    job->tasks = calloc(job->ntasks, sizeof *job->tasks);
    if (!job->tasks)
        return false;
    for (uint32_t i = 0; i < job->ntasks; i++)
        job->tasks[i].machine = BD_NO_MACHINE;
    job->npending = job->ntasks;
    job->ndone = job->nplaced = job->nrunning = 0;
    job->receipt_chunks = 0;
    job->dirty = false;
    return true;
}

void bd_job_stop_tracking(struct bd_job *job)
{
    if (job->tasks) {
        job->shown_done = job->ndone;
        job->shown_running = job->nrunning;
    }
    free(job->tasks);
    job->tasks = NULL;
    job->npending = job->ndone = job->nplaced = job->nrunning = 0;
    job->dirty = false;
    job->dirty_chunks = 0;
}

static void count(struct bd_job *job, const struct bd_task *task, int d)
{
    switch (task->state) {
    case BD_TASK_PENDING:
        job->npending += (uint32_t)d;
        break;
    case BD_TASK_DONE:
        job->ndone += (uint32_t)d;
        break;
    default:
        job->nplaced += (uint32_t)d;
    }
    if (task->state == BD_TASK_CONFIRMED &&
        (task->execution == BD_EXECUTION_RUNNING || task->execution == BD_EXECUTION_CHECKPOINTING))
        job->nrunning += (uint32_t)d;
}

void bd_task_set(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_task_state st)
{
    (void)core;
    count(job, &job->tasks[i], -1);
    job->tasks[i].state = (uint8_t)st;
    count(job, &job->tasks[i], 1);
}

static void add_reservation(struct bd_machine *machine, struct bd_job *job, uint32_t i)
{
    if (machine->nreservations == machine->cap) {
        uint32_t cap = machine->cap ? machine->cap * 2 : 8;
        struct bd_reservation *r = realloc(machine->reservations, cap * sizeof *r);
        if (!r)
            abort();
        machine->reservations = r;
        machine->cap = cap;
    }
    machine->reservations[machine->nreservations++] = (struct bd_reservation){job, i};
}

static void remove_reservation(struct bd_machine *machine, const struct bd_job *job, uint32_t i)
{
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        if (machine->reservations[k].job == job && machine->reservations[k].task == i) {
            machine->reservations[k] = machine->reservations[--machine->nreservations];
            return;
        }
    }
}

void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t i,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state st)
{
    struct bd_task *task = &job->tasks[i];
    if (has_reservation(task))
        bd_task_release(core, job, i, BD_RELEASE_MOVED);
    task->machine = machine->index;
    task->attempt = attempt;
    task->flags = 0;
    task->started_at = 0;
    task->execution = BD_EXECUTION_FETCHING;
    bd_task_set(core, job, i, st);
    job->last_placed_at = core->now;
    add_reservation(machine, job, i);
    machine_use(machine, &job->spec, 1);
    if (st != BD_TASK_PLANNED) /* a plan that comes to nothing fetches nothing */
        bd_remember_image(core, machine, &job->spec, true);
    team_use(core, &job->spec, 1);
}

static void release_reservation(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    struct bd_task *task = &job->tasks[i];
    struct bd_machine *machine = bd_machine_of(core, task->machine);
    if (!has_reservation(task))
        return;
    task->machine = BD_NO_MACHINE;
    team_use(core, &job->spec, -1);
    if (!machine)
        return;
    remove_reservation(machine, job, i);
    machine_use(machine, &job->spec, -1);
    if (machine->nreservations == 0) {
        machine->cpus = machine->gpus = machine->mem = 0;
        machine->pinned_cpus = machine->pinned_gpus = machine->pinned_mem = 0;
        machine->idle_since = core->now;
    }
}

static bool stoppable(const struct bd_task *task)
{
    return (task->state == BD_TASK_LAUNCHING || task->state == BD_TASK_CONFIRMED ||
            task->state == BD_TASK_UNKNOWN) &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

/* A gang that lost a member cannot go on: the rest is stopped, and the whole is placed again. */
static void gang_member_gone(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->ntasks; i++) {
        if (!stoppable(&job->tasks[i]))
            continue;
        bd_task_stop(core, job, i, BD_STOP_GANG, false); /* and with it all others */
        return;
    }
}

void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t i,
                     enum bd_release_reason why)
{
    struct bd_task *task = &job->tasks[i];
    bool was_sent = task->state != BD_TASK_PLANNED && task->state != BD_TASK_PENDING;
    if (was_sent)
        bd_decision_log_release(core, job, i, why);
    job->restarts += was_sent;
    release_reservation(core, job, i);
    if (task->state == BD_TASK_DONE)
        return;
    task->flags = 0;
    task->execution = BD_EXECUTION_FETCHING;
    bd_task_set(core, job, i, BD_TASK_PENDING);
    bd_ledger_task(core, job, i);
    core->lead.cycle_wanted = true;
    if (job->spec.kind == BD_JOB_GANG && job->ntasks > 1 && was_sent && job->nplaced > 0)
        gang_member_gone(core, job);
}

static void one_done(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    if (job->tasks[i].state == BD_TASK_DONE)
        return;
    bd_decision_log_release(core, job, i, BD_RELEASE_DONE);
    release_reservation(core, job, i);
    job->tasks[i].flags = 0;
    bd_task_set(core, job, i, BD_TASK_DONE);
    bd_ledger_task(core, job, i);
    job->dirty = true;
    job->dirty_chunks |= 1u << (i / BD_RECEIPT_CHUNK_TASKS);
    core->lead.cycle_wanted = true;
}

void bd_task_done(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    if (job->spec.kind != BD_JOB_GANG) {
        one_done(core, job, i);
        return;
    }
    /* the tasks of a gang complete together */
    for (uint32_t k = 0; k < job->ntasks; k++)
        one_done(core, job, k);
}

static void stop_one(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                     bool force)
{
    struct bd_task *task = &job->tasks[i];
    struct bd_machine *machine = bd_machine_of(core, task->machine);
    if (!(task->flags & BD_TASK_FLAG_STOP_REQUESTED) ||
        (force && !(task->flags & BD_TASK_FLAG_FORCED_STOP)))
        bd_decision_log_stop(core, job, i, why, force);
    if (force)
        task->flags |= BD_TASK_FLAG_FORCED_STOP;
    task->flags |= BD_TASK_FLAG_STOP_REQUESTED;
    bd_ledger_task(core, job, i);
    if (task->state == BD_TASK_LAUNCHING && !(task->flags & BD_TASK_FLAG_LAUNCH_SENT))
        bd_task_release(core, job, i,
                        BD_RELEASE_LAUNCH_NOT_SENT); /* nothing was ever sent: nothing can start */
    else if (machine)
        bd_commands_send_direct(core, machine);
}

/* A gang saves only if all its members are told within a short time: they are stopped together. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                  bool force)
{
    stop_one(core, job, i, why, force);
    if (job->spec.kind != BD_JOB_GANG)
        return;
    for (uint32_t k = 0; k < job->ntasks; k++)
        if (stoppable(&job->tasks[k]))
            stop_one(core, job, k, why, force);
}

/* Everything the machine's last session had is gone. */
void bd_machine_lease_expired(struct bd_core *core, struct bd_machine *machine,
                              enum bd_release_reason why)
{
    uint32_t k = 0;
    while (k < machine->nreservations) {
        struct bd_reservation r = machine->reservations[k];
        struct bd_task *task = &r.job->tasks[r.task];
        /* a plan was not sent: it stays with its transaction */
        if (task->state == BD_TASK_PLANNED) {
            k++;
            continue;
        }
        bd_task_release(core, r.job, r.task, why);
        k = 0; /* freeing one may move the others */
    }
    machine->late_launch_token = 0;
}

void bd_machine_gone(struct bd_core *core, struct bd_machine *machine)
{
    bd_machine_lease_expired(core, machine, BD_RELEASE_MACHINE_GONE);
    machine->gone = true;
    machine->addr[0] = '\0';
}
