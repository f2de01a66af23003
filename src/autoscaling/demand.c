/* Demand: packs tasks into the capacity that is there or coming, and then into machines of the
 * cheapest pools, which are to be requested. */
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

#define BINS_CAPACITY_FIRST 256
#define ON_DEMAND_PRICE_FACTOR 2.0 /* leaves on-demand machines to work that may not use spot */
#define ZONE_PRICE_FACTOR 1e-6     /* for each machine there: the emptier zone of equals */
#define PRICE_ROUNDING 1e-12
#define ROUNDING 1e-9 /* of amounts */

/* ---- bins ---- */

static struct bd_capacity_bin *add_bin(struct bd_demand *demand, int type, int zone, bool spot)
{
    if (demand->nbins == demand->bins_cap) {
        int cap = demand->bins_cap ? demand->bins_cap * 2 : BINS_CAPACITY_FIRST;
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
        .free = {machine_type->cpus, machine_type->gpus, machine_type->mem}};
    return bin;
}

static bool bin_fits(const struct bd_capacity_bin *bin, const struct bd_spec *spec)
{
    return spec->cpus <= bin->free.cpus + ROUNDING && spec->gpus <= bin->free.gpus + ROUNDING &&
           spec->mem <= bin->free.mem + ROUNDING;
}

/* Packs up to n tasks into the bin; returns how many it takes. */
static uint32_t fill_bin(struct bd_capacity_bin *bin, const struct bd_spec *spec, uint32_t n)
{
    uint32_t taken = 0;
    while (taken < n && bin_fits(bin, spec)) {
        bd_resources_add(&bin->free, spec, -1);
        taken++;
    }
    return taken;
}

/* ---- capacity that is there or coming ---- */

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
        for (int n = 0; n < request->count; n++)
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

/* Of one task, where a machine of the pool runs n of them. */
static double pool_price(const struct bd_demand *demand, const struct bd_spec *spec, int type,
                         int zone, bool spot, int n)
{
    const struct bd_machine_type *machine_type = &demand->core->types[type];
    double price = (spot ? machine_type->spot_price : machine_type->price) / n;
    if (spec->spot && !spot)
        price *= ON_DEMAND_PRICE_FACTOR;
    price *= 1 + ZONE_PRICE_FACTOR * demand->machines_in_zone[zone];
    return price;
}

/* Tasks of n that one machine of the type would run. */
static int tasks_per_machine(const struct bd_core *core, const struct bd_spec *spec, int type,
                             uint32_t n)
{
    if (!core->types[type].known)
        return 0;
    int fitting = bd_tasks_per_machine(&core->types[type], spec);
    if (fitting < 1)
        return 0;
    return (uint32_t)fitting < n ? fitting : (int)n;
}

bool bd_demand_choose_pool(const struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                           enum bd_cost_tier cost_tier, struct bd_pool_choice *out)
{
    const struct bd_core *core = demand->core;
    double lowest = INFINITY;
    bool is_in_tier[BD_TYPES_MAX][2];
    bd_find_types_in_cost_tier(core, spec, cost_tier, is_in_tier);
    for (int type = 0; type < core->ntypes; type++) {
        int per_machine = tasks_per_machine(core, spec, type, n);
        if (per_machine == 0)
            continue;
        for (int zone = 0; zone < core->nzones; zone++) {
            for (int spot = 0; spot < 2; spot++) {
                if (!is_in_tier[type][spot] || !pool_is_open(core, spec, type, zone, spot))
                    continue;
                double price = pool_price(demand, spec, type, zone, spot, per_machine);
                if (price < lowest - PRICE_ROUNDING) {
                    lowest = price;
                    *out = (struct bd_pool_choice){type, zone, spot};
                }
            }
        }
    }
    return lowest < INFINITY;
}

/* ---- tasks ---- */

static uint32_t pack_into_bins(struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                               enum bd_cost_tier cost_tier)
{
    bool is_in_tier[BD_TYPES_MAX][2];
    bd_find_types_in_cost_tier(demand->core, spec, cost_tier, is_in_tier);
    for (int i = 0; i < demand->nbins && n > 0; i++) {
        struct bd_capacity_bin *bin = &demand->bins[i];
        if (!is_in_tier[bin->type][bin->spot] || !bin_fits(bin, spec) ||
            !bd_placement_allowed(spec, bin->type, bin->zone, bin->spot))
            continue;
        n -= fill_bin(bin, spec, n);
        if (bin->machine)
            bin->machine->is_headroom = true;
    }
    return n;
}

/* Packs n tasks into the bins, and then into machines to be requested; returns how many found no
 * capacity within the tier. */
static uint32_t pack_within_tier(struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                                 enum bd_cost_tier cost_tier)
{
    struct bd_pool_choice pool = {0};
    n = pack_into_bins(demand, spec, n, cost_tier);
    while (n > 0 && bd_demand_choose_pool(demand, spec, n, cost_tier, &pool)) {
        struct bd_capacity_bin *bin = add_bin(demand, pool.type, pool.zone, pool.spot);
        bin->is_wanted = true;
        n -= fill_bin(bin, spec, n);
    }
    return n;
}

/* A job that may have an expensive place by now still gets a cheap one requested where there is
 * one: expensive machines on their way are for work that needs them. */
void bd_demand_add_tasks(struct bd_demand *demand, const struct bd_spec *spec, uint32_t n,
                         enum bd_cost_tier cost_tier)
{
    if (cost_tier == BD_TIER_ANY)
        n = pack_within_tier(demand, spec, n, BD_TIER_CHEAP);
    (void)pack_within_tier(demand, spec, n, cost_tier);
}

/* How many of n tasks the team's quota allows; they count as in use from here on. */
static uint32_t take_quota(struct bd_demand *demand, const struct bd_spec *spec, uint32_t n)
{
    int team = spec->team;
    n = bd_team_free_quota(&demand->core->settings->teams[team], demand->team_cpus[team],
                           demand->team_gpus[team], spec, n);
    demand->team_cpus[team] += n * spec->cpus;
    demand->team_gpus[team] += n * spec->gpus;
    return n;
}

void bd_demand_add_pending(struct bd_demand *demand)
{
    struct bd_core *core = demand->core;
    struct bd_job **jobs = NULL;
    uint32_t njobs = bd_jobs_in_order(core, &jobs);
    for (uint32_t i = 0; i < njobs; i++) {
        const struct bd_job *job = jobs[i];
        if (job->npending == 0 || !bd_time_is_before(job->placement_backoff_until, core->now))
            continue;
        uint32_t n = take_quota(demand, &job->spec, job->npending);
        bd_demand_add_tasks(demand, &job->spec, n, bd_cost_tier_of(core, job));
    }
    free(jobs);
}
