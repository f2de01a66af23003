/* Zone constraints: all tasks of a job in one zone, or spread over zones. */
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task_table.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include <string.h>

void bd_count_tasks_by_zone(struct bd_core *core, const struct bd_job *job,
                            uint32_t counts[BD_ZONES_MAX])
{
    memset(counts, 0, BD_ZONES_MAX * sizeof *counts);
    if (!job->spec.same_zone && !job->spec.spread_zones)
        return;
    for (uint32_t i = bd_task_table_next_record(job->tasks, 0); i < job->ntasks;
         i = bd_task_table_next_record(job->tasks, i + 1)) {
        const struct bd_machine *machine = bd_machine_by_index(core, bd_job_task(job, i)->machine);
        if (!machine)
            continue;
        if (machine->zone >= 0) {
            counts[machine->zone]++;
            continue;
        }
        /* a machine whose zone is unknown may be in any zone */
        for (int zone = 0; zone < core->nzones; zone++)
            counts[zone]++;
    }
}

static bool has_tasks_in_other_zone(const struct bd_core *core, const uint32_t *counts, int zone)
{
    for (int other = 0; other < core->nzones; other++)
        if (other != zone && counts[other] > 0)
            return true;
    return false;
}

uint32_t bd_zone_allowance(const struct bd_core *core, const struct bd_job *job,
                           const uint32_t *counts, int zone, uint32_t max_tasks)
{
    if (job->spec.same_zone && has_tasks_in_other_zone(core, counts, zone))
        return 0;
    if (!job->spec.spread_zones)
        return max_tasks;
    uint32_t zone_max = (job->ntasks + 1) / 2; /* half of the tasks, rounded up */
    uint32_t remaining = counts[zone] >= zone_max ? 0 : zone_max - counts[zone];
    return remaining < max_tasks ? remaining : max_tasks;
}
