/* Teams' quotas: limits on the resources that a team's tasks may use. */
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"

uint32_t bd_team_quota_fit_count(const struct bd_team_quota *team, double used_cpus,
                                 double used_gpus, const struct bd_spec *spec, uint32_t max_tasks)
{
    if (team->cpus_quota > 0)
        max_tasks = bd_amount_fit_count(team->cpus_quota - used_cpus, spec->cpus,
                                        BD_QUOTA_TOLERANCE, max_tasks);
    if (team->gpus_quota > 0)
        max_tasks = bd_amount_fit_count(team->gpus_quota - used_gpus, spec->gpus,
                                        BD_QUOTA_TOLERANCE, max_tasks);
    return max_tasks;
}

uint32_t bd_quota_fit_count(const struct bd_core *core, const struct bd_spec *spec,
                            uint32_t max_tasks)
{
    int team = spec->team;
    return bd_team_quota_fit_count(&core->settings->teams[team], core->team_cpus[team],
                                   core->team_gpus[team], spec, max_tasks);
}
