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
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

bool bd_job_has_open_parents(const struct bd_job *job)
{
    return job->nopen_parents > 0;
}

/* named defaults */
#define PATH_FACTOR 1.3  /* a job's slowest task against its owner's guess */
#define PATH_EXTRA_S 4.0 /* from one job's end to the next one's begin, an image in between */
#define UNSEEN_S 2.0     /* a record that is not in memory is asked about so often */
#define UNSEEN_MAX 8u    /* at once */

static struct bd_parent_job *prerequisite_of(struct bd_core *core, const char *id)
{
    struct bd_parent_job *n = NULL;
    HASH_FIND_STR(core->graph.parents, id, n);
    if (n)
        return n;
    n = calloc(1, sizeof *n);
    if (!n)
        abort();
    snprintf(n->id, sizeof n->id, "%s", id);
    n->job = bd_job_find(core, id);
    if (n->job)
        n->job->parent = n;
    else
        core->graph.nunseen_parents++;
    HASH_ADD_STR(core->graph.parents, id, n);
    return n;
}

static void drop_prerequisite(struct bd_core *core, struct bd_parent_job *parent)
{
    if (parent->job)
        parent->job->parent = NULL;
    else
        core->graph.nunseen_parents--;
    HASH_DEL(core->graph.parents, parent);
    free(parent);
}

/* The job waits no more: it is final, or ready. */
static void release(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->nparent_edges; i++) {
        struct bd_dependency_edge *e = &job->parent_edges[i];
        if (!e->parent)
            continue;
        DL_DELETE(e->parent->dependents, e);
        if (--e->parent->ndependents == 0)
            drop_prerequisite(core, e->parent);
    }
    free(job->parent_edges);
    job->parent_edges = NULL;
    job->nparent_edges = job->nopen_parents = job->parts = 0;
    core->graph.priorities_stale = true;
}

static void one_less(struct bd_core *core, struct bd_job *job, double end)
{
    job->ready = end > job->ready ? end : job->ready;
    if (--job->nopen_parents > 0)
        return;
    release(core, job);
    bd_log_write(core->log, BD_LOG_INFO, "%s is runnable, %.1f s after its submission", job->id,
                 core->wall - job->at);
    core->lead.cycle_wanted = true;
}

static void derive_cancelled(struct bd_core *core, struct bd_job *job)
{
    release(core, job);
    bd_job_set_state(core, job, BD_JOB_CANCELLED);
    job->cancelled_by_parent = true;
    core->graph.ncancelled_by_parent++;
}

/* The job is done or cancelled: those that wait for it go on or are cancelled too, and with them
 * what waits for them. A list of work, not a recursion: chains may be long. */
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job)
{
    struct bd_job *work = job;
    if (job->parent_edges)
        release(core, job);
    job->todo = NULL;
    while (work) {
        struct bd_job *k = work;
        struct bd_parent_job *parent = k->parent;
        work = k->todo;
        while (parent && parent->dependents) {
            struct bd_dependency_edge *e = parent->dependents;
            struct bd_job *d = e->job;
            DL_DELETE(parent->dependents, e);
            parent->ndependents--;
            e->parent = NULL;
            if (k->state == BD_JOB_DONE) {
                one_less(core, d, k->end);
                continue;
            }
            derive_cancelled(core, d);
            d->todo = work;
            work = d;
        }
        if (parent)
            drop_prerequisite(core, parent);
    }
    core->graph.priorities_stale = true;
}

/* A job's record is there now. */
void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job)
{
    struct bd_parent_job *parent = NULL;
    HASH_FIND_STR(core->graph.parents, job->id, parent);
    if (!parent || parent->job)
        return;
    parent->job = job;
    job->parent = parent;
    core->graph.nunseen_parents--;
}

/* One more that the job waits for. True: that one is cancelled. */
static bool add_prerequisite(struct bd_core *core, struct bd_job *job, const char *name)
{
    struct bd_job *x = bd_job_find(core, name);
    struct bd_dependency_edge *e = &job->parent_edges[job->nparent_edges++];
    e->job = job;
    if (x && x->state == BD_JOB_DONE) {
        job->ready = x->end > job->ready ? x->end : job->ready;
        return false;
    }
    if (x && x->state == BD_JOB_CANCELLED)
        return true;
    struct bd_parent_job *parent = prerequisite_of(core, name);
    if (parent->dependents && parent->dependents->prev->job == job)
        return false; /* named twice */
    e->parent = parent;
    DL_APPEND(e->parent->dependents, e);
    e->parent->ndependents++;
    job->nopen_parents++;
    return false;
}

static void take_names(struct bd_core *core, struct bd_job *job, json_t *names)
{
    json_t *v;
    size_t i;
    bool cancelled = false;
    job->parent_edges = calloc(json_array_size(names) + 1, sizeof *job->parent_edges);
    if (!job->parent_edges)
        abort();
    job->nopen_parents = 1; /* while names are added */
    json_array_foreach(names, i, v)
    {
        const char *name = json_string_value(v);
        if (bd_wire_job_id(name) && strcmp(name, job->id) != 0)
            cancelled = add_prerequisite(core, job, name) || cancelled;
        else /* what cannot be read is never known to be done */
            job->nopen_parents++;
    }
    core->graph.priorities_stale = true;
    if (!cancelled) {
        one_less(core, job, job->ready);
        return;
    }
    derive_cancelled(core, job);
    bd_dag_job_ended(core, job);
}

static void part_key(char *key, size_t cap, const char *id, const char *of, uint32_t n)
{
    snprintf(key, cap, "%s/%s/%u", id, of, n);
}

static struct bd_parents_part *find_part(struct bd_core *core, const struct bd_job *job, uint32_t n)
{
    struct bd_parents_part *p = NULL;
    char key[BD_LABEL + BD_HASH];
    part_key(key, sizeof key, job->id, job->parts_of, n);
    HASH_FIND_STR(core->graph.parts, key, p);
    return p;
}

static void drop_part(struct bd_core *core, struct bd_parents_part *p)
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
        struct bd_parents_part *p = find_part(core, job, i);
        (void)json_array_extend(all, p->names);
        drop_part(core, p);
    }
    job->parts = 0;
    take_names(core, job, all);
    json_decref(all);
}

/* The part of a job's names: kept until its record is there, which may come before or after. */
void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value)
{
    char id[BD_ID];
    struct bd_parents_part *p = NULL;
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
void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_record_parents *r)
{
    job->in_dag = r->damaged || r->parts || json_array_size(r->names) > 0;
    if (r->damaged) {
        bd_log_write(core->log, BD_LOG_ERROR, "%s: its parents cannot be read: it is not started",
                     job->id);
        job->nopen_parents = 1;
    } else if (r->parts) {
        job->parts = r->parts;
        job->nopen_parents = 1;
        snprintf(job->parts_of, sizeof job->parts_of, "%s", r->of);
        put_together(core, job);
    } else if (json_array_size(r->names) > 0) {
        take_names(core, job, r->names);
    }
}

void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job)
{
    core->graph.ncancelled_by_parent -= job->cancelled_by_parent;
    job->cancelled_by_parent = false;
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
    for (struct bd_parent_job *parent = core->graph.parents; parent; parent = parent->hh.next)
        parent->left = parent->ndependents;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->state != BD_JOB_ACTIVE)
            continue;
        job->priority = job->spec.priority;
        job->finish_by =
            job->in_dag && job->spec.deadline_s >= 0 ? job->at + job->spec.deadline_s : INFINITY;
        if (job->parent_edges && !job->parent) {
            job->todo = *work;
            *work = job;
        }
    }
}

/* A job's rank is the highest among it and all that need it, and its end is due early enough for
 * them: from the last ones back, each edge once. Worked out anew when the graph has changed, so
 * that it lasts no longer than those that need it. */
void bd_dag_update_priorities(struct bd_core *core)
{
    struct bd_job *work = NULL;
    if (!core->graph.priorities_stale)
        return;
    core->graph.priorities_stale = false;
    start_weighing(core, &work);
    while (work) {
        struct bd_job *job = work;
        work = job->todo;
        for (uint32_t i = 0; i < job->nparent_edges; i++) {
            struct bd_parent_job *parent = job->parent_edges[i].parent;
            struct bd_job *x = parent ? parent->job : NULL;
            if (!x)
                continue;
            x->priority = job->priority > x->priority ? job->priority : x->priority;
            x->finish_by = fmin(x->finish_by, job->finish_by - span_s(job));
            if (--parent->left == 0 && x->parent_edges) {
                x->todo = work;
                work = x;
            }
        }
    }
}

/* ---- records that are not in memory ---- */

/* What a job waits for left memory before the job's own record was read: it is final, and looked
 * up. */
void bd_dag_tick(struct bd_core *core)
{
    uint32_t asked = 0;
    if (core->graph.nunseen_parents == 0 || !core->replica.ready ||
        bd_before(core->now, core->graph.next_unseen))
        return;
    core->graph.next_unseen = bd_add(core->now, bd_secs(UNSEEN_S));
    for (struct bd_parent_job *parent = core->graph.parents; parent && asked < UNSEEN_MAX;
         parent = parent->hh.next) {
        if (parent->job || (!bd_is_zero(parent->asked_at) &&
                            bd_between(parent->asked_at, core->now) < UNSEEN_S * UNSEEN_MAX))
            continue;
        parent->asked_at = core->now;
        struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_JOB_LOOKUP);
        effect->status = BD_READ_PARENT;
        snprintf(effect->key, sizeof effect->key, "%s", parent->id);
        asked++;
    }
    if (asked == UNSEEN_MAX)
        core->graph.next_unseen = core->now;
}

void bd_dag_free(struct bd_core *core)
{
    struct bd_parent_job *parent, *nt;
    struct bd_parents_part *p, *pt;
    HASH_ITER(hh, core->graph.parents, parent, nt)
    {
        HASH_DEL(core->graph.parents, parent);
        free(parent);
    }
    HASH_ITER(hh, core->graph.parts, p, pt)
    {
        drop_part(core, p);
    }
}
