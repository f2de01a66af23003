/* Lifetime of the leader's view of the drains, and the order of one tick. */
#include "drain/drain.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain_internal.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include <stdlib.h>

#define TICK_INTERVAL_S 0.5

struct bd_drains *bd_drains_new(const struct bd_settings *settings)
{
    struct bd_drains *drains = calloc(1, sizeof *drains);
    if (!drains)
        return NULL;
    drains->rules = settings->draining;
    return drains;
}

void bd_drains_free(struct bd_drains *drains)
{
    if (!drains)
        return;
    bd_drains_clear(drains);
    free(drains->owners);
    bd_stop_permit_free(&drains->stop_permit);
    free(drains);
}

void bd_drain_leadership_acquired(struct bd_core *core)
{
    if (!core->drains)
        return;
    core->drains->leadership_acquired_at = core->now;
    core->drains->stop_requests = 0;
    bd_stop_permit_begin_term(core);
    bd_ledger_leadership_acquired(core);
    bd_drains_clear(core->drains);
    bd_drain_clear_machine_flags(core);
}

void bd_drain_leadership_lost(struct bd_core *core)
{
    if (!core->drains)
        return;
    bd_ledger_clear(core->ledger);
    bd_drains_clear(core->drains);
    bd_drain_clear_machine_flags(core);
}

static bool any_is_open(const struct bd_drains *drains)
{
    for (const struct bd_drain *drain = drains->drains; drain; drain = drain->hh.next)
        if (bd_drain_is_open(drain))
            return true;
    return false;
}

static void advance_entries(struct bd_core *core)
{
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        bd_drain_advance_entry(core, iterator.drain, entry);
}

/* Whether every machine is in a final stage, and that stage is in the store. */
static bool all_are_recorded_final(const struct bd_drain *drain)
{
    for (uint32_t i = 0; i < drain->nmachines; i++) {
        const struct bd_drain_machine *entry = &drain->machines[i];
        if (!bd_drain_entry_is_final(entry) || entry->recorded_stage != entry->stage)
            return false;
    }
    return true;
}

static void finish_drains(struct bd_core *core)
{
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next) {
        if (!bd_drain_is_open(drain) || !all_are_recorded_final(drain))
            continue;
        drain->is_over = true;
        bd_log_write(core->log, BD_LOG_INFO, "drain %s finished: %u machines in %.0f s",
                     drain->record.name, drain->nmachines,
                     core->wall_s - drain->record.requested_at_s);
    }
}

void bd_drain_tick(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    if (!drains || !bd_leadership_lease_valid(core) ||
        bd_time_is_before(core->now, drains->next_tick_at))
        return;
    drains->next_tick_at = bd_time_add(core->now, bd_secs(TICK_INTERVAL_S));
    bd_drain_update_owners(core);
    if (!any_is_open(drains))
        return;
    advance_entries(core);
    bd_replacements_tick(core);
    bd_stop_permit_renew(core);
    bd_drain_execute_step(core);
    bd_drain_plan_step(core);
    bd_drain_update_mirrors(core);
    finish_drains(core);
    bd_drain_log_summary(core);
}
