/* Moves services from expensive machines to cheap ones, so that the expensive ones become free.
 * Part of the pure core. */
#include "autoscaling/autoscaler_internal.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SETTLED_S 40.0        /* a service younger than this stays where it is */
#define CONSOLIDATE_SHARE 0.8 /* of a machine: with more services than this it is left as it is */
#define AWAY_MIN_S 2.0        /* seconds that moves keep replicas away, a second, */
#define AWAY_SHARE 0.003      /* of the services' running tasks */
#define AWAY_KEPT_S 40.0      /* so long is kept of what was not used */
#define MOVE_S 2.0 /* one move keeps a replica away so long, and for the fetch of its image */
#define CONSOLIDATING_MAX 64 /* tasks of a machine that is emptied */
#define MOVE_FETCH_S 4.0     /* a longer fetch is not worth a move, */
#define CHEAP_FETCH_S 15.0   /* ... nor this to a cheap machine */

/* ---- gathering: services that keep dear machines busy move together ---- */

/* Whether services alone keep a dear machine from GPU work, and how much of it they use. */
bool bd_only_services(const struct bd_core *core, const struct bd_machine *machine,
                      double *services)
{
    *services = 0;
    if (machine->gpus > 0)
        return false;
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        if (job->spec.kind == BD_JOB_SERVICE &&
            bd_type_is_expensive(core, &job->spec, machine->type, machine->spot))
            *services += job->spec.cpus;
    }
    return *services > 0;
}

static bool settled(const struct bd_core *core, const struct bd_job *job,
                    const struct bd_task *task)
{
    return job->spec.kind == BD_JOB_SERVICE && job->npending == 0 &&
           task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
           bd_between(job->last_started_at, core->now) > SETTLED_S;
}

/* A refresh at where services could gather: the machines with room for some, and what moves that
 * are decided in this look take of it. */
struct consolidation {
    struct bd_core *core;
    struct source {
        struct bd_machine *m;
        double services;
    } * sources;
    uint32_t nsources;
    struct target {
        struct bd_machine *m;
        double cpus, gpus, mem, services;
        bool taken;
        int fetches; /* the image that a move of this look brings there, or -1 */
    } * targets;
    uint32_t ntargets;
};

/* How long the replica's image takes there; none where another move of this look brings it. */
static double move_fetch_s(const struct bd_core *core, const struct target *t,
                           const struct bd_spec *spec)
{
    return t->fetches == spec->image ? 0 : bd_fetch_s(core, t->m, spec);
}

static bool target_fits(const struct bd_core *core, const struct bd_job *job,
                        const struct target *t, const struct bd_machine *from, double services)
{
    const struct bd_machine *machine = t->m;
    if (machine == from || machine->consolidating || machine->zone != from->zone ||
        t->cpus < job->spec.cpus || t->gpus < job->spec.gpus || t->mem < job->spec.mem ||
        !bd_allowed(&job->spec, machine->type, machine->zone, machine->spot))
        return false;
    bool cheap = !bd_type_is_expensive(core, &job->spec, machine->type, machine->spot);
    if (move_fetch_s(core, t, &job->spec) >= (cheap ? CHEAP_FETCH_S : MOVE_FETCH_S))
        return false;
    return cheap || machine->gpus > 0 || t->services > services;
}

/* A place for the task where no GPU work is harmed: on a cheap machine, on the one that holds most
 * services already, or beside GPU work, which will end and leave the service alone there. */
static struct target *place_elsewhere(struct consolidation *g, const struct bd_job *job,
                                      const struct bd_machine *from, double services)
{
    struct target *found = NULL;
    double high = -1;
    for (uint32_t i = 0; i < g->ntargets; i++) {
        struct target *t = &g->targets[i];
        if (!target_fits(g->core, job, t, from, services))
            continue;
        double v = t->m->gpus > 0 ? 0 : 1 + t->services;
        if (!bd_type_is_expensive(g->core, &job->spec, t->m->type,
                                  t->m->spot)) /* the sooner there the better */
            v += 1e6 * (1 + CHEAP_FETCH_S - move_fetch_s(g->core, t, &job->spec));
        if (v > high) {
            high = v;
            found = t;
        }
    }
    return found;
}

static void target_take(struct target *t, const struct bd_spec *spec, double sign)
{
    t->cpus -= sign * spec->cpus;
    t->gpus -= sign * spec->gpus;
    t->mem -= sign * spec->mem;
}

static int fewer_services(const void *x, const void *y)
{
    const struct source *a = x, *b = y;
    if (a->services != b->services)
        return a->services < b->services ? -1 : 1;
    return a->m->index < b->m->index ? -1 : 1;
}

static void look_round(struct consolidation *g)
{
    struct bd_core *core = g->core;
    g->sources = calloc(core->nmachines + 1, sizeof *g->sources);
    g->targets = calloc(core->nmachines + 1, sizeof *g->targets);
    if (!g->sources || !g->targets)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        double held = 0;
        machine->consolidating =
            machine->consolidating && machine->nreservations > 0 && !machine->gone;
        if (machine->gone || !bd_machine_usable(core, machine))
            continue;
        if (bd_only_services(core, machine, &held))
            g->sources[g->nsources++] = (struct source){machine, held};
        const struct bd_type *type = &core->types[machine->type];
        if (type->cpus - machine->cpus > 0)
            g->targets[g->ntargets++] = (struct target){machine,
                                                        type->cpus - machine->cpus,
                                                        type->gpus - machine->gpus,
                                                        type->mem - machine->mem,
                                                        held,
                                                        false,
                                                        -1};
    }
    qsort(g->sources, g->nsources, sizeof *g->sources, fewer_services);
}

static bool is_target(const struct consolidation *g, const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < g->ntargets; i++)
        if (g->targets[i].m == machine)
            return g->targets[i].taken;
    return false;
}

/* Whether all that the machine holds could move now: to empty it in part frees nothing. Moves with
 * a long fetch wait until what replicas may be away covers them. */
static bool can_consolidate(struct consolidation *g, const struct source *s, double than)
{
    struct target *took[CONSOLIDATING_MAX];
    int fetched[CONSOLIDATING_MAX];
    const struct bd_spec *what[CONSOLIDATING_MAX];
    uint32_t n = 0;
    bool all = s->m->nreservations <= CONSOLIDATING_MAX, slow = false;
    double away = 0;
    for (uint32_t k = 0; all && k < s->m->nreservations; k++) {
        struct bd_reservation r = s->m->reservations[k];
        if (r.job->tasks[r.task].flags & BD_TASK_FLAG_STOP_REQUESTED)
            continue;
        struct target *t = settled(g->core, r.job, &r.job->tasks[r.task])
                               ? place_elsewhere(g, r.job, s->m, than)
                               : NULL;
        all = t != NULL;
        if (!t)
            break;
        target_take(t, &r.job->spec, 1);
        double fetch = move_fetch_s(g->core, t, &r.job->spec);
        slow = slow || fetch >= MOVE_FETCH_S;
        away += MOVE_S + fetch;
        fetched[n] = t->fetches;
        if (bd_fetch_s(g->core, t->m, &r.job->spec) > 0)
            t->fetches = r.job->spec.image;
        took[n] = t;
        what[n++] = &r.job->spec;
    }
    while (n > 0) {
        n--;
        target_take(took[n], what[n], -1);
        took[n]->fetches = fetched[n];
    }
    return all && (!slow || away <= g->core->cloud.moves_s);
}

/* All tasks leave the machine at once: a job that was moved is not settled for a while. Returns for
 * how long replicas are away, in sum. */
static double empty(struct consolidation *g, const struct source *s, double than)
{
    double away = 0;
    for (uint32_t k = s->m->nreservations; k > 0; k--) {
        if (k > s->m->nreservations)
            continue;
        struct bd_reservation r = s->m->reservations[k - 1];
        if (!settled(g->core, r.job, &r.job->tasks[r.task]))
            continue;
        struct target *t = place_elsewhere(g, r.job, s->m, than);
        if (!t)
            continue;
        target_take(t, &r.job->spec, 1);
        away += MOVE_S + move_fetch_s(g->core, t, &r.job->spec);
        if (bd_fetch_s(g->core, t->m, &r.job->spec) > 0)
            t->fetches = r.job->spec.image;
        t->taken = true;
        s->m->consolidating = true;
        bd_log_write(g->core->log, BD_LOG_INFO, "%s/%u is consolidated off %s", r.job->id, r.task,
                     s->m->id);
        bd_task_stop(g->core, r.job, r.task, BD_STOP_CONSOLIDATED, false);
    }
    return away;
}

/* What moves may keep replicas away comes as time goes on, and is spent a machine at a time. */
static void allow_moves(struct bd_core *core)
{
    double running = 0, passed = fmin(bd_between(core->cloud.moves_at, core->now), AWAY_KEPT_S);
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        running += job->state == BD_JOB_ACTIVE && job->has_spec && job->spec.kind == BD_JOB_SERVICE
                       ? job->nrunning
                       : 0;
    double rate = fmax(AWAY_MIN_S, AWAY_SHARE * running);
    core->cloud.moves_s = fmin(core->cloud.moves_s + rate * passed, rate * AWAY_KEPT_S);
    core->cloud.moves_at = core->now;
}

/* Dear machines are emptied, those with the fewest services first; one that cannot be emptied now
 * does not hold up the others. */
void bd_consolidate(struct bd_core *core)
{
    struct consolidation g = {.core = core};
    look_round(&g);
    allow_moves(core);
    for (uint32_t i = 0; i < g.nsources && core->cloud.moves_s > 0; i++) {
        struct source *s = &g.sources[i];
        /* a machine full of services is worth emptying into cheap room only */
        double than =
            s->services > CONSOLIDATE_SHARE * core->types[s->m->type].cpus ? INFINITY : s->services;
        s->m->consolidating =
            false; /* new services may come if it is not to be emptied after all */
        if (is_target(&g, s->m) || !can_consolidate(&g, s, than) || !bd_drain_allows(core, s->m))
            continue;
        core->cloud.moves_s -= empty(&g, s, than);
    }
    free(g.sources);
    free(g.targets);
}