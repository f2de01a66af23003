/* Which machines go next: the plain choice, cheapest first, and why a machine may not go. Part of
 * the pure core. */
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include <stdlib.h>
#include <string.h>

enum bd_drain_wait bd_step_obstacle(const struct bd_step_problem *problem,
                                    const struct bd_candidate *candidate, uint32_t *budget)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++) {
        *budget = candidate->needs[i].budget;
        if (candidate->needs[i].tasks > problem->left[*budget])
            return BD_DRAIN_WAIT_BUDGET;
    }
    if (problem->most == 0)
        return BD_DRAIN_WAIT_STEP;
    for (int zone = 0; zone < BD_MAX_ZONES && candidate->zone >= 0; zone++)
        if (problem->zone_used[zone] && problem->apart[candidate->zone][zone])
            return BD_DRAIN_WAIT_ZONE;
    if (candidate->moves.cpus > problem->capacity.cpus ||
        candidate->moves.gpus > problem->capacity.gpus ||
        candidate->moves.mem > problem->capacity.mem)
        return BD_DRAIN_WAIT_CAPACITY;
    return BD_DRAIN_WAIT_NOTHING;
}

void bd_step_take(struct bd_step_problem *problem, uint32_t *left,
                  const struct bd_candidate *candidate)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++)
        left[candidate->needs[i].budget] -= candidate->needs[i].tasks;
    problem->most--;
    if (candidate->zone >= 0)
        problem->zone_used[candidate->zone] = true;
    problem->capacity.cpus -= candidate->moves.cpus;
    problem->capacity.gpus -= candidate->moves.gpus;
    problem->capacity.mem -= candidate->moves.mem;
}

/* What sorting by cost needs. */
struct order {
    uint32_t tasks, number;
};

static int fewer_tasks(const void *x, const void *y)
{
    const struct order *a = x, *b = y;
    if (a->tasks != b->tasks)
        return a->tasks < b->tasks ? -1 : 1;
    return a->number < b->number ? -1 : a->number > b->number;
}

void bd_steps_greedy(const struct bd_step_problem *given, roaring_bitmap_t *chosen)
{
    struct bd_step_problem problem = *given;
    uint32_t *left = calloc(given->nbudgets + 1, sizeof *left), budget = 0;
    struct order *order = calloc(given->n + 1, sizeof *order);
    if (!left || !order)
        abort();
    memcpy(left, given->left, given->nbudgets * sizeof *left);
    problem.left = left;
    for (uint32_t i = 0; i < given->n; i++)
        order[i] = (struct order){given->candidates[i].tasks, i};
    qsort(order, given->n, sizeof *order, fewer_tasks);
    for (uint32_t i = 0; i < given->n && problem.most > 0; i++) {
        const struct bd_candidate *candidate = &given->candidates[order[i].number];
        if (bd_step_obstacle(&problem, candidate, &budget) != BD_DRAIN_WAIT_NOTHING)
            continue;
        bd_step_take(&problem, left, candidate);
        roaring_bitmap_add(chosen, order[i].number);
    }
    free(order);
    free(left);
}
