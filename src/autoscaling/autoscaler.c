/* The autoscaler's tick: evacuation, scale-out, consolidation and scale-in. */
#include "autoscaling/autoscaling.h"
#include "autoscaling/autoscaling_internal.h"
#include "drain/drain.h"
#include "model/core_state.h"
#include "scheduling/scheduling.h"

enum bd_scale_in_policy bd_scale_in_policy_of(const struct bd_machine *machine)
{
    if (machine->cordoned)
        return machine->scale_in_for_drain ? BD_SCALE_IN_NOW : BD_SCALE_IN_NEVER;
    return machine->is_kept_for_drain ? BD_SCALE_IN_NEVER : BD_SCALE_IN_WHEN_IDLE;
}

static void add_drained_task(void *demand, const struct bd_spec *spec)
{
    bd_demand_add_tasks(demand, spec, 1, BD_TIER_ANY);
}

/* Pending tasks are added first, because headroom is the capacity that they leave free. */
static void scale_out(struct bd_core *core)
{
    struct bd_demand demand;
    bd_demand_init(&demand, core);
    bd_demand_add_pending(&demand);
    bd_demand_add_headroom(&demand);
    bd_demand_add_consolidation(&demand);
    bd_drain_visit_demand(core, add_drained_task, &demand);
    bd_provision_for_demand(&demand);
    bd_demand_free(&demand);
}

void bd_autoscaler_tick(struct bd_core *core)
{
    bd_log_fleet_summary(core);
    bd_evacuate_machines(core);
    if (!core->lead.inventory_read)
        return;
    scale_out(core);
    bd_consolidate(core);
    bd_scale_in(core);
}
