/* Gang placement: all tasks of a gang are placed in one cycle, or none. */
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"

#define CLAIM_AFTER_S 10.0 /* wait after which a gang claims capacity and preempts tasks */

/* What happens to capacity that was found for only a part of a gang. */
enum partial_gang { PARTIAL_GANG_DROP, PARTIAL_GANG_CLAIM };

/* Claims the capacity that a waiting gang has found so far, so that smaller jobs later in the order
 * do not starve the gang. */
static void claim_planned(struct placement_cycle *cycle, const struct bd_job *job,
                          uint32_t first_entry)
{
    const struct bd_commit *commit = cycle->commit;
    for (uint32_t i = first_entry; i < commit->nplan; i++)
        bd_resources_add(&cycle->machines[commit->plan[i].machine].claimed, &job->spec, 1);
}

/* Plans all tasks of the gang or none, and returns how many of them found capacity. */
static uint32_t plan_whole_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt,
                                enum partial_gang partial)
{
    uint32_t first_entry = cycle->commit->nplan;
    size_t record_bytes = cycle->record_bytes;
    uint32_t fitting = bd_plan_tasks(cycle, job, job->ntasks, attempt, BD_GPU_CAPACITY_SHARED);
    if (fitting == job->ntasks)
        return fitting;
    if (partial == PARTIAL_GANG_CLAIM)
        claim_planned(cycle, job, first_entry);
    bd_plan_discard(cycle, first_entry);
    cycle->record_bytes = record_bytes;
    return fitting;
}

/* Tries the zones in turn until one has capacity for the whole gang. If none has, the cycle stays
 * limited to the zone with capacity for most of the gang's tasks. Returns how many tasks found
 * capacity in the zone that was tried last. */
static uint32_t plan_in_each_zone(struct placement_cycle *cycle, struct bd_job *job,
                                  uint64_t attempt)
{
    uint32_t fitting = 0, best_fitting = 0;
    int best_zone = -1;
    for (int zone = 0; zone < cycle->core->nzones && fitting < job->ntasks; zone++) {
        cycle->only_zone = zone;
        fitting = plan_whole_gang(cycle, job, attempt, PARTIAL_GANG_DROP);
        if (best_zone < 0 || fitting > best_fitting) {
            best_fitting = fitting;
            best_zone = zone;
        }
    }
    cycle->only_zone = best_zone;
    return fitting;
}

/* If preemption for the job is due, preempts other tasks for the gang's tasks without capacity. */
static void preempt_for_rest(struct placement_cycle *cycle, struct bd_job *job, uint32_t fitting)
{
    if (job->priority <= BD_PRIORITY_IDLE || !bd_preemption_is_due(cycle->core, job))
        return;
    if (!bd_preempt_for_gang(cycle, job, job->ntasks - fitting))
        bd_preemption_back_off(cycle->core, job);
}

bool bd_place_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt)
{
    bool needs_one_zone = job->spec.same_zone && job->ntasks > 1 && cycle->core->nzones > 0;
    bool has_waited = cycle->core->wall_s - job->ready_at > CLAIM_AFTER_S;
    enum partial_gang partial = has_waited ? PARTIAL_GANG_CLAIM : PARTIAL_GANG_DROP;
    uint32_t fitting =
        plan_whole_gang(cycle, job, attempt, needs_one_zone ? PARTIAL_GANG_DROP : partial);
    if (fitting < job->ntasks && needs_one_zone)
        fitting = plan_in_each_zone(cycle, job, attempt);
    bool is_placed = fitting == job->ntasks;
    if (!is_placed && needs_one_zone && has_waited)
        fitting = plan_whole_gang(cycle, job, attempt, PARTIAL_GANG_CLAIM);
    if (!is_placed && (has_waited || job->ntasks == 1))
        preempt_for_rest(cycle, job, fitting);
    cycle->only_zone = -1;
    return is_placed;
}
