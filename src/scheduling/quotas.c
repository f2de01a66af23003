/* Teams' quotas: how much more of their resources may be in use. */
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"

uint32_t bd_team_quota_fit_count(const struct bd_team_quota *team, double cpus, double gpus,
                                 const struct bd_spec *spec, uint32_t most)
{
    if (team->cpus_quota > 0)
        most = bd_amount_fit_count(team->cpus_quota - cpus, spec->cpus, most);
    if (team->gpus_quota > 0)
        most = bd_amount_fit_count(team->gpus_quota - gpus, spec->gpus, most);
    return most;
}

uint32_t bd_free_quota(const struct bd_core *core, const struct bd_spec *spec, uint32_t most)
{
    int team = spec->team;
    return bd_team_quota_fit_count(&core->settings->teams[team], core->team_cpus[team],
                                   core->team_gpus[team], spec, most);
}
