/* Which machines are cordoned, kept or scaled in for drains, and which drain controls a machine of
 * several drains. Part of the pure core. */
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/machine.h"
#include <stdlib.h>

bool bd_drain_entry_is_mirror(const struct bd_core *core, const struct bd_drain_machine *entry)
{
    const struct bd_drains *drains = core->drains;
    return entry->machine && entry->machine->index < drains->nowners &&
           drains->owners[entry->machine->index] != entry;
}

void bd_drain_clear_machine_flags(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines; i++) {
        core->machines_by_index[i]->cordoned = false;
        core->machines_by_index[i]->is_kept_for_drain = false;
        core->machines_by_index[i]->scale_in_for_drain = false;
    }
}

/* A machine is scaled in only after the last stage before scale-in is recorded in the store. */
static bool may_scale_in(const struct bd_drain *drain, const struct bd_drain_machine *entry)
{
    enum bd_drain_stage last =
        drain->record.mode == BD_DRAIN_RETIRE ? BD_STAGE_EMPTY : BD_STAGE_REPLACED;
    return entry->stage == last && entry->recorded_stage == last;
}

static void mark_replacement_kept(const struct bd_core *core, const struct bd_drain_machine *entry)
{
    struct bd_machine *replacement =
        *entry->replacement ? bd_drain_find_machine(core, entry->replacement) : NULL;
    if (replacement)
        replacement->is_kept_for_drain = true;
}

/* Cordons the entry's machine. Of several entries of a machine, the first controls the machine. */
static void claim_machine(struct bd_core *core, const struct bd_drain *drain,
                          struct bd_drain_machine *entry)
{
    if (!entry->machine) /* the pointer is valid for the rest of the term */
        entry->machine = bd_drain_find_machine(core, entry->id);
    mark_replacement_kept(core, entry);
    struct bd_machine *machine = entry->machine;
    if (!machine || machine->terminated || machine->cordoned)
        return;
    machine->cordoned = true;
    core->drains->owners[machine->index] = entry;
    machine->scale_in_for_drain = may_scale_in(drain, entry);
}

static void reset_owners(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    free(drains->owners);
    drains->nowners = core->nmachines;
    drains->owners = calloc(core->nmachines + 1, sizeof *drains->owners);
    if (!drains->owners)
        abort();
}

void bd_drain_update_owners(struct bd_core *core)
{
    bd_drain_clear_machine_flags(core);
    reset_owners(core);
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        claim_machine(core, iterator.drain, entry);
}

static void update_mirror(struct bd_core *core, struct bd_drain *drain,
                          struct bd_drain_machine *entry)
{
    if (!entry->machine || !bd_drain_entry_is_mirror(core, entry))
        return;
    const struct bd_drain_machine *owner = core->drains->owners[entry->machine->index];
    if (!owner)
        return;
    entry->replacement[0] = entry->provisioning_request[0] = '\0';
    bd_drain_set_entry_state(core, drain, entry,
                             (struct bd_entry_state){owner->stage, owner->wait, owner->team});
}

void bd_drain_update_mirrors(struct bd_core *core)
{
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        update_mirror(core, iterator.drain, entry);
}
