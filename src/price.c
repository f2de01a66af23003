/* What a place costs, and how long a job may look for a cheap one before its aims are in danger. */
#include "core_in.h"
#include <math.h>

/* named defaults */
#define DEAR 2.5           /* times the cheapest ordinary place for the task */
#define PATIENCE 1.0       /* of the time that a job can spare */
#define HOPE_S 20.0        /* with less to spare an aim is not counted on */
#define YIELD_LEAST_S 15.0 /* while GPU work waits for machines */
#define RUN_FACTOR 1.5     /* a job's slowest task against its owner's guess */

int bd_tasks_a_machine(const struct bd_type *t, const struct bd_spec *s)
{
    double n = 1e6;
    if (s->cpus > 0)
        n = fmin(n, floor(t->cpus / s->cpus + 1e-9));
    if (s->gpus > 0)
        n = fmin(n, floor(t->gpus / s->gpus + 1e-9));
    if (s->mem > 0)
        n = fmin(n, floor(t->mem / s->mem + 1e-9));
    return (int)n;
}

static double place_price(const struct bd_core *c, const struct bd_spec *s, int type, bool spot)
{
    const struct bd_type *t = &c->types[type];
    int n = t->known ? bd_tasks_a_machine(t, s) : 0;
    if (n < 1 || !bd_type_allowed(s, type) || (spot && !s->spot))
        return INFINITY;
    return (spot ? t->spot_price : t->price) / n;
}

/* Whether a place on such a machine costs much more than the cheapest would. */
bool bd_dear(const struct bd_core *c, const struct bd_spec *s, int type, bool spot)
{
    double low = INFINITY;
    for (int t = 0; t < c->ntypes; t++)
        low = fmin(low, place_price(c, s, t, false));
    return place_price(c, s, type, spot) > DEAR * low;
}

const char *bd_class_name(const struct bd_core *c, int id)
{
    struct bd_names *n, *t;
    HASH_ITER(hh, c->classes, n, t)
    {
        if (n->index == id)
            return n->name;
    }
    return "";
}

/* How long a job of the class may wait and still meet the aim; below 0: not this class's aim. */
double bd_slack(const struct bd_core *c, int job_class, double estimate, const struct bd_aim *a)
{
    if (strcmp(a->job_class, bd_class_name(c, job_class)) != 0)
        return -1;
    if (a->kind == BD_AIM_WAIT)
        return a->within_s;
    if (a->kind == BD_AIM_FINISHED)
        return fmax(0, a->within_s - RUN_FACTOR * estimate);
    return -1;
}

/* Seconds from its submission that the job can wait for a cheap place; a class whose aim for its
 * start leaves no time for a new machine waits for nothing. A job that is too long for the tightest
 * aim for its end goes by the next one. */
static double patience(const struct bd_core *c, const struct bd_spec *s)
{
    double tight = INFINITY, loose = 0, lead = 0;
    bool any = false;
    for (int t = 0; t < c->ntypes; t++)
        if (place_price(c, s, t, false) < INFINITY)
            lead = fmax(lead, c->types[t].boot + s->image_gb / c->types[t].fetch);
    for (int i = 0; i < c->settings->naims; i++) {
        const struct bd_aim *a = &c->settings->aims[i];
        double slack = bd_slack(c, s->job_class, s->estimate, a), v = slack - lead;
        if (slack < 0)
            continue;
        if (a->kind == BD_AIM_WAIT && v < HOPE_S)
            return 0;
        any = true;
        loose = fmax(loose, v);
        if (v >= HOPE_S)
            tight = fmin(tight, v);
    }
    return any ? PATIENCE * fmin(tight, loose) : 0;
}

enum bd_reach bd_reach_of(const struct bd_core *c, const struct bd_job *j)
{
    double can = patience(c, &j->spec), waited = c->wall - j->ready;
    if (isfinite(j->due_by)) /* what waits for it leaves it no more than that */
        can = fmin(can, fmax(0, bd_due_slack(c, j) - HOPE_S + waited));
    bool yields =
        c->gpu_waiting && j->spec.gpus <= 0 && j->spec.shape == BD_ARRAY && j->rank <= BD_STANDARD;
    if (waited >= (yields ? fmax(can, YIELD_LEAST_S) : can))
        return BD_REACH_ANY;
    return j->spec.spot && waited < can / 2 ? BD_REACH_SPOT : BD_REACH_CHEAP;
}

bool bd_in_reach(const struct bd_core *c, const struct bd_spec *s, enum bd_reach reach, int type,
                 bool spot)
{
    if (reach == BD_REACH_ANY)
        return true;
    if (reach == BD_REACH_SPOT && !spot)
        return false;
    return !bd_dear(c, s, type, spot);
}
