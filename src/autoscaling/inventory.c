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

/* A machine that is missing from a list counts as terminated if the list was requested at least
 * this multiple of the list's usual lag, plus the margin, after the machine was last known to
 * exist. */
#define LIST_LAG_FACTOR 2.0
#define LIST_LAG_MARGIN_S 1.0

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
        bd_log_write(core->log, BD_LOG_ERROR, "machine type %s ignored: too many types",
                     text->label);
        return;
    }
    struct bd_machine_type *type = &core->types[index];
    type->known = true;
    type->cpus = text->cpus;
    type->gpus = text->gpus;
    type->mem_gb = text->mem_gb;
    type->cache_gb = text->cache_gb;
    type->fetch_gb_per_s = text->fetch_gb_per_s;
    type->price = text->price;
    type->spot_price = text->spot_price;
    type->boot_s = text->boot_s;
    type->zones = zones_of_type(core, text);
}

void bd_inventory_types_received(struct bd_core *core, const struct bd_machine_type_text *types,
                                 int count)
{
    for (int i = 0; i < count; i++)
        update_type(core, &types[i]);
    if (count > 0)
        core->types_known = true;
}

/* ---- machines ---- */

static void update_machine(struct bd_core *core, const struct bd_cloud_machine *entry)
{
    struct bd_machine *machine = bd_machine_find_or_add(core, entry->id);
    if (machine->terminated)
        return;
    machine->in_inventory = true;
    machine->type = bd_type_find_or_add(core, entry->type);
    machine->zone = bd_zone_find_or_add(core, entry->zone);
    machine->spot = entry->spot;
    machine->reported_age_s = entry->age_s;
    machine->age_reported_at = core->now;
    if (!*machine->addr)
        snprintf(machine->addr, sizeof machine->addr, "%s", entry->address);
    if (entry->state == BD_CLOUD_MACHINE_FAILED && !machine->failed) {
        machine->failed = true;
        bd_log_write(core->log, BD_LOG_INFO, "machine %s failed", machine->id);
        bd_machine_release_reservations(core, machine, BD_RELEASE_MACHINE_FAILED);
    }
}

/* Treats a machine that is missing from the list as terminated, unless the list may be too old to
 * contain the machine. */
static void remove_if_missing(struct bd_core *core, struct bd_machine *machine,
                              struct timespec requested_at)
{
    double lag_s = LIST_LAG_FACTOR * bd_to_secs(core->settings->inventory_lag) + LIST_LAG_MARGIN_S;
    struct timespec existed_at = bd_time_max(machine->last_contact_at, machine->first_seen_at);
    if (machine->terminated || machine->in_inventory ||
        bd_seconds_between(existed_at, requested_at) < lag_s)
        return;
    bd_log_write(core->log, BD_LOG_INFO, "machine %s gone from the inventory: %u tasks lost",
                 machine->id, machine->nreservations);
    bd_machine_mark_terminated(core, machine);
}

void bd_inventory_machines_received(struct bd_core *core, const struct bd_cloud_machine *machines,
                                    size_t count, struct timespec requested_at)
{
    if (core->role != BD_LEADER)
        return;
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->machines_by_index[i]->in_inventory = false;
    for (size_t i = 0; i < count; i++)
        update_machine(core, &machines[i]);
    for (uint32_t i = 0; i < core->nmachines; i++)
        remove_if_missing(core, core->machines_by_index[i], requested_at);
    core->lead.inventory_read = true;
}
