/* The leader's scheduling cycle: the order of jobs, placement, preemption, quotas and the cost
 * model.
 *
 * Owns the plan of the cycle, which it leaves in core->lead.commit for leadership/ to write. Called
 * by core/ at each step; autoscaling/ and drain/ ask it what a place costs and where a task may go.
 */
#ifndef BD_SCHEDULING_H
#define BD_SCHEDULING_H
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* ---- the cycle (cycle.c) ---- */

/* Runs a cycle if one is wanted and due. */
void bd_cycle_run(struct bd_core *core);
/* Seconds between two cycles while tasks are pending, at least. */
#define BD_CYCLE_INTERVAL_S 0.05

/* ---- constraints ---- */

/* Whether a task of the job may run on machines of the type at all. */
static inline bool bd_type_allowed(const struct bd_spec *spec, int type)
{
    return spec->any_type || (spec->types >> type & 1);
}

/* ... on machines of the type in the zone, on spot ones if `spot`. */
static inline bool bd_placement_allowed(const struct bd_spec *spec, int type, int zone, bool spot)
{
    return bd_type_allowed(spec, type) && (spec->zone < 0 || spec->zone == zone) &&
           (spec->spot || !spot);
}

/* ---- quotas (quotas.c) ---- */

/* How many such tasks the team's quota leaves free, up to `most`, with so many cores and GPUs of it
 * in use. */
uint32_t bd_team_free_quota(const struct bd_team_quota *team, double cpus, double gpus,
                            const struct bd_spec *spec, uint32_t most);

/* ---- job order (job_order.c) ---- */

/* The unfinished jobs that wait for no other, in the order in which they are served; returns their
 * number. The caller frees the list. */
uint32_t bd_jobs_in_order(struct bd_core *core, struct bd_job ***out);

/* ---- cost model (cost_model.c) ---- */

/* Which machines a job may take, by how long it has waited. */
enum bd_cost_tier { BD_TIER_SPOT, BD_TIER_CHEAP, BD_TIER_ANY };

/* How many such tasks fit on an empty machine of the type. */
int bd_tasks_per_machine(const struct bd_machine_type *type, const struct bd_spec *spec);
/* Whether a place on such a machine costs much more than the cheapest on-demand place. */
bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot);
/* ... for each type, on demand and spot. */
void bd_find_expensive_types(const struct bd_core *core, const struct bd_spec *spec,
                             bool is_expensive[BD_TYPES_MAX][2]);
/* Seconds that a job of the class may wait and still meet the objective, with an estimated run time
 * in seconds; below 0: the objective is another class's. */
double bd_slo_slack(const struct bd_core *core, int job_class, double estimate,
                    const struct bd_slo *slo);
/* Which machines the job may take now. */
enum bd_cost_tier bd_cost_tier_of(const struct bd_core *core, const struct bd_job *job);
/* Whether the tier includes machines of each type, on demand and spot. */
void bd_find_types_in_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                                enum bd_cost_tier cost_tier, bool is_in_tier[BD_TYPES_MAX][2]);
#endif
