/* Shared by the files of autoscaling/ only. */
#ifndef BD_AUTOSCALING_INTERNAL_H
#define BD_AUTOSCALING_INTERNAL_H
#include "autoscaling/autoscaling.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"

/* ---- demand (demand.c) ---- */

/* Capacity to pack tasks into: a machine that is up, one that is coming, or one to be requested. */
struct bd_capacity_bin {
    int type, zone;
    bool spot;
    bool is_wanted;             /* to be requested */
    struct bd_machine *machine; /* NULL: not up */
    struct bd_resources free;
};

/* What tasks need of the cloud, by bin packing. Lives for one tick. */
struct bd_demand {
    struct bd_core *core;
    struct bd_capacity_bin *bins; /* move when one is added */
    int nbins, bins_cap;
    double machines_in_zone[BD_ZONES_MAX];
    double team_cpus[BD_TEAMS_MAX], team_gpus[BD_TEAMS_MAX]; /* in use, with what is wanted */
};

struct bd_pool_choice {
    int type, zone;
    bool spot;
};

/* Begins with the capacity that is coming. */
void bd_demand_init(struct bd_demand *demand, struct bd_core *core);
void bd_demand_free(struct bd_demand *demand);
/* Adds the free capacity of the machines that are up, those in use first. */
void bd_demand_add_free_capacity(struct bd_demand *demand);
/* Adds the pending tasks of all jobs, within their teams' quotas. */
void bd_demand_add_pending(struct bd_demand *demand);
/* Adds n tasks. Machines with free capacity that takes some of them become headroom. */
void bd_demand_add_tasks(struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                         enum bd_cost_tier cost_tier);
/* The cheapest pool for n such tasks within the tier. False: none is open. */
bool bd_demand_choose_pool(const struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                           enum bd_cost_tier cost_tier, struct bd_pool_choice *out);

/* ---- headroom (headroom.c) ---- */

/* Adds the tasks that are expected to arrive before a new machine could serve them. */
void bd_demand_add_headroom(struct bd_demand *demand);

/* ---- provisioning (provisioning.c) ---- */

/* Requests the machines that the demand wants. */
void bd_provision_for_demand(struct bd_demand *demand);

/* ---- boot (boot.c) ---- */

/* Whether the machine boots, and can still be counted on. */
bool bd_boot_is_expected(const struct bd_core *core, const struct bd_machine *machine);
/* Whether the machine has booted for so long that it is given up. */
bool bd_boot_has_timed_out(const struct bd_core *core, const struct bd_machine *machine);

/* ---- scale in (scale_in.c) ---- */

/* When a machine that holds nothing may be scaled in, as far as drains decide. */
enum bd_scale_in_policy { BD_SCALE_IN_NEVER, BD_SCALE_IN_NOW, BD_SCALE_IN_WHEN_IDLE };

/* By drains (autoscaler.c). */
enum bd_scale_in_policy bd_scale_in_policy_of(const struct bd_machine *machine);
/* Gives back the machines that are not needed. */
void bd_scale_in(struct bd_core *core);

/* ---- evacuation (evacuation.c) ---- */

/* Stops tasks on machines that the cloud takes back or that are quarantined. */
void bd_evacuate_machines(struct bd_core *core);

/* ---- consolidation (consolidation.c) ---- */

/* Cores of services that alone keep GPU work from an expensive machine; 0: none do. */
double bd_blocking_service_cpus(const struct bd_core *core, const struct bd_machine *machine);
/* Adds cheap capacity for the services on expensive machines: they are not pending, so that no
 * other demand shows it. */
void bd_demand_add_consolidation(struct bd_demand *demand);
/* Moves services off expensive machines, as far as the budget for moves goes. */
void bd_consolidate(struct bd_core *core);

/* ---- log (fleet_summary.c) ---- */

/* Logs how many machines of each type are up and what they are used for, at intervals. */
void bd_log_fleet_summary(struct bd_core *core);
#endif
