/* Evacuation: stops tasks on machines that the cloud reclaims or that are quarantined. */
#include "autoscaling/autoscaling_internal.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "workers/workers.h"

/* On a machine that the cloud reclaims, a stop only helps tasks that can save a checkpoint. */
static bool should_evacuate(const struct bd_machine *machine,
                            const struct bd_reservation *reservation)
{
    const struct bd_task *task = reservation->task;
    return (task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING) &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           (reservation->job->spec.checkpoint_interval_s > 0 || machine->quarantined);
}

static void evacuate_machine(struct bd_core *core, const struct bd_machine *machine)
{
    for (uint32_t i = machine->nreservations; i > 0; i--) {
        if (i > machine->nreservations) /* stopping a task may release several reservations */
            continue;
        struct bd_reservation reservation = machine->reservations[i - 1];
        if (should_evacuate(machine, &reservation))
            bd_task_stop(core, reservation.job, reservation.task->index, BD_STOP_EVACUATED, false);
    }
}

void bd_evacuate_machines(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        bd_machine_detect_slow(core, machine);
        if (!machine->terminated && (machine->termination_notice_s >= 0 || machine->quarantined))
            evacuate_machine(core, machine);
    }
}
