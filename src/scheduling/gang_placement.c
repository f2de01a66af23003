/* Gangs: all tasks are placed in one cycle, or none. */
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"

#define CLAIM_AFTER_S 10.0 /* a gang that has waited so long claims capacity, and preempts */

/* What becomes of the capacity that was found for a part of a gang. */
enum partial_gang { PARTIAL_GANG_DROP, PARTIAL_GANG_CLAIM };

/* Claims what a waiting gang could have already, so that smaller jobs that are served later do not
 * overtake it for ever. */
static void claim_planned(struct placement_cycle *cycle, const struct bd_job *job, uint32_t from)
{
    const struct bd_commit *commit = cycle->commit;
    for (uint32_t i = from; i < commit->nplan; i++)
        bd_resources_add(&cycle->machines[commit->plan[i].machine].claimed, &job->spec, 1);
}

/* Plans the whole gang or nothing; returns how many of its tasks found capacity. */
static uint32_t plan_whole_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt,
                                enum partial_gang partial)
{
    uint32_t from = cycle->commit->nplan;
    size_t record_bytes = cycle->record_bytes;
    uint32_t fitting = bd_plan_tasks(cycle, job, job->ntasks, attempt, BD_GPU_CAPACITY_SHARED);
    if (fitting == job->ntasks)
        return fitting;
    if (partial == PARTIAL_GANG_CLAIM)
        claim_planned(cycle, job, from);
    bd_plan_discard(cycle, from);
    cycle->record_bytes = record_bytes;
    return fitting;
}

/* Tries one zone after the other. Where none takes the whole gang, the cycle stays limited to the
 * one that takes most of it. Returns how many tasks found capacity in the zone tried last. */
static uint32_t plan_in_each_zone(struct placement_cycle *cycle, struct bd_job *job,
                                  uint64_t attempt)
{
    uint32_t fitting = 0, most = 0;
    int best_zone = -1;
    for (int zone = 0; zone < cycle->core->nzones && fitting < job->ntasks; zone++) {
        cycle->only_zone = zone;
        fitting = plan_whole_gang(cycle, job, attempt, PARTIAL_GANG_DROP);
        if (best_zone < 0 || fitting > most) {
            most = fitting;
            best_zone = zone;
        }
    }
    cycle->only_zone = best_zone;
    return fitting;
}

static void preempt_for_rest(struct placement_cycle *cycle, struct bd_job *job, uint32_t fitting)
{
    if (job->priority <= BD_PRIORITY_IDLE || !bd_preemption_is_due(cycle->core, job))
        return;
    if (!bd_preempt_for_gang(cycle, job, job->ntasks - fitting))
        bd_preemption_back_off(cycle->core, job);
}

bool bd_place_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt)
{
    bool wants_one_zone = job->spec.same_zone && job->ntasks > 1 && cycle->core->nzones > 0;
    bool has_waited = cycle->core->wall_s - job->ready_at > CLAIM_AFTER_S;
    enum partial_gang partial = has_waited ? PARTIAL_GANG_CLAIM : PARTIAL_GANG_DROP;
    uint32_t fitting =
        plan_whole_gang(cycle, job, attempt, wants_one_zone ? PARTIAL_GANG_DROP : partial);
    if (fitting < job->ntasks && wants_one_zone)
        fitting = plan_in_each_zone(cycle, job, attempt);
    bool is_placed = fitting == job->ntasks;
    if (!is_placed && wants_one_zone && has_waited)
        fitting = plan_whole_gang(cycle, job, attempt, PARTIAL_GANG_CLAIM);
    if (!is_placed && (has_waited || job->ntasks == 1))
        preempt_for_rest(cycle, job, fitting);
    cycle->only_zone = -1;
    return is_placed;
}
