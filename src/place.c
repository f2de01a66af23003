/* Placement: which waiting tasks go where. Like tasks of a job are decided as a class. */
#include "core_in.h"
#include <math.h>

/* named defaults: the weights of a choice, in seconds of later start */
#define COST_GPU_WASTE 200.0 /* work without GPUs on a machine that has some */
#define COST_KEEPS_DEAR 30.0 /* a dear machine that would go back otherwise */
#define COST_LEFTOVER 5.0    /* the whole machine left free after the placement */
#define COST_NOT_SPOT 20.0   /* work that may use spot, on an ordinary machine */
#define NOT_SPOT_SHARE 0.2   /* ... but no more than this of the time that its aims leave */
#define COST_SPOT_LOST 8.0   /* what a due time may lose by a spot machine that is taken */
#define DUE_HURRY_S 8.0      /* less than this until the start that a due time needs */
#define HURRY_S 30.0         /* less than this to spare */
#define COST_STOPPING 10.0   /* the whole room of a task made by stopping others */
#define WORTH_MOVING_S 12.0  /* a fetch longer than this is worth stopping borrowed work */
#define PREEMPT_MOST 32u     /* places made for one job in one round */
#define QUICK_S 0.5          /* a fetch that nobody minds */
#define FORCE_AGAIN_S 0.5    /* a job that nothing can be stopped for asks again after this */
#define HOLD_AFTER_S 10.0    /* a gang waits so long before room is held and made for it */
#define EPS 1e-6

struct room {
    double cpus, gpus, mem;
};

/* What could be stopped on a machine, in sum: most machines have nothing of the kind, and to look
 * at every task of every machine for every job that waits takes most of a round at a thousand
 * machines. */
struct stops {
    uint32_t stamp; /* of the round's count of stops when this was summed up */
    enum bd_rank least;
    bool any, stopping, borrowed;
};

struct round {
    struct bd_core *c;
    struct bd_commit *k;
    struct bd_job **jobs;
    uint32_t njobs;
    size_t bytes, most_bytes;
    uint32_t conds, most_conds;
    struct stops *stops;        /* by machine */
    double *fetch;              /* by machine: seconds of fetching that this round's plans add */
    double *cost;               /* by machine: of making room for the job that is being placed */
    uint32_t nstops;            /* tasks stopped in this round, and one more */
    struct room *claimed;       /* by machine: room that waits for tasks being stopped */
    int only_zone;              /* -1: any */
    bool quick;                 /* only where no long fetch comes first */
    bool *open;                 /* by machine: new work may come to it */
    bool dear[BD_MAX_TYPES][2]; /* for the job that is being placed */
    bool urgent;                /* its aims leave it no time for a fetch */
    double spot_lost;           /* what a spot one costs it that an ordinary one would not */
    double not_spot;            /* what an ordinary machine costs it that a spot one would not */
};

static struct room free_room(const struct bd_core *c, const struct bd_machine *m)
{
    const struct bd_type *t = &c->types[m->type];
    return (struct room){t->cpus - m->cpus, t->gpus - m->gpus, t->mem - m->mem};
}

/* Free room that is not kept for a task whose place is being vacated. */
static struct room unclaimed_room(const struct round *r, const struct bd_machine *m)
{
    struct room room = free_room(r->c, m), held = r->claimed[m->index];
    return (struct room){room.cpus - held.cpus, room.gpus - held.gpus, room.mem - held.mem};
}

static uint32_t fit_one(double have, double prerequisite, uint32_t most)
{
    if (prerequisite <= 0)
        return most;
    double n = floor((have + EPS) / prerequisite);
    return n <= 0 ? 0 : n < most ? (uint32_t)n : most;
}

static uint32_t fit(struct room r, const struct bd_spec *s, uint32_t most)
{
    most = fit_one(r.cpus, s->cpus, most);
    most = fit_one(r.gpus, s->gpus, most);
    return fit_one(r.mem, s->mem, most);
}

bool bd_allowed(const struct bd_spec *s, int type, int zone, bool spot)
{
    return bd_type_allowed(s, type) && (s->zone < 0 || s->zone == zone) && (s->spot || !spot);
}

static uint32_t quota_left(const struct bd_core *c, const struct bd_spec *s, uint32_t most)
{
    const struct bd_team_limits *t = &c->settings->teams[s->team];
    if (t->cpus_max > 0)
        most = fit_one(t->cpus_max - c->team_cpus[s->team], s->cpus, most);
    if (t->gpus_max > 0)
        most = fit_one(t->gpus_max - c->team_gpus[s->team], s->gpus, most);
    return most;
}

/* Tasks of the job per zone, counting all that hold a place, unknown and stopping ones too. */
static void zone_counts(struct bd_core *c, const struct bd_job *j, uint32_t *n)
{
    memset(n, 0, BD_MAX_ZONES * sizeof *n);
    if (!j->spec.together && !j->spec.scatter)
        return;
    for (uint32_t i = 0; i < j->ntasks; i++) {
        struct bd_machine *m = bd_machine_of(c, j->tasks[i].machine);
        if (m && m->zone >= 0)
            n[m->zone]++;
        else if (m) /* where it is cannot be told: it may be in any zone */
            for (int z = 0; z < c->nzones; z++)
                n[z]++;
    }
}

static uint32_t zone_left(const struct bd_core *c, const struct bd_job *j, const uint32_t *n, int z,
                          uint32_t most)
{
    if (j->spec.together)
        for (int k = 0; k < c->nzones; k++)
            if (k != z && n[k] > 0)
                return 0;
    if (j->spec.scatter) {
        uint32_t half = (j->ntasks + 1) / 2;
        uint32_t left = n[z] >= half ? 0 : half - n[z];
        return left < most ? left : most;
    }
    return most;
}

/* How many tasks may come here, up to `most`, without taking room that a GPU task could have, now
 * or once the arrays here have ended: together they may only use what GPU work must leave anyway.
 */
static uint32_t harmless(const struct bd_core *c, const struct bd_spec *s,
                         const struct bd_machine *m, uint32_t most)
{
    const struct bd_spec *g = &c->gpu_wanted[m->type][m->spot];
    const struct bd_type *t = &c->types[m->type];
    if (s->gpus > 0 || g->gpus <= 0)
        return most;
    struct room r = {t->cpus - m->pinned_cpus, t->gpus - m->pinned_gpus, t->mem - m->pinned_mem};
    uint32_t gpu_tasks = fit(r, g, 64);
    if (gpu_tasks == 0) /* services alone keep GPU work away: they are to move together here */
        return m->gpus > 0 || s->shape == BD_SERVICE ? most : 0;
    struct room left = {t->cpus - m->cpus - gpu_tasks * g->cpus, 0,
                        t->mem - m->mem - gpu_tasks * g->mem};
    return left.cpus < 0 || left.mem < 0 ? 0 : fit(left, s, most);
}

/* Whether it is known what GPU work could do here: before any has come, nothing is harmless. */
static bool known_use(const struct bd_core *c, const struct bd_machine *m)
{
    return c->types[m->type].gpus <= 0 || c->gpu_wanted[m->type][m->spot].gpus > 0 ||
           m->pinned_cpus > 0;
}

/* As bd_fetch_s, with what the round has planned there already. */
static double fetch_s(const struct round *r, const struct bd_machine *m, const struct bd_spec *s)
{
    double v = bd_fetch_s(r->c, m, s);
    return v > 0 && !bd_has_image(m, s->image) ? v + r->fetch[m->index] : v;
}

static double cost(const struct round *d, const struct bd_spec *s, const struct bd_machine *m,
                   struct room r, bool harm)
{
    const struct bd_core *c = d->c;
    const struct bd_type *t = &c->types[m->type];
    double left = t->cpus > 0 ? (r.cpus - s->cpus) / t->cpus : 0;
    if (s->gpus > 0 && t->gpus > 0)
        left = (r.gpus - s->gpus) / t->gpus;
    double v = left * COST_LEFTOVER;
    if (harm)
        v += COST_GPU_WASTE;
    v += fetch_s(d, m, s);
    if (s->spot && !m->spot)
        v += d->not_spot;
    if (m->spot)
        v += d->spot_lost;
    return v;
}

static bool zone_open(const struct round *r, const struct bd_machine *m)
{
    return r->only_zone < 0 || r->only_zone == m->zone;
}

/* Whether the task could begin there at once, as far as its image goes. */
static bool quick_there(const struct bd_core *c, const struct bd_spec *s,
                        const struct bd_machine *m)
{
    return bd_fetch_s(c, m, s) < QUICK_S;
}

/* Whether work that could go elsewhere would keep a dear machine from going back: nothing else
 * does, and it is not kept for work that is expected. One short task in each of many such machines
 * costs more than all that runs there is worth. */
static bool keeps_dear(const struct round *r, const struct bd_spec *s, const struct bd_machine *m)
{
    return s->gpus <= 0 && s->shape == BD_ARRAY && r->dear[m->type][m->spot] &&
           m->pinned_cpus <= 0 && m->pinned_gpus <= 0 && !m->spare;
}

static struct bd_machine *best(struct round *r, const struct bd_job *j, const uint32_t *zones,
                               bool any_price, bool may_harm)
{
    struct bd_core *c = r->c;
    struct bd_machine *found = NULL;
    double low = INFINITY;
    for (uint32_t i = 0; i < c->nmachines; i++) {
        struct bd_machine *m = c->by_index[i];
        if (!r->open[i] || !zone_open(r, m) || !bd_allowed(&j->spec, m->type, m->zone, m->spot))
            continue;
        if (r->quick && !quick_there(c, &j->spec, m))
            continue;
        struct room room = unclaimed_room(r, m);
        if (!fit(room, &j->spec, 1) || !zone_left(c, j, zones, m->zone, 1))
            continue;
        bool harm = harmless(c, &j->spec, m, 1) == 0;
        if (harm && !may_harm)
            continue;
        /* a dear machine that GPU work cannot use anyway is as good as a cheap one */
        if (!any_price && r->dear[m->type][m->spot] && (harm || !known_use(c, m)))
            continue;
        bool keeps = keeps_dear(r, &j->spec, m);
        if (keeps && !any_price)
            continue;
        double v = cost(r, &j->spec, m, room, harm) + (keeps ? COST_KEEPS_DEAR : 0);
        if (v < low) {
            low = v;
            found = m;
        }
    }
    return found;
}

static void plan(struct round *r, struct bd_job *j, uint32_t i, struct bd_machine *m,
                 uint64_t attempt)
{
    struct bd_commit *k = r->k;
    if (k->nplan == k->cap) {
        uint32_t cap = k->cap ? k->cap * 2 : 32;
        struct bd_intent *p = realloc(k->plan, cap * sizeof *p);
        if (!p)
            abort();
        k->plan = p;
        k->cap = cap;
    }
    bd_task_assign(r->c, j, i, m, attempt, BD_T_PLAN);
    k->plan[k->nplan++] = (struct bd_intent){j, i, m->index, attempt};
}

/* How many tasks of the job on the machine the round's records still take. A record's end may leave
 * a group's worth unused: that much is kept back for each. */
static uint32_t record_room(const struct round *r, const struct bd_job *j,
                            const struct bd_machine *m, uint32_t most)
{
    size_t head = bd_group_bytes(j, m);
    if (r->bytes + head + BD_TASK_BYTES > r->most_bytes)
        return 0;
    size_t n = (r->most_bytes - r->bytes - head) / BD_TASK_BYTES;
    return n < most ? (uint32_t)n : most;
}

/* Places up to `most` waiting tasks of the job; returns how many found a place. */
static uint32_t fill(struct round *r, struct bd_job *j, uint32_t most, uint64_t attempt,
                     bool may_harm)
{
    uint32_t zones[BD_MAX_ZONES], placed = 0, next = 0;
    /* only what is rented waits for spot: a machine that is there costs the same idle */
    bool any_price = bd_reach_of(r->c, j) == BD_REACH_ANY;
    zone_counts(r->c, j, zones);
    while (placed < most) {
        struct bd_machine *m = best(r, j, zones, any_price, may_harm);
        if (!m)
            break;
        struct room room = unclaimed_room(r, m);
        uint32_t n = fit(room, &j->spec, most - placed), kind = harmless(r->c, &j->spec, m, n);
        if (kind > 0) /* the next ones may do better elsewhere */
            n = kind;
        n = record_room(r, j, m, zone_left(r->c, j, zones, m->zone, n));
        if (n == 0)
            break;
        if (!bd_has_image(m, j->spec.image))
            r->fetch[m->index] += j->spec.image_gb / r->c->types[m->type].fetch;
        r->bytes += bd_group_bytes(j, m) + n * BD_TASK_BYTES;
        for (; n > 0 && next < j->ntasks; next++) {
            if (j->tasks[next].state != BD_T_WAIT)
                continue;
            plan(r, j, next, m, attempt);
            zones[m->zone]++;
            placed++;
            n--;
        }
    }
    return placed;
}

static void unplan(struct round *r, uint32_t from)
{
    for (uint32_t i = from; i < r->k->nplan; i++)
        bd_task_free(r->c, r->k->plan[i].job, r->k->plan[i].task);
    r->k->nplan = from;
}

static bool stoppable(const struct bd_job *j, const struct bd_task *t)
{
    return !(t->flags & BD_F_STOP) && (t->state == BD_T_LIVE || t->state == BD_T_LAUNCH) &&
           j->spec.shape != BD_SERVICE;
}

static bool may_stop(const struct bd_job *want, const struct bd_job *j, const struct bd_task *t)
{
    /* a team's guarantee may take what another team runs beyond its own, but for a few short tasks
     * that others wait for by a due time: there is enough beside them */
    bool hurries = isfinite(j->due_by) && j->rank > want->rank;
    bool owed = want->in_guarantee && !j->in_guarantee && want->spec.team != j->spec.team &&
                !hurries && t->state == BD_T_LIVE && t->sub == BD_RUNNING;
    return (j->rank < want->rank || owed) && stoppable(j, t);
}

static void add(struct room *r, const struct bd_spec *s, double sign)
{
    r->cpus += sign * s->cpus;
    r->gpus += sign * s->gpus;
    r->mem += sign * s->mem;
}

static const struct stops *sum_up(struct round *r, const struct bd_machine *m)
{
    struct stops *s = &r->stops[m->index];
    if (s->stamp == r->nstops)
        return s;
    *s = (struct stops){.stamp = r->nstops, .least = BD_PRODUCTION};
    for (uint32_t k = 0; k < m->nrefs; k++) {
        const struct bd_job *j = m->refs[k].job;
        const struct bd_task *t = &j->tasks[m->refs[k].task];
        s->stopping |= (t->flags & BD_F_STOP) != 0;
        if (!stoppable(j, t))
            continue;
        s->any = true;
        s->least = j->rank < s->least ? j->rank : s->least;
        s->borrowed |= !j->in_guarantee;
    }
    return s;
}

/* Room on the machine once what is stopping has gone, and what else could be stopped. */
static void later_room(struct round *r, const struct bd_job *want, struct bd_machine *m,
                       struct room *soon, struct room *most)
{
    const struct stops *s = sum_up(r, m);
    *soon = unclaimed_room(r, m);
    *most = *soon;
    bool lower = s->any && s->least < want->rank;
    if (!s->stopping && !lower && !(want->in_guarantee && s->borrowed))
        return;
    for (uint32_t k = 0; k < m->nrefs; k++) {
        struct bd_job *j = m->refs[k].job;
        struct bd_task *t = &j->tasks[m->refs[k].task];
        if (t->flags & BD_F_STOP) {
            add(soon, &j->spec, 1);
            add(most, &j->spec, 1);
        } else if (may_stop(want, j, t)) {
            add(most, &j->spec, 1);
        }
    }
}

/* Whether x is less worth keeping than y: the lower rank, then the younger job, which has more time
 * to make up for it, then the newer start. */
static bool less_valuable(const struct bd_ref *x, const struct bd_ref *y)
{
    const struct bd_job *a = x->job, *b = y->job;
    if (a->rank != b->rank)
        return a->rank < b->rank;
    if (a != b && a->ready != b->ready)
        return a->ready > b->ready;
    return a->tasks[x->task].attempt > b->tasks[y->task].attempt;
}

/* Picks the least valuable of what may be stopped. */
static struct bd_ref least_valuable(const struct bd_job *want, const struct bd_machine *m)
{
    struct bd_ref pick = {0};
    for (uint32_t k = 0; k < m->nrefs; k++) {
        struct bd_job *j = m->refs[k].job;
        if (may_stop(want, j, &j->tasks[m->refs[k].task]) &&
            (!pick.job || less_valuable(&m->refs[k], &pick)))
            pick = m->refs[k];
    }
    return pick;
}

static void stop_for(struct round *r, const struct bd_job *want, struct bd_machine *m,
                     struct room soon)
{
    while (!fit(soon, &want->spec, 1)) {
        struct bd_ref pick = least_valuable(want, m);
        if (!pick.job)
            return;
        add(&soon, &pick.job->spec, 1);
        r->nstops++;
        bd_task_stop(r->c, pick.job, pick.task, false);
    }
}

/* What making room on the machine would cost; infinite where it cannot be made. */
static double stop_cost(struct round *r, const struct bd_job *j, struct bd_machine *m,
                        const uint32_t *zones, bool only_cheap)
{
    struct bd_core *c = r->c;
    struct room soon, most;
    if (!r->open[m->index] || !zone_open(r, m) ||
        !bd_allowed(&j->spec, m->type, m->zone, m->spot) ||
        (only_cheap && r->dear[m->type][m->spot]) || !zone_left(c, j, zones, m->zone, 1))
        return INFINITY;
    later_room(r, j, m, &soon, &most);
    if (!fit(most, &j->spec, 1))
        return INFINITY;
    double v = bd_fetch_s(c, m, &j->spec);
    double lacking = fmax(0, fmax(j->spec.cpus - soon.cpus, 0) / fmax(j->spec.cpus, 1) +
                                 fmax(j->spec.gpus - soon.gpus, 0) / fmax(j->spec.gpus, 1));
    return v + lacking * COST_STOPPING;
}

/* What room for one task would cost on each machine. */
static void cost_all(struct round *r, const struct bd_job *j, const uint32_t *zones,
                     bool only_cheap, bool with_image)
{
    for (uint32_t i = 0; i < r->c->nmachines; i++) {
        struct bd_machine *m = r->c->by_index[i];
        bool out = (with_image && !bd_has_image(m, j->spec.image)) ||
                   (r->quick && !quick_there(r->c, &j->spec, m));
        r->cost[i] = out ? INFINITY : stop_cost(r, j, m, zones, only_cheap);
    }
}

/* Makes room for one task where that costs least, and keeps it for the task. False: nowhere. The
 * costs are reckoned once for all tasks of the job, and again only for the machine that is picked.
 */
static bool vacate(struct round *r, struct bd_job *j, uint32_t *zones, bool only_cheap)
{
    for (;;) {
        struct room soon, most;
        uint32_t pick = 0;
        for (uint32_t i = 1; i < r->c->nmachines; i++)
            if (r->cost[i] < r->cost[pick])
                pick = i;
        if (r->c->nmachines == 0 || !(r->cost[pick] < INFINITY))
            return false;
        struct bd_machine *m = r->c->by_index[pick];
        double v = stop_cost(r, j, m, zones, only_cheap);
        if (v > r->cost[pick]) { /* what was taken before has changed it */
            r->cost[pick] = v;
            continue;
        }
        later_room(r, j, m, &soon, &most);
        stop_for(r, j, m, soon);
        add(&r->claimed[pick], &j->spec, 1);
        zones[m->zone]++;
        r->cost[pick] = stop_cost(r, j, m, zones, only_cheap);
        return true;
    }
}

/* Makes room for up to n tasks; returns for how many room is made or on its way. */
static uint32_t preempt(struct round *r, struct bd_job *j, uint32_t n, bool only_cheap)
{
    uint32_t zones[BD_MAX_ZONES], made = 0;
    zone_counts(r->c, j, zones);
    cost_all(r, j, zones, only_cheap, false);
    n = n < PREEMPT_MOST ? n : PREEMPT_MOST;
    while (made < n && vacate(r, j, zones, only_cheap))
        made++;
    return made;
}

/* Stops nothing unless all that the gang lacks can be had; false: it cannot. */
static bool preempt_gang(struct round *r, struct bd_job *j, uint32_t lacking)
{
    uint32_t zones[BD_MAX_ZONES], can = 0;
    zone_counts(r->c, j, zones);
    for (uint32_t i = 0; i < r->c->nmachines && can < lacking; i++)
        can += stop_cost(r, j, r->c->by_index[i], zones, false) < INFINITY;
    return can >= lacking && preempt(r, j, lacking, false) > 0;
}

/* A job within its guarantee need not wait for a long fetch while its image lies on a machine that
 * another team uses beyond its own guarantee: true if such a machine is being vacated for it. */
static bool waits_for_image(struct round *r, struct bd_job *j)
{
    struct bd_core *c = r->c;
    uint32_t zones[BD_MAX_ZONES];
    if (!j->in_guarantee || j->ntasks != 1)
        return false;
    zone_counts(c, j, zones);
    struct bd_machine *now = best(r, j, zones, true, true);
    if (!now || bd_fetch_s(c, now, &j->spec) < WORTH_MOVING_S)
        return false;
    cost_all(r, j, zones, false, true);
    return vacate(r, j, zones, false);
}

/* Keeps what a gang that waits could have already, so that smaller work that comes later does not
 * overtake it for ever. */
static void hold(struct round *r, const struct bd_job *j, uint32_t from)
{
    for (uint32_t i = from; i < r->k->nplan; i++)
        add(&r->claimed[r->k->plan[i].machine], &j->spec, 1);
}

/* All of the gang, or nothing; *got says how many could be placed where most could. */
static bool whole_gang(struct round *r, struct bd_job *j, uint64_t attempt, bool keep,
                       uint32_t *got)
{
    uint32_t from = r->k->nplan;
    size_t bytes = r->bytes;
    *got = fill(r, j, j->ntasks, attempt, true);
    if (*got == j->ntasks)
        return true;
    if (keep)
        hold(r, j, from);
    unplan(r, from);
    r->bytes = bytes;
    return false;
}

/* A gang that must be together is tried in each zone; room is then made in the one that has most.
 */
static bool place_gang(struct round *r, struct bd_job *j, uint64_t attempt)
{
    uint32_t got = 0, most = 0;
    int zone = -1, zones = j->spec.together && j->ntasks > 1 ? r->c->nzones : 0;
    bool waits = r->c->wall - j->ready > HOLD_AFTER_S;
    bool placed = whole_gang(r, j, attempt, waits && zones == 0, &got);
    for (int z = 0; z < zones && !placed; z++) {
        r->only_zone = z;
        placed = whole_gang(r, j, attempt, false, &got);
        if (zone < 0 || got > most) {
            most = got;
            zone = z;
        }
    }
    r->only_zone = zones ? zone : -1;
    if (!placed && zones && waits)
        (void)whole_gang(r, j, attempt, true, &got);
    if (!placed && (waits || j->ntasks == 1) && j->rank > BD_IDLE &&
        !bd_before(r->c->now, j->next_force) && !preempt_gang(r, j, j->ntasks - got))
        j->next_force = bd_add(r->c->now, bd_secs(FORCE_AGAIN_S));
    r->only_zone = -1;
    return placed;
}

/* A service begins where its image lies, and so does an array with little time: in free room, or in
 * room that is made there, which is sooner than a fetch. Returns how many were placed; those that
 * room is made for are no longer wanted. */
static uint32_t place_quickly(struct round *r, struct bd_job *j, uint32_t *want, uint64_t attempt)
{
    r->quick = true;
    uint32_t got = fill(r, j, *want, attempt, false);
    if (got < *want)
        *want -= preempt(r, j, *want - got, true);
    r->quick = false;
    return got;
}

static void know_prices(struct round *r, const struct bd_job *j)
{
    const struct bd_spec *s = &j->spec;
    bool due = isfinite(j->due_by);
    /* work with little time to spare goes where its image lies, on spot or not */
    r->not_spot = COST_NOT_SPOT;
    r->urgent = s->shape == BD_SERVICE;
    /* work that others wait for with a due time would lose more by a second run than spot saves */
    r->spot_lost = due ? COST_SPOT_LOST : 0;
    if (due) {
        r->not_spot = 0;
        r->urgent = bd_due_slack(r->c, j) < DUE_HURRY_S;
    }
    for (int i = 0; i < r->c->settings->naims; i++) {
        double slack = bd_slack(r->c, s->job_class, s->estimate, &r->c->settings->aims[i]);
        if (slack < 0)
            continue;
        r->not_spot = fmin(r->not_spot, slack * NOT_SPOT_SHARE);
        r->urgent = r->urgent || slack < HURRY_S;
    }
    for (int t = 0; t < r->c->ntypes; t++)
        for (int spot = 0; spot < 2; spot++)
            r->dear[t][spot] = bd_dear(r->c, s, t, spot);
}

static void place_job(struct round *r, struct bd_job *j)
{
    uint32_t want = quota_left(r->c, &j->spec, j->nwait), got = 0;
    bool gang = j->spec.shape == BD_GANG, above = j->rank > BD_IDLE;
    if (r->conds >= r->most_conds || want == 0 || (gang && want < j->ntasks))
        return;
    uint64_t attempt = (r->c->base_term << 20) + r->c->counter + 1;
    know_prices(r, j);
    if (gang && waits_for_image(r, j))
        return;
    if (gang) {
        got = place_gang(r, j, attempt) ? j->ntasks : 0;
        want = got;
    } else {
        if (r->urgent && above)
            got = place_quickly(r, j, &want, attempt);
        got += got < want ? fill(r, j, want - got, attempt, false) : 0;
        /* a short task that is stopped costs less than a GPU machine taken for a long service */
        if (got < want && j->spec.shape == BD_SERVICE && above)
            want -= preempt(r, j, want - got, true);
        got += got < want ? fill(r, j, want - got, attempt, true) : 0;
    }
    r->c->counter += got > 0;
    r->conds += got > 0;
    if (got >= want || !above || bd_before(r->c->now, j->next_force))
        return;
    /* looking at every task of every machine is dear, and seldom finds what was not there before */
    if (preempt(r, j, want - got, false) == 0)
        j->next_force = bd_add(r->c->now, bd_secs(FORCE_AGAIN_S));
}

static int order_jobs(const void *x, const void *y)
{
    const struct bd_job *a = *(struct bd_job *const *)x, *b = *(struct bd_job *const *)y;
    if (a->rank != b->rank)
        return a->rank > b->rank ? -1 : 1;
    if (a->in_guarantee != b->in_guarantee)
        return a->in_guarantee ? -1 : 1;
    if (a->due_by != b->due_by) /* most have none */
        return a->due_by < b->due_by ? -1 : 1;
    if (a->ready != b->ready)
        return a->ready < b->ready ? -1 : 1;
    return strcmp(a->id, b->id);
}

static int order_age(const void *x, const void *y)
{
    const struct bd_job *a = *(struct bd_job *const *)x, *b = *(struct bd_job *const *)y;
    if (a->ready != b->ready)
        return a->ready < b->ready ? -1 : 1;
    return strcmp(a->id, b->id);
}

/* A job is within its team's guarantee if it fits with the team's earlier unfinished jobs. */
static void mark_guarantees(struct bd_core *c, struct bd_job **jobs, uint32_t n)
{
    double cpus[BD_MAX_TEAMS] = {0}, gpus[BD_MAX_TEAMS] = {0};
    qsort(jobs, n, sizeof(struct bd_job *), order_age);
    for (uint32_t i = 0; i < n; i++) {
        struct bd_job *j = jobs[i];
        const struct bd_team_limits *t = &c->settings->teams[j->spec.team];
        double left = j->ntasks - j->ndone;
        cpus[j->spec.team] += left * j->spec.cpus;
        gpus[j->spec.team] += left * j->spec.gpus;
        /* work that uses nothing of what is guaranteed is not owed anything */
        j->in_guarantee =
            ((t->cpus > 0 && j->spec.cpus > 0) || (t->gpus > 0 && j->spec.gpus > 0)) &&
            (t->cpus <= 0 || cpus[j->spec.team] <= t->cpus + EPS) &&
            (t->gpus <= 0 || gpus[j->spec.team] <= t->gpus + EPS);
    }
}

static uint32_t live_jobs(struct bd_core *c, struct bd_job ***out)
{
    struct bd_job *j, *jt, **list = calloc(HASH_COUNT(c->jobs) + 1, sizeof *list);
    uint32_t n = 0;
    if (!list)
        abort();
    HASH_ITER(hh, c->jobs, j, jt)
    {
        if (j->state == BD_LIVE && j->tasks && j->has_spec && j->spec.team >= 0 &&
            j->ndone < j->ntasks && !bd_job_waits(j) && !bd_cancel_heard(c, j))
            list[n++] = j;
    }
    *out = list;
    return n;
}

/* The live jobs in the order in which they are served. The caller frees the list. */
uint32_t bd_jobs_in_order(struct bd_core *c, struct bd_job ***out)
{
    bd_core_weigh(c);
    uint32_t n = live_jobs(c, out);
    mark_guarantees(c, *out, n);
    qsort(*out, n, sizeof(struct bd_job *), order_jobs);
    return n;
}

/* For each kind of machine the largest GPU task that some live job could put there. */
static void gpu_demand(struct bd_core *c, struct bd_job **jobs, uint32_t n)
{
    memset(c->gpu_wanted, 0, sizeof c->gpu_wanted);
    c->gpu_waiting = false;
    for (uint32_t i = 0; i < n; i++) {
        const struct bd_spec *s = &jobs[i]->spec;
        c->gpu_waiting |= s->gpus > 0 && jobs[i]->nwait > 0 && quota_left(c, s, 1) > 0;
        for (int t = 0; s->gpus > 0 && t < c->ntypes; t++)
            for (int spot = 0; spot < 2; spot++)
                if (bd_type_allowed(s, t) && (s->spot || !spot) && s->gpus <= c->types[t].gpus &&
                    s->gpus >= c->gpu_wanted[t][spot].gpus)
                    c->gpu_wanted[t][spot] = *s;
    }
}

void bd_round_place(struct bd_core *c)
{
    struct round r = {.c = c, .k = c->commit, .only_zone = -1, .nstops = 1};
    r.njobs = bd_jobs_in_order(c, &r.jobs);
    gpu_demand(c, r.jobs, r.njobs);
    r.claimed = calloc(c->nmachines + 1, sizeof *r.claimed);
    r.stops = calloc(c->nmachines + 1, sizeof *r.stops);
    r.fetch = calloc(c->nmachines + 1, sizeof *r.fetch);
    r.cost = calloc(c->nmachines + 1, sizeof *r.cost);
    r.open = calloc(c->nmachines + 1, sizeof *r.open);
    /* each record but the last may end a group's worth early */
    uint32_t parts = bd_round_parts(c);
    r.most_bytes = (size_t)(BD_VALUE_SHARE * (double)c->limits.value_bytes * parts) -
                   (parts - 1) * 2 * BD_LABEL;
    r.most_conds = (uint32_t)(3 * c->limits.txn_ops);
    if (!r.claimed || !r.open || !r.stops || !r.cost || !r.fetch)
        abort();
    for (uint32_t i = 0; i < c->nmachines; i++)
        r.open[i] = bd_machine_usable(c, c->by_index[i]) && !c->by_index[i]->drain;
    for (uint32_t i = 0; i < r.njobs; i++) {
        struct bd_job *j = r.jobs[i];
        if (j->nwait > 0 && !j->stale && bd_before(j->hold_until, c->now) &&
            !bd_before(c->now, j->backoff_until))
            place_job(&r, j);
    }
    free(r.jobs);
    free(r.claimed);
    free(r.stops);
    free(r.cost);
    free(r.fetch);
    free(r.open);
}
