/* Commands that a machine is owed, in answers and directly. Part of the pure core. */
#include "workers/commands.h"
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/machine.h"
#include "model/task.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONE_DIRECT_FAILURES 4u /* direct commands without an answer, in a row, of one zone */
#define ZONE_PROBE_S 4.0

void bd_commands_append(struct bd_command_list *commands, enum bd_command_verb verb,
                        const char *job, uint32_t task, uint64_t attempt, double grace)
{
    if (commands->count == commands->capacity) {
        size_t cap = commands->capacity ? commands->capacity * 2 : 8;
        struct bd_command *o = realloc(commands->items, cap * sizeof *o);
        if (!o)
            abort();
        commands->items = o;
        commands->capacity = cap;
    }
    struct bd_command *o = &commands->items[commands->count++];
    o->verb = verb;
    snprintf(o->job, sizeof o->job, "%s", job);
    o->task = task;
    o->attempt = attempt;
    o->grace = grace;
}

static double halt_grace_s(const struct bd_job *job, const struct bd_task *task)
{
    if (task->flags & BD_TASK_FLAG_FORCED_STOP || job->spec.checkpoint_interval_s <= 0)
        return 0;
    return job->spec.checkpoint_save_s + 1.0;
}

static void add_halts(struct bd_machine *machine, struct bd_command_list *commands)
{
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        uint32_t i = machine->reservations[k].task;
        const struct bd_task *task = &job->tasks[i];
        bool force = task->flags & BD_TASK_FLAG_FORCED_STOP;
        if (task->flags & BD_TASK_FLAG_STOP_REQUESTED && !(task->flags & BD_TASK_FLAG_EXITED) &&
            task->state == BD_TASK_CONFIRMED &&
            (task->execution != BD_EXECUTION_CHECKPOINTING || force))
            bd_commands_append(commands, BD_COMMAND_HALT, job->id, i, task->attempt,
                               halt_grace_s(job, task));
    }
}

/* An attempt that an earlier token's direct launch may have carried is launched in answers only:
 * see forget. */
static bool add_launches(struct bd_core *core, struct bd_machine *machine,
                         struct bd_command_list *commands, bool direct)
{
    bool launch = false;
    for (uint32_t k = 0; k < machine->nreservations && bd_may_launch(core); k++) {
        struct bd_job *job = machine->reservations[k].job;
        uint32_t i = machine->reservations[k].task;
        struct bd_task *task = &job->tasks[i];
        if (task->state != BD_TASK_LAUNCHING ||
            task->flags & (BD_TASK_FLAG_EXITED | BD_TASK_FLAG_STOP_REQUESTED) ||
            job->state != BD_JOB_ACTIVE || bd_job_cancellation_announced(core, job) ||
            (direct && task->attempt <= core->lead.fenced_attempt))
            continue;
        bd_commands_append(commands, BD_COMMAND_LAUNCH, job->id, i, task->attempt, 0);
        bd_decision_log_task(core, "launch_sent", job, i, task->attempt, machine,
                             direct ? "via=direct" : "via=reply");
        task->flags |= direct ? BD_TASK_FLAG_LAUNCH_SENT | BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT
                              : BD_TASK_FLAG_LAUNCH_SENT | BD_TASK_FLAG_LAUNCH_IN_REPLY;
        launch = true;
    }
    return launch;
}

/* Nothing while a direct command is under way: one message at a time says it. What must not wait
 * for that is added by bd_commands_reply. */
void bd_commands_pending(struct bd_core *core, struct bd_machine *machine,
                         struct bd_command_list *commands)
{
    if (machine->direct_in_flight)
        return;
    add_halts(machine, commands);
    (void)add_launches(core, machine, commands, false);
}

static bool has_halt(const struct bd_command_list *commands, const struct bd_reported_task *s)
{
    for (size_t i = 0; i < commands->count; i++)
        if (commands->items[i].verb == BD_COMMAND_HALT &&
            commands->items[i].attempt == s->attempt && commands->items[i].task == s->task &&
            strcmp(commands->items[i].job, s->job) == 0)
            return true;
    return false;
}

static void add_halt_of_cancelled(struct bd_core *core, const struct bd_job *job,
                                  const struct bd_reported_task *s,
                                  struct bd_command_list *commands)
{
    bd_commands_append(commands, BD_COMMAND_HALT, s->job, s->task, s->attempt, 0);
    bd_decision_log_task(core, "halt_sent", job, s->task, s->attempt, NULL,
                         "why=cancelled via=reply");
}

/* Halts of what users have cancelled: nobody's leave is needed for these, and the machine need not
 * have seen our term. A direct command that was to say it may wait in our own queue, while each
 * answer renews the lease. */
static void halt_cancelled(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                           struct bd_command_list *commands)
{
    for (size_t i = 0; i < heartbeat->n; i++) {
        const struct bd_reported_task *s = &heartbeat->tasks[i];
        const struct bd_job *job =
            s->execution == BD_EXECUTION_EXITED ? NULL : bd_job_find(core, s->job);
        if (job && job->state == BD_JOB_CANCELLED && !has_halt(commands, s))
            add_halt_of_cancelled(core, job, s, commands);
    }
}

void bd_commands_reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                       struct bd_command_list *commands, uint64_t fencing_token)
{
    halt_cancelled(core, heartbeat, commands);
    bd_effect_reply(core, request, 200,
                    bd_wire_commands(fencing_token, 0, commands->items, commands->count), 0);
}

/* Whether the zone's machines do not answer directly, as when it is cut off from us: each try would
 * hang a sender. One is let through now and then. */
static bool zone_closed(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->zone < 0 || core->cloud.direct[machine->zone].fails < ZONE_DIRECT_FAILURES)
        return false;
    if (bd_before(core->now, core->cloud.direct[machine->zone].until))
        return true;
    core->cloud.direct[machine->zone].until = bd_add(core->now, bd_secs(ZONE_PROBE_S));
    return false;
}

/* Sends what is owed directly, where the machine can be expected to answer. */
void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine)
{
    struct bd_command_list commands = {0};
    if (machine->direct_in_flight || bd_before(core->now, machine->direct_not_before) ||
        !machine->fenced || machine->gone || !*machine->addr || !bd_leadership_lease_valid(core) ||
        bd_overdue(core, machine) || zone_closed(core, machine))
        return;
    add_halts(machine, &commands);
    bool launch = add_launches(core, machine, &commands, true);
    if (commands.count == 0)
        return;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_DIRECT_COMMAND);
    effect->machine = machine->index;
    effect->fencing_token = core->lead.term;
    effect->launch = launch;
    effect->until = bd_command_deadline(core, launch);
    snprintf(effect->addr, sizeof effect->addr, "%s", machine->addr);
    effect->body =
        bd_wire_commands(core->lead.term, machine->incarnation, commands.items, commands.count);
    machine->direct_in_flight = true;
    machine->direct_sent_at = core->now;
    free(commands.items);
}