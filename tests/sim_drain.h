/* Drains on simulated days: who asks for them, and the checker of the workers' history. */
#ifndef BD_TESTS_SIM_DRAIN_H
#define BD_TESTS_SIM_DRAIN_H
#include "simulation.h"

struct bd_drain_rules *sim_drain_rules(const struct sim *sim);
/* A drain of the first machines that are up. */
void sim_drain_request(struct sim *sim, uint32_t machines, bool replaces);
/* The newest drain that goes on is paused, resumed or called off. */
void sim_drain_change(struct sim *sim, enum bd_drain_state to);
void sim_drains_resume(struct sim *sim);
bool sim_drains_finished(const struct sim *sim);
/* a worker has stopped a task on command; one runs; one was lost */
void sim_drain_replica_stopped(struct sim *sim, const struct sim_worker *worker,
                               const struct sim_slot *slot);
void sim_drain_replica_running(struct sim *sim, const struct sim_slot *slot);
void sim_drain_replica_lost(struct sim *sim, const struct sim_slot *slot);
#endif
