/* Free capacity on other machines for the tasks of a machine that is emptied: first-fit bin
 * packing, one bin per machine. Part of the pure core. */
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include <stdlib.h>

void bd_bins_fill(struct bd_core *core, struct bd_bins *bins)
{
    bins->n = 0;
    bins->bins = calloc(core->nmachines + 1, sizeof *bins->bins);
    if (!bins->bins)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!bd_machine_is_usable(core, machine))
            continue;
        bins->bins[bins->n++] = (struct bd_bin){machine, bd_machine_free(core, machine)};
    }
}

void bd_bins_free(struct bd_bins *bins)
{
    free(bins->bins);
    bins->bins = NULL;
    bins->n = 0;
}

struct bd_resources bd_bins_total(const struct bd_bins *bins)
{
    struct bd_resources sum = {0, 0, 0};
    for (uint32_t i = 0; i < bins->n; i++) {
        sum.cpus += bins->bins[i].capacity.cpus;
        sum.gpus += bins->bins[i].capacity.gpus;
        sum.mem += bins->bins[i].capacity.mem;
    }
    return sum;
}

static bool task_fits(const struct bd_bin *bin, const struct bd_spec *spec)
{
    return bd_placement_allowed(spec, bin->machine->type, bin->machine->zone, bin->machine->spot) &&
           bd_resources_fit_count(bin->capacity, spec, 1) > 0;
}

static struct bd_bin *find_first_fit(struct bd_bins *bins, const struct bd_spec *spec)
{
    for (uint32_t i = 0; i < bins->n; i++)
        if (task_fits(&bins->bins[i], spec))
            return &bins->bins[i];
    return NULL;
}

bool bd_bins_take(struct bd_bins *bins, const struct bd_drain_candidate *candidate)
{
    const struct bd_machine *machine = candidate->machine;
    struct bd_bin **taken = calloc(machine->nreservations + 1, sizeof(struct bd_bin *));
    if (!taken)
        abort();
    uint32_t n = 0;
    for (; n < machine->nreservations; n++) {
        const struct bd_spec *spec = &machine->reservations[n].job->spec;
        taken[n] = find_first_fit(bins, spec);
        if (!taken[n])
            break;
        bd_resources_add(&taken[n]->capacity, spec, -1);
    }
    bool all_fit = n == machine->nreservations;
    while (!all_fit && n > 0) {
        n--;
        bd_resources_add(&taken[n]->capacity, &machine->reservations[n].job->spec, 1);
    }
    free(taken);
    return all_fit;
}
