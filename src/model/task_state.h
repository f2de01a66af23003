/* The transitions of a task's state. They also update the job's counts and the reservations of
 * machines; no other functions change these.
 *
 * Owns a job's tasks and counts, the machines' reservations, and the teams' reserved amounts.
 * Called by the folders that run as leader, and by jobs/ for cancelled jobs. */
#ifndef BD_TASK_STATE_H
#define BD_TASK_STATE_H
#include "model/core_state.h"

/* Starts tracking the states of the job's tasks, as the leader does; all begin as pending. No
 * effect if they are tracked already. False: out of memory. */
bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job);
/* Stops tracking. Users are still shown the last counts. */
void bd_job_stop_tracking(struct bd_job *job);

/* Sets the state of a task with a record and updates the job's counts, nothing else. */
void bd_task_set_state(struct bd_core *core, struct bd_job *job, uint32_t index,
                       enum bd_task_state state);
/* Reserves the machine's resources for an attempt of the task and sets the task's state. Releases
 * an earlier reservation of the task. */
void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t index,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state state);
/* Releases the task's reservation. The task becomes pending again unless it is done. If it belongs
 * to a gang, the rest of the gang is stopped. */
void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t index,
                     enum bd_release_reason reason);
/* Marks the task as done; for a gang, all of its tasks. If memory has run out, that is logged and
 * nothing changes. */
void bd_task_complete(struct bd_core *core, struct bd_job *job, uint32_t index);
/* Marks a task as done whose receipt a new term has read. It must not have a reservation. */
void bd_task_load_done(struct bd_job *job, uint32_t index);
/* Requests a stop of the task, or of all tasks of its gang. force: without time for a checkpoint. A
 * task whose launch was never sent is released at once. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t index,
                  enum bd_stop_reason reason, bool force);
/* Releases all reservations on the machine, except those of planned tasks: their launches were not
 * sent, and the outcome of their transaction decides. */
void bd_machine_release_reservations(struct bd_core *core, struct bd_machine *machine,
                                     enum bd_release_reason reason);
/* Releases the machine's reservations and marks it as terminated for good. */
void bd_machine_mark_terminated(struct bd_core *core, struct bd_machine *machine);
/* Converts an instant to the unit of bd_task.started_at: tenths of a second of the monotonic clock,
 * never 0. */
uint32_t bd_monotonic_tenths(struct timespec instant);
#endif
