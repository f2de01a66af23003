/* Reads that the replica cannot answer at once. They wait for a read barrier and then, if the job
 * is not in memory and final records have been evicted, for a look-up of its record. */
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdio.h>
#include <stdlib.h>

struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_request_purpose purpose)
{
    struct bd_pending_read *read = calloc(1, sizeof *read);
    if (!read)
        abort();
    read->request = request;
    read->purpose = purpose;
    snprintf(read->id, sizeof read->id, "%s", id);
    read->next = core->replica.next_barrier_reads;
    core->replica.next_barrier_reads = read;
    return read;
}

void bd_job_lookup_emit(struct bd_core *core, void *request, const char *id,
                        enum bd_request_purpose purpose)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_JOB_LOOKUP);
    effect->request = request;
    effect->purpose = purpose;
    snprintf(effect->key, sizeof effect->key, "%s", id);
}

static void reply_no_such_job(struct bd_core *core, void *request, enum bd_request_purpose purpose)
{
    if (purpose == BD_PURPOSE_INVALID_SUBMISSION)
        bd_effect_reply_error(core, request, 400, "malformed", 0);
    else if (purpose == BD_PURPOSE_INFEASIBLE_SUBMISSION)
        bd_effect_reply_error(core, request, 422, "can never run", 0);
    else
        bd_effect_reply_error(core, request, 404, "no such job", 0);
}

/* Cancels the job if that is the purpose and it is active; otherwise replies with its status. */
static void answer_with_job(struct bd_core *core, void *request, enum bd_request_purpose purpose,
                            const struct bd_job *job)
{
    if (purpose == BD_PURPOSE_CANCEL && job->state == BD_JOB_ACTIVE)
        bd_user_cancel_emit(core, request, job);
    else
        bd_user_reply_status(core, request, job);
}

/* Answers a read from the replica, after the read's barrier has completed. */
static void answer_read(struct bd_core *core, const struct bd_pending_read *read)
{
    const struct bd_job *job = bd_job_find(core, read->id);
    if (read->admission && !job) {
        bd_admission_resume(core, read->admission);
        return;
    }
    bd_admission_free(read->admission);
    if (job)
        answer_with_job(core, read->request, read->purpose, job);
    else if (core->replica.has_evicted_jobs)
        bd_job_lookup_emit(core, read->request, read->id, read->purpose);
    else
        reply_no_such_job(core, read->request, read->purpose);
}

static void fail_read(struct bd_core *core, const struct bd_pending_read *read)
{
    bd_admission_free(read->admission);
    bd_user_reply_kv_unreachable(core, read->request, BD_KV_OUTAGE_RETRY_AFTER_S);
}

/* Answers the reads that wait for the barrier, or fails them if the barrier did not succeed. */
static void complete_barrier(struct bd_core *core, bool succeeded)
{
    struct bd_pending_read *read = core->replica.barrier_reads;
    core->replica.barrier_in_flight = false;
    core->replica.barrier_reads = NULL;
    while (read) {
        struct bd_pending_read *next = read->next;
        if (succeeded)
            answer_read(core, read);
        else
            fail_read(core, read);
        free(read);
        read = next;
    }
}

void bd_replica_refreshed(struct bd_core *core, uint64_t after_revision, uint64_t store_revision,
                          struct timespec sent_at, bool is_barrier, bool succeeded)
{
    struct bd_replica *replica = &core->replica;
    /* if not contiguous, changes between the two revisions may be missing */
    bool is_contiguous = after_revision <= replica->store_revision;
    if (succeeded && is_contiguous && store_revision > replica->store_revision)
        replica->store_revision = store_revision;
    if (succeeded)
        replica->refreshed_at = bd_time_max(replica->refreshed_at, sent_at);
    if (is_barrier)
        complete_barrier(core, succeeded);
}

void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id,
                                 enum bd_request_purpose purpose, long status,
                                 const struct bd_kv_change *change)
{
    if (status == 200)
        bd_replica_apply(core, change);
    if (purpose == BD_PURPOSE_PARENT)
        return;
    const struct bd_job *job = bd_job_find(core, id);
    bool is_malformed = status == 200 && !job; /* there is a record, but it was not applied */
    if (purpose == BD_PURPOSE_ADMISSION)
        bd_admission_lookup_completed(core, request, is_malformed ? 0 : status);
    else if (status == 200 && job)
        answer_with_job(core, request, purpose, job);
    else if (status == 404)
        reply_no_such_job(core, request, purpose);
    else
        bd_user_reply_kv_unreachable(core, request, BD_KV_OUTAGE_RETRY_AFTER_S);
}

void bd_pending_reads_start_barrier(struct bd_core *core)
{
    struct bd_replica *replica = &core->replica;
    if (replica->barrier_in_flight || !replica->next_barrier_reads)
        return;
    replica->barrier_reads = replica->next_barrier_reads;
    replica->next_barrier_reads = NULL;
    replica->barrier_in_flight = true;
    (void)bd_effect_emit(core, BD_EFFECT_READ_BARRIER);
}

static void free_reads(struct bd_pending_read **list)
{
    while (*list) {
        struct bd_pending_read *read = *list;
        *list = read->next;
        bd_admission_free(read->admission);
        free(read);
    }
}

void bd_pending_reads_free(struct bd_core *core)
{
    free_reads(&core->replica.next_barrier_reads);
    free_reads(&core->replica.barrier_reads);
}
