/* Queries by other packages. Part of the pure core. */
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include <string.h>

bool bd_drain_budgets_allow(struct bd_core *core, struct bd_machine *machine)
{
    if (!core->drains)
        return true;
    struct bd_drain_candidate candidate = {.machine = machine};
    bd_ledger_update_unresponsive(core);
    if (!bd_drain_candidate_fill(core, &candidate))
        return false;
    for (uint32_t i = 0; i < candidate.nneeds; i++) {
        const struct bd_budget_need *need = &candidate.needs[i];
        if (need->tasks > bd_budget_remaining(&core->ledger->budgets[need->budget]))
            return false;
    }
    return true;
}

bool bd_drain_copy_entry(const struct bd_core *core, const char *name, const char *machine,
                         struct bd_drain_machine *out)
{
    struct bd_drain *drain = NULL;
    if (core->drains)
        HASH_FIND_STR(core->drains->drains, name, drain);
    for (uint32_t i = 0; drain && i < drain->nmachines; i++) {
        if (strcmp(drain->machines[i].id, machine) != 0)
            continue;
        *out = drain->machines[i];
        return true;
    }
    return false;
}

void bd_drain_visit_demand(struct bd_core *core,
                           void (*visit)(void *arg, const struct bd_spec *spec), void *arg)
{
    if (!core->drains)
        return;
    uint32_t visited_machines = 0;
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    const struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator))) {
        const struct bd_machine *machine = entry->machine;
        if (entry->wait != BD_DRAIN_WAIT_CAPACITY || !machine)
            continue;
        if (visited_machines++ == core->drains->rules->machines_in_step)
            return;
        for (uint32_t i = 0; i < machine->nreservations; i++)
            visit(arg, &machine->reservations[i].job->spec);
    }
}
