/* The cloud's inventory: its machine types, and its list of machines. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include <stdio.h>

#define LIST_LAG_FACTOR 2.0   /* times the list's usual lag */
#define LIST_LAG_MARGIN_S 1.0 /* ... and so much more, until what is missing is gone */

/* ---- machine types ---- */

static uint32_t zones_of_type(struct bd_core *core, const struct bd_machine_type_text *text)
{
    uint32_t zones = 0;
    for (int i = 0; i < text->zone_count; i++) {
        int zone = bd_zone_find_or_add(core, text->zones[i]);
        if (zone >= 0)
            zones |= 1u << zone;
    }
    return zones;
}

static void update_type(struct bd_core *core, const struct bd_machine_type_text *text)
{
    int index = bd_type_find_or_add(core, text->label);
    if (index < 0) {
        bd_log_write(core->log, BD_LOG_ERROR, "machine type %s is one too many", text->label);
        return;
    }
    struct bd_type *type = &core->types[index];
    type->known = true;
    type->cpus = text->cpus;
    type->gpus = text->gpus;
    type->mem = text->mem_gb;
    type->cache_gb = text->cache_gb;
    type->fetch = text->fetch_gb_per_s;
    type->price = text->price;
    type->spot_price = text->spot_price;
    type->boot = text->boot_s;
    type->zones = zones_of_type(core, text);
}

void bd_inventory_types_received(struct bd_core *core, const struct bd_machine_type_text *types,
                                 int n)
{
    for (int i = 0; i < n; i++)
        update_type(core, &types[i]);
    if (n > 0)
        core->types_known = true;
}

/* ---- machines ---- */

static void update_machine(struct bd_core *core, const struct bd_cloud_machine *entry)
{
    struct bd_machine *machine = bd_machine_find_or_add(core, entry->id);
    if (machine->gone)
        return;
    machine->in_inventory = true;
    machine->type = bd_type_find_or_add(core, entry->type);
    machine->zone = bd_zone_find_or_add(core, entry->zone);
    machine->spot = entry->spot;
    machine->known_age_s = entry->age_s;
    machine->age_known_at = core->now;
    if (!*machine->addr)
        snprintf(machine->addr, sizeof machine->addr, "%s", entry->address);
    if (entry->state == BD_CLOUD_MACHINE_FAILED && !machine->failed) {
        machine->failed = true;
        bd_log_write(core->log, BD_LOG_INFO, "%s failed", machine->id);
        bd_machine_release_reservations(core, machine, BD_RELEASE_MACHINE_FAILED);
    }
}

/* A machine that existed at some moment and is missing from a list of a later moment is gone. Lists
 * lag, so that the later moment must be late enough. */
static void remove_if_missing(struct bd_core *core, struct bd_machine *machine,
                              struct timespec asked)
{
    double lag_s = LIST_LAG_FACTOR * bd_to_secs(core->settings->list_lag) + LIST_LAG_MARGIN_S;
    struct timespec existed = bd_time_max(machine->heard, machine->known_at);
    if (machine->gone || machine->in_inventory || bd_seconds_between(existed, asked) < lag_s)
        return;
    bd_log_write(core->log, BD_LOG_INFO, "%s is gone from the inventory, %u tasks lost",
                 machine->id, machine->nreservations);
    bd_machine_mark_gone(core, machine);
}

void bd_inventory_machines_received(struct bd_core *core, const struct bd_cloud_machine *machines,
                                    size_t n, struct timespec asked)
{
    if (core->role != BD_LEADER)
        return;
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->by_index[i]->in_inventory = false;
    for (size_t i = 0; i < n; i++)
        update_machine(core, &machines[i]);
    for (uint32_t i = 0; i < core->nmachines; i++)
        remove_if_missing(core, core->by_index[i], asked);
    core->lead.inventory_read = true;
}
