/* A leader at the size of a large deployment. `profile check MACHINES` is a test: it counts what
 * the leader does until all that fits is placed, and holds every transaction against the state
 * service's limits. `profile costs MACHINES` does each kind of work a number of times, for
 * callgrind: a line a kind with the times, and callgrind's dump of that name; tests/costs.sh holds
 * the instructions against upper counts. `profile full MACHINES` is a test again: every machine is
 * full of small tasks, and a takeover, a cut zone and a delegate of all machines follow. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "test_settings.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_START_INSTRUMENTATION
#define CALLGRIND_TOGGLE_COLLECT
#define CALLGRIND_ZERO_STATS
#define CALLGRIND_DUMP_STATS_AT(name)
#endif
#include "autoscaling/autoscaling.h"
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEER "node-1"
#define ZONES 2
#define ROUNDS 40
#define COMMITS_MAX 16

struct world {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *c;
    struct bd_heartbeat_cache *heartbeats;
    uint64_t revision, seq;
    double now;
    uint32_t machines;
    bool plain; /* all machines are of the cheap type, and no work is there at first */
    /* counted */
    uint32_t commits, commands, faults;
};

static void fault(struct world *w, const char *what, size_t n, size_t most)
{
    fprintf(stderr, "%s: %zu, at most %zu\n", what, n, most);
    w->faults++;
}

/* One transaction against the state service's limits. */
static void check_commit(struct world *w, const char *body)
{
    json_t *o = json_loads(body, 0, NULL), *ops = json_object_get(o, "apply"), *v;
    size_t i, compares = json_array_size(json_object_get(o, "if"));
    w->commits++;
    if (strlen(body) > 65536)
        fault(w, "bytes of a transaction", strlen(body), 65536);
    if (json_array_size(ops) > w->settings.kv_txn_ops_max)
        fault(w, "changes", json_array_size(ops), w->settings.kv_txn_ops_max);
    if (compares > 4 * w->settings.kv_txn_ops_max)
        fault(w, "conditions", compares, 4 * w->settings.kv_txn_ops_max);
    json_array_foreach(ops, i, v)
    {
        char *text = json_dumps(json_object_get(v, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
        if (text && strlen(text) > w->settings.kv_value_bytes_max)
            fault(w, "bytes of a value", strlen(text), w->settings.kv_value_bytes_max);
        free(text);
    }
    json_decref(o);
}

static void drop_effects(struct world *w)
{
    struct bd_effect *e = bd_effects_take(w->c);
    while (e) {
        struct bd_effect *next = e->next;
        if (e->kind == BD_EFFECT_LEADER_TXN)
            check_commit(w, e->body);
        w->commands += e->kind == BD_EFFECT_DIRECT_COMMAND;
        bd_effect_free(e);
        e = next;
    }
}

static void settings(struct bd_settings *s)
{
    test_settings_init(s);
    snprintf(s->zone, sizeof s->zone, "a");
    s->npeers = 1;
    snprintf(s->peers[0].name, sizeof s->peers[0].name, PEER);
    snprintf(s->peers[0].zone, sizeof s->peers[0].zone, "b");
    s->list_lag = bd_secs(8);
    s->leader_ttl = bd_secs(2);
    s->kv_requests_per_s = 250;
    s->ram_mb = 72;
    s->headroom_share = 1.6;
    s->idle_boots = 0.7;
    s->nteams = 2;
    for (int i = 0; i < 2; i++)
        snprintf(s->teams[i].name, BD_NAME, "team-%d", i);
    s->teams[0].gpus = 200;
    s->teams[0].gpus_quota = 1500;
}

static void type(struct world *w, const char *name, double cpus, double gpus, double mem,
                 double price)
{
    struct bd_type_text t = {.cpus = cpus,
                             .gpus = gpus,
                             .mem = mem,
                             .price = price,
                             .spot_price = price / 3,
                             .boot = 45,
                             .fetch = 0.2,
                             .cache_gb = 50,
                             .nzones = ZONES};
    snprintf(t.label, sizeof t.label, "%s", name);
    snprintf(t.zones[0], BD_LABEL, "a");
    snprintf(t.zones[1], BD_LABEL, "b");
    bd_inventory_types(w->c, &t, 1);
}

static void at(struct world *w, double now)
{
    w->now = now;
    bd_core_set_clock(w->c, bd_secs(100 + now), 1000 + now);
}

static void job(struct world *w, int n, enum bd_job_kind shape, uint32_t tasks, double cpus,
                double gpus, double mem)
{
    struct bd_record r = {
        .state = BD_JOB_ACTIVE, .at = 1000 + w->now, .has_spec = true, .tasks = tasks};
    char key[BD_LABEL];
    snprintf(key, sizeof key, "j/job-%06d", n);
    snprintf(r.spec.job_class, sizeof r.spec.job_class, "class-%d", (int)shape);
    snprintf(r.spec.team, sizeof r.spec.team, "team-%d", n % 2);
    snprintf(r.spec.image, sizeof r.spec.image, "img-%d-%d", (int)shape, n % 8);
    r.spec.ntypes = -1;
    r.spec.kind = shape;
    r.spec.priority = shape == BD_JOB_SERVICE ? BD_PRIORITY_PRODUCTION : BD_PRIORITY_STANDARD;
    r.spec.tasks = tasks;
    r.spec.cpus = cpus;
    r.spec.gpus = gpus;
    r.spec.mem = mem;
    r.spec.image_gb = 2;
    r.spec.estimate = 60;
    r.spec.deadline_s = -1;
    r.spec.spread_zones = shape == BD_JOB_SERVICE;
    r.spec.spot = shape == BD_JOB_ARRAY;
    json_t *v = bd_wire_record(&r);
    struct bd_change ch = {key, v, ++w->revision};
    bd_replica_apply(w->c, &ch);
    json_decref(v);
}

/* One machine reports; the tasks that it holds are all running. */
static void heartbeat(struct world *w, uint32_t i)
{
    struct bd_heartbeat r = {
        .incarnation = 1, .seq = ++w->seq, .fencing_token = w->c->lead.term, .notice = -1};
    struct bd_reported_task tasks[128];
    struct bd_machine *m = NULL;
    snprintf(r.machine, sizeof r.machine, "vm-%06u", i);
    snprintf(r.addr, sizeof r.addr, "10.1.0.1:%u", i);
    snprintf(r.type, sizeof r.type, "%s", i % 5 && !w->plain ? "gpu" : "small");
    snprintf(r.zone, sizeof r.zone, "%s", i % 2 ? "a" : "b");
    memset(tasks, 0, sizeof tasks);
    r.tasks = tasks;
    HASH_FIND_STR(w->c->machines, r.machine, m);
    for (uint32_t k = 0; m && k < m->nreservations && r.n < 128; k++) {
        const struct bd_job *j = m->reservations[k].job;
        struct bd_reported_task *t = &tasks[r.n++];
        snprintf(t->job, sizeof t->job, "%s", j->id);
        t->task = m->reservations[k].task;
        t->attempt = j->tasks[t->task].attempt;
        t->execution = BD_EXECUTION_RUNNING;
    }
    bd_worker_heartbeat_received(w->c, NULL, &r, "{}", 2);
    drop_effects(w);
}

static void round_once(struct world *w)
{
    at(w, w->now + 1.1);
    bd_leadership_renewed(w->c, 7, w->c->now);
    bd_core_tick(w->c);
    if (w->c->lead.commit)
        bd_leader_txn_completed(w->c, BD_TXN_COMMITTED, ++w->revision, NULL);
    drop_effects(w);
}

static void build(struct world *w)
{
    settings(&w->settings);
    w->c = bd_core_new(&w->settings, &w->log);
    if (!w->c)
        abort();
    at(w, 0);
    type(w, "small", 16, 0, 64, 1);
    type(w, "gpu", 48, 4, 288, 15);
    bd_replica_listed(w->c, 1, w->c->now);
    struct bd_acquisition g = {.term = 1, .grant = 7, .nonce = "n", .renewed = w->c->now};
    g.receipts = json_array();
    g.intents = json_array();
    bd_core_leadership_acquired(w->c, &g);
    json_decref(g.receipts);
    json_decref(g.intents);
    bd_inventory_machines(w->c, NULL, 0, w->c->now);
    w->revision = 10;
    for (uint32_t i = 0; i < w->machines; i++)
        heartbeat(w, i);
    if (w->plain)
        return;
    for (int i = 0; i < 120; i++)
        job(w, i, BD_JOB_SERVICE, 5, 4, 0, 9);
    for (int i = 0; i < 60; i++)
        job(w, 1000 + i, BD_JOB_ARRAY, 200, 2, 0, 6);
    for (int i = 0; i < 60; i++)
        job(w, 2000 + i, BD_JOB_GANG, 4, 43, 4, 230);
    for (int k = 0; k < ROUNDS; k++) {
        round_once(w);
        for (uint32_t i = 0; i < w->machines; i++)
            heartbeat(w, i);
    }
}

/* Tasks of the shape that hold a place, and that wait for one. */
static void count_tasks(const struct world *w, enum bd_job_kind shape, uint32_t *held,
                        uint32_t *waits)
{
    *held = *waits = 0;
    for (const struct bd_job *j = w->c->jobs; j; j = j->hh.next) {
        if (j->spec.kind != shape)
            continue;
        *held += j->nplaced;
        *waits += j->npending;
    }
}

/* What was built must have been placed, by a bounded amount of work. */
static int check(struct world *w)
{
    uint32_t held, waits, arrays, gangs, ignored;
    count_tasks(w, BD_JOB_SERVICE, &held, &waits);
    count_tasks(w, BD_JOB_ARRAY, &arrays, &ignored);
    count_tasks(w, BD_JOB_GANG, &gangs, &ignored);
    fprintf(stderr, "%u commits, %u commands; %u services, %u arrays, %u gang tasks placed\n",
            w->commits, w->commands, held, arrays, gangs);
    if (waits > 0)
        fault(w, "service tasks left waiting", waits, 0);
    if (gangs < 60 * 4)
        fault(w, "gang tasks not placed", 60 * 4 - gangs, 0);
    if (w->commits > COMMITS_MAX) /* 33 with one intent record in each */
        fault(w, "transactions", w->commits, COMMITS_MAX);
    /* few for each machine, however many tasks it starts */
    if (w->commands > 2 * w->machines)
        fault(w, "direct commands", w->commands, 2 * (size_t)w->machines);
    if (held + arrays + gangs < 8000)
        fault(w, "tasks not placed", 8000 - held - arrays - gangs, 0);
    return w->faults ? 1 : 0;
}

/* ---- what each kind of work costs ---- */

static char *report_text(const struct world *w, uint32_t i, uint64_t seq)
{
    json_t *tasks = json_array();
    char machine[BD_LABEL], addr[BD_LABEL], name[2 * BD_LABEL];
    struct bd_machine *m = NULL;
    snprintf(machine, sizeof machine, "vm-%06u", i);
    snprintf(addr, sizeof addr, "10.1.0.1:%u", i);
    HASH_FIND_STR(w->c->machines, machine, m);
    for (uint32_t k = 0; m && k < m->nreservations; k++) {
        const struct bd_job *j = m->reservations[k].job;
        snprintf(name, sizeof name, "%s/%u", j->id, m->reservations[k].task);
        json_array_append_new(tasks,
                              json_pack("{s:s,s:I,s:s}", "chore", name, "try",
                                        (json_int_t)j->tasks[m->reservations[k].task].attempt,
                                        "mood", "running"));
    }
    json_t *o =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", machine, "endpoint", addr,
                  "breed", i % 5 ? "gpu" : "small", "glade", i % 2 ? "a" : "b", "windfall", 0,
                  "tenancy", (json_int_t)1, "tally", (json_int_t)seq, "seal",
                  (json_int_t)w->c->lead.term, "warningS", "chores", tasks);
    char *text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    if (!text)
        abort();
    return text;
}

static void read_heartbeat(const char *text, struct bd_heartbeat *r)
{
    json_t *o = json_loads(text, 0, NULL);
    if (!bd_wire_heartbeat(o, r))
        abort();
    json_decref(o);
}

static void checkin(struct world *w, uint32_t n)
{
    struct bd_heartbeat r;
    char *text = report_text(w, n % w->machines, ++w->seq);
    CALLGRIND_TOGGLE_COLLECT;
    read_heartbeat(text, &r);
    bd_worker_heartbeat_received(w->c, NULL, &r, text, strlen(text));
    bd_wire_heartbeat_release(&r);
    bd_effect_free(bd_effects_take(w->c));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

/* The same report but for its number, as most are. */
static void repeated(struct world *w, uint32_t n)
{
    char *text = report_text(w, n % w->machines, ++w->seq);
    (void)bd_heartbeat_cache_read(w->heartbeats, text, strlen(text));
    free(text);
    text = report_text(w, n % w->machines, ++w->seq);
    CALLGRIND_TOGGLE_COLLECT;
    const struct bd_heartbeat *r = bd_heartbeat_cache_read(w->heartbeats, text, strlen(text));
    bd_worker_heartbeat_received(w->c, NULL, r, text, strlen(text));
    bd_effect_free(bd_effects_take(w->c));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

static void forwarded(struct world *w, uint32_t n)
{
    static struct bd_frame f, in;
    static unsigned char buf[BD_FRAME_MAX];
    struct bd_heartbeat r;
    char *text = report_text(w, n % w->machines, ++w->seq);
    f = (struct bd_frame){
        .type = BD_FRAME_HEARTBEAT, .id = n, .text = text, .len = (uint32_t)strlen(text)};
    snprintf(f.name, sizeof f.name, PEER);
    size_t len = bd_frame_write(&f, buf, sizeof buf);
    CALLGRIND_TOGGLE_COLLECT;
    if (bd_frame_read(buf, len, &in) != (long)len)
        abort();
    read_heartbeat(text, &r);
    bd_worker_heartbeat_forwarded(w->c, in.name, in.id, &r, text, in.len);
    bd_wire_heartbeat_release(&r);
    bd_effect_free(bd_effects_take(w->c));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

static void poll(struct world *w, uint32_t n)
{
    char id[BD_ID];
    snprintf(id, sizeof id, "job-%06u", n % 100);
    CALLGRIND_TOGGLE_COLLECT;
    bd_user_status(w->c, NULL, id);
    bd_core_tick(w->c);
    bd_replica_refreshed(w->c, w->c->replica.store_revision, w->c->replica.store_revision,
                         w->c->now, true, true);
    CALLGRIND_TOGGLE_COLLECT;
    drop_effects(w);
}

static void submission(struct world *w, uint32_t n)
{
    char body[640];
    snprintf(body, sizeof body,
             "{\"id\":\"job-%u\",\"kin\":\"class-0\",\"household\":\"team-0\",\"shape\":\"sweep\","
             "\"rank\":\"standard\",\"chores\":20,\"vcpus\":2,\"accelerators\":0,\"memGb\":6,"
             "\"seed\":\"img-0-0\",\"imageGb\":2,\"breeds\":null,\"glade\":null,\"together\":false,"
             "\"scatter\":false,\"windfall\":true,\"guessS\":60,\"markS\":0,\"stowS\":0,"
             "\"dueS\":null}",
             n + 5000);
    CALLGRIND_TOGGLE_COLLECT;
    bd_user_submit(w->c, NULL, body, strlen(body));
    struct bd_effect *e = bd_effects_take(w->c);
    if (!e || e->kind != BD_EFFECT_USER_TXN)
        abort();
    bd_user_txn_completed(w->c, NULL, e->key, e->body, e->status, 200, ++w->revision);
    bd_effect_free(e);
    CALLGRIND_TOGGLE_COLLECT;
    drop_effects(w);
}

static void placed_round(struct world *w, uint32_t n)
{
    (void)n;
    at(w, w->now + 1.1);
    bd_leadership_renewed(w->c, 7, w->c->now);
    bd_replica_refreshed(w->c, w->c->replica.store_revision, w->c->replica.store_revision,
                         w->c->now, false, true);
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_tick(w->c);
    if (w->c->lead.commit)
        bd_leader_txn_completed(w->c, BD_TXN_COMMITTED, ++w->revision, NULL);
    CALLGRIND_TOGGLE_COLLECT;
    drop_effects(w);
}

static void refresh(struct world *w, uint32_t n)
{
    char text[128];
    snprintf(text, sizeof text, "{\"ring\":%llu,\"log\":[]}",
             (unsigned long long)w->c->replica.store_revision);
    (void)n;
    CALLGRIND_TOGGLE_COLLECT;
    json_t *o = json_loads(text, 0, NULL);
    bd_replica_refreshed(w->c, w->c->replica.store_revision, bd_wire_store_revision(o), w->c->now,
                         false, true);
    json_decref(o);
    CALLGRIND_TOGGLE_COLLECT;
}

static void peer_status(struct world *w, uint32_t n)
{
    static struct bd_frame f, in;
    static unsigned char buf[1024];
    f = (struct bd_frame){.type = BD_FRAME_STATUS, .flags = BD_PEER_KV_REACHABLE, .at_ms = n};
    snprintf(f.name, sizeof f.name, PEER);
    CALLGRIND_TOGGLE_COLLECT;
    size_t len = bd_frame_write(&f, buf, sizeof buf);
    if (bd_frame_read(buf, len, &in) != (long)len)
        abort();
    bd_peer_status_received(w->c, in.name, in.term, in.flags, 0, 0, w->c->now);
    CALLGRIND_TOGGLE_COLLECT;
}

static void idle_tick(struct world *w, uint32_t n)
{
    (void)n;
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_tick(w->c);
    CALLGRIND_TOGGLE_COLLECT;
    drop_effects(w);
}

/* What the running tasks' intents are in the state service. */
static json_t *intents(const struct world *w)
{
    json_t *pairs = json_array();
    for (uint32_t i = 0; i < w->c->nmachines; i++) {
        const struct bd_machine *m = w->c->by_index[i];
        json_t *groups = json_array();
        char key[BD_LABEL];
        json_t *last =
            NULL; /* tasks of one attempt of one job stand together, as they are written */
        const struct bd_job *of = NULL;
        uint64_t attempt = 0;
        for (uint32_t k = 0; k < m->nreservations; k++) {
            const struct bd_job *j = m->reservations[k].job;
            uint32_t task = m->reservations[k].task;
            if (!last || of != j || attempt != j->tasks[task].attempt) {
                of = j;
                attempt = j->tasks[task].attempt;
                last = json_array();
                json_array_append_new(
                    groups, json_pack("[s,I,s,o]", j->id, (json_int_t)attempt, m->id, last));
            }
            json_array_append_new(last, json_integer((int)task));
        }
        snprintf(key, sizeof key, "i/%020d-%08u", 1, i);
        json_array_append_new(pairs, json_pack("{s:s,s:{s:o},s:I}", "k", key, "value", "e", groups,
                                               "mark", (json_int_t)5));
    }
    return pairs;
}

static void takeover(struct world *w, uint32_t n)
{
    json_t *list = intents(w);
    struct bd_acquisition g = {
        .term = w->revision + 1, .grant = 7, .nonce = "n", .renewed = w->c->now};
    (void)n;
    bd_leadership_lost(w->c);
    drop_effects(w);
    g.receipts = json_array();
    g.intents = list;
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_leadership_acquired(w->c, &g);
    CALLGRIND_TOGGLE_COLLECT;
    json_decref(g.receipts);
    json_decref(g.intents);
}

static int costs(struct world *w)
{
    static const struct {
        const char *name;
        uint32_t times;
        void (*work)(struct world *w, uint32_t n);
    } kinds[] = {{"check-in", 200, checkin},        {"repeated", 200, repeated},
                 {"forwarded", 200, forwarded},     {"poll", 200, poll},
                 {"round", 5, placed_round},        {"refresh", 100, refresh},
                 {"peer-status", 100, peer_status}, {"idle-tick", 100, idle_tick},
                 {"submission", 100, submission},   {"takeover", 1, takeover}};
    CALLGRIND_START_INSTRUMENTATION; /* building the world is not counted, and quicker so */
    for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
        CALLGRIND_ZERO_STATS;
        for (uint32_t n = 0; n < kinds[k].times; n++)
            kinds[k].work(w, n);
        CALLGRIND_DUMP_STATS_AT(kinds[k].name);
        printf("%s %u\n", kinds[k].name, kinds[k].times);
    }
    return 0;
}

/* ---- a full fleet: a takeover, a cut zone, a delegate of all machines ---- */

#define FULL_TASKS 24u  /* on each machine */
#define FULL_ROUNDS 40  /* at most until all are placed */
#define TAKEOVER_MB 9.0 /* of the heap, for the intents as they are read and taken */
#define ARRAY_TASKS 2000u
#define DELEGATE_NAME "p/node-1"

static double heap_mb(void)
{
    return (double)mallinfo2().uordblks / 1048576.0;
}

static uint32_t held_in_all(const struct world *w)
{
    uint32_t held = 0;
    for (const struct bd_job *j = w->c->jobs; j; j = j->hh.next)
        held += j->nplaced;
    return held;
}

static void report_all(struct world *w)
{
    for (uint32_t i = 0; i < w->machines; i++)
        heartbeat(w, i);
}

/* Every machine gets as many small tasks as it is asked to hold. */
static void fill_fleet(struct world *w)
{
    uint32_t tasks = w->machines * FULL_TASKS;
    for (uint32_t n = 0; n * ARRAY_TASKS < tasks; n++)
        job(w, (int)(5000 + n), BD_JOB_ARRAY, ARRAY_TASKS, 0.5, 0, 1);
    for (int k = 0; k < FULL_ROUNDS && held_in_all(w) < tasks; k++) {
        round_once(w);
        report_all(w);
    }
    if (held_in_all(w) < tasks)
        fault(w, "tasks not placed on the full fleet", tasks - held_in_all(w), 0);
}

/* The next term adopts what the machines report, places nothing again and loses nothing. */
static void take_over_full(struct world *w)
{
    uint32_t before = held_in_all(w), starts = w->commands;
    double heap = heap_mb();
    json_t *list = intents(w);
    struct bd_acquisition g = {
        .term = w->revision + 1, .grant = 7, .nonce = "n", .renewed = w->c->now};
    bd_leadership_lost(w->c);
    drop_effects(w);
    g.receipts = json_array();
    g.intents = list;
    bd_core_leadership_acquired(w->c, &g);
    double grown = heap_mb() - heap;
    json_decref(g.receipts);
    json_decref(list);
    fprintf(stderr, "takeover with %u tasks: %.1f MB of the heap beside the jobs\n", before, grown);
    if (grown > TAKEOVER_MB)
        fault(w, "MB of the heap at a takeover", (size_t)grown, (size_t)TAKEOVER_MB);
    if (held_in_all(w) != before)
        fault(w, "tasks held after the takeover", held_in_all(w), before);
    drop_effects(w);
    report_all(w);
    if (held_in_all(w) < before || w->commands != starts)
        fault(w, "tasks lost or started again by the takeover", before - held_in_all(w), 0);
}

/* Zone b is cut off and its delegate names its machines: nothing there lapses while it does. */
static void cut_zone_full(struct world *w)
{
    uint32_t before = held_in_all(w);
    double lease = bd_to_secs(w->settings.lease), since = w->now;
    for (uint64_t revision = 1; w->now < since + 2 * lease; revision++) {
        json_t *names = json_array();
        for (uint32_t i = 0; i < w->machines; i += 2) {
            char id[BD_LABEL];
            snprintf(id, sizeof id, "vm-%06u", i);
            json_array_append_new(names, json_string(id));
        }
        json_t *pairs = json_pack("[{s:s,s:{s:i,s:o},s:I}]", "k", DELEGATE_NAME, "value", "t", 1,
                                  "m", names, "mark", 100 + (json_int_t)revision);
        bd_delegate_records_read(w->c, pairs, w->c->now);
        json_decref(pairs);
        for (uint32_t i = 1; i < w->machines; i += 2)
            heartbeat(w, i);
        round_once(w);
    }
    if (held_in_all(w) < before)
        fault(w, "tasks lost with the zone", before - held_in_all(w), 0);
}

static void delegate_report(struct world *w, uint32_t i)
{
    struct bd_heartbeat r = {.incarnation = 1, .seq = ++w->seq, .fencing_token = 1, .notice = -1};
    snprintf(r.machine, sizeof r.machine, "vm-%06u", i);
    snprintf(r.type, sizeof r.type, "small");
    snprintf(r.zone, sizeof r.zone, "a");
    bd_worker_heartbeat_received(w->c, NULL, &r, "{}", 2);
}

/* The delegate's write is applied; returns how many machines its record names by now. */
static uint32_t delegate_wrote(struct world *w, const struct bd_effect *e, uint32_t written)
{
    if (e->body)
        check_commit(w, e->body);
    bd_delegate_txn_completed(w->c, e->body ? 200 : 0, ++w->revision, w->c->now, true);
    return e->body ? w->c->delegate.nserved : written;
}

/* A follower whose leader falls silent answers all machines, in as many parts as that takes. */
static void delegate_full(struct world *w)
{
    uint32_t written = 0;
    bd_leadership_lost(w->c);
    drop_effects(w);
    bd_peer_status_received(w->c, PEER, 9, BD_PEER_LEADS | BD_PEER_KV_REACHABLE, 0, w->c->wall,
                            w->c->now);
    at(w, w->now + 30);
    bd_core_leader_observed(w->c, PEER, 9, w->c->now, false);
    for (uint32_t i = 0; i < w->machines; i++)
        delegate_report(w, i);
    for (int tries = 0; tries < 4 && written < w->machines; tries++) {
        bd_core_tick(w->c);
        struct bd_effect *e = bd_effects_take(w->c);
        while (e) {
            struct bd_effect *next = e->next;
            if (e->kind == BD_EFFECT_DELEGATE_TXN)
                written = delegate_wrote(w, e, written);
            bd_effect_free(e);
            e = next;
        }
        at(w, w->now + 0.6);
        bd_core_leader_observed(w->c, PEER, 9, w->c->now, false);
    }
    if (written < w->machines)
        fault(w, "machines that the delegate's record lacks", w->machines - written, 0);
}

static int full_fleet(struct world *w)
{
    fill_fleet(w);
    take_over_full(w);
    cut_zone_full(w);
    delegate_full(w);
    return w->faults ? 1 : 0;
}

int main(int argc, char **argv)
{
    struct world w = {.log = {BD_LOG_ERROR, "profile"}};
    static const struct {
        const char *verb;
        int (*run)(struct world *w);
    } verbs[] = {{"check", check}, {"costs", costs}, {"full", full_fleet}};
    int (*run)(struct world * w) = NULL;
    for (size_t i = 0; argc == 3 && i < sizeof verbs / sizeof verbs[0]; i++)
        if (strcmp(argv[1], verbs[i].verb) == 0)
            run = verbs[i].run;
    if (!run)
        return 2;
    w.machines = (uint32_t)strtoul(argv[2], NULL, 10);
    w.heartbeats = bd_heartbeat_cache_new(1 << 24);
    if (!w.heartbeats)
        return 1;
    w.plain = run == full_fleet;
    build(&w);
    int rc = run(&w);
    bd_core_free(w.c);
    bd_heartbeat_cache_free(w.heartbeats);
    return rc;
}
