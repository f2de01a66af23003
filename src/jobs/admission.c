/* Submissions: judged, then accepted by a transaction that is conditional on the job's record being
 * absent. One that names other jobs is judged by their records: each must have been accepted, which
 * stays true for ever once it is, so that the replica proves it, or a read barrier, or a refresh at
 * the record where it has left memory; only then 422. */
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/peers.h"
#include "model/replica_state.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define TXN_BYTES 50000u  /* of a transaction of parts */
#define LOOKUPS_EXTRA 16u /* beyond one for each name a submission is sent away */

static bool fits_type(const struct bd_type *type, const struct bd_spec_text *s, int zone)
{
    return type->known && s->cpus <= type->cpus + 1e-9 && s->gpus <= type->gpus + 1e-9 &&
           s->mem <= type->mem + 1e-9 && (zone < 0 || (type->zones >> zone & 1));
}

static bool over(double max, double use)
{
    return max > 0 && use > max + 1e-9;
}

static bool names_type(const struct bd_spec_text *s, const char *label)
{
    for (int i = 0; i < s->ntypes; i++)
        if (strcmp(s->types[i], label) == 0)
            return true;
    return s->ntypes < 0;
}

/* Where the job's tasks could be, by zones. */
static uint32_t zones_for(const struct bd_core *core, const struct bd_spec_text *s)
{
    uint32_t zones = 0;
    int only = bd_zone_find(core, s->zone);
    if (*s->zone && only < 0)
        return 0;
    for (int i = 0; i < core->ntypes; i++)
        if (names_type(s, core->types[i].label) && fits_type(&core->types[i], s, only))
            zones |= core->types[i].zones & (only < 0 ? UINT32_MAX : 1u << only);
    return zones;
}

/* Whether the job could run at all, on an empty fleet. Nothing is remembered of one that can't: bad
 * names must not fill our tables. */
static bool can_run(const struct bd_core *core, const struct bd_spec_text *s)
{
    int team = bd_team_index(core, s->team);
    if (team < 0)
        return false;
    const struct bd_team_quota *t = &core->settings->teams[team];
    bool at_once = s->kind != BD_JOB_ARRAY && s->tasks > 1;
    double n = s->kind == BD_JOB_ARRAY ? 1 : s->tasks;
    if (over(t->cpus_quota, s->cpus * n) || over(t->gpus_quota, s->gpus * n))
        return false;
    uint32_t zones = zones_for(core, s);
    bool one_zone = s->same_zone || (zones & (zones - 1)) == 0;
    return zones != 0 && !(at_once && s->spread_zones && one_zone);
}

/* Sets the job's record if its revision is this one; 0: if there is none. */
static char *transaction(const char *id, uint64_t revision, json_t *value)
{
    struct bd_txn t;
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/%s", id);
    if (!bd_txn_begin(&t))
        abort();
    bd_txn_compare(&t, key, revision);
    bd_txn_put(&t, key, value, 0);
    return bd_txn_finish(&t);
}

static void send_commit(struct bd_core *core, void *request, const char *id, char *body,
                        enum bd_read_purpose purpose)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_USER_TXN);
    effect->request = request;
    effect->status = (int)purpose;
    snprintf(effect->key, sizeof effect->key, "%s", id);
    effect->body = body;
}

void bd_user_txn_emit(struct bd_core *core, void *request, const char *id, uint64_t revision,
                      json_t *record, enum bd_read_purpose purpose)
{
    send_commit(core, request, id, transaction(id, revision, record), purpose);
}

struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_read_purpose purpose)
{
    struct bd_pending_read *w = calloc(1, sizeof *w);
    if (!w)
        abort();
    w->request = request;
    w->purpose = purpose;
    snprintf(w->id, sizeof w->id, "%s", id);
    w->next = core->replica.waiting;
    core->replica.waiting = w;
    return w;
}

/* ---- writing ---- */

static json_t *record_of(struct bd_admission *admission, bool inline_names)
{
    admission->record.parents.names = inline_names ? admission->parents : NULL;
    return bd_wire_record(&admission->record);
}

/* The parts' keys hold a hash of the names: a retry by another node writes the same parts, and a
 * submission that differs does not write them anew. */
static void name_parts(struct bd_admission *admission)
{
    snprintf(admission->record.parents.of, sizeof admission->record.parents.of, "%016llx",
             (unsigned long long)bd_wire_names_hash(admission->parents));
}

/* Names from *i on, as many as a value holds. */
static json_t *some_names(const struct bd_core *core, json_t *parents, size_t *i)
{
    double capacity = BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max - 32;
    json_t *some = json_array(), *v;
    while ((v = json_array_get(parents, *i)) &&
           (capacity -= (double)json_string_length(v) + 3) > 0) {
        json_array_append(some, v);
        ++*i;
    }
    return some;
}

static void add_line(char **text, size_t *len, char *line)
{
    size_t n = strlen(line);
    char *grown = realloc(*text, *len + n + 2);
    if (!grown)
        abort();
    memcpy(grown + *len, line, n);
    grown[*len + n] = '\n';
    grown[*len + n + 1] = '\0';
    *len += n + 1;
    *text = grown;
    free(line);
}

/* The transactions that write the parts, a line each. NULL: they are too many. */
static char *write_parts(struct bd_core *core, struct bd_admission *admission)
{
    char *text = NULL, key[2 * BD_LABEL];
    size_t len = 0, i = 0, n = json_array_size(admission->parents);
    name_parts(admission);
    while (i < n) {
        struct bd_txn t;
        size_t ops = 0, bytes = 0;
        snprintf(key, sizeof key, "j/%s", admission->id);
        if (!bd_txn_begin(&t))
            abort();
        bd_txn_compare(&t, key, 0); /* one that was accepted meanwhile needs no more of them */
        while (i < n && ops < core->kv_limits.kv_txn_ops_max &&
               bytes + core->kv_limits.kv_value_bytes_max < TXN_BYTES) {
            size_t from = i;
            snprintf(key, sizeof key, "j/%s/%s/%u", admission->id, admission->record.parents.of,
                     admission->record.parents.parts++);
            bd_txn_put(&t, key, bd_wire_parents_part(some_names(core, admission->parents, &i)), 0);
            if (i == from)
                n = 0; /* a value holds no name: this cannot be written */
            ops++;
            bytes += core->kv_limits.kv_value_bytes_max;
        }
        add_line(&text, &len, bd_txn_finish(&t));
    }
    if (n == 0 || admission->record.parents.parts > BD_PARENT_PARTS_MAX) {
        free(text);
        return NULL;
    }
    return text;
}

static bool fits_value(const struct bd_core *core, json_t *v)
{
    return (double)bd_wire_bytes(v) <= BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max;
}

/* All that the acceptance writes, a transaction a line, the record that counts last. NULL: it
 * cannot be written. */
static char *writes(struct bd_core *core, struct bd_admission *admission)
{
    json_t *whole = record_of(admission, true);
    if (fits_value(core, whole))
        return transaction(admission->id, 0, whole);
    json_decref(whole);
    char *text = admission->parents ? write_parts(core, admission) : NULL;
    json_t *record = record_of(admission, false);
    if (!text || !fits_value(core, record)) {
        json_decref(record);
        free(text);
        return NULL;
    }
    size_t len = strlen(text);
    add_line(&text, &len, transaction(admission->id, 0, record));
    return text;
}

static void accept_now(struct bd_core *core, struct bd_admission *admission)
{
    char *body = writes(core, admission);
    if (body)
        send_commit(core, admission->request, admission->id, body, BD_READ_STATUS);
    else
        bd_effect_reply_error(core, admission->request, 400, "malformed: longer than can be kept",
                              0);
}

/* ---- judging ---- */

void bd_admission_drop(struct bd_admission *admission)
{
    if (admission)
        json_decref(admission->parents);
    free(admission);
}

/* All that wait for a record that left memory. */
void bd_admission_end(struct bd_core *core)
{
    while (core->graph.accepting) {
        struct bd_admission *admission = core->graph.accepting;
        core->graph.accepting = admission->next;
        bd_admission_drop(admission);
    }
}

/* The first name that is not in memory, or NULL; *never: the job can never run, *cancelled: a job
 * that it needs is. */
static const char *find_prerequisites(struct bd_core *core, const struct bd_admission *admission,
                                      bool *never, bool *cancelled)
{
    json_t *v;
    size_t i;
    json_array_foreach(admission->parents, i, v)
    {
        struct bd_job *x = bd_job_find(core, json_string_value(v));
        if (!x)
            return json_string_value(v);
        *cancelled |= x->state == BD_JOB_CANCELLED;
        *never |= x->state == BD_JOB_ACTIVE && x->has_spec && x->spec.kind == BD_JOB_SERVICE;
    }
    return NULL;
}

static void look_for(struct bd_core *core, struct bd_admission *admission, const char *name)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_JOB_LOOKUP);
    effect->request = admission->request;
    effect->status = BD_READ_ADMISSION;
    snprintf(effect->key, sizeof effect->key, "%s", name);
    admission->lookups++;
    admission->next = core->graph.accepting;
    core->graph.accepting = admission;
}

/* proven: a read barrier stands behind what the replica lacks. Takes over `a`. */
static void judge(struct bd_core *core, struct bd_admission *admission, bool proven)
{
    bool never = false, cancelled = false;
    const char *missing =
        admission->parents ? find_prerequisites(core, admission, &never, &cancelled) : NULL;
    if (missing && !proven) {
        bd_read_after_barrier(core, admission->request, admission->id, BD_READ_ADMISSION)->accept =
            admission;
        return;
    }
    bool refresh = missing && core->replica.evicted;
    if (refresh && admission->lookups < json_array_size(admission->parents) + LOOKUPS_EXTRA) {
        look_for(core, admission, missing);
        return;
    }
    if (refresh)
        bd_effect_reply_error(core, admission->request, 503, "not ready", 1);
    else if (missing)
        bd_effect_reply_error(core, admission->request, 422, "awaits a job that was never accepted",
                              0);
    else if (never)
        bd_effect_reply_error(core, admission->request, 422,
                              "awaits a service, which is never done", 0);
    /* an older controller that leads would start the job too early, and forget what it waits for */
    else if (admission->parents && bd_peer_lacks_feature(core, BD_PEER_KNOWS_DAG))
        bd_effect_reply_error(core, admission->request, 503,
                              "an older controller serves beside this one", OUTAGE_RETRY_S);
    else {
        admission->record.state = cancelled ? BD_JOB_CANCELLED : BD_JOB_ACTIVE;
        accept_now(core, admission);
    }
    bd_admission_drop(admission);
}

void bd_admission_proven(struct bd_core *core, struct bd_admission *admission)
{
    judge(core, admission, true);
}

/* A record that a submission names was looked up; if it exists, the core has it by now. */
void bd_admission_looked_up(struct bd_core *core, void *request, long status)
{
    struct bd_admission **at = &core->graph.accepting;
    while (*at && (*at)->request != request)
        at = &(*at)->next;
    struct bd_admission *admission = *at;
    if (!admission)
        return;
    *at = admission->next;
    if (status == 200) {
        judge(core, admission, true);
        return;
    }
    if (status == 404)
        bd_effect_reply_error(core, request, 422, "awaits a job that was never accepted", 0);
    else
        bd_effect_reply_error(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
    bd_admission_drop(admission);
}

static struct bd_admission *new_admission(void *request, const char *id,
                                          const struct bd_record *record)
{
    struct bd_admission *a = calloc(1, sizeof *a);
    if (!a)
        abort();
    a->request = request;
    a->record = *record;
    a->record.tasks = record->spec.tasks;
    snprintf(a->id, sizeof a->id, "%s", id);
    return a;
}

void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len)
{
    struct bd_record r = {.state = BD_JOB_ACTIVE, .at = core->wall, .has_spec = true};
    char id[BD_ID] = "";
    json_t *parents = NULL, *o = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
    const char *bad = o ? bd_wire_submission(o, id, &r.spec) : "body";
    if (!bad && !bd_wire_parents(o, &parents))
        bad = "awaits";
    json_decref(o);
    struct bd_job *job = *id ? bd_job_find(core, id) : NULL;
    if (job) { /* known: its state, whatever the body says now */
        json_decref(parents);
        bd_user_status(core, request, id);
        return;
    }
    bool wrong = !bad && core->types_known && !can_run(core, &r.spec);
    /* an id that another node may have accepted must not get 400 or 422 */
    if ((bad || wrong) && *id) {
        (void)bd_read_after_barrier(
            core, request, id, bad ? BD_READ_INVALID_SUBMISSION : BD_READ_IMPOSSIBLE_SUBMISSION);
    } else if (bad) {
        char why[96];
        snprintf(why, sizeof why, "malformed: %s", bad);
        bd_effect_reply_error(core, request, 400, why, 0);
    } else if (!core->types_known || !bd_kv_reachable(core)) {
        bd_effect_reply_error(core, request, 503, "not ready", OUTAGE_RETRY_S);
    } else {
        struct bd_admission *admission = new_admission(request, id, &r);
        admission->parents = json_incref(parents);
        judge(core, admission, false);
    }
    json_decref(parents);
}

/* ---- outcome ---- */

/* What was committed shows here at once: the record, and the parts before it. */
static void take_writes(struct bd_core *core, const char *body, uint64_t store_revision)
{
    const char *line = body;
    while (line && *line) {
        size_t n = strcspn(line, "\n");
        json_t *o = json_loadb(line, n, 0, NULL), *op;
        struct bd_change ch;
        size_t i;
        json_array_foreach(json_object_get(o, "apply"), i, op)
        {
            bd_wire_set_revision(op, store_revision);
            if (bd_wire_change(op, &ch))
                bd_replica_apply(core, &ch);
        }
        json_decref(o);
        line += n + (line[n] == '\n');
    }
}

static void accepted(struct bd_core *core, void *request, const char *id,
                     enum bd_read_purpose purpose)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job)
        bd_effect_reply_error(core, request, 503, "not ready", 1);
    else if (job->state == BD_JOB_ACTIVE)
        bd_effect_reply(core, request, 201, bd_wire_accepted(id), 0);
    else if (purpose == BD_READ_STATUS &&
             job->state == BD_JOB_CANCELLED) /* with a job that it needs */
        bd_effect_reply(core, request, 201, bd_wire_state(id, "cancelled", 0, 0), 0);
    else
        bd_user_reply_status(core, request, job);
}

void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           int purpose, long status, uint64_t store_revision)
{
    if (status == 200) {
        take_writes(core, body, store_revision);
        if (purpose == BD_READ_CANCEL) {
            struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_ANNOUNCE_CANCELLATION);
            snprintf(effect->key, sizeof effect->key, "%s", id);
        }
        bd_decision_log_note(core, "user_confirmed", "job=%s state=%s revision=%llu by=commit", id,
                             purpose == BD_READ_CANCEL ? "cancelled" : "accepted",
                             (unsigned long long)store_revision);
        accepted(core, request, id, (enum bd_read_purpose)purpose);
    } else if (status == 409) { /* somebody was faster: look again, then answer what is */
        (void)bd_read_after_barrier(core, request, id, (enum bd_read_purpose)purpose);
    } else {
        if (status == 400) /* the next try is in smaller pieces */
            (void)bd_kv_limits_rejected(core, id);
        bd_effect_reply_error(core, request, 503, "state service not reached", 1);
    }
}
