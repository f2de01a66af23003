/* Reconciliation of one heartbeat with the leader's records: confirms tasks that run, completes or
 * releases tasks that have exited, releases tasks that the heartbeat does not contain, and halts
 * tasks that must not run. */
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

/* Whether the task is on the machine under that attempt, according to the leader's records. */
static bool is_current_attempt(const struct bd_machine *machine, const struct bd_task *task,
                               uint64_t attempt)
{
    return task->machine == machine->index && task->attempt == attempt &&
           task->state != BD_TASK_PLANNED && task->state != BD_TASK_PENDING;
}

/* The job of a reported task; NULL if the job is not known, its tasks are not tracked, or the task
 * is not one of them. */
static struct bd_job *find_tracked_job(struct bd_core *core,
                                       const struct bd_reported_task *reported)
{
    struct bd_job *job = bd_job_find(core, reported->job);
    return job && job->tasks && reported->task < job->ntasks ? job : NULL;
}

/* Appends a command that lets the worker forget the attempt, if that is safe; else counts a
 * withheld result. A direct launch that was answered may arrive once more, as a late duplicate.
 * The worker ignores the duplicate while it remembers the attempt, or once it has seen a higher
 * fencing token. So an attempt that a direct launch may have contained must not be forgotten before
 * the worker has seen a higher token than that launch had. */
static void forget_attempt_if_safe(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                                   const struct bd_reported_task *reported,
                                   struct bd_command_list *commands)
{
    if (reported->attempt <= core->lead.last_fenced_attempt &&
        heartbeat->fencing_token >= core->lead.term)
        bd_commands_append(commands, BD_COMMAND_FORGET, reported->job, reported->task,
                           reported->attempt, 0);
    else if (core->lead.nresults_withheld++ == 0)
        core->lead.results_withheld_since = core->now;
}

static void halt_attempt(const struct bd_reported_task *reported, struct bd_command_list *commands)
{
    bd_commands_append(commands, BD_COMMAND_HALT, reported->job, reported->task, reported->attempt,
                       0);
}

/* Records the run time of a completed task, if its start is known. */
static void record_run(const struct bd_core *core, struct bd_job *job, const struct bd_task *task)
{
    if (!task->started_at)
        return;
    uint32_t run_tenths = bd_monotonic_tenths(core->now) - task->started_at;
    job->longest_run_tenths =
        run_tenths > job->longest_run_tenths ? run_tenths : job->longest_run_tenths;
    job->finished_runs++;
}

static void reconcile_completed_task(struct bd_core *core, struct bd_machine *machine,
                                     struct bd_job *job, const struct bd_heartbeat *heartbeat,
                                     const struct bd_reported_task *reported,
                                     struct bd_command_list *commands)
{
    /* earlier attempts are reported until they are forgotten, and show nothing about the machine's
     * present health */
    if (is_current_attempt(machine, bd_job_task(job, reported->task), reported->attempt)) {
        struct bd_task *task = bd_job_task_record(job, reported->task);
        machine->consecutive_failures = 0;
        if (task->flags & BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT) {
            task->flags |= BD_TASK_FLAG_EXITED;
            return;
        }
        record_run(core, job, task);
    }
    bd_task_complete(core, job, reported->task);
    if (bd_job_task(job, reported->task)->flags & BD_TASK_FLAG_RECEIPT_COMMITTED)
        forget_attempt_if_safe(core, heartbeat, reported, commands);
}

static void reconcile_exited_task(struct bd_core *core, struct bd_machine *machine,
                                  struct bd_job *job, const struct bd_heartbeat *heartbeat,
                                  const struct bd_reported_task *reported,
                                  struct bd_command_list *commands)
{
    if (reported->exit_reason == BD_EXIT_DONE && job->state == BD_JOB_ACTIVE) {
        reconcile_completed_task(core, machine, job, heartbeat, reported, commands);
        return;
    }
    if (is_current_attempt(machine, bd_job_task(job, reported->task), reported->attempt)) {
        struct bd_task *task = bd_job_task_record(job, reported->task);
        /* if the attempt were forgotten, a late duplicate of the launch would start it again */
        if (task->flags & BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT) {
            task->flags |= BD_TASK_FLAG_EXITED;
            return;
        }
        bd_machine_record_exit(core, machine, job, reported->exit_reason);
        bd_task_release(core, job, reported->task, BD_RELEASE_EXITED);
    }
    forget_attempt_if_safe(core, heartbeat, reported, commands);
}

/* Assigns the task to the machine, which runs an attempt of it that no intent contains. With the
 * reservation the task cannot be started a second time. */
static void adopt_attempt(struct bd_core *core, struct bd_machine *machine, struct bd_job *job,
                          const struct bd_reported_task *reported)
{
    bd_task_assign(core, job, reported->task, machine, reported->attempt, BD_TASK_CONFIRMED);
    bd_decision_log_task(core, "task_reconciled", job, reported->task, reported->attempt, machine,
                         "why=reported_without_intent");
    if (job->state != BD_JOB_ACTIVE)
        bd_job_task_record(job, reported->task)->flags |=
            BD_TASK_FLAG_STOP_REQUESTED | BD_TASK_FLAG_FORCED_STOP;
}

static void record_start(struct bd_core *core, struct bd_machine *machine, struct bd_job *job,
                         struct bd_task *task)
{
    /* a task that is reconciled after a failover started earlier, at an unknown time */
    bool is_start_known = task->state == BD_TASK_LAUNCHING || task->state == BD_TASK_CONFIRMED;
    job->last_started_at = core->now;
    bd_machine_record_image_use(core, machine, &job->spec, true);
    task->started_at = is_start_known ? bd_monotonic_tenths(core->now) : 0;
}

static void confirm_task(struct bd_core *core, struct bd_job *job,
                         const struct bd_reported_task *reported)
{
    struct bd_task *task = bd_job_task_record(job, reported->task);
    uint8_t flags = task->flags;
    /* set to pending in between, so that the sums are updated for the new execution state */
    bd_task_set_state(core, job, reported->task, BD_TASK_PENDING);
    task->execution = (uint8_t)reported->execution;
    bd_task_set_state(core, job, reported->task, BD_TASK_CONFIRMED);
    task->flags = flags | BD_TASK_FLAG_LAUNCH_SENT;
    bd_ledger_update_task(core, job, reported->task);
}

static void reconcile_running_task(struct bd_core *core, struct bd_machine *machine,
                                   struct bd_job *job, const struct bd_reported_task *reported,
                                   struct bd_command_list *commands)
{
    const struct bd_task *state = bd_job_task(job, reported->task);
    if (!is_current_attempt(machine, state, reported->attempt)) {
        if (state->state != BD_TASK_PENDING) { /* the task runs elsewhere, or is done */
            halt_attempt(reported, commands);
            return;
        }
        adopt_attempt(core, machine, job, reported);
    }
    struct bd_task *task = bd_job_task_record(job, reported->task);
    if (task->state == BD_TASK_UNKNOWN)
        bd_decision_log_task(core, "task_reconciled", job, reported->task, reported->attempt,
                             machine, "why=intent_and_heartbeat");
    if (reported->execution == BD_EXECUTION_RUNNING &&
        (task->execution != BD_EXECUTION_RUNNING || task->state != BD_TASK_CONFIRMED))
        record_start(core, machine, job, task);
    confirm_task(core, job, reported);
}

static void mark_reported_tasks(struct bd_core *core, const struct bd_machine *machine,
                                const struct bd_heartbeat *heartbeat)
{
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const struct bd_reported_task *reported = &heartbeat->tasks[i];
        struct bd_job *job = find_tracked_job(core, reported);
        if (job && is_current_attempt(machine, bd_job_task(job, reported->task), reported->attempt))
            bd_job_task_record(job, reported->task)->flags |= BD_TASK_FLAG_IN_HEARTBEAT;
    }
}

/* Whether a task that the heartbeat does not contain may still start, or may be launched again. */
static bool may_still_start(const struct bd_task *task)
{
    if (task->state == BD_TASK_PLANNED ||
        task->flags & (BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT | BD_TASK_FLAG_LAUNCH_IN_REPLY))
        return true;
    return task->state == BD_TASK_LAUNCHING && !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

/* Releases the machine's reservations whose tasks the heartbeat does not contain. */
static void release_unreported_tasks(struct bd_core *core, struct bd_machine *machine)
{
    uint32_t i = 0;
    while (i < machine->nreservations) {
        struct bd_job *job = machine->reservations[i].job;
        uint32_t index = machine->reservations[i].task->index;
        struct bd_task *task = machine->reservations[i].task;
        bool is_reported = task->flags & BD_TASK_FLAG_IN_HEARTBEAT;
        task->flags &= (uint8_t)~BD_TASK_FLAG_IN_HEARTBEAT;
        if (is_reported || may_still_start(task)) {
            i++;
            continue;
        }
        bd_task_release(core, job, index, BD_RELEASE_NOT_REPORTED);
        i = 0; /* further reservations may have been released too, such as those of a gang */
    }
}

/* Handles a task that is not tracked: its job has ended, or is not in the leader's records. */
static void reconcile_untracked_task(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                                     const struct bd_reported_task *reported,
                                     struct bd_command_list *commands)
{
    const struct bd_job *job = bd_job_find(core, reported->job);
    if (reported->execution != BD_EXECUTION_EXITED)
        halt_attempt(reported, commands);
    else if (job && job->state == BD_JOB_DONE)
        forget_attempt_if_safe(core, heartbeat, reported, commands);
}

void bd_heartbeat_reconcile_tasks(struct bd_core *core, struct bd_machine *machine,
                                  const struct bd_heartbeat *heartbeat,
                                  struct bd_command_list *commands)
{
    mark_reported_tasks(core, machine, heartbeat);
    release_unreported_tasks(core, machine);
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const struct bd_reported_task *reported = &heartbeat->tasks[i];
        struct bd_job *job = find_tracked_job(core, reported);
        if (!job)
            reconcile_untracked_task(core, heartbeat, reported, commands);
        else if (reported->execution == BD_EXECUTION_EXITED)
            reconcile_exited_task(core, machine, job, heartbeat, reported, commands);
        else
            reconcile_running_task(core, machine, job, reported, commands);
    }
}
