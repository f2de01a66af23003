/* The leader's scheduling cycle: the order of jobs, placement, preemption and the cost model.
 *
 * Owns the plan of the cycle, which it leaves in core->lead.commit for leadership/ to write. Called
 * by core/ at each step; autoscaling/ and drain/ ask it what a place costs and where a task may go.
 */
#ifndef BD_SCHEDULING_H
#define BD_SCHEDULING_H
#include "model/core_state.h"

/* Runs a cycle if one is wanted and due. */
void bd_cycle_run(struct bd_core *core);
/* Seconds between two cycles while work waits, at least. */
#define BD_CYCLE_INTERVAL_S 0.05

/* Where a task of the job may run at all. */
bool bd_type_allowed(const struct bd_spec *spec, int type);
bool bd_allowed(const struct bd_spec *spec, int type, int zone, bool spot);
/* How many tasks the team's quota leaves free, up to `most`, with so much of it in use. */
uint32_t bd_team_free_quota(const struct bd_team_quota *team, double cpus, double gpus,
                            const struct bd_spec *spec, uint32_t most);
/* The jobs that wait, in the order in which they are served. The caller frees the list. */
uint32_t bd_jobs_in_order(struct bd_core *core, struct bd_job ***out);

/* ---- cost model (cost_model.c) ---- */

/* Which machines a job may take, by how long it has waited. */
enum bd_cost_tier { BD_TIER_SPOT, BD_TIER_CHEAP, BD_TIER_ANY };

int bd_tasks_a_machine(const struct bd_type *type, const struct bd_spec *spec);
/* Whether a place on such a machine costs much more than the cheapest would. */
bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot);
double bd_slack(const struct bd_core *core, int job_class, double estimate, const struct bd_slo *a);
enum bd_cost_tier bd_cost_tier_of(const struct bd_core *core, const struct bd_job *job);
bool bd_within_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                         enum bd_cost_tier cost_tier, int type, bool spot);
#endif
