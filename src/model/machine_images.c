#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/machine.h"
#include <math.h>
#include <string.h>

static const struct bd_held_image *held_image(const struct bd_machine *machine, int image)
{
    for (int k = 0; k < machine->nimages; k++)
        if (machine->images[k].image == image)
            return &machine->images[k];
    return NULL;
}

bool bd_has_image(const struct bd_machine *machine, int image)
{
    return held_image(machine, image) != NULL;
}

static double still_s(const struct bd_core *core, struct timespec ready)
{
    return bd_before(core->now, ready) ? bd_between(core->now, ready) : 0;
}

/* How long until the task's image is there: nothing where it lies already; where other images are
 * on their way it comes after them, or as slowly as if it did. */
double bd_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                  const struct bd_spec *spec)
{
    const struct bd_held_image *h = held_image(machine, spec->image);
    if (h)
        return still_s(core, h->ready);
    if (machine->type < 0 ||
        !core->types[machine->type].known) /* known by an earlier term's intents alone */
        return INFINITY;
    return still_s(core, machine->fetched_by) + spec->image_gb / core->types[machine->type].fetch;
}

/* The least recently used go if all do not fit the machine. */
static void drop_old_images(const struct bd_core *core, struct bd_machine *machine)
{
    double gb = 0;
    if (machine->type < 0 || !core->types[machine->type].known)
        return;
    for (int k = 0; k < machine->nimages; k++) {
        gb += machine->images[k].gb;
        if (k > 0 && gb > core->types[machine->type].cache_gb)
            machine->nimages = k;
    }
}

/* The image is used, or will be; `there`: a task was seen to run from it. */
void bd_remember_image(struct bd_core *core, struct bd_machine *machine, const struct bd_spec *spec,
                       bool there)
{
    const struct bd_held_image *known = held_image(machine, spec->image);
    struct bd_held_image h = {spec->image, spec->image_gb, core->now};
    int k = known ? (int)(known - machine->images) : machine->nimages;
    if (known)
        h = *known;
    else if (!there && machine->type >= 0 && core->types[machine->type].fetch > 0)
        h.ready = machine->fetched_by = bd_add(core->now, bd_secs(bd_fetch_s(core, machine, spec)));
    if (there)
        h.ready = core->now;
    if (k == BD_IMAGES)
        k--;
    else if (!known)
        machine->nimages++;
    memmove(machine->images + 1, machine->images, (size_t)k * sizeof *machine->images);
    machine->images[0] = h;
    drop_old_images(core, machine);
}
