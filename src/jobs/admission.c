/* Admission of a valid submission: a transaction accepts the job on the condition that it has no
 * record yet.
 *
 * A submission that names parents is accepted only if each parent was accepted before. An accepted
 * job stays accepted, so each parent needs to be found only once. A parent is searched for in the
 * replica, then in the replica after a read barrier, and then, if final records have been evicted,
 * by a look-up of its record. The reply for an unknown parent is 422 only after all of these have
 * failed to find it. */
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/peers.h"
#include "model/replica_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdio.h>
#include <stdlib.h>

/* Per submission, in addition to one for each parent: a parent that was found may be evicted again
 * before the others are found. */
#define EXTRA_LOOKUPS_MAX 16u
#define NOT_READY_RETRY_AFTER_S 1
#define UNFINISHED_RETRY_AFTER_S 10
#define TOO_LARGE_RETRY_AFTER_S 10 /* the time between two raises of the store's limits */

/* What the replica knows of a submission's parents. */
struct parents_status {
    /* The first parent that is not in memory; NULL: none. The parents after it are not checked. */
    const char *first_unknown;
    bool has_active_service; /* a service is never done, so the job could never start */
    bool has_cancelled;
};

void bd_admission_free(struct bd_admission *admission)
{
    if (admission)
        json_decref(admission->parents);
    free(admission);
}

void bd_admissions_free(struct bd_core *core)
{
    while (core->graph.awaiting_lookup) {
        struct bd_admission *admission = core->graph.awaiting_lookup;
        core->graph.awaiting_lookup = admission->next;
        bd_admission_free(admission);
    }
}

static struct parents_status check_parents(struct bd_core *core, json_t *parents)
{
    struct parents_status status = {0};
    json_t *name;
    size_t i;
    json_array_foreach(parents, i, name)
    {
        const struct bd_job *parent = bd_job_find(core, json_string_value(name));
        if (!parent) {
            status.first_unknown = json_string_value(name);
            return status;
        }
        if (parent->state == BD_JOB_CANCELLED)
            status.has_cancelled = true;
        if (parent->state == BD_JOB_ACTIVE && parent->has_spec &&
            parent->spec.kind == BD_JOB_SERVICE)
            status.has_active_service = true;
    }
    return status;
}

/* Takes ownership of the admission. */
static void look_up_parent(struct bd_core *core, struct bd_admission *admission, const char *name)
{
    bd_job_lookup_emit(core, admission->request, name, BD_PURPOSE_ADMISSION);
    admission->lookups_sent++;
    admission->next = core->graph.awaiting_lookup;
    core->graph.awaiting_lookup = admission;
}

static bool has_lookups_left(const struct bd_admission *admission)
{
    return admission->lookups_sent < json_array_size(admission->parents) + EXTRA_LOOKUPS_MAX;
}

static void reply_unknown_parent(struct bd_core *core, void *request)
{
    bd_effect_reply_error(core, request, 422, "awaits a job that was never accepted", 0);
}

/* is_cancelled: a parent is cancelled, so the job is accepted as cancelled. */
static void accept_submission(struct bd_core *core, struct bd_admission *admission,
                              bool is_cancelled)
{
    admission->record.state = is_cancelled ? BD_JOB_CANCELLED : BD_JOB_ACTIVE;
    bd_kv_limits_raise_sizes(core);
    char *body = bd_admission_txns(core, admission);
    if (body)
        bd_user_txns_emit(core, admission->request, admission->id, body, BD_PURPOSE_STATUS);
    else if (bd_kv_limits_values_are_lowered(core))
        bd_effect_reply_error(core, admission->request, 503, "not ready", TOO_LARGE_RETRY_AFTER_S);
    else
        bd_effect_reply_error(core, admission->request, 422,
                              "can never run: longer than can be kept", 0);
}

/* There are as many unfinished jobs as the controllers' memory allows. */
static void refuse_for_now(struct bd_core *core, const struct bd_admission *admission)
{
    bd_log_write(core->log, BD_LOG_INFO, "%s refused for now: too many unfinished jobs",
                 admission->id);
    bd_effect_reply_error(core, admission->request, 429, "too many unfinished jobs",
                          UNFINISHED_RETRY_AFTER_S);
}

static void accept_or_reject(struct bd_core *core, struct bd_admission *admission,
                             const struct parents_status *parents)
{
    void *request = admission->request;
    if (parents->first_unknown && core->replica.has_evicted_jobs)
        bd_effect_reply_error(core, request, 503, "not ready", NOT_READY_RETRY_AFTER_S);
    else if (parents->first_unknown)
        reply_unknown_parent(core, request);
    else if (parents->has_active_service)
        bd_effect_reply_error(core, request, 422, "awaits a service, which is never done", 0);
    /* an older controller, if elected leader, would start the job too early and lose its parents */
    else if (admission->parents && bd_peer_lacks_feature(core, BD_PEER_SUPPORTS_DEPENDENCIES))
        bd_effect_reply_error(core, request, 503, "an older controller serves beside this one",
                              BD_KV_OUTAGE_RETRY_AFTER_S);
    else if (!bd_unfinished_jobs_fit(core))
        refuse_for_now(core, admission);
    else
        accept_submission(core, admission, parents->has_cancelled);
}

/* If a parent is unknown and a further read may find it, starts that read. Otherwise accepts or
 * rejects the submission. Takes ownership of the admission. */
static void continue_admission(struct bd_core *core, struct bd_admission *admission,
                               bool after_barrier)
{
    struct parents_status parents = check_parents(core, admission->parents);
    if (parents.first_unknown && !after_barrier) {
        bd_read_after_barrier(core, admission->request, admission->id, BD_PURPOSE_ADMISSION)
            ->admission = admission;
        return;
    }
    if (parents.first_unknown && core->replica.has_evicted_jobs && has_lookups_left(admission)) {
        look_up_parent(core, admission, parents.first_unknown);
        return;
    }
    accept_or_reject(core, admission, &parents);
    bd_admission_free(admission);
}

void bd_admission_resume(struct bd_core *core, struct bd_admission *admission)
{
    continue_admission(core, admission, true);
}

/* Removes the request's admission from those that wait for a look-up. The caller owns the result.
 * NULL: there is none. */
static struct bd_admission *take_awaiting_lookup(struct bd_core *core, const void *request)
{
    struct bd_admission **link = &core->graph.awaiting_lookup;
    while (*link && (*link)->request != request)
        link = &(*link)->next;
    struct bd_admission *admission = *link;
    if (admission)
        *link = admission->next;
    return admission;
}

void bd_admission_lookup_completed(struct bd_core *core, void *request, long status)
{
    struct bd_admission *admission = take_awaiting_lookup(core, request);
    if (!admission)
        return;
    if (status == 200) {
        continue_admission(core, admission, true);
        return;
    }
    if (status == 404)
        reply_unknown_parent(core, request);
    else
        bd_user_reply_kv_unreachable(core, request, BD_KV_OUTAGE_RETRY_AFTER_S);
    bd_admission_free(admission);
}

void bd_admission_start(struct bd_core *core, void *request, const char *id,
                        const struct bd_job_record *record, json_t *parents)
{
    struct bd_admission *admission = calloc(1, sizeof *admission);
    if (!admission)
        abort();
    admission->request = request;
    admission->record = *record;
    admission->record.tasks = record->spec.tasks;
    admission->parents = parents;
    snprintf(admission->id, sizeof admission->id, "%s", id);
    continue_admission(core, admission, false);
}
