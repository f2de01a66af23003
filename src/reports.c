/* Workers' reports as evidence, and the orders that go back to them. */
#include "core_in.h"
#include <stdio.h>

/* named defaults */
#define FAILING_ERRORS 3u   /* failures in a row; those of a job that runs elsewhere count twice */
#define REFUSED_PAUSE_S 3.0 /* a machine that said no_room is left alone */
#define RETRY_FIRST_S 1.0   /* pause of a job whose tasks fail, doubled each time */
#define RETRY_MOST_S 30.0
#define SLOW_TASKS 2u   /* of a machine, */
#define SLOW_STEADY 3.0 /* report intervals heard without a gap before a machine is judged */
#define SLOW_FACTOR 1.6 /* this many times as long as the longest run */
#define SLOW_EXTRA_TENTHS 50u
#define SLOW_RUNS 4u        /* of at least so many */
#define DIRECT_DOUBLINGS 4u /* longest pause: 16 report intervals */
#define ZONE_FAILS 4u       /* direct commands without an answer, in a row, of one zone */
#define ZONE_PROBE_S 4.0
#define MISROUTED_MOST 2u       /* then a machine is taken not to hear */
#define OUTBOUND_CUT_SHARE 0.34 /* of the machines: more than that do not go deaf together */

struct orders {
    struct bd_order *o;
    size_t n, cap;
};

static void order(struct orders *l, enum bd_verb verb, const char *job, uint32_t task,
                  uint64_t attempt, double grace)
{
    if (l->n == l->cap) {
        size_t cap = l->cap ? l->cap * 2 : 8;
        struct bd_order *o = realloc(l->o, cap * sizeof *o);
        if (!o)
            abort();
        l->o = o;
        l->cap = cap;
    }
    struct bd_order *o = &l->o[l->n++];
    o->verb = verb;
    snprintf(o->job, sizeof o->job, "%s", job);
    o->task = task;
    o->attempt = attempt;
    o->grace = grace;
}

static double grace_of(const struct bd_job *j, const struct bd_task *t)
{
    if (t->flags & BD_F_FORCE || j->spec.checkpoint <= 0)
        return 0;
    return j->spec.save + 1.0;
}

/* Halts and launches that the machine owes us, from the states of the tasks on it. An attempt that
 * an earlier seal's direct launch may have carried is launched in answers only: see forget. */
static bool owed(struct bd_core *c, struct bd_machine *m, struct orders *l, bool direct)
{
    bool launch = false;
    for (uint32_t k = 0; k < m->nrefs; k++) {
        struct bd_job *j = m->refs[k].job;
        uint32_t i = m->refs[k].task;
        struct bd_task *t = &j->tasks[i];
        if (t->flags & BD_F_EXITED)
            continue;
        if (t->flags & BD_F_STOP) {
            bool force = t->flags & BD_F_FORCE;
            if (t->state == BD_T_LIVE && (t->sub != BD_SAVING || force))
                order(l, BD_HALT, j->id, i, t->attempt, grace_of(j, t));
        } else if (t->state == BD_T_LAUNCH && bd_may_launch(c) && j->state == BD_LIVE &&
                   !bd_cancel_heard(c, j) && (!direct || t->attempt > c->fenced_attempt)) {
            order(l, BD_LAUNCH, j->id, i, t->attempt, 0);
            t->flags |= direct ? BD_F_SENT | BD_F_DO : BD_F_SENT | BD_F_TOLD;
            launch = true;
        }
    }
    return launch;
}

/* Whether the zone's machines do not answer directly, as when it is cut off from us: each try would
 * hang a sender. One is let through now and then. */
static bool zone_closed(struct bd_core *c, const struct bd_machine *m)
{
    if (m->zone < 0 || c->direct[m->zone].fails < ZONE_FAILS)
        return false;
    if (bd_before(c->now, c->direct[m->zone].until))
        return true;
    c->direct[m->zone].until = bd_add(c->now, bd_secs(ZONE_PROBE_S));
    return false;
}

/* Sends what is owed directly, where the machine can be expected to answer. */
void bd_orders_send(struct bd_core *c, struct bd_machine *m)
{
    struct orders l = {0};
    if (m->do_busy || bd_before(c->now, m->do_after) || !m->fenced || m->gone || !*m->addr ||
        !bd_core_valid(c) || bd_overdue(c, m) || zone_closed(c, m))
        return;
    bool launch = owed(c, m, &l, true);
    if (l.n == 0)
        return;
    struct bd_effect *e = bd_emit(c, BD_E_DO);
    e->machine = m->index;
    e->token = c->term;
    e->launch = launch;
    snprintf(e->addr, sizeof e->addr, "%s", m->addr);
    e->body = bd_wire_orders(c->term, m->session, l.o, l.n);
    m->do_busy = true;
    m->do_since = c->now;
    free(l.o);
}

static void machine_failed_task(struct bd_core *c, struct bd_machine *m, struct bd_job *j)
{
    bool proven = j->ndone > 0 || j->nrun > 0; /* its tasks do run on other machines */
    if (proven)
        m->errors += 2;
    else if (m->error_job != j)
        m->errors++;
    m->error_job = j;
    if (m->errors >= FAILING_ERRORS && !m->bad) {
        m->bad = true;
        bd_say(c->log, BD_INFO, "%s fails its tasks and is taken out of use", m->id);
    }
}

/* A job that fails everywhere is slowed down; the machines are not blamed for it. */
static void job_failed_task(struct bd_core *c, struct bd_machine *m, struct bd_job *j)
{
    j->errors++;
    if (m->bad || j->ndone > 0)
        return;
    double pause = RETRY_FIRST_S;
    for (uint32_t k = 2; k < j->errors && pause < RETRY_MOST_S; k++)
        pause *= 2;
    j->hold_until = bd_add(c->now, bd_secs(pause < RETRY_MOST_S ? pause : RETRY_MOST_S));
}

/* A machine is slow if several of its tasks run far longer than any of their jobs' finished ones.
 */
void bd_find_slow(struct bd_core *c, struct bd_machine *m)
{
    uint32_t late = 0;
    /* what was held back shows tasks running that have ended long since */
    if (m->gone || m->bad || !m->fenced ||
        bd_between(m->steady, m->heard) < SLOW_STEADY * bd_to_secs(c->settings->report))
        return;
    for (uint32_t k = 0; k < m->nrefs; k++) {
        const struct bd_job *j = m->refs[k].job;
        const struct bd_task *t = &j->tasks[m->refs[k].task];
        if (t->state != BD_T_LIVE || t->sub != BD_RUNNING || !t->begun || t->flags & BD_F_EXITED ||
            j->spec.shape != BD_ARRAY || j->runs < SLOW_RUNS || 2 * j->runs < j->ntasks)
            continue; /* the first that finish are the short ones */
        /* as its last report showed it: a machine that we do not hear may be done long since */
        uint32_t run = bd_tenths(bd_max(m->heard, bd_secs(t->begun / 10.0))) - t->begun;
        if (run <= SLOW_FACTOR * j->longest_run + SLOW_EXTRA_TENTHS)
            continue;
        late++;
        bd_say(c->log, BD_DEBUG, "%s on %s runs for %.1f s, of %u others none over %.1f s", j->id,
               m->id, run / 10.0, j->runs, j->longest_run / 10.0);
    }
    if (late < SLOW_TASKS)
        return;
    m->bad = true;
    bd_say(c->log, BD_INFO, "%s runs %u tasks far too slowly and is taken out of use", m->id, late);
}

static bool is_current(const struct bd_machine *m, const struct bd_task *t, uint64_t attempt)
{
    return t->machine == m->index && t->attempt == attempt && t->state != BD_T_PLAN &&
           t->state != BD_T_WAIT;
}

static void ended(struct bd_core *c, struct bd_machine *m, struct bd_job *j, uint32_t i,
                  const struct bd_seen_task *s)
{
    if (s->why == BD_WHY_ERROR) {
        machine_failed_task(c, m, j);
        job_failed_task(c, m, j);
    } else if (s->why == BD_WHY_NO_ROOM || s->why == BD_WHY_BUSY) {
        m->refuse_until = bd_add(c->now, bd_secs(REFUSED_PAUSE_S));
    } else if (s->why == BD_WHY_UNKNOWN) {
        j->hold_until = bd_add(c->now, bd_secs(RETRY_FIRST_S));
    }
    bd_task_free(c, j, i);
}

/* Even a direct launch that was answered may come once more, as a late copy. The worker ignores it
 * while it knows the attempt, or once it has seen a higher seal: what a seal's direct launches may
 * have carried is not forgotten before. */
static void forget(struct bd_core *c, const struct bd_report *r, const struct bd_seen_task *s,
                   struct orders *l)
{
    if (s->attempt <= c->fenced_attempt && r->token >= c->term)
        order(l, BD_FORGET, s->job, s->task, s->attempt, 0);
    else if (c->withheld++ == 0)
        c->withheld_at = c->now;
}

static void exited(struct bd_core *c, struct bd_machine *m, struct bd_job *j,
                   const struct bd_report *r, const struct bd_seen_task *s, struct orders *l)
{
    struct bd_task *t = &j->tasks[s->task];
    bool current = is_current(m, t, s->attempt);
    /* a late copy of the launch would start a forgotten attempt again */
    bool late = current && t->flags & BD_F_DO;
    if (s->why == BD_WHY_DONE && j->state == BD_LIVE) {
        if (current) /* older ones are shown until they are forgotten, and prove nothing */
            m->errors = 0;
        if (late) {
            t->flags |= BD_F_EXITED;
            return;
        }
        if (current && t->begun) {
            uint32_t run = bd_tenths(c->now) - t->begun;
            j->longest_run = run > j->longest_run ? run : j->longest_run;
            j->runs++;
        }
        bd_task_done(c, j, s->task);
        if (t->flags & BD_F_RECEIPT)
            forget(c, r, s, l);
        return;
    }
    if (late) {
        t->flags |= BD_F_EXITED;
        return;
    }
    if (current)
        ended(c, m, j, s->task, s);
    forget(c, r, s, l);
}

static void alive(struct bd_core *c, struct bd_machine *m, struct bd_job *j,
                  const struct bd_seen_task *s, struct orders *l)
{
    struct bd_task *t = &j->tasks[s->task];
    if (!is_current(m, t, s->attempt)) {
        if (t->state != BD_T_WAIT) { /* the task is elsewhere or done: this one must not be */
            order(l, BD_HALT, s->job, s->task, s->attempt, 0);
            return;
        }
        /* no intent names it, yet it runs: holding it here is what keeps it from running twice */
        bd_task_assign(c, j, s->task, m, s->attempt, BD_T_LIVE);
        if (j->state != BD_LIVE)
            t->flags |= BD_F_STOP | BD_F_FORCE;
    }
    uint8_t flags = t->flags;
    if (s->sub == BD_RUNNING && (t->sub != BD_RUNNING || t->state != BD_T_LIVE)) {
        j->last_begun = c->now;
        bd_remember_image(c, m, &j->spec, true);
        /* one that was taken over running began before: how long ago is not known */
        t->begun = t->state == BD_T_LAUNCH || t->state == BD_T_LIVE ? bd_tenths(c->now) : 0;
    }
    bd_task_set(c, j, s->task, BD_T_WAIT); /* so that the sums see the new sub-state */
    t->sub = (uint8_t)s->sub;
    bd_task_set(c, j, s->task, BD_T_LIVE);
    t->flags = flags | BD_F_SENT;
}

/* Tasks that we hold on the machine and that its report does not show. */
static void missing(struct bd_core *c, struct bd_machine *m)
{
    uint32_t k = 0;
    while (k < m->nrefs) {
        struct bd_job *j = m->refs[k].job;
        uint32_t i = m->refs[k].task;
        struct bd_task *t = &j->tasks[i];
        bool shown = t->flags & BD_F_SHOWN;
        t->flags &= (uint8_t)~BD_F_SHOWN;
        bool hold = shown || t->state == BD_T_PLAN || t->flags & (BD_F_DO | BD_F_TOLD);
        if (!hold && t->state == BD_T_LAUNCH && !(t->flags & BD_F_STOP))
            hold = true; /* the launch is repeated with this answer */
        if (hold) {
            k++;
            continue;
        }
        bd_say(c->log, BD_DEBUG, "%s/%u is not on %s", j->id, i, m->id);
        bd_task_free(c, j, i);
        k = 0;
    }
}

static void mark_shown(struct bd_core *c, struct bd_machine *m, const struct bd_report *r)
{
    for (size_t k = 0; k < r->n; k++) {
        struct bd_job *j = bd_job_find(c, r->tasks[k].job);
        uint32_t i = r->tasks[k].task;
        if (j && j->tasks && i < j->ntasks && is_current(m, &j->tasks[i], r->tasks[k].attempt))
            j->tasks[i].flags |= BD_F_SHOWN;
    }
}

/* A session change or a higher seal excludes every direct launch that had no answer. */
static void exclude_late(struct bd_machine *m)
{
    m->late_token = 0;
    for (uint32_t k = 0; k < m->nrefs; k++)
        m->refs[k].job->tasks[m->refs[k].task].flags &= (uint8_t) ~(BD_F_DO | BD_F_EXITED);
}

static void identify(struct bd_core *c, struct bd_machine *m, const struct bd_report *r)
{
    snprintf(m->addr, sizeof m->addr, "%s", r->addr);
    m->type = bd_type_index(c, r->type);
    m->zone = bd_zone_index(c, r->zone);
    m->spot = r->spot;
    m->notice_left = r->notice;
}

static void evidence(struct bd_core *c, struct bd_machine *m, const struct bd_report *r,
                     struct orders *l)
{
    for (size_t k = 0; k < r->n; k++) {
        const struct bd_seen_task *s = &r->tasks[k];
        struct bd_job *j = bd_job_find(c, s->job);
        if (!j || !j->tasks || s->task >= j->ntasks) {
            /* done jobs' results may be forgotten; of others nothing is known here */
            if (s->sub == BD_EXITED && j && j->state == BD_DONE)
                forget(c, r, s, l);
            else if (s->sub != BD_EXITED)
                order(l, BD_HALT, s->job, s->task, s->attempt, 0);
            continue;
        }
        if (s->sub == BD_EXITED)
            exited(c, m, j, r, s, l);
        else
            alive(c, m, j, s, l);
    }
}

static bool newer(const struct bd_machine *m, const struct bd_report *r)
{
    return r->session > m->session || (r->session == m->session && r->seq > m->seq);
}

/* What we know to be of the old session is gone. But the old session may be known only from a copy
 * that came before the first report itself: then the intents that earlier leaders left may be of
 * the new one, and only a report that has seen our term tells. */
static void session_rose(struct bd_core *c, struct bd_machine *m)
{
    if (m->fenced)
        bd_machine_lapse(c, m);
    m->asked_seq = 0;
    m->outbound_cut = true; /* until it shows that it hears: its lease ran out, answered or not */
    /* the new session's own lease began at the latest now, whether a check-in is ever answered */
    m->lapse_at = bd_max(m->lapse_at, bd_lease_end(c, c->now));
}

/* Takes a report in. False: stale, nothing changed. */
static bool take_report(struct bd_core *c, struct bd_machine *m, const struct bd_report *r,
                        struct orders *l)
{
    if (!newer(m, r))
        return false;
    if (m->session && r->session > m->session)
        session_rose(c, m);
    identify(c, m, r);
    m->session = r->session;
    m->seq = r->seq;
    if (bd_between(m->heard, c->now) > 2 * bd_to_secs(c->settings->report))
        m->steady = c->now;
    m->heard = c->now;
    if (r->token < c->base_term)
        return true; /* an earlier term may still command it: no evidence yet */
    if (!m->fenced)
        c->round_wanted = true;
    m->fenced = true;
    if (m->late_token && r->token > m->late_token && !m->do_busy)
        exclude_late(m);
    mark_shown(c, m, r);
    missing(c, m);
    evidence(c, m, r, l);
    return true;
}

static void answer_checkin(struct bd_core *c, void *request, struct bd_machine *m, struct orders *l)
{
    /* no launch here while a direct one is on its way: one message at a time says it */
    if (m->fenced && !m->do_busy)
        (void)owed(c, m, l, false);
    m->lapse_at = bd_lease_end(c, c->now);
    if (!m->fenced) /* if this answer is lost, an earlier term may still renew it */
        m->lapse_at = bd_max(m->lapse_at, c->others_lapse);
    bd_reply(c, request, 200, bd_wire_orders(c->term, 0, l->o, l->n), 0);
}

/* A worker has one check-in under way and numbers them upwards; one that is not newer than the
 * newest is a copy. A returned machine's, or a session's that is over, is one as well. */
static bool is_copy(const struct bd_machine *m, const struct bd_report *r)
{
    return m->gone || (m->lapsed_session && r->session <= m->lapsed_session) ||
           r->session < m->session || (r->session == m->session && r->seq <= m->asked_seq);
}

/* A worker that gets its answer stays with the controller that gave it, one that gets none goes to
 * the next: two check-ins in a row tell which. Called before the report is taken in. */
static void hears_us(struct bd_machine *m, const struct bd_report *r, int via)
{
    bool next = r->session == m->session && m->asked_seq && r->seq == m->asked_seq + 1;
    if (next && via == m->via) {
        m->outbound_cut = false;
        m->misrouted = 0;
    } else if (next) {
        m->outbound_cut = m->outbound_cut || ++m->misrouted >= MISROUTED_MOST;
    }
    m->via = via;
}

/* The worker has one check-in under way: with the next one, the answer to the last has arrived, or
 * never will. The answer to a direct command proves nothing of the kind. */
static void answers_settled(struct bd_machine *m)
{
    for (uint32_t k = 0; k < m->nrefs; k++)
        m->refs[k].job->tasks[m->refs[k].task].flags &= (uint8_t)~BD_F_TOLD;
}

/* As leader, or in its grace. */
static void lead_checkin(struct bd_core *c, void *request, const struct bd_report *r, int via)
{
    struct bd_machine *m = NULL;
    bool direct = via < 0;
    if (r->token > c->term) { /* it would drop our answer and stay here until its lease is over */
        if (!bd_core_valid(c))
            bd_core_lost(c);
        bd_reply(c, request, 421, bd_wire_redirect(""), 0);
        return;
    }
    m = bd_machine_get(c, r->machine);
    /* a copy is no sign of life: nothing is learnt from it, and no lease renewed */
    if (is_copy(m, r)) {
        bd_reply(c, request, 503, bd_wire_redirect(""), 0);
        return;
    }
    int peer = direct ? bd_forward_redirect(c, m, r) : -1;
    if (peer >= 0) {
        bd_reply(c, request, 421, bd_wire_redirect(c->settings->peers[peer].name), 0);
        return;
    }
    if (direct && m->delegated)
        bd_delegate_needless(c, m);
    struct orders l = {0};
    hears_us(m, r, via);
    answers_settled(m);
    if (take_report(c, m, r, &l))
        m->direct = direct;
    m->asked_seq = r->seq;
    m->asked = c->now;
    if (!bd_core_valid(c))
        l.n = 0;
    answer_checkin(c, request, m, &l);
    free(l.o);
    bd_orders_send(c, m);
}

void bd_core_checkin(struct bd_core *c, void *request, const struct bd_report *r, const char *body,
                     size_t len)
{
    if (bd_core_may_answer(c)) {
        lead_checkin(c, request, r, -1);
        return;
    }
    if (c->role == BD_FOLLOWER &&
        (bd_forward_checkin(c, request, r, body, len) || bd_delegate_checkin(c, request, r)))
        return;
    bd_forward_away(c, request, r);
}

void bd_core_forwarded(struct bd_core *c, const char *peer, uint64_t id, const struct bd_report *r,
                       const char *body, size_t len)
{
    for (int i = 0; i < c->settings->npeers; i++) {
        if (strcmp(c->settings->peers[i].name, peer) != 0)
            continue;
        struct bd_remote *q = calloc(1, sizeof *q);
        if (!q)
            abort();
        q->remote = true;
        q->peer = i;
        q->id = id;
        if (bd_core_may_answer(c))
            lead_checkin(c, q, r, i);
        else if (!bd_forward_relay(c, q, r, body, len))
            bd_reply(c, q, 421, bd_wire_redirect(""), 0);
    }
}

/* A machine that does not answer directly is left to its reports for a while. */
static void direct_failed(struct bd_core *c, struct bd_machine *m)
{
    double pause = bd_to_secs(c->settings->report);
    for (uint32_t k = 0; k < m->do_fails && k < DIRECT_DOUBLINGS; k++)
        pause *= 2;
    m->do_fails++;
    if (m->zone >= 0)
        c->direct[m->zone].fails++;
    m->outbound_cut = true; /* nothing new for it until it shows that it hears */
    m->do_after = bd_add(c->now, bd_secs(pause));
}

/* As leader: whether so many seem not to hear that it is rather we who are not heard. */
void bd_find_outbound_cut(struct bd_core *c)
{
    uint32_t known = 0, outbound_cut = 0;
    for (uint32_t i = 0; i < c->nmachines; i++) {
        const struct bd_machine *m = c->by_index[i];
        if (m->gone || !m->fenced)
            continue;
        known++;
        outbound_cut += m->outbound_cut;
    }
    c->outbound_cut_many = outbound_cut > OUTBOUND_CUT_SHARE * known;
}

void bd_core_did(struct bd_core *c, uint32_t machine, uint64_t token, bool launch, long status,
                 const struct bd_report *r)
{
    struct bd_machine *m = bd_machine_of(c, machine);
    if (c->role != BD_LEADER || !m || token < c->base_term)
        return;
    m->do_busy = false;
    bool answered = r && (status == 200 || status == 409);
    if (!answered) {
        direct_failed(c, m);
        if (launch && token > m->late_token)
            m->late_token = token;
        return;
    }
    m->do_fails = 0;
    m->outbound_cut = false;
    if (m->zone >= 0)
        c->direct[m->zone].fails = 0;
    if (strcmp(r->machine, m->id) != 0) {
        direct_failed(c, m); /* the address serves another machine now */
        return;
    }
    struct orders l = {0};
    if (launch && m->late_token == 0)
        exclude_late(m); /* answered: nothing of it is on its way any more */
    if (m->gone)
        return;
    (void)take_report(c, m, r, &l);
    free(l.o); /* said again with the next report */
    if (m->nrefs)
        bd_orders_send(c, m);
}
