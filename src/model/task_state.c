#include "model/task_state.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/reservation.h"
#include "model/task.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include "workers/commands.h"
#include <stdlib.h>

#define NS_PER_TENTH 100000000u

uint32_t bd_monotonic_tenths(struct timespec instant)
{
    uint64_t tenths = (uint64_t)instant.tv_sec * 10 + (uint64_t)instant.tv_nsec / NS_PER_TENTH;
    return (uint32_t)tenths | 1u; /* keeps 0 free, at the cost of an error of one tenth */
}

/* ---- tracking ---- */

bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job)
{
    (void)core;
    if (job->tasks)
        return true;
    job->tasks = bd_task_table_new(job->ntasks);
    if (!job->tasks)
        return false;
    job->npending = job->ntasks;
    job->ndone = job->nplaced = job->nrunning = 0;
    job->receipt_chunks = 0;
    job->dirty = false;
    return true;
}

void bd_job_stop_tracking(struct bd_job *job)
{
    if (job->tasks) {
        job->reported_done = job->ndone;
        job->reported_running = job->nrunning;
    }
    bd_task_table_free(job->tasks);
    job->tasks = NULL;
    job->npending = job->ndone = job->nplaced = job->nrunning = 0;
    job->dirty = false;
    job->dirty_chunks = 0;
}

/* ---- state and counts ---- */

static bool is_running(const struct bd_task *task)
{
    return task->state == BD_TASK_CONFIRMED && (task->execution == BD_EXECUTION_RUNNING ||
                                                task->execution == BD_EXECUTION_CHECKPOINTING);
}

/* The job's count for the state of a task with a record. */
static uint32_t *count_for_state(struct bd_job *job, uint8_t state)
{
    return state == BD_TASK_PENDING ? &job->npending : &job->nplaced;
}

static void set_state(struct bd_job *job, struct bd_task *task, enum bd_task_state state)
{
    --*count_for_state(job, task->state);
    job->nrunning -= is_running(task);
    task->state = (uint8_t)state;
    ++*count_for_state(job, task->state);
    job->nrunning += is_running(task);
}

void bd_task_set_state(struct bd_core *core, struct bd_job *job, uint32_t index,
                       enum bd_task_state state)
{
    (void)core;
    set_state(job, bd_job_task_record(job, index), state);
}

/* ---- assignment and release ---- */

/* Resets the state of the attempt, with which a running task ceases to run. */
static void clear_attempt(struct bd_job *job, struct bd_task *task)
{
    job->nrunning -= is_running(task);
    task->flags = 0;
    task->execution = BD_EXECUTION_FETCHING_IMAGE;
}

void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t index,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state state)
{
    struct bd_task *task = bd_job_task_record(job, index);
    if (task && bd_task_has_reservation(task)) {
        bd_task_release(core, job, index, BD_RELEASE_MOVED);
        task = NULL;
    }
    if (!task)
        task = bd_task_table_add(job->tasks, index);
    if (!task)
        abort(); /* without its record, a running task would be started a second time */
    task->attempt = attempt;
    task->started_at = 0;
    clear_attempt(job, task);
    set_state(job, task, state);
    job->last_placed_at = core->now;
    bd_reservation_add(core, job, task, machine);
    if (state != BD_TASK_PLANNED) /* an uncommitted plan causes no image download */
        bd_machine_record_image_use(core, machine, &job->spec, true);
}

static bool may_be_stopped(const struct bd_task *task)
{
    return (task->state == BD_TASK_LAUNCHING || task->state == BD_TASK_CONFIRMED ||
            task->state == BD_TASK_UNKNOWN) &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

/* A gang that lost a member cannot continue: the other members are stopped, and the whole gang is
 * placed again. */
static void stop_rest_of_gang(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->ntasks; i++) {
        if (!may_be_stopped(bd_job_task(job, i)))
            continue;
        bd_task_stop(core, job, i, BD_STOP_GANG, false); /* stops the others too */
        return;
    }
}

/* Ends the task's attempt, if it has one, with its reservation. The task is pending then. */
static void end_attempt(struct bd_core *core, struct bd_job *job, uint32_t index)
{
    struct bd_task *task = bd_job_task_record(job, index);
    if (!task)
        return;
    bd_reservation_remove(core, job, task);
    set_state(job, task, BD_TASK_PENDING);
    bd_task_table_remove(job->tasks, index);
}

void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t index,
                     enum bd_release_reason reason)
{
    enum bd_task_state state = (enum bd_task_state)bd_job_task(job, index)->state;
    bool was_sent = state != BD_TASK_PLANNED && state != BD_TASK_PENDING;
    if (was_sent) {
        bd_decision_log_release(core, job, index, reason);
        job->reservations_lost++;
    }
    if (state == BD_TASK_DONE)
        return;
    end_attempt(core, job, index);
    bd_ledger_update_task(core, job, index);
    core->lead.cycle_wanted = true;
    bool is_gang = job->spec.kind == BD_JOB_GANG && job->ntasks > 1;
    if (is_gang && was_sent && job->nplaced > 0)
        stop_rest_of_gang(core, job);
}

/* ---- completion ---- */

/* Counts and marks a pending task as done. */
static void set_done(struct bd_job *job, uint32_t index)
{
    bd_task_table_set_done(job->tasks, index);
    job->npending--;
    job->ndone++;
}

void bd_task_load_done(struct bd_job *job, uint32_t index)
{
    if (bd_job_task(job, index)->state == BD_TASK_DONE)
        return;
    if (!bd_task_table_reserve_done(job->tasks))
        abort(); /* a task with a receipt would be started again */
    set_done(job, index);
}

static void complete_task(struct bd_core *core, struct bd_job *job, uint32_t index)
{
    if (bd_job_task(job, index)->state == BD_TASK_DONE)
        return;
    if (!bd_task_table_reserve_done(job->tasks)) { /* the worker reports the result again */
        bd_log_write(core->log, BD_LOG_ERROR, "%s: out of memory for a result", job->id);
        return;
    }
    bd_decision_log_release(core, job, index, BD_RELEASE_DONE);
    end_attempt(core, job, index);
    set_done(job, index);
    bd_ledger_update_task(core, job, index);
    job->dirty = true;
    job->dirty_chunks |= 1u << (index / BD_RECEIPT_CHUNK_TASKS);
    core->lead.cycle_wanted = true;
}

void bd_task_complete(struct bd_core *core, struct bd_job *job, uint32_t index)
{
    if (job->spec.kind != BD_JOB_GANG) {
        complete_task(core, job, index);
        return;
    }
    /* the tasks of a gang complete together */
    for (uint32_t i = 0; i < job->ntasks; i++)
        complete_task(core, job, i);
}

/* ---- stop ---- */

static void log_stop(struct bd_core *core, const struct bd_job *job, uint32_t index,
                     enum bd_stop_reason reason, bool force)
{
    uint8_t flags = bd_job_task(job, index)->flags;
    bool is_new = !(flags & BD_TASK_FLAG_STOP_REQUESTED);
    bool is_newly_forced = force && !(flags & BD_TASK_FLAG_FORCED_STOP);
    if (is_new || is_newly_forced)
        bd_decision_log_stop(core, job, index, reason, force);
}

static void stop_task(struct bd_core *core, struct bd_job *job, uint32_t index,
                      enum bd_stop_reason reason, bool force)
{
    struct bd_task *task = bd_job_task_record(job, index);
    struct bd_machine *machine = bd_machine_by_index(core, task->machine);
    log_stop(core, job, index, reason, force);
    if (force)
        task->flags |= BD_TASK_FLAG_FORCED_STOP;
    task->flags |= BD_TASK_FLAG_STOP_REQUESTED;
    bd_ledger_update_task(core, job, index);
    bool cannot_start =
        task->state == BD_TASK_LAUNCHING && !(task->flags & BD_TASK_FLAG_LAUNCH_SENT);
    if (cannot_start)
        bd_task_release(core, job, index, BD_RELEASE_LAUNCH_NOT_SENT);
    else if (machine)
        bd_commands_send_direct(core, machine);
}

/* A gang can save a checkpoint only if all its members are stopped within a short time. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t index,
                  enum bd_stop_reason reason, bool force)
{
    stop_task(core, job, index, reason, force);
    if (job->spec.kind != BD_JOB_GANG)
        return;
    for (uint32_t i = 0; i < job->ntasks; i++)
        if (may_be_stopped(bd_job_task(job, i)))
            stop_task(core, job, i, reason, force);
}

/* ---- lost machines ---- */

void bd_machine_release_reservations(struct bd_core *core, struct bd_machine *machine,
                                     enum bd_release_reason reason)
{
    uint32_t i = 0;
    while (i < machine->nreservations) {
        struct bd_reservation reservation = machine->reservations[i];
        if (reservation.task->state == BD_TASK_PLANNED) {
            i++;
            continue;
        }
        bd_task_release(core, reservation.job, reservation.task->index, reason);
        i = 0; /* a release may reorder the list and remove other reservations */
    }
    machine->unanswered_launch_token = 0;
}

void bd_machine_mark_terminated(struct bd_core *core, struct bd_machine *machine)
{
    bd_machine_release_reservations(core, machine, BD_RELEASE_MACHINE_TERMINATED);
    machine->terminated = true;
    machine->addr[0] = '\0';
}
