/* Which machines go next, as an integer program for lp_solve: as many as possible, and of equally
 * many those that stop the fewest tasks, under the budgets, the room, the number of machines in a
 * step and the zones' rule. Bounded in size and in the solver's own steps, not in time, so that
 * the same question always has the same answer. Part of the pure core. */
#include "brambledoor/settings.h"
#include "drain/drain_internal.h"
#include <lpsolve/lp_lib.h>
#include <stdlib.h>
#include <string.h>

#define CANDIDATES_MAX 96u /* more, and the plain choice is taken */
#define LOOKS_MAX 20000    /* of the solver at whether to go on */
#define TASK_COST 1e-4     /* a task that is stopped, beside one machine more */

/* One program: columns 1 to n are the candidates, then one a zone whose use is a question. */
struct program {
    const struct bd_step_problem *problem;
    lprec *lp;
    int looks;
    int zone_column[BD_MAX_ZONES]; /* 0: none */
    REAL *values;                  /* of one row */
    int *columns;
    bool ok;
};

static int __WINAPI looked_often(lprec *lp, void *arg)
{
    struct program *program = arg;
    (void)lp;
    return ++program->looks > LOOKS_MAX;
}

static void row(struct program *program, int count, int purpose, double limit)
{
    program->ok = program->ok && add_constraintex(program->lp, count, program->values,
                                                  program->columns, purpose, limit);
}

static void budget_rows(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t b = 0; b < problem->nbudgets; b++) {
        int count = 0;
        for (uint32_t i = 0; i < problem->n; i++) {
            const struct bd_candidate *candidate = &problem->candidates[i];
            for (uint32_t k = 0; k < candidate->nneeds; k++) {
                if (candidate->needs[k].budget != b)
                    continue;
                program->columns[count] = (int)i + 1;
                program->values[count++] = candidate->needs[k].tasks;
            }
        }
        if (count > 0)
            row(program, count, LE, problem->left[b]);
    }
}

static void room_row(struct program *program, size_t of, double capacity)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t i = 0; i < problem->n; i++) {
        const char *moves = (const char *)&problem->candidates[i].moves;
        program->columns[i] = (int)i + 1;
        memcpy(&program->values[i], moves + of, sizeof(double));
    }
    row(program, (int)problem->n, LE, capacity);
}

static void machines_row(struct program *program)
{
    for (uint32_t i = 0; i < program->problem->n; i++) {
        program->columns[i] = (int)i + 1;
        program->values[i] = 1;
    }
    row(program, (int)program->problem->n, LE, program->problem->most);
}

/* A machine uses its zone, and of two zones that are apart one is used. */
static void zone_rows(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    for (uint32_t i = 0; i < problem->n; i++) {
        int zone = problem->candidates[i].zone;
        if (zone < 0 || program->zone_column[zone] == 0)
            continue;
        program->columns[0] = (int)i + 1;
        program->values[0] = 1;
        program->columns[1] = program->zone_column[zone];
        program->values[1] = -1;
        row(program, 2, LE, 0);
    }
    for (int a = 0; a < BD_MAX_ZONES; a++) {
        for (int b = a + 1; b < BD_MAX_ZONES; b++) {
            if (!problem->apart[a][b])
                continue;
            program->columns[0] = program->zone_column[a];
            program->columns[1] = program->zone_column[b];
            program->values[0] = program->values[1] = 1;
            row(program, 2, LE, 1);
        }
    }
}

static int columns_needed(struct program *program)
{
    const struct bd_step_problem *problem = program->problem;
    int columns = (int)problem->n;
    for (int a = 0; a < BD_MAX_ZONES; a++)
        for (int b = 0; b < BD_MAX_ZONES; b++)
            if (problem->apart[a][b] && program->zone_column[a] == 0)
                program->zone_column[a] = ++columns;
    return columns;
}

static void objective(struct program *program, int columns)
{
    const struct bd_step_problem *problem = program->problem;
    for (int i = 1; i <= columns; i++)
        (void)set_binary(program->lp, i, TRUE);
    for (uint32_t i = 0; i < problem->n; i++) {
        program->columns[i] = (int)i + 1;
        program->values[i] = 1 - TASK_COST * problem->candidates[i].tasks;
    }
    program->ok = program->ok &&
                  set_obj_fnex(program->lp, (int)problem->n, program->values, program->columns);
    set_maxim(program->lp);
    for (int zone = 0; zone < BD_MAX_ZONES; zone++)
        if (problem->zone_used[zone] && program->zone_column[zone] > 0)
            (void)set_lowbo(program->lp, program->zone_column[zone], 1);
}

static void build(struct program *program, int columns)
{
    const struct bd_step_problem *problem = program->problem;
    (void)set_add_rowmode(program->lp, TRUE);
    budget_rows(program);
    machines_row(program);
    room_row(program, offsetof(struct bd_resources, cpus), problem->capacity.cpus);
    room_row(program, offsetof(struct bd_resources, gpus), problem->capacity.gpus);
    room_row(program, offsetof(struct bd_resources, mem), problem->capacity.mem);
    zone_rows(program);
    (void)set_add_rowmode(program->lp, FALSE);
    objective(program, columns);
    set_verbose(program->lp, NEUTRAL);
    put_abortfunc(program->lp, looked_often, program);
}

static bool read_solution(struct program *program, roaring_bitmap_t *chosen)
{
    int status = solve(program->lp);
    REAL *values = NULL;
    if ((status != OPTIMAL && status != SUBOPTIMAL) || !get_ptr_variables(program->lp, &values))
        return false;
    for (uint32_t i = 0; i < program->problem->n; i++)
        if (values[i] > 0.5)
            roaring_bitmap_add(chosen, i);
    return true;
}

bool bd_steps_solve(const struct bd_step_problem *problem, roaring_bitmap_t *chosen)
{
    struct program program = {.problem = problem, .ok = true};
    if (problem->n == 0 || problem->n > CANDIDATES_MAX)
        return false;
    int columns = columns_needed(&program);
    program.lp = make_lp(0, columns);
    program.values = calloc((size_t)columns + 1, sizeof *program.values);
    program.columns = calloc((size_t)columns + 1, sizeof *program.columns);
    if (!program.lp || !program.values || !program.columns)
        abort();
    build(&program, columns);
    bool solved = program.ok && read_solution(&program, chosen);
    delete_lp(program.lp);
    free(program.values);
    free(program.columns);
    return solved;
}
