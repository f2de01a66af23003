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

uint32_t bd_amount_fit_count(double available, double need, double tolerance, uint32_t max)
{
    if (!bd_amount_fits(available, need, tolerance))
        return 0;
    if (need <= 0 || max <= 1)
        return max;
    double count = floor((available + tolerance) / need);
    return count < max ? (uint32_t)count : max;
}

uint32_t bd_resources_fit_count(struct bd_resources resources, const struct bd_spec *spec,
                                uint32_t max)
{
    if (!bd_resources_fit(&resources, spec))
        return 0;
    if (max <= 1)
        return max;
    max = bd_amount_fit_count(resources.cpus, spec->cpus, BD_RESOURCE_TOLERANCE, max);
    max = bd_amount_fit_count(resources.gpus, spec->gpus, BD_RESOURCE_TOLERANCE, max);
    return bd_amount_fit_count(resources.mem_gb, spec->mem_gb, BD_RESOURCE_TOLERANCE, max);
}

uint32_t bd_type_fit_count(const struct bd_machine_type *type, const struct bd_spec *spec,
                           uint32_t max)
{
    struct bd_resources empty = {type->cpus, type->gpus, type->mem_gb};
    return type->known ? bd_resources_fit_count(empty, spec, max) : 0;
}
