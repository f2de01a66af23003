/* Amounts of resources: what is free on a machine, and how many tasks fit into it (bin packing).
 * Pure functions; called by scheduling, autoscaling and the drains. */
#ifndef BD_RESOURCES_H
#define BD_RESOURCES_H
#include "model/job.h"
#include "model/machine.h"

struct bd_core;

#define BD_RESOURCE_ROUNDING 1e-6 /* of sums of amounts, which are compared with this margin */

/* cores, accelerators and GB of memory */
struct bd_resources {
    double cpus, gpus, mem;
};

/* What no task has reserved of the machine, whose type must be known. */
struct bd_resources bd_machine_free_resources(const struct bd_core *core,
                                              const struct bd_machine *machine);
/* Adds the resources of one task of the job, multiplied by factor. */
void bd_resources_add(struct bd_resources *resources, const struct bd_spec *spec, double factor);
/* How many tasks of the job fit, at most max. */
uint32_t bd_resources_fit_count(struct bd_resources resources, const struct bd_spec *spec,
                                uint32_t max);
/* How often `need` fits into `available`, at most max; a need of nothing fits max times. */
uint32_t bd_amount_fit_count(double available, double need, uint32_t max);
#endif
