#include "model/resources.h"
#include "model/core_state.h"
#include <math.h>

struct bd_resources bd_machine_free_resources(const struct bd_core *core,
                                              const struct bd_machine *machine)
{
    const struct bd_machine_type *type = &core->types[machine->type];
    return (struct bd_resources){type->cpus - machine->reserved_cpus,
                                 type->gpus - machine->reserved_gpus,
                                 type->mem_gb - machine->reserved_mem_gb};
}

void bd_resources_add(struct bd_resources *resources, const struct bd_spec *spec, double factor)
{
    resources->cpus += factor * spec->cpus;
    resources->gpus += factor * spec->gpus;
    resources->mem_gb += factor * spec->mem_gb;
}

uint32_t bd_amount_fit_count(double available, double need, uint32_t max)
{
    if (need <= 0)
        return max;
    double count = floor((available + BD_RESOURCE_TOLERANCE) / need);
    if (count <= 0)
        return 0;
    return count < max ? (uint32_t)count : max;
}

uint32_t bd_resources_fit_count(struct bd_resources resources, const struct bd_spec *spec,
                                uint32_t max)
{
    uint32_t count = bd_amount_fit_count(resources.cpus, spec->cpus, max);
    count = bd_amount_fit_count(resources.gpus, spec->gpus, count);
    return bd_amount_fit_count(resources.mem_gb, spec->mem_gb, count);
}
