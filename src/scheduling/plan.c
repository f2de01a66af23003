/* The cycle's plan: the assignment of pending tasks to machines, as far as the intent records can
 * hold it. Tasks of a job that go to the same machine are planned as a group. */
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include <stdlib.h>

#define PLAN_CAPACITY_INITIAL 32u /* entries */

static void grow_plan(struct bd_commit *commit)
{
    uint32_t capacity = commit->plan_cap ? commit->plan_cap * 2 : PLAN_CAPACITY_INITIAL;
    struct bd_intent *plan = realloc(commit->plan, capacity * sizeof *plan);
    if (!plan)
        abort();
    commit->plan = plan;
    commit->plan_cap = capacity;
}

/* False: out of memory for the task's record. */
static bool plan_task(struct placement_cycle *cycle, struct bd_job *job, uint32_t task,
                      struct bd_machine *machine, uint64_t attempt)
{
    struct bd_commit *commit = cycle->commit;
    if (!bd_task_table_get_or_add(job->tasks, task)) {
        bd_log_write(cycle->core->log, BD_LOG_ERROR, "%s: out of memory for a task, not planned",
                     job->id);
        return false;
    }
    if (commit->nplan == commit->plan_cap)
        grow_plan(commit);
    bd_task_assign(cycle->core, job, task, machine, attempt, BD_TASK_PLANNED);
    commit->plan[commit->nplan++] = (struct bd_intent){job, task, machine->index, attempt};
    return true;
}

/* How many tasks of the job on the machine still fit into the intent records, up to `max_tasks`. */
static uint32_t record_fit_count(const struct placement_cycle *cycle, const struct bd_job *job,
                                 const struct bd_machine *machine, uint32_t max_tasks)
{
    size_t group_bytes = bd_intent_group_bytes(job, machine);
    if (cycle->record_bytes + group_bytes + BD_INTENT_TASK_NUMBER_BYTES > cycle->record_bytes_max)
        return 0;
    size_t tasks =
        (cycle->record_bytes_max - cycle->record_bytes - group_bytes) / BD_INTENT_TASK_NUMBER_BYTES;
    return tasks < max_tasks ? (uint32_t)tasks : max_tasks;
}

/* How many tasks of the job to plan on the machine, which has capacity for at least one. */
static uint32_t group_size(const struct placement_cycle *cycle, const struct bd_job *job,
                           const struct bd_machine *machine, const uint32_t *zone_counts,
                           uint32_t max_tasks)
{
    struct bd_resources capacity = bd_unclaimed_capacity(cycle, machine);
    uint32_t tasks = bd_resources_fit_count(capacity, &job->spec, max_tasks);
    uint32_t beside_gpu_tasks =
        bd_fit_count_beside_gpu_tasks(cycle->core, &job->spec, machine, tasks);
    if (beside_gpu_tasks > 0) /* the other tasks may find a better machine */
        tasks = beside_gpu_tasks;
    tasks = bd_zone_allowance(cycle->core, job, zone_counts, machine->zone, tasks);
    return record_fit_count(cycle, job, machine, tasks);
}

/* Plans `count` pending tasks of the job on the machine, starting at task index `first`. Returns
 * the index after the last task that was considered. */
static uint32_t plan_group(struct placement_cycle *cycle, struct bd_job *job, uint32_t first,
                           struct bd_machine *machine, uint32_t count, uint64_t attempt)
{
    if (!bd_machine_has_image(machine, job->spec.image))
        cycle->machines[machine->index].planned_fetch_s +=
            job->spec.image_gb / cycle->core->types[machine->type].fetch_gb_per_s;
    cycle->record_bytes +=
        bd_intent_group_bytes(job, machine) + (size_t)count * BD_INTENT_TASK_NUMBER_BYTES;
    uint32_t task = first;
    for (; count > 0; count--) {
        uint32_t pending = bd_task_table_next_pending(job->tasks, task);
        if (pending == job->ntasks || !plan_task(cycle, job, pending, machine, attempt))
            break;
        task = pending + 1;
    }
    return task;
}

uint32_t bd_plan_tasks(struct placement_cycle *cycle, struct bd_job *job, uint32_t max_tasks,
                       uint64_t attempt, enum bd_gpu_capacity gpu_capacity)
{
    uint32_t zone_counts[BD_ZONES_MAX], placed = 0, next_task = 0;
    /* an existing machine costs the same when idle: only provisioning is limited to spot */
    enum bd_price_limit price_limit =
        bd_job_cost_tier(cycle->core, job) == BD_TIER_ANY ? BD_PRICE_ANY : BD_PRICE_CHEAP;
    bd_count_tasks_by_zone(cycle->core, job, zone_counts);
    while (placed < max_tasks) {
        struct bd_machine *machine =
            bd_choose_machine(cycle, job, zone_counts, price_limit, gpu_capacity);
        if (!machine)
            break;
        uint32_t count = group_size(cycle, job, machine, zone_counts, max_tasks - placed);
        if (count == 0)
            break;
        uint32_t nplan_before = cycle->commit->nplan;
        next_task = plan_group(cycle, job, next_task, machine, count, attempt);
        uint32_t planned = cycle->commit->nplan - nplan_before;
        if (planned == 0)
            break;
        zone_counts[machine->zone] += planned;
        placed += planned;
    }
    return placed;
}

void bd_plan_discard(struct placement_cycle *cycle, uint32_t first_entry)
{
    struct bd_commit *commit = cycle->commit;
    for (uint32_t i = first_entry; i < commit->nplan; i++)
        bd_task_release(cycle->core, commit->plan[i].job, commit->plan[i].task,
                        BD_RELEASE_INTENT_NOT_COMMITTED);
    commit->nplan = first_entry;
}
