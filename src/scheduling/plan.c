/* The cycle's plan: which pending tasks go to which machine, within the bounds of the intent
 * records. Like tasks of a job are placed as a group. */
#include "brambledoor/settings.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include <stdlib.h>

#define PLAN_CAPACITY_FIRST 32u

static void grow_plan(struct bd_commit *commit)
{
    uint32_t cap = commit->plan_cap ? commit->plan_cap * 2 : PLAN_CAPACITY_FIRST;
    struct bd_intent *plan = realloc(commit->plan, cap * sizeof *plan);
    if (!plan)
        abort();
    commit->plan = plan;
    commit->plan_cap = cap;
}

static void plan_task(struct placement_cycle *cycle, struct bd_job *job, uint32_t task,
                      struct bd_machine *machine, uint64_t attempt)
{
    struct bd_commit *commit = cycle->commit;
    if (commit->nplan == commit->plan_cap)
        grow_plan(commit);
    bd_task_assign(cycle->core, job, task, machine, attempt, BD_TASK_PLANNED);
    commit->plan[commit->nplan++] = (struct bd_intent){job, task, machine->index, attempt};
}

/* How many tasks of the job on the machine the intent records still take, up to `most`. */
static uint32_t tasks_in_record(const struct placement_cycle *cycle, const struct bd_job *job,
                                const struct bd_machine *machine, uint32_t most)
{
    size_t head = bd_intent_group_bytes(job, machine);
    if (cycle->record_bytes + head + BD_INTENT_TASK_BYTES > cycle->record_bytes_max)
        return 0;
    size_t n = (cycle->record_bytes_max - cycle->record_bytes - head) / BD_INTENT_TASK_BYTES;
    return n < most ? (uint32_t)n : most;
}

/* How many tasks of the job to plan on the machine, which has capacity for one at least. */
static uint32_t group_size(const struct placement_cycle *cycle, const struct bd_job *job,
                           const struct bd_machine *machine, const uint32_t *zone_counts,
                           uint32_t most)
{
    struct bd_resources capacity = bd_unclaimed_capacity(cycle, machine);
    uint32_t n = bd_resources_fit_count(capacity, &job->spec, most);
    uint32_t harmless = bd_tasks_beside_gpu_work(cycle->core, &job->spec, machine, n);
    if (harmless > 0) /* the next ones may do better elsewhere */
        n = harmless;
    n = bd_zone_allowance(cycle->core, job, zone_counts, machine->zone, n);
    return tasks_in_record(cycle, job, machine, n);
}

/* Plans n tasks of the job on the machine; returns the index up to which tasks were considered. */
static uint32_t plan_group(struct placement_cycle *cycle, struct bd_job *job, uint32_t first,
                           struct bd_machine *machine, uint32_t n, uint64_t attempt)
{
    if (!bd_machine_has_image(machine, job->spec.image))
        cycle->machines[machine->index].planned_fetch_s +=
            job->spec.image_gb / cycle->core->types[machine->type].fetch_gb_per_s;
    cycle->record_bytes += bd_intent_group_bytes(job, machine) + (size_t)n * BD_INTENT_TASK_BYTES;
    uint32_t task = first;
    for (; n > 0 && task < job->ntasks; task++) {
        if (job->tasks[task].state != BD_TASK_PENDING)
            continue;
        plan_task(cycle, job, task, machine, attempt);
        n--;
    }
    return task;
}

uint32_t bd_plan_tasks(struct placement_cycle *cycle, struct bd_job *job, uint32_t most,
                       uint64_t attempt, enum bd_gpu_capacity gpu_capacity)
{
    uint32_t zone_counts[BD_ZONES_MAX], placed = 0, next = 0;
    /* a machine that is there costs the same idle: only provisioning waits for spot */
    enum bd_price_limit price_limit =
        bd_cost_tier_of(cycle->core, job) == BD_TIER_ANY ? BD_PRICE_ANY : BD_PRICE_CHEAP;
    bd_count_tasks_by_zone(cycle->core, job, zone_counts);
    while (placed < most) {
        struct bd_machine *machine =
            bd_choose_machine(cycle, job, zone_counts, price_limit, gpu_capacity);
        if (!machine)
            break;
        uint32_t n = group_size(cycle, job, machine, zone_counts, most - placed);
        if (n == 0)
            break;
        uint32_t before = cycle->commit->nplan;
        next = plan_group(cycle, job, next, machine, n, attempt);
        uint32_t planned = cycle->commit->nplan - before;
        zone_counts[machine->zone] += planned;
        placed += planned;
    }
    return placed;
}

void bd_plan_discard(struct placement_cycle *cycle, uint32_t from)
{
    struct bd_commit *commit = cycle->commit;
    for (uint32_t i = from; i < commit->nplan; i++)
        bd_task_release(cycle->core, commit->plan[i].job, commit->plan[i].task,
                        BD_RELEASE_INTENT_NOT_COMMITTED);
    commit->nplan = from;
}
