/* First-fit bin packing of a drained machine's tasks into the free capacity of other machines, one
 * bin for each machine. Part of the pure core. */
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include <stdlib.h>

void bd_bins_fill(struct bd_core *core, struct bd_bins *bins)
{
    bins->nbins = 0;
    bins->bins = calloc(core->nmachines + 1, sizeof *bins->bins);
    if (!bins->bins)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        if (!bd_machine_is_usable(core, machine))
            continue;
        bins->bins[bins->nbins++] =
            (struct bd_bin){machine, bd_machine_free_resources(core, machine)};
    }
}

void bd_bins_free(struct bd_bins *bins)
{
    free(bins->bins);
    bins->bins = NULL;
    bins->nbins = 0;
}

struct bd_resources bd_bins_total_capacity(const struct bd_bins *bins)
{
    struct bd_resources sum = {0, 0, 0};
    for (uint32_t i = 0; i < bins->nbins; i++) {
        sum.cpus += bins->bins[i].capacity.cpus;
        sum.gpus += bins->bins[i].capacity.gpus;
        sum.mem_gb += bins->bins[i].capacity.mem_gb;
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
    for (uint32_t i = 0; i < bins->nbins; i++)
        if (task_fits(&bins->bins[i], spec))
            return &bins->bins[i];
    return NULL;
}

bool bd_bins_reserve(struct bd_bins *bins, const struct bd_drain_candidate *candidate)
{
    const struct bd_machine *machine = candidate->machine;
    struct bd_bin **assigned = calloc(machine->nreservations + 1, sizeof(struct bd_bin *));
    if (!assigned)
        abort();
    uint32_t nassigned = 0;
    for (; nassigned < machine->nreservations; nassigned++) {
        const struct bd_spec *spec = &machine->reservations[nassigned].job->spec;
        assigned[nassigned] = find_first_fit(bins, spec);
        if (!assigned[nassigned])
            break;
        bd_resources_add(&assigned[nassigned]->capacity, spec, -1);
    }
    bool all_fit = nassigned == machine->nreservations;
    while (!all_fit && nassigned > 0) {
        nassigned--;
        bd_resources_add(&assigned[nassigned]->capacity,
                         &machine->reservations[nassigned].job->spec, 1);
    }
    free(assigned);
    return all_fit;
}
