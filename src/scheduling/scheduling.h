/* The leader's scheduling cycle: job order, placement, preemption, quotas and the cost model.
 *
 * Writes the cycle's plan into core->lead.commit, which leadership/ commits to the key-value store.
 * Called by core/ at each step. autoscaling/ and drain/ use the cost model and the placement
 * constraints. */
#ifndef BD_SCHEDULING_H
#define BD_SCHEDULING_H
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* ---- the cycle (cycle.c) ---- */

/* Runs a scheduling cycle if there is work for one and it is due. */
void bd_cycle_run(struct bd_core *core);
/* Shortest time between the starts of two cycles. */
#define BD_CYCLE_INTERVAL_S 0.05

/* ---- constraints ---- */

/* Whether the job allows machines of the type. */
static inline bool bd_type_allowed(const struct bd_spec *spec, int type)
{
    return spec->any_type || (spec->types >> type & 1);
}

/* Whether the job allows machines of the type in the zone, on spot capacity if `spot`. */
static inline bool bd_placement_allowed(const struct bd_spec *spec, int type, int zone, bool spot)
{
    return bd_type_allowed(spec, type) && (spec->zone < 0 || spec->zone == zone) &&
           (spec->spot || !spot);
}

/* ---- quotas (quotas.c) ---- */

/* How many tasks with this spec fit into the rest of the team's quota, up to `max_tasks`, while the
 * team uses `used_cpus` cores and `used_gpus` GPUs. */
uint32_t bd_team_quota_fit_count(const struct bd_team_quota *team, double used_cpus,
                                 double used_gpus, const struct bd_spec *spec, uint32_t max_tasks);

/* ---- job order (job_order.c) ---- */

/* Lists the unfinished jobs without open parents in the order in which they are scheduled, and
 * returns their number. The caller frees the list. */
uint32_t bd_jobs_in_scheduling_order(struct bd_core *core, struct bd_job ***out);

/* ---- cost model (cost_model.c) ---- */

/* Which machines a job may use. The longer a job has waited, the wider its tier. */
enum bd_cost_tier {
    BD_TIER_SPOT,  /* spot machines that are not expensive */
    BD_TIER_CHEAP, /* all machines that are not expensive */
    BD_TIER_ANY
};

/* Whether a task costs much more on such a machine than on the cheapest on-demand machine. */
bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot);
/* Sets is_expensive[type][spot] as bd_type_is_expensive does, for each type, on demand and spot. */
void bd_find_expensive_types(const struct bd_core *core, const struct bd_spec *spec,
                             bool is_expensive[BD_TYPES_MAX][2]);
/* Seconds that a job of the class can wait and still meet the objective if it runs for
 * estimated_run_s seconds. Negative: the objective does not apply to the class. */
double bd_slo_slack_s(const struct bd_core *core, int job_class, double estimated_run_s,
                      const struct bd_slo *slo);
/* Which machines the job may use now. */
enum bd_cost_tier bd_job_cost_tier(const struct bd_core *core, const struct bd_job *job);
/* Sets is_in_tier[type][spot] to whether the tier includes such machines, for each type, on demand
 * and spot. */
void bd_find_types_in_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                                enum bd_cost_tier cost_tier, bool is_in_tier[BD_TYPES_MAX][2]);
#endif
