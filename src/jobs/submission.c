/* A user's submission: reads and validates it, and starts its admission.
 *
 * A submission of a known id is a repeated request and gets the job's status, whatever its body
 * says now. Nothing is kept of one that is rejected: invalid names must not fill the catalog. */
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <stdio.h>

struct submission {
    char id[BD_JOB_ID_BYTES]; /* empty: none could be read */
    struct bd_job_record record;
    json_t *parents;       /* owned; NULL: none */
    const char *bad_field; /* NULL: well formed */
};

static void read_submission(const struct bd_core *core, const char *body, size_t len,
                            struct submission *out)
{
    *out = (struct submission){
        .record = {.state = BD_JOB_ACTIVE, .submitted_at = core->wall, .has_spec = true}};
    json_t *json = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
    out->bad_field = json ? bd_wire_read_submission(json, out->id, &out->record.spec) : "body";
    if (!out->bad_field && !bd_wire_read_parents(json, &out->parents))
        out->bad_field = "awaits";
    json_decref(json);
}

static void reply_malformed(struct bd_core *core, void *request, const char *bad_field)
{
    char why[96];
    snprintf(why, sizeof why, "malformed: %s", bad_field);
    bd_effect_reply_error(core, request, 400, why, 0);
}

/* Replies to a submission that is rejected. One with an id waits for a read barrier first: an id
 * that another controller may have accepted must not get 400 or 422. */
static void reject(struct bd_core *core, void *request, const struct submission *submission)
{
    if (!*submission->id)
        reply_malformed(core, request, submission->bad_field);
    else if (submission->bad_field)
        (void)bd_read_after_barrier(core, request, submission->id, BD_READ_INVALID_SUBMISSION);
    else
        (void)bd_read_after_barrier(core, request, submission->id, BD_READ_IMPOSSIBLE_SUBMISSION);
}

/* Takes the submission's parents over. */
static void process_new(struct bd_core *core, void *request, struct submission *submission)
{
    bool infeasible = !submission->bad_field && core->types_known &&
                      !bd_submission_is_feasible(core, &submission->record.spec);
    if (submission->bad_field || infeasible)
        reject(core, request, submission);
    else if (!core->types_known || !bd_kv_reachable(core))
        bd_effect_reply_error(core, request, 503, "not ready", BD_KV_OUTAGE_RETRY_S);
    else
        bd_admission_start(core, request, submission->id, &submission->record,
                           json_incref(submission->parents));
    json_decref(submission->parents);
}

void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len)
{
    struct submission submission;
    read_submission(core, body, len, &submission);
    if (*submission.id && bd_job_find(core, submission.id)) {
        json_decref(submission.parents);
        bd_user_status(core, request, submission.id);
        return;
    }
    process_new(core, request, &submission);
}
