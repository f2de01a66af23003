/* Days on which faults meet, in simulated time, against the protocol's rules (see sim.h).
 *
 * - simulation FILE [SEEDS]: a day from a file, with so many seeds
 * - simulation random FROM N: days drawn from N seeds
 * - simulation seed FILE|random N [debug]: one of them, told step by step
 *
 * A file has lines `at SECONDS TROUBLE ...`. The day ends long enough after the last fault for
 * all work to be served. `jobs N`: how many come; `cancelled SHARE`; `small 1`: jobs of one short
 * task; `fetch SECONDS` of an image. Troubles, with FOR in seconds and WHO a controller's number,
 * `leader` or `any`:
 *
 * - state service: outage FOR, slow FOR, refuse WHO FOR, blind WHO FOR (its refreshes of the
 * records fail), late SHARE FOR, lost SHARE FOR
 * - network: peers WHO FOR, alone WHO FOR (from peers and state service), zones FOR, held FOR
 * - late reports: copies SHARE FOR, next SHARE FOR (to all as the next leader begins)
 * - machines: hang N FOR, deaf N FOR, mute N FOR, cut N FOR, hold N FOR, die N
 * - controllers: crash WHO BACK, all BACK, stall WHO FOR (the process stands still), senders WHO
 * FOR (its direct commands wait in its own queue)
 * - users: cancel N, burst N
 * - administrators: drain N REPLACES (the first N machines that are up; 1: replaced), pause 0,
 *   resume 0, calloff 0 (the newest drain)
 *
 * `simulation delays FROM N` draws days with delays inside the controllers (`senders`, `stall`)
 * among machines that hang and cancellations. `simulation drains FROM N` draws days with drains. In
 * a file `drains 1` switches them on, `machines N` is how many there are at first, `services N` how
 * many services come first, and `budget A B` what each team bears. */
#include "simulation.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "leadership/leadership.h"
#include "numbers.h"
#include "sim_drain.h"
#include "sim_plan.h"
#include "small.h"
#include "wire/wire.h"
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_S 0.02
#define QUIET_S 130.0        /* after the last fault all work is to be served */
#define WAIT_S 90.0          /* and a lease that may have to lapse first */
#define OVERTIME_MAX_S 400.0 /* ... and then the day is over */
#define LOST_S 75.0          /* without an answer a job counts as forgotten */

double sim_random(struct sim *s)
{
    return gsl_rng_uniform(s->rng);
}

double sim_between(struct sim *s, double a, double b)
{
    return a + (b - a) * sim_random(s);
}

double sim_delay(struct sim *s)
{
    return sim_random(s) < 0.02 ? sim_between(s, 0.05, 0.4) : sim_between(s, 0.001, 0.006);
}

void sim_trace(struct sim *s, const char *fmt, ...)
{
    va_list ap;
    if (!s->loud)
        return;
    va_start(ap, fmt);
    printf("%8.2f ", s->now);
    vprintf(fmt, ap);
    printf("\n");
    va_end(ap);
}

void sim_violation(struct sim *s, const char *fmt, ...)
{
    va_list ap;
    if (++s->broken > 5)
        return;
    va_start(ap, fmt);
    printf("seed %lu, %.2f s: ", s->seed, s->now);
    vprintf(fmt, ap);
    printf("\n");
    va_end(ap);
}

struct sim_event *sim_post(struct sim *s, double delay, enum sim_event_kind kind)
{
    struct sim_event *e = calloc(1, sizeof *e), **at = &s->queue;
    if (!e)
        abort();
    e->at = s->now + (delay > 0 ? delay : 0);
    e->order = ++s->order;
    e->kind = kind;
    while (*at && (*at)->at <= e->at)
        at = &(*at)->next;
    e->next = *at;
    *at = e;
    return e;
}

struct sim_event *sim_post_again(struct sim *s, struct sim_event *e, double delay)
{
    struct sim_event *again = sim_post(s, delay, e->kind), copy = *e;
    copy.at = again->at;
    copy.order = again->order;
    copy.next = again->next;
    *again = copy;
    e->text = NULL;
    return again;
}

bool sim_held_up(struct sim *s)
{
    return s->now < s->held_up && sim_random(s) < 0.3;
}

/* ---- users ---- */

static void ask_node(struct sim *s, int job, int node, enum sim_verb verb)
{
    static const char *const kind_names[] = {"sweep", "gang", "service"};
    static const char *const priority_names[] = {"idle", "standard", "high", "production"};
    struct sim_job *j = &s->jobs[job];
    char text[640];
    struct sim_event *e = sim_post(s, sim_delay(s), SIM_USER_IN);
    e->node = node;
    e->who = job;
    e->status = verb;
    e->number = (uint64_t)(s->now * 1e6);
    if (verb == SIM_CANCEL && j->asked_cancel <= 0)
        j->asked_cancel = s->now;
    if (verb != SIM_SUBMIT)
        return;
    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"%s\",\"shape\":\"%s\",\"rank\":"
             "\"%s\",\"chores\":%u,\"vcpus\":%.1f,%s\"memGb\":1,\"seed\":\"img\",\"imageGb\":"
             "1,\"breeds\":null,\"glade\":%s,\"together\":false,\"scatter\":false,\"windfall\":"
             "false,\"guessS\":8,\"markS\":0,\"stowS\":0,\"dueS\":null}",
             j->id, j->team ? "b" : "a", kind_names[j->kind], priority_names[j->priority], j->tasks,
             j->cpus, j->odd && job % 2 ? "" : "\"accelerators\":0,", j->zone);
    e->text = strdup(text);
}

static int some_node(struct sim *s)
{
    int from = (int)(sim_random(s) * SIM_NODES);
    for (int i = 0; i < SIM_NODES; i++) {
        int k = (from + i) % SIM_NODES;
        if (s->nodes[k].core && bd_leadership_healthy(s->nodes[k].core))
            return k;
    }
    return from;
}

/* Right after an answer that matters: all nodes, and the submission once more. */
static void look_closely(struct sim *s, int job)
{
    for (int i = 0; i < SIM_NODES; i++)
        ask_node(s, job, i, SIM_ASK);
    if (sim_random(s) < 0.5)
        ask_node(s, job, some_node(s), SIM_SUBMIT);
}

static void user_wake(struct sim *s, struct sim_event *e)
{
    struct sim_job *j = &s->jobs[e->who];
    bool over = j->done_at > 0 || j->cancelled_at > 0;
    if (j->accepted_at <= 0)
        ask_node(s, e->who, some_node(s), SIM_SUBMIT);
    else if (j->cancel_at > 0 && s->now >= j->cancel_at && !over)
        ask_node(s, e->who, some_node(s), SIM_CANCEL);
    else
        ask_node(s, e->who, some_node(s), SIM_ASK);
    double last = j->answered_at > s->trouble_ends ? j->answered_at : s->trouble_ends;
    if (j->accepted_at > 0 && s->now - last > LOST_S)
        sim_violation(s, "forgotten: no question about %s is answered for %.0f s", j->id, LOST_S);
    if (j->odd && s->now > s->trouble_ends)
        return;
    sim_post(s, over ? sim_between(s, 5, 15) : sim_between(s, 1, 4), SIM_USER_WAKE)->who = e->who;
}

static void told(struct sim *s, struct sim_event *e, const char *state)
{
    struct sim_job *j = &s->jobs[e->who];
    double sent = (double)e->number / 1e6;
    bool first = j->accepted_at <= 0;
    if (first)
        j->accepted_at = s->now;
    j->answered_at = s->now;
    if (strcmp(state, "done") == 0) {
        for (uint32_t i = 0; i < j->tasks; i++)
            if (!j->done[i])
                sim_violation(s, "not_done: %s is called done, task %u is not", j->id, i);
        first = first || j->done_at <= 0;
        if (j->cancelled_at > 0 && sent > j->cancelled_at)
            sim_violation(s, "went_back: %s was cancelled, now done", j->id);
        j->done_at = j->done_at > 0 ? j->done_at : s->now;
    } else if (strcmp(state, "cancelled") == 0) {
        if (j->asked_cancel <= 0)
            sim_violation(s, "went_back: %s is called cancelled, nobody asked for it", j->id);
        if (j->done_at > 0 && sent > j->done_at)
            sim_violation(s, "went_back: %s was done, now cancelled", j->id);
        first = first || j->cancelled_at <= 0;
        if (j->cancelled_at <= 0)
            sim_trace(s, "%s is cancelled", j->id);
        j->cancelled_at = j->cancelled_at > 0 ? j->cancelled_at : s->now;
    } else if ((j->done_at > 0 && sent > j->done_at) ||
               (j->cancelled_at > 0 && sent > j->cancelled_at)) {
        sim_violation(s, "went_back: %s was %s, now %s", j->id,
                      j->done_at > 0 ? "done" : "cancelled", state);
    }
    if (first)
        look_closely(s, e->who);
    if (first && j->cancel_at < 0) { /* some cancel at once */
        j->cancel_at = s->now;
        ask_node(s, e->who, some_node(s), SIM_CANCEL);
    }
}

static void user_back(struct sim *s, struct sim_event *e)
{
    struct sim_job *j = &s->jobs[e->who];
    bool known = j->accepted_at > 0 && (double)e->number / 1e6 > j->accepted_at;
    json_t *o = e->text ? json_loads(e->text, 0, NULL) : NULL;
    const char *state = json_string_value(json_object_get(o, "mood"));
    if (e->status == 200 || e->status == 201) {
        if (j->odd)
            sim_violation(s, "accepted: %s lacks a field, or has no zone", j->id);
        told(s, e, state ? state : "");
    } else if (e->status == 404 || e->status == 400 || e->status == 422) {
        if (known)
            sim_violation(s, "forgotten: %s gets %ld", j->id, e->status);
        if (!j->odd && e->status != 404)
            sim_violation(s, "refused: %s gets %ld: %s", j->id, e->status, e->text);
    }
    json_decref(o);
}

static void new_job(struct sim *s, const struct sim_plan *p, double at)
{
    if (s->njobs == SIM_JOBS)
        return;
    int n = s->njobs++;
    struct sim_job *j = &s->jobs[n];
    memset(j, 0, sizeof *j);
    snprintf(j->id, sizeof j->id, "job-%d", n);
    double kind = sim_random(s);
    j->kind = n < p->services ? BD_JOB_SERVICE : kind < 0.2 ? BD_JOB_GANG : BD_JOB_ARRAY;
    j->team = n % 2;
    j->priority = j->kind == BD_JOB_SERVICE ? 3 : (int)(sim_random(s) * 3);
    j->tasks = j->kind == BD_JOB_ARRAY ? 1 + (uint32_t)(sim_random(s) * 5) : 2;
    j->cpus = j->kind == BD_JOB_SERVICE ? 1 : 1 + (int)(sim_random(s) * 3);
    j->run_s = sim_random(s) < 0.15 ? sim_between(s, 30, 60) : sim_between(s, 1, 12);
    if (p->small) {
        j->kind = BD_JOB_ARRAY;
        j->tasks = 1;
        j->cpus = 1;
        j->run_s = sim_between(s, 1, 6);
    }
    j->odd = n > 3 && n % 17 == 0;
    double where = p->small ? 1 : sim_random(s);
    j->zone = j->odd && n % 2 == 0 ? "\"nowhere\""
              : where < 0.1        ? "\"a\""
              : where < 0.2        ? "\"b\""
                                   : "null";
    if (sim_random(s) < p->cancelled && !(p->drains && j->kind == BD_JOB_SERVICE))
        j->cancel_at = sim_random(s) < 0.2 ? -1 : s->now + at + sim_between(s, 0.1, 40);
    for (int i = 0; i < SIM_TASKS; i++)
        j->machine[i] = -1;
    sim_post(s, at, SIM_USER_WAKE)->who = n;
}

/* ---- faults ---- */

static int who_is(struct sim *s, const char *who)
{
    for (int i = 0; strcmp(who, "leader") == 0 && i < SIM_NODES; i++)
        if (s->nodes[i].core && bd_leadership_lease_valid(s->nodes[i].core))
            return i;
    return *who >= '0' && *who <= '9' ? number_of(who) : (int)(sim_random(s) * SIM_NODES);
}

static void crash(struct sim *s, int i, double back)
{
    if (!s->nodes[i].core)
        return;
    sim_node_end(s, i);
    sim_post(s, back, SIM_NODE_UP)->node = i;
}

static void machines(struct sim *s, const struct sim_trouble *t)
{
    int n = (int)t->a;
    for (int tries = 0; n > 0 && tries < 100; tries++) {
        struct sim_worker *w = &s->workers[(int)(sim_random(s) * s->nworkers)];
        double until = s->now + t->b;
        if (w->gone || s->now < w->up_at || s->now < w->hangs || s->now < w->cut)
            continue;
        n--;
        if (strcmp(t->verb, "hang") == 0)
            w->hangs = until;
        else if (strcmp(t->verb, "deaf") == 0)
            w->inbound_partition = until;
        else if (strcmp(t->verb, "mute") == 0)
            w->outbound_partition = until;
        else if (strcmp(t->verb, "die") == 0)
            sim_worker_gone(s, w);
        else {
            w->cut = until;
            w->holds = strcmp(t->verb, "hold") == 0;
        }
        sim_trace(s, "%s %s until %.1f", w->id, t->verb, until);
    }
}

/* Jobs that run and have long to go are called off at once. */
static void cancel_some(struct sim *s, int n)
{
    for (int i = 0; i < s->njobs && n > 0; i++) {
        struct sim_job *j = &s->jobs[i];
        if (j->accepted_at <= 0 || j->done_at > 0 || j->asked_cancel > 0 || j->on == 0)
            continue;
        j->cancel_at = s->now;
        ask_node(s, i, some_node(s), SIM_CANCEL);
        n--;
    }
}

static void trouble(struct sim *s, const struct sim_plan *p, const struct sim_trouble *t)
{
    double until = s->now + t->a;
    sim_trace(s, "trouble: %s %s %.2f %.2f", t->verb, t->who, t->a, t->b);
    if (strcmp(t->verb, "outage") == 0)
        s->outage = until;
    else if (strcmp(t->verb, "slow") == 0)
        s->slow = until;
    else if (strcmp(t->verb, "refuse") == 0)
        s->refuses[who_is(s, t->who)] = until;
    else if (strcmp(t->verb, "stall") == 0)
        s->nodes[who_is(s, t->who)].stalled = until;
    else if (strcmp(t->verb, "senders") == 0)
        s->nodes[who_is(s, t->who)].senders_stalled = until;
    else if (strcmp(t->verb, "blind") == 0)
        s->blind[who_is(s, t->who)] = until;
    else if (strcmp(t->verb, "peers") == 0)
        s->peers_cut[who_is(s, t->who)] = until;
    else if (strcmp(t->verb, "alone") == 0) {
        int i = who_is(s, t->who);
        s->peers_cut[i] = s->refuses[i] = until;
    } else if (strcmp(t->verb, "zones") == 0)
        s->zones_cut = until;
    else if (strcmp(t->verb, "held") == 0)
        s->held_up = until;
    else if (strcmp(t->verb, "late") == 0) {
        s->late_share = t->a;
        s->late_until = s->now + t->b;
    } else if (strcmp(t->verb, "lost") == 0) {
        s->lost_share = t->a;
        s->lost_until = s->now + t->b;
    } else if (strcmp(t->verb, "copies") == 0 || strcmp(t->verb, "next") == 0) {
        s->copies_share = t->a;
        s->copies_until = s->now + t->b;
        s->copies_for_next = *t->verb == 'n';
    } else if (strcmp(t->verb, "crash") == 0)
        crash(s, who_is(s, t->who), t->a);
    else if (strcmp(t->verb, "all") == 0) {
        for (int i = 0; i < SIM_NODES; i++)
            crash(s, i, t->a * sim_between(s, 0.7, 1.3));
    } else if (strcmp(t->verb, "cancel") == 0)
        cancel_some(s, (int)t->a);
    else if (strcmp(t->verb, "burst") == 0) {
        for (int i = 0; i < (int)t->a; i++)
            new_job(s, p, sim_between(s, 0, 5));
    } else if (strcmp(t->verb, "drain") == 0)
        sim_drain_ask(s, (uint32_t)t->a, t->b > 0);
    else if (strcmp(t->verb, "pause") == 0)
        sim_drain_change(s, BD_DRAIN_PAUSED);
    else if (strcmp(t->verb, "resume") == 0)
        sim_drain_change(s, BD_DRAIN_ACTIVE);
    else if (strcmp(t->verb, "calloff") == 0)
        sim_drain_change(s, BD_DRAIN_CALLED_OFF);
    else
        machines(s, t);
}

/* The state service's leases have their full time again after an outage. */
static void outage_over(struct sim *s)
{
    for (int i = 0; i < s->ngrants; i++)
        s->grant[i].ends = s->now + s->grant[i].ttl;
}

/* ---- a day ---- */

/* Two zones of two controllers, or one that is alone in its zone. */
static const char *zone_of(const struct sim *s, int node)
{
    return (s->seed / 2 % 2 ? node == 3 : node % 2) ? "b" : "a";
}

static void settings(struct sim *s, int i)
{
    struct bd_settings *settings = &s->nodes[i].settings;
    small_settings(settings);
    snprintf(settings->node, sizeof settings->node, "node-%d", i);
    settings->lease = bd_secs(s->lease_s);
    settings->cancel = bd_secs(s->cancel_s);
    settings->heartbeat_interval = bd_secs(s->report_s);
    settings->leader_ttl = bd_secs(2);
    settings->clock_error = bd_secs(0.005);
    settings->list_lag = bd_secs(3);
    settings->ram_mb = 64;
    settings->max_sockets = 500;
    settings->cpu = 0.5;
    settings->nodes = SIM_NODES;
    settings->nzones = 2;
    snprintf(settings->zones[0], BD_NAME, "a");
    snprintf(settings->zones[1], BD_NAME, "b");
    snprintf(settings->zone, BD_NAME, "%s", zone_of(s, i));
    for (int k = 0; k < SIM_NODES; k++) {
        if (k == i)
            continue;
        struct bd_peer *q = &settings->peers[settings->npeers++];
        snprintf(q->name, sizeof q->name, "node-%d", k);
        snprintf(q->zone, sizeof q->zone, "%s", zone_of(s, k));
    }
    settings->nteams = 2;
    for (int k = 0; k < 2; k++) {
        snprintf(settings->teams[k].name, BD_NAME, "%s", k ? "b" : "a");
        settings->teams[k].cpus = 4;
        settings->teams[k].cpus_quota = s->team_max[k];
    }
    if (s->draining)
        settings->draining = sim_drain_rules(s);
    s->nodes[i].log = (struct bd_log){BD_LOG_ERROR, s->nodes[i].settings.node};
}

static void begin(struct sim *s, const struct sim_plan *p, unsigned long seed)
{
    memset(s, 0, sizeof *s);
    s->seed = seed;
    s->rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!s->rng)
        abort();
    gsl_rng_set(s->rng, seed * 7919 + 1);
    /* the two operators' */
    s->lease_s = seed % 2 ? 10 : 32;
    s->cancel_s = seed % 2 ? 35 : 52;
    s->report_s = seed % 2 ? 2 : 3;
    s->fetch_s = p->fetch;
    s->team_max[0] = 20.0 * p->machines / SIM_PLAN_MACHINES;
    s->team_max[1] = 16.0 * p->machines / SIM_PLAN_MACHINES;
    s->machines_most = p->machines * 3 / 2;
    s->draining = p->drains != 0;
    drain_check_start(&s->check, p->budgets);
    sim_store_start(s);
    for (int i = 0; i < SIM_NODES; i++) {
        settings(s, i);
        sim_node_start(s, i);
    }
    for (int i = 0; i < p->machines; i++)
        (void)sim_provision(s, i % 2 ? "b" : "a", 0.1);
    for (int i = 0; i < p->n; i++) {
        const struct sim_trouble *t = &p->t[i];
        bool shared = strcmp(t->verb, "late") == 0 || strcmp(t->verb, "lost") == 0 ||
                      strcmp(t->verb, "copies") == 0 || strcmp(t->verb, "next") == 0;
        double lasts = shared || t->b > 0 ? t->b : t->a;
        if (strcmp(t->verb, "cancel") == 0 || strcmp(t->verb, "burst") == 0)
            lasts = 5;
        bool asks = strcmp(t->verb, "drain") == 0;
        if (asks)
            lasts = 1;
        if (strcmp(t->verb, "copies") == 0)
            lasts += 25; /* the last copy's way */
        s->trouble_ends = fmax(s->trouble_ends, t->at + lasts);
        sim_post(s, t->at, SIM_FAULT)->who = i;
    }
    s->ends = s->trouble_ends + QUIET_S;
    for (int i = 0; i < p->jobs; i++)
        new_job(s, p, i < 6 ? sim_between(s, 2, 6) : sim_between(s, 3, s->trouble_ends));
}

/* What comes to a process that stands still waits there. */
static bool waits_there(struct sim *s, struct sim_event *e)
{
    int node = -1;
    switch (e->kind) {
    case SIM_STORE_BACK:
    case SIM_STORE_TIMEOUT:
        node = e->call->node;
        break;
    case SIM_FRAME:
        node = e->who;
        break;
    case SIM_READER:
    case SIM_ELECTION:
    case SIM_NODE_TICK:
    case SIM_HEARTBEAT_IN:
    case SIM_HEARTBEAT_COPY:
    case SIM_COMMAND_SEND:
    case SIM_COMMAND_BACK:
    case SIM_COMMAND_TIMEOUT:
    case SIM_CLOUD_BACK:
    case SIM_USER_IN:
        node = e->node;
        break;
    default:
        return false;
    }
    double left = s->nodes[node].stalled - s->now;
    if (left <= 0)
        return false;
    (void)sim_post_again(s, e, left + 0.001);
    return true;
}

static void event(struct sim *s, const struct sim_plan *p, struct sim_event *e)
{
    if (waits_there(s, e))
        return;
    switch (e->kind) {
    case SIM_STORE_RUN:
    case SIM_STORE_BACK:
    case SIM_STORE_TIMEOUT:
        sim_store_event(s, e);
        break;
    case SIM_COMMAND_IN:
    case SIM_HEARTBEAT_BACK:
    case SIM_HEARTBEAT_TIMEOUT:
        sim_worker_event(s, e);
        break;
    case SIM_USER_WAKE:
        user_wake(s, e);
        break;
    case SIM_USER_BACK:
        user_back(s, e);
        break;
    case SIM_FAULT:
        trouble(s, p, &p->t[e->who]);
        break;
    default:
        sim_node_event(s, e);
    }
    s->events++;
}

/* Once the faults are over none waits while a machine that fits has room and its team may. */
static void waits(struct sim *s, struct sim_job *j)
{
    uint32_t left = 0, missing = 0;
    for (uint32_t i = 0; i < j->tasks; i++) {
        left += !j->done[i];
        missing += !j->done[i] && j->machine[i] < 0;
    }
    double parent = j->cpus * (j->kind == BD_JOB_ARRAY ? 1 : missing);
    bool could = j->accepted_at > 0 && j->asked_cancel <= 0 && left > 0 && missing > 0 &&
                 s->now > s->trouble_ends &&
                 s->team_use[j->team] + parent <= s->team_max[j->team] + 1e-6;
    if (!could)
        j->room_since = 0;
    else if (j->room_since <= 0)
        j->room_since = s->now;
    else if (s->now - j->room_since > WAIT_S)
        sim_violation(s, "waits: %s has room for %.0f s", j->id, WAIT_S);
}

static bool all_served(const struct sim *s)
{
    for (int i = 0; i < s->njobs; i++) {
        const struct sim_job *j = &s->jobs[i];
        if (!j->odd && j->asked_cancel <= 0 &&
            (j->kind == BD_JOB_SERVICE ? j->on < (int)j->tasks : j->done_at <= 0))
            return false;
    }
    return sim_drains_over(s);
}

static void rules(struct sim *s)
{
    for (int i = 0; i < s->njobs; i++) {
        struct sim_job *j = &s->jobs[i];
        waits(s, j);
        if (j->cancelled_at > 0 && j->on > 0 && s->now > j->cancelled_at + s->cancel_s)
            sim_violation(s, "ran_cancelled: %s is still on %d machines", j->id, j->on);
    }
}

static void at_the_end(struct sim *s)
{
    for (int i = 0; i < s->njobs; i++) {
        struct sim_job *j = &s->jobs[i];
        if (j->odd || j->asked_cancel > 0)
            continue;
        if (j->accepted_at <= 0)
            sim_violation(s, "not accepted: %s", j->id);
        else if (j->kind == BD_JOB_SERVICE && j->on < (int)j->tasks)
            sim_violation(s, "waits: %s has %d of %u replicas", j->id, j->on, j->tasks);
        else if (j->kind != BD_JOB_SERVICE && j->done_at <= 0)
            sim_violation(s, "not served: %s (%u tasks of %.0f, on %d)", j->id, j->tasks, j->cpus,
                          j->on);
    }
    if (!sim_drains_over(s))
        sim_violation(s, "a drain is not over");
}

static void finish(struct sim *s)
{
    for (int i = 0; i < SIM_NODES; i++)
        sim_node_end(s, i);
    for (int i = 0; i < SIM_NODES; i++)
        free(s->nodes[i].settings.draining);
    while (s->queue) {
        struct sim_event *e = s->queue;
        s->queue = e->next;
        if (e->kind == SIM_STORE_BACK)
            json_decref(e->data);
        if (e->kind == SIM_FRAME)
            free(e->data);
        if (e->kind == SIM_COMMAND_SEND || e->kind == SIM_COMMAND_IN ||
            e->kind == SIM_COMMAND_BACK || e->kind == SIM_COMMAND_TIMEOUT) {
            struct sim_direct_command *t = e->data;
            if (--t->references == 0)
                free(t);
        }
        if (e->call)
            sim_call_drop(e->call);
        free(e->text);
        free(e);
    }
    while (s->requests) {
        struct sim_request *q = s->requests;
        s->requests = q->next;
        free(q);
    }
    for (int i = 0; i < s->nkept; i++)
        free(s->kept[i]);
    sim_store_free(s);
    gsl_rng_free(s->rng);
}

static int play_with(const struct sim_plan *p, unsigned long seed, bool loud, bool debug,
                     struct behaviour_digest *digest)
{
    struct sim *s = malloc(sizeof *s);
    bool out = false;
    if (!s)
        abort();
    begin(s, p, seed);
    s->loud = loud;
    s->digest = digest;
    for (int i = 0; debug && i < SIM_NODES; i++)
        s->nodes[i].log.level = BD_LOG_DEBUG;
    while (s->broken <= 5 &&
           (s->now < s->ends || (s->now < s->ends + OVERTIME_MAX_S && !all_served(s)))) {
        s->now += STEP_S;
        if (out && s->now >= s->outage)
            outage_over(s);
        out = s->now < s->outage;
        sim_store_tick(s);
        while (s->queue && s->queue->at <= s->now) {
            struct sim_event *e = s->queue;
            s->queue = e->next;
            event(s, p, e);
            free(e->text);
            free(e);
        }
        sim_workers_tick(s);
        if (s->now > s->trouble_ends && s->now < s->trouble_ends + 2 * STEP_S)
            sim_drains_resume(s);
        rules(s);
    }
    if (s->broken == 0)
        at_the_end(s);
    int broken = s->broken;
    if (s->draining)
        printf("%d drains, %u stops of replicas, at most %u of %u and %u of %u down; ", s->ndrains,
               s->check.stops, s->check.most[0], s->check.budgets[0], s->check.most[1],
               s->check.budgets[1]);
    printf("%s seed %lu: %d jobs, %d starts, %d terms, %llu events, %d started long after a "
           "cancellation\n",
           broken ? "FAIL" : "ok  ", seed, s->njobs, s->starts, s->terms,
           (unsigned long long)s->events, s->late_starts);
    finish(s);
    free(s);
    return broken;
}

static int play(const struct sim_plan *p, unsigned long seed, bool loud, bool debug)
{
    return play_with(p, seed, loud, debug, NULL);
}

static const struct kind {
    const char *name;
    void (*draw)(struct sim_plan *, unsigned long seed);
} kinds[] = {{"random", sim_plan_drawn}, {"drains", sim_plan_drains}, {"delays", sim_plan_delays}};

static const struct kind *kind_named(const char *name)
{
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
        if (strcmp(kinds[i].name, name) == 0)
            return &kinds[i];
    return NULL;
}

/* The plan of a drawn kind of day or of a file. False: there is no such. */
static bool plan_named(struct sim_plan *p, const char *name, unsigned long seed)
{
    const struct kind *kind = kind_named(name);
    if (kind)
        kind->draw(p, seed);
    return kind || sim_plan_read(p, name);
}

/* digest KIND|FILE FROM N: a line a day with the digest of its steps.
 * steps KIND|FILE SEED: the steps of one day. */
static int play_digests(int argc, char **argv, struct sim_plan *p)
{
    bool traced = strcmp(argv[1], "steps") == 0;
    unsigned long from = strtoul(argv[3], NULL, 10);
    unsigned long n = !traced && argc > 4 ? strtoul(argv[4], NULL, 10) : 1;
    for (unsigned long seed = from; seed < from + n; seed++) {
        struct behaviour_digest digest;
        if (!plan_named(p, argv[2], seed))
            return 2;
        behaviour_digest_start(&digest, traced ? stdout : NULL);
        (void)play_with(p, seed, false, false, &digest);
        printf("digest %016llx of %llu steps, seed %lu\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps, seed);
    }
    return 0;
}

int main(int argc, char **argv)
{
    static struct sim_plan p;
    if (argc >= 4 && (strcmp(argv[1], "digest") == 0 || strcmp(argv[1], "steps") == 0))
        return play_digests(argc, argv, &p);
    int failed = 0;
    (void)setvbuf(stdout, NULL, _IONBF, 0); /* in step with the log */
    const struct kind *kind = argc >= 4 ? kind_named(argv[1]) : NULL;
    if (argc >= 4 && strcmp(argv[1], "seed") == 0)
        kind = kind_named(argv[2]);
    if (argc == 2 && strcmp(argv[1], "checker") == 0)
        return drain_check_works() ? 0 : 1;
    if (argc == 4 && kind && strcmp(argv[1], "seed") != 0) {
        unsigned long from = strtoul(argv[2], NULL, 10), n = strtoul(argv[3], NULL, 10);
        for (unsigned long i = from; i < from + n; i++) {
            kind->draw(&p, i);
            failed += play(&p, i, false, false) != 0;
        }
    } else if (argc >= 4 && strcmp(argv[1], "seed") == 0) {
        unsigned long seed = strtoul(argv[3], NULL, 10);
        if (kind)
            kind->draw(&p, seed);
        else if (!sim_plan_read(&p, argv[2]))
            return 2;
        failed += play(&p, seed, true, argc > 4) != 0;
    } else if (argc >= 2 && sim_plan_read(&p, argv[1])) {
        unsigned long n = argc > 2 ? strtoul(argv[2], NULL, 10) : 3;
        for (unsigned long i = 1; i <= n; i++)
            failed += play(&p, i, false, false) != 0;
    } else {
        return 2;
    }
    return failed ? 1 : 0;
}
