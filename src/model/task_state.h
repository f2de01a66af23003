/* How a task's state changes, with the sums over jobs, machines and teams that go with it: the only
 * functions that change it. */
#ifndef BD_TASK_STATE_H
#define BD_TASK_STATE_H
#include "model/core_state.h"

/* Starts and stops keeping the states of the job's tasks, as a leader does. False: no memory. */
bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job);
void bd_job_stop_tracking(struct bd_job *job);

void bd_task_set(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_task_state st);
/* Reserves the machine's resources for an attempt of the task. */
void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t i,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state st);
/* Releases its reservation: it is pending again. What remains of a gang is stopped. */
void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t i,
                     enum bd_release_reason why);
/* It completed, and so did its gang. */
void bd_task_done(struct bd_core *core, struct bd_job *job, uint32_t i);
/* Requests its stop, and that of its gang; with force, without time for a checkpoint. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                  bool force);
/* Releases all that the machine's last incarnation held. */
void bd_machine_lease_expired(struct bd_core *core, struct bd_machine *machine,
                              enum bd_release_reason why);
/* ... and marks the machine as gone for good. */
void bd_machine_gone(struct bd_core *core, struct bd_machine *machine);
/* An instant as bd_task.started_at counts it: tenths of a second of the steady clock, never 0. */
uint32_t bd_tenths(struct timespec t);
#endif
