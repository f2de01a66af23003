/* Stage transitions of one machine: after its step has begun, or without a step if it has no tasks.
 * Part of the pure core. */
#include "base/timeutil.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"

/* Time allowed for the inventory call, in addition to twice the cloud's list delay. */
#define INVENTORY_CALL_S 1.0

static void set_stage(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *entry,
                      enum bd_drain_stage stage, enum bd_drain_wait wait)
{
    bd_drain_set_entry_state(core, drain, entry, (struct bd_entry_state){stage, wait, ""});
}

/* Whether an unknown machine no longer exists: by now the inventory has listed every machine that
 * existed when the term began. */
static bool inventory_is_complete(const struct bd_core *core)
{
    double delay_s = 2 * bd_to_secs(core->settings->inventory_lag) + INVENTORY_CALL_S;
    return core->lead.inventory_read &&
           bd_seconds_between(core->drains->leadership_acquired_at, core->now) > delay_s;
}

static void finish_missing_machine(struct bd_core *core, struct bd_drain *drain,
                                   struct bd_drain_machine *entry)
{
    bool was_empty = entry->stage == BD_STAGE_EMPTY || entry->stage == BD_STAGE_REPLACED;
    set_stage(core, drain, entry, was_empty ? BD_STAGE_RETURNED : BD_STAGE_FAILED,
              BD_DRAIN_WAIT_NOTHING);
}

/* Forces the stop of tasks that did not stop within stop_timeout_s. */
static void force_stop_overdue_tasks(struct bd_core *core, const struct bd_drain_machine *entry,
                                     const struct bd_machine *machine)
{
    if (bd_time_is_zero(entry->stop_requested_at) ||
        bd_seconds_between(entry->stop_requested_at, core->now) <
            core->drains->rules->stop_timeout_s)
        return;
    for (uint32_t i = machine->nreservations; i > 0; i--) {
        if (i > machine->nreservations) /* stopping a gang released several reservations */
            continue;
        struct bd_reservation reservation = machine->reservations[i - 1];
        uint8_t flags = reservation.task->flags;
        if (flags & BD_TASK_FLAG_STOP_REQUESTED && !(flags & BD_TASK_FLAG_FORCED_STOP))
            bd_task_stop(core, reservation.job, reservation.task->index, BD_STOP_DRAINED, true);
    }
}

static void advance_stopping(struct bd_core *core, struct bd_drain *drain,
                             struct bd_drain_machine *entry, const struct bd_machine *machine)
{
    if (machine->nreservations > 0) {
        force_stop_overdue_tasks(core, entry, machine);
        return;
    }
    bool needs_replacement = drain->record.mode == BD_DRAIN_REPLACE;
    set_stage(core, drain, entry, BD_STAGE_EMPTY,
              needs_replacement ? BD_DRAIN_WAIT_WORK : BD_DRAIN_WAIT_NOTHING);
}

static void advance_empty(struct bd_core *core, struct bd_drain *drain,
                          struct bd_drain_machine *entry, const struct bd_machine *machine)
{
    if (machine->nreservations > 0) { /* a heartbeat reported an unknown task */
        set_stage(core, drain, entry, BD_STAGE_WAITING, BD_DRAIN_WAIT_STEP);
        return;
    }
    if (drain->record.mode == BD_DRAIN_RETIRE)
        return;
    if (bd_replacement_has_work(core, entry))
        set_stage(core, drain, entry, BD_STAGE_REPLACED, BD_DRAIN_WAIT_NOTHING);
    else if (bd_replacement_is_up(core, entry))
        set_stage(core, drain, entry, BD_STAGE_EMPTY, BD_DRAIN_WAIT_WORK);
    else
        set_stage(core, drain, entry, BD_STAGE_EMPTY, BD_DRAIN_WAIT_REPLACEMENT);
}

/* Advances a machine without tasks, which needs no step. */
static void advance_idle(struct bd_core *core, struct bd_drain *drain,
                         struct bd_drain_machine *entry)
{
    if (drain->record.state == BD_DRAIN_PAUSED)
        return;
    if (drain->record.mode == BD_DRAIN_RETIRE)
        set_stage(core, drain, entry, BD_STAGE_EMPTY, BD_DRAIN_WAIT_NOTHING);
    else if (bd_replacement_is_up(core, entry))
        set_stage(core, drain, entry, BD_STAGE_EMPTY, BD_DRAIN_WAIT_WORK);
}

void bd_drain_advance_entry(struct bd_core *core, struct bd_drain *drain,
                            struct bd_drain_machine *entry)
{
    const struct bd_machine *machine = entry->machine;
    if (machine ? machine->terminated : inventory_is_complete(core)) {
        finish_missing_machine(core, drain, entry);
        return;
    }
    if (!machine || !machine->has_seen_term || bd_drain_entry_is_mirror(core, entry))
        return;
    if (entry->stage == BD_STAGE_STOPPING)
        advance_stopping(core, drain, entry, machine);
    else if (entry->stage == BD_STAGE_EMPTY)
        advance_empty(core, drain, entry, machine);
    else if (entry->stage != BD_STAGE_REPLACED && machine->nreservations == 0)
        advance_idle(core, drain, entry);
}
