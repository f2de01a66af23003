/* Choice of a step's machines as an integer program for lp_solve. The objective is the largest
 * number of machines, and among equal numbers the fewest stopped tasks. The constraints are the
 * budgets, the free capacity, the size of a step and the zone conflicts. The size of the program
 * and the solver's iterations are limited, not the solver's time, so that the same problem always
 * has the same solution. Part of the pure core. */
#include "brambledoor/settings.h"
#include "drain/drain_internal.h"
#include <lpsolve/lp_lib.h>
#include <stdlib.h>
#include <string.h>

#define ABORT_CHECKS_MAX 20000 /* calls of the solver's abort callback */
#define TASK_COST 1e-4         /* cost of a stopped task; the value of a chosen machine is 1 */
#define CHOSEN_THRESHOLD 0.5   /* above it, a binary variable of the solution is 1 */

/* Columns 1 to ncandidates are the candidates. After them there is a column for each zone that
 * conflicts with another zone; its variable is 1 if a machine of the zone is in the step. */
struct program {
    const struct bd_step_problem *problem;
    lprec *lp;
    int abort_checks;
    int zone_column[BD_ZONES_MAX]; /* 0: the zone has no column */
    REAL *values;                  /* coefficients of the row that is being built */
    int *columns;                  /* columns of the row that is being built */
    bool is_valid;                 /* lp_solve refused no part of the program */
};

static int __WINAPI is_over_limit(lprec *lp, void *arg)
{
    struct program *program = arg;
    (void)lp;
    return ++program->abort_checks > ABORT_CHECKS_MAX;
}

static void add_row(struct program *program, int count, double limit)
{
    program->is_valid = program->is_valid && add_constraintex(program->lp, count, program->values,
                                                              program->columns, LE, limit);
}

/* For each budget: the chosen machines stop no more tasks than remain in it. */
static void add_budget_rows(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t budget = 0; budget < problem->nbudgets; budget++) {
        int count = 0;
        for (uint32_t i = 0; i < problem->ncandidates; i++) {
            const struct bd_drain_candidate *candidate = &problem->candidates[i];
            for (uint32_t k = 0; k < candidate->nneeds; k++) {
                if (candidate->needs[k].budget != budget)
                    continue;
                program->columns[count] = (int)i + 1;
                program->values[count++] = candidate->needs[k].tasks;
            }
        }
        if (count > 0)
            add_row(program, count, problem->budgets_remaining[budget]);
    }
}

/* For the resource at the offset in `struct bd_resources`: the tasks of the chosen machines fit
 * into the free capacity. */
static void add_capacity_row(struct program *program, size_t offset, double capacity)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t i = 0; i < problem->ncandidates; i++) {
        const char *resources = (const char *)&problem->candidates[i].task_resources;
        program->columns[i] = (int)i + 1;
        memcpy(&program->values[i], resources + offset, sizeof(double));
    }
    add_row(program, (int)problem->ncandidates, capacity);
}

/* At most max_machines are chosen. */
static void add_machines_row(struct program *program)
{
    for (uint32_t i = 0; i < program->problem->ncandidates; i++) {
        program->columns[i] = (int)i + 1;
        program->values[i] = 1;
    }
    add_row(program, (int)program->problem->ncandidates, program->problem->max_machines);
}

/* A chosen machine sets the variable of its zone. */
static void add_zone_use_rows(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t i = 0; i < problem->ncandidates; i++) {
        int zone = problem->candidates[i].zone;
        if (zone < 0 || program->zone_column[zone] == 0)
            continue;
        program->columns[0] = (int)i + 1;
        program->values[0] = 1;
        program->columns[1] = program->zone_column[zone];
        program->values[1] = -1;
        add_row(program, 2, 0);
    }
}

/* Of two conflicting zones, only one has machines in the step. */
static void add_zone_conflict_rows(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    for (int zone = 0; zone < BD_ZONES_MAX; zone++) {
        for (int other = zone + 1; other < BD_ZONES_MAX; other++) {
            if (!problem->zones_conflict[zone][other])
                continue;
            program->columns[0] = program->zone_column[zone];
            program->columns[1] = program->zone_column[other];
            program->values[0] = program->values[1] = 1;
            add_row(program, 2, 1);
        }
    }
}

/* Assigns the zones' columns. Returns the total number of columns. */
static int assign_columns(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    int ncolumns = (int)problem->ncandidates;
    for (int zone = 0; zone < BD_ZONES_MAX; zone++)
        for (int other = 0; other < BD_ZONES_MAX; other++)
            if (problem->zones_conflict[zone][other] && program->zone_column[zone] == 0)
                program->zone_column[zone] = ++ncolumns;
    return ncolumns;
}

static void set_objective(struct program *program, int ncolumns)
{
    const struct bd_step_problem *problem = program->problem;
    for (int i = 1; i <= ncolumns; i++)
        program->is_valid = program->is_valid && set_binary(program->lp, i, TRUE);
    for (uint32_t i = 0; i < problem->ncandidates; i++) {
        program->columns[i] = (int)i + 1;
        program->values[i] = 1 - TASK_COST * problem->candidates[i].tasks;
    }
    program->is_valid = program->is_valid && set_obj_fnex(program->lp, (int)problem->ncandidates,
                                                          program->values, program->columns);
    set_maxim(program->lp);
    for (int zone = 0; zone < BD_ZONES_MAX; zone++)
        if (problem->zone_used[zone] && program->zone_column[zone] > 0)
            program->is_valid =
                program->is_valid && set_lowbo(program->lp, program->zone_column[zone], 1);
}

static void build_program(struct program *program, int ncolumns)
{
    const struct bd_step_problem *problem = program->problem;
    (void)set_add_rowmode(program->lp, TRUE);
    add_budget_rows(program);
    add_machines_row(program);
    add_capacity_row(program, offsetof(struct bd_resources, cpus), problem->capacity.cpus);
    add_capacity_row(program, offsetof(struct bd_resources, gpus), problem->capacity.gpus);
    add_capacity_row(program, offsetof(struct bd_resources, mem_gb), problem->capacity.mem_gb);
    add_zone_use_rows(program);
    add_zone_conflict_rows(program);
    (void)set_add_rowmode(program->lp, FALSE);
    set_objective(program, ncolumns);
    set_verbose(program->lp, NEUTRAL);
    put_abortfunc(program->lp, is_over_limit, program);
}

/* False: the solver found no solution, or was aborted. */
static bool solve_program(struct program *program, roaring_bitmap_t *chosen)
{
    int status = solve(program->lp);
    REAL *values = NULL;
    if ((status != OPTIMAL && status != SUBOPTIMAL) || !get_ptr_variables(program->lp, &values))
        return false;
    for (uint32_t i = 0; i < program->problem->ncandidates; i++)
        if (values[i] > CHOSEN_THRESHOLD)
            roaring_bitmap_add(chosen, i);
    return true;
}

bool bd_step_choose_by_solver(const struct bd_step_problem *problem, roaring_bitmap_t *chosen)
{
    struct program program = {.problem = problem, .is_valid = true};
    if (problem->ncandidates == 0 || problem->ncandidates > BD_STEP_CANDIDATES_MAX)
        return false;
    int ncolumns = assign_columns(&program);
    program.lp = make_lp(0, ncolumns);
    program.values = calloc((size_t)ncolumns + 1, sizeof *program.values);
    program.columns = calloc((size_t)ncolumns + 1, sizeof *program.columns);
    if (!program.lp || !program.values || !program.columns)
        abort();
    build_program(&program, ncolumns);
    bool solved = program.is_valid && solve_program(&program, chosen);
    delete_lp(program.lp);
    free(program.values);
    free(program.columns);
    return solved;
}
