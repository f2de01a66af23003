#include "model/resources.h"
#include "core/core_internal.h"
#include <math.h>

#define ROUNDING 1e-6 /* of sums of amounts */

struct bd_room bd_room_left(const struct bd_core *core, const struct bd_machine *machine)
{
    const struct bd_type *type = &core->types[machine->type];
    return (struct bd_room){type->cpus - machine->cpus, type->gpus - machine->gpus,
                            type->mem - machine->mem};
}

void bd_room_add(struct bd_room *room, const struct bd_spec *spec, double sign)
{
    room->cpus += sign * spec->cpus;
    room->gpus += sign * spec->gpus;
    room->mem += sign * spec->mem;
}

uint32_t bd_amount_fits(double have, double need, uint32_t most)
{
    if (need <= 0)
        return most;
    double n = floor((have + ROUNDING) / need);
    return n <= 0 ? 0 : n < most ? (uint32_t)n : most;
}

uint32_t bd_room_fits(struct bd_room room, const struct bd_spec *spec, uint32_t most)
{
    most = bd_amount_fits(room.cpus, spec->cpus, most);
    most = bd_amount_fits(room.gpus, spec->gpus, most);
    return bd_amount_fits(room.mem, spec->mem, most);
}
