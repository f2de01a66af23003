#include "model/resources.h"
#include "model/core_state.h"
#include <math.h>

#define ROUNDING 1e-6 /* of sums of amounts */

struct bd_resources bd_machine_free(const struct bd_core *core, const struct bd_machine *machine)
{
    const struct bd_type *type = &core->types[machine->type];
    return (struct bd_resources){type->cpus - machine->cpus, type->gpus - machine->gpus,
                                 type->mem - machine->mem};
}

void bd_resources_add(struct bd_resources *capacity, const struct bd_spec *spec, double sign)
{
    capacity->cpus += sign * spec->cpus;
    capacity->gpus += sign * spec->gpus;
    capacity->mem += sign * spec->mem;
}

uint32_t bd_amount_fits(double have, double need, uint32_t most)
{
    if (need <= 0)
        return most;
    double n = floor((have + ROUNDING) / need);
    return n <= 0 ? 0 : n < most ? (uint32_t)n : most;
}

uint32_t bd_resources_fit(struct bd_resources capacity, const struct bd_spec *spec, uint32_t most)
{
    most = bd_amount_fits(capacity.cpus, spec->cpus, most);
    most = bd_amount_fits(capacity.gpus, spec->gpus, most);
    return bd_amount_fits(capacity.mem, spec->mem, most);
}
