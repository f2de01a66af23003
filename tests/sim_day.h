/* The parts of a simulated day that are not the controllers': its course, users, faults and rules.
 * simulation.c plays the days; all state is in struct sim. */
#ifndef BD_TESTS_SIM_DAY_H
#define BD_TESTS_SIM_DAY_H
#include "sim_plan.h"
#include "simulation.h"

/* sim_day.c. The day of a plan and a seed begins; sim_day_end frees all it holds. */
void sim_day_begin(struct sim *sim, const struct sim_plan *plan, unsigned long seed);
void sim_day_event(struct sim *sim, const struct sim_plan *plan, struct sim_event *event);
void sim_day_end(struct sim *sim);

/* sim_users.c. at: seconds from now */
void sim_add_job(struct sim *sim, const struct sim_plan *plan, double at);
void sim_ask_node(struct sim *sim, int job, int node, enum sim_verb verb);
/* A node whose /up would say yes; any, if there is none. */
int sim_healthy_node(struct sim *sim);
void sim_user_wake(struct sim *sim, struct sim_event *event);
void sim_user_answered(struct sim *sim, struct sim_event *event);

/* sim_faults.c */
void sim_apply_fault(struct sim *sim, const struct sim_plan *plan, const struct sim_fault *fault);
/* How long after its begin the fault has an effect, in seconds. */
double sim_fault_duration(const struct sim_fault *fault);
/* The store's leases have their full time again after an outage. */
void sim_outage_over(struct sim *sim);

/* sim_rules.c */
void sim_check_rules(struct sim *sim);
void sim_check_end(struct sim *sim);
bool sim_all_served(const struct sim *sim);
#endif
