/* Deletes obsolete records as part of the leader's transactions. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership_internal.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <stdio.h>

#define GC_INTERVAL_S 2.0
#define GC_BACKLOG_INTERVAL_S 0.3 /* while the deletions exceed one transaction */

static bool can_delete(const struct bd_core *core, const struct bd_txn_builder *builder)
{
    const struct bd_commit *commit = core->lead.commit;
    return commit->ndeleted_keys < sizeof commit->deleted_keys / sizeof commit->deleted_keys[0] &&
           bd_txn_builder_fits(builder, 1, 0, BD_KEY_BYTES);
}

static void delete_key(struct bd_core *core, struct bd_txn_builder *builder, const char *key)
{
    struct bd_commit *commit = core->lead.commit;
    bd_txn_delete(&builder->txn, key);
    bd_txn_builder_count(builder, 1, 0, BD_KEY_BYTES);
    snprintf(commit->deleted_keys[commit->ndeleted_keys++], BD_LABEL_BYTES, "%s", key);
}

static void delete_receipts(struct bd_core *core, struct bd_txn_builder *builder,
                            struct bd_job *job)
{
    char key[BD_LABEL_BYTES];
    for (uint32_t chunk = 0; chunk < BD_RECEIPT_CHUNKS_MAX && can_delete(core, builder); chunk++) {
        if (!(job->receipt_chunks >> chunk & 1))
            continue;
        snprintf(key, sizeof key, "r/%s/%u", job->id, chunk);
        delete_key(core, builder, key);
        job->receipt_chunks &= ~(1ull << chunk);
    }
}

static void add_deletions(struct bd_core *core, struct bd_txn_builder *builder)
{
    struct bd_job *job, *next;
    if (*core->delegates.stale_key && can_delete(core, builder))
        delete_key(core, builder, core->delegates.stale_key);
    core->delegates.stale_key[0] = '\0';
    for (uint32_t i = 0; i < core->lead.nintent_records && can_delete(core, builder); i++)
        if (!bd_intent_record_is_needed(&core->lead.intent_records[i]))
            delete_key(core, builder, core->lead.intent_records[i].key);
    HASH_ITER(hh, core->jobs, job, next)
    {
        if (job->state == BD_JOB_CANCELLED && job->tasks && job->nplaced == 0)
            bd_job_stop_tracking(job); /* none of its tasks holds a reservation */
        if (job->state != BD_JOB_ACTIVE && job->receipt_chunks)
            delete_receipts(core, builder, job);
    }
}

void bd_commit_collect_garbage(struct bd_core *core, struct bd_txn_builder *builder)
{
    if (!bd_time_is_before(core->lead.next_garbage_collection, core->now))
        return;
    add_deletions(core, builder);
    double interval_s = can_delete(core, builder) ? GC_INTERVAL_S : GC_BACKLOG_INTERVAL_S;
    core->lead.next_garbage_collection = bd_time_add(core->now, bd_secs(interval_s));
}
