/* Amounts of resources: the free amounts of a machine, and the number of tasks that fit into an
 * amount. Every question of what fits a machine is answered here, so that admission, placement and
 * autoscaling agree. Pure functions; called by jobs, scheduling, autoscaling and the drains. */
#ifndef BD_RESOURCES_H
#define BD_RESOURCES_H
#include "model/job.h"
#include "model/machine.h"

struct bd_core;

/* Cores, GPUs or GB (a byte): for rounding errors in the sums of one machine's tasks. A task that
 * exceeds a machine by more is refused there. */
#define BD_RESOURCE_TOLERANCE 1e-9
/* Cores or GPUs: for rounding errors in a team's sums, which are kept over many tasks. */
#define BD_QUOTA_TOLERANCE 1e-6

/* In cores, accelerators and GB of memory. */
struct bd_resources {
    double cpus, gpus, mem_gb;
};

/* The resources of the machine that no task has reserved. The machine's type must be known. */
struct bd_resources bd_machine_free_resources(const struct bd_core *core,
                                              const struct bd_machine *machine);
/* Adds the resources of one task of the job, multiplied by factor. */
void bd_resources_add(struct bd_resources *resources, const struct bd_spec *spec, double factor);
/* Whether `need` fits into `available`, which may be too low by `tolerance`. A need of 0 fits. */
static inline bool bd_amount_fits(double available, double need, double tolerance)
{
    return need <= 0 || need <= available + tolerance;
}

/* Whether a task with this specification fits into the resources. */
static inline bool bd_resources_fit(const struct bd_resources *resources,
                                    const struct bd_spec *spec)
{
    return bd_amount_fits(resources->cpus, spec->cpus, BD_RESOURCE_TOLERANCE) &&
           bd_amount_fits(resources->gpus, spec->gpus, BD_RESOURCE_TOLERANCE) &&
           bd_amount_fits(resources->mem_gb, spec->mem_gb, BD_RESOURCE_TOLERANCE);
}

/* The number of tasks with this specification that fit into the resources, at most max. It is 0
 * exactly where bd_resources_fit is false. */
uint32_t bd_resources_fit_count(struct bd_resources resources, const struct bd_spec *spec,
                                uint32_t max);
/* How many tasks with this specification fit on an empty machine of the type, at most max. */
uint32_t bd_type_fit_count(const struct bd_machine_type *type, const struct bd_spec *spec,
                           uint32_t max);
/* How often `need` fits into `available`, at most max; as bd_amount_fits decides. If need is 0, the
 * result is max. */
uint32_t bd_amount_fit_count(double available, double need, double tolerance, uint32_t max);
#endif
