/* Builds the leader's transaction of a scheduling cycle: intents, receipts, records of jobs that
 * are done or cancelled, and drains. Its deletions are added by commit_garbage.c. Part of the pure
 * core. */
#include "leadership/commit.h"
#include "base/json_number.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>

/* Intent records may take INTENT_BYTES_MAX bytes of a transaction and 1/INTENT_OPS_DIVISOR of its
 * changes. The rest is left for receipts. */
#define INTENT_BYTES_MAX 42000u
#define INTENT_OPS_DIVISOR 4

#define LEADER_RECORD_BYTES 200u
#define DONE_RECORD_BYTES 200u
#define DONE_TXN_BYTES 300u /* a done record with its comparison */
#define CANCELLED_RECORD_BYTES 1000u
#define RECEIPT_KEY_BYTES 100u
#define RECEIPT_TXN_BYTES 200u /* a receipt's key and its job's comparison */
#define DRAIN_KEY_BYTES 100u
#define COMPARES_PER_OP 4 /* comparisons that the store allows for each change that it allows */

/* ---- intents ---- */

uint32_t bd_txn_intent_records_max(const struct bd_core *core)
{
    size_t by_bytes = INTENT_BYTES_MAX / core->kv_limits.kv_value_bytes_max;
    size_t by_ops = bd_kv_limits_txn_ops(core) / INTENT_OPS_DIVISOR;
    size_t records = by_bytes < by_ops ? by_bytes : by_ops;
    if (records < 1)
        return 1;
    return records > BD_CYCLE_INTENT_RECORDS_MAX ? BD_CYCLE_INTENT_RECORDS_MAX : (uint32_t)records;
}

static void add_intent_record(struct bd_core *core, struct bd_txn_builder *builder,
                              uint32_t first_intent)
{
    struct bd_commit *commit = core->lead.commit;
    struct bd_intent_slice *slice = &commit->intent_slices[commit->nintent_slices++];
    slice->first_intent = first_intent;
    slice->count = commit->nplan - first_intent;
    snprintf(slice->key, sizeof slice->key, "i/%020llu-%08llu",
             (unsigned long long)core->lead.base_term,
             (unsigned long long)++core->lead.last_intent_record);
    json_t *value = bd_intent_record_value(core, commit->plan + first_intent, &slice->count);
    bd_txn_put(&builder->txn, slice->key, value, 0);
    bd_txn_builder_count(builder, 1, 0, core->kv_limits.kv_value_bytes_max);
}

/* Adds the plan's intents. Returns the number that fit into the intent records. */
static uint32_t add_intents(struct bd_core *core, struct bd_txn_builder *builder)
{
    struct bd_commit *commit = core->lead.commit;
    const struct bd_job *compared = NULL;
    for (uint32_t i = 0; i < commit->nplan; i++) {
        if (commit->plan[i].job != compared)
            bd_txn_builder_compare_job(builder, commit->plan[i].job);
        compared = commit->plan[i].job;
    }
    uint32_t written = 0;
    while (written < commit->nplan && commit->nintent_slices < bd_txn_intent_records_max(core)) {
        add_intent_record(core, builder, written);
        written += commit->intent_slices[commit->nintent_slices - 1].count;
    }
    return written;
}

/* Releases the planned launches from index `first` on. A later cycle places the tasks again. */
static void release_plan_from(struct bd_core *core, uint32_t first)
{
    struct bd_commit *commit = core->lead.commit;
    for (uint32_t i = first; i < commit->nplan; i++)
        bd_task_release(core, commit->plan[i].job, commit->plan[i].task,
                        BD_RELEASE_INTENT_NOT_COMMITTED);
    if (first < commit->nplan)
        bd_log_write(core->log, BD_LOG_ERROR,
                     "%u planned launches did not fit into the intent records; released",
                     commit->nplan - first);
    commit->nplan = first;
}

/* ---- jobs that ended, and receipts ---- */

/* Adds the record of a job whose tasks are all done. Returns false if the transaction is full. */
static bool add_done_record(struct bd_core *core, struct bd_txn_builder *builder,
                            struct bd_job *job)
{
    struct bd_commit *commit = core->lead.commit;
    if (commit->ndone == BD_CYCLE_JOBS_MAX || !bd_txn_builder_fits(builder, 1, 1, DONE_TXN_BYTES))
        return false;
    struct bd_job_record record = {.state = BD_JOB_DONE,
                                   .tasks = job->ntasks,
                                   .submitted_at = job->submitted_at,
                                   .ended_at = core->wall_s};
    snprintf(record.spec.job_class, sizeof record.spec.job_class, "%s",
             bd_job_class_name(core, job->job_class));
    bd_txn_builder_put_job(builder, job, bd_wire_write_job_record(&record), DONE_RECORD_BYTES);
    commit->done[commit->ndone++] = job;
    return true;
}

/* Adds the records of jobs that a parent's cancellation cancelled until the transaction is full. */
static void add_cancelled_records(struct bd_core *core, struct bd_txn_builder *builder)
{
    struct bd_commit *commit = core->lead.commit;
    struct bd_job *job, *next;
    if (core->graph.nunrecorded_cancellations == 0)
        return;
    HASH_ITER(hh, core->jobs, job, next)
    {
        if (!job->cancelled_by_parent || job->record_stale ||
            bd_time_is_before(core->now, job->backoff_until))
            continue;
        if (commit->ncancelled == BD_CYCLE_JOBS_MAX ||
            !bd_txn_builder_fits(builder, 1, 1, CANCELLED_RECORD_BYTES))
            return;
        bd_txn_builder_put_job(builder, job, bd_job_cancelled_record(job), CANCELLED_RECORD_BYTES);
        commit->cancelled[commit->ncancelled++] = job;
    }
}

/* Adds the receipt of a chunk. Returns false if the transaction is full or memory has run out. */
static bool add_receipt(struct bd_core *core, struct bd_txn_builder *builder, struct bd_job *job,
                        uint32_t chunk)
{
    struct bd_commit *commit = core->lead.commit;
    size_t bytes = bd_receipt_value_bytes(job, chunk);
    if (!bd_txn_builder_fits(builder, 1, 1, bytes + RECEIPT_TXN_BYTES))
        return false;
    /* the limit of a value may have been lowered; the job's done record will cover the chunk */
    if (bytes > core->kv_limits.kv_value_bytes_max)
        return true;
    struct bd_receipt *grown = realloc(commit->receipts, (commit->nreceipts + 1) * sizeof *grown);
    if (!grown)
        return false;
    commit->receipts = grown;
    struct bd_receipt *receipt = &commit->receipts[commit->nreceipts++];
    bd_receipt_fill(receipt, job, chunk);
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "r/%s/%u", job->id, chunk);
    bd_txn_put(&builder->txn, key, bd_receipt_value(receipt), 0);
    bd_txn_builder_count(builder, 1, 0, bytes + RECEIPT_KEY_BYTES);
    return true;
}

/* Adds the receipts of the job's changed chunks. Returns false if one could not be added. */
static bool add_job_receipts(struct bd_core *core, struct bd_txn_builder *builder,
                             struct bd_job *job)
{
    bool is_compared = false;
    for (uint32_t chunk = 0; chunk * BD_RECEIPT_CHUNK_TASKS < job->ntasks; chunk++) {
        if (!(job->dirty_chunks >> chunk & 1))
            continue;
        if (!is_compared)
            bd_txn_builder_compare_job(builder, job);
        is_compared = true;
        if (!add_receipt(core, builder, job, chunk))
            return false;
    }
    return true;
}

/* Adds done records and receipts of active jobs until the transaction is full. */
static void add_progress(struct bd_core *core, struct bd_txn_builder *builder)
{
    struct bd_job *job, *next;
    HASH_ITER(hh, core->jobs, job, next)
    {
        if (!job->dirty || !job->tasks || job->state != BD_JOB_ACTIVE || job->record_stale ||
            bd_time_is_before(core->now, job->backoff_until))
            continue;
        bool fits = job->ndone == job->ntasks ? add_done_record(core, builder, job)
                                              : add_job_receipts(core, builder, job);
        if (!fits)
            return;
    }
}

/* ---- fencing token, drains and transaction frame ---- */

static void add_token_raise(struct bd_core *core, struct bd_txn_builder *builder)
{
    if (!core->lead.token_raise_wanted)
        return;
    core->lead.token_raise_wanted = false;
    core->lead.commit->raises_fencing_token = true;
    json_t *dismissed = bd_delegates_list_dismissed(core);
    bd_txn_put(&builder->txn, "leader",
               json_pack("{s:s,s:s,s:o}", "node", core->settings->node, "nonce", core->lead.nonce,
                         "away", dismissed),
               core->lead.grant);
    bd_txn_builder_count(builder, 1, 0, LEADER_RECORD_BYTES);
}

/* Adds changed drain records. A drain's step is carried out only after its record is committed. */
static void add_drains(struct bd_core *core, struct bd_txn_builder *builder)
{
    struct bd_drain_write write;
    while (bd_txn_builder_fits(builder, 1, 1, core->kv_limits.kv_value_bytes_max) &&
           bd_drain_next_write(core, &write)) {
        if (write.revision)
            bd_txn_compare(&builder->txn, write.key, write.revision);
        if (write.value)
            bd_txn_put(&builder->txn, write.key, write.value, 0);
        else
            bd_txn_delete(&builder->txn, write.key);
        bd_txn_builder_count(builder, 1, write.revision ? 1 : 0, write.bytes + DRAIN_KEY_BYTES);
    }
}

/* Begins the transaction. Its first comparisons ensure that it applies only in this term, and only
 * once. */
static struct bd_txn_builder begin_txn(const struct bd_core *core)
{
    /* less one change and two comparisons for the commit sequence and the leader's key */
    struct bd_txn_builder builder = {
        .ops_max = bd_kv_limits_txn_ops(core) - 1,
        .compares_max = COMPARES_PER_OP * core->kv_limits.kv_txn_ops_max - 2,
    };
    if (!bd_txn_begin(&builder.txn))
        abort();
    bd_txn_compare(&builder.txn, "leader", core->lead.term);
    bd_txn_compare(&builder.txn, "w", core->lead.commit_sequence_revision);
    return builder;
}

static void emit_txn(struct bd_core *core, struct bd_txn_builder *builder)
{
    core->lead.commit_sequence++;
    bd_txn_put(&builder->txn, "w",
               json_pack("{s:o,s:o}", "t", bd_json_unsigned(core->lead.base_term), "n",
                         bd_json_unsigned(core->lead.commit_sequence)),
               0);
    core->lead.write_budget -= (double)(builder->ops + 1);
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_LEADER_TXN);
    effect->body = bd_txn_finish(&builder->txn);
    if (!effect->body)
        abort();
    effect->commit_sequence = core->lead.commit_sequence;
    snprintf(effect->key, sizeof effect->key, "%llu", (unsigned long long)core->lead.base_term);
}

void bd_leader_txn_submit(struct bd_core *core)
{
    struct bd_txn_builder builder = begin_txn(core);
    add_token_raise(core, &builder);
    release_plan_from(core, add_intents(core, &builder));
    add_progress(core, &builder);
    add_cancelled_records(core, &builder);
    add_drains(core, &builder);
    bd_commit_collect_garbage(core, &builder);
    if (builder.ops > 0) {
        emit_txn(core, &builder);
        return;
    }
    free(bd_txn_finish(&builder.txn));
    bd_commit_free(core->lead.commit);
    core->lead.commit = NULL;
}

void bd_commit_free(struct bd_commit *commit)
{
    if (!commit)
        return;
    free(commit->plan);
    free(commit->receipts);
    free(commit);
}
