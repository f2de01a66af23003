/* Execution of a recorded step: stops the tasks of its machines, as far as the disruption budgets
 * allow. The transaction that writes the record is conditional on the term, so that a leader that
 * was suspended for longer than its lease stops nothing. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"

/* Result of stopping a machine's tasks. */
struct stop_result {
    uint32_t stopped;  /* tasks */
    const char *team;  /* the last team whose budget kept a task running; empty: none */
    bool awaits_count; /* a task may be stopped after the next count of the budgets */
};

/* Whether the task, and the tasks that stop with it, may be stopped. If not, notes the reason. */
static bool may_stop(struct bd_core *core, const struct bd_ledger_job *ledger_job, uint32_t tasks,
                     struct stop_result *result)
{
    for (uint32_t i = 0; tasks > 0 && i < ledger_job->nbudgets; i++) {
        uint32_t budget = ledger_job->budgets[i];
        enum bd_stop_verdict verdict = bd_stop_permit_check(core, budget, tasks);
        if (verdict == BD_STOP_EXCEEDS_BUDGET)
            result->team = bd_budget_team_name(core, &core->ledger->budgets[budget]);
        if (verdict == BD_STOP_AWAITS_COUNT)
            result->awaits_count = true;
        if (verdict != BD_STOP_ALLOWED)
            return false;
    }
    return true;
}

static void stop_task(struct bd_core *core, const struct bd_reservation *reservation,
                      struct stop_result *result)
{
    const struct bd_ledger_job *ledger_job = bd_ledger_get_job(core, reservation->job);
    uint32_t tasks = bd_drain_stop_group_size(core, reservation->job, reservation->task->index);
    if (!may_stop(core, ledger_job, tasks, result))
        return;
    /* no tasks: no budget counts the job, and there may be no entry for it */
    for (uint32_t i = 0; tasks > 0 && i < ledger_job->nbudgets; i++)
        bd_stop_permit_use(core, ledger_job->budgets[i], tasks);
    bd_task_stop(core, reservation->job, reservation->task->index, BD_STOP_DRAINED, false);
    result->stopped++;
}

/* Stops the tasks that the budgets allow. Later calls stop the rest, once the stopped tasks run on
 * other machines. */
static struct stop_result stop_tasks(struct bd_core *core, const struct bd_machine *machine)
{
    struct stop_result result = {.team = ""};
    for (uint32_t i = machine->nreservations; i > 0; i--) {
        if (i > machine->nreservations) /* stopping a gang released several reservations */
            continue;
        struct bd_reservation reservation = machine->reservations[i - 1];
        if (bd_drain_can_stop_task(reservation.job, reservation.task->index))
            stop_task(core, &reservation, &result);
    }
    return result;
}

/* The reason not to stop the machine's tasks yet, apart from budgets. */
static enum bd_drain_wait stop_wait_reason(const struct bd_core *core, const struct bd_drain *drain,
                                           const struct bd_machine *machine)
{
    if (!machine || machine->terminated || !machine->has_seen_term ||
        bd_machine_is_overdue(core, machine))
        return BD_DRAIN_WAIT_HEARTBEAT;
    if (drain->record.state == BD_DRAIN_PAUSED)
        return BD_DRAIN_WAIT_PAUSED;
    return BD_DRAIN_WAIT_NOTHING;
}

/* Stops the machine's tasks. The budgets, which count all tasks stopped so far, are checked again,
 * because a machine may have failed between the choice and the commit of the record. An entry whose
 * stop has begun stays in its stage. */
static void stop_machine(struct bd_core *core, struct bd_drain *drain,
                         struct bd_drain_machine *entry)
{
    bool has_begun = !bd_time_is_zero(entry->stop_requested_at);
    enum bd_drain_wait wait_reason = stop_wait_reason(core, drain, entry->machine);
    if (wait_reason != BD_DRAIN_WAIT_NOTHING) {
        if (!has_begun)
            bd_drain_set_entry_waiting(core, drain, entry, wait_reason, "");
        return;
    }
    struct stop_result result = stop_tasks(core, entry->machine);
    if (result.stopped == 0 && result.awaits_count)
        return;
    if (result.stopped == 0 && *result.team && !has_begun) {
        bd_drain_set_entry_waiting(core, drain, entry, BD_DRAIN_WAIT_BUDGET, result.team);
        return;
    }
    enum bd_drain_wait wait = *result.team ? BD_DRAIN_WAIT_BUDGET : BD_DRAIN_WAIT_NOTHING;
    bd_drain_set_entry_state(core, drain, entry,
                             (struct bd_entry_state){BD_STAGE_STOPPING, wait, result.team});
    if (result.stopped == 0 && has_begun)
        return;
    entry->stop_requested_at = core->now;
    core->drains->stop_requests++;
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: %s stops %u tasks", drain->record.name,
                 entry->id, result.stopped);
}

void bd_drain_execute_step(struct bd_core *core)
{
    if (!bd_leadership_lease_valid(core))
        return;
    if (!bd_stop_permit_is_valid(core))
        return;
    bd_ledger_update_unresponsive(core);
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        if (entry->stage == BD_STAGE_STOPPING && entry->recorded_stage == BD_STAGE_STOPPING &&
            !bd_drain_entry_is_mirror(core, entry))
            stop_machine(core, iterator.drain, entry);
}
