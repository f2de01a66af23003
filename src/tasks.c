/* How a task's state changes, with the sums over jobs, machines and teams that go with it. */
#include "core_in.h"
#include <math.h>
#include <stdio.h>

/* named defaults */
#define LATE_REPORTS 1.4 /* report intervals, which vary by a quarter, and what delays one */
#define LATE_EXTRA_S 1.5
#define LATE_LEAST_S 5.5 /* one controller that lets it hang */

uint32_t bd_tenths(struct timespec t)
{
    return (uint32_t)((uint64_t)t.tv_sec * 10 + (uint64_t)t.tv_nsec / 100000000u) | 1u;
}

static bool holds(const struct bd_task *t)
{
    return t->machine != BD_NO_MACHINE;
}

static void team_use(struct bd_core *c, const struct bd_spec *s, double sign)
{
    if (s->team < 0)
        return;
    c->team_cpus[s->team] += sign * s->cpus;
    c->team_gpus[s->team] += sign * s->gpus;
}

static void machine_use(struct bd_machine *m, const struct bd_spec *s, double sign)
{
    m->cpus += sign * s->cpus;
    m->gpus += sign * s->gpus;
    m->mem += sign * s->mem;
    if (s->shape != BD_SERVICE && s->gpus <= 0)
        return; /* ends by itself before long */
    m->pinned_cpus += sign * s->cpus;
    m->pinned_gpus += sign * s->gpus;
    m->pinned_mem += sign * s->mem;
}

bool bd_job_lead(struct bd_core *c, struct bd_job *j)
{
    (void)c;
    if (j->tasks)
        return true;
    j->tasks = calloc(j->ntasks, sizeof *j->tasks);
    if (!j->tasks)
        return false;
    for (uint32_t i = 0; i < j->ntasks; i++)
        j->tasks[i].machine = BD_NO_MACHINE;
    j->nwait = j->ntasks;
    j->ndone = j->nlive = j->nrun = 0;
    j->receipt_chunks = 0;
    j->dirty = false;
    return true;
}

void bd_job_unlead(struct bd_job *j)
{
    if (j->tasks) {
        j->shown_done = j->ndone;
        j->shown_run = j->nrun;
    }
    free(j->tasks);
    j->tasks = NULL;
    j->nwait = j->ndone = j->nlive = j->nrun = 0;
    j->dirty = false;
    j->dirty_chunks = 0;
}

static void count(struct bd_job *j, const struct bd_task *t, int d)
{
    switch (t->state) {
    case BD_T_WAIT:
        j->nwait += (uint32_t)d;
        break;
    case BD_T_DONE:
        j->ndone += (uint32_t)d;
        break;
    default:
        j->nlive += (uint32_t)d;
    }
    if (t->state == BD_T_LIVE && (t->sub == BD_RUNNING || t->sub == BD_SAVING))
        j->nrun += (uint32_t)d;
}

void bd_task_set(struct bd_core *c, struct bd_job *j, uint32_t i, enum bd_task_state st)
{
    (void)c;
    count(j, &j->tasks[i], -1);
    j->tasks[i].state = (uint8_t)st;
    count(j, &j->tasks[i], 1);
}

static void add_ref(struct bd_machine *m, struct bd_job *j, uint32_t i)
{
    if (m->nrefs == m->cap) {
        uint32_t cap = m->cap ? m->cap * 2 : 8;
        struct bd_ref *r = realloc(m->refs, cap * sizeof *r);
        if (!r)
            abort();
        m->refs = r;
        m->cap = cap;
    }
    m->refs[m->nrefs++] = (struct bd_ref){j, i};
}

static void drop_ref(struct bd_machine *m, const struct bd_job *j, uint32_t i)
{
    for (uint32_t k = 0; k < m->nrefs; k++) {
        if (m->refs[k].job == j && m->refs[k].task == i) {
            m->refs[k] = m->refs[--m->nrefs];
            return;
        }
    }
}

static const struct bd_held_image *held_image(const struct bd_machine *m, int image)
{
    for (int k = 0; k < m->nimages; k++)
        if (m->images[k].image == image)
            return &m->images[k];
    return NULL;
}

bool bd_has_image(const struct bd_machine *m, int image)
{
    return held_image(m, image) != NULL;
}

static double still_s(const struct bd_core *c, struct timespec ready)
{
    return bd_before(c->now, ready) ? bd_between(c->now, ready) : 0;
}

/* How long until the task's image is there: nothing where it lies already; where other images are
 * on their way it comes after them, or as slowly as if it did. */
double bd_fetch_s(const struct bd_core *c, const struct bd_machine *m, const struct bd_spec *s)
{
    const struct bd_held_image *h = held_image(m, s->image);
    if (h)
        return still_s(c, h->ready);
    if (m->type < 0 || !c->types[m->type].known) /* known by an earlier term's intents alone */
        return INFINITY;
    return still_s(c, m->fetched_by) + s->image_gb / c->types[m->type].fetch;
}

/* The least recently used go if all do not fit the machine. */
static void drop_old_images(const struct bd_core *c, struct bd_machine *m)
{
    double gb = 0;
    if (m->type < 0 || !c->types[m->type].known)
        return;
    for (int k = 0; k < m->nimages; k++) {
        gb += m->images[k].gb;
        if (k > 0 && gb > c->types[m->type].cache_gb)
            m->nimages = k;
    }
}

/* The image is used, or will be; `there`: a task was seen to run from it. */
void bd_remember_image(struct bd_core *c, struct bd_machine *m, const struct bd_spec *s, bool there)
{
    const struct bd_held_image *known = held_image(m, s->image);
    struct bd_held_image h = {s->image, s->image_gb, c->now};
    int k = known ? (int)(known - m->images) : m->nimages;
    if (known)
        h = *known;
    else if (!there && m->type >= 0 && c->types[m->type].fetch > 0)
        h.ready = m->fetched_by = bd_add(c->now, bd_secs(bd_fetch_s(c, m, s)));
    if (there)
        h.ready = c->now;
    if (k == BD_IMAGES)
        k--;
    else if (!known)
        m->nimages++;
    memmove(m->images + 1, m->images, (size_t)k * sizeof *m->images);
    m->images[0] = h;
    drop_old_images(c, m);
}

void bd_task_assign(struct bd_core *c, struct bd_job *j, uint32_t i, struct bd_machine *m,
                    uint64_t attempt, enum bd_task_state st)
{
    struct bd_task *t = &j->tasks[i];
    if (holds(t))
        bd_task_free(c, j, i);
    t->machine = m->index;
    t->attempt = attempt;
    t->flags = 0;
    t->begun = 0;
    t->sub = BD_FETCHING;
    bd_task_set(c, j, i, st);
    j->last_placed = c->now;
    add_ref(m, j, i);
    machine_use(m, &j->spec, 1);
    if (st != BD_T_PLAN) /* a plan that comes to nothing fetches nothing */
        bd_remember_image(c, m, &j->spec, true);
    team_use(c, &j->spec, 1);
}

static void let_go(struct bd_core *c, struct bd_job *j, uint32_t i)
{
    struct bd_task *t = &j->tasks[i];
    struct bd_machine *m = bd_machine_of(c, t->machine);
    if (!holds(t))
        return;
    t->machine = BD_NO_MACHINE;
    team_use(c, &j->spec, -1);
    if (!m)
        return;
    drop_ref(m, j, i);
    machine_use(m, &j->spec, -1);
    if (m->nrefs == 0) {
        m->cpus = m->gpus = m->mem = 0;
        m->pinned_cpus = m->pinned_gpus = m->pinned_mem = 0;
        m->idle_since = c->now;
    }
}

static bool stoppable(const struct bd_task *t)
{
    return (t->state == BD_T_LAUNCH || t->state == BD_T_LIVE || t->state == BD_T_UNKNOWN) &&
           !(t->flags & BD_F_STOP);
}

/* A gang that lost a member cannot go on: the rest is stopped, and the whole is placed again. */
static void gang_member_gone(struct bd_core *c, struct bd_job *j)
{
    for (uint32_t i = 0; i < j->ntasks; i++) {
        if (!stoppable(&j->tasks[i]))
            continue;
        bd_task_stop(c, j, i, false); /* and with it all others */
        return;
    }
}

void bd_task_free(struct bd_core *c, struct bd_job *j, uint32_t i)
{
    struct bd_task *t = &j->tasks[i];
    bool was_sent = t->state != BD_T_PLAN && t->state != BD_T_WAIT;
    j->restarts += was_sent;
    let_go(c, j, i);
    if (t->state == BD_T_DONE)
        return;
    t->flags = 0;
    t->sub = BD_FETCHING;
    bd_task_set(c, j, i, BD_T_WAIT);
    c->round_wanted = true;
    if (j->spec.shape == BD_GANG && j->ntasks > 1 && was_sent && j->nlive > 0)
        gang_member_gone(c, j);
}

static void one_done(struct bd_core *c, struct bd_job *j, uint32_t i)
{
    if (j->tasks[i].state == BD_T_DONE)
        return;
    let_go(c, j, i);
    j->tasks[i].flags = 0;
    bd_task_set(c, j, i, BD_T_DONE);
    j->dirty = true;
    j->dirty_chunks |= 1u << (i / CHUNK);
    c->round_wanted = true;
}

void bd_task_done(struct bd_core *c, struct bd_job *j, uint32_t i)
{
    if (j->spec.shape != BD_GANG) {
        one_done(c, j, i);
        return;
    }
    /* the tasks of a gang complete together */
    for (uint32_t k = 0; k < j->ntasks; k++)
        one_done(c, j, k);
}

static void stop_one(struct bd_core *c, struct bd_job *j, uint32_t i, bool force)
{
    struct bd_task *t = &j->tasks[i];
    struct bd_machine *m = bd_machine_of(c, t->machine);
    if (force)
        t->flags |= BD_F_FORCE;
    t->flags |= BD_F_STOP;
    if (t->state == BD_T_LAUNCH && !(t->flags & BD_F_SENT))
        bd_task_free(c, j, i); /* nothing was ever sent: nothing can start */
    else if (m)
        bd_orders_send(c, m);
}

/* A gang saves only if all its members are told within a short time: they are stopped together. */
void bd_task_stop(struct bd_core *c, struct bd_job *j, uint32_t i, bool force)
{
    stop_one(c, j, i, force);
    if (j->spec.shape != BD_GANG)
        return;
    for (uint32_t k = 0; k < j->ntasks; k++)
        if (stoppable(&j->tasks[k]))
            stop_one(c, j, k, force);
}

struct bd_machine *bd_machine_of(struct bd_core *c, uint32_t index)
{
    return index < c->nmachines ? c->by_index[index] : NULL;
}

struct bd_machine *bd_machine_get(struct bd_core *c, const char *id)
{
    struct bd_machine *m = NULL;
    HASH_FIND_STR(c->machines, id, m);
    if (m)
        return m;
    m = calloc(1, sizeof *m);
    if (!m)
        abort();
    if (c->nmachines == c->cap_machines) {
        uint32_t cap = c->cap_machines ? c->cap_machines * 2 : 64;
        struct bd_machine **b = realloc(c->by_index, cap * sizeof(struct bd_machine *));
        if (!b)
            abort();
        c->by_index = b;
        c->cap_machines = cap;
    }
    snprintf(m->id, sizeof m->id, "%s", id);
    m->index = c->nmachines;
    m->type = m->zone = m->via = -1;
    m->notice_left = -1;
    m->known_at = m->idle_since = c->now;
    /* it may have been renewed by an earlier term that we cannot see */
    m->lapse_at = c->others_lapse;
    c->by_index[c->nmachines++] = m;
    HASH_ADD_STR(c->machines, id, m);
    return m;
}

struct timespec bd_lease_end(const struct bd_core *c, struct timespec answered)
{
    double lease = bd_to_secs(c->settings->lease) * (1 + DRIFT) + 0.2;
    return bd_add(answered, bd_secs(lease));
}

/* Everything the machine's last session had is gone. */
void bd_machine_lapse(struct bd_core *c, struct bd_machine *m)
{
    uint32_t k = 0;
    while (k < m->nrefs) {
        struct bd_ref r = m->refs[k];
        struct bd_task *t = &r.job->tasks[r.task];
        /* a plan was not sent: it stays with its transaction */
        if (t->state == BD_T_PLAN) {
            k++;
            continue;
        }
        bd_task_free(c, r.job, r.task);
        k = 0; /* freeing one may move the others */
    }
    m->late_token = 0;
}

void bd_machine_gone(struct bd_core *c, struct bd_machine *m)
{
    bd_machine_lapse(c, m);
    m->gone = true;
    m->addr[0] = '\0';
}

static bool late(const struct bd_core *c, struct timespec last)
{
    double s = LATE_REPORTS * bd_to_secs(c->settings->report) + LATE_EXTRA_S;
    return bd_between(last, c->now) > (s > LATE_LEAST_S ? s : LATE_LEAST_S);
}

/* Whether its report is late: it hangs, or goes round looking for a controller. Direct commands
 * would hold up a sender each. */
bool bd_overdue(const struct bd_core *c, const struct bd_machine *m)
{
    return late(c, m->heard);
}

bool bd_machine_usable(const struct bd_core *c, const struct bd_machine *m)
{
    return m->type >= 0 && m->zone >= 0 && c->types[m->type].known && m->fenced && !m->gone &&
           !m->returning && !m->failed && !m->bad && m->notice_left < 0 &&
           (!m->outbound_cut || c->outbound_cut_many) && !late(c, m->heard) &&
           /* one that answers directly while its check-ins reach nobody loses all with its lease */
           !late(c, m->asked) && bd_before(m->refuse_until, c->now);
}
