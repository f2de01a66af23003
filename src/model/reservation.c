#include "model/reservation.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdlib.h>

#define INITIAL_CAPACITY 8 /* of a machine's list of reservations; doubled when full */

static void add_team_use(struct bd_core *core, const struct bd_spec *spec, double factor)
{
    if (spec->team < 0)
        return;
    core->team_cpus[spec->team] += factor * spec->cpus;
    core->team_gpus[spec->team] += factor * spec->gpus;
}

static void add_machine_use(struct bd_machine *machine, const struct bd_spec *spec, double factor)
{
    /* other tasks end by themselves before long */
    bool is_pinned = spec->kind == BD_JOB_SERVICE || spec->gpus > 0;
    machine->reserved_cpus += factor * spec->cpus;
    machine->reserved_gpus += factor * spec->gpus;
    machine->reserved_mem_gb += factor * spec->mem_gb;
    if (!is_pinned)
        return;
    machine->pinned_cpus += factor * spec->cpus;
    machine->pinned_gpus += factor * spec->gpus;
    machine->pinned_mem_gb += factor * spec->mem_gb;
}

/* Adds up the reservations anew, so that rounding errors do not accumulate. */
static void sum_machine_use(struct bd_machine *machine)
{
    machine->removals_since_sum = 0;
    machine->reserved_cpus = machine->reserved_gpus = machine->reserved_mem_gb = 0;
    machine->pinned_cpus = machine->pinned_gpus = machine->pinned_mem_gb = 0;
    for (uint32_t i = 0; i < machine->nreservations; i++)
        add_machine_use(machine, &machine->reservations[i].job->spec, 1);
}

static void grow_list(struct bd_machine *machine)
{
    uint32_t capacity =
        machine->reservations_cap ? machine->reservations_cap * 2 : INITIAL_CAPACITY;
    struct bd_reservation *grown =
        realloc(machine->reservations, capacity * sizeof *machine->reservations);
    if (!grown)
        abort();
    machine->reservations = grown;
    machine->reservations_cap = capacity;
}

static void remove_from_list(struct bd_machine *machine, const struct bd_task *task)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        if (machine->reservations[i].task == task) {
            machine->reservations[i] = machine->reservations[--machine->nreservations];
            return;
        }
    }
}

void bd_reservation_add(struct bd_core *core, struct bd_job *job, struct bd_task *task,
                        struct bd_machine *machine)
{
    task->machine = machine->index;
    if (machine->nreservations == machine->reservations_cap)
        grow_list(machine);
    machine->reservations[machine->nreservations++] = (struct bd_reservation){job, task};
    add_machine_use(machine, &job->spec, 1);
    add_team_use(core, &job->spec, 1);
}

void bd_reservation_remove(struct bd_core *core, struct bd_job *job, struct bd_task *task)
{
    if (!bd_task_has_reservation(task))
        return;
    struct bd_machine *machine = bd_machine_by_index(core, task->machine);
    task->machine = BD_NO_MACHINE;
    add_team_use(core, &job->spec, -1);
    if (!machine)
        return;
    remove_from_list(machine, task);
    machine->removals_since_sum++;
    if (machine->removals_since_sum >= machine->nreservations)
        sum_machine_use(machine);
    else
        add_machine_use(machine, &job->spec, -1);
    if (machine->nreservations == 0)
        machine->idle_since = core->now;
}
