/* Compares the greedy choice of a step's machines with the solver's, without a core. */
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain_profile.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CHOICE_TEAMS 6
#define CHOICE_BUDGET 12u
#define CHOICE_MACHINES_IN_STEP 16u

static void draw_candidates(gsl_rng *rng, struct bd_drain_candidate *candidates, uint32_t count)
{
    memset(candidates, 0, count * sizeof *candidates);
    for (uint32_t i = 0; i < count; i++) {
        struct bd_drain_candidate *candidate = &candidates[i];
        candidate->zone = (int)gsl_rng_uniform_int(rng, 3);
        candidate->nneeds = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
        uint32_t team = (uint32_t)gsl_rng_uniform_int(rng, CHOICE_TEAMS);
        for (uint32_t k = 0; k < candidate->nneeds; k++) {
            uint32_t tasks = 1 + (uint32_t)gsl_rng_uniform_int(rng, 7);
            candidate->needs[k] = (struct bd_budget_need){(team + k) % CHOICE_TEAMS, tasks, 1};
            candidate->tasks += tasks;
        }
        candidate->task_resources.cpus = candidate->task_resources.mem_gb = candidate->tasks;
    }
}

/* Whether all chosen machines may drain at the same time. */
static bool is_allowed(const struct bd_step_problem *initial, const roaring_bitmap_t *chosen)
{
    struct bd_step_problem problem = *initial;
    uint32_t budgets_left[CHOICE_TEAMS], exceeded_budget = 0;
    memcpy(budgets_left, initial->budgets_remaining, sizeof budgets_left);
    problem.budgets_remaining = budgets_left;
    for (uint32_t i = 0; i < initial->ncandidates; i++) {
        if (!roaring_bitmap_contains(chosen, i))
            continue;
        if (bd_step_wait_reason(&problem, &initial->candidates[i], &exceeded_budget) !=
            BD_DRAIN_WAIT_NOTHING)
            return false;
        bd_step_add_candidate(&problem, budgets_left, &initial->candidates[i]);
    }
    return true;
}

/* Chooses the machines of one step. False: the solver found no solution within its limits, and the
 * choice is the greedy one. */
static bool choose(const struct bd_step_problem *problem, bool use_solver, roaring_bitmap_t *chosen)
{
    bool is_solved = use_solver && bd_step_choose_by_solver(problem, chosen);
    if (!is_solved) {
        roaring_bitmap_clear(chosen);
        bd_step_choose_greedy(problem, chosen);
    }
    if (!is_allowed(problem, chosen)) {
        fprintf(stderr, "the chosen machines of a step exceed a limit\n");
        exit(1);
    }
    return is_solved || !use_solver;
}

/* Returns the number of steps that drain all machines. Each step has the full budgets. Adds the
 * mean processor time of a choice to *seconds, and the solver's failures to *solver_failures. */
static uint32_t count_steps(const struct bd_drain_candidate *drawn, uint32_t count, bool use_solver,
                            double *seconds, uint32_t *solver_failures)
{
    static const bool zones_conflict[BD_ZONES_MAX][BD_ZONES_MAX] = {{false, true}, {true, false}};
    uint32_t budgets_left[CHOICE_TEAMS], steps = 0, remaining = count;
    struct bd_drain_candidate *candidates = malloc(count * sizeof *candidates);
    if (!candidates)
        abort();
    memcpy(candidates, drawn, count * sizeof *candidates);
    clock_t started_at = clock();
    while (remaining > 0) {
        for (int k = 0; k < CHOICE_TEAMS; k++)
            budgets_left[k] = CHOICE_BUDGET;
        struct bd_step_problem problem = {
            candidates,    remaining,      budgets_left, CHOICE_TEAMS, CHOICE_MACHINES_IN_STEP,
            {1e6, 1, 1e6}, zones_conflict, {false}};
        roaring_bitmap_t *chosen = roaring_bitmap_create();
        *solver_failures += !choose(&problem, use_solver, chosen);
        uint32_t kept = 0;
        for (uint32_t i = 0; i < remaining; i++)
            if (!roaring_bitmap_contains(chosen, i))
                candidates[kept++] = candidates[i];
        roaring_bitmap_free(chosen);
        remaining = kept;
        steps++;
    }
    *seconds += (double)(clock() - started_at) / CLOCKS_PER_SEC / steps;
    free(candidates);
    return steps;
}

int profile_choices(uint32_t machines, uint32_t seeds)
{
    double seconds[2] = {0, 0}; /* greedy, solver */
    uint32_t steps[2] = {0, 0}, solver_failures = 0, solver_fewer = 0, solver_more = 0;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    struct bd_drain_candidate *drawn = malloc(machines * sizeof *drawn);
    if (!rng || !drawn)
        abort();
    for (uint32_t seed = 0; seed < seeds; seed++) {
        gsl_rng_set(rng, seed + 1);
        draw_candidates(rng, drawn, machines);
        uint32_t greedy = count_steps(drawn, machines, false, &seconds[0], &solver_failures);
        uint32_t solved = count_steps(drawn, machines, true, &seconds[1], &solver_failures);
        steps[0] += greedy;
        steps[1] += solved;
        solver_fewer += solved < greedy;
        solver_more += solved > greedy;
    }
    printf(
        "%u machines, %u seeds: greedy %.2f steps, %.1f us a choice; solver %.2f steps, %.1f us a "
        "choice; solver needs fewer steps in %u, more in %u, and finds no solution %u times\n",
        machines, seeds, (double)steps[0] / seeds, seconds[0] / seeds * 1e6,
        (double)steps[1] / seeds, seconds[1] / seeds * 1e6, solver_fewer, solver_more,
        solver_failures);
    gsl_rng_free(rng);
    free(drawn);
    return steps[1] <= steps[0] + seeds ? 0 : 1;
}
