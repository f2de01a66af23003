/* The cloud's machine types and its list of machines. Part of the pure core. */
#include "autoscaling/autoscaler_internal.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdio.h>

void bd_inventory_types(struct bd_core *core, const struct bd_type_text *t, int n)
{
    for (int i = 0; i < n; i++) {
        int k = bd_type_index(core, t[i].label);
        if (k < 0) {
            bd_log_write(core->log, BD_LOG_ERROR, "machine type %s is one too many", t[i].label);
            continue;
        }
        struct bd_type *d = &core->types[k];
        d->known = true;
        d->cpus = t[i].cpus;
        d->gpus = t[i].gpus;
        d->mem = t[i].mem;
        d->cache_gb = t[i].cache_gb;
        d->fetch = t[i].fetch;
        d->price = t[i].price;
        d->spot_price = t[i].spot_price;
        d->boot = t[i].boot;
        d->zones = 0;
        for (int z = 0; z < t[i].nzones; z++) {
            int zi = bd_zone_index(core, t[i].zones[z]);
            if (zi >= 0)
                d->zones |= 1u << zi;
        }
    }
    if (n > 0)
        core->types_known = true;
}

/* ---- the list ---- */

static void take_listed(struct bd_core *core, const struct bd_cloud_machine *l)
{
    struct bd_machine *machine = bd_machine_get(core, l->id);
    if (machine->gone)
        return;
    machine->in_inventory = true;
    machine->type = bd_type_index(core, l->type);
    machine->zone = bd_zone_index(core, l->zone);
    machine->spot = l->spot;
    machine->age_at_known = l->age;
    machine->age_known = core->now;
    if (!*machine->addr)
        snprintf(machine->addr, sizeof machine->addr, "%s", l->addr);
    if (l->state == BD_MACHINE_FAILED && !machine->failed) {
        machine->failed = true;
        bd_log_write(core->log, BD_LOG_INFO, "%s failed", machine->id);
        bd_machine_lease_expired(core, machine, BD_RELEASE_MACHINE_FAILED);
    }
}

/* A machine that existed at some moment and is missing from a list of a later moment is gone. */
static void take_missing(struct bd_core *core, struct bd_machine *machine, struct timespec asked)
{
    double lag = 2 * bd_to_secs(core->settings->list_lag) + 1.0;
    struct timespec existed = bd_max(machine->heard, machine->known_at);
    if (machine->gone || machine->in_inventory || bd_between(existed, asked) < lag)
        return;
    bd_log_write(core->log, BD_LOG_INFO, "%s is gone from the inventory, %u tasks lost",
                 machine->id, machine->nreservations);
    bd_machine_gone(core, machine);
}

void bd_inventory_machines(struct bd_core *core, const struct bd_cloud_machine *l, size_t n,
                           struct timespec asked)
{
    if (core->role != BD_LEADER)
        return;
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->by_index[i]->in_inventory = false;
    for (size_t i = 0; i < n; i++)
        take_listed(core, &l[i]);
    for (uint32_t i = 0; i < core->nmachines; i++)
        take_missing(core, core->by_index[i], asked);
    core->lead.inventory_read = true;
}