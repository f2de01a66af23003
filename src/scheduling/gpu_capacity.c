/* Protects capacity that GPU tasks could use from tasks without GPUs.
 *
 * Tasks without GPUs that use the cores and memory of a GPU machine can leave its GPUs idle, and
 * GPUs are most of the machine's price. */
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "scheduling/scheduling_internal.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <string.h>

#define GPU_TASKS_MAX 64u /* counted on one machine */

/* Whether the GPU task can run on such machines and is the largest so far of those that can. */
static bool is_largest_gpu_task(const struct bd_core *core, const struct bd_spec *spec, int type,
                                int spot)
{
    return bd_type_allowed(spec, type) && (spec->spot || !spot) &&
           bd_type_fit_count(&core->types[type], spec, 1) > 0 &&
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
            jobs[i]->npending > 0 && bd_quota_fit_count(core, spec, 1) > 0;
        add_gpu_demand(core, spec);
    }
}

/* Array tasks end and free their capacity, but services do not. Therefore the potential GPU tasks
 * are fitted beside the services and GPU tasks that run on the machine; tasks without GPUs may use
 * only what remains. */
uint32_t bd_fit_count_beside_gpu_tasks(const struct bd_core *core, const struct bd_spec *spec,
                                       const struct bd_machine *machine, uint32_t max_tasks)
{
    const struct bd_spec *gpu_task = &core->cloud.largest_gpu_task[machine->type][machine->spot];
    const struct bd_machine_type *type = &core->types[machine->type];
    if (spec->gpus > 0 || gpu_task->gpus <= 0)
        return max_tasks;
    struct bd_resources for_gpu_tasks = {type->cpus - machine->pinned_cpus,
                                         type->gpus - machine->pinned_gpus,
                                         type->mem_gb - machine->pinned_mem_gb};
    uint32_t gpu_tasks = bd_resources_fit_count(for_gpu_tasks, gpu_task, GPU_TASKS_MAX);
    /* no room for another GPU task: services, and any task beside running GPU tasks, do no harm */
    if (gpu_tasks == 0)
        return machine->reserved_gpus > 0 || spec->kind == BD_JOB_SERVICE ? max_tasks : 0;
    struct bd_resources rest = {type->cpus - machine->reserved_cpus - gpu_tasks * gpu_task->cpus, 0,
                                type->mem_gb - machine->reserved_mem_gb -
                                    gpu_tasks * gpu_task->mem_gb};
    bool is_exceeded = rest.cpus < -BD_RESOURCE_TOLERANCE || rest.mem_gb < -BD_RESOURCE_TOLERANCE;
    return is_exceeded ? 0 : bd_resources_fit_count(rest, spec, max_tasks);
}

bool bd_gpu_use_is_known(const struct bd_core *core, const struct bd_machine *machine)
{
    return core->types[machine->type].gpus <= 0 ||
           core->cloud.largest_gpu_task[machine->type][machine->spot].gpus > 0 ||
           machine->pinned_cpus > 0;
}
