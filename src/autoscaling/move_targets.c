/* The machines that consolidation may move services to. */
#include "autoscaling/move_targets.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include <stdlib.h>

#define FETCH_TO_CHEAP_MAX_S 15.0 /* the longest image fetch for a move to a cheap machine */
#define CHEAP_SCORE 1e6           /* ranks every cheap machine above any expensive one */
#define NO_IMAGE (-1)

void bd_move_targets_init(struct bd_move_targets *targets, const struct bd_core *core)
{
    *targets = (struct bd_move_targets){.core = core};
    targets->items = calloc(core->nmachines + 1, sizeof *targets->items);
    if (!targets->items)
        abort();
}

void bd_move_targets_free(struct bd_move_targets *targets)
{
    free(targets->items);
}

void bd_move_targets_add(struct bd_move_targets *targets, struct bd_machine *machine,
                         double service_cpus)
{
    struct bd_resources free = bd_machine_free_resources(targets->core, machine);
    if (free.cpus > 0)
        targets->items[targets->count++] =
            (struct bd_move_target){machine, free, service_cpus, false, NO_IMAGE};
}

/* Seconds until the task's image is on the target; 0 if another move of this tick fetches it. */
static double move_fetch_s(const struct bd_core *core, const struct bd_move_target *target,
                           const struct bd_spec *spec)
{
    return target->fetched_image == spec->image ? 0 : bd_image_fetch_s(core, target->machine, spec);
}

static bool is_cheap_target(const struct bd_core *core, const struct bd_spec *spec,
                            const struct bd_move_target *target)
{
    return !bd_type_is_expensive(core, spec, target->machine->type, target->machine->spot);
}

/* Services on an expensive target without GPU work must use more than min_service_cpus cores. */
static bool target_fits(const struct bd_core *core, const struct bd_spec *spec,
                        const struct bd_move_target *target, const struct bd_machine *source,
                        double min_service_cpus)
{
    const struct bd_machine *machine = target->machine;
    if (machine == source || machine->consolidating || machine->zone != source->zone ||
        bd_resources_fit_count(target->free, spec, 1) == 0 ||
        !bd_placement_allowed(spec, machine->type, machine->zone, machine->spot))
        return false;
    bool is_cheap = is_cheap_target(core, spec, target);
    double fetch_max_s = is_cheap ? FETCH_TO_CHEAP_MAX_S : BD_MOVE_FETCH_MAX_S;
    if (move_fetch_s(core, target, spec) >= fetch_max_s)
        return false;
    return is_cheap || machine->reserved_gpus > 0 || target->service_cpus > min_service_cpus;
}

static double target_score(const struct bd_core *core, const struct bd_spec *spec,
                           const struct bd_move_target *target)
{
    double score = target->machine->reserved_gpus > 0 ? 0 : 1 + target->service_cpus;
    if (is_cheap_target(core, spec, target)) /* a shorter image fetch scores higher */
        score += CHEAP_SCORE * (1 + FETCH_TO_CHEAP_MAX_S - move_fetch_s(core, target, spec));
    return score;
}

struct bd_move_target *bd_move_target_choose(const struct bd_move_targets *targets,
                                             const struct bd_spec *spec,
                                             const struct bd_machine *source,
                                             double min_service_cpus)
{
    struct bd_move_target *best = NULL;
    double highest = -1;
    for (uint32_t i = 0; i < targets->count; i++) {
        struct bd_move_target *target = &targets->items[i];
        if (!target_fits(targets->core, spec, target, source, min_service_cpus))
            continue;
        double score = target_score(targets->core, spec, target);
        if (score > highest) {
            highest = score;
            best = target;
        }
    }
    return best;
}

double bd_move_target_add(const struct bd_core *core, struct bd_move_target *target,
                          const struct bd_spec *spec)
{
    bd_resources_add(&target->free, spec, -1);
    double fetch_s = move_fetch_s(core, target, spec);
    if (bd_image_fetch_s(core, target->machine, spec) > 0)
        target->fetched_image = spec->image;
    return fetch_s;
}

void bd_move_target_undo(struct bd_move_target *target, const struct bd_spec *spec,
                         int fetched_image)
{
    bd_resources_add(&target->free, spec, 1);
    target->fetched_image = fetched_image;
}

bool bd_move_target_is_used(const struct bd_move_targets *targets, const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < targets->count; i++)
        if (targets->items[i].machine == machine)
            return targets->items[i].is_used;
    return false;
}
