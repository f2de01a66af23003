/* The admission of a valid submission, which is accepted by a transaction that is conditional on
 * the job's record being absent.
 *
 * A submission that names parents is decided by their records: each must have been accepted. Once
 * that is so it stays so, and it is shown by the replica, or by the replica behind a read barrier,
 * or by a look-up of the record where final records have been evicted. Only then is the reply 422.
 */
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/peers.h"
#include "model/replica_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <stdio.h>
#include <stdlib.h>

#define EXTRA_LOOKUPS_MAX 16u /* of one submission, beyond one for each parent */
#define NOT_READY_RETRY_S 1

/* What the replica knows of a submission's parents. */
struct parents_status {
    const char
        *missing;     /* the first that is not in memory; the rest was not read then. NULL: none */
    bool has_service; /* an active service, which is never done */
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
            status.missing = json_string_value(name);
            return status;
        }
        if (parent->state == BD_JOB_CANCELLED)
            status.has_cancelled = true;
        if (parent->state == BD_JOB_ACTIVE && parent->has_spec &&
            parent->spec.kind == BD_JOB_SERVICE)
            status.has_service = true;
    }
    return status;
}

/* Takes the admission over. */
static void look_up_parent(struct bd_core *core, struct bd_admission *admission, const char *name)
{
    bd_job_lookup_emit(core, admission->request, name, BD_READ_ADMISSION);
    admission->lookups++;
    admission->next = core->graph.awaiting_lookup;
    core->graph.awaiting_lookup = admission;
}

static bool may_look_up(const struct bd_admission *admission)
{
    return admission->lookups < json_array_size(admission->parents) + EXTRA_LOOKUPS_MAX;
}

static void reply_unknown_parent(struct bd_core *core, void *request)
{
    bd_effect_reply_error(core, request, 422, "awaits a job that was never accepted", 0);
}

static void accept(struct bd_core *core, struct bd_admission *admission, bool cancelled)
{
    admission->record.state = cancelled ? BD_JOB_CANCELLED : BD_JOB_ACTIVE;
    char *body = bd_admission_txns(core, admission);
    if (body)
        bd_user_txns_emit(core, admission->request, admission->id, body, BD_READ_STATUS);
    else
        bd_effect_reply_error(core, admission->request, 400, "malformed: longer than can be kept",
                              0);
}

/* Accepts or rejects the submission. */
static void decide(struct bd_core *core, struct bd_admission *admission,
                   const struct parents_status *parents)
{
    void *request = admission->request;
    if (parents->missing && core->replica.evicted)
        bd_effect_reply_error(core, request, 503, "not ready", NOT_READY_RETRY_S);
    else if (parents->missing)
        reply_unknown_parent(core, request);
    else if (parents->has_service)
        bd_effect_reply_error(core, request, 422, "awaits a service, which is never done", 0);
    /* an older controller that leads would start the job too early, and lose its parents */
    else if (admission->parents && bd_peer_lacks_feature(core, BD_PEER_SUPPORTS_DEPENDENCIES))
        bd_effect_reply_error(core, request, 503, "an older controller serves beside this one",
                              BD_KV_OUTAGE_RETRY_S);
    else
        accept(core, admission, parents->has_cancelled);
}

/* Decides, or waits for what is missing. Takes the admission over. */
static void advance(struct bd_core *core, struct bd_admission *admission, bool behind_barrier)
{
    struct parents_status parents = check_parents(core, admission->parents);
    if (parents.missing && !behind_barrier) {
        bd_read_after_barrier(core, admission->request, admission->id, BD_READ_ADMISSION)->accept =
            admission;
        return;
    }
    if (parents.missing && core->replica.evicted && may_look_up(admission)) {
        look_up_parent(core, admission, parents.missing);
        return;
    }
    decide(core, admission, &parents);
    bd_admission_free(admission);
}

void bd_admission_resume(struct bd_core *core, struct bd_admission *admission)
{
    advance(core, admission, true);
}

/* The caller owns it. NULL: none waits for this request. */
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
        advance(core, admission, true);
        return;
    }
    if (status == 404)
        reply_unknown_parent(core, request);
    else
        bd_user_reply_kv_unreachable(core, request, BD_KV_OUTAGE_RETRY_S);
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
    advance(core, admission, false);
}
