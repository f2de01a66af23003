#include "model/disruption_ledger.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Returns the team's own rule, or else the rule for all teams without one; NULL: neither exists. */
static const struct bd_budget_rule *find_team_rule(const struct bd_budget_rule *rules,
                                                   uint32_t nrules, const char *team)
{
    const struct bd_budget_rule *general = NULL;
    for (uint32_t i = 0; i < nrules; i++) {
        const struct bd_budget_rule *rule = &rules[i];
        if (*rule->job_class)
            continue;
        if (strcmp(rule->team, team) == 0)
            return rule;
        if (!*rule->team)
            general = rule;
    }
    return general;
}

static int find_team(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nteams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return i;
    return -1;
}

struct bd_ledger *bd_ledger_new(const struct bd_settings *settings,
                                const struct bd_budget_rule *rules, uint32_t nrules)
{
    struct bd_ledger *ledger = calloc(1, sizeof *ledger);
    if (!ledger)
        abort();
    ledger->budgets = calloc((size_t)settings->nteams + nrules + 1, sizeof *ledger->budgets);
    if (!ledger->budgets)
        abort();
    for (int i = 0; i < settings->nteams; i++) {
        const struct bd_budget_rule *rule = find_team_rule(rules, nrules, settings->teams[i].name);
        ledger->budgets[ledger->nbudgets++] = (struct bd_budget){.team = i, .rule = rule};
    }
    for (uint32_t i = 0; i < nrules; i++) {
        if (!*rules[i].job_class)
            continue;
        int team = find_team(settings, rules[i].team);
        ledger->budgets[ledger->nbudgets++] = (struct bd_budget){.team = team, .rule = &rules[i]};
    }
    return ledger;
}

/* Removes the job's entry, and subtracts its tasks from the budgets' counts. */
static void remove_job(struct bd_ledger *ledger, struct bd_ledger_job *entry)
{
    uint32_t up = (uint32_t)roaring_bitmap_get_cardinality(entry->up);
    uint32_t down = (uint32_t)roaring_bitmap_get_cardinality(entry->down);
    for (uint32_t i = 0; i < entry->nbudgets; i++) {
        ledger->budgets[entry->budgets[i]].up -= up;
        ledger->budgets[entry->budgets[i]].down -= down;
    }
    HASH_DEL(ledger->jobs, entry);
    roaring_bitmap_free(entry->up);
    roaring_bitmap_free(entry->down);
    free(entry);
}

void bd_ledger_clear(struct bd_ledger *ledger)
{
    struct bd_ledger_job *entry, *next;
    HASH_ITER(hh, ledger->jobs, entry, next)
    {
        remove_job(ledger, entry);
    }
}

void bd_ledger_free(struct bd_ledger *ledger)
{
    if (!ledger)
        return;
    bd_ledger_clear(ledger);
    free(ledger->budgets);
    free(ledger);
}

static struct bd_ledger_job *find_job(const struct bd_ledger *ledger, const struct bd_job *job)
{
    struct bd_ledger_job *entry = NULL;
    HASH_FIND_PTR(ledger->jobs, &job, entry);
    return entry;
}

static struct bd_ledger_job *new_job(const struct bd_job *job)
{
    struct bd_ledger_job *entry = calloc(1, sizeof *entry);
    if (!entry)
        abort();
    entry->job = job;
    entry->up = roaring_bitmap_create();
    entry->down = roaring_bitmap_create();
    if (!entry->up || !entry->down)
        abort();
    return entry;
}

/* Finds the budgets in which the entry's tasks are counted. */
static void find_budgets(const struct bd_core *core, struct bd_ledger_job *entry)
{
    const struct bd_ledger *ledger = core->ledger;
    const char *job_class = bd_job_class_name(core, entry->job->job_class);
    for (uint32_t i = 0; i < ledger->nbudgets && entry->nbudgets < BD_BUDGETS_PER_JOB; i++) {
        const struct bd_budget *budget = &ledger->budgets[i];
        bool is_whole_team = !*budget->rule->job_class;
        if (budget->team == entry->job->spec.team &&
            (is_whole_team || strcmp(budget->rule->job_class, job_class) == 0))
            entry->budgets[entry->nbudgets++] = i;
    }
}

struct bd_ledger_job *bd_ledger_get_job(struct bd_core *core, const struct bd_job *job)
{
    struct bd_ledger *ledger = core->ledger;
    struct bd_ledger_job *entry = find_job(ledger, job);
    if (entry || !job->has_spec || job->spec.team < 0)
        return entry;
    entry = new_job(job);
    find_budgets(core, entry);
    HASH_ADD_PTR(ledger->jobs, job, entry);
    return entry;
}

/* Adds the changes `up` and `down` to the counts of the entry's budgets. */
static void add_counts(struct bd_ledger *ledger, const struct bd_ledger_job *entry, int up,
                       int down)
{
    for (uint32_t i = 0; i < entry->nbudgets; i++) {
        ledger->budgets[entry->budgets[i]].up += (uint32_t)up;
        ledger->budgets[entry->budgets[i]].down += (uint32_t)down;
    }
}

static void set_up(struct bd_ledger *ledger, struct bd_ledger_job *entry, uint32_t task)
{
    if (roaring_bitmap_contains(entry->up, task))
        return;
    roaring_bitmap_add(entry->up, task);
    add_counts(ledger, entry, 1, roaring_bitmap_remove_checked(entry->down, task) ? -1 : 0);
}

static void set_down(struct bd_ledger *ledger, struct bd_ledger_job *entry, uint32_t task)
{
    if (!roaring_bitmap_add_checked(entry->down, task))
        return;
    add_counts(ledger, entry, roaring_bitmap_remove_checked(entry->up, task) ? -1 : 0, 1);
}

/* Removes a task that has ended from the counts. */
static void set_done(struct bd_ledger *ledger, struct bd_ledger_job *entry, uint32_t task)
{
    int up = roaring_bitmap_remove_checked(entry->up, task) ? -1 : 0;
    int down = roaring_bitmap_remove_checked(entry->down, task) ? -1 : 0;
    add_counts(ledger, entry, up, down);
}

static bool is_running(const struct bd_task *task)
{
    return task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

/* Whether the task may be running and a stop of it was requested. */
static bool is_being_stopped(const struct bd_task *task)
{
    return task->flags & BD_TASK_FLAG_STOP_REQUESTED &&
           (task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING ||
            task->state == BD_TASK_UNKNOWN);
}

void bd_ledger_update_task(struct bd_core *core, struct bd_job *job, uint32_t index)
{
    if (!core->ledger || core->role != BD_LEADER)
        return;
    if (job->state != BD_JOB_ACTIVE) { /* the end of a job is no disruption */
        bd_ledger_remove_job(core, job);
        return;
    }
    struct bd_ledger *ledger = core->ledger;
    const struct bd_task *task = bd_job_task(job, index);
    struct bd_ledger_job *entry = bd_ledger_get_job(core, job);
    if (!entry)
        return;
    if (task->state == BD_TASK_DONE)
        set_done(ledger, entry, index);
    else if (is_running(task))
        set_up(ledger, entry, index);
    else if (is_being_stopped(task) || roaring_bitmap_contains(entry->up, index))
        set_down(ledger, entry, index);
}

void bd_ledger_remove_job(struct bd_core *core, const struct bd_job *job)
{
    if (!core->ledger)
        return;
    struct bd_ledger_job *entry = find_job(core->ledger, job);
    if (entry)
        remove_job(core->ledger, entry);
}

/* Whether an earlier leader may have started the job. Missing intents do not prove that it has not:
 * intents of lost tasks are deleted soon. But a pending array is no disruption, and an array
 * without any placed or done task is taken to be pending. */
static bool may_have_run(const struct bd_job *job)
{
    return job->spec.kind != BD_JOB_ARRAY || job->nplaced > 0 || job->ndone > 0 ||
           job->receipt_chunks != 0;
}

void bd_ledger_leadership_acquired(struct bd_core *core)
{
    struct bd_ledger *ledger = core->ledger;
    bd_ledger_clear(ledger);
    for (struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->state != BD_JOB_ACTIVE || !job->tasks || !may_have_run(job))
            continue;
        struct bd_ledger_job *entry = bd_ledger_get_job(core, job);
        for (uint32_t i = 0; entry && i < job->ntasks; i++)
            if (bd_job_task(job, i)->state != BD_TASK_DONE)
                set_down(ledger, entry, i);
    }
}

bool bd_ledger_is_up(const struct bd_ledger *ledger, const struct bd_job *job, uint32_t task)
{
    const struct bd_ledger_job *entry = find_job(ledger, job);
    return entry && roaring_bitmap_contains(entry->up, task);
}

static void count_unresponsive_tasks(struct bd_ledger *ledger, const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        const struct bd_ledger_job *entry = find_job(ledger, reservation->job);
        if (!entry || !roaring_bitmap_contains(entry->up, reservation->task->index))
            continue;
        for (uint32_t k = 0; k < entry->nbudgets; k++)
            ledger->budgets[entry->budgets[k]].unresponsive++;
    }
}

/* Whether it is uncertain that the machine's tasks are running. */
static bool may_have_failed(const struct bd_core *core, const struct bd_machine *machine)
{
    return !machine->has_seen_term || machine->termination_notice_s >= 0 ||
           bd_machine_is_overdue(core, machine);
}

void bd_ledger_update_unresponsive(struct bd_core *core)
{
    struct bd_ledger *ledger = core->ledger;
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        ledger->budgets[i].unresponsive = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (!machine->terminated && machine->nreservations > 0 && may_have_failed(core, machine))
            count_unresponsive_tasks(ledger, machine);
    }
}

uint32_t bd_budget_allowed(const struct bd_budget *budget)
{
    const struct bd_budget_rule *rule = budget->rule;
    if (!rule->is_percentage || rule->amount <= 0)
        return (uint32_t)rule->amount;
    double share = floor(rule->amount / 100 * (double)(budget->up + budget->down));
    return share < 1 ? 1 : (uint32_t)share;
}

uint32_t bd_budget_remaining(const struct bd_budget *budget)
{
    uint32_t allowed = bd_budget_allowed(budget), used = budget->down + budget->unresponsive;
    return used < allowed ? allowed - used : 0;
}

const char *bd_budget_team_name(const struct bd_core *core, const struct bd_budget *budget)
{
    return core->settings->teams[budget->team].name;
}

void bd_ledger_get_counts(const struct bd_core *core, const char *team, const char *job_class,
                          uint32_t *down, uint32_t *up)
{
    *down = *up = 0;
    for (uint32_t i = 0; core->ledger && i < core->ledger->nbudgets; i++) {
        const struct bd_budget *budget = &core->ledger->budgets[i];
        if (strcmp(bd_budget_team_name(core, budget), team) != 0 ||
            strcmp(budget->rule->job_class, job_class) != 0)
            continue;
        *down = budget->down;
        *up = budget->up;
    }
}
