/* Drains on simulated days: who asks for them, and the checker of the workers' history. */
#ifndef BD_TESTS_SIM_DRAIN_H
#define BD_TESTS_SIM_DRAIN_H
#include "simulation.h"

struct bd_drain_rules *sim_drain_rules(const struct sim *s);
/* A drain of the first machines that are up. */
void sim_drain_ask(struct sim *s, uint32_t machines, bool replaces);
/* The newest drain that goes on is paused, resumed or called off. */
void sim_drain_change(struct sim *s, enum bd_drain_state to);
void sim_drains_resume(struct sim *s);
bool sim_drains_over(const struct sim *s);
/* a worker has stopped a task on command; one runs; one was lost */
void sim_drain_stopped(struct sim *s, const struct sim_worker *w, const struct sim_slot *t);
void sim_drain_runs(struct sim *s, const struct sim_slot *t);
void sim_drain_lost(struct sim *s, const struct sim_slot *t);
#endif
