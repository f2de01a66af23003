/* Random graphs of jobs that need others, against a plain model: two controllers' cores over a
 * model of the state service and one machine, with submissions, cancellations, polls, lost answers
 * and crashes of either controller. Fixed seeds. Asserted: no task starts before all that its job
 * needs are done by the records; a job is called cancelled exactly when it or one before it was
 * cancelled, on each node, and never called pending after that; every job that is not cancelled
 * ends; every record of a cancelled one says so in the end.
 *
 *   graphs SEEDS */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "numbers.h"
#include "test_settings.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOBS 160
#define STEPS 900
#define NEEDS 5
#define NODES 2
#define TASKS 600

enum asked { ASK_SUBMIT, ASK_GET, ASK_WITHDRAW };

struct req { /* begins as the core expects of a request */
    struct bd_remote remote;
    struct world *w;
    enum asked what;
    int job;
};

struct key {
    char name[96];
    json_t *value;
    uint64_t revision;
};

struct job {
    bool tried, accepted, told_cancelled;
    int parents[NEEDS], nprerequisites;
};

struct task {
    char name[64];
    uint64_t attempt;
    bool used, ended, stopped;
};

struct world {
    struct bd_settings settings[NODES];
    struct bd_log log;
    struct bd_core *c[NODES];
    struct bd_effect *commit[NODES]; /* on its way */
    gsl_rng *rng;
    struct key keys[4 * JOBS + 4000];
    int nkeys, leader, faults, ends, cancels;
    uint64_t store_revision, seen[NODES], seq, fencing_token;
    double now;
    struct job jobs[JOBS];
    struct task tasks[TASKS];
    unsigned long seed;
};

static void fault(struct world *w, const char *what, int job)
{
    fprintf(stderr, "seed %lu: %s: job-%d\n", w->seed, what, job);
    w->faults++;
}

static unsigned dice(struct world *w, unsigned n)
{
    return (unsigned)gsl_rng_uniform_int(w->rng, n);
}

/* ---- the state service ---- */

static struct key *find(struct world *w, const char *name)
{
    for (int i = 0; i < w->nkeys; i++)
        if (strcmp(w->keys[i].name, name) == 0)
            return &w->keys[i];
    return NULL;
}

static void set_key(struct world *w, const char *name, json_t *value)
{
    struct key *k = find(w, name);
    if (!k) {
        if (w->nkeys == (int)(sizeof w->keys / sizeof *w->keys))
            abort();
        k = &w->keys[w->nkeys++];
        snprintf(k->name, sizeof k->name, "%s", name);
        k->value = NULL;
    }
    json_incref(value);
    json_decref(k->value);
    k->value = value;
    k->revision = w->store_revision;
}

static void drop(struct world *w, const char *name)
{
    struct key *k = find(w, name);
    if (!k)
        return;
    json_decref(k->value);
    *k = w->keys[--w->nkeys];
}

/* 200, or 409 with the keys that failed. */
static long apply(struct world *w, const char *body, json_t **failed)
{
    json_t *o = json_loads(body, 0, NULL), *v;
    size_t i;
    *failed = json_array();
    json_array_foreach(json_object_get(o, "if"), i, v)
    {
        const char *name = json_string_value(json_object_get(v, "k"));
        struct key *k = find(w, name);
        if ((k ? k->revision : 0) != (uint64_t)json_integer_value(json_object_get(v, "mark")))
            json_array_append_new(*failed, json_string(name));
    }
    bool ok = json_array_size(*failed) == 0;
    w->store_revision += ok;
    json_array_foreach(ok ? json_object_get(o, "apply") : NULL, i, v)
    {
        const char *name = json_string_value(json_object_get(v, "set"));
        if (name)
            set_key(w, name, json_object_get(v, "value"));
        else
            drop(w, json_string_value(json_object_get(v, "drop")));
    }
    json_decref(o);
    return ok ? 200 : 409;
}

static bool record_says(struct world *w, const char *id, const char *state)
{
    char key[96];
    snprintf(key, sizeof key, "j/%s", id);
    struct key *k = find(w, key);
    const char *s = k ? json_string_value(json_object_get(k->value, "s")) : NULL;
    return s && strcmp(s, state) == 0;
}

/* ---- the model ---- */

static bool is_cancelled(struct world *w, int n)
{
    bool cancelled[JOBS] = {false};
    char id[32];
    for (int i = 0; i <= n; i++) { /* a job's needs have lower numbers */
        snprintf(id, sizeof id, "job-%d", i);
        cancelled[i] = record_says(w, id, "cancelled");
        for (int k = 0; k < w->jobs[i].nprerequisites; k++)
            cancelled[i] = cancelled[i] || cancelled[w->jobs[i].parents[k]];
    }
    return cancelled[n];
}

static void check_start(struct world *w, const char *task)
{
    int n = number_of(task + strlen("job-"));
    char id[32];
    for (int k = 0; k < w->jobs[n].nprerequisites; k++) {
        snprintf(id, sizeof id, "job-%d", w->jobs[n].parents[k]);
        if (!record_says(w, id, "done"))
            fault(w, "started too early", n);
    }
}

/* ---- the machine ---- */

static void order(struct world *w, json_t *o)
{
    const char *verb = json_string_value(json_object_get(o, "verb"));
    const char *name = json_string_value(json_object_get(o, "chore"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, "try"));
    struct task *t = NULL, *empty = NULL;
    for (int i = 0; i < TASKS; i++) {
        if (w->tasks[i].used && strcmp(w->tasks[i].name, name) == 0 &&
            w->tasks[i].attempt == attempt)
            t = &w->tasks[i];
        if (!w->tasks[i].used)
            empty = &w->tasks[i];
    }
    if (strcmp(verb, "launch") == 0 && !t && empty) {
        check_start(w, name);
        *empty = (struct task){.attempt = attempt, .used = true};
        snprintf(empty->name, sizeof empty->name, "%s", name);
    } else if (t && strcmp(verb, "halt") == 0 && !t->ended) {
        t->ended = t->stopped = true;
    } else if (t && strcmp(verb, "forget") == 0 && t->ended) {
        t->used = false;
    }
}

static void commands(struct world *w, const char *body)
{
    json_t *o = json_loads(body, 0, NULL), *v;
    size_t i;
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(o, "seal"));
    if (fencing_token >= w->fencing_token) {
        w->fencing_token = fencing_token;
        json_array_foreach(json_object_get(o, "bids"), i, v)
        {
            order(w, v);
        }
    }
    json_decref(o);
}

static void fill_report(struct world *w, struct bd_heartbeat *r, struct bd_reported_task *seen)
{
    memset(r, 0, sizeof *r);
    snprintf(r->machine, sizeof r->machine, "vm-1");
    snprintf(r->addr, sizeof r->addr, "addr");
    snprintf(r->type, sizeof r->type, "big");
    snprintf(r->zone, sizeof r->zone, "a");
    r->incarnation = 1;
    r->seq = ++w->seq;
    r->fencing_token = w->fencing_token;
    r->notice = -1;
    r->tasks = seen;
    for (int i = 0; i < TASKS; i++) {
        struct task *t = &w->tasks[i];
        if (!t->used)
            continue;
        struct bd_reported_task *s = &seen[r->n++];
        (void)bd_wire_task_name(t->name, s->job, &s->task);
        s->attempt = t->attempt;
        s->execution = t->ended ? BD_EXECUTION_EXITED : BD_EXECUTION_RUNNING;
        s->exit_reason = !t->ended ? BD_EXIT_NONE : t->stopped ? BD_EXIT_STOPPED : BD_EXIT_DONE;
    }
}

static void some_end(struct world *w, unsigned one_in)
{
    for (int i = 0; i < TASKS; i++)
        if (w->tasks[i].used && !w->tasks[i].ended && dice(w, one_in) == 0)
            w->tasks[i].ended = true;
}

/* ---- effects ---- */

static void answered(struct world *w, struct req *q, int status, const char *body)
{
    struct job *j = &w->jobs[q->job];
    bool cancelled = body && strstr(body, "\"cancelled\"");
    if (status == 200 || status == 201) {
        if (q->what == ASK_SUBMIT)
            j->accepted = true;
        if (cancelled && !is_cancelled(w, q->job))
            fault(w, "called cancelled without reason", q->job);
        if (!cancelled && j->told_cancelled)
            fault(w, "called otherwise after cancelled", q->job);
        if (!cancelled && q->what == ASK_GET && is_cancelled(w, q->job))
            fault(w, "not called cancelled", q->job);
        j->told_cancelled = j->told_cancelled || cancelled;
        w->cancels += cancelled;
    } else if (status != 503) {
        if (q->what != ASK_SUBMIT || status != 422)
            fault(w, "refused", q->job);
    }
    free(q);
}

static void refresh(struct world *w, int n, bool ok);

static void direct(struct world *w, int n, struct bd_effect *e)
{
    struct bd_heartbeat r;
    struct bd_reported_task *seen = calloc(TASKS, sizeof *seen);
    bool heard = dice(w, 12) != 0, told = heard && dice(w, 12) != 0;
    if (heard)
        commands(w, e->body);
    if (told)
        fill_report(w, &r, seen);
    bd_worker_direct_command_completed(w->c[n], e->machine, e->fencing_token, e->launch,
                                       told ? 200 : 0, told ? &r : NULL);
    free(seen);
}

static void user_commit(struct world *w, int n, struct bd_effect *e)
{
    json_t *failed = NULL;
    long status = dice(w, 15) == 0 ? 0 : 1; /* 0: never came there */
    if (status) {
        char *copy = strdup(e->body), *rest = NULL;
        status = 200;
        for (char *line = strtok_r(copy, "\n", &rest); line && status == 200;
             line = strtok_r(NULL, "\n", &rest)) {
            json_decref(failed);
            status = apply(w, line, &failed);
        }
        free(copy);
        if (dice(w, 15) == 0) /* done, but the answer is lost */
            status = 0;
    }
    json_decref(failed);
    bd_user_txn_completed(w->c[n], e->request, e->key, e->body, e->status, status,
                          w->store_revision);
}

static void perform(struct world *w, int n)
{
    struct bd_effect *e = bd_effects_take(w->c[n]);
    while (e) {
        struct bd_effect *next = e->next;
        if (e->kind == BD_EFFECT_REPLY && e->request)
            answered(w, e->request, e->status, e->body);
        else if (e->kind == BD_EFFECT_USER_TXN)
            user_commit(w, n, e);
        else if (e->kind == BD_EFFECT_DIRECT_COMMAND)
            direct(w, n, e);
        else if (e->kind == BD_EFFECT_READ_BARRIER)
            refresh(w, n, dice(w, 10) != 0);
        else if (e->kind == BD_EFFECT_REPLY && e->status == 200)
            commands(w, e->body);
        if (e->kind == BD_EFFECT_LEADER_TXN) {
            w->commit[n] = e;
        } else {
            bd_effect_free(e);
        }
        e = next ? next : bd_effects_take(w->c[n]);
    }
}

/* ---- steps ---- */

/* What changed since the node's last refresh; sometimes the look fails. */
static void refresh(struct world *w, int n, bool ok)
{
    uint64_t after = w->seen[n];
    for (int i = 0; ok && i < w->nkeys; i++) {
        struct bd_change ch = {w->keys[i].name, w->keys[i].value, w->keys[i].revision};
        if (ch.revision > after && strncmp(ch.key, "j/", 2) == 0)
            bd_replica_apply(w->c[n], &ch);
    }
    if (ok)
        w->seen[n] = w->store_revision;
    bd_replica_refreshed(w->c[n], after, w->store_revision, w->c[n]->now,
                         w->c[n]->replica.barrier_out, ok);
}

static void times(struct world *w)
{
    for (int n = 0; n < NODES; n++)
        if (w->c[n])
            bd_core_set_clock(w->c[n], bd_secs(100 + w->now), 1000 + w->now);
}

static void settle(struct world *w)
{
    int n = w->leader;
    struct bd_effect *e = w->commit[n];
    json_t *failed = NULL;
    if (!e)
        return;
    w->commit[n] = NULL;
    long status = apply(w, e->body, &failed);
    bd_leader_txn_completed(w->c[n], status == 200 ? BD_TXN_COMMITTED : BD_TXN_CONFLICT,
                            w->store_revision, failed);
    json_decref(failed);
    bd_effect_free(e);
}

/* A new process: it reads the records in the order of a list, in any order that keys may have. */
static void boot(struct world *w, int n)
{
    static const double cpus = 10000;
    struct bd_type_text t = {.cpus = cpus, .mem = cpus, .price = 1, .spot_price = 1, .boot = 5};
    snprintf(t.label, sizeof t.label, "big");
    snprintf(t.zones[t.nzones++], BD_LABEL, "a");
    t.fetch = t.cache_gb = 100;
    w->c[n] = bd_core_new(&w->settings[n], &w->log);
    if (!w->c[n])
        abort();
    times(w);
    bd_inventory_types(w->c[n], &t, 1);
    unsigned from = w->nkeys ? dice(w, (unsigned)w->nkeys) : 0;
    for (int i = 0; i < w->nkeys; i++) {
        struct key *k = &w->keys[((unsigned)i + from) % (unsigned)w->nkeys];
        struct bd_change ch = {k->name, k->value, k->revision};
        if (strncmp(ch.key, "j/", 2) == 0)
            bd_replica_apply(w->c[n], &ch);
    }
    w->seen[n] = w->store_revision;
    bd_replica_listed(w->c[n], w->store_revision, w->c[n]->now);
}

static json_t *listed(struct world *w, const char *prefix)
{
    json_t *a = json_array();
    for (int i = 0; i < w->nkeys; i++)
        if (strncmp(w->keys[i].name, prefix, strlen(prefix)) == 0)
            json_array_append_new(a, json_pack("{s:s,s:O,s:I}", "k", w->keys[i].name, "value",
                                               w->keys[i].value, "mark",
                                               (json_int_t)w->keys[i].revision));
    return a;
}

static void lead(struct world *w, int n)
{
    json_t *value = json_pack("{s:i}", "node", n);
    struct key *wit = find(w, "w");
    w->leader = n;
    w->store_revision++;
    set_key(w, "leader", value);
    json_decref(value);
    struct bd_acquisition g = {
        .term = w->store_revision, .grant = 7, .nonce = "n", .renewed = w->c[n]->now};
    g.sequence_revision = wit ? wit->revision : 0;
    g.receipts = listed(w, "r/");
    g.intents = listed(w, "i/");
    refresh(w, n, true); /* the replica is at least as new as the term */
    bd_core_leadership_acquired(w->c[n], &g);
    json_decref(g.receipts);
    json_decref(g.intents);
}

static void forget_node(struct world *w, int n)
{
    if (w->commit[n])
        bd_effect_free(w->commit[n]);
    w->commit[n] = NULL;
    bd_core_free(w->c[n]);
    w->c[n] = NULL;
}

static void crash(struct world *w, int n)
{
    json_t *failed = NULL;
    if (w->commit[n] && dice(w, 2)) { /* it was applied all the same */
        (void)apply(w, w->commit[n]->body, &failed);
        json_decref(failed);
    }
    forget_node(w, n);
    boot(w, n);
    if (n == w->leader)
        lead(w, (int)dice(w, NODES));
}

static struct req *ask(struct world *w, enum asked what, int job)
{
    struct req *q = calloc(1, sizeof *q);
    q->w = w;
    q->what = what;
    q->job = job;
    return q;
}

static void submit(struct world *w, int n)
{
    char body[1024], parents[256] = "", id[32];
    struct job *j = &w->jobs[n];
    for (unsigned k = dice(w, NEEDS + 1); !j->tried && n > 0 && k > 0; k--) {
        /* chains, and wide ones: half of them near */
        int x =
            dice(w, 2) ? n - 1 - (int)dice(w, n < 3 ? (unsigned)n : 3) : (int)dice(w, (unsigned)n);
        if (w->jobs[x].accepted)
            j->parents[j->nprerequisites++] = x;
    }
    j->tried = true;
    for (int k = 0; k < j->nprerequisites; k++) {
        snprintf(id, sizeof id, "%s\"job-%d\"", k ? "," : "", j->parents[k]);
        strcat(parents, id);
    }
    snprintf(
        body, sizeof body,
        "{\"id\":\"job-%d\",\"kin\":\"k\",\"household\":\"a\",\"shape\":\"%s\",\"rank\":"
        "\"standard\",\"chores\":%d,\"vcpus\":1,\"accelerators\":0,\"memGb\":1,\"seed\":\"i\","
        "\"imageGb\":0,\"breeds\":null,\"glade\":null,\"together\":false,\"scatter\":false,"
        "\"windfall\":false,\"guessS\":1,\"markS\":0,\"stowS\":0,\"dueS\":null,\"awaits\":[%s]}",
        n, n % 3 ? "sweep" : "gang", 1 + n % 3, parents);
    bd_user_submit(w->c[dice(w, NODES)], ask(w, ASK_SUBMIT, n), body, strlen(body));
}

static int pick(struct world *w)
{
    int n = (int)dice(w, JOBS);
    return w->jobs[n].accepted ? n : -1;
}

static void user_step(struct world *w, int *next, bool may_cancel)
{
    char id[32];
    int n = pick(w), node = (int)dice(w, NODES);
    if (*next < JOBS && dice(w, 3) == 0) {
        submit(w, *next);
        for (int k = 0; k < NODES; k++)
            perform(w, k);
        *next += w->jobs[*next].accepted;
        return;
    }
    if (n < 0)
        return;
    snprintf(id, sizeof id, "job-%d", n);
    if (may_cancel && dice(w, 14) == 0)
        bd_user_cancel(w->c[node], ask(w, ASK_WITHDRAW, n), id);
    else
        bd_user_status(w->c[node], ask(w, ASK_GET, n), id);
}

static void machine_step(struct world *w)
{
    struct bd_heartbeat r;
    struct bd_reported_task *seen = calloc(TASKS, sizeof *seen);
    some_end(w, 4);
    fill_report(w, &r, seen);
    bd_worker_heartbeat_received(w->c[w->leader], NULL, &r, "{}", 2);
    free(seen);
}

static void step(struct world *w, int *next, bool troubles)
{
    w->now += 0.3;
    times(w);
    bd_leadership_renewed(w->c[w->leader], 7, w->c[w->leader]->now);
    user_step(w, next, troubles);
    machine_step(w);
    for (int n = 0; n < NODES; n++)
        refresh(w, n, dice(w, 8) != 0);
    if (dice(w, 3))
        settle(w);
    for (int n = 0; n < NODES; n++) {
        bd_core_tick(w->c[n]);
        perform(w, n);
    }
    /* a crash loses what users asked of the process: they are answered before it here */
    if (troubles && dice(w, 40) == 0) {
        for (int n = 0; n < NODES; n++) {
            refresh(w, n, true);
            perform(w, n);
        }
        crash(w, (int)dice(w, NODES));
    }
}

static void check_end(struct world *w)
{
    char id[32];
    for (int n = 0; n < JOBS; n++) {
        snprintf(id, sizeof id, "job-%d", n);
        if (!w->jobs[n].accepted)
            fault(w, "not accepted", n);
        else if (is_cancelled(w, n) && !record_says(w, id, "cancelled"))
            fault(w, "its record is not cancelled", n);
        else if (!is_cancelled(w, n) && !record_says(w, id, "done"))
            fault(w, "never ended", n);
        w->ends += record_says(w, id, "done");
    }
}

static void settings(struct bd_settings *s, int n)
{
    test_settings_init(s);
    s->kv_value_bytes_max = 600; /* long lists go in parts */
    s->kv_txn_ops_max = 6;
    s->leader_ttl = bd_secs(3);
    snprintf(s->node, sizeof s->node, "node-%d", n);
    s->nteams = 1;
    snprintf(s->teams[0].name, BD_NAME, "a");
}

static int play(unsigned long seed, int *ends, int *cancels)
{
    struct world *w = calloc(1, sizeof *w);
    int next = 0;
    if (!w)
        abort();
    w->seed = seed;
    w->log = (struct bd_log){BD_LOG_ERROR, "graphs"};
    w->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(w->rng, seed);
    for (int n = 0; n < NODES; n++)
        settings(&w->settings[n], n);
    w->store_revision = 1;
    for (int n = 0; n < NODES; n++)
        boot(w, n);
    lead(w, 0);
    for (int i = 0; i < STEPS; i++)
        step(w, &next, true);
    for (int i = 0; i < 4 * STEPS && (next < JOBS || i < STEPS); i++)
        step(w, &next, false);
    check_end(w);
    *ends += w->ends;
    *cancels += w->cancels;
    int faults = w->faults;
    for (int n = 0; n < NODES; n++)
        forget_node(w, n);
    for (int i = 0; i < w->nkeys; i++)
        json_decref(w->keys[i].value);
    gsl_rng_free(w->rng);
    free(w);
    return faults;
}

#define MANY 30000

static void record(struct bd_core *c, int n, const char *state, int parents, uint64_t revision)
{
    char key[64], name[32];
    struct bd_record r = {.state = BD_JOB_ACTIVE, .tasks = 1, .at = 1000, .has_spec = true};
    json_t *names = json_array();
    snprintf(key, sizeof key, "j/job-%d", n);
    snprintf(name, sizeof name, "job-%d", parents);
    if (parents >= 0)
        json_array_append_new(names, json_string(name));
    snprintf(r.spec.job_class, BD_LABEL, "k");
    snprintf(r.spec.team, BD_LABEL, "a");
    snprintf(r.spec.image, BD_LABEL, "i");
    r.spec.ntypes = -1;
    r.spec.deadline_s = -1;
    r.spec.cpus = 1;
    r.spec.tasks = 1;
    r.spec.priority = n == MANY - 1 ? BD_PRIORITY_HIGH : BD_PRIORITY_IDLE;
    r.parents.names = names;
    r.state = strcmp(state, "cancelled") == 0 ? BD_JOB_CANCELLED : BD_JOB_ACTIVE;
    json_t *v = bd_wire_record(&r);
    struct bd_change ch = {key, v, revision};
    bd_replica_apply(c, &ch);
    json_decref(v);
    json_decref(names);
}

static struct bd_job *job_of(struct bd_core *c, int n)
{
    struct bd_job *j = NULL;
    char id[32];
    snprintf(id, sizeof id, "job-%d", n);
    HASH_FIND_STR(c->jobs, id, j);
    return j;
}

/* A long chain, read from its end, with a wide crowd behind its first: ranks flow back along all of
 * it, and one cancellation cancels it all, without a recursion and without work in the square. */
static int large(void)
{
    struct bd_settings s = {0};
    struct bd_log log = {BD_LOG_ERROR, "graphs"};
    int faults = 0;
    settings(&s, 0);
    struct bd_core *c = bd_core_new(&s, &log);
    bd_core_set_clock(c, bd_secs(100), 1000);
    for (int n = MANY - 1; n >= 0; n--)
        record(c, n, "live", n - 1, 1);
    for (int n = 1; n < MANY; n++)
        record(c, MANY + n, "live", 0, 1);
    bd_dag_update_priorities(c);
    faults += job_of(c, 0)->priority != BD_PRIORITY_HIGH || job_of(c, 1)->nopen_parents != 1;
    record(c, 0, "cancelled", -1, 2);
    for (int n = 0; n < 2 * MANY; n++)
        faults += n != MANY && job_of(c, n)->state != BD_JOB_CANCELLED;
    faults += c->graph.parents != NULL || c->graph.ncancelled_by_parent != 2 * MANY - 2;
    bd_core_free(c);
    if (faults)
        fprintf(stderr, "a large graph: %d faults\n", faults);
    return faults;
}

int main(int argc, char **argv)
{
    int faults = 0, ends = 0, cancels = 0, seeds = argc > 1 ? number_of(argv[1]) : 0;
    for (int s = 1; s <= seeds; s++)
        faults += play((unsigned long)s, &ends, &cancels);
    faults += large();
    printf("%d seeds: %d jobs done, %d times told cancelled, %d faults\n", seeds, ends, cancels,
           faults);
    return faults || seeds == 0 || ends == 0 || cancels == 0;
}
