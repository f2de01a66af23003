/* Which commands are pending for a machine, and the reply to a heartbeat that carries them. */
#include "workers/commands.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/machine.h"
#include "model/task.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMANDS_CAPACITY_MIN 8u
#define CHECKPOINT_EXTRA_S 1.0 /* in addition to the job's checkpoint save time */

static void reserve_one(struct bd_command_list *commands)
{
    if (commands->count < commands->capacity)
        return;
    size_t capacity = commands->capacity ? commands->capacity * 2 : COMMANDS_CAPACITY_MIN;
    struct bd_command *items = realloc(commands->items, capacity * sizeof *items);
    if (!items)
        abort();
    commands->items = items;
    commands->capacity = capacity;
}

void bd_commands_append(struct bd_command_list *commands, enum bd_command_verb verb,
                        const char *job, uint32_t task, uint64_t attempt, double grace_s)
{
    reserve_one(commands);
    struct bd_command *command = &commands->items[commands->count++];
    command->verb = verb;
    snprintf(command->job, sizeof command->job, "%s", job);
    command->task = task;
    command->attempt = attempt;
    command->grace_s = grace_s;
}

/* Seconds allowed for a checkpoint before the task is killed; 0: none. */
static double halt_grace_s(const struct bd_job *job, const struct bd_task *task)
{
    if (task->flags & BD_TASK_FLAG_FORCED_STOP || job->spec.checkpoint_interval_s <= 0)
        return 0;
    return job->spec.checkpoint_save_s + CHECKPOINT_EXTRA_S;
}

static bool needs_halt(const struct bd_task *task)
{
    return task->flags & BD_TASK_FLAG_STOP_REQUESTED && !(task->flags & BD_TASK_FLAG_EXITED) &&
           task->state == BD_TASK_CONFIRMED &&
           (task->execution != BD_EXECUTION_CHECKPOINTING ||
            task->flags & BD_TASK_FLAG_FORCED_STOP);
}

void bd_commands_add_halts(const struct bd_machine *machine, struct bd_command_list *commands)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_job *job = machine->reservations[i].job;
        uint32_t index = machine->reservations[i].task->index;
        const struct bd_task *task = machine->reservations[i].task;
        if (needs_halt(task))
            bd_commands_append(commands, BD_COMMAND_HALT, job->id, index, task->attempt,
                               halt_grace_s(job, task));
    }
}

/* If a direct launch with an earlier fencing token may have contained the attempt, the attempt is
 * launched in replies only: a late duplicate of that direct launch may still arrive. */
static bool needs_launch(struct bd_core *core, const struct bd_job *job, const struct bd_task *task,
                         enum bd_command_path path)
{
    return task->state == BD_TASK_LAUNCHING &&
           !(task->flags & (BD_TASK_FLAG_EXITED | BD_TASK_FLAG_STOP_REQUESTED)) &&
           job->state == BD_JOB_ACTIVE && !bd_job_cancellation_announced(core, job) &&
           (path == BD_COMMAND_IN_REPLY || task->attempt > core->lead.last_fenced_attempt);
}

bool bd_commands_add_launches(struct bd_core *core, struct bd_machine *machine,
                              struct bd_command_list *commands, enum bd_command_path path)
{
    bool is_direct = path == BD_COMMAND_DIRECT;
    uint8_t in_flight_flag =
        is_direct ? BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT : BD_TASK_FLAG_LAUNCH_IN_REPLY;
    bool has_launch = false;
    if (!bd_may_launch(core))
        return false;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        struct bd_job *job = machine->reservations[i].job;
        uint32_t index = machine->reservations[i].task->index;
        struct bd_task *task = machine->reservations[i].task;
        if (!needs_launch(core, job, task, path))
            continue;
        bd_commands_append(commands, BD_COMMAND_LAUNCH, job->id, index, task->attempt, 0);
        bd_decision_log_task(core, "launch_sent", job, index, task->attempt, machine,
                             is_direct ? "via=direct" : "via=reply");
        task->flags |= BD_TASK_FLAG_LAUNCH_SENT | in_flight_flag;
        has_launch = true;
    }
    return has_launch;
}

void bd_commands_add_pending(struct bd_core *core, struct bd_machine *machine,
                             struct bd_command_list *commands)
{
    if (machine->direct_in_flight) /* the direct command contains the pending commands */
        return;
    bd_commands_add_halts(machine, commands);
    (void)bd_commands_add_launches(core, machine, commands, BD_COMMAND_IN_REPLY);
}

static void clear_task_flags(struct bd_machine *machine, unsigned flags)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        machine->reservations[i].task->flags &= (uint8_t)~flags;
    }
}

void bd_machine_clear_launches_in_reply(struct bd_machine *machine)
{
    clear_task_flags(machine, BD_TASK_FLAG_LAUNCH_IN_REPLY);
}

void bd_machine_exclude_late_launches(struct bd_machine *machine)
{
    machine->unanswered_launch_token = 0;
    clear_task_flags(machine, BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT | BD_TASK_FLAG_EXITED);
}

static bool has_halt(const struct bd_command_list *commands,
                     const struct bd_reported_task *reported)
{
    for (size_t i = 0; i < commands->count; i++) {
        const struct bd_command *command = &commands->items[i];
        if (command->verb == BD_COMMAND_HALT && command->attempt == reported->attempt &&
            command->task == reported->task && strcmp(command->job, reported->job) == 0)
            return true;
    }
    return false;
}

/* Appends halts of tasks whose jobs users have cancelled. A halt may be sent without a
 * valid leader lease, and to a machine that has not seen a fencing token of this term. The halt
 * does not rely on a direct command: that command may still wait in this controller's queue, while
 * each reply renews the machine's lease. */
static void add_halts_of_cancelled(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                                   struct bd_command_list *commands)
{
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const struct bd_reported_task *reported = &heartbeat->tasks[i];
        if (reported->execution == BD_EXECUTION_EXITED)
            continue;
        const struct bd_job *job = bd_job_find(core, reported->job);
        if (!job || job->state != BD_JOB_CANCELLED || has_halt(commands, reported))
            continue;
        bd_commands_append(commands, BD_COMMAND_HALT, reported->job, reported->task,
                           reported->attempt, 0);
        bd_decision_log_task(core, "halt_sent", job, reported->task, reported->attempt, NULL,
                             "why=cancelled via=reply");
    }
}

void bd_commands_reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                       struct bd_command_list *commands, uint64_t fencing_token)
{
    add_halts_of_cancelled(core, heartbeat, commands);
    bd_effect_reply(core, request, 200,
                    bd_wire_write_commands(fencing_token, 0, commands->items, commands->count), 0);
}
