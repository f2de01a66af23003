/* Periodic summary of drains and disruption budgets in the log. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"

#define SUMMARY_INTERVAL_S 20.0

static enum bd_drain_wait most_frequent_wait(const uint32_t *waits)
{
    uint32_t most_frequent = 0;
    for (uint32_t wait = 1; wait < BD_DRAIN_WAITS; wait++)
        most_frequent = waits[wait] > waits[most_frequent] ? wait : most_frequent;
    return (enum bd_drain_wait)most_frequent;
}

static void log_drain(const struct bd_core *core, const struct bd_drain *drain)
{
    uint32_t stages[BD_STAGES] = {0}, waits[BD_DRAIN_WAITS] = {0};
    for (uint32_t i = 0; i < drain->nmachines; i++) {
        const struct bd_drain_machine *entry = &drain->machines[i];
        stages[entry->stage]++;
        waits[entry->wait] += entry->stage == BD_STAGE_WAITING;
    }
    enum bd_drain_wait wait = most_frequent_wait(waits);
    bd_log_write(
        core->log, BD_LOG_INFO,
        "drain %s (%s): %u cordoned, %u waiting (%u for %s), %u stopping, %u empty, %u replaced, "
        "%u returned, %u failed",
        drain->record.name, bd_drain_state_name(drain->record.state), stages[BD_STAGE_CORDONED],
        stages[BD_STAGE_WAITING], waits[wait], bd_drain_wait_name(wait), stages[BD_STAGE_STOPPING],
        stages[BD_STAGE_EMPTY], stages[BD_STAGE_REPLACED], stages[BD_STAGE_RETURNED],
        stages[BD_STAGE_FAILED]);
}

static void log_budgets(const struct bd_core *core)
{
    const struct bd_ledger *ledger = core->ledger;
    for (uint32_t i = 0; i < ledger->nbudgets; i++) {
        const struct bd_budget *budget = &ledger->budgets[i];
        if (budget->up + budget->down == 0)
            continue;
        bd_log_write(core->log, BD_LOG_INFO, "budget of %s%s%s: %u up, %u down, %u silent, %u left",
                     bd_budget_team_name(core, budget), *budget->rule->job_class ? ", class " : "",
                     budget->rule->job_class, budget->up, budget->down, budget->unresponsive,
                     bd_budget_remaining(budget));
    }
}

void bd_drain_log_summary(struct bd_core *core)
{
    bool any_is_open = false;
    if (bd_time_is_before(core->now, core->drains->next_summary_at))
        return;
    core->drains->next_summary_at = bd_time_add(core->now, bd_secs(SUMMARY_INTERVAL_S));
    for (const struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next) {
        if (!bd_drain_is_open(drain))
            continue;
        log_drain(core, drain);
        any_is_open = true;
    }
    if (any_is_open)
        log_budgets(core);
}
