/* The parts of a simulated day beside the controllers: its events, users, faults and rules.
 * simulation.c plays the days. All state is in struct sim. */
#ifndef BD_TESTS_SIM_DAY_H
#define BD_TESTS_SIM_DAY_H
#include "sim_plan.h"
#include "simulation.h"

/* sim_day.c. sim_day_end frees all that the day holds. */
void sim_day_begin(struct sim *sim, const struct sim_plan *plan, unsigned long seed);
void sim_day_handle_event(struct sim *sim, const struct sim_plan *plan, struct sim_event *event);
void sim_day_end(struct sim *sim);

/* sim_users.c */
/* Adds a job that its user submits after a delay in seconds. */
void sim_add_job(struct sim *sim, const struct sim_plan *plan, double delay_s);
void sim_send_request(struct sim *sim, int job_index, int node, enum sim_request_kind kind);
/* Returns a node that GET /up reports as healthy, or any node if none is. */
int sim_healthy_node(struct sim *sim);
void sim_user_timer(struct sim *sim, struct sim_event *event);
void sim_user_answered(struct sim *sim, struct sim_event *event);

/* sim_faults.c */
void sim_apply_fault(struct sim *sim, const struct sim_plan *plan, const struct sim_fault *fault);
/* Returns how long the fault has an effect, in seconds. */
double sim_fault_duration(const struct sim_fault *fault);
/* Renews all grants of the store after an outage. */
void sim_store_outage_ended(struct sim *sim);

/* sim_rules.c: checks of the rules at each step, and at the day's end */
void sim_check_rules(struct sim *sim);
void sim_check_end(struct sim *sim);
/* Whether all valid jobs that are not cancelled are done or, as services, run whole, and all drains
 * are finished. */
bool sim_is_work_complete(const struct sim *sim);
#endif
