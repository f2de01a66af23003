/* Amounts of resources: the free amounts of a machine, and the number of tasks that fit into an
 * amount. Pure functions; called by scheduling, autoscaling and the drains. */
#ifndef BD_RESOURCES_H
#define BD_RESOURCES_H
#include "model/job.h"
#include "model/machine.h"

struct bd_core;

#define BD_RESOURCE_TOLERANCE 1e-6 /* cores, GPUs or GB: for rounding errors in compared sums */

/* In cores, accelerators and GB of memory. */
struct bd_resources {
    double cpus, gpus, mem_gb;
};

/* The resources of the machine that no task has reserved. The machine's type must be known. */
struct bd_resources bd_machine_free_resources(const struct bd_core *core,
                                              const struct bd_machine *machine);
/* Adds the resources of one task of the job, multiplied by factor. */
void bd_resources_add(struct bd_resources *resources, const struct bd_spec *spec, double factor);
/* The number of tasks with this specification that fit into the resources, at most max. */
uint32_t bd_resources_fit_count(struct bd_resources resources, const struct bd_spec *spec,
                                uint32_t max);
/* How often `need` fits into `available`, at most max. If need is 0, the result is max. */
uint32_t bd_amount_fit_count(double available, double need, uint32_t max);
#endif
