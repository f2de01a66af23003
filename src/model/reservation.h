/* Reservations of machines' resources by tasks, with the sums over machines and teams that go with
 * them. Called by task_state.c only, which keeps them in step with the tasks' states. */
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

/* Reserves the machine's resources for the task, which must have none. */
void bd_reservation_add(struct bd_core *core, struct bd_job *job, uint32_t index,
                        struct bd_machine *machine);
/* Frees the task's reservation, if it has one. */
void bd_reservation_remove(struct bd_core *core, struct bd_job *job, uint32_t index);
#endif
