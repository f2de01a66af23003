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
#include "core_in.h"
#include <math.h>
#include <stdio.h>
#include <utlist.h>

/* named defaults */
#define PATH_FACTOR 1.3  /* a job's slowest task against its owner's guess */
#define PATH_EXTRA_S 4.0 /* from one job's end to the next one's begin, an image in between */
#define UNSEEN_S 2.0     /* a record that is not in memory is asked about so often */
#define UNSEEN_MOST 8u   /* at once */

static struct bd_prerequisite *prerequisite_of(struct bd_core *c, const char *id)
{
    struct bd_prerequisite *n = NULL;
    HASH_FIND_STR(c->prerequisites, id, n);
    if (n)
        return n;
    n = calloc(1, sizeof *n);
    if (!n)
        abort();
    snprintf(n->id, sizeof n->id, "%s", id);
    n->job = bd_job_find(c, id);
    if (n->job)
        n->job->prerequisite = n;
    else
        c->nunseen++;
    HASH_ADD_STR(c->prerequisites, id, n);
    return n;
}

static void drop_prerequisite(struct bd_core *c, struct bd_prerequisite *n)
{
    if (n->job)
        n->job->prerequisite = NULL;
    else
        c->nunseen--;
    HASH_DEL(c->prerequisites, n);
    free(n);
}

/* The job waits no more: it is final, or ready. */
static void release(struct bd_core *c, struct bd_job *j)
{
    for (uint32_t i = 0; i < j->ndependencies; i++) {
        struct bd_dependency *e = &j->dependencies[i];
        if (!e->prerequisite)
            continue;
        DL_DELETE(e->prerequisite->after, e);
        if (--e->prerequisite->nafter == 0)
            drop_prerequisite(c, e->prerequisite);
    }
    free(j->dependencies);
    j->dependencies = NULL;
    j->ndependencies = j->open = j->parts = 0;
    c->weigh = true;
}

static void one_less(struct bd_core *c, struct bd_job *j, double end)
{
    j->ready = end > j->ready ? end : j->ready;
    if (--j->open > 0)
        return;
    release(c, j);
    bd_say(c->log, BD_INFO, "%s is ready, %.1f s after its submission", j->id, c->wall - j->at);
    c->round_wanted = true;
}

static void derive_cancelled(struct bd_core *c, struct bd_job *j)
{
    release(c, j);
    bd_job_set_state(c, j, BD_CANCELLED);
    j->derived = true;
    c->nderived++;
}

/* The job is done or cancelled: those that wait for it go on or are cancelled too, and with them
 * what waits for them. A list of work, not a recursion: chains may be long. */
void bd_deps_settled(struct bd_core *c, struct bd_job *j)
{
    struct bd_job *work = j;
    if (j->dependencies)
        release(c, j);
    j->todo = NULL;
    while (work) {
        struct bd_job *k = work;
        struct bd_prerequisite *n = k->prerequisite;
        work = k->todo;
        while (n && n->after) {
            struct bd_dependency *e = n->after;
            struct bd_job *d = e->job;
            DL_DELETE(n->after, e);
            n->nafter--;
            e->prerequisite = NULL;
            if (k->state == BD_DONE) {
                one_less(c, d, k->end);
                continue;
            }
            derive_cancelled(c, d);
            d->todo = work;
            work = d;
        }
        if (n)
            drop_prerequisite(c, n);
    }
    c->weigh = true;
}

/* A job's record is there now. */
void bd_deps_seen(struct bd_core *c, struct bd_job *j)
{
    struct bd_prerequisite *n = NULL;
    HASH_FIND_STR(c->prerequisites, j->id, n);
    if (!n || n->job)
        return;
    n->job = j;
    j->prerequisite = n;
    c->nunseen--;
}

/* One more that the job waits for. True: that one is cancelled. */
static bool add_prerequisite(struct bd_core *c, struct bd_job *j, const char *name)
{
    struct bd_job *x = bd_job_find(c, name);
    struct bd_dependency *e = &j->dependencies[j->ndependencies++];
    e->job = j;
    if (x && x->state == BD_DONE) {
        j->ready = x->end > j->ready ? x->end : j->ready;
        return false;
    }
    if (x && x->state == BD_CANCELLED)
        return true;
    struct bd_prerequisite *n = prerequisite_of(c, name);
    if (n->after && n->after->prev->job == j)
        return false; /* named twice */
    e->prerequisite = n;
    DL_APPEND(e->prerequisite->after, e);
    e->prerequisite->nafter++;
    j->open++;
    return false;
}

static void take_names(struct bd_core *c, struct bd_job *j, json_t *names)
{
    json_t *v;
    size_t i;
    bool cancelled = false;
    j->dependencies = calloc(json_array_size(names) + 1, sizeof *j->dependencies);
    if (!j->dependencies)
        abort();
    j->open = 1; /* while names are added */
    json_array_foreach(names, i, v)
    {
        const char *name = json_string_value(v);
        if (bd_wire_job_id(name) && strcmp(name, j->id) != 0)
            cancelled = add_prerequisite(c, j, name) || cancelled;
        else /* what cannot be read is never known to be done */
            j->open++;
    }
    c->weigh = true;
    if (!cancelled) {
        one_less(c, j, j->ready);
        return;
    }
    derive_cancelled(c, j);
    bd_deps_settled(c, j);
}

static void part_key(char *key, size_t cap, const char *id, const char *of, uint32_t n)
{
    snprintf(key, cap, "%s/%s/%u", id, of, n);
}

static struct bd_prerequisites_part *find_part(struct bd_core *c, const struct bd_job *j,
                                               uint32_t n)
{
    struct bd_prerequisites_part *p = NULL;
    char key[BD_LABEL + BD_HASH];
    part_key(key, sizeof key, j->id, j->parts_of, n);
    HASH_FIND_STR(c->parts, key, p);
    return p;
}

static void drop_part(struct bd_core *c, struct bd_prerequisites_part *p)
{
    HASH_DEL(c->parts, p);
    json_decref(p->names);
    free(p);
}

/* Once all parts are there. */
static void put_together(struct bd_core *c, struct bd_job *j)
{
    for (uint32_t i = 0; i < j->parts; i++)
        if (!find_part(c, j, i))
            return;
    json_t *all = json_array();
    for (uint32_t i = 0; i < j->parts; i++) {
        struct bd_prerequisites_part *p = find_part(c, j, i);
        (void)json_array_extend(all, p->names);
        drop_part(c, p);
    }
    j->parts = 0;
    take_names(c, j, all);
    json_decref(all);
}

/* The part of a job's names: kept until its record is there, which may come before or after. */
void bd_deps_part(struct bd_core *c, const char *key, json_t *value)
{
    char id[BD_ID];
    struct bd_prerequisites_part *p = NULL;
    json_t *names = bd_wire_read_part(value);
    size_t n = strcspn(key, "/");
    if (!names || n >= sizeof id || strlen(key) >= sizeof p->key) {
        bd_say(c->log, BD_ERROR, "record j/%s cannot be read", key);
        return;
    }
    snprintf(id, sizeof id, "%.*s", (int)n, key);
    struct bd_job *j = bd_job_find(c, id);
    if (j && !j->parts)
        return; /* complete, or final */
    HASH_FIND_STR(c->parts, key, p);
    if (!p) {
        p = calloc(1, sizeof *p);
        if (!p)
            abort();
        snprintf(p->key, sizeof p->key, "%s", key);
        p->names = json_deep_copy(names);
        HASH_ADD_STR(c->parts, key, p);
    }
    if (j)
        put_together(c, j);
}

/* The record of a live job, seen for the first time. */
void bd_deps_take(struct bd_core *c, struct bd_job *j, const struct bd_record_prerequisites *r)
{
    j->chained = r->damaged || r->parts || json_array_size(r->names) > 0;
    if (r->damaged) {
        bd_say(c->log, BD_ERROR, "%s: what it awaits cannot be read: it is not started", j->id);
        j->open = 1;
    } else if (r->parts) {
        j->parts = r->parts;
        j->open = 1;
        snprintf(j->parts_of, sizeof j->parts_of, "%s", r->of);
        put_together(c, j);
    } else if (json_array_size(r->names) > 0) {
        take_names(c, j, r->names);
    }
}

void bd_deps_written(struct bd_core *c, struct bd_job *j)
{
    c->nderived -= j->derived;
    j->derived = false;
}

/* ---- urgency ---- */

/* How long the job takes, from when it is ready, by its owner's guess. */
static double span_s(const struct bd_job *j)
{
    return PATH_FACTOR * j->spec.estimate + PATH_EXTRA_S;
}

/* Seconds that the job can still wait for its start, for all that need it to be in time. */
double bd_due_slack(const struct bd_core *c, const struct bd_job *j)
{
    return j->due_by - span_s(j) - c->wall;
}

static void start_weighing(struct bd_core *c, struct bd_job **work)
{
    for (struct bd_prerequisite *n = c->prerequisites; n; n = n->hh.next)
        n->left = n->nafter;
    for (struct bd_job *j = c->jobs; j; j = j->hh.next) {
        if (j->state != BD_LIVE)
            continue;
        j->rank = j->spec.rank;
        j->due_by = j->chained && j->spec.due >= 0 ? j->at + j->spec.due : INFINITY;
        if (j->dependencies && !j->prerequisite) {
            j->todo = *work;
            *work = j;
        }
    }
}

/* A job's rank is the highest among it and all that need it, and its end is due early enough for
 * them: from the last ones back, each edge once. Worked out anew when the graph has changed, so
 * that it lasts no longer than those that need it. */
void bd_core_weigh(struct bd_core *c)
{
    struct bd_job *work = NULL;
    if (!c->weigh)
        return;
    c->weigh = false;
    start_weighing(c, &work);
    while (work) {
        struct bd_job *j = work;
        work = j->todo;
        for (uint32_t i = 0; i < j->ndependencies; i++) {
            struct bd_prerequisite *n = j->dependencies[i].prerequisite;
            struct bd_job *x = n ? n->job : NULL;
            if (!x)
                continue;
            x->rank = j->rank > x->rank ? j->rank : x->rank;
            x->due_by = fmin(x->due_by, j->due_by - span_s(j));
            if (--n->left == 0 && x->dependencies) {
                x->todo = work;
                work = x;
            }
        }
    }
}

/* ---- records that are not in memory ---- */

/* What a job waits for left memory before the job's own record was read: it is final, and looked
 * up. */
void bd_deps_tick(struct bd_core *c)
{
    uint32_t asked = 0;
    if (c->nunseen == 0 || !c->replica_ready || bd_before(c->now, c->next_unseen))
        return;
    c->next_unseen = bd_add(c->now, bd_secs(UNSEEN_S));
    for (struct bd_prerequisite *n = c->prerequisites; n && asked < UNSEEN_MOST; n = n->hh.next) {
        if (n->job ||
            (!bd_is_zero(n->asked_at) && bd_between(n->asked_at, c->now) < UNSEEN_S * UNSEEN_MOST))
            continue;
        n->asked_at = c->now;
        struct bd_effect *e = bd_emit(c, BD_E_LOOKUP);
        e->status = BD_WAIT_PREREQUISITE;
        snprintf(e->key, sizeof e->key, "%s", n->id);
        asked++;
    }
    if (asked == UNSEEN_MOST)
        c->next_unseen = c->now;
}

void bd_deps_free(struct bd_core *c)
{
    struct bd_prerequisite *n, *nt;
    struct bd_prerequisites_part *p, *pt;
    HASH_ITER(hh, c->prerequisites, n, nt)
    {
        HASH_DEL(c->prerequisites, n);
        free(n);
    }
    HASH_ITER(hh, c->parts, p, pt)
    {
        drop_part(c, p);
    }
}
