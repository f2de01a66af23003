/* What emptying a machine would take: its tasks by budget, and the room that they need elsewhere.
 * Part of the pure core. */
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <stdlib.h>

/* ---- needs ---- */

static bool add_need(struct bd_candidate *candidate, uint32_t budget, uint32_t tasks)
{
    struct bd_need *need = candidate->needs;
    uint32_t i = 0;
    while (i < candidate->nneeds && need[i].budget != budget)
        i++;
    if (i == BD_NEEDS_MAX)
        return false;
    if (i == candidate->nneeds)
        need[candidate->nneeds++] = (struct bd_need){.budget = budget};
    need[i].tasks += tasks;
    need[i].largest = tasks > need[i].largest ? tasks : need[i].largest;
    return true;
}

bool bd_candidate_stoppable(const struct bd_job *job, uint32_t i)
{
    const struct bd_task *task = &job->tasks[i];
    bool holds = task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING;
    return holds && !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

uint32_t bd_candidate_falls(struct bd_core *core, const struct bd_job *job, uint32_t task)
{
    const struct bd_ledger_job *entry = bd_ledger_job_of(core, job);
    uint32_t n = 0;
    if (!entry)
        return 0;
    if (job->spec.kind != BD_JOB_GANG)
        return bd_candidate_stoppable(job, task);
    for (uint32_t i = 0; i < job->ntasks; i++)
        n += bd_candidate_stoppable(job, i);
    return n;
}

static bool gang_was_counted(const struct bd_machine *machine, uint32_t before,
                             const struct bd_job *job)
{
    for (uint32_t k = 0; job->spec.kind == BD_JOB_GANG && k < before; k++)
        if (machine->reservations[k].job == job)
            return true;
    return false;
}

static bool add_task(struct bd_core *core, struct bd_candidate *candidate, uint32_t k)
{
    const struct bd_machine *machine = candidate->machine;
    const struct bd_job *job = machine->reservations[k].job;
    const struct bd_ledger_job *entry = bd_ledger_job_of(core, job);
    bool counted = gang_was_counted(machine, k, job);
    uint32_t falls = counted ? 0 : bd_candidate_falls(core, job, machine->reservations[k].task);
    for (uint32_t i = 0; falls > 0 && i < entry->nbudgets; i++)
        if (!add_need(candidate, entry->budgets[i], falls))
            return false;
    candidate->tasks += falls;
    bd_resources_add(&candidate->moves, &job->spec, 1);
    return true;
}

void bd_candidate_clip(const struct bd_core *core, struct bd_candidate *candidate)
{
    for (uint32_t i = 0; i < candidate->nneeds; i++) {
        struct bd_need *need = &candidate->needs[i];
        uint32_t most = bd_budget_allowed(&core->ledger->budgets[need->budget]);
        if (need->tasks > most && need->largest <= most)
            need->tasks = most;
    }
}

bool bd_candidate_fill(struct bd_core *core, struct bd_candidate *candidate)
{
    candidate->nneeds = candidate->tasks = 0;
    candidate->moves = (struct bd_resources){0, 0, 0};
    for (uint32_t k = 0; k < candidate->machine->nreservations; k++)
        if (!add_task(core, candidate, k))
            return false;
    return true;
}

/* ---- room ---- */

void bd_bins_fill(struct bd_core *core, struct bd_bins *bins)
{
    bins->n = 0;
    bins->bins = calloc(core->nmachines + 1, sizeof *bins->bins);
    if (!bins->bins)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!bd_machine_usable(core, machine))
            continue;
        bins->bins[bins->n++] = (struct bd_bin){machine, bd_machine_free(core, machine)};
    }
}

void bd_bins_free(struct bd_bins *bins)
{
    free(bins->bins);
    bins->bins = NULL;
    bins->n = 0;
}

struct bd_resources bd_bins_total(const struct bd_bins *bins)
{
    struct bd_resources sum = {0, 0, 0};
    for (uint32_t i = 0; i < bins->n; i++) {
        sum.cpus += bins->bins[i].capacity.cpus;
        sum.gpus += bins->bins[i].capacity.gpus;
        sum.mem += bins->bins[i].capacity.mem;
    }
    return sum;
}

static bool fits(const struct bd_bin *bin, const struct bd_spec *spec)
{
    return bd_allowed(spec, bin->machine->type, bin->machine->zone, bin->machine->spot) &&
           bd_resources_fit(bin->capacity, spec, 1) > 0;
}

static struct bd_bin *first_fit(struct bd_bins *bins, const struct bd_spec *spec)
{
    for (uint32_t i = 0; i < bins->n; i++)
        if (fits(&bins->bins[i], spec))
            return &bins->bins[i];
    return NULL;
}

bool bd_bins_take(struct bd_bins *bins, const struct bd_candidate *candidate)
{
    const struct bd_machine *machine = candidate->machine;
    struct bd_bin **took = calloc(machine->nreservations + 1, sizeof(struct bd_bin *));
    if (!took)
        abort();
    uint32_t n = 0;
    while (n < machine->nreservations &&
           (took[n] = first_fit(bins, &machine->reservations[n].job->spec))) {
        bd_resources_add(&took[n]->capacity, &machine->reservations[n].job->spec, -1);
        n++;
    }
    bool all = n == machine->nreservations;
    while (!all && n > 0) {
        n--;
        bd_resources_add(&took[n]->capacity, &machine->reservations[n].job->spec, 1);
    }
    free(took);
    return all;
}
