/* Amounts of a machine's resources: what is left, and how many tasks fit into it. */
#ifndef BD_ROOM_H
#define BD_ROOM_H
#include "model/job.h"
#include "model/machine.h"

struct bd_core;

/* cores, accelerators and GB */
struct bd_room {
    double cpus, gpus, mem;
};

/* What no task holds of the machine, whose type is known. */
struct bd_room bd_room_left(const struct bd_core *core, const struct bd_machine *machine);
/* Adds what one task takes, `sign` times. */
void bd_room_add(struct bd_room *room, const struct bd_spec *spec, double sign);
/* How many tasks fit, up to `most`. */
uint32_t bd_room_fits(struct bd_room room, const struct bd_spec *spec, uint32_t most);
/* The same for one amount; what needs nothing of it fits `most` times. */
uint32_t bd_amount_fits(double have, double need, uint32_t most);
#endif
