/* Builds the leader's transaction of a round: intents, receipts, done and cancelled records. Part
 * of the pure core. */
#include "leadership/commit.h"
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GC_S 2.0
#define GC_AGAIN_S 0.3 /* when there was more than one transaction takes */
#define TXN_BYTES 56000u
#define INTENT_BYTES 42000u /* of them for intent records */

/* ---- building ---- */

struct build {
    struct bd_txn t;
    size_t ops, most_ops, bytes, compares, compares_max;
};

static bool room_for(const struct build *builder, size_t ops, size_t compares, size_t bytes)
{
    return builder->ops + ops <= builder->most_ops &&
           builder->compares + compares <= builder->compares_max &&
           builder->bytes + bytes <= TXN_BYTES;
}

static void spend(struct build *builder, size_t ops, size_t compares, size_t bytes)
{
    builder->ops += ops;
    builder->compares += compares;
    builder->bytes += bytes;
}

static void if_job(struct build *builder, const struct bd_job *job)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", job->id);
    bd_txn_compare(&builder->t, key, job->revision);
    spend(builder, 0, 1, 80);
}

/* How many intent records a transaction may hold beside receipts. */
uint32_t bd_cycle_intent_records(const struct bd_core *core)
{
    size_t n = INTENT_BYTES / core->kv_limits.kv_value_bytes_max,
           ops = bd_kv_limits_txn_ops(core) / 4;
    n = n < ops ? n : ops;
    return n < 1 ? 1 : n > BD_CYCLE_INTENT_RECORDS_MAX ? BD_CYCLE_INTENT_RECORDS_MAX : (uint32_t)n;
}

static bool same_group(const struct bd_intent *a, const struct bd_intent *b)
{
    return a->job == b->job && a->machine == b->machine && a->attempt == b->attempt;
}

/* The value of one record, from the entries that fit it; *n says how many they were. */
static json_t *intent_value(struct bd_core *core, const struct bd_intent *e, uint32_t *n)
{
    json_t *list = json_array();
    double capacity = BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max;
    uint32_t i = 0;
    while (i < *n) {
        struct bd_machine *machine = bd_machine_of(core, e[i].machine);
        size_t head = machine ? bd_group_bytes(e[i].job, machine) : BD_LABEL;
        uint32_t k = i;
        json_t *tasks = json_array();
        capacity -= (double)head;
        for (; k < *n && same_group(&e[k], &e[i]) && capacity >= BD_TASK_BYTES; k++) {
            json_array_append_new(tasks, json_integer(e[k].task));
            capacity -= BD_TASK_BYTES;
        }
        if (k == i) {
            json_decref(tasks);
            break;
        }
        json_array_append_new(list, json_pack("[s,I,s,o]", e[i].job->id, (json_int_t)e[i].attempt,
                                              machine ? machine->id : "?", tasks));
        i = k;
    }
    *n = i;
    return json_pack("{s:o}", "e", list);
}

static void add_intents(struct bd_core *core, struct build *builder)
{
    struct bd_commit *commit = core->lead.commit;
    struct bd_job *prev = NULL;
    for (uint32_t i = 0; i < commit->nplan; i++) {
        if (commit->plan[i].job != prev)
            if_job(builder, commit->plan[i].job);
        prev = commit->plan[i].job;
    }
    for (uint32_t i = 0; i < commit->nplan && commit->nparts < bd_cycle_intent_records(core);) {
        struct bd_part *p = &commit->parts[commit->nparts++];
        p->from = i;
        p->n = commit->nplan - i;
        snprintf(p->key, sizeof p->key, "i/%020llu-%08llu",
                 (unsigned long long)core->lead.base_term,
                 (unsigned long long)++core->lead.cycle_number);
        bd_txn_put(&builder->t, p->key, intent_value(core, commit->plan + i, &p->n), 0);
        spend(builder, 1, 0, core->kv_limits.kv_value_bytes_max);
        i += p->n;
    }
}

/* What no record had room for is not started: its time comes in the next round. */
static void unplan_rest(struct bd_core *core)
{
    struct bd_commit *commit = core->lead.commit;
    uint32_t named = commit->nparts ? commit->parts[commit->nparts - 1].from +
                                          commit->parts[commit->nparts - 1].n
                                    : 0;
    for (uint32_t i = named; i < commit->nplan; i++)
        bd_task_release(core, commit->plan[i].job, commit->plan[i].task,
                        BD_RELEASE_INTENT_NOT_COMMITTED);
    if (named < commit->nplan)
        bd_log_write(core->log, BD_LOG_ERROR, "%u launches did not fit the intent records",
                     commit->nplan - named);
    commit->nplan = named;
}

/* The job's record, on condition that it is the one that we know; `bytes` of it, at most. */
static void add_record(struct build *builder, const struct bd_job *job, json_t *record,
                       size_t bytes)
{
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", job->id);
    if_job(builder, job);
    bd_txn_put(&builder->t, key, record, 0);
    spend(builder, 1, 0, bytes);
}

static bool add_done(struct bd_core *core, struct build *builder, struct bd_job *job)
{
    struct bd_commit *commit = core->lead.commit;
    if (commit->ndone == BD_CYCLE_JOBS_MAX || !room_for(builder, 1, 1, 300))
        return false;
    struct bd_record r = {
        .state = BD_JOB_DONE, .tasks = job->ntasks, .at = job->at, .end = core->wall};
    snprintf(r.spec.job_class, sizeof r.spec.job_class, "%s", bd_class_name(core, job->job_class));
    add_record(builder, job, bd_wire_record(&r), 200);
    commit->done[commit->ndone++] = job;
    return true;
}

/* The leader makes durable, as the rate allows, what follows from other jobs' cancellations. */
static void add_cancelled(struct bd_core *core, struct build *builder)
{
    struct bd_commit *commit = core->lead.commit;
    struct bd_job *job, *jt;
    const size_t most = 1000; /* of a cancelled record */
    if (core->graph.ncancelled_by_parent == 0)
        return;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (!job->cancelled_by_parent || job->stale || bd_before(core->now, job->backoff_until))
            continue;
        if (commit->ncancelled == BD_CYCLE_JOBS_MAX || !room_for(builder, 1, 1, most))
            return;
        add_record(builder, job, bd_cancelled_record(job), most);
        commit->cancelled[commit->ncancelled++] = job;
    }
}

static void receipt_bits(const struct bd_job *job, struct bd_receipt *r)
{
    uint32_t from = r->chunk * BD_RECEIPT_CHUNK_TASKS;
    memset(r->bits, 0, sizeof r->bits);
    for (uint32_t i = 0; i < BD_RECEIPT_CHUNK_TASKS && from + i < job->ntasks; i++)
        if (job->tasks[from + i].state == BD_TASK_DONE)
            r->bits[i / 8] |= (unsigned char)(1u << (i % 8));
}

static json_t *receipt_value(const struct bd_job *job, const struct bd_receipt *r)
{
    char text[BD_RECEIPT_CHUNK_TASKS / 4 + 1];
    uint32_t left = job->ntasks - r->chunk * BD_RECEIPT_CHUNK_TASKS;
    uint32_t n = ((left < BD_RECEIPT_CHUNK_TASKS ? left : BD_RECEIPT_CHUNK_TASKS) + 7) / 8;
    for (uint32_t i = 0; i < n; i++) {
        text[(size_t)2 * i] = BD_HEX_DIGITS[r->bits[i] >> 4];
        text[(size_t)2 * i + 1] = BD_HEX_DIGITS[r->bits[i] & 15];
    }
    text[(size_t)2 * n] = '\0';
    return json_pack("{s:s}", "b", text);
}

static bool add_receipt(struct bd_core *core, struct build *builder, struct bd_job *job,
                        uint32_t chunk)
{
    struct bd_commit *commit = core->lead.commit;
    uint32_t left = job->ntasks - chunk * BD_RECEIPT_CHUNK_TASKS;
    size_t bytes = (left < BD_RECEIPT_CHUNK_TASKS ? left : BD_RECEIPT_CHUNK_TASKS) / 4 + 16;
    if (!room_for(builder, 1, 1, bytes + 200))
        return false;
    if (bytes >
        core->kv_limits.kv_value_bytes_max) /* fits no value any more: its done record says it */
        return true;
    struct bd_receipt *grown = realloc(commit->receipts, (commit->nreceipts + 1) * sizeof *grown);
    if (!grown)
        return false;
    commit->receipts = grown;
    struct bd_receipt *r = &commit->receipts[commit->nreceipts++];
    r->job = job;
    r->chunk = chunk;
    receipt_bits(job, r);
    char key[BD_LABEL];
    snprintf(key, sizeof key, "r/%s/%u", job->id, chunk);
    bd_txn_put(&builder->t, key, receipt_value(job, r), 0);
    spend(builder, 1, 0, bytes + 100);
    return true;
}

static void add_receipts(struct bd_core *core, struct build *builder)
{
    struct bd_job *job, *jt;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (!job->dirty || !job->tasks || job->state != BD_JOB_ACTIVE || job->stale ||
            bd_before(core->now, job->backoff_until))
            continue;
        if (job->ndone == job->ntasks) {
            if (!add_done(core, builder, job))
                return;
            continue;
        }
        bool any = false;
        for (uint32_t ch = 0; ch * BD_RECEIPT_CHUNK_TASKS < job->ntasks; ch++) {
            if (!(job->dirty_chunks >> ch & 1))
                continue;
            if (!any)
                if_job(builder, job);
            any = true;
            if (!add_receipt(core, builder, job, ch))
                return;
        }
    }
}

static bool round_live(const struct bd_intent_record *r)
{
    for (uint32_t i = 0; i < r->n; i++) {
        const struct bd_intent *e = &r->e[i];
        if (!e->job->tasks)
            continue;
        const struct bd_task *task = &e->job->tasks[e->task];
        if (task->attempt == e->attempt && task->machine == e->machine)
            return true;
    }
    return false;
}

static void drop_key(struct bd_core *core, struct build *builder, const char *key)
{
    struct bd_commit *commit = core->lead.commit;
    bd_txn_delete(&builder->t, key);
    spend(builder, 1, 0, 80);
    snprintf(commit->dropped[commit->ndropped++], BD_LABEL, "%s", key);
}

static bool can_drop(const struct bd_core *core, const struct build *builder)
{
    return core->lead.commit->ndropped < sizeof core->lead.commit->dropped / BD_LABEL &&
           room_for(builder, 1, 0, 80);
}

/* Records that nothing needs any more. */
static void add_drops(struct bd_core *core, struct build *builder)
{
    struct bd_job *job, *jt;
    char key[BD_LABEL];
    if (*core->delegates.stale && can_drop(core, builder))
        drop_key(core, builder, core->delegates.stale);
    core->delegates.stale[0] = '\0';
    for (uint32_t i = 0; i < core->lead.nintent_records && can_drop(core, builder); i++)
        if (!round_live(&core->lead.intent_records[i]))
            drop_key(core, builder, core->lead.intent_records[i].key);
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (job->state == BD_JOB_CANCELLED && job->tasks && job->nplaced == 0)
            bd_job_stop_tracking(job); /* nothing of it is anywhere any more */
        if (job->state == BD_JOB_ACTIVE || !job->receipt_chunks)
            continue;
        for (uint32_t ch = 0; ch < 64 && can_drop(core, builder); ch++) {
            if (job->receipt_chunks >> ch & 1) {
                snprintf(key, sizeof key, "r/%s/%u", job->id, ch);
                drop_key(core, builder, key);
                job->receipt_chunks &= ~(1ull << ch);
            }
        }
    }
}

static void add_token_raise(struct bd_core *core, struct build *builder)
{
    if (!core->lead.token_raise_wanted)
        return;
    core->lead.token_raise_wanted = false;
    core->lead.commit->raises_fencing_token = true;
    json_t *away = bd_delegates_dismissed(core);
    bd_txn_put(&builder->t, "leader",
               json_pack("{s:s,s:s,s:o}", "node", core->settings->node, "nonce", core->lead.nonce,
                         "away", away),
               core->lead.grant);
    spend(builder, 1, 0, 200);
}

/* How far the drains' machines are: a step is told only after it is on record. */
static void add_drains(struct bd_core *core, struct build *builder)
{
    struct bd_drain_write write;
    while (room_for(builder, 1, 1, core->kv_limits.kv_value_bytes_max) &&
           bd_drain_next_write(core, &write)) {
        if (write.revision)
            bd_txn_compare(&builder->t, write.key, write.revision);
        if (write.value)
            bd_txn_put(&builder->t, write.key, write.value, 0);
        else
            bd_txn_delete(&builder->t, write.key);
        spend(builder, 1, write.revision ? 1 : 0, write.bytes + 100);
    }
}

void bd_cycle_commit(struct bd_core *core)
{
    struct bd_commit *commit = core->lead.commit;
    struct build b = {.most_ops = bd_kv_limits_txn_ops(core) - 1,
                      .compares_max = 4 * core->kv_limits.kv_txn_ops_max - 2};
    if (!bd_txn_begin(&b.t))
        abort();
    bd_txn_compare(&b.t, "leader", core->lead.term);
    bd_txn_compare(&b.t, "w", core->lead.sequence_revision);
    add_token_raise(core, &b);
    add_intents(core, &b);
    unplan_rest(core);
    add_receipts(core, &b);
    add_cancelled(core, &b);
    add_drains(core, &b);
    if (bd_before(core->lead.next_gc, core->now)) {
        add_drops(core, &b);
        /* thousands of old intents would slow the next takeover */
        core->lead.next_gc = bd_add(core->now, bd_secs(can_drop(core, &b) ? GC_S : GC_AGAIN_S));
    }
    if (b.ops == 0) {
        free(bd_txn_finish(&b.t));
        bd_commit_free(commit);
        core->lead.commit = NULL;
        return;
    }
    core->lead.sequence++;
    bd_txn_put(&b.t, "w",
               json_pack("{s:I,s:I}", "t", (json_int_t)core->lead.base_term, "n",
                         (json_int_t)core->lead.sequence),
               0);
    core->lead.write_budget -= (double)(b.ops + 1);
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_LEADER_TXN);
    effect->body = bd_txn_finish(&b.t);
    effect->sequence = core->lead.sequence;
    snprintf(effect->key, sizeof effect->key, "%llu", (unsigned long long)core->lead.base_term);
}

void bd_commit_free(struct bd_commit *commit)
{
    if (!commit)
        return;
    free(commit->plan);
    free(commit->receipts);
    free(commit);
}

size_t bd_group_bytes(const struct bd_job *job, const struct bd_machine *machine)
{
    return strlen(job->id) + strlen(machine->id) + 36;
}
