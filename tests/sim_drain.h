/* Drains on simulated days: administrators' requests, and the replicas' changes of state that are
 * passed to the checker of drains. */
#ifndef BD_TESTS_SIM_DRAIN_H
#define BD_TESTS_SIM_DRAIN_H
#include "simulation.h"

/* Returns the draining settings of a controller, freed by the caller. */
struct bd_drain_rules *sim_drain_rules(const struct sim *sim);
/* Requests a drain of the first machines that are up. */
void sim_drain_request(struct sim *sim, uint32_t machines, bool replaces);
/* Sets the state of the newest drain that is in progress and not yet in that state. */
void sim_drain_set_state(struct sim *sim, enum bd_drain_state state);
/* Resumes all paused drains. Called after the last fault, when no more requests follow. */
void sim_drains_resume(struct sim *sim);
bool sim_drains_finished(const struct sim *sim);
/* A service's task on a worker was stopped on command, began to run, or was lost. */
void sim_drain_replica_stopped(struct sim *sim, const struct sim_worker *worker,
                               const struct sim_slot *slot);
void sim_drain_replica_running(struct sim *sim, const struct sim_slot *slot);
void sim_drain_replica_lost(struct sim *sim, const struct sim_slot *slot);
#endif
