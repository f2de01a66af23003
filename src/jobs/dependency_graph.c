/* Dependencies: jobs that wait until others are done.
 *
 * What a receipt means to the jobs after it: a job is ready only when the done record of each job
 * that it needs is committed; reports and receipts under way do not count. A done record is never
 * undone, and a job's record becomes either done or cancelled, by one conditional transaction. So a
 * cancellation and the start of a job after it cannot both happen: the start needs the record to be
 * done, the cancellation needs it not to be. No further fence is needed.
 *
 * Cancelled follows: a job that needs a cancelled one, directly or through others, is cancelled,
 * here and on every node, by derivation from the records that a read barrier stands behind. The
 * leader writes it into the records later; nothing rests on when.
 *
 * Names are written with the acceptance: in the job's record, or where a value does not hold them
 * in parts (j/JOB/HASH/N) that are committed before the record that names their hash and number. */
#include "core/core_internal.h"
#include <math.h>
#include <stdio.h>
#include <utlist.h>

/* named defaults */
#define PATH_FACTOR 1.3  /* a job's slowest task against its owner's guess */
#define PATH_EXTRA_S 4.0 /* from one job's end to the next one's begin, an image in between */
#define UNSEEN_S 2.0     /* a record that is not in memory is asked about so often */
#define UNSEEN_MOST 8u   /* at once */

static struct bd_prerequisite *prerequisite_of(struct bd_core *core, const char *id)
{
    struct bd_prerequisite *n = NULL;
    HASH_FIND_STR(core->graph.prerequisites, id, n);
    if (n)
        return n;
    n = calloc(1, sizeof *n);
    if (!n)
        abort();
    snprintf(n->id, sizeof n->id, "%s", id);
    n->job = bd_job_find(core, id);
    if (n->job)
        n->job->prerequisite = n;
    else
        core->graph.nunseen++;
    HASH_ADD_STR(core->graph.prerequisites, id, n);
    return n;
}

static void drop_prerequisite(struct bd_core *core, struct bd_prerequisite *prerequisite)
{
    if (prerequisite->job)
        prerequisite->job->prerequisite = NULL;
    else
        core->graph.nunseen--;
    HASH_DEL(core->graph.prerequisites, prerequisite);
    free(prerequisite);
}

/* The job waits no more: it is final, or ready. */
static void release(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->ndependencies; i++) {
        struct bd_dependency *e = &job->dependencies[i];
        if (!e->prerequisite)
            continue;
        DL_DELETE(e->prerequisite->after, e);
        if (--e->prerequisite->nafter == 0)
            drop_prerequisite(core, e->prerequisite);
    }
    free(job->dependencies);
    job->dependencies = NULL;
    job->ndependencies = job->open = job->parts = 0;
    core->graph.weigh = true;
}

static void one_less(struct bd_core *core, struct bd_job *job, double end)
{
    job->ready = end > job->ready ? end : job->ready;
    if (--job->open > 0)
        return;
    release(core, job);
    bd_log_write(core->log, BD_LOG_INFO, "%s is ready, %.1f s after its submission", job->id,
                 core->wall - job->at);
    core->lead.cycle_wanted = true;
}

static void derive_cancelled(struct bd_core *core, struct bd_job *job)
{
    release(core, job);
    bd_job_set_state(core, job, BD_JOB_CANCELLED);
    job->derived = true;
    core->graph.nderived++;
}

/* The job is done or cancelled: those that wait for it go on or are cancelled too, and with them
 * what waits for them. A list of work, not a recursion: chains may be long. */
void bd_deps_settled(struct bd_core *core, struct bd_job *job)
{
    struct bd_job *work = job;
    if (job->dependencies)
        release(core, job);
    job->todo = NULL;
    while (work) {
        struct bd_job *k = work;
        struct bd_prerequisite *prerequisite = k->prerequisite;
        work = k->todo;
        while (prerequisite && prerequisite->after) {
            struct bd_dependency *e = prerequisite->after;
            struct bd_job *d = e->job;
            DL_DELETE(prerequisite->after, e);
            prerequisite->nafter--;
            e->prerequisite = NULL;
            if (k->state == BD_JOB_DONE) {
                one_less(core, d, k->end);
                continue;
            }
            derive_cancelled(core, d);
            d->todo = work;
            work = d;
        }
        if (prerequisite)
            drop_prerequisite(core, prerequisite);
    }
    core->graph.weigh = true;
}

/* A job's record is there now. */
void bd_deps_seen(struct bd_core *core, struct bd_job *job)
{
    struct bd_prerequisite *prerequisite = NULL;
    HASH_FIND_STR(core->graph.prerequisites, job->id, prerequisite);
    if (!prerequisite || prerequisite->job)
        return;
    prerequisite->job = job;
    job->prerequisite = prerequisite;
    core->graph.nunseen--;
}

/* One more that the job waits for. True: that one is cancelled. */
static bool add_prerequisite(struct bd_core *core, struct bd_job *job, const char *name)
{
    struct bd_job *x = bd_job_find(core, name);
    struct bd_dependency *e = &job->dependencies[job->ndependencies++];
    e->job = job;
    if (x && x->state == BD_JOB_DONE) {
        job->ready = x->end > job->ready ? x->end : job->ready;
        return false;
    }
    if (x && x->state == BD_JOB_CANCELLED)
        return true;
    struct bd_prerequisite *prerequisite = prerequisite_of(core, name);
    if (prerequisite->after && prerequisite->after->prev->job == job)
        return false; /* named twice */
    e->prerequisite = prerequisite;
    DL_APPEND(e->prerequisite->after, e);
    e->prerequisite->nafter++;
    job->open++;
    return false;
}

static void take_names(struct bd_core *core, struct bd_job *job, json_t *names)
{
    json_t *v;
    size_t i;
    bool cancelled = false;
    job->dependencies = calloc(json_array_size(names) + 1, sizeof *job->dependencies);
    if (!job->dependencies)
        abort();
    job->open = 1; /* while names are added */
    json_array_foreach(names, i, v)
    {
        const char *name = json_string_value(v);
        if (bd_wire_job_id(name) && strcmp(name, job->id) != 0)
            cancelled = add_prerequisite(core, job, name) || cancelled;
        else /* what cannot be read is never known to be done */
            job->open++;
    }
    core->graph.weigh = true;
    if (!cancelled) {
        one_less(core, job, job->ready);
        return;
    }
    derive_cancelled(core, job);
    bd_deps_settled(core, job);
}

static void part_key(char *key, size_t cap, const char *id, const char *of, uint32_t n)
{
    snprintf(key, cap, "%s/%s/%u", id, of, n);
}

static struct bd_prerequisites_part *find_part(struct bd_core *core, const struct bd_job *job,
                                               uint32_t n)
{
    struct bd_prerequisites_part *p = NULL;
    char key[BD_LABEL + BD_HASH];
    part_key(key, sizeof key, job->id, job->parts_of, n);
    HASH_FIND_STR(core->graph.parts, key, p);
    return p;
}

static void drop_part(struct bd_core *core, struct bd_prerequisites_part *p)
{
    HASH_DEL(core->graph.parts, p);
    json_decref(p->names);
    free(p);
}

/* Once all parts are there. */
static void put_together(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->parts; i++)
        if (!find_part(core, job, i))
            return;
    json_t *all = json_array();
    for (uint32_t i = 0; i < job->parts; i++) {
        struct bd_prerequisites_part *p = find_part(core, job, i);
        (void)json_array_extend(all, p->names);
        drop_part(core, p);
    }
    job->parts = 0;
    take_names(core, job, all);
    json_decref(all);
}

/* The part of a job's names: kept until its record is there, which may come before or after. */
void bd_deps_part(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_ID];
    struct bd_prerequisites_part *p = NULL;
    json_t *names = bd_wire_read_part(value);
    size_t n = strcspn(key, "/");
    if (!names || n >= sizeof id || strlen(key) >= sizeof p->key) {
        bd_log_write(core->log, BD_LOG_ERROR, "record j/%s cannot be read", key);
        return;
    }
    snprintf(id, sizeof id, "%.*s", (int)n, key);
    struct bd_job *job = bd_job_find(core, id);
    if (job && !job->parts)
        return; /* complete, or final */
    HASH_FIND_STR(core->graph.parts, key, p);
    if (!p) {
        p = calloc(1, sizeof *p);
        if (!p)
            abort();
        snprintf(p->key, sizeof p->key, "%s", key);
        p->names = json_deep_copy(names);
        HASH_ADD_STR(core->graph.parts, key, p);
    }
    if (job)
        put_together(core, job);
}

/* The record of a live job, seen for the first time. */
void bd_deps_take(struct bd_core *core, struct bd_job *job, const struct bd_record_prerequisites *r)
{
    job->chained = r->damaged || r->parts || json_array_size(r->names) > 0;
    if (r->damaged) {
        bd_log_write(core->log, BD_LOG_ERROR,
                     "%s: what it awaits cannot be read: it is not started", job->id);
        job->open = 1;
    } else if (r->parts) {
        job->parts = r->parts;
        job->open = 1;
        snprintf(job->parts_of, sizeof job->parts_of, "%s", r->of);
        put_together(core, job);
    } else if (json_array_size(r->names) > 0) {
        take_names(core, job, r->names);
    }
}

void bd_deps_written(struct bd_core *core, struct bd_job *job)
{
    core->graph.nderived -= job->derived;
    job->derived = false;
}

/* ---- urgency ---- */

/* How long the job takes, from when it is ready, by its owner's guess. */
static double span_s(const struct bd_job *job)
{
    return PATH_FACTOR * job->spec.estimate + PATH_EXTRA_S;
}

/* Seconds that the job can still wait for its start, for all that need it to be in time. */
double bd_deadline_slack(const struct bd_core *core, const struct bd_job *job)
{
    return job->finish_by - span_s(job) - core->wall;
}

static void start_weighing(struct bd_core *core, struct bd_job **work)
{
    for (struct bd_prerequisite *prerequisite = core->graph.prerequisites; prerequisite;
         prerequisite = prerequisite->hh.next)
        prerequisite->left = prerequisite->nafter;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->state != BD_JOB_ACTIVE)
            continue;
        job->priority = job->spec.priority;
        job->finish_by =
            job->chained && job->spec.deadline_s >= 0 ? job->at + job->spec.deadline_s : INFINITY;
        if (job->dependencies && !job->prerequisite) {
            job->todo = *work;
            *work = job;
        }
    }
}

/* A job's rank is the highest among it and all that need it, and its end is due early enough for
 * them: from the last ones back, each edge once. Worked out anew when the graph has changed, so
 * that it lasts no longer than those that need it. */
void bd_core_weigh(struct bd_core *core)
{
    struct bd_job *work = NULL;
    if (!core->graph.weigh)
        return;
    core->graph.weigh = false;
    start_weighing(core, &work);
    while (work) {
        struct bd_job *job = work;
        work = job->todo;
        for (uint32_t i = 0; i < job->ndependencies; i++) {
            struct bd_prerequisite *prerequisite = job->dependencies[i].prerequisite;
            struct bd_job *x = prerequisite ? prerequisite->job : NULL;
            if (!x)
                continue;
            x->priority = job->priority > x->priority ? job->priority : x->priority;
            x->finish_by = fmin(x->finish_by, job->finish_by - span_s(job));
            if (--prerequisite->left == 0 && x->dependencies) {
                x->todo = work;
                work = x;
            }
        }
    }
}

/* ---- records that are not in memory ---- */

/* What a job waits for left memory before the job's own record was read: it is final, and looked
 * up. */
void bd_deps_tick(struct bd_core *core)
{
    uint32_t asked = 0;
    if (core->graph.nunseen == 0 || !core->replica.ready ||
        bd_before(core->now, core->graph.next_unseen))
        return;
    core->graph.next_unseen = bd_add(core->now, bd_secs(UNSEEN_S));
    for (struct bd_prerequisite *prerequisite = core->graph.prerequisites;
         prerequisite && asked < UNSEEN_MOST; prerequisite = prerequisite->hh.next) {
        if (prerequisite->job ||
            (!bd_is_zero(prerequisite->asked_at) &&
             bd_between(prerequisite->asked_at, core->now) < UNSEEN_S * UNSEEN_MOST))
            continue;
        prerequisite->asked_at = core->now;
        struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_JOB_LOOKUP);
        effect->status = BD_WAIT_PREREQUISITE;
        snprintf(effect->key, sizeof effect->key, "%s", prerequisite->id);
        asked++;
    }
    if (asked == UNSEEN_MOST)
        core->graph.next_unseen = core->now;
}

void bd_deps_free(struct bd_core *core)
{
    struct bd_prerequisite *prerequisite, *nt;
    struct bd_prerequisites_part *p, *pt;
    HASH_ITER(hh, core->graph.prerequisites, prerequisite, nt)
    {
        HASH_DEL(core->graph.prerequisites, prerequisite);
        free(prerequisite);
    }
    HASH_ITER(hh, core->graph.parts, p, pt)
    {
        drop_part(core, p);
    }
}
