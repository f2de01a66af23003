/* The transitions of a task's state, with the counts of its job and the reservations of machines
 * that go with it. No other functions change them.
 *
 * Owns a job's tasks and counts, the machines' reservations, and the teams' use. Called by the
 * leader's folders, and by jobs/ for jobs that are cancelled. */
#ifndef BD_TASK_STATE_H
#define BD_TASK_STATE_H
#include "model/core_state.h"

/* Starts to track the states of the job's tasks, as a leader does: all are pending. No effect if
 * they are tracked. False: no memory. */
bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job);
/* Stops tracking; users are shown the last counts. */
void bd_job_stop_tracking(struct bd_job *job);

/* Sets the state alone, with the job's counts. */
void bd_task_set_state(struct bd_core *core, struct bd_job *job, uint32_t index,
                       enum bd_task_state state);
/* Reserves the machine's resources for an attempt of the task, and sets its state. An earlier
 * reservation is released. */
void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t index,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state state);
/* Releases the task's reservation: it is pending again, unless it is done. What remains of a gang
 * is stopped. */
void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t index,
                     enum bd_release_reason reason);
/* The task completed, and with it its gang. */
void bd_task_complete(struct bd_core *core, struct bd_job *job, uint32_t index);
/* Requests the stop of the task and of its gang. force: without time for a checkpoint. A task whose
 * launch was never sent is released at once. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t index,
                  enum bd_stop_reason reason, bool force);
/* Releases all that the machine's last incarnation had reserved, but not plans, which were not sent
 * and stay with their transaction. */
void bd_machine_release_reservations(struct bd_core *core, struct bd_machine *machine,
                                     enum bd_release_reason reason);
/* ... and marks the machine as gone for good. */
void bd_machine_mark_terminated(struct bd_core *core, struct bd_machine *machine);
/* An instant as bd_task.started_at counts it: tenths of a second of the steady clock, never 0. */
uint32_t bd_steady_tenths(struct timespec instant);
#endif
