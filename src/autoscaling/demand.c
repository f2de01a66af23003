/* Demand: packs tasks into machines that are up, booting or requested, and then into new machines
 * of the cheapest pools, which are to be requested. */
#include "autoscaling/autoscaling.h"
#include "autoscaling/autoscaling_internal.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BINS_CAPACITY_INITIAL 256
#define ON_DEMAND_PRICE_FACTOR 2.0 /* for tasks that may use spot: leaves on-demand to others */
#define ZONE_PRICE_FACTOR 1e-6     /* for each machine in the zone: prefers emptier zones */
#define PRICE_TOLERANCE 1e-12

/* ---- bins ---- */

static struct bd_capacity_bin *add_bin(struct bd_demand *demand, int type, int zone, bool spot)
{
    if (demand->nbins == demand->bins_cap) {
        int cap = demand->bins_cap ? demand->bins_cap * 2 : BINS_CAPACITY_INITIAL;
        struct bd_capacity_bin *bins = realloc(demand->bins, (size_t)cap * sizeof *bins);
        if (!bins)
            abort();
        demand->bins = bins;
        demand->bins_cap = cap;
    }
    const struct bd_machine_type *machine_type = &demand->core->types[type];
    struct bd_capacity_bin *bin = &demand->bins[demand->nbins++];
    *bin = (struct bd_capacity_bin){
        .type = type,
        .zone = zone,
        .spot = spot,
        .free = {machine_type->cpus, machine_type->gpus, machine_type->mem_gb}};
    return bin;
}

/* Packs up to count tasks into the bin. Returns how many fit. */
static uint32_t fill_bin(struct bd_capacity_bin *bin, const struct bd_spec *spec, uint32_t count)
{
    if (!bd_resources_fit(&bin->free, spec))
        return 0;
    uint32_t packed = bd_resources_fit_count(bin->free, spec, count);
    bd_resources_add(&bin->free, spec, -(double)packed);
    return packed;
}

/* ---- existing and upcoming capacity ---- */

static void count_machines_in_zones(struct bd_demand *demand)
{
    for (uint32_t i = 0; i < demand->core->nmachines; i++) {
        const struct bd_machine *machine = demand->core->machines_by_index[i];
        if (!machine->terminated && machine->zone >= 0)
            demand->machines_in_zone[machine->zone]++;
    }
}

static void add_booting_machines(struct bd_demand *demand)
{
    const struct bd_core *core = demand->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (bd_boot_is_expected(core, machine))
            (void)add_bin(demand, machine->type, machine->zone, machine->spot);
    }
}

static void add_requested_machines(struct bd_demand *demand)
{
    const struct bd_cloud_view *cloud = &demand->core->cloud;
    for (int i = 0; i < cloud->nprovision_requests; i++) {
        const struct bd_provision_request_state *request = &cloud->provision_requests[i];
        for (int j = 0; j < request->count; j++)
            (void)add_bin(demand, request->type, request->zone, request->spot);
    }
}

void bd_demand_init(struct bd_demand *demand, struct bd_core *core)
{
    *demand = (struct bd_demand){.core = core};
    memcpy(demand->team_cpus, core->team_cpus, sizeof demand->team_cpus);
    memcpy(demand->team_gpus, core->team_gpus, sizeof demand->team_gpus);
    count_machines_in_zones(demand);
    add_booting_machines(demand);
    add_requested_machines(demand);
}

void bd_demand_free(struct bd_demand *demand)
{
    free(demand->bins);
}

enum machine_use { MACHINE_IN_USE, MACHINE_IDLE };

static void add_usable_machines(struct bd_demand *demand, enum machine_use use)
{
    struct bd_core *core = demand->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        bool is_idle = machine->nreservations == 0;
        if (is_idle != (use == MACHINE_IDLE) || !bd_machine_is_usable(core, machine))
            continue;
        struct bd_capacity_bin *bin = add_bin(demand, machine->type, machine->zone, machine->spot);
        bin->machine = machine;
        bin->free = bd_machine_free_resources(core, machine);
    }
}

void bd_demand_add_free_capacity(struct bd_demand *demand)
{
    add_usable_machines(demand, MACHINE_IN_USE);
    add_usable_machines(demand, MACHINE_IDLE);
}

/* ---- the cheapest pool ---- */

static bool pool_is_open(const struct bd_core *core, const struct bd_spec *spec, int type, int zone,
                         bool spot)
{
    return core->types[type].zones >> zone & 1 && bd_placement_allowed(spec, type, zone, spot) &&
           !bd_time_is_before(core->now, core->cloud.pools[type][zone][spot].next_request_at);
}

/* The price per hour and task on a machine that runs per_machine tasks, weighted by preference. */
static double pool_price(const struct bd_demand *demand, const struct bd_spec *spec, int type,
                         int zone, bool spot, uint32_t per_machine)
{
    const struct bd_machine_type *machine_type = &demand->core->types[type];
    double price = (spot ? machine_type->spot_price : machine_type->price) / per_machine;
    if (spec->spot && !spot)
        price *= ON_DEMAND_PRICE_FACTOR;
    price *= 1 + ZONE_PRICE_FACTOR * demand->machines_in_zone[zone];
    return price;
}

bool bd_demand_choose_pool(const struct bd_demand *demand, const struct bd_spec *spec,
                           uint32_t count, enum bd_cost_tier cost_tier, struct bd_pool_choice *out)
{
    const struct bd_core *core = demand->core;
    double lowest_price = INFINITY;
    bool is_in_tier[BD_TYPES_MAX][2];
    bd_find_types_in_cost_tier(core, spec, cost_tier, is_in_tier);
    for (int type = 0; type < core->ntypes; type++) {
        uint32_t per_machine = bd_type_fit_count(&core->types[type], spec, count);
        if (per_machine == 0)
            continue;
        for (int zone = 0; zone < core->nzones; zone++) {
            for (int spot = 0; spot < 2; spot++) {
                if (!is_in_tier[type][spot] || !pool_is_open(core, spec, type, zone, spot))
                    continue;
                double price = pool_price(demand, spec, type, zone, spot, per_machine);
                if (price < lowest_price - PRICE_TOLERANCE) {
                    lowest_price = price;
                    *out = (struct bd_pool_choice){type, zone, spot};
                }
            }
        }
    }
    return lowest_price < INFINITY;
}

/* ---- tasks ---- */

static uint32_t pack_into_bins(struct bd_demand *demand, const struct bd_spec *spec, uint32_t count,
                               enum bd_cost_tier cost_tier)
{
    bool is_in_tier[BD_TYPES_MAX][2];
    bd_find_types_in_cost_tier(demand->core, spec, cost_tier, is_in_tier);
    for (int i = 0; i < demand->nbins && count > 0; i++) {
        struct bd_capacity_bin *bin = &demand->bins[i];
        if (!is_in_tier[bin->type][bin->spot] ||
            !bd_placement_allowed(spec, bin->type, bin->zone, bin->spot))
            continue;
        uint32_t packed = fill_bin(bin, spec, count);
        count -= packed;
        if (packed > 0 && bin->machine)
            bin->machine->is_headroom = true;
    }
    return count;
}

/* Packs up to count tasks into a machine of the pool that is to be requested. Returns how many are
 * packed, or wait for later requests since the pool's new machines are at their maximum. */
static uint32_t pack_into_new_machine(struct bd_demand *demand, const struct bd_spec *spec,
                                      uint32_t count, const struct bd_pool_choice *pool)
{
    int *new_machines = &demand->new_machines[pool->type][pool->zone][pool->spot];
    if (*new_machines == BD_POOL_NEW_MACHINES_MAX)
        return count;
    ++*new_machines;
    struct bd_capacity_bin *bin = add_bin(demand, pool->type, pool->zone, pool->spot);
    bin->needs_request = true;
    return fill_bin(bin, spec, count);
}

/* Packs count tasks into the bins, and then into machines to be requested. Returns how many fit
 * nowhere within the tier. */
static uint32_t pack_within_tier(struct bd_demand *demand, const struct bd_spec *spec,
                                 uint32_t count, enum bd_cost_tier cost_tier)
{
    struct bd_pool_choice pool = {0};
    uint32_t packed = 1;
    count = pack_into_bins(demand, spec, count, cost_tier);
    while (count > 0 && packed > 0 &&
           bd_demand_choose_pool(demand, spec, count, cost_tier, &pool)) {
        packed = pack_into_new_machine(demand, spec, count, &pool);
        count -= packed;
    }
    return count;
}

/* Tasks that may run on expensive machines are still packed into cheap ones first, even if these
 * must be requested: expensive machines that are booting are for work that needs them. */
void bd_demand_add_tasks(struct bd_demand *demand, const struct bd_spec *spec, uint32_t count,
                         enum bd_cost_tier cost_tier)
{
    if (cost_tier == BD_TIER_ANY)
        count = pack_within_tier(demand, spec, count, BD_TIER_CHEAP);
    (void)pack_within_tier(demand, spec, count, cost_tier);
}

/* Returns how many of count tasks the team's quota allows, and counts these as in use. */
static uint32_t take_quota(struct bd_demand *demand, const struct bd_spec *spec, uint32_t count)
{
    int team = spec->team;
    count = bd_team_quota_fit_count(&demand->core->settings->teams[team], demand->team_cpus[team],
                                    demand->team_gpus[team], spec, count);
    demand->team_cpus[team] += count * spec->cpus;
    demand->team_gpus[team] += count * spec->gpus;
    return count;
}

void bd_demand_add_pending(struct bd_demand *demand)
{
    struct bd_core *core = demand->core;
    struct bd_job **jobs = NULL;
    uint32_t njobs = bd_jobs_in_scheduling_order(core, &jobs);
    for (uint32_t i = 0; i < njobs; i++) {
        const struct bd_job *job = jobs[i];
        if (job->npending == 0 || !bd_time_is_before(job->placement_backoff_until, core->now))
            continue;
        uint32_t count = take_quota(demand, &job->spec, job->npending);
        bd_demand_add_tasks(demand, &job->spec, count, bd_job_cost_tier(core, job));
    }
    free(jobs);
}
