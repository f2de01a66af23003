/* Drawn tasks that barely fit a machine type, or barely exceed it. Guards against two functions
 * that disagree on what fits a machine: the autoscaler then requests machines for a task without an
 * end, or a job is accepted that no function places. */
#include "autoscaling/autoscaling_internal.h"
#include "core/core.h"
#include "jobs/jobs_internal.h"
#include "model/resources.h"
#include "profile.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define DRAWS 20000
#define SEED 1
#define TASKS_MAX 40u
#define TIME_LIMIT_S 20u /* the process ends if a draw never does */

/* An amount that differs from `available` / n by up to about 1e-12, ..., 1e-5, or by nothing. */
static double draw_amount(unsigned short state[3], double available)
{
    double amount = available / (1 + floor(erand48(state) * 4));
    double exponent = -12 + floor(erand48(state) * 8);
    return amount + (erand48(state) - 0.5) * pow(10, exponent) * floor(erand48(state) * 2);
}

static struct bd_spec draw_spec(unsigned short state[3], const struct bd_machine_type *type)
{
    struct bd_spec spec = {.any_type = true, .zone = -1, .kind = BD_JOB_ARRAY};
    spec.cpus = draw_amount(state, type->cpus);
    spec.mem_gb = draw_amount(state, type->mem_gb);
    spec.gpus = type->gpus > 0 ? draw_amount(state, type->gpus) : 0;
    return spec;
}

static uint32_t fitting_on_empty(const struct bd_machine_type *type, const struct bd_spec *spec)
{
    struct bd_resources empty = {type->cpus, type->gpus, type->mem_gb};
    uint32_t packed = 0;
    while (packed < TASKS_MAX && bd_resources_fit(&empty, spec)) {
        bd_resources_add(&empty, spec, -1);
        packed++;
    }
    return packed;
}

static bool is_feasible(const struct bd_core *core, const struct bd_spec *spec)
{
    struct bd_job_spec_text text = {.kind = spec->kind,
                                    .tasks = 1,
                                    .cpus = spec->cpus,
                                    .gpus = spec->gpus,
                                    .mem_gb = spec->mem_gb,
                                    .type_count = -1};
    snprintf(text.team, sizeof text.team, "%s", core->settings->teams[1].name);
    return bd_submission_is_feasible(core, &text);
}

/* The number of machines to request that would get none of the tasks. */
static int count_unused_requests(struct bd_core *core, const struct bd_spec *spec, uint32_t tasks)
{
    struct bd_demand demand;
    int unused = 0;
    bd_demand_init(&demand, core);
    bd_demand_add_tasks(&demand, spec, tasks, BD_TIER_ANY);
    for (int i = 0; i < demand.nbins; i++) {
        const struct bd_capacity_bin *bin = &demand.bins[i];
        unused += bin->free.mem_gb >= core->types[bin->type].mem_gb;
    }
    bd_demand_free(&demand);
    return unused;
}

int main(void)
{
    struct deployment deployment = {.log = {BD_LOG_ERROR, "fitting"}, .is_cpu_only = true};
    unsigned short state[3] = {SEED, 0, 0};
    int disagreements = 0, unused = 0, barely = 0;
    deployment_build(&deployment);
    struct bd_core *core = deployment.core;
    (void)alarm(TIME_LIMIT_S);
    for (int i = 0; i < DRAWS; i++) {
        const struct bd_machine_type *type = &core->types[i % core->ntypes];
        struct bd_spec spec = draw_spec(state, type);
        uint32_t tasks = 1 + (uint32_t)(erand48(state) * TASKS_MAX);
        uint32_t fitting = bd_type_fit_count(type, &spec, TASKS_MAX);
        bool fits_any = false;
        for (int other = 0; other < core->ntypes; other++)
            fits_any |= bd_type_fit_count(&core->types[other], &spec, 1) > 0;
        disagreements += fitting != fitting_on_empty(type, &spec);
        disagreements += fits_any != is_feasible(core, &spec);
        unused += count_unused_requests(core, &spec, tasks);
        barely += fitting == 0;
    }
    printf("%d draws, %d exceed their type: %d disagreements, %d machines requested for no task\n",
           DRAWS, barely, disagreements, unused);
    bd_core_free(core);
    return disagreements || unused || barely < DRAWS / 100 || barely > DRAWS / 2;
}
