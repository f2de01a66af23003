/* The disruption budgets that emptying a machine takes. Part of the pure core. */
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_table.h"
#include "wire/wire_jobs.h"

bool bd_drain_can_stop_task(const struct bd_job *job, uint32_t task)
{
    const struct bd_task *state = bd_job_task(job, task);
    bool may_run = state->state == BD_TASK_CONFIRMED || state->state == BD_TASK_LAUNCHING;
    return may_run && !(state->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

uint32_t bd_drain_stop_group_size(struct bd_core *core, const struct bd_job *job, uint32_t task)
{
    if (!bd_ledger_get_job(core, job))
        return 0;
    if (job->spec.kind != BD_JOB_GANG)
        return bd_drain_can_stop_task(job, task);
    uint32_t count = 0;
    for (uint32_t i = 0; i < job->ntasks; i++)
        count += bd_drain_can_stop_task(job, i);
    return count;
}

/* False: the candidate has no slot for another budget. */
static bool add_need(struct bd_drain_candidate *candidate, uint32_t budget, uint32_t tasks)
{
    uint32_t i = 0;
    while (i < candidate->nneeds && candidate->needs[i].budget != budget)
        i++;
    if (i == BD_BUDGET_NEEDS_MAX)
        return false;
    struct bd_budget_need *need = &candidate->needs[i];
    if (i == candidate->nneeds) {
        *need = (struct bd_budget_need){.budget = budget};
        candidate->nneeds++;
    }
    need->tasks += tasks;
    need->largest_group = tasks > need->largest_group ? tasks : need->largest_group;
    return true;
}

/* Whether one of the machine's reservations before `index` belongs to the same gang. */
static bool gang_is_counted(const struct bd_machine *machine, uint32_t index,
                            const struct bd_job *job)
{
    if (job->spec.kind != BD_JOB_GANG)
        return false;
    for (uint32_t i = 0; i < index; i++)
        if (machine->reservations[i].job == job)
            return true;
    return false;
}

/* False: the candidate's tasks draw on too many budgets. */
static bool add_reservation(struct bd_core *core, struct bd_drain_candidate *candidate,
                            uint32_t index)
{
    const struct bd_machine *machine = candidate->machine;
    const struct bd_reservation *reservation = &machine->reservations[index];
    const struct bd_job *job = reservation->job;
    const struct bd_ledger_job *ledger_job = bd_ledger_get_job(core, job);
    uint32_t tasks = gang_is_counted(machine, index, job)
                         ? 0
                         : bd_drain_stop_group_size(core, job, reservation->task->index);
    for (uint32_t i = 0; tasks > 0 && i < ledger_job->nbudgets; i++)
        if (!add_need(candidate, ledger_job->budgets[i], tasks))
            return false;
    candidate->tasks += tasks;
    bd_resources_add(&candidate->task_resources, &job->spec, 1);
    return true;
}

bool bd_drain_candidate_fill(struct bd_core *core, struct bd_drain_candidate *candidate)
{
    candidate->nneeds = candidate->tasks = 0;
    candidate->task_resources = (struct bd_resources){0, 0, 0};
    for (uint32_t i = 0; i < candidate->machine->nreservations; i++)
        if (!add_reservation(core, candidate, i))
            return false;
    return true;
}

void bd_drain_candidate_limit_needs(const struct bd_core *core,
                                    struct bd_drain_candidate *candidate)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++) {
        struct bd_budget_need *need = &candidate->needs[i];
        uint32_t allowed = bd_budget_allowed(&core->ledger->budgets[need->budget]);
        if (need->tasks > allowed && need->largest_group <= allowed)
            need->tasks = allowed;
    }
}
