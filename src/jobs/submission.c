/* Parses and validates a user's submission, and starts its admission.
 *
 * A submission of a known id is treated as a repeated request: the reply is the job's status,
 * whatever the body contains. A rejected submission leaves no state behind, so that invalid names
 * cannot fill the catalog. */
#include "base/json_reader.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <stdio.h>

#define MESSAGE_BYTES 128

struct submission {
    char id[BD_JOB_ID_BYTES]; /* empty: missing or invalid */
    struct bd_job_record record;
    json_t *parents;                 /* owned; NULL: none */
    const char *invalid_field;       /* the first one; NULL: all fields are valid */
    struct bd_json_error json_error; /* reason: empty if the body is JSON */
};

/* Whether the cloud offers the machine type. */
static bool is_offered_type(const void *arg, const char *label)
{
    const struct bd_core *core = arg;
    int type = bd_type_find(core, label);
    return type >= 0 && core->types[type].known;
}

static void read_submission(const struct bd_core *core, const char *body, size_t len,
                            struct submission *out)
{
    *out = (struct submission){
        .record = {.state = BD_JOB_ACTIVE, .submitted_at = core->wall_s, .has_spec = true}};
    json_t *json = bd_wire_parse_submission(body, len, &out->json_error);
    out->invalid_field = json ? bd_wire_read_submission(json, out->id, &out->record.spec) : "body";
    if (!out->invalid_field && !bd_wire_read_parents(json, &out->parents))
        out->invalid_field = "awaits";
    if (!out->invalid_field && out->record.spec.has_more_types)
        bd_wire_select_types(json, is_offered_type, core, &out->record.spec);
    json_decref(json);
}

static void reply_malformed(struct bd_core *core, void *request,
                            const struct submission *submission)
{
    char message[MESSAGE_BYTES];
    const struct bd_json_error *error = &submission->json_error;
    int len = snprintf(message, sizeof message, "malformed: %s", submission->invalid_field);
    if (*error->reason)
        snprintf(message + len, sizeof message - (size_t)len, ", %s at byte %zu", error->reason,
                 error->offset);
    bd_effect_reply_error(core, request, 400, message, 0);
}

static void log_rejection(struct bd_core *core, const struct submission *submission, size_t len)
{
    const struct bd_json_error *error = &submission->json_error;
    bd_decision_log_note(
        core, "submission_refused", "job=%s field=%s reason=\"%s\" offset=%zu bytes=%zu",
        *submission->id ? submission->id : "-",
        submission->invalid_field ? submission->invalid_field : "-",
        submission->invalid_field ? error->reason : "can never run", error->offset, len);
}

/* Rejects a submission. If it has an id, the reply waits for a read barrier: another controller may
 * have accepted a job with this id, and then the reply must be the job's status. */
static void reject(struct bd_core *core, void *request, const struct submission *submission)
{
    if (!*submission->id)
        reply_malformed(core, request, submission);
    else if (submission->invalid_field)
        (void)bd_read_after_barrier(core, request, submission->id, BD_PURPOSE_INVALID_SUBMISSION);
    else
        (void)bd_read_after_barrier(core, request, submission->id,
                                    BD_PURPOSE_INFEASIBLE_SUBMISSION);
}

/* Handles a submission whose job is not in memory, or whose id is invalid. `len` is the length of
 * its body. Takes ownership of the submission's parents. */
static void process_new_submission(struct bd_core *core, void *request,
                                   struct submission *submission, size_t len)
{
    bool is_infeasible = !submission->invalid_field && core->types_known &&
                         !bd_submission_is_feasible(core, &submission->record.spec);
    if (submission->invalid_field || is_infeasible) {
        log_rejection(core, submission, len);
        reject(core, request, submission);
    } else if (!core->types_known || !bd_kv_reachable(core)) {
        bd_effect_reply_error(core, request, 503, "not ready", BD_KV_OUTAGE_RETRY_AFTER_S);
    } else {
        bd_admission_start(core, request, submission->id, &submission->record,
                           json_incref(submission->parents));
    }
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
    process_new_submission(core, request, &submission, len);
}
