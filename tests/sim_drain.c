/* Drains on simulated days: administrators' records, and the replicas' changes of state that are
 * passed to the checker of drains. */
#include "sim_drain.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "drain/drain_rules.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEAMS 2

/* ---- administrators ---- */

struct bd_drain_rules *sim_drain_rules(const struct sim *sim)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules =
        (struct bd_drain_rules){.machines_in_step = 1 + (uint32_t)(sim->seed % 4),
                                .stop_timeout_s = 10,
                                .completion_timeout_s = 20,
                                .replacement_timeout_s = 30,
                                .record_retention_s = 60,
                                .planner = sim->seed % 3 ? BD_PLANNER_SOLVER : BD_PLANNER_GREEDY};
    for (int team = 0; team < TEAMS; team++) {
        struct bd_budget_rule *rule = &rules->budgets[rules->nbudgets++];
        snprintf(rule->team, sizeof rule->team, "%s", team ? "b" : "a");
        rule->amount = sim->check.budgets[team];
    }
    return rules;
}

static void commit(struct sim *sim, struct bd_txn *txn)
{
    char *body = bd_txn_finish(txn);
    json_t *request = json_loads(body, 0, NULL), *answer = NULL;
    sim->writer = -1;
    (void)table_commit(&sim->table, request, &answer);
    json_decref(request);
    json_decref(answer);
    free(body);
}

static uint64_t key_revision(const struct sim *sim, const char *key)
{
    const struct table_key *entry = table_find(&sim->table, key);
    return entry && entry->value ? entry->revision : 0;
}

static void write_record(struct sim *sim, const struct bd_drain_record *record, const char *key)
{
    struct bd_txn txn;
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, key_revision(sim, key));
    bd_txn_put(&txn, key, bd_drain_record_encode(record), 0);
    commit(sim, &txn);
}

/* Writes the drain's machines in parts, as the administration API does. */
static void write_machine_set(struct sim *sim, const struct bd_drain_record *record,
                              const struct bd_drain_machine *machines)
{
    struct bd_txn txn;
    uint32_t half = record->nmachines / record->nparts;
    for (uint32_t part = 0, from = 0; part < record->nparts; part++, from += half) {
        char key[BD_LABEL_BYTES];
        uint32_t count = part + 1 < record->nparts ? half : record->nmachines - from;
        if (!bd_txn_begin(&txn))
            abort();
        bd_drain_part_key(key, sizeof key, record->machine_set_id, part);
        bd_txn_put(&txn, key, bd_drain_part_encode(machines + from, count), 0);
        commit(sim, &txn);
    }
}

void sim_drain_request(struct sim *sim, uint32_t machines, bool replaces)
{
    struct bd_drain_machine entries[SIM_MACHINES_MAX];
    struct bd_drain_record record = {.mode = replaces ? BD_DRAIN_REPLACE : BD_DRAIN_RETIRE,
                                     .state = BD_DRAIN_ACTIVE,
                                     .requested_at_s = SIM_WALL_START_S + sim->now,
                                     .request = json_object()};
    char key[BD_LABEL_BYTES + 8];
    memset(entries, 0, sizeof entries);
    for (int i = 0; i < sim->nworkers && record.nmachines < machines; i++)
        if (!sim->workers[i].is_removed && sim->now > sim->workers[i].up_at)
            snprintf(entries[record.nmachines++].id, BD_LABEL_BYTES, "%s", sim->workers[i].id);
    snprintf(record.name, sizeof record.name, "drain-%d", sim->ndrains);
    snprintf(record.machine_set_id, sizeof record.machine_set_id, "set-%d", sim->ndrains);
    record.nparts = record.nmachines > 1 ? 2 : 1;
    snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "%s", record.name);
    if (record.nmachines > 0) {
        write_machine_set(sim, &record, entries);
        write_record(sim, &record, key);
        sim_trace(sim, "%s: %u machines", record.name, record.nmachines);
        sim->ndrains++;
        sim->drains_stand = false;
    }
    json_decref(record.request);
}

/* Returns false if there is no such record. */
static bool read_drain(const struct sim *sim, int number, struct bd_drain_record *record)
{
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "drain-%d", number);
    const struct table_key *entry = table_find(&sim->table, key);
    return entry && entry->value &&
           bd_drain_record_decode(key + strlen(BD_DRAIN_KEY_PREFIX), entry->value, entry->revision,
                                  record);
}

static bool is_in_progress(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_ACTIVE || record->state == BD_DRAIN_PAUSED;
}

/* Begins or ends the count of the stops that may follow a pause or a cancellation. */
static void count_stops_left(struct sim *sim)
{
    struct bd_drain_record record;
    sim->drains_stand = true;
    for (int i = 0; i < sim->ndrains; i++)
        if (read_drain(sim, i, &record) && record.state == BD_DRAIN_ACTIVE)
            sim->drains_stand = false;
    for (int team = 0; team < TEAMS; team++)
        sim->stops_left[team] = sim->check.budgets[team];
}

void sim_drain_set_state(struct sim *sim, enum bd_drain_state state)
{
    struct bd_drain_record record;
    char key[BD_LABEL_BYTES + 8];
    for (int i = sim->ndrains - 1; i >= 0; i--) {
        if (!read_drain(sim, i, &record) || !is_in_progress(&record) || record.state == state)
            continue;
        record.state = state;
        record.ended_at_s = state == BD_DRAIN_CANCELLED ? SIM_WALL_START_S + sim->now : 0;
        snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "%s", record.name);
        write_record(sim, &record, key);
        sim_trace(sim, "%s is %s", record.name, bd_drain_state_name(state));
        count_stops_left(sim);
        return;
    }
}

void sim_drains_resume(struct sim *sim)
{
    for (int i = 0; i < sim->ndrains; i++)
        sim_drain_set_state(sim, BD_DRAIN_ACTIVE);
}

bool sim_drains_finished(const struct sim *sim)
{
    struct bd_drain_record record;
    for (int i = 0; i < sim->ndrains; i++)
        if (read_drain(sim, i, &record) && is_in_progress(&record))
            return false;
    return true;
}

/* ---- workers ---- */

/* Guards against stops on a record that was read before a pause or a cancellation was accepted:
 * only those that were decided before may follow, as many as may be down at a time. */
static void check_stop_after_pause(struct sim *sim, const struct sim_worker *worker,
                                   const struct sim_slot *slot)
{
    const struct sim_job *job = &sim->jobs[slot->job];
    if (!sim->drains_stand)
        return;
    if (sim->stops_left[job->team] == 0)
        sim_violation(sim,
                      "pause: %s/%u was stopped on %s, more than %u replicas of team %d after the "
                      "drains were paused or cancelled",
                      job->id, slot->task, worker->id, sim->check.budgets[job->team], job->team);
    else
        sim->stops_left[job->team]--;
}

void sim_drain_replica_stopped(struct sim *sim, const struct sim_worker *worker,
                               const struct sim_slot *slot)
{
    const struct sim_job *job = &sim->jobs[slot->job];
    if (!sim->has_drains || job->kind != BD_JOB_SERVICE)
        return;
    for (int i = 0; i < sim->njobs; i++)
        if (sim->jobs[i].cancel_requested_at > 0)
            drain_check_job_cancelled(&sim->check, i);
    if (job->cancel_requested_at > 0)
        return;
    if (!drain_check_replica_stopped(&sim->check, sim->now, slot->job, slot->task))
        sim_violation(
            sim, "budget: %s/%u was stopped on %s, and more replicas of team %d are down than %u",
            job->id, slot->task, worker->id, job->team, sim->check.budgets[job->team]);
    check_stop_after_pause(sim, worker, slot);
}

void sim_drain_replica_running(struct sim *sim, const struct sim_slot *slot)
{
    const struct sim_job *job = &sim->jobs[slot->job];
    if (sim->has_drains && job->kind == BD_JOB_SERVICE && job->cancel_requested_at <= 0)
        drain_check_replica_running(&sim->check, slot->job, slot->task, job->team);
}

void sim_drain_replica_lost(struct sim *sim, const struct sim_slot *slot)
{
    if (sim->has_drains && sim->jobs[slot->job].kind == BD_JOB_SERVICE)
        drain_check_replica_lost(&sim->check, sim->now, slot->job, slot->task);
}
