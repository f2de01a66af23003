/* The images known to be on a machine: a list of the most recently used ones that fit the size of
 * the machine's cache. */
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/machine.h"
#include <math.h>
#include <string.h>

static const struct bd_cached_image *find_image(const struct bd_machine *machine, int image)
{
    for (int i = 0; i < machine->nimages; i++)
        if (machine->images[i].image == image)
            return &machine->images[i];
    return NULL;
}

bool bd_machine_has_image(const struct bd_machine *machine, int image)
{
    return find_image(machine, image) != NULL;
}

static double seconds_until(const struct bd_core *core, struct timespec instant)
{
    return bd_time_is_before(core->now, instant) ? bd_seconds_between(core->now, instant) : 0;
}

/* NULL: the type is unknown, as for a machine known only from an earlier term's intents. */
static const struct bd_machine_type *known_type(const struct bd_core *core,
                                                const struct bd_machine *machine)
{
    if (machine->type < 0 || !core->types[machine->type].known)
        return NULL;
    return &core->types[machine->type];
}

/* A new image is assumed to be downloaded after those in progress. Parallel downloads would end at
 * the same time. */
double bd_image_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                        const struct bd_spec *spec)
{
    const struct bd_cached_image *held = find_image(machine, spec->image);
    if (held)
        return seconds_until(core, held->available_at);
    const struct bd_machine_type *type = known_type(core, machine);
    if (!type)
        return INFINITY;
    return seconds_until(core, machine->fetches_done_at) + spec->image_gb / type->fetch_gb_per_s;
}

/* Removes the least recently used images that do not fit into the machine's cache. */
static void remove_old_images(const struct bd_core *core, struct bd_machine *machine)
{
    const struct bd_machine_type *type = known_type(core, machine);
    double total_gb = 0;
    if (!type)
        return;
    for (int i = 0; i < machine->nimages; i++) {
        total_gb += machine->images[i].gb;
        if (i > 0 && total_gb > type->cache_gb)
            machine->nimages = i;
    }
}

static bool has_fetch_rate(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->type >= 0 && core->types[machine->type].fetch_gb_per_s > 0;
}

static struct bd_cached_image new_image(const struct bd_core *core, struct bd_machine *machine,
                                        const struct bd_spec *spec, bool is_cached)
{
    struct bd_cached_image image = {spec->image, spec->image_gb, core->now};
    if (!is_cached && has_fetch_rate(core, machine)) {
        image.available_at = bd_time_add(core->now, bd_secs(bd_image_fetch_s(core, machine, spec)));
        machine->fetches_done_at = image.available_at;
    }
    return image;
}

/* Puts the image at the front of the list. The entry at `index` is overwritten. */
static void move_to_front(struct bd_machine *machine, int index, struct bd_cached_image image)
{
    memmove(machine->images + 1, machine->images, (size_t)index * sizeof *machine->images);
    machine->images[0] = image;
}

void bd_machine_record_image_use(struct bd_core *core, struct bd_machine *machine,
                                 const struct bd_spec *spec, bool is_cached)
{
    const struct bd_cached_image *held = find_image(machine, spec->image);
    struct bd_cached_image image = held ? *held : new_image(core, machine, spec, is_cached);
    int index = held ? (int)(held - machine->images) : machine->nimages;
    if (is_cached)
        image.available_at = core->now;
    if (index == BD_MACHINE_IMAGES_MAX)
        index--; /* in place of the least recently used */
    else if (!held)
        machine->nimages++;
    move_to_front(machine, index, image);
    remove_old_images(core, machine);
}
