/* Drains on simulated days: administrators' requests, and what the workers did for the checker. */
#ifndef BD_TESTS_SIM_DRAIN_H
#define BD_TESTS_SIM_DRAIN_H
#include "simulation.h"

struct bd_drain_rules *sim_drain_rules(const struct sim *sim);
/* Requests a drain of the first machines that are up. */
void sim_drain_request(struct sim *sim, uint32_t machines, bool replaces);
/* Sets the state of the newest drain that is not over and not yet in it. */
void sim_drain_change(struct sim *sim, enum bd_drain_state state);
/* Resumes all paused drains after the last fault, as no administrator does so then. */
void sim_drains_resume(struct sim *sim);
bool sim_drains_finished(const struct sim *sim);
/* Of a service's task on a worker: it was stopped on command, runs, or was lost. */
void sim_drain_replica_stopped(struct sim *sim, const struct sim_worker *worker,
                               const struct sim_slot *slot);
void sim_drain_replica_running(struct sim *sim, const struct sim_slot *slot);
void sim_drain_replica_lost(struct sim *sim, const struct sim_slot *slot);
#endif
