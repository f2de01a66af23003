/* Steps: chosen, written into the drain's record by a transaction that is conditional on the term,
 * and only then told to the machines, if the budgets still allow it. A leader that was frozen past
 * its lease cannot write the record, and so tells nobody. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "model/peers.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>

#define CANDIDATES_MAX 96u

static void wait_for(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                     enum bd_drain_wait wait, const char *team)
{
    bd_drain_set(core, drain, m, (struct bd_entry_state){BD_STAGE_WAITING, wait, team});
}

static uint32_t *budgets_left(const struct bd_ledger *ledger)
{
    uint32_t *left = calloc(ledger->nbudgets + 1, sizeof *left);
    if (!left)
        abort();
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        left[i] = bd_budget_left(&ledger->budgets[i]);
    return left;
}

/* ---- telling ---- */

/* Whether the budgets bear that the task, and what stops with it, goes down now. */
static bool within_budgets(struct bd_core *core, const struct bd_reservation *ref,
                           const char **team)
{
    const struct bd_ledger_job *entry = bd_ledger_job_of(core, ref->job);
    uint32_t falls = bd_candidate_falls(core, ref->job, ref->task);
    for (uint32_t i = 0; falls > 0 && i < entry->nbudgets; i++) {
        const struct bd_budget *budget = &core->ledger->budgets[entry->budgets[i]];
        if (falls > bd_budget_left(budget)) {
            *team = bd_budget_team(core, budget);
            return false;
        }
    }
    return true;
}

/* Stops what the budgets bear; the rest follows when those that went run elsewhere. Returns how
 * many were told, and whose budget the first that was not would have broken. */
static uint32_t stop_tasks(struct bd_core *core, struct bd_machine *machine, const char **team)
{
    uint32_t told = 0;
    for (uint32_t k = machine->nreservations; k > 0; k--) {
        if (k > machine->nreservations) /* a gang's end takes others along */
            continue;
        struct bd_reservation ref = machine->reservations[k - 1];
        if (!bd_candidate_stoppable(ref.job, ref.task) || !within_budgets(core, &ref, team))
            continue;
        bd_task_stop(core, ref.job, ref.task, BD_STOP_DRAINED, false);
        told++;
    }
    return told;
}

/* Between the choice and the record's commit a machine may have died: the budgets are asked again
 * at the last moment, with all that was told before. */
static void tell(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    struct bd_machine *machine = m->machine;
    const char *team = "";
    bool silent = !machine || machine->gone || !machine->fenced || bd_overdue(core, machine);
    if (silent || drain->record.state == BD_DRAIN_PAUSED) {
        if (bd_is_zero(m->told))
            wait_for(core, drain, m, silent ? BD_DRAIN_WAIT_HEARTBEAT : BD_DRAIN_WAIT_PAUSED, "");
        return;
    }
    uint32_t told = stop_tasks(core, machine, &team);
    if (told == 0 && *team && bd_is_zero(m->told)) {
        wait_for(core, drain, m, BD_DRAIN_WAIT_BUDGET, team);
        return;
    }
    bd_drain_set(core, drain, m,
                 (struct bd_entry_state){BD_STAGE_STOPPING,
                                         *team ? BD_DRAIN_WAIT_BUDGET : BD_DRAIN_WAIT_NOTHING,
                                         team});
    if (told == 0 && !bd_is_zero(m->told))
        return;
    m->told = core->now;
    core->drains->steps++;
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: %s stops %u tasks", drain->name, m->id, told);
}

/* Whether nothing of its step was told yet. */
static bool to_tell(const struct bd_core *core, const struct bd_drain_machine *m)
{
    return m->stage == BD_STAGE_STOPPING && bd_is_zero(m->told) && !bd_drain_mirrors(core, m);
}

void bd_drain_tell(struct bd_core *core)
{
    struct bd_drain *drain, *tmp;
    if (!bd_leadership_lease_valid(core))
        return;
    bd_ledger_silent(core);
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            struct bd_drain_machine *m = &drain->machines[i];
            if (m->stage == BD_STAGE_STOPPING && m->recorded == BD_STAGE_STOPPING &&
                !bd_drain_mirrors(core, m))
                tell(core, drain, m);
        }
    }
}

/* ---- choosing ---- */

struct choice {
    struct bd_core *core;
    struct bd_step_problem problem;
    struct bd_candidate *candidates;
    struct bd_drain *of[CANDIDATES_MAX]; /* whose entries they are */
    uint32_t *left;
    struct bd_bins bins;
};

/* Machines in a step, and their zones; false: a step is still to be told. */
static bool steps_now(struct choice *choice)
{
    struct bd_core *core = choice->core;
    uint32_t in_step = 0, most = core->drains->rules->machines_in_step;
    struct bd_drain *drain, *tmp;
    bool told = true;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            const struct bd_drain_machine *m = &drain->machines[i];
            bool busy = m->stage == BD_STAGE_STOPPING ||
                        (m->stage == BD_STAGE_EMPTY && drain->record.mode == BD_DRAIN_REPLACE);
            const struct bd_machine *machine = m->machine;
            if (!busy || !machine || bd_drain_mirrors(core, m))
                continue;
            in_step++;
            told = told && !to_tell(core, m);
            if (machine->zone >= 0)
                choice->problem.zone_used[machine->zone] = true;
        }
    }
    choice->problem.most = in_step < most ? most - in_step : 0;
    return told;
}

/* Arrays, and gangs that never save, would lose what they did: they may end by themselves. */
static bool may_end_by_itself(const struct bd_core *core, const struct bd_drain *drain,
                              const struct bd_machine *machine)
{
    if (core->wall - drain->record.at > core->drains->rules->wait_s)
        return false;
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_spec *spec = &machine->reservations[k].job->spec;
        if (spec->kind != BD_JOB_SERVICE && spec->checkpoint_interval_s <= 0)
            return true;
    }
    return false;
}

/* What the machine waits for before budgets are asked. */
static enum bd_drain_wait not_ready(struct bd_core *core, const struct bd_drain *drain,
                                    const struct bd_drain_machine *m,
                                    const struct bd_machine *machine)
{
    if (drain->record.state == BD_DRAIN_PAUSED)
        return BD_DRAIN_WAIT_PAUSED;
    if (!machine || !machine->fenced || bd_overdue(core, machine))
        return BD_DRAIN_WAIT_HEARTBEAT;
    if (drain->record.mode == BD_DRAIN_REPLACE && !bd_replacement_up(core, m))
        return BD_DRAIN_WAIT_REPLACEMENT;
    if (may_end_by_itself(core, drain, machine))
        return BD_DRAIN_WAIT_TASKS;
    return BD_DRAIN_WAIT_NOTHING;
}

static const char *team_of(const struct bd_core *core, enum bd_drain_wait wait, uint32_t budget)
{
    return wait == BD_DRAIN_WAIT_BUDGET ? bd_budget_team(core, &core->ledger->budgets[budget]) : "";
}

/* Takes the entry among the candidates, or says what it waits for. */
static void consider(struct choice *choice, struct bd_drain *drain, struct bd_drain_machine *m)
{
    struct bd_core *core = choice->core;
    struct bd_machine *machine = m->machine;
    enum bd_drain_wait wait = not_ready(core, drain, m, machine);
    uint32_t budget = 0;
    if (wait != BD_DRAIN_WAIT_NOTHING || choice->problem.n == CANDIDATES_MAX) {
        wait_for(core, drain, m, wait ? wait : BD_DRAIN_WAIT_STEP, "");
        return;
    }
    struct bd_candidate *candidate = &choice->candidates[choice->problem.n];
    *candidate = (struct bd_candidate){.entry = m, .machine = machine, .zone = machine->zone};
    bool filled = bd_candidate_fill(core, candidate);
    bd_candidate_clip(core, candidate);
    wait = filled ? bd_step_obstacle(&choice->problem, candidate, &budget) : BD_DRAIN_WAIT_STEP;
    if (wait != BD_DRAIN_WAIT_NOTHING) {
        wait_for(core, drain, m, wait, team_of(core, wait, budget));
        return;
    }
    choice->of[choice->problem.n++] = drain;
}

static void gather_candidates(struct choice *choice)
{
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, choice->core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            struct bd_drain_machine *m = &drain->machines[i];
            if ((m->stage == BD_STAGE_CORDONED || m->stage == BD_STAGE_WAITING) &&
                !bd_drain_mirrors(choice->core, m))
                consider(choice, drain, m);
        }
    }
}

/* Sums over all machines are not places: each that is chosen must find room for each task. */
static void take_chosen(struct choice *choice, const roaring_bitmap_t *chosen)
{
    struct bd_core *core = choice->core;
    uint32_t budget = 0;
    for (uint32_t i = 0; i < choice->problem.n; i++) {
        const struct bd_candidate *candidate = &choice->candidates[i];
        bool wanted = roaring_bitmap_contains(chosen, i);
        if (wanted && bd_bins_take(&choice->bins, candidate)) {
            bd_step_take(&choice->problem, choice->left, candidate);
            candidate->entry->told = (struct timespec){0, 0};
            bd_drain_set(core, choice->of[i], candidate->entry,
                         (struct bd_entry_state){BD_STAGE_STOPPING, BD_DRAIN_WAIT_NOTHING, ""});
        } else if (wanted) {
            wait_for(core, choice->of[i], candidate->entry, BD_DRAIN_WAIT_CAPACITY, "");
        }
    }
    for (uint32_t i = 0; i < choice->problem.n; i++) {
        const struct bd_candidate *candidate = &choice->candidates[i];
        if (roaring_bitmap_contains(chosen, i))
            continue;
        enum bd_drain_wait wait = bd_step_obstacle(&choice->problem, candidate, &budget);
        wait = wait == BD_DRAIN_WAIT_NOTHING ? BD_DRAIN_WAIT_STEP : wait;
        wait_for(core, choice->of[i], candidate->entry, wait, team_of(core, wait, budget));
    }
}

static void choose(struct choice *choice)
{
    const struct bd_drain_rules *rules = choice->core->drains->rules;
    roaring_bitmap_t *chosen = roaring_bitmap_create();
    if (!chosen)
        abort();
    bool solved = rules->planner == BD_PLANNER_SOLVER && bd_steps_solve(&choice->problem, chosen);
    if (!solved) {
        roaring_bitmap_clear(chosen);
        bd_steps_greedy(&choice->problem, chosen);
    }
    take_chosen(choice, chosen);
    roaring_bitmap_free(chosen);
}

/* The zones' numbers are known once the zones are. */
static void pair_zones(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    for (uint32_t i = 0; i < drains->rules->napart; i++) {
        int one = bd_zone_find(core, drains->rules->apart[i].one);
        int other = bd_zone_find(core, drains->rules->apart[i].other);
        if (one >= 0 && other >= 0 && one != other)
            drains->apart[one][other] = drains->apart[other][one] = true;
    }
}

static void all_wait(struct bd_core *core, enum bd_drain_wait wait)
{
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            struct bd_drain_machine *m = &drain->machines[i];
            if (m->stage == BD_STAGE_CORDONED || m->stage == BD_STAGE_WAITING)
                wait_for(core, drain, m, wait, "");
        }
    }
}

void bd_drain_plan(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    struct choice choice = {.core = core};
    /* an older leader would place on cordoned machines, and knows of no budget */
    if (bd_peer_lacks_feature(core, BD_PEER_KNOWS_DRAINS)) {
        all_wait(core, BD_DRAIN_WAIT_OLDER);
        return;
    }
    if (!steps_now(&choice))
        return;
    pair_zones(core);
    choice.left = budgets_left(core->ledger);
    choice.candidates = calloc(CANDIDATES_MAX, sizeof *choice.candidates);
    if (!choice.candidates)
        abort();
    bd_bins_fill(core, &choice.bins);
    choice.problem.candidates = choice.candidates;
    choice.problem.left = choice.left;
    choice.problem.nbudgets = core->ledger->nbudgets;
    choice.problem.capacity = bd_bins_total(&choice.bins);
    choice.problem.apart = (const bool(*)[BD_MAX_ZONES])drains->apart;
    gather_candidates(&choice);
    if (choice.problem.n > 0)
        choose(&choice);
    bd_bins_free(&choice.bins);
    free(choice.candidates);
    free(choice.left);
}
