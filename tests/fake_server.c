#include "fake_server.h"
#include "base/http.h"
#include "base/timeutil.h"
#include "key_table.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 100 /* machines that the cloud ever has: what went back does not come again */
#define CAPACITY 40 /* at once, unless the test says otherwise */
#define DOORS 3
#define TASKS 64
#define RUN_S 0.6
#define NO_ANSWER 0
#define FAILED_AFTER_S 4.0 /* so long a dead machine is listed as running */
#define LEASE_S 6.0        /* as in the loopback test's settings */

struct task {
    char name[64];
    uint64_t attempt;
    int state; /* 0 free, 1 running, 2 exited */
    const char *cause;
    struct timespec ends;
    bool for_ever;
};

struct worker {
    struct world *w;
    char id[32];
    int port;
    bool used, stop, dead;
    struct timespec hired, died;
    pthread_t thread;
    struct MHD_Daemon *daemon;
    uint64_t tally, fencing_token, incarnation;
    struct timespec answered; /* when the last report that got an answer was sent */
    struct task tasks[TASKS];
};

struct served {
    int (*answer)(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                  json_t *body, json_t **out);
    void *arg;
    struct world *w;
};

struct world {
    pthread_mutex_t lock;
    struct served served[WORKERS + 2 + DOORS];
    struct door {
        struct world *w;
        int node;
        bool refused, blind; /* blind: it cannot read the jobs' records */
    } door[DOORS];           /* the state service, one address a controller */
    struct MHD_Daemon *door_daemon[DOORS];
    struct late {
        json_t *txn;
        struct timespec deliver_at;
    } late[64];
    int nlate, lost, late_applied;
    double lost_share, late_share;
    unsigned dice;
    int nserved;
    struct key_table table;
    json_t *old[8]; /* transactions that applied, to come again as late copies */
    int nold, applied_again, copies;
    int ran_twice, starts, garbles, too_early, lapses;
    size_t kv_value_bytes_max, ops;
    int write_rps, writes, refused, busy;
    struct timespec second;
    uint64_t grants;
    struct {
        uint64_t id;
        struct timespec ends;
        double ttl;
    } grant[64];
    int ngrants, nworkers, worker_port, nnodes;
    int capacity; /* machines at once */
    bool down;
    const char *const *nodes;
    void (*watch)(void *arg, enum world_event event, const char *task);
    void *watch_arg;
    struct MHD_Daemon *cloud;
    struct worker workers[WORKERS];
};

struct body {
    char *buf;
    size_t len;
};

/* ---- HTTP ---- */

typedef int (*answer_fn)(void *, const char *, const char *, struct MHD_Connection *, json_t *,
                         json_t **);

static enum MHD_Result reply(struct MHD_Connection *conn, int status, json_t *o, bool garble)
{
    char *text = o ? json_dumps(o, JSON_COMPACT) : strdup("{}");
    json_decref(o);
    size_t len = strlen(text);
    if (garble && len > 4)
        len /= 2;
    struct MHD_Response *r = MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result rc = MHD_queue_response(conn, (unsigned)status, r);
    MHD_destroy_response(r);
    return rc;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *conn, const char *url,
                             const char *method, const char *version, const char *data,
                             size_t *size, void **ctx)
{
    struct served *s = arg;
    struct body *b = *ctx;
    (void)version;
    if (!b) {
        *ctx = calloc(1, sizeof *b);
        return *ctx ? MHD_YES : MHD_NO;
    }
    if (*size) {
        b->buf = realloc(b->buf, b->len + *size + 1);
        memcpy(b->buf + b->len, data, *size);
        b->len += *size;
        *size = 0;
        return MHD_YES;
    }
    json_t *in = b->buf ? json_loadb(b->buf, b->len, 0, NULL) : NULL, *out = NULL;
    pthread_mutex_lock(&s->w->lock);
    int status = s->answer(s->arg, method, url, conn, in, &out);
    bool garble = s->w->garbles > 0 && strncmp(url, "/do", 3) != 0;
    if (garble)
        s->w->garbles--;
    pthread_mutex_unlock(&s->w->lock);
    json_decref(in);
    if (status == NO_ANSWER) { /* the connection ends without one */
        json_decref(out);
        return MHD_NO;
    }
    return reply(conn, status, out, garble);
}

static void over(void *arg, struct MHD_Connection *conn, void **ctx,
                 enum MHD_RequestTerminationCode code)
{
    struct body *b = *ctx;
    (void)arg;
    (void)conn;
    (void)code;
    if (b)
        free(b->buf);
    free(b);
}

static struct MHD_Daemon *listen_on(struct world *w, int port, answer_fn fn, void *arg)
{
    struct served *s = &w->served[w->nserved++];
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    *s = (struct served){fn, arg, w};
    return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, serve, s,
                            MHD_OPTION_SOCK_ADDR, &a, MHD_OPTION_NOTIFY_COMPLETED, over, NULL,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/* ---- state service ---- */

static void end_grants(struct world *w)
{
    struct timespec now = bd_now();
    for (int i = 0; i < w->ngrants;) {
        if (bd_before(now, w->grant[i].ends)) {
            i++;
            continue;
        }
        table_end_grant(&w->table, w->grant[i].id);
        w->grant[i] = w->grant[--w->ngrants];
    }
}

static bool grant_lives(void *owner, uint64_t id)
{
    const struct world *w = owner;
    for (int i = 0; i < w->ngrants; i++)
        if (w->grant[i].id == id)
            return true;
    return false;
}

static bool too_large(const struct world *w, json_t *in)
{
    json_t *ops = json_object_get(in, "apply"), *v;
    size_t i;
    if (w->ops && json_array_size(ops) > w->ops)
        return true;
    json_array_foreach(ops, i, v)
    {
        char *text = json_dumps(json_object_get(v, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
        bool large = w->kv_value_bytes_max && text && strlen(text) > w->kv_value_bytes_max;
        free(text);
        if (large)
            return true;
    }
    return false;
}

static bool too_many(struct world *w, json_t *in)
{
    struct timespec now = bd_now();
    if (bd_between(w->second, now) >= 1) {
        w->second = now;
        w->writes = 0;
    }
    w->writes += (int)json_array_size(json_object_get(in, "apply"));
    return w->write_rps && w->writes > w->write_rps;
}

/* 0: within the limits */
static int beyond_limits(struct world *w, json_t *in)
{
    if (too_large(w, in)) {
        w->refused++;
        return 400;
    }
    if (too_many(w, in)) {
        w->busy++;
        return 429;
    }
    return 0;
}

static bool of_leader(json_t *in)
{
    json_t *v;
    size_t i;
    json_array_foreach(json_object_get(in, "if"), i, v)
    {
        if (strcmp(json_string_value(json_object_get(v, "k")), "w") == 0)
            return true;
    }
    return false;
}

/* A transaction, and after it a late copy of one that applied some time ago. */
static int commit_and_copy(struct world *w, json_t *in, json_t **out)
{
    json_t *ignored = NULL;
    int beyond = beyond_limits(w, in), status = beyond ? beyond : table_commit(&w->table, in, out);
    if (status != 200 || !of_leader(in))
        return status;
    int at = w->nold++ % 8;
    if (w->old[at]) {
        w->copies++;
        w->applied_again += table_commit(&w->table, w->old[at], &ignored) == 200;
        json_decref(ignored);
        json_decref(w->old[at]);
    }
    w->old[at] = json_incref(in);
    return status;
}

static int by_name(const void *a, const void *b)
{
    return strcmp(((const struct table_key *)a)->name, ((const struct table_key *)b)->name);
}

static int list(struct world *w, struct MHD_Connection *conn, json_t **out)
{
    const char *starts = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");
    json_t *pairs = json_array();
    bool more = false;
    if (w->table.nkeys > 0)
        qsort(w->table.keys, w->table.nkeys, sizeof *w->table.keys, by_name);
    for (size_t i = 0; i < w->table.nkeys; i++) {
        struct table_key *k = &w->table.keys[i];
        if (!k->value || strncmp(k->name, starts, strlen(starts)) != 0 ||
            (after && strcmp(k->name, after) <= 0))
            continue;
        if (json_array_size(pairs) == 5) { /* small pages, so that paging is played */
            more = true;
            break;
        }
        json_array_append_new(pairs, table_pair(k));
    }
    *out = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", more, "ring",
                     (json_int_t)w->table.revision);
    return 200;
}

static int follow(struct world *w, struct MHD_Connection *conn, json_t **out)
{
    const char *starts = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");
    *out = table_changes(&w->table, starts, strtoull(after, NULL, 10));
    return 200;
}

static int grants(struct world *w, const char *method, const char *url, json_t *in, json_t **out)
{
    uint64_t id = strtoull(url + strlen("/grants") + (url[7] == '/'), NULL, 10);
    if (id == 0) {
        double ttl = (double)json_integer_value(json_object_get(in, "ttlMs")) / 1000.0;
        if (w->ngrants == 64)
            return 503;
        w->grant[w->ngrants].id = ++w->grants;
        w->grant[w->ngrants].ttl = ttl;
        w->grant[w->ngrants++].ends = bd_add(bd_now(), bd_secs(ttl));
        *out = json_pack("{s:I}", "charter", (json_int_t)w->grants);
        return 200;
    }
    for (int i = 0; i < w->ngrants; i++) {
        if (w->grant[i].id != id)
            continue;
        bool ends = strcmp(method, "DELETE") == 0;
        w->grant[i].ends = ends ? bd_now() : bd_add(bd_now(), bd_secs(w->grant[i].ttl));
        return 200;
    }
    return 404;
}

static void apply_late(struct world *w)
{
    for (int i = 0; i < w->nlate;) {
        json_t *ignored = NULL;
        if (bd_before(bd_now(), w->late[i].deliver_at)) {
            i++;
            continue;
        }
        w->late_applied += table_commit(&w->table, w->late[i].txn, &ignored) == 200;
        json_decref(ignored);
        json_decref(w->late[i].txn);
        w->late[i] = w->late[--w->nlate];
    }
}

static bool chance(struct world *w, double share)
{
    w->dice = w->dice * 1103515245u + 12345u;
    return (w->dice >> 16 & 0x7fff) < share * 0x8000;
}

/* Some are carried out while only the answer is lost, some late and after newer ones. */
static int commit_or_lose(struct world *w, json_t *in, json_t **out)
{
    if (chance(w, w->late_share) && w->nlate < 64) {
        w->late[w->nlate++] = (struct late){json_incref(in), bd_add(bd_now(), bd_secs(2.5))};
        return NO_ANSWER;
    }
    int status = commit_and_copy(w, in, out);
    if (status != 200 || !chance(w, w->lost_share))
        return status;
    w->lost++;
    return NO_ANSWER;
}

static bool reads_jobs(const char *url, struct MHD_Connection *conn)
{
    const char *prefix = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    return (strcmp(url, "/follow") == 0 || strcmp(url, "/kv") == 0) && prefix &&
           strcmp(prefix, "j/") == 0;
}

static int state_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                        json_t *in, json_t **out)
{
    struct door *d = arg;
    struct world *w = d->w;
    if (w->down || d->refused || (d->blind && reads_jobs(url, conn)))
        return 503;
    end_grants(w);
    apply_late(w);
    if (strcmp(url, "/commit") == 0)
        return commit_or_lose(w, in, out);
    if (strcmp(url, "/kv") == 0)
        return list(w, conn, out);
    if (strncmp(url, "/kv/", 4) == 0)
        return table_get(&w->table, url + 4, out);
    if (strcmp(url, "/follow") == 0)
        return follow(w, conn, out);
    if (strncmp(url, "/grants", 7) == 0)
        return grants(w, method, url, in, out);
    return 404;
}

/* ---- workers ---- */

static bool runs_elsewhere(struct world *w, const struct worker *me, const char *name)
{
    for (int i = 0; i < w->nworkers; i++)
        for (int k = 0; w->workers[i].used && &w->workers[i] != me && k < TASKS; k++)
            if (w->workers[i].tasks[k].state == 1 && strcmp(w->workers[i].tasks[k].name, name) == 0)
                return true;
    return false;
}

static void tell_watch(struct world *w, enum world_event event, const char *task)
{
    if (w->watch)
        w->watch(w->watch_arg, event, task);
}

/* All that runs on the worker is gone. */
static void lose_all(struct worker *k)
{
    for (int i = 0; i < TASKS; i++)
        if (k->tasks[i].state == 1)
            tell_watch(k->w, WORLD_LOST, k->tasks[i].name);
    memset(k->tasks, 0, sizeof k->tasks);
}

static struct task *find_task(struct worker *k, const char *name, uint64_t attempt)
{
    for (int i = 0; i < TASKS; i++)
        if (k->tasks[i].state && strcmp(k->tasks[i].name, name) == 0 &&
            k->tasks[i].attempt == attempt)
            return &k->tasks[i];
    return NULL;
}

static bool job_is_done(struct world *w, const char *id)
{
    char key[96];
    snprintf(key, sizeof key, "j/%s", id);
    struct table_key *r = table_find(&w->table, key);
    const char *s = r ? json_string_value(json_object_get(r->value, "s")) : NULL;
    return s && strcmp(s, "done") == 0;
}

/* Whether the task's job needs one that is not done, by the records as they are now. */
static bool is_early(struct world *w, const char *task)
{
    char key[96];
    json_t *v;
    size_t i;
    snprintf(key, sizeof key, "j/%.*s", (int)strcspn(task, "/"), task);
    struct table_key *r = table_find(&w->table, key);
    json_array_foreach(r ? json_object_get(r->value, "awaits") : NULL, i, v)
    {
        if (!job_is_done(w, json_string_value(v)))
            return true;
    }
    return false;
}

static void launch(struct worker *k, const char *name, uint64_t attempt)
{
    if (find_task(k, name, attempt))
        return;
    for (int i = 0; i < TASKS; i++) {
        struct task *t = &k->tasks[i];
        if (t->state)
            continue;
        if (runs_elsewhere(k->w, k, name))
            k->w->ran_twice++;
        k->w->starts++;
        k->w->too_early += is_early(k->w, name);
        snprintf(t->name, sizeof t->name, "%s", name);
        t->attempt = attempt;
        t->state = 1;
        t->for_ever = strncmp(name, "job-9", 5) == 0; /* the test's services */
        t->ends = bd_add(bd_now(), bd_secs(RUN_S));
        tell_watch(k->w, WORLD_RUNS, name);
        return;
    }
}

static void order(struct worker *k, json_t *o)
{
    const char *verb = json_string_value(json_object_get(o, "verb"));
    const char *name = json_string_value(json_object_get(o, "chore"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, "try"));
    struct task *t = name ? find_task(k, name, attempt) : NULL;
    if (!verb || !name)
        return;
    if (strcmp(verb, "launch") == 0) {
        launch(k, name, attempt);
    } else if (t && strcmp(verb, "halt") == 0 && t->state == 1) {
        t->state = 2;
        t->cause = "stopped";
        tell_watch(k->w, WORLD_STOPPED, name);
    } else if (t && strcmp(verb, "forget") == 0 && t->state == 2) {
        t->state = 0;
    }
}

static json_t *heartbeat(struct worker *k)
{
    json_t *tasks = json_array();
    struct timespec now = bd_now();
    char addr[32];
    for (int i = 0; i < TASKS; i++) {
        struct task *t = &k->tasks[i];
        if (t->state == 1 && !t->for_ever && bd_before(t->ends, now)) {
            t->state = 2;
            t->cause = "done";
        }
        if (t->state == 1)
            json_array_append_new(tasks, json_pack("{s:s,s:I,s:s}", "chore", t->name, "try",
                                                   (json_int_t)t->attempt, "mood", "running"));
        else if (t->state == 2)
            json_array_append_new(tasks, json_pack("{s:s,s:I,s:s,s:s}", "chore", t->name, "try",
                                                   (json_int_t)t->attempt, "mood", "exited",
                                                   "cause", t->cause));
    }
    snprintf(addr, sizeof addr, "127.0.0.1:%d", k->port);
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", k->id, "endpoint", addr,
                     "breed", "small", "glade", "a", "windfall", 0, "tenancy",
                     (json_int_t)k->incarnation, "tally", (json_int_t)++k->tally, "seal",
                     (json_int_t)k->fencing_token, "warningS", "chores", tasks);
}

static bool obey(struct worker *k, json_t *in)
{
    json_t *v;
    size_t i;
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(in, "seal"));
    if (fencing_token < k->fencing_token || !json_object_get(in, "seal"))
        return false;
    k->fencing_token = fencing_token;
    json_array_foreach(json_object_get(in, "bids"), i, v)
    {
        order(k, v);
    }
    return true;
}

static int worker_answer(void *arg, const char *method, const char *url,
                         struct MHD_Connection *conn, json_t *in, json_t **out)
{
    struct worker *k = arg;
    (void)method;
    (void)url;
    (void)conn;
    json_t *incarnation = json_object_get(in, "tenancy");
    if (k->dead)
        return NO_ANSWER;
    bool ours = (uint64_t)json_integer_value(incarnation) == k->incarnation;
    int status = ours && obey(k, in) ? 200 : 409;
    *out = heartbeat(k);
    return status;
}

static int node_named(const struct world *w, const char *name)
{
    for (int i = 0; name && i < w->nnodes; i++)
        if (name[strlen(name) - 1] == '0' + i)
            return i;
    return -1;
}

static void expire(struct worker *k)
{
    if (bd_between(k->answered, bd_now()) <= LEASE_S)
        return;
    k->w->lapses++;
    k->incarnation++;
    k->answered = bd_now();
    lose_all(k);
}

static void *worker_run(void *arg)
{
    struct worker *k = arg;
    struct bd_http *h = bd_http_new(2, NULL);
    int at = 0;
    for (;;) {
        pthread_mutex_lock(&k->w->lock);
        bool stop = k->stop, dead = k->dead;
        expire(k);
        struct timespec sent = bd_now();
        uint64_t incarnation = k->incarnation;
        json_t *o = heartbeat(k);
        pthread_mutex_unlock(&k->w->lock);
        char *text = json_dumps(o, JSON_COMPACT), url[96];
        json_decref(o);
        struct bd_http_response r = {0};
        snprintf(url, sizeof url, "http://%s/checkin", k->w->nodes[at]);
        if (!stop && !dead)
            bd_http_call(h, "POST", url, text, 2, &r);
        free(text);
        json_t *in = r.body ? json_loadb(r.body, r.len, 0, NULL) : NULL;
        pthread_mutex_lock(&k->w->lock);
        int named = -1;
        if (r.status == 200 && incarnation == k->incarnation && obey(k, in))
            k->answered = sent;
        else if (r.status == 421)
            named = node_named(k->w, json_string_value(json_object_get(in, "steward")));
        if (r.status != 200)
            at = named >= 0 ? named : (at + 1) % k->w->nnodes;
        pthread_mutex_unlock(&k->w->lock);
        json_decref(in);
        bd_http_response_free(&r);
        if (stop)
            break;
        bd_pause(0.2);
    }
    bd_http_free(h);
    return NULL;
}

/* ---- cloud ---- */

static void hire(struct world *w, json_t *names)
{
    int alive = 0;
    for (int i = 0; i < w->nworkers; i++)
        alive += !w->workers[i].stop;
    if (w->nworkers == WORKERS || alive >= w->capacity)
        return;
    struct worker *k = &w->workers[w->nworkers];
    k->w = w;
    k->port = w->worker_port + w->nworkers;
    snprintf(k->id, sizeof k->id, "vm-%06d", ++w->nworkers);
    k->used = true;
    k->incarnation = 1;
    k->answered = k->hired = bd_now();
    k->daemon = listen_on(w, k->port, worker_answer, k);
    if (!k->daemon || pthread_create(&k->thread, NULL, worker_run, k) != 0)
        abort();
    json_array_append_new(names, json_string(k->id));
}

static json_t *machine_list(struct world *w)
{
    json_t *a = json_array();
    for (int i = 0; i < w->nworkers; i++) {
        char addr[32];
        snprintf(addr, sizeof addr, "127.0.0.1:%d", w->workers[i].port);
        const struct worker *k = &w->workers[i];
        if (k->stop)
            continue;
        bool failed = k->dead && bd_between(k->died, bd_now()) > FAILED_AFTER_S;
        json_array_append_new(a, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "id", k->id, "endpoint",
                                           addr, "breed", "small", "glade", "a", "windfall", 0,
                                           "mood", failed ? "failed" : "running", "heldS",
                                           bd_between(k->hired, bd_now())));
    }
    return json_pack("{s:o,s:b}", "hearths", a, "more", 0);
}

static int cloud_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                        json_t *in, json_t **out)
{
    struct world *w = arg;
    json_t *names = json_array(), *v;
    size_t i;
    (void)conn;
    if (strcmp(url, "/machine_types") == 0) {
        json_decref(names);
        *out = json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s]}]}", "breeds", "label",
                         "small", "vcpus", 4.0, "accelerators", 0.0, "memGb", 16.0, "localGb", 50.0,
                         "fetchGbPerS", 1.0, "hourly", 1.0, "marketPrice", 0.5, "readyS", 1.0,
                         "glades", "a");
        return 200;
    }
    if (strcmp(url, "/machines/return") == 0) {
        json_decref(names);
        json_array_foreach(json_object_get(in, "hearths"), i, v)
        {
            for (int k = 0; k < w->nworkers; k++) {
                if (strcmp(w->workers[k].id, json_string_value(v)) != 0)
                    continue;
                w->workers[k].stop = true;
                lose_all(&w->workers[k]);
            }
        }
        return 200;
    }
    if (strcmp(method, "POST") == 0) {
        int n = (int)json_integer_value(json_object_get(in, "howMany"));
        while (n-- > 0)
            hire(w, names);
        *out = json_pack("{s:o}", "hearths", names);
        return json_array_size(json_object_get(*out, "hearths")) ? 200 : 503;
    }
    json_decref(names);
    *out = machine_list(w);
    return 200;
}

/* ---- the whole ---- */

struct world *world_new(int state_port, int cloud_port, int worker_port, const char *const *nodes,
                        int nnodes)
{
    struct world *w = calloc(1, sizeof *w);
    if (!w || pthread_mutex_init(&w->lock, NULL) != 0)
        return NULL;
    w->table.owner = w;
    w->table.grant_lives = grant_lives;
    w->worker_port = worker_port;
    w->capacity = CAPACITY;
    w->nodes = nodes;
    w->nnodes = nnodes;
    w->cloud = listen_on(w, cloud_port, cloud_answer, w);
    bool good = w->cloud != NULL;
    for (int i = 0; i < DOORS; i++) {
        w->door[i] = (struct door){.w = w, .node = i};
        w->door_daemon[i] = listen_on(w, state_port + i, state_answer, &w->door[i]);
        good = good && w->door_daemon[i];
    }
    return good ? w : NULL;
}

static int sum(struct world *w, int (*f)(struct world *))
{
    pthread_mutex_lock(&w->lock);
    int n = f(w);
    pthread_mutex_unlock(&w->lock);
    return n;
}

static int twice(struct world *w)
{
    return w->ran_twice;
}

static int starts(struct world *w)
{
    return w->starts;
}

static int running(struct world *w)
{
    int n = 0;
    for (int i = 0; i < w->nworkers; i++)
        for (int k = 0; k < TASKS; k++)
            n += w->workers[i].tasks[k].state == 1;
    return n;
}

int world_ran_twice(struct world *w)
{
    return sum(w, twice);
}

static int early(struct world *w)
{
    return w->too_early;
}

static int lapses(struct world *w)
{
    return w->lapses;
}

int world_too_early(struct world *w)
{
    return sum(w, early);
}

int world_lapses(struct world *w)
{
    return sum(w, lapses);
}

void world_limits(struct world *w, size_t kv_value_bytes_max, size_t ops, int write_rps)
{
    pthread_mutex_lock(&w->lock);
    w->kv_value_bytes_max = kv_value_bytes_max;
    w->ops = ops;
    w->write_rps = write_rps;
    pthread_mutex_unlock(&w->lock);
}

void world_refused(struct world *w, int *refused, int *busy)
{
    pthread_mutex_lock(&w->lock);
    *refused = w->refused;
    *busy = w->busy;
    pthread_mutex_unlock(&w->lock);
}

bool world_dump(struct world *w, const char *path)
{
    json_t *all = json_object();
    pthread_mutex_lock(&w->lock);
    for (size_t i = 0; i < w->table.nkeys; i++)
        if (w->table.keys[i].value)
            json_object_set(all, w->table.keys[i].name, w->table.keys[i].value);
    pthread_mutex_unlock(&w->lock);
    bool ok = json_dump_file(all, path, JSON_INDENT(1) | JSON_SORT_KEYS) == 0;
    json_decref(all);
    return ok;
}

int world_copies(struct world *w, int *applied)
{
    pthread_mutex_lock(&w->lock);
    int n = w->copies;
    *applied = w->applied_again;
    pthread_mutex_unlock(&w->lock);
    return n;
}

int world_starts(struct world *w)
{
    return sum(w, starts);
}

int world_running(struct world *w)
{
    return sum(w, running);
}

void world_state_down(struct world *w, bool down)
{
    pthread_mutex_lock(&w->lock);
    w->down = down;
    pthread_mutex_unlock(&w->lock);
}

void world_state_refuses(struct world *w, int node, bool refused)
{
    pthread_mutex_lock(&w->lock);
    w->door[node].refused = refused;
    pthread_mutex_unlock(&w->lock);
}

void world_state_blinds(struct world *w, int node, bool blind)
{
    pthread_mutex_lock(&w->lock);
    w->door[node].blind = blind;
    pthread_mutex_unlock(&w->lock);
}

void world_state_loses(struct world *w, double lost_share, double late_share)
{
    pthread_mutex_lock(&w->lock);
    w->lost_share = lost_share;
    w->late_share = late_share;
    pthread_mutex_unlock(&w->lock);
}

int world_lost(struct world *w, int *late)
{
    pthread_mutex_lock(&w->lock);
    int n = w->lost;
    *late = w->late_applied;
    pthread_mutex_unlock(&w->lock);
    return n;
}

int world_running_of(struct world *w, const char *job)
{
    int n = 0;
    size_t len = strlen(job);
    pthread_mutex_lock(&w->lock);
    for (int i = 0; i < w->nworkers; i++)
        for (int k = 0; k < TASKS; k++)
            n += w->workers[i].tasks[k].state == 1 &&
                 strncmp(w->workers[i].tasks[k].name, job, len) == 0 &&
                 w->workers[i].tasks[k].name[len] == '/';
    pthread_mutex_unlock(&w->lock);
    return n;
}

void world_watch(struct world *w,
                 void (*watch)(void *arg, enum world_event event, const char *task), void *arg)
{
    pthread_mutex_lock(&w->lock);
    w->watch = watch;
    w->watch_arg = arg;
    pthread_mutex_unlock(&w->lock);
}

void world_capacity(struct world *w, int machines)
{
    pthread_mutex_lock(&w->lock);
    w->capacity = machines;
    pthread_mutex_unlock(&w->lock);
}

void world_kill(struct world *w, const char *machine)
{
    pthread_mutex_lock(&w->lock);
    for (int i = 0; i < w->nworkers; i++) {
        if (strcmp(w->workers[i].id, machine) != 0)
            continue;
        w->workers[i].dead = true;
        w->workers[i].died = bd_now();
        lose_all(&w->workers[i]);
    }
    pthread_mutex_unlock(&w->lock);
}

int world_machines(struct world *w, char *names, size_t cap)
{
    int n = 0;
    names[0] = '\0';
    pthread_mutex_lock(&w->lock);
    for (int i = 0; i < w->nworkers; i++) {
        if (w->workers[i].stop || w->workers[i].dead)
            continue;
        n++;
        snprintf(names + strlen(names), cap - strlen(names), "%s ", w->workers[i].id);
    }
    pthread_mutex_unlock(&w->lock);
    return n;
}

int world_leader(struct world *w)
{
    pthread_mutex_lock(&w->lock);
    struct table_key *k = table_find(&w->table, "leader");
    const char *name = k ? json_string_value(json_object_get(k->value, "node")) : NULL;
    int node = node_named(w, name);
    pthread_mutex_unlock(&w->lock);
    return node;
}

void world_state_garbles(struct world *w, int answers)
{
    pthread_mutex_lock(&w->lock);
    w->garbles = answers;
    pthread_mutex_unlock(&w->lock);
}

void world_stop(struct world *w)
{
    pthread_mutex_lock(&w->lock);
    for (int i = 0; i < w->nworkers; i++)
        w->workers[i].stop = true;
    pthread_mutex_unlock(&w->lock);
    for (int i = 0; i < w->nworkers; i++) {
        (void)pthread_join(w->workers[i].thread, NULL);
        MHD_stop_daemon(w->workers[i].daemon);
    }
    for (int i = 0; i < DOORS; i++)
        MHD_stop_daemon(w->door_daemon[i]);
    for (int i = 0; i < w->nlate; i++)
        json_decref(w->late[i].txn);
    MHD_stop_daemon(w->cloud);
    table_free(&w->table);
    for (int i = 0; i < 8; i++)
        json_decref(w->old[i]);
    (void)pthread_mutex_destroy(&w->lock);
    free(w);
}
