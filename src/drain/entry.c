/* Machine entries of drains: iteration, and changes of stage. Part of the pure core. */
#include "brambledoor/log.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include <stdio.h>
#include <string.h>

bool bd_drain_is_open(const struct bd_drain *drain)
{
    return drain->is_loaded && !drain->is_over &&
           (drain->record.state == BD_DRAIN_ACTIVE || drain->record.state == BD_DRAIN_PAUSED);
}

bool bd_drain_entry_is_final(const struct bd_drain_machine *entry)
{
    return entry->stage == BD_STAGE_RETURNED || entry->stage == BD_STAGE_FAILED;
}

bool bd_drain_entry_awaits_step(const struct bd_drain_machine *entry)
{
    return entry->stage == BD_STAGE_CORDONED || entry->stage == BD_STAGE_WAITING;
}

struct bd_machine *bd_drain_find_machine(const struct bd_core *core, const char *id)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(core->machines, id, machine);
    return machine;
}

/* ---- iteration ---- */

struct bd_drain_iterator bd_drain_entries(const struct bd_core *core)
{
    return (struct bd_drain_iterator){.drain = core->drains->drains};
}

struct bd_drain_machine *bd_drain_next_entry(struct bd_drain_iterator *iterator)
{
    while (iterator->drain) {
        struct bd_drain *drain = iterator->drain;
        while (bd_drain_is_open(drain) && iterator->next_machine < drain->nmachines) {
            struct bd_drain_machine *entry = &drain->machines[iterator->next_machine++];
            if (!bd_drain_entry_is_final(entry))
                return entry;
        }
        iterator->drain = drain->hh.next;
        iterator->next_machine = 0;
    }
    return NULL;
}

/* ---- changes ---- */

/* Returns the record part that holds the entry, or NULL. */
static struct bd_drain_part *find_part(struct bd_drain *drain, const struct bd_drain_machine *entry)
{
    uint32_t index = (uint32_t)(entry - drain->machines);
    for (uint32_t i = 0; i < drain->record.nparts; i++) {
        struct bd_drain_part *part = &drain->parts[i];
        if (index >= part->first_machine && index < part->first_machine + part->nmachines)
            return part;
    }
    return NULL;
}

void bd_drain_mark_entry_urgent(struct bd_drain *drain, const struct bd_drain_machine *entry)
{
    struct bd_drain_part *part = find_part(drain, entry);
    if (part)
        part->is_dirty = part->is_urgent = true;
}

static void mark_entry_dirty(struct bd_drain *drain, const struct bd_drain_machine *entry)
{
    struct bd_drain_part *part = find_part(drain, entry);
    if (part)
        part->is_dirty = true;
}

void bd_drain_set_entry_state(struct bd_core *core, struct bd_drain *drain,
                              struct bd_drain_machine *entry, struct bd_entry_state state)
{
    bool stage_changes = entry->stage != state.stage;
    if (!stage_changes && entry->wait == state.wait && strcmp(entry->team, state.team) == 0)
        return;
    entry->stage = state.stage;
    entry->wait = state.wait;
    snprintf(entry->team, sizeof entry->team, "%s", state.team);
    entry->state_since_s = core->wall_s;
    if (stage_changes) {
        bd_drain_mark_entry_urgent(drain, entry);
        core->lead.cycle_wanted = true;
    } else {
        mark_entry_dirty(drain, entry);
    }
    bd_log_write(core->log, stage_changes ? BD_LOG_INFO : BD_LOG_DEBUG,
                 "drain %s: %s is %s%s%s%s%s", drain->record.name, entry->id,
                 bd_drain_stage_name(entry->stage), entry->wait ? ", waits for " : "",
                 bd_drain_wait_name(entry->wait), *entry->team ? " of " : "", entry->team);
}

void bd_drain_set_entry_waiting(struct bd_core *core, struct bd_drain *drain,
                                struct bd_drain_machine *entry, enum bd_drain_wait wait,
                                const char *team)
{
    bd_drain_set_entry_state(core, drain, entry,
                             (struct bd_entry_state){BD_STAGE_WAITING, wait, team});
}
