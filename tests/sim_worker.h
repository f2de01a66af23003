/* Shared by the files of the simulated workers. simulation.h declares what others call. */
#ifndef BD_TESTS_SIM_WORKER_H
#define BD_TESTS_SIM_WORKER_H
#include "simulation.h"

/* sim_tasks.c */
const char *sim_exit_reason_name(enum bd_exit_reason reason);
void sim_task_exit(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot,
                   enum bd_exit_reason reason);
/* Ends all tasks on the worker without reporting them. */
void sim_kill_tasks(struct sim *sim, struct sim_worker *worker);
/* Executes the commands in the answer to a heartbeat or in a direct command. */
void sim_execute_commands(struct sim *sim, struct sim_worker *worker, json_t *message);
/* Advances a task by one step. */
void sim_run_task(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot);

/* sim_heartbeats.c */
void sim_send_heartbeat(struct sim *sim, struct sim_worker *worker);
/* Abandons the heartbeat that awaits its answer. The next goes to another controller after a pause.
 */
void sim_try_next_node(struct sim *sim, struct sim_worker *worker, double pause_s);
#endif
