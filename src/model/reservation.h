/* Reservations of machine resources by tasks, and their sums per machine and per team. Called by
 * task_state.c only, which keeps them consistent with the tasks' states. */
#ifndef BD_RESERVATION_H
#define BD_RESERVATION_H
#include "model/core_state.h"
#include "model/task.h"
#include <stdbool.h>

/* Whether the task has a reservation. */
static inline bool bd_task_has_reservation(const struct bd_task *task)
{
    return task->machine != BD_NO_MACHINE;
}

/* Reserves resources of the machine for the task, which must not have a reservation. */
void bd_reservation_add(struct bd_core *core, struct bd_job *job, struct bd_task *task,
                        struct bd_machine *machine);
/* Removes the task's reservation, if it has one. */
void bd_reservation_remove(struct bd_core *core, struct bd_job *job, struct bd_task *task);
#endif
