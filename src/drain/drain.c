/* The life of a drain as its leader sees it: how far each machine is, and what the autoscaler may
 * do with it. Part of the pure core. */
#include "drain/drain.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain_internal.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/task.h"
#include "model/task_state.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.5
#define SUMMARY_S 20.0
#define LISTED_EXTRA_S 1.0 /* beyond two lags of the cloud's list */

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
    bd_drains_forget(drains);
    free(drains->owners);
    free(drains);
}

/* ---- small questions ---- */

bool bd_drain_goes_on(const struct bd_drain *drain)
{
    return drain->loaded && !drain->over &&
           (drain->record.state == BD_DRAIN_ACTIVE || drain->record.state == BD_DRAIN_PAUSED);
}

bool bd_drain_final(const struct bd_drain_machine *m)
{
    return m->stage == BD_STAGE_RETURNED || m->stage == BD_STAGE_FAILED;
}

struct bd_machine *bd_drain_machine_named(struct bd_core *core, const char *id)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(core->machines, id, machine);
    return machine;
}

bool bd_drain_mirrors(const struct bd_core *core, const struct bd_drain_machine *m)
{
    const struct bd_drains *drains = core->drains;
    return m->machine && m->machine->index < drains->nowners &&
           drains->owners[m->machine->index] != m;
}

bool bd_drain_cordoned(const struct bd_core *core, const struct bd_machine *machine)
{
    (void)core;
    return machine->cordoned;
}

bool bd_drain_keeps(const struct bd_core *core, const struct bd_machine *machine)
{
    (void)core;
    return machine->kept_for_drain;
}

bool bd_drain_returns(const struct bd_core *core, const struct bd_machine *machine)
{
    (void)core;
    return machine->scale_in_for_drain;
}

static void clear_machines(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines; i++) {
        core->by_index[i]->cordoned = false;
        core->by_index[i]->kept_for_drain = false;
        core->by_index[i]->scale_in_for_drain = false;
    }
}

/* ---- entries ---- */

static struct bd_drain_part *part_of(struct bd_drain *drain, const struct bd_drain_machine *m)
{
    uint32_t i = (uint32_t)(m - drain->machines);
    for (uint32_t k = 0; k < drain->record.parts; k++)
        if (i >= drain->parts[k].from && i < drain->parts[k].from + drain->parts[k].n)
            return &drain->parts[k];
    return NULL;
}

void bd_drain_note(struct bd_drain *drain, const struct bd_drain_machine *m)
{
    struct bd_drain_part *part = part_of(drain, m);
    if (part)
        part->dirty = part->urgent = true;
}

void bd_drain_set(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                  struct bd_entry_state to)
{
    bool stage = m->stage != to.stage;
    if (!stage && m->wait == to.wait && strcmp(m->team, to.team) == 0)
        return;
    m->stage = to.stage;
    m->wait = to.wait;
    snprintf(m->team, sizeof m->team, "%s", to.team);
    m->since = core->wall;
    struct bd_drain_part *part = part_of(drain, m);
    if (stage)
        bd_drain_note(drain, m);
    else if (part)
        part->dirty = true;
    core->lead.cycle_wanted = core->lead.cycle_wanted || stage;
    bd_log_write(core->log, stage ? BD_LOG_INFO : BD_LOG_DEBUG, "drain %s: %s is %s%s%s%s%s",
                 drain->name, m->id, bd_drain_stage_name(m->stage), m->wait ? ", waits for " : "",
                 bd_drain_wait_name(m->wait), *m->team ? " of " : "", m->team);
}

static void set_stage(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                      enum bd_drain_stage stage, enum bd_drain_wait wait)
{
    bd_drain_set(core, drain, m, (struct bd_entry_state){stage, wait, ""});
}

/* Whether a machine that we do not know is gone: the cloud's list may be as old as two lags. */
static bool lists_are_complete(const struct bd_core *core)
{
    double lag = 2 * bd_to_secs(core->settings->list_lag) + LISTED_EXTRA_S;
    return core->lead.inventory_read &&
           bd_between(core->drains->leadership_acquired, core->now) > lag;
}

static void machine_gone(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    bool ours = m->stage == BD_STAGE_EMPTY || m->stage == BD_STAGE_REPLACED;
    set_stage(core, drain, m, ours ? BD_STAGE_RETURNED : BD_STAGE_FAILED, BD_DRAIN_WAIT_NOTHING);
}

/* What has had its time to stop is ended. */
static void end_late_tasks(struct bd_core *core, const struct bd_drain_machine *m,
                           struct bd_machine *machine)
{
    if (bd_is_zero(m->told) || bd_between(m->told, core->now) < core->drains->rules->stop_s)
        return;
    for (uint32_t k = machine->nreservations; k > 0; k--) {
        if (k > machine->nreservations)
            continue;
        struct bd_reservation ref = machine->reservations[k - 1];
        uint8_t flags = ref.job->tasks[ref.task].flags;
        if (flags & BD_TASK_FLAG_STOP_REQUESTED && !(flags & BD_TASK_FLAG_FORCED_STOP))
            bd_task_stop(core, ref.job, ref.task, BD_STOP_DRAINED, true);
    }
}

static void stopping(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                     struct bd_machine *machine)
{
    bool replaces = drain->record.mode == BD_DRAIN_REPLACE;
    if (machine->nreservations == 0)
        set_stage(core, drain, m, BD_STAGE_EMPTY,
                  replaces ? BD_DRAIN_WAIT_WORK : BD_DRAIN_WAIT_NOTHING);
    else
        end_late_tasks(core, m, machine);
}

static void empty(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                  const struct bd_machine *machine)
{
    if (machine->nreservations > 0) { /* a report showed what we did not know of */
        set_stage(core, drain, m, BD_STAGE_WAITING, BD_DRAIN_WAIT_STEP);
        return;
    }
    if (drain->record.mode == BD_DRAIN_RETIRE)
        return;
    if (bd_replacement_works(core, m))
        set_stage(core, drain, m, BD_STAGE_REPLACED, BD_DRAIN_WAIT_NOTHING);
    else
        set_stage(core, drain, m, BD_STAGE_EMPTY,
                  bd_replacement_up(core, m) ? BD_DRAIN_WAIT_WORK : BD_DRAIN_WAIT_REPLACEMENT);
}

static void idle(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    if (drain->record.state == BD_DRAIN_PAUSED)
        return;
    if (drain->record.mode == BD_DRAIN_RETIRE)
        set_stage(core, drain, m, BD_STAGE_EMPTY, BD_DRAIN_WAIT_NOTHING);
    else if (bd_replacement_up(core, m))
        set_stage(core, drain, m, BD_STAGE_EMPTY, BD_DRAIN_WAIT_WORK);
}

static void follow(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    struct bd_machine *machine = m->machine;
    if (machine ? machine->gone : lists_are_complete(core)) {
        machine_gone(core, drain, m);
        return;
    }
    if (!machine || !machine->fenced || bd_drain_mirrors(core, m))
        return;
    if (m->stage == BD_STAGE_STOPPING)
        stopping(core, drain, m, machine);
    else if (m->stage == BD_STAGE_EMPTY)
        empty(core, drain, m, machine);
    else if (m->stage != BD_STAGE_REPLACED && machine->nreservations == 0)
        idle(core, drain, m);
}

/* ---- which machines are whose ---- */

static void own(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    struct bd_drains *drains = core->drains;
    if (!m->machine) /* machines stay in memory as long as the term */
        m->machine = bd_drain_machine_named(core, m->id);
    struct bd_machine *machine = m->machine;
    struct bd_machine *replacement =
        *m->replacement ? bd_drain_machine_named(core, m->replacement) : NULL;
    if (replacement)
        replacement->kept_for_drain = true;
    if (!machine || machine->gone)
        return;
    bool first = !machine->cordoned;
    machine->cordoned = true;
    if (first)
        drains->owners[machine->index] = m;
    bool back = drain->record.mode == BD_DRAIN_RETIRE
                    ? m->stage == BD_STAGE_EMPTY && m->recorded == BD_STAGE_EMPTY
                    : m->stage == BD_STAGE_REPLACED && m->recorded == BD_STAGE_REPLACED;
    if (first && back)
        machine->scale_in_for_drain = true;
}

/* Of two drains that cover a machine the first by name drives it, the other shows the same. */
static void mirror(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m)
{
    const struct bd_machine *machine = m->machine;
    if (!machine || !bd_drain_mirrors(core, m) || !core->drains->owners[machine->index])
        return;
    const struct bd_drain_machine *owner = core->drains->owners[machine->index];
    m->replacement[0] = m->request[0] = '\0';
    bd_drain_set(core, drain, m, (struct bd_entry_state){owner->stage, owner->wait, owner->team});
}

static void each_entry(struct bd_core *core,
                       void (*act)(struct bd_core *, struct bd_drain *, struct bd_drain_machine *))
{
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++)
            if (!bd_drain_final(&drain->machines[i]))
                act(core, drain, &drain->machines[i]);
    }
}

static void cordon(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    clear_machines(core);
    free(drains->owners);
    drains->nowners = core->nmachines;
    drains->owners = calloc(core->nmachines + 1, sizeof *drains->owners);
    if (!drains->owners)
        abort();
    each_entry(core, own);
}

/* ---- the tick ---- */

static void finish(struct bd_core *core, struct bd_drain *drain)
{
    for (uint32_t i = 0; i < drain->nmachines; i++)
        if (!bd_drain_final(&drain->machines[i]) ||
            drain->machines[i].recorded != drain->machines[i].stage)
            return;
    drain->over = true;
    bd_log_write(core->log, BD_LOG_INFO, "drain %s is done: %u machines, %.0f s", drain->name,
                 drain->nmachines, core->wall - drain->record.at);
}

static void say_drain(const struct bd_core *core, const struct bd_drain *drain)
{
    uint32_t n[BD_STAGES] = {0}, waits[BD_DRAIN_WAITS] = {0}, most = 0;
    for (uint32_t i = 0; i < drain->nmachines; i++) {
        n[drain->machines[i].stage]++;
        waits[drain->machines[i].wait] += drain->machines[i].stage == BD_STAGE_WAITING;
    }
    for (uint32_t w = 1; w < BD_DRAIN_WAITS; w++)
        most = waits[w] > waits[most] ? w : most;
    bd_log_write(
        core->log, BD_LOG_INFO,
        "drain %s (%s): %u cordoned, %u waiting (%u for %s), %u stopping, %u empty, %u replaced, "
        "%u returned, %u failed",
        drain->name, bd_drain_state_name(drain->record.state), n[BD_STAGE_CORDONED],
        n[BD_STAGE_WAITING], waits[most], bd_drain_wait_name((enum bd_drain_wait)most),
        n[BD_STAGE_STOPPING], n[BD_STAGE_EMPTY], n[BD_STAGE_REPLACED], n[BD_STAGE_RETURNED],
        n[BD_STAGE_FAILED]);
}

static void say_budgets(const struct bd_core *core)
{
    const struct bd_ledger *ledger = core->ledger;
    for (uint32_t i = 0; i < ledger->nbudgets; i++) {
        const struct bd_budget *budget = &ledger->budgets[i];
        if (budget->up + budget->down > 0)
            bd_log_write(core->log, BD_LOG_INFO,
                         "budget of %s%s%s: %u up, %u down, %u silent, %u left",
                         bd_budget_team(core, budget), *budget->rule->job_class ? ", class " : "",
                         budget->rule->job_class, budget->up, budget->down, budget->silent,
                         bd_budget_left(budget));
    }
}

static void say_summary(struct bd_core *core)
{
    bool any = false;
    if (bd_before(core->now, core->drains->next_summary))
        return;
    core->drains->next_summary = bd_add(core->now, bd_secs(SUMMARY_S));
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next) {
        if (!bd_drain_goes_on(drain))
            continue;
        say_drain(core, drain);
        any = true;
    }
    if (any)
        say_budgets(core);
}

static bool any_goes_on(const struct bd_drains *drains)
{
    for (const struct bd_drain *drain = drains->drains; drain; drain = drain->hh.next)
        if (bd_drain_goes_on(drain))
            return true;
    return false;
}

void bd_drain_tick(struct bd_core *core)
{
    struct bd_drains *drains = core->drains;
    if (!drains || !bd_leadership_lease_valid(core) || bd_before(core->now, drains->next_tick))
        return;
    drains->next_tick = bd_add(core->now, bd_secs(TICK_S));
    cordon(core);
    if (!any_goes_on(drains))
        return;
    each_entry(core, follow);
    bd_replacements_tick(core);
    bd_drain_tell(core);
    bd_drain_plan(core);
    each_entry(core, mirror);
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, drains->drains, drain, tmp)
    {
        if (bd_drain_goes_on(drain))
            finish(core, drain);
    }
    say_summary(core);
}

void bd_drain_leadership_acquired(struct bd_core *core)
{
    if (!core->drains)
        return;
    core->drains->leadership_acquired = core->now;
    core->drains->steps = 0;
    bd_ledger_leadership_acquired(core);
    bd_drains_forget(core->drains);
    clear_machines(core);
}

void bd_drain_leadership_lost(struct bd_core *core)
{
    if (!core->drains)
        return;
    bd_ledger_clear(core->ledger);
    bd_drains_forget(core->drains);
    clear_machines(core);
}

bool bd_drain_look(const struct bd_core *core, const char *name, const char *machine,
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

/* ---- the autoscaler's questions ---- */

bool bd_drain_allows(struct bd_core *core, struct bd_machine *machine)
{
    if (!core->drains)
        return true;
    struct bd_candidate candidate = {.machine = machine};
    bd_ledger_silent(core);
    if (!bd_candidate_fill(core, &candidate))
        return false;
    for (uint32_t i = 0; i < candidate.nneeds; i++)
        if (candidate.needs[i].tasks >
            bd_budget_left(&core->ledger->budgets[candidate.needs[i].budget]))
            return false;
    return true;
}

void bd_drain_demand(struct bd_core *core, void (*want)(void *arg, const struct bd_spec *spec),
                     void *arg)
{
    uint32_t machines = 0;
    if (!core->drains)
        return;
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            const struct bd_drain_machine *m = &drain->machines[i];
            const struct bd_machine *machine = m->machine;
            if (m->wait != BD_DRAIN_WAIT_CAPACITY || !machine ||
                machines++ >= core->drains->rules->machines_in_step)
                continue;
            for (uint32_t k = 0; k < machine->nreservations; k++)
                want(arg, &machine->reservations[k].job->spec);
        }
    }
}
