/* Amounts of a machine's resources: what is left, and how many tasks fit into it. */
#ifndef BD_RESOURCES_H
#define BD_RESOURCES_H
#include "model/job.h"
#include "model/machine.h"

struct bd_core;

/* cores, accelerators and GB */
struct bd_resources {
    double cpus, gpus, mem;
};

/* What no task holds of the machine, whose type is known. */
struct bd_resources bd_machine_free(const struct bd_core *core, const struct bd_machine *machine);
/* Adds what one task takes, `sign` times. */
void bd_resources_add(struct bd_resources *capacity, const struct bd_spec *spec, double sign);
/* How many tasks fit, up to `most`. */
uint32_t bd_resources_fit(struct bd_resources capacity, const struct bd_spec *spec, uint32_t most);
/* The same for one amount; what needs nothing of it fits `most` times. */
uint32_t bd_amount_fits(double have, double need, uint32_t most);
#endif
