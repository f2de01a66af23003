/* Users' transactions: emits them, and turns their outcomes into replies. */
#include "base/json_reader.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define USER_TXN_RETRY_AFTER_S 1 /* Retry-After if the outcome is unknown */

char *bd_job_record_txn(const char *id, uint64_t revision, json_t *record)
{
    struct bd_txn txn;
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/%s", id);
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, revision);
    bd_txn_put(&txn, key, record, 0);
    char *body = bd_txn_finish(&txn);
    if (!body)
        abort();
    return body;
}

void bd_user_txns_emit(struct bd_core *core, void *request, const char *id, char *body,
                       enum bd_request_purpose purpose)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_USER_TXN);
    effect->request = request;
    effect->purpose = purpose;
    snprintf(effect->key, sizeof effect->key, "%s", id);
    effect->body = body;
}

void bd_user_cancel_emit(struct bd_core *core, void *request, const struct bd_job *job)
{
    char *body = bd_job_record_txn(job->id, job->revision, bd_job_cancelled_record(job));
    bd_user_txns_emit(core, request, job->id, body, BD_PURPOSE_CANCEL);
}

/* Applies the changes of one committed transaction to the replica. */
static void apply_txn(struct bd_core *core, const char *text, size_t len, uint64_t store_revision)
{
    json_t *txn = bd_json_read(text, len, NULL, NULL), *op;
    size_t i;
    json_array_foreach(json_object_get(txn, "apply"), i, op)
    {
        struct bd_kv_change change;
        bd_wire_set_revision(op, store_revision);
        if (bd_wire_read_change(op, &change))
            bd_replica_apply(core, &change);
    }
    json_decref(txn);
}

/* Applies the committed transactions to the replica, without waiting for the next refresh. body:
 * one transaction per line. */
static void apply_txns(struct bd_core *core, const char *body, uint64_t store_revision)
{
    const char *line = body;
    while (line && *line) {
        size_t len = strcspn(line, "\n");
        apply_txn(core, line, len, store_revision);
        line += len;
        if (*line == '\n')
            line++;
    }
}

static void reply_committed(struct bd_core *core, void *request, const char *id,
                            enum bd_request_purpose purpose)
{
    struct bd_job *job = bd_job_find(core, id);
    bool is_submission = purpose == BD_PURPOSE_STATUS;
    if (!job)
        bd_effect_reply_error(core, request, 503, "not ready", USER_TXN_RETRY_AFTER_S);
    else if (job->state == BD_JOB_ACTIVE)
        bd_effect_reply(core, request, 201, bd_wire_write_accepted(id), 0);
    else if (is_submission && job->state == BD_JOB_CANCELLED) /* a parent is cancelled */
        bd_effect_reply(core, request, 201, bd_wire_write_job_state(id, "cancelled", 0, 0), 0);
    else
        bd_user_reply_status(core, request, job);
}

static void announce_cancellation(struct bd_core *core, const char *id)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_ANNOUNCE_CANCELLATION);
    snprintf(effect->key, sizeof effect->key, "%s", id);
}

static void complete_committed(struct bd_core *core, void *request, const char *id,
                               const char *body, enum bd_request_purpose purpose,
                               uint64_t store_revision)
{
    bool is_cancellation = purpose == BD_PURPOSE_CANCEL;
    apply_txns(core, body, store_revision);
    if (is_cancellation)
        announce_cancellation(core, id);
    bd_decision_log_note(core, "user_confirmed", "job=%s state=%s revision=%llu by=commit", id,
                         is_cancellation ? "cancelled" : "accepted",
                         (unsigned long long)store_revision);
    reply_committed(core, request, id, purpose);
}

void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           enum bd_request_purpose purpose, long status, uint64_t store_revision)
{
    if (status == 200) {
        complete_committed(core, request, id, body, purpose, store_revision);
        return;
    }
    if (status == 409) {
        /* a concurrent transaction was committed first: reads the record again, then replies */
        (void)bd_read_after_barrier(core, request, id, purpose);
        return;
    }
    if (status == 400) /* the lowered limits make the user's retry use smaller transactions */
        (void)bd_kv_limits_lower_after_rejection(core, id);
    bd_user_reply_kv_unreachable(core, request, USER_TXN_RETRY_AFTER_S);
}
