/* Shared by the files of autoscaling/ only. */
#ifndef BD_AUTOSCALING_INTERNAL_H
#define BD_AUTOSCALING_INTERNAL_H
#include "autoscaling/autoscaling.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"

/* ---- demand (demand.c) ---- */

/* New machines that demand plans in a pool in one tick: more than the requests of several ticks
 * carry. Later ticks plan the machines for the rest of the tasks. */
#define BD_POOL_NEW_MACHINES_MAX 150

/* Capacity to pack tasks into: a machine that is up, booting, requested or to be requested. */
struct bd_capacity_bin {
    int type, zone;
    bool spot;
    bool needs_request;         /* not requested from the cloud yet */
    struct bd_machine *machine; /* NULL: not up */
    struct bd_resources free;
};

/* The machines that tasks need from the cloud, found by bin packing. Lives for one tick. */
struct bd_demand {
    struct bd_core *core;
    struct bd_capacity_bin *bins; /* owned; adding one may reallocate them */
    int nbins, bins_cap;
    int new_machines[BD_TYPES_MAX][BD_ZONES_MAX][2]; /* bins that need a request, by pool */
    double machines_in_zone[BD_ZONES_MAX];
    double team_cpus[BD_TEAMS_MAX], team_gpus[BD_TEAMS_MAX]; /* in use, plus added pending tasks */
};

struct bd_pool_choice {
    int type, zone;
    bool spot;
};

/* Starts with the machines that are booting or requested. */
void bd_demand_init(struct bd_demand *demand, struct bd_core *core);
void bd_demand_free(struct bd_demand *demand);
/* Adds the free capacity of the machines that are up: machines in use first, then idle ones. */
void bd_demand_add_free_capacity(struct bd_demand *demand);
/* Adds the pending tasks of all jobs, up to their teams' quotas. */
void bd_demand_add_pending(struct bd_demand *demand);
/* Adds `count` tasks. Machines that are up and get some of them become headroom. */
void bd_demand_add_tasks(struct bd_demand *demand, const struct bd_spec *spec, uint32_t count,
                         enum bd_cost_tier cost_tier);
/* Chooses the cheapest pool within the tier for `count` tasks. False: no pool is open. */
bool bd_demand_choose_pool(const struct bd_demand *demand, const struct bd_spec *spec,
                           uint32_t count, enum bd_cost_tier cost_tier, struct bd_pool_choice *out);

/* ---- headroom (headroom.c) ---- */

/* Adds the tasks that are expected to arrive before a new machine could serve them. */
void bd_demand_add_headroom(struct bd_demand *demand);

/* ---- provisioning (provisioning.c) ---- */

/* Requests the machines of the bins that need a request. */
void bd_provision_for_demand(struct bd_demand *demand);

/* ---- boot (boot.c) ---- */

/* Whether the machine is booting and still counts as upcoming capacity. */
bool bd_boot_is_expected(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the machine has been booting for so long that it is returned to the cloud. */
bool bd_boot_has_timed_out(const struct bd_core *core, const struct bd_machine *machine);

/* ---- scale-in (scale_in.c) ---- */

/* What drains decide about scaling in a machine without reservations. */
enum bd_scale_in_policy { BD_SCALE_IN_NEVER, BD_SCALE_IN_NOW, BD_SCALE_IN_WHEN_IDLE };

/* The policy that drains set for the machine (autoscaler.c). */
enum bd_scale_in_policy bd_scale_in_policy_of(const struct bd_machine *machine);
/* Returns the machines that are not needed to the cloud. */
void bd_scale_in(struct bd_core *core);

/* ---- evacuation (evacuation.c) ---- */

/* Stops tasks on machines that the cloud reclaims or that are quarantined. */
void bd_evacuate_machines(struct bd_core *core);

/* ---- consolidation (consolidation.c) ---- */

/* CPU cores that services block on an expensive machine without GPU tasks; 0: none. */
double bd_blocking_service_cpus(const struct bd_core *core, const struct bd_machine *machine);
/* Adds demand for cheap capacity for the services on expensive machines. These services are not
 * pending, so no other demand includes them. */
void bd_demand_add_consolidation(struct bd_demand *demand);
/* Moves services off expensive machines, within the budget for moves. */
void bd_consolidate(struct bd_core *core);

/* ---- log (fleet_summary.c) ---- */

/* Logs at intervals how many machines of each type are up and what they run. */
void bd_log_fleet_summary(struct bd_core *core);
#endif
