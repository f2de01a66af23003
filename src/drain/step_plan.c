/* Planning of the next step: finds the candidates, chooses the machines among them, and sets the
 * wait reason of all others. A planned step begins once its record is written. Part of the pure
 * core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "drain/drain_rules.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdlib.h>

/* One run of the planner. */
struct step_plan {
    struct bd_core *core;
    struct bd_step_problem problem;
    struct bd_drain_candidate *candidates;
    struct bd_drain *drains[BD_STEP_CANDIDATES_MAX]; /* by candidate */
    uint32_t *budgets_remaining;
    struct bd_bins bins;
};

/* ---- setup of the problem ---- */

/* Whether the entry's machine counts towards machines_in_step. */
static bool is_in_step(const struct bd_core *core, const struct bd_drain *drain,
                       const struct bd_drain_machine *entry)
{
    bool occupies_place =
        entry->stage == BD_STAGE_STOPPING ||
        (entry->stage == BD_STAGE_EMPTY && drain->record.mode == BD_DRAIN_REPLACE);
    return occupies_place && entry->machine && !bd_drain_entry_is_mirror(core, entry);
}

/* Records the machines and zones of the current step. False: a planned step has not begun yet. */
static bool count_current_step(struct step_plan *plan)
{
    struct bd_core *core = plan->core;
    uint32_t in_step = 0, max_in_step = core->drains->rules->machines_in_step;
    bool has_begun = true;
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    const struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator))) {
        if (!is_in_step(core, iterator.drain, entry))
            continue;
        in_step++;
        if (entry->stage == BD_STAGE_STOPPING && bd_time_is_zero(entry->stop_requested_at))
            has_begun = false;
        if (entry->machine->zone >= 0)
            plan->problem.zone_used[entry->machine->zone] = true;
    }
    plan->problem.max_machines = in_step < max_in_step ? max_in_step - in_step : 0;
    return has_begun;
}

/* Resolves the rules' zone names. A zone has no number before one of its machines is known. */
static void update_zone_conflicts(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    for (uint32_t i = 0; i < drains->rules->nzone_conflicts; i++) {
        int one = bd_zone_find(core, drains->rules->zone_conflicts[i].one);
        int other = bd_zone_find(core, drains->rules->zone_conflicts[i].other);
        if (one >= 0 && other >= 0 && one != other)
            drains->zones_conflict[one][other] = drains->zones_conflict[other][one] = true;
    }
}

static uint32_t *copy_remaining_budgets(const struct bd_ledger *ledger)
{
    uint32_t *remaining = calloc(ledger->nbudgets + 1, sizeof *remaining);
    if (!remaining)
        abort();
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        remaining[i] = bd_budget_remaining(&ledger->budgets[i]);
    return remaining;
}

static void init_problem(struct step_plan *plan)
{
    struct bd_core *core = plan->core;
    update_zone_conflicts(core);
    plan->budgets_remaining = copy_remaining_budgets(core->ledger);
    plan->candidates = calloc(BD_STEP_CANDIDATES_MAX, sizeof *plan->candidates);
    if (!plan->candidates)
        abort();
    bd_bins_fill(core, &plan->bins);
    plan->problem.candidates = plan->candidates;
    plan->problem.budgets_remaining = plan->budgets_remaining;
    plan->problem.nbudgets = core->ledger->nbudgets;
    plan->problem.capacity = bd_bins_total_capacity(&plan->bins);
    plan->problem.zones_conflict = (const bool(*)[BD_ZONES_MAX])core->drains->zones_conflict;
}

static void free_plan(struct step_plan *plan)
{
    bd_bins_free(&plan->bins);
    free(plan->candidates);
    free(plan->budgets_remaining);
}

/* ---- candidates ---- */

/* Whether the machine has tasks that should finish, because a stop would lose their progress: those
 * of arrays and gangs without checkpoints. They may run for completion_timeout_s from the drain's
 * request. */
static bool has_tasks_to_finish(const struct bd_core *core, const struct bd_drain *drain,
                                const struct bd_machine *machine)
{
    if (core->wall_s - drain->record.requested_at_s > core->drains->rules->completion_timeout_s)
        return false;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_spec *spec = &machine->reservations[i].job->spec;
        if (spec->kind != BD_JOB_SERVICE && spec->checkpoint_interval_s <= 0)
            return true;
    }
    return false;
}

/* The reason to wait, apart from budgets and the step. */
static enum bd_drain_wait entry_wait_reason(struct bd_core *core, const struct bd_drain *drain,
                                            const struct bd_drain_machine *entry)
{
    const struct bd_machine *machine = entry->machine;
    if (drain->record.state == BD_DRAIN_PAUSED)
        return BD_DRAIN_WAIT_PAUSED;
    if (!machine || !machine->has_seen_term || bd_machine_is_overdue(core, machine))
        return BD_DRAIN_WAIT_HEARTBEAT;
    if (drain->record.mode == BD_DRAIN_REPLACE && !bd_replacement_is_up(core, entry))
        return BD_DRAIN_WAIT_REPLACEMENT;
    if (has_tasks_to_finish(core, drain, machine))
        return BD_DRAIN_WAIT_TASKS;
    return BD_DRAIN_WAIT_NOTHING;
}

/* The constraint that keeps the candidate out of the step. *team is set to the team whose budget is
 * exhausted, or "". */
static enum bd_drain_wait step_wait_reason(const struct step_plan *plan,
                                           const struct bd_drain_candidate *candidate,
                                           const char **team)
{
    uint32_t budget = 0;
    enum bd_drain_wait wait = bd_step_wait_reason(&plan->problem, candidate, &budget);
    *team = wait == BD_DRAIN_WAIT_BUDGET
                ? bd_budget_team_name(plan->core, &plan->core->ledger->budgets[budget])
                : "";
    return wait;
}

/* Adds the entry to the candidates, or sets its wait reason. */
static void consider_entry(struct step_plan *plan, struct bd_drain *drain,
                           struct bd_drain_machine *entry)
{
    struct bd_core *core = plan->core;
    const char *team = "";
    enum bd_drain_wait wait = entry_wait_reason(core, drain, entry);
    if (wait == BD_DRAIN_WAIT_NOTHING && plan->problem.ncandidates == BD_STEP_CANDIDATES_MAX)
        wait = BD_DRAIN_WAIT_STEP;
    if (wait != BD_DRAIN_WAIT_NOTHING) {
        bd_drain_set_entry_waiting(core, drain, entry, wait, team);
        return;
    }
    struct bd_drain_candidate *candidate = &plan->candidates[plan->problem.ncandidates];
    *candidate = (struct bd_drain_candidate){
        .entry = entry, .machine = entry->machine, .zone = entry->machine->zone};
    bool is_filled = bd_drain_candidate_fill(core, candidate);
    bd_drain_candidate_limit_needs(core, candidate);
    wait = is_filled ? step_wait_reason(plan, candidate, &team) : BD_DRAIN_WAIT_STEP;
    if (wait != BD_DRAIN_WAIT_NOTHING)
        bd_drain_set_entry_waiting(core, drain, entry, wait, team);
    else
        plan->drains[plan->problem.ncandidates++] = drain;
}

static void find_candidates(struct step_plan *plan)
{
    struct bd_drain_iterator iterator = bd_drain_entries(plan->core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        if (bd_drain_entry_awaits_step(entry) && !bd_drain_entry_is_mirror(plan->core, entry))
            consider_entry(plan, iterator.drain, entry);
}

/* ---- choice of the machines ---- */

/* Of the free capacity, the choice considers only the total, which may be spread over too
 * many machines. A chosen candidate begins the step only if each of its tasks fits on some machine.
 */
static void add_chosen_to_step(struct step_plan *plan, const roaring_bitmap_t *chosen)
{
    for (uint32_t i = 0; i < plan->problem.ncandidates; i++) {
        const struct bd_drain_candidate *candidate = &plan->candidates[i];
        if (!roaring_bitmap_contains(chosen, i))
            continue;
        if (!bd_bins_reserve(&plan->bins, candidate)) {
            bd_drain_set_entry_waiting(plan->core, plan->drains[i], candidate->entry,
                                       BD_DRAIN_WAIT_CAPACITY, "");
            continue;
        }
        bd_step_add_candidate(&plan->problem, plan->budgets_remaining, candidate);
        candidate->entry->stop_requested_at = (struct timespec){0, 0};
        bd_drain_set_entry_state(
            plan->core, plan->drains[i], candidate->entry,
            (struct bd_entry_state){BD_STAGE_STOPPING, BD_DRAIN_WAIT_NOTHING, ""});
    }
}

static void set_others_waiting(struct step_plan *plan, const roaring_bitmap_t *chosen)
{
    for (uint32_t i = 0; i < plan->problem.ncandidates; i++) {
        const struct bd_drain_candidate *candidate = &plan->candidates[i];
        if (roaring_bitmap_contains(chosen, i))
            continue;
        const char *team = "";
        enum bd_drain_wait wait = step_wait_reason(plan, candidate, &team);
        if (wait == BD_DRAIN_WAIT_NOTHING)
            wait = BD_DRAIN_WAIT_STEP;
        bd_drain_set_entry_waiting(plan->core, plan->drains[i], candidate->entry, wait, team);
    }
}

static void choose_machines(struct step_plan *plan)
{
    const struct bd_drain_rules *rules = plan->core->drains->rules;
    roaring_bitmap_t *chosen = roaring_bitmap_create();
    if (!chosen)
        abort();
    bool solved =
        rules->planner == BD_PLANNER_SOLVER && bd_step_choose_by_solver(&plan->problem, chosen);
    if (!solved) {
        if (rules->planner == BD_PLANNER_SOLVER)
            bd_log_write(plan->core->log, BD_LOG_DEBUG,
                         "the solver chose no machines among %u; greedy choice used",
                         plan->problem.ncandidates);
        roaring_bitmap_clear(chosen);
        bd_step_choose_greedy(&plan->problem, chosen);
    }
    add_chosen_to_step(plan, chosen);
    set_others_waiting(plan, chosen);
    roaring_bitmap_free(chosen);
}

static void set_all_waiting(struct bd_core *core, enum bd_drain_wait wait)
{
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        if (bd_drain_entry_awaits_step(entry))
            bd_drain_set_entry_waiting(core, iterator.drain, entry, wait, "");
}

void bd_drain_plan_step(struct bd_core *core)
{
    /* as leader, a controller without the feature would place tasks on cordoned machines and
     * ignore budgets */
    if (bd_peer_lacks_feature(core, BD_PEER_SUPPORTS_DRAINS)) {
        set_all_waiting(core, BD_DRAIN_WAIT_OLDER_CONTROLLER);
        return;
    }
    struct step_plan plan = {.core = core};
    if (!count_current_step(&plan))
        return;
    init_problem(&plan);
    find_candidates(&plan);
    if (plan.problem.ncandidates > 0)
        choose_machines(&plan);
    free_plan(&plan);
}
