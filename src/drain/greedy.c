/* Greedy choice of a step's machines, those with the fewest tasks first, and the constraints of a
 * step. Part of the pure core. */
#include "brambledoor/settings.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include <stdlib.h>
#include <string.h>

static bool fits_into(const struct bd_resources *need, const struct bd_resources *capacity)
{
    return need->cpus <= capacity->cpus && need->gpus <= capacity->gpus &&
           need->mem_gb <= capacity->mem_gb;
}

/* Whether the step has a machine in a zone that conflicts with this one. A machine without a known
 * zone (-1) conflicts with none. */
static bool has_zone_conflict(const struct bd_step_problem *problem, int zone)
{
    for (int other = 0; other < BD_ZONES_MAX && zone >= 0; other++)
        if (problem->zone_used[other] && problem->zones_conflict[zone][other])
            return true;
    return false;
}

enum bd_drain_wait bd_step_wait_reason(const struct bd_step_problem *problem,
                                       const struct bd_drain_candidate *candidate, uint32_t *budget)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++) {
        *budget = candidate->needs[i].budget;
        if (candidate->needs[i].tasks > problem->budgets_remaining[*budget])
            return BD_DRAIN_WAIT_BUDGET;
    }
    if (problem->max_machines == 0)
        return BD_DRAIN_WAIT_STEP;
    if (has_zone_conflict(problem, candidate->zone))
        return BD_DRAIN_WAIT_ZONE;
    if (!fits_into(&candidate->task_resources, &problem->capacity))
        return BD_DRAIN_WAIT_CAPACITY;
    return BD_DRAIN_WAIT_NOTHING;
}

void bd_step_add_candidate(struct bd_step_problem *problem, uint32_t *budgets_remaining,
                           const struct bd_drain_candidate *candidate)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++)
        budgets_remaining[candidate->needs[i].budget] -= candidate->needs[i].tasks;
    problem->max_machines--;
    if (candidate->zone >= 0)
        problem->zone_used[candidate->zone] = true;
    problem->capacity.cpus -= candidate->task_resources.cpus;
    problem->capacity.gpus -= candidate->task_resources.gpus;
    problem->capacity.mem_gb -= candidate->task_resources.mem_gb;
}

struct sort_key {
    uint32_t tasks, candidate_index;
};

static int compare_tasks(const void *x, const void *y)
{
    const struct sort_key *a = x, *b = y;
    if (a->tasks != b->tasks)
        return a->tasks < b->tasks ? -1 : 1;
    return a->candidate_index < b->candidate_index ? -1 : a->candidate_index > b->candidate_index;
}

void bd_step_choose_greedy(const struct bd_step_problem *initial, roaring_bitmap_t *chosen)
{
    struct bd_step_problem problem = *initial;
    uint32_t budget = 0;
    uint32_t *budgets_remaining = calloc(initial->nbudgets + 1, sizeof *budgets_remaining);
    struct sort_key *order = calloc(initial->ncandidates + 1, sizeof *order);
    if (!budgets_remaining || !order)
        abort();
    memcpy(budgets_remaining, initial->budgets_remaining,
           initial->nbudgets * sizeof *budgets_remaining);
    problem.budgets_remaining = budgets_remaining;
    for (uint32_t i = 0; i < initial->ncandidates; i++)
        order[i] = (struct sort_key){initial->candidates[i].tasks, i};
    qsort(order, initial->ncandidates, sizeof *order, compare_tasks);
    for (uint32_t i = 0; i < initial->ncandidates && problem.max_machines > 0; i++) {
        const struct bd_drain_candidate *candidate = &initial->candidates[order[i].candidate_index];
        if (bd_step_wait_reason(&problem, candidate, &budget) != BD_DRAIN_WAIT_NOTHING)
            continue;
        bd_step_add_candidate(&problem, budgets_remaining, candidate);
        roaring_bitmap_add(chosen, order[i].candidate_index);
    }
    free(order);
    free(budgets_remaining);
}
