/* Drains on simulated days: administrators' records, and the workers' own history for the checker.
 */
#include "sim_drain.h"
#include "drain/drain.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEAMS 2

/* ---- the administrators ---- */

struct bd_drain_rules *sim_drain_rules(const struct sim *s)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules =
        (struct bd_drain_rules){.machines_in_step = 1 + (uint32_t)(s->seed % 4),
                                .stop_s = 10,
                                .wait_s = 20,
                                .replace_s = 30,
                                .keep_s = 60,
                                .planner = s->seed % 3 ? BD_PLANNER_SOLVER : BD_PLANNER_GREEDY};
    for (int team = 0; team < TEAMS; team++) {
        struct bd_budget_rule *rule = &rules->budgets[rules->nbudgets++];
        snprintf(rule->team, sizeof rule->team, "%s", team ? "b" : "a");
        rule->amount = s->check.budgets[team];
    }
    return rules;
}

static void commit(struct sim *s, struct bd_txn *txn)
{
    char *body = bd_txn_finish(txn);
    json_t *in = json_loads(body, 0, NULL), *out = NULL;
    s->writer = -1;
    (void)table_commit(&s->table, in, &out);
    json_decref(in);
    json_decref(out);
    free(body);
}

static uint64_t revision_of(const struct sim *s, const char *key)
{
    const struct table_key *k = table_find(&s->table, key);
    return k && k->value ? k->revision : 0;
}

static void write_record(struct sim *s, const struct bd_drain_record *record, const char *key)
{
    struct bd_txn txn;
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, revision_of(s, key));
    bd_txn_put(&txn, key, bd_drain_record_value(record), 0);
    commit(s, &txn);
}

/* The machines, two parts of them, as the administration resources write them. */
static void write_set(struct sim *s, const struct bd_drain_record *record,
                      const struct bd_drain_machine *machines)
{
    struct bd_txn txn;
    uint32_t half = record->machines / record->parts;
    for (uint32_t part = 0, from = 0; part < record->parts; part++, from += half) {
        char key[BD_LABEL];
        uint32_t n = part + 1 < record->parts ? half : record->machines - from;
        if (!bd_txn_begin(&txn))
            abort();
        bd_drain_part_key(key, sizeof key, record->set, part);
        bd_txn_put(&txn, key, bd_drain_part_value(machines + from, n), 0);
        commit(s, &txn);
    }
}

void sim_drain_ask(struct sim *s, uint32_t machines, bool replaces)
{
    struct bd_drain_machine entries[SIM_MACHINES];
    struct bd_drain_record record = {.mode = replaces ? BD_DRAIN_REPLACE : BD_DRAIN_RETIRE,
                                     .state = BD_DRAIN_ACTIVE,
                                     .at = 1e6 + s->now,
                                     .asked = json_object()};
    char key[BD_LABEL + 8];
    memset(entries, 0, sizeof entries);
    for (int i = 0; i < s->nworkers && record.machines < machines; i++)
        if (!s->workers[i].gone && s->now > s->workers[i].up_at)
            snprintf(entries[record.machines++].id, BD_LABEL, "%s", s->workers[i].id);
    snprintf(record.name, sizeof record.name, "drain-%d", s->ndrains);
    snprintf(record.set, sizeof record.set, "set-%d", s->ndrains);
    record.parts = record.machines > 1 ? 2 : 1;
    snprintf(key, sizeof key, BD_DRAIN_KEY "%s", record.name);
    if (record.machines > 0) {
        write_set(s, &record, entries);
        write_record(s, &record, key);
        sim_trace(s, "%s: %u machines", record.name, record.machines);
        s->ndrains++;
    }
    json_decref(record.asked);
}

/* False: there is none any more. */
static bool read_drain(const struct sim *s, int n, struct bd_drain_record *record)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, BD_DRAIN_KEY "drain-%d", n);
    const struct table_key *k = table_find(&s->table, key);
    return k && k->value &&
           bd_drain_record_read(key + strlen(BD_DRAIN_KEY), k->value, k->revision, record);
}

static bool goes_on(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_ACTIVE || record->state == BD_DRAIN_PAUSED;
}

void sim_drain_change(struct sim *s, enum bd_drain_state to)
{
    struct bd_drain_record record;
    char key[BD_LABEL + 8];
    for (int i = s->ndrains - 1; i >= 0; i--) {
        if (!read_drain(s, i, &record) || !goes_on(&record) || record.state == to)
            continue;
        record.state = to;
        record.ended = to == BD_DRAIN_CALLED_OFF ? 1e6 + s->now : 0;
        snprintf(key, sizeof key, BD_DRAIN_KEY "%s", record.name);
        write_record(s, &record, key);
        sim_trace(s, "%s is %s", record.name, bd_drain_state_name(to));
        return;
    }
}

/* Nobody is left to resume what was paused. */
void sim_drains_resume(struct sim *s)
{
    for (int i = 0; i < s->ndrains; i++)
        sim_drain_change(s, BD_DRAIN_ACTIVE);
}

bool sim_drains_over(const struct sim *s)
{
    struct bd_drain_record record;
    for (int i = 0; i < s->ndrains; i++)
        if (read_drain(s, i, &record) && goes_on(&record))
            return false;
    return true;
}

/* ---- what the workers did ---- */

void sim_drain_stopped(struct sim *s, const struct sim_worker *w, const struct sim_slot *t)
{
    const struct sim_job *j = &s->jobs[t->job];
    if (!s->draining || j->kind != BD_JOB_SERVICE)
        return;
    for (int i = 0; i < s->njobs; i++)
        if (s->jobs[i].asked_cancel > 0)
            drain_check_ended(&s->check, i);
    if (j->asked_cancel > 0)
        return;
    if (!drain_check_stopped(&s->check, s->now, t->job, t->task))
        sim_violation(s, "budget: %s/%u is stopped on %s, more of team %d are down than %u", j->id,
                      t->task, w->id, j->team, s->check.budgets[j->team]);
}

void sim_drain_runs(struct sim *s, const struct sim_slot *t)
{
    const struct sim_job *j = &s->jobs[t->job];
    if (s->draining && j->kind == BD_JOB_SERVICE && j->asked_cancel <= 0)
        drain_check_runs(&s->check, t->job, t->task, j->team);
}

void sim_drain_lost(struct sim *s, const struct sim_slot *t)
{
    if (s->draining && s->jobs[t->job].kind == BD_JOB_SERVICE)
        drain_check_lost(&s->check, s->now, t->job, t->task);
}
