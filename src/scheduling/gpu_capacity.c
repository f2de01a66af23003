/* Protects capacity that GPU work could use from work without GPUs.
 *
 * Cores and memory of a GPU machine that other work takes can leave its GPUs idle, which are most
 * of its price. */
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <string.h>

#define GPU_TASKS_MAX 64u /* that are counted on one machine */

/* Whether the GPU task is the largest so far for such machines. */
static bool is_largest_gpu_task(const struct bd_core *core, const struct bd_spec *spec, int type,
                                int spot)
{
    return bd_type_allowed(spec, type) && (spec->spot || !spot) &&
           spec->gpus <= core->types[type].gpus &&
           spec->gpus >= core->cloud.largest_gpu_task[type][spot].gpus;
}

static void add_gpu_demand(struct bd_core *core, const struct bd_spec *spec)
{
    for (int type = 0; type < core->ntypes; type++)
        for (int spot = 0; spot < 2; spot++)
            if (is_largest_gpu_task(core, spec, type, spot))
                core->cloud.largest_gpu_task[type][spot] = *spec;
}

void bd_gpu_demand_update(struct bd_core *core, struct bd_job **jobs, uint32_t njobs)
{
    memset(core->cloud.largest_gpu_task, 0, sizeof core->cloud.largest_gpu_task);
    core->cloud.has_pending_gpu_work = false;
    for (uint32_t i = 0; i < njobs; i++) {
        const struct bd_spec *spec = &jobs[i]->spec;
        if (spec->gpus <= 0)
            continue;
        core->cloud.has_pending_gpu_work |=
            jobs[i]->npending > 0 && bd_free_quota(core, spec, 1) > 0;
        add_gpu_demand(core, spec);
    }
}

/* Arrays end and free what they hold, services do not: so GPU tasks are fitted beside the services
 * and GPU tasks that run there, and other work may only use what they would leave. */
uint32_t bd_tasks_beside_gpu_work(const struct bd_core *core, const struct bd_spec *spec,
                                  const struct bd_machine *machine, uint32_t most)
{
    const struct bd_spec *gpu_task = &core->cloud.largest_gpu_task[machine->type][machine->spot];
    const struct bd_machine_type *type = &core->types[machine->type];
    if (spec->gpus > 0 || gpu_task->gpus <= 0)
        return most;
    struct bd_resources for_gpu_tasks = {type->cpus - machine->pinned_cpus,
                                         type->gpus - machine->pinned_gpus,
                                         type->mem - machine->pinned_mem_gb};
    uint32_t gpu_tasks = bd_resources_fit_count(for_gpu_tasks, gpu_task, GPU_TASKS_MAX);
    if (gpu_tasks == 0) /* services alone keep GPU work away: more of them do no harm here */
        return machine->reserved_gpus > 0 || spec->kind == BD_JOB_SERVICE ? most : 0;
    struct bd_resources left = {type->cpus - machine->reserved_cpus - gpu_tasks * gpu_task->cpus, 0,
                                type->mem - machine->reserved_mem_gb - gpu_tasks * gpu_task->mem};
    return left.cpus < 0 || left.mem < 0 ? 0 : bd_resources_fit_count(left, spec, most);
}

bool bd_gpu_use_is_known(const struct bd_core *core, const struct bd_machine *machine)
{
    return core->types[machine->type].gpus <= 0 ||
           core->cloud.largest_gpu_task[machine->type][machine->spot].gpus > 0 ||
           machine->pinned_cpus > 0;
}
