/* The stand-in region: see world.h. */
#define _GNU_SOURCE
#include "world.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

struct world W;
static FILE *record_file;
static struct timespec started;

double now_s(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)(t.tv_sec - started.tv_sec) + (double)(t.tv_nsec - started.tv_nsec) / 1e9;
}

void record(const char *format, ...)
{
    va_list args;
    if (!record_file)
        return;
    fprintf(record_file, "%8.3f ", now_s());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
}

void violation(const char *format, ...)
{
    char text[240];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (W.violations++ == 0)
        snprintf(W.first_violation, sizeof W.first_violation, "%s", text);
    record("BROKEN %s", text);
    fprintf(stderr, "%8.3f BROKEN %s\n", now_s(), text);
}

double draw(double from, double to)
{
    W.seed = W.seed * 1103515245u + 12345u;
    return from + (to - from) * (double)(W.seed >> 8 & 0xffff) / 65536.0;
}

/* ------------------------------------------------------------------ sites */

const struct site norrvik = {
    .name = "norrvik-bildarkiv",
    .zones = {"ost-hall", "vast-hall"},
    .nzones = 2,
    .node_zone = {"ost-hall", "vast-hall", "ost-hall"},
    .types = {{"gran", 16, 0, 64, 50, 0.25, 1.05, 0.27, 15},
              {"tall", 32, 0, 256, 25, 0.8, 2.85, 0.83, 50},
              {"ljusbord", 48, 4, 288, 70, 0.2, 15.31, 4.3, 45}},
    .ntypes = 3,
    .capacity = {{{3, 1}, {3, 1}}, {{3, 0}, {3, 0}}, {{34, 5}, {24, 4}}},
    .teams = {{"ateljen", 16, 70, 0},
              {"registrator", 16, 70, 0},
              {"konservator", 8, 50, 0},
              {"webbgrupp", 8, 35, 0},
              {"driftjour", 16, 120, 0},
              {"forskarstod", 16, 50, 0}},
    .nteams = 6,
    .report_s = 2, .lease_s = 10, .gang_wait_s = 30, .gang_peer_s = 4, .cancel_s = 35,
    .rps = 250, .write_rps = 100, .value_kb = 8, .txn_ops = 24,
    .cloud_rps = 3, .list_lag_s = 8, .cpu = 0.16, .ram_mb = 72, .max_sockets = 1000,
    .clock_error_ms = 5, .store_latency_s = 0.002, .cloud_latency_s = 0.08, .restart_s = 4,
};

const struct site shirakaba = {
    .name = "shirakaba-fleet",
    .zones = {"sapporo-a", "sapporo-b", "asahikawa"},
    .nzones = 3,
    .node_zone = {"sapporo-a", "sapporo-b", "asahikawa"},
    .types = {{"kitsune", 32, 0, 256, 70, 0.2, 2.04, 0.66, 35},
              {"higuma", 64, 0, 128, 70, 0.5, 3.19, 1.05, 25},
              {"tancho", 12, 2, 48, 50, 1.0, 4.65, 1.33, 35},
              {"shimafukuro", 24, 4, 192, 90, 0.2, 12.01, 4.03, 50}},
    .ntypes = 4,
    .capacity = {{{5, 4}, {4, 4}, {6, 5}},
                 {{2, 1}, {1, 1}, {2, 1}},
                 {{5, 1}, {5, 1}, {0, 0}},
                 {{2, 1}, {0, 0}, {2, 1}}},
    .teams = {{"fleet-ops", 8, 48, 0}, {"rider-app", 8, 70, 0}},
    .nteams = 2,
    .report_s = 3, .lease_s = 32, .gang_wait_s = 30, .gang_peer_s = 4, .cancel_s = 52,
    .rps = 200, .write_rps = 80, .value_kb = 32, .txn_ops = 48,
    .cloud_rps = 2, .list_lag_s = 5, .cpu = 0.064, .ram_mb = 56, .max_sockets = 800,
    .clock_error_ms = 100, .store_latency_s = 0.003, .cloud_latency_s = 0.15, .restart_s = 6,
};

/* ------------------------------------------------------------------ connections of servers */

enum server { SRV_STORE, SRV_CLOUD, SRV_WORKER, SRV_MESH };

struct conn {
    int fd, other_fd; /* other_fd: mesh, to the node that is called; -1: none */
    enum server server;
    int index, to;      /* node, machine; to: mesh */
    bool opened_in_cut; /* its handshake fell into a cut */
    bool is_closed_in;  /* the caller has ended its side */
    char *in;
    size_t len, cap;
    char *out;
    size_t out_len, out_sent;
    double out_at;
};
#define CONNS_MAX 4096
static struct conn *conns[CONNS_MAX];
static int nconns;

struct listener {
    int fd;
    enum server server;
    int index, to;
};
static struct listener listeners[MACHINES_MAX + 64];
static int nlisteners;

static void set_nonblocking(int fd)
{
    (void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    (void)fcntl(fd, F_SETFD, FD_CLOEXEC);
}

/* Listens on a free loopback port. */
static int listen_any(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t n = sizeof a;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &n) != 0)
        return -1;
    set_nonblocking(fd);
    *port = ntohs(a.sin_port);
    return fd;
}

/* A port that a controller will listen on, below the range from which the system takes ports. Blocks
 * of ten are kept apart by a socket that stays bound to the block's last port. */
int free_port(void)
{
    static int base, used;
    for (int i = 0; base == 0 && i < 2000; i++) {
        int first = 11000 + (int)((getpid() * 7 + i) % 2000) * 10;
        struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)(first + 9))};
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool is_free = fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof a) == 0;
        for (int k = 0; is_free && k < 9; k++) {
            int test = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            a.sin_port = htons((uint16_t)(first + k));
            is_free = test >= 0 && bind(test, (struct sockaddr *)&a, sizeof a) == 0;
            close(test);
        }
        if (is_free)
            base = first;
        else if (fd >= 0)
            close(fd);
    }
    return base + used++;
}

static void add_listener(int fd, enum server server, int index, int to)
{
    listeners[nlisteners++] = (struct listener){fd, server, index, to};
}

static enum link_state conn_link(enum server server, int index, int to)
{
    switch (server) {
    case SRV_STORE:
        return W.nodes[index].store_link;
    case SRV_CLOUD:
        return W.nodes[index].cloud_link;
    case SRV_MESH:
        return W.mesh[index][to];
    default:
        return LINK_OK; /* workers: by the caller, see below */
    }
}

static int caller_node(int fd); /* the controller at the other end of a worker's connection */

static void conn_close(struct conn *c, bool reset)
{
    struct linger l = {1, 0};
    if (reset) {
        setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        if (c->other_fd >= 0)
            setsockopt(c->other_fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    }
    close(c->fd);
    if (c->other_fd >= 0)
        close(c->other_fd);
    free(c->in);
    free(c->out);
    for (int i = 0; i < nconns; i++)
        if (conns[i] == c) {
            conns[i] = conns[--nconns];
            break;
        }
    free(c);
}

/* ------------------------------------------------------------------ HTTP of servers */

static void respond(struct conn *c, int status, json_t *body, double delay_s)
{
    char *text = body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) : strdup("{}");
    json_decref(body);
    size_t n = strlen(text);
    free(c->out);
    c->out = malloc(n + 200);
    c->out_len = (size_t)sprintf(c->out,
                                 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                                 "Content-Length: %zu\r\n\r\n",
                                 status, n);
    memcpy(c->out + c->out_len, text, n);
    c->out_len += n;
    c->out_sent = 0;
    c->out_at = now_s() + delay_s;
    free(text);
}

/* ------------------------------------------------------------------ key-value store */

struct key {
    char *name;
    json_t *value;
    uint64_t mark, charter;
};
static struct key *keys;
static int nkeys, keys_cap;
struct change {
    char *name;
    json_t *value; /* NULL: dropped */
    uint64_t mark;
};
#define LOG_MAX 10000
static struct change *change_log;
static uint64_t nchanges;
struct grant {
    uint64_t id;
    double ttl, ends;
};
static struct grant grants[256];
static int ngrants;
static uint64_t last_grant;
static double tokens_rps, tokens_write, tokens_at;

static int key_at(const char *name, bool *found)
{
    int lo = 0, hi = nkeys;
    while (lo < hi) {
        int mid = (lo + hi) / 2, d = strcmp(keys[mid].name, name);
        if (d == 0) {
            *found = true;
            return mid;
        }
        if (d < 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    *found = false;
    return lo;
}

static void log_change(const char *name, json_t *value)
{
    struct change *c = &change_log[nchanges++ % LOG_MAX];
    free(c->name);
    json_decref(c->value);
    *c = (struct change){strdup(name), json_incref(value), W.ring};
}

static void key_set(const char *name, json_t *value, uint64_t charter)
{
    bool found;
    int i = key_at(name, &found);
    if (!found) {
        if (nkeys == keys_cap)
            keys = realloc(keys, (size_t)(keys_cap = keys_cap ? 2 * keys_cap : 256) * sizeof *keys);
        memmove(keys + i + 1, keys + i, (size_t)(nkeys++ - i) * sizeof *keys);
        keys[i] = (struct key){.name = strdup(name)};
    }
    json_decref(keys[i].value);
    keys[i].value = json_incref(value);
    keys[i].mark = W.ring;
    keys[i].charter = charter;
    log_change(name, value);
}

static void key_drop(const char *name)
{
    bool found;
    int i = key_at(name, &found);
    if (!found)
        return;
    log_change(name, NULL);
    free(keys[i].name);
    json_decref(keys[i].value);
    memmove(keys + i, keys + i + 1, (size_t)(--nkeys - i) * sizeof *keys);
}

bool store_has_key(const char *key)
{
    bool found;
    (void)key_at(key, &found);
    return found;
}

json_t *store_value(const char *key)
{
    bool found;
    int i = key_at(key, &found);
    return found ? keys[i].value : NULL;
}

uint64_t store_leader_mark(void)
{
    bool found;
    int i = key_at("leader", &found);
    return found ? keys[i].mark : 0;
}

int store_leader(void)
{
    const char *name = json_string_value(json_object_get(store_value("leader"), "node"));
    return name ? atoi(name + strlen("hearth-")) : -1;
}

static struct grant *grant_find(uint64_t id)
{
    for (int i = 0; i < ngrants; i++)
        if (grants[i].id == id)
            return &grants[i];
    return NULL;
}

static void grant_end(struct grant *g)
{
    uint64_t id = g->id;
    *g = grants[--ngrants];
    bool any = false;
    for (int i = 0; i < nkeys;) {
        if (keys[i].charter != id) {
            i++;
            continue;
        }
        if (!any)
            W.ring++;
        any = true;
        if (strcmp(keys[i].name, "leader") == 0)
            record("store: the leader's key ends with its lease");
        key_drop(keys[i].name);
    }
}

static void store_tick(void)
{
    static bool was_down;
    double now = now_s();
    if (W.store_down) {
        was_down = true;
        return;
    }
    for (int i = 0; was_down && i < ngrants; i++)
        grants[i].ends = now + grants[i].ttl; /* full time again */
    was_down = false;
    for (int i = 0; i < ngrants;)
        if (grants[i].ends <= now)
            grant_end(&grants[i]);
        else
            i++;
}

static json_t *pair_of(const struct key *k)
{
    json_t *p = json_pack("{s:s,s:O,s:I}", "k", k->name, "value", k->value, "mark",
                          (json_int_t)k->mark);
    if (k->charter)
        json_object_set_new(p, "charter", json_integer((json_int_t)k->charter));
    return p;
}

static const char *query(const char *url, const char *name, char *out, size_t cap)
{
    char pattern[32];
    snprintf(pattern, sizeof pattern, "%s=", name);
    out[0] = '\0';
    const char *q = strchr(url, '?');
    while (q && *q) {
        q++;
        size_t n = strcspn(q, "&");
        if (strncmp(q, pattern, strlen(pattern)) == 0) {
            snprintf(out, cap, "%.*s", (int)(n - strlen(pattern)), q + strlen(pattern));
            return out;
        }
        q += n;
    }
    return NULL;
}

static bool limits_broken(json_t *request, size_t body_len)
{
    json_t *ops = json_object_get(request, "apply"), *op;
    size_t i;
    if (body_len > 65536 || (int)json_array_size(ops) > W.site->txn_ops ||
        (int)json_array_size(json_object_get(request, "if")) > 4 * W.site->txn_ops)
        return true;
    json_array_foreach(ops, i, op)
    {
        json_t *value = json_object_get(op, "value");
        char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
        bool too_long = text && strlen(text) > W.site->value_kb * 1024;
        free(text);
        if (too_long)
            return true;
    }
    return false;
}

static int store_commit(json_t *request, json_t **response)
{
    json_t *item, *failed = json_array();
    size_t i;
    bool found;
    json_array_foreach(json_object_get(request, "if"), i, item)
    {
        const char *k = json_string_value(json_object_get(item, "k"));
        int at = key_at(k, &found);
        uint64_t mark = found ? keys[at].mark : 0;
        if (mark != (uint64_t)json_integer_value(json_object_get(item, "mark")))
            json_array_append_new(failed, json_string(k));
    }
    json_array_foreach(json_object_get(request, "apply"), i, item)
    {
        json_t *charter = json_object_get(item, "charter");
        if (json_object_get(item, "set") && charter &&
            !grant_find((uint64_t)json_integer_value(charter))) {
            json_decref(failed);
            *response = json_pack("{s:s}", "error", "no such lease");
            return 400;
        }
    }
    if (json_array_size(failed) > 0) {
        *response = json_pack("{s:o,s:I}", "failed", failed, "ring", (json_int_t)W.ring);
        return 409;
    }
    json_decref(failed);
    if (json_array_size(json_object_get(request, "apply")) > 0)
        W.ring++;
    json_array_foreach(json_object_get(request, "apply"), i, item)
    {
        const char *set = json_string_value(json_object_get(item, "set"));
        const char *drop = json_string_value(json_object_get(item, "drop"));
        if (set) {
            if (strcmp(set, "leader") == 0)
                record("store: the leader's key is written by %s, mark %llu",
                       json_string_value(
                           json_object_get(json_object_get(item, "value"), "node")),
                       (unsigned long long)W.ring);
            key_set(set, json_object_get(item, "value"),
                    (uint64_t)json_integer_value(json_object_get(item, "charter")));
        } else if (drop)
            key_drop(drop);
    }
    *response = json_pack("{s:I}", "ring", (json_int_t)W.ring);
    return 200;
}

static int store_list(const char *url, json_t **response)
{
    char prefix[256], after[256], limit[32];
    if (!query(url, "starts", prefix, sizeof prefix))
        prefix[0] = '\0';
    bool has_after = query(url, "after", after, sizeof after) != NULL;
    int max = query(url, "limit", limit, sizeof limit) ? atoi(limit) : 1000;
    json_t *pairs = json_array();
    bool more = false, found;
    size_t bytes = 0;
    int i = key_at(has_after && strcmp(after, prefix) > 0 ? after : prefix, &found);
    if (found && has_after && strcmp(keys[i].name, after) == 0)
        i++;
    for (; i < nkeys && strncmp(keys[i].name, prefix, strlen(prefix)) == 0; i++) {
        char *text = json_dumps(keys[i].value, JSON_COMPACT | JSON_ENCODE_ANY);
        bytes += strlen(text) + strlen(keys[i].name) + 40;
        free(text);
        if ((int)json_array_size(pairs) >= max || json_array_size(pairs) >= 1000 ||
            bytes > 512 * 1024) {
            more = true;
            break;
        }
        json_array_append_new(pairs, pair_of(&keys[i]));
    }
    *response =
        json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", more, "ring", (json_int_t)W.ring);
    return 200;
}

static int store_follow(const char *url, json_t **response)
{
    char prefix[256], after[64];
    if (!query(url, "starts", prefix, sizeof prefix))
        prefix[0] = '\0';
    uint64_t from = query(url, "after", after, sizeof after) ? strtoull(after, NULL, 10) : 0;
    uint64_t first = nchanges > LOG_MAX ? nchanges - LOG_MAX : 0;
    if (nchanges > LOG_MAX && change_log[first % LOG_MAX].mark > from + 1)
        return 410;
    json_t *log = json_array();
    for (uint64_t i = first; i < nchanges; i++) {
        struct change *c = &change_log[i % LOG_MAX];
        if (c->mark <= from || strncmp(c->name, prefix, strlen(prefix)) != 0)
            continue;
        if (c->value)
            json_array_append_new(log, json_pack("{s:s,s:O,s:I}", "set", c->name, "value",
                                                 c->value, "mark", (json_int_t)c->mark));
        else
            json_array_append_new(
                log, json_pack("{s:s,s:I}", "drop", c->name, "mark", (json_int_t)c->mark));
    }
    *response = json_pack("{s:I,s:o}", "ring", (json_int_t)W.ring, "log", log);
    return 200;
}

static int store_grants(const char *method, const char *url, json_t *request, json_t **response)
{
    uint64_t id = url[7] == '/' ? strtoull(url + 8, NULL, 10) : 0;
    if (id == 0) {
        double ttl = (double)json_integer_value(json_object_get(request, "ttlMs")) / 1000;
        if (ttl < 0.1 || ngrants == 256)
            return 400;
        grants[ngrants++] =
            (struct grant){++last_grant, ttl, now_s() + ttl + draw(0, 0.1)};
        *response = json_pack("{s:I}", "charter", (json_int_t)last_grant);
        return 200;
    }
    struct grant *g = grant_find(id);
    if (!g)
        return 404;
    if (strcmp(method, "DELETE") == 0)
        grant_end(g);
    else
        g->ends = now_s() + g->ttl + draw(0, 0.1);
    return 200;
}

static bool take_token(double *tokens, double n, double rate)
{
    (void)rate;
    if (*tokens < n)
        return false;
    *tokens -= n;
    return true;
}

static void refill_tokens(void)
{
    double now = now_s(), dt = now - tokens_at;
    tokens_at = now;
    tokens_rps = fmin(W.site->rps, tokens_rps + W.site->rps * dt);
    tokens_write = fmin(W.site->write_rps, tokens_write + W.site->write_rps * dt);
}

static int count_429;

static void store_request(struct conn *c, const char *method, const char *url, json_t *request,
                          size_t body_len)
{
    json_t *response = NULL;
    int status = 404;
    double latency = W.site->store_latency_s * draw(0.7, 1.6);
    store_tick();
    refill_tokens();
    size_t ops = json_array_size(json_object_get(request, "apply"));
    if (W.store_down || W.nodes[c->index].store_refused)
        status = 503;
    else if (!take_token(&tokens_rps, 1, W.site->rps))
        status = 429;
    else if (strcmp(url, "/commit") == 0 && limits_broken(request, body_len)) {
        status = 400;
        record("store: 400 to hearth-%d, a limit", c->index);
    } else if (strcmp(url, "/commit") == 0 &&
             !take_token(&tokens_write, (double)ops, W.site->write_rps))
        status = 429;
    else if (strcmp(url, "/commit") == 0)
        status = store_commit(request, &response);
    else if (strncmp(url, "/kv?", 4) == 0)
        status = store_list(url, &response);
    else if (strncmp(url, "/kv/", 4) == 0) {
        bool found;
        int i = key_at(url + 4, &found);
        status = found ? 200 : 404;
        response = found ? pair_of(&keys[i]) : json_pack("{s:I}", "ring", (json_int_t)W.ring);
    } else if (strncmp(url, "/follow", 7) == 0)
        status = store_follow(url, &response);
    else if (strncmp(url, "/grants", 7) == 0)
        status = store_grants(method, url, request, &response);
    if (status == 429)
        count_429++;
    respond(c, status, response, latency);
}

/* ------------------------------------------------------------------ cloud */

static json_t *pleas;
static double cloud_tokens, cloud_tokens_at;

struct machine *machine_named(const char *id)
{
    for (int i = 0; i < W.nmachines; i++)
        if (strcmp(W.machines[i].id, id) == 0)
            return &W.machines[i];
    return NULL;
}

static int type_named(const char *name)
{
    for (int i = 0; i < W.site->ntypes; i++)
        if (name && strcmp(W.site->types[i].name, name) == 0)
            return i;
    return -1;
}

static int zone_named(const char *name)
{
    for (int i = 0; i < W.site->nzones; i++)
        if (name && strcmp(W.site->zones[i], name) == 0)
            return i;
    return -1;
}

struct machine *machine_add(int type, int zone, bool spot, bool is_up)
{
    if (W.nmachines == MACHINES_MAX)
        return NULL;
    struct machine *m = &W.machines[W.nmachines];
    memset(m, 0, sizeof *m);
    snprintf(m->id, sizeof m->id, "vm-%06d", ++W.nmachines);
    m->type = type;
    m->zone = zone;
    m->spot = spot;
    m->rented_at = is_up ? now_s() - 20 : now_s();
    double boot = W.site->types[type].boot_s * draw(0.6, 1.5) * W.boot_factor;
    m->up_at = is_up ? now_s() : now_s() + boot;
    m->never_boots = !is_up && draw(0, 1) < 0.01;
    m->listen_fd = listen_any(&m->port);
    add_listener(m->listen_fd, SRV_WORKER, W.nmachines - 1, 0);
    m->node = (int)draw(0, NODES);
    return m;
}

static int machines_in(int type, int zone, bool spot)
{
    int n = 0;
    for (int i = 0; i < W.nmachines; i++) {
        struct machine *m = &W.machines[i];
        n += !m->is_gone && !m->is_dead && m->type == type && m->zone == zone && m->spot == spot;
    }
    return n;
}

static json_t *types_json(void)
{
    json_t *breeds = json_array();
    for (int i = 0; i < W.site->ntypes; i++) {
        const struct machine_type *t = &W.site->types[i];
        json_t *glades = json_array();
        for (int z = 0; z < W.site->nzones; z++)
            if (W.site->capacity[i][z][0] + W.site->capacity[i][z][1] > 0)
                json_array_append_new(glades, json_string(W.site->zones[z]));
        json_array_append_new(
            breeds,
            json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "label", t->name, "vcpus",
                      t->cpus, "accelerators", t->gpus, "memGb", t->mem_gb, "localGb", t->cache_gb,
                      "fetchGbPerS", t->fetch_gb_per_s, "hourly", t->price, "marketPrice",
                      t->spot_price, "readyS", t->boot_s, "glades", glades));
    }
    return json_pack("{s:o}", "breeds", breeds);
}

static int cloud_rent(json_t *request, json_t **response)
{
    const char *plea = json_string_value(json_object_get(request, "plea"));
    int type = type_named(json_string_value(json_object_get(request, "breed")));
    int zone = zone_named(json_string_value(json_object_get(request, "glade")));
    bool spot = json_is_true(json_object_get(request, "windfall"));
    int many = (int)json_integer_value(json_object_get(request, "howMany"));
    json_t *old = plea ? json_object_get(pleas, plea) : NULL;
    if (old) {
        *response = json_pack("{s:O}", "hearths", old);
        return 200;
    }
    if (!plea || type < 0 || zone < 0 || many < 1 || many > 50)
        return 400;
    int room = W.site->capacity[type][zone][spot] - machines_in(type, zone, spot);
    if (room <= 0) {
        *response = json_pack("{s:s}", "error", "no capacity");
        return 503;
    }
    json_t *names = json_array();
    for (int i = 0; i < many && i < room; i++) {
        struct machine *m = machine_add(type, zone, spot, false);
        if (m)
            json_array_append_new(names, json_string(m->id));
    }
    json_object_set(pleas, plea, names);
    *response = json_pack("{s:o}", "hearths", names);
    return 200;
}

static void machine_gone(struct machine *m, const char *why)
{
    if (m->is_gone)
        return;
    record("%s is gone: %s, %d tasks on it", m->id, why, machine_tasks(m));
    m->is_gone = true;
    m->gone_at = now_s();
    m->ntasks = 0;
}

void machine_die(struct machine *m)
{
    record("%s dies, %d tasks on it", m->id, machine_tasks(m));
    m->is_dead = true;
    m->died_at = now_s();
    m->ntasks = 0;
}

int machine_tasks(const struct machine *m)
{
    int n = 0;
    for (int i = 0; i < m->ntasks; i++)
        n += m->tasks[i].mood != EXITED;
    return n;
}

static int cloud_list(const char *url, json_t **response)
{
    char after[64], limit[32];
    bool has_after = query(url, "after", after, sizeof after) != NULL;
    int max = query(url, "limit", limit, sizeof limit) ? atoi(limit) : 500;
    double view = now_s() - W.site->list_lag_s * draw(0.4, 1.0);
    json_t *list = json_array();
    bool more = false;
    for (int i = 0; i < W.nmachines; i++) {
        struct machine *m = &W.machines[i];
        if ((has_after && strcmp(m->id, after) <= 0) || m->rented_at > view ||
            (m->is_gone && m->gone_at <= view))
            continue;
        if ((int)json_array_size(list) >= max) {
            more = true;
            break;
        }
        char endpoint[32];
        snprintf(endpoint, sizeof endpoint, "127.0.0.1:%d", m->port);
        const char *mood = m->is_dead && m->died_at + 30 <= view ? "failed"
                           : m->never_boots || m->up_at > view   ? "booting"
                                                                 : "running";
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "id", m->id, "endpoint", endpoint,
                            "breed", W.site->types[m->type].name, "glade", W.site->zones[m->zone],
                            "windfall", m->spot, "mood", mood, "heldS", view - m->rented_at));
    }
    *response = json_pack("{s:o,s:b}", "hearths", list, "more", more);
    return 200;
}

static void cloud_request(struct conn *c, const char *method, const char *url, json_t *request)
{
    json_t *response = NULL, *name;
    size_t i;
    int status = 404;
    double now = now_s();
    cloud_tokens = fmin(2 * W.site->cloud_rps,
                        cloud_tokens + W.site->cloud_rps * (now - cloud_tokens_at));
    cloud_tokens_at = now;
    bool is_change = strcmp(method, "POST") == 0;
    if (is_change) {
        char *text = json_dumps(request, JSON_COMPACT);
        record("cloud: hearth-%d sends %s %s", c->index, url, text);
        free(text);
        W.cloud_changes[c->index]++;
        if (W.on_cloud_change)
            W.on_cloud_change(c->index, url, request);
    }
    if (W.cloud_down) {
        status = 503;
        response = json_pack("{s:s}", "error", "trouble");
    } else if (cloud_tokens < 1) {
        status = 429;
    } else {
        cloud_tokens--;
        if (strcmp(url, "/machine_types") == 0) {
            status = 200;
            response = types_json();
        } else if (is_change && strcmp(url, "/machines") == 0) {
            status = cloud_rent(request, &response);
        } else if (strcmp(url, "/machines/return") == 0) {
            json_array_foreach(json_object_get(request, "hearths"), i, name)
            {
                struct machine *m = machine_named(json_string_value(name));
                char why[64];
                snprintf(why, sizeof why, "returned by hearth-%d", c->index);
                if (m)
                    machine_gone(m, why);
            }
            status = 200;
        } else if (strncmp(url, "/machines", 9) == 0)
            status = cloud_list(url, &response);
    }
    if (is_change)
        record("cloud: answers %d", status);
    respond(c, status, response, W.site->cloud_latency_s * draw(0.75, 1.25));
}

/* ------------------------------------------------------------------ workers' tasks */

static const char *const mood_names[] = {"pulling", "gathering", "running", "saving", "exited"};

static bool is_on_machine(const struct task *t)
{
    return t->mood == GATHERING || t->mood == RUNNING || t->mood == SAVING;
}

static void task_name(const struct task *t, char *out)
{
    sprintf(out, "%s/%d", W.jobs[t->job].id, t->index);
}

static double image_at(struct machine *m, const struct job *j)
{
    static double at[MACHINES_MAX][IMAGES_MAX];
    int index = (int)(m - W.machines);
    double now = now_s();
    for (int i = 0; i < m->nimages; i++)
        if (strcmp(m->images[i], j->image) == 0)
            return fmax(at[index][i], now + 0.02);
    if (m->nimages == IMAGES_MAX)
        m->nimages = 0;
    snprintf(m->images[m->nimages], sizeof m->images[0], "%s", j->image);
    double start = fmax(now, m->fetch_busy_until);
    double done = start + j->image_gb / W.site->types[m->type].fetch_gb_per_s * draw(0.75, 1.3);
    m->fetch_busy_until = done;
    at[index][m->nimages++] = done;
    return done;
}

static void task_exit(struct machine *m, struct task *t, const char *cause)
{
    char name[40];
    task_name(t, name);
    record("%s: %s try %llu exits, %s", m->id, name, (unsigned long long)t->attempt, cause);
    t->mood = EXITED;
    t->cause = cause;
    m->changed = true;
}

/* The rules that a start may break. */
static void check_start(struct machine *m, struct task *t)
{
    struct job *j = &W.jobs[t->job];
    char name[40];
    task_name(t, name);
    double team_gpus = 0, team_cpus = 0;
    int in_zone[ZONES_MAX] = {0}, other_zone = 0;
    for (int i = 0; i < W.nmachines; i++) {
        struct machine *o = &W.machines[i];
        if (o->is_gone || o->is_dead)
            continue;
        for (int k = 0; k < o->ntasks; k++) {
            struct task *u = &o->tasks[k];
            if (!is_on_machine(u))
                continue;
            if (u != t && u->job == t->job && u->index == t->index && o != m)
                violation("ran_twice: %s starts on %s (try %llu) while it is on %s (try %llu)",
                          name, m->id, (unsigned long long)t->attempt, o->id,
                          (unsigned long long)u->attempt);
            if (W.jobs[u->job].team == j->team) {
                team_gpus += W.jobs[u->job].gpus;
                team_cpus += W.jobs[u->job].vcpus;
            }
            if (u->job == t->job) {
                in_zone[o->zone]++;
                other_zone += o->zone != m->zone;
            }
        }
    }
    const struct team *team = &W.site->teams[j->team];
    if ((team->gpus_max > 0 && team_gpus > team->gpus_max + 1e-6) ||
        (team->cpus_max > 0 && team_cpus > team->cpus_max + 1e-6))
        violation("quota: %s uses %.1f GPUs and %.1f CPUs", team->name, team_gpus, team_cpus);
    if ((j->breeds && !(j->breeds >> m->type & 1)) || (j->glade >= 0 && j->glade != m->zone) ||
        (m->spot && !j->windfall))
        violation("wrong_place: %s starts on %s", name, m->id);
    if (j->together && other_zone > 0)
        violation("wrong_place: %s starts on %s, its job is in another zone", name, m->id);
    if (j->scatter && in_zone[m->zone] > (j->chores + 1) / 2)
        violation("wrong_place: %s starts on %s, %d of %d tasks in one zone", name, m->id,
                  in_zone[m->zone], j->chores);
    if (j->told_cancelled_at > 0 && now_s() > j->told_cancelled_at + W.site->cancel_s)
        violation("ran_cancelled: %s starts %.1f s after its user was told", name,
                  now_s() - j->told_cancelled_at);
}

static void start_running(struct machine *m, struct task *t)
{
    struct job *j = &W.jobs[t->job];
    (void)m;
    t->mood = RUNNING;
    t->started_at = now_s();
    t->ends_at = j->shape == SERVICE ? 1e18
                 : j->shape == GANG  ? now_s() + fmax(0.1, j->run_s - j->saved)
                                     : now_s() + j->run_s * draw(0.7, 1.3);
    m->changed = true;
}

static bool member_is_alive(const struct machine *m)
{
    return !m->is_gone && !m->is_dead && m->hang_until < now_s();
}

/* Counts the gang's members of the attempt that are in the mood. */
static int gang_count(int job, uint64_t attempt, enum task_mood mood)
{
    int n = 0;
    for (int i = 0; i < W.nmachines; i++)
        for (int k = 0; k < W.machines[i].ntasks; k++) {
            struct task *t = &W.machines[i].tasks[k];
            n += t->job == job && t->attempt == attempt && t->mood == mood &&
                 member_is_alive(&W.machines[i]);
        }
    return n;
}

static void image_ready(struct machine *m, struct task *t)
{
    struct job *j = &W.jobs[t->job];
    char name[40];
    task_name(t, name);
    if (j->done[t->index]) {
        task_exit(m, t, "done");
        return;
    }
    t->mood = j->shape == GANG && j->chores > 1 ? GATHERING : RUNNING;
    t->gathering_since = now_s();
    record("%s: %s try %llu starts%s", m->id, name, (unsigned long long)t->attempt,
           t->mood == GATHERING ? ", waits for its gang" : "");
    j->starts++;
    check_start(m, t);
    if (W.on_task_start)
        W.on_task_start(m, t);
    if (t->mood == RUNNING)
        start_running(m, t);
    else if (gang_count(t->job, t->attempt, GATHERING) == j->chores)
        for (int i = 0; i < W.nmachines; i++)
            for (int k = 0; k < W.machines[i].ntasks; k++) {
                struct task *u = &W.machines[i].tasks[k];
                if (u->job == t->job && u->attempt == t->attempt && u->mood == GATHERING)
                    start_running(&W.machines[i], u);
            }
    m->changed = true;
}

static void complete(struct machine *m, struct task *t)
{
    struct job *j = &W.jobs[t->job];
    int job = t->job;
    uint64_t attempt = t->attempt;
    if (j->shape != GANG) {
        if (!j->done[t->index]) {
            j->done[t->index] = 1;
            j->ndone++;
        }
        task_exit(m, t, "done");
    } else {
        for (int i = 0; i < W.nmachines; i++)
            for (int k = 0; k < W.machines[i].ntasks; k++) {
                struct task *u = &W.machines[i].tasks[k];
                if (u->job == job && u->attempt == attempt && u->mood == RUNNING)
                    task_exit(&W.machines[i], u, "done");
            }
        memset(j->done, 1, (size_t)j->chores);
        j->ndone = j->chores;
    }
    if (j->ndone == j->chores && j->completed_at == 0)
        j->completed_at = now_s();
}

static void gang_lost(struct job *j, const struct task *t)
{
    double progress = j->saved + (t->mood == RUNNING ? now_s() - t->started_at : 0);
    if (j->mark_s > 0)
        j->saved = fmax(j->saved, floor(progress / j->mark_s) * j->mark_s);
}

static void tasks_tick(struct machine *m)
{
    double now = now_s();
    for (int k = 0; k < m->ntasks; k++) {
        struct task *t = &m->tasks[k];
        struct job *j = &W.jobs[t->job];
        if (t->mood == PULLING && now >= t->ready_at)
            image_ready(m, t);
        if (t->mood == GATHERING && now > t->gathering_since + W.site->gang_wait_s)
            task_exit(m, t, "alone");
        if (t->mood == RUNNING && j->shape == GANG && j->chores > 1) {
            bool whole = gang_count(t->job, t->attempt, RUNNING) +
                             gang_count(t->job, t->attempt, SAVING) == j->chores;
            if (whole)
                t->peer_lost_at = 0;
            else if (t->peer_lost_at == 0)
                t->peer_lost_at = now;
            else if (now > t->peer_lost_at + W.site->gang_peer_s) {
                gang_lost(j, t);
                task_exit(m, t, "peers");
                continue;
            }
        }
        if (t->mood == RUNNING && now >= t->ends_at &&
            (j->shape != GANG || gang_count(t->job, t->attempt, RUNNING) == j->chores))
            complete(m, t);
        if (t->mood == SAVING && now >= t->save_until) {
            t->kept = true;
            j->saved = fmax(j->saved, t->ends_at);
            task_exit(m, t, "stopped");
        }
    }
}

static struct task *task_find(struct machine *m, int job, int index, uint64_t attempt)
{
    for (int k = 0; k < m->ntasks; k++)
        if (m->tasks[k].job == job && m->tasks[k].index == index &&
            m->tasks[k].attempt == attempt)
            return &m->tasks[k];
    return NULL;
}

static int job_numbered(const char *id)
{
    for (int i = 0; i < W.njobs; i++)
        if (strcmp(W.jobs[i].id, id) == 0)
            return i;
    return -1;
}

static void launch(struct machine *m, const char *chore, int job, int index, uint64_t attempt)
{
    if (task_find(m, job, index, attempt))
        return;
    if (m->ntasks == MACHINE_TASKS_MAX)
        return;
    struct task *t = &m->tasks[m->ntasks++];
    *t = (struct task){.job = job, .index = index, .attempt = attempt};
    m->changed = true;
    struct job *j = &W.jobs[job];
    const struct machine_type *type = &W.site->types[m->type];
    double cpus = j->vcpus, gpus = j->gpus, mem = j->mem_gb;
    bool busy = false;
    for (int k = 0; k + 1 < m->ntasks; k++) {
        struct task *u = &m->tasks[k];
        if (u->mood == EXITED)
            continue;
        busy |= u->job == job && u->index == index;
        cpus += W.jobs[u->job].vcpus;
        gpus += W.jobs[u->job].gpus;
        mem += W.jobs[u->job].mem_gb;
    }
    record("%s: launch %s try %llu", m->id, chore, (unsigned long long)attempt);
    if (j->first_submit == 0)
        task_exit(m, t, "unknown");
    else if (busy)
        task_exit(m, t, "busy");
    else if (cpus > type->cpus + 1e-6 || gpus > type->gpus + 1e-6 || mem > type->mem_gb + 1e-6)
        task_exit(m, t, "no_room");
    else
        t->ready_at = image_at(m, j);
}

static void halt(struct machine *m, struct task *t, double mercy)
{
    struct job *j = &W.jobs[t->job];
    if (t->mood == EXITED)
        return;
    if (t->mood == RUNNING && W.on_halt)
        W.on_halt(m, t);
    if (t->mood == SAVING) {
        if (mercy == 0)
            task_exit(m, t, "stopped");
        return;
    }
    if (t->mood == RUNNING && j->mark_s > 0 && mercy >= j->stow_s) {
        t->mood = SAVING;
        t->save_until = now_s() + j->stow_s;
        t->ends_at = j->saved + now_s() - t->started_at; /* progress to keep */
        m->changed = true;
        return;
    }
    if (t->mood == RUNNING && j->shape == GANG)
        gang_lost(j, t);
    task_exit(m, t, "stopped");
}

static void execute(struct machine *m, json_t *bids)
{
    json_t *bid;
    size_t i;
    json_array_foreach(bids, i, bid)
    {
        const char *verb = json_string_value(json_object_get(bid, "verb"));
        const char *chore = json_string_value(json_object_get(bid, "chore"));
        uint64_t attempt = (uint64_t)json_integer_value(json_object_get(bid, "try"));
        char id[40];
        if (!verb || !chore || !strchr(chore, '/'))
            continue;
        snprintf(id, sizeof id, "%.*s", (int)strcspn(chore, "/"), chore);
        int job = job_numbered(id), index = atoi(strchr(chore, '/') + 1);
        if (job < 0 || index >= W.jobs[job].chores) {
            violation("%s gets work that nobody sent: %s %s", m->id, verb, chore);
            continue;
        }
        struct task *t = task_find(m, job, index, attempt);
        if (strcmp(verb, "launch") == 0)
            launch(m, chore, job, index, attempt);
        else if (t && strcmp(verb, "halt") == 0) {
            record("%s: halt %s try %llu", m->id, chore, (unsigned long long)attempt);
            halt(m, t, json_number_value(json_object_get(bid, "mercyS")));
        } else if (t && strcmp(verb, "forget") == 0 && t->mood == EXITED)
            *t = m->tasks[--m->ntasks];
    }
}

static json_t *report_of(struct machine *m)
{
    json_t *chores = json_array();
    char name[40], endpoint[32];
    for (int k = 0; k < m->ntasks; k++) {
        struct task *t = &m->tasks[k];
        task_name(t, name);
        json_t *c = json_pack("{s:s,s:I,s:s}", "chore", name, "try", (json_int_t)t->attempt,
                              "mood", mood_names[t->mood]);
        if (t->mood == EXITED)
            json_object_set_new(c, "cause", json_string(t->cause));
        if (t->mood == EXITED && t->kept)
            json_object_set_new(c, "kept", json_true());
        json_array_append_new(chores, c);
    }
    snprintf(endpoint, sizeof endpoint, "127.0.0.1:%d", m->port);
    json_t *warning = m->warning_at > 0 ? json_real(fmax(0, m->warning_at - now_s())) : json_null();
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "hearth", m->id, "endpoint",
                     endpoint, "breed", W.site->types[m->type].name, "glade",
                     W.site->zones[m->zone], "windfall", m->spot, "tenancy",
                     (json_int_t)m->tenancy, "tally", (json_int_t)++m->tally, "seal",
                     (json_int_t)m->seal, "warningS", warning, "chores", chores);
}

static void see_seal(struct machine *m, uint64_t seal)
{
    if (seal > m->seal && now_s() > (double)m->last_seal_report + W.site->lease_s / 2) {
        m->changed = true;
        m->last_seal_report = (uint64_t)now_s();
    }
    if (seal > m->seal)
        m->seal = seal;
}

static void worker_request(struct conn *c, const char *url, json_t *request)
{
    struct machine *m = &W.machines[c->index];
    int status = 200;
    if (strcmp(url, "/do") == 0) {
        json_t *seal = json_object_get(request, "seal"), *tenancy = json_object_get(request, "tenancy");
        if (!seal || !tenancy) {
            respond(c, 400, NULL, 0.0005);
            return;
        }
        bool old = (uint64_t)json_integer_value(seal) < m->seal ||
                   (uint64_t)json_integer_value(tenancy) != m->tenancy;
        status = old ? 409 : 200;
        if (!old) {
            see_seal(m, (uint64_t)json_integer_value(seal));
            execute(m, json_object_get(request, "bids"));
        }
    } else if (strcmp(url, "/show") != 0) {
        status = 404;
    }
    respond(c, status, report_of(m), 0.0005);
}

/* ------------------------------------------------------------------ requests of the region */

enum purpose { P_REPORT, P_SUBMIT, P_POLL, P_CANCEL, P_PROBE, P_STRANGER, P_RESUBMIT };
struct req {
    int fd; /* -1: hangs */
    enum purpose purpose;
    int node, subject; /* machine or job */
    uint64_t tenancy;
    double sent_at, deadline, connect_deadline;
    bool connected;
    char *out;
    size_t out_len, out_sent;
    char *in;
    size_t in_len;
    int tries;
};
static struct req *reqs[2048];
static int nreqs;

static int connect_to(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    if (fd < 0)
        return -1;
    set_nonblocking(fd);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static struct req *request(enum purpose purpose, int node, int subject, const char *method,
                           const char *path, const char *body, double timeout_s, bool hangs)
{
    if (nreqs == 2048)
        return NULL;
    int fd = hangs ? -1 : connect_to(W.nodes[node].front_port);
    struct req *r = calloc(1, sizeof *r);
    r->fd = fd;
    r->purpose = purpose;
    r->node = node;
    r->subject = subject;
    r->sent_at = now_s();
    r->deadline = now_s() + (fd < 0 && !hangs ? 0 : timeout_s);
    size_t n = body ? strlen(body) : 0;
    r->out = malloc(n + 300);
    r->out_len = (size_t)sprintf(r->out,
                                 "%s %s HTTP/1.1\r\nHost: region\r\nConnection: close\r\n"
                                 "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                                 method, path, n);
    if (n)
        memcpy(r->out + r->out_len, body, n);
    r->out_len += n;
    reqs[nreqs++] = r;
    return r;
}

static void lease_tick(struct machine *m)
{
    double now = now_s();
    if (now - m->lease_from <= W.site->lease_s)
        return;
    record("%s: lease over, session %llu ends, %d tasks killed", m->id,
           (unsigned long long)m->tenancy, machine_tasks(m));
    if (W.on_lease_end)
        W.on_lease_end(m);
    m->ntasks = 0;
    m->tenancy++;
    m->lease_from = now;
    m->changed = true;
}

static void send_report(struct machine *m)
{
    json_t *report = report_of(m);
    char *text = json_dumps(report, JSON_COMPACT);
    json_decref(report);
    enum link_state link = m->link[m->node];
    if (W.nodes[m->node].users_link == LINK_HOLD)
        link = LINK_HOLD;
    struct req *r = request(P_REPORT, m->node, (int)(m - W.machines), "POST", "/checkin", text, 4,
                            link == LINK_HOLD);
    if (r) {
        r->tenancy = m->tenancy;
        if (link == LINK_RESET)
            r->deadline = now_s();
        m->in_flight = true;
        m->last_report_at = now_s();
        m->changed = false;
    }
    free(text);
}

static void machine_tick(struct machine *m)
{
    double now = now_s();
    if (m->is_gone || m->is_dead || m->never_boots || now < m->up_at)
        return;
    if (!m->is_up) {
        m->is_up = true;
        m->tenancy = 1;
        m->lease_from = now;
        m->next_report_at = now;
    }
    lease_tick(m); /* also of a hanging machine: its tasks end with its lease */
    if (now < m->hang_until)
        return;
    tasks_tick(m);
    if (m->warning_at > 0 && now > m->warning_at) {
        machine_gone(m, "taken by the cloud");
        return;
    }
    if (!m->in_flight &&
        (now >= m->next_report_at || (m->changed && now > m->last_report_at + 0.5)))
        send_report(m);
}

static void report_answered(struct req *r, int status, json_t *body)
{
    struct machine *m = &W.machines[r->subject];
    double now = now_s();
    m->in_flight = false;
    m->next_report_at = m->last_report_at + W.site->report_s * draw(0.75, 1.25);
    if (m->is_gone || m->is_dead)
        return;
    if (status == 200) {
        json_t *seal = json_object_get(body, "seal");
        if (r->tenancy != m->tenancy || !seal || (uint64_t)json_integer_value(seal) < m->seal)
            return;
        see_seal(m, (uint64_t)json_integer_value(seal));
        m->lease_from = fmax(m->lease_from, r->sent_at);
        execute(m, json_object_get(body, "bids"));
        return;
    }
    if (status == 413) {
        W.reports_refused++;
        record("%s: hearth-%d answers its report of %zu bytes with 413", m->id, r->node,
               r->out_len);
    }
    const char *steward = json_string_value(json_object_get(body, "steward"));
    int to = status == 421 && steward ? atoi(steward + strlen("hearth-")) : -1;
    if (to >= 0 && to < NODES && to != m->node) {
        m->node = to;
        m->next_report_at = now + draw(0, 0.5);
    } else {
        m->node = (m->node + 1) % NODES;
        m->next_report_at = now + 1;
    }
}

/* ------------------------------------------------------------------ users */

static int pick_node(int avoid)
{
    int best[NODES], n = 0;
    for (int i = 0; i < NODES; i++)
        if (W.nodes[i].is_healthy && i != avoid)
            best[n++] = i;
    if (n == 0)
        return W.nodes[0].is_healthy || W.nodes[1].is_healthy || W.nodes[2].is_healthy ? avoid : -1;
    return best[(int)draw(0, n)];
}

static char *submission_of(const struct job *j)
{
    static const char *const shapes[] = {"sweep", "gang", "service"};
    json_t *breeds = j->breeds ? json_array() : json_null();
    for (int i = 0; j->breeds && i < j->other_breeds; i++)
        json_array_append_new(breeds, json_sprintf("other-%d", i + 1));
    for (int i = 0; j->breeds && i < W.site->ntypes; i++)
        if (j->breeds >> i & 1)
            json_array_append_new(breeds, json_string(W.site->types[i].name));
    json_t *glade = j->glade >= 0 ? json_string(W.site->zones[j->glade]) : json_null();
    json_t *s = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o,s:o,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "id",
        j->id, "kin", j->kin, "household", W.site->teams[j->team].name, "shape", shapes[j->shape],
        "rank", j->rank, "chores", j->chores, "vcpus", j->vcpus, "accelerators", j->gpus, "memGb",
        j->mem_gb, "seed", j->image, "imageGb", j->image_gb, "breeds", breeds, "glade", glade,
        "together", j->together, "scatter", j->scatter, "windfall", j->windfall, "guessS",
        j->guess_s, "markS", j->mark_s, "stowS", j->stow_s, "dueS");
    char *text = json_dumps(s, JSON_COMPACT);
    json_decref(s);
    return text;
}

static bool user_request(enum purpose purpose, int job)
{
    struct job *j = &W.jobs[job];
    int node = pick_node(-1);
    char path[80];
    if (node < 0)
        return false;
    bool hangs = W.nodes[node].users_link == LINK_HOLD;
    struct req *r = NULL;
    if (purpose == P_SUBMIT || purpose == P_RESUBMIT) {
        char *text = submission_of(j);
        r = request(purpose, node, job, "POST", "/submissions", text, 5, hangs);
        free(text);
    } else if (purpose == P_POLL) {
        snprintf(path, sizeof path, "/submissions/%s", j->id);
        r = request(purpose, node, job, "GET", path, NULL, 2, hangs);
    } else if (purpose == P_STRANGER) {
        snprintf(path, sizeof path, "/submissions/job-9%08d", (int)draw(0, 60000));
        r = request(purpose, node, job, "GET", path, NULL, 2, hangs);
    } else {
        snprintf(path, sizeof path, "/submissions/%s/withdraw", j->id);
        r = request(purpose, node, job, "POST", path, "{}", 5, hangs);
    }
    return r != NULL;
}

static void job_tick(int index)
{
    struct job *j = &W.jobs[index];
    double now = now_s();
    if (now < j->submit_at)
        return;
    if (j->accepted_at == 0) {
        if (!j->submit_in_flight && !j->gave_up && now >= j->next_try) {
            if (j->first_submit == 0)
                j->first_submit = now;
            if (now > j->first_submit + 60)
                j->gave_up = true;
            else
                j->submit_in_flight = user_request(P_SUBMIT, index);
            j->next_try = now + 1;
        }
        return;
    }
    bool over = j->told_cancelled_at > 0 || j->told_done_at > 0;
    if (j->cancel_at > 0 && now >= j->cancel_at && !over && !j->cancel_in_flight &&
        now >= j->next_try) {
        if (j->cancel_asked_at == 0)
            j->cancel_asked_at = now;
        j->cancel_in_flight = user_request(P_CANCEL, index);
        j->next_try = now + 1;
    }
    if (!j->poll_in_flight && now >= j->next_poll) {
        j->poll_in_flight = user_request(P_POLL, index);
        j->next_poll = now + (over ? draw(8, 25) : draw(4, 6));
    }
    if (W.resubmits && now >= j->next_resubmit && j->next_resubmit > 0)
        user_request(P_RESUBMIT, index);
    if (now >= j->next_resubmit)
        j->next_resubmit = now + draw(15, 60);
}

static void check_mood(struct job *j, const char *mood, double sent_at)
{
    double now = now_s();
    if (strcmp(mood, "done") == 0) {
        if (j->ndone < j->chores)
            violation("not_done: %s is called done, %d of %d tasks are", j->id, j->ndone,
                      j->chores);
        if (j->told_cancelled_at > 0 && j->told_cancelled_at < sent_at)
            violation("went_back: %s was called cancelled, is called done", j->id);
        if (j->told_done_at == 0)
            j->told_done_at = now;
    } else if (strcmp(mood, "cancelled") == 0) {
        if (j->cancel_asked_at == 0)
            violation("went_back: %s is called cancelled, its user did not cancel", j->id);
        if (j->told_done_at > 0 && j->told_done_at < sent_at)
            violation("went_back: %s was called done, is called cancelled", j->id);
        if (j->told_cancelled_at == 0)
            j->told_cancelled_at = now;
    } else if ((j->told_done_at > 0 && j->told_done_at < sent_at) ||
               (j->told_cancelled_at > 0 && j->told_cancelled_at < sent_at))
        violation("went_back: %s was over, is called %s", j->id, mood);
}

static void user_answered(struct req *r, int status, json_t *body, double retry_after)
{
    struct job *j = &W.jobs[r->subject];
    const char *mood = json_string_value(json_object_get(body, "mood"));
    double now = now_s();
    switch (r->purpose) {
    case P_SUBMIT:
        j->submit_in_flight = false;
        if (status == 200 || status == 201) {
            j->accepted_at = j->last_answer_at = now;
            j->next_poll = now + draw(1, 5);
            record("user of %s: %d, %s", j->id, status, mood ? mood : "?");
            if (mood)
                check_mood(j, mood, r->sent_at);
        } else if (status == 400 || status == 422) {
            j->gave_up = true;
            record("user of %s: %d", j->id, status);
        } else
            j->next_try = now + fmax(1, fmin(30, retry_after));
        return;
    case P_RESUBMIT:
        if (status == 400 || status == 422)
            violation("forgotten: a repeated submission of %s gets %d", j->id, status);
        if (status == 200 && mood)
            check_mood(j, mood, r->sent_at);
        if (status == 201)
            violation("forgotten: a repeated submission of %s gets 201", j->id);
        return;
    case P_POLL:
        j->poll_in_flight = false;
        if (status == 404)
            violation("forgotten: %s gets 404", j->id);
        if (status == 200 || status == 404)
            j->last_answer_at = now;
        if (status == 200 && mood)
            check_mood(j, mood, r->sent_at);
        return;
    case P_CANCEL:
        j->cancel_in_flight = false;
        if (status == 200 && mood) {
            record("user of %s: cancellation answered, %s", j->id, mood);
            check_mood(j, mood, r->sent_at);
        } else
            j->next_try = now + fmax(1, fmin(30, retry_after));
        return;
    case P_STRANGER:
        if (status == 200)
            violation("invented: a job that nobody submitted gets 200");
        return;
    default:
        return;
    }
}

/* ------------------------------------------------------------------ load balancer */

static void probe_answered(struct req *r, int status)
{
    struct node *n = &W.nodes[r->node];
    n->probe_in_flight = false;
    if (status == 200) {
        n->probe_failures = 0;
        n->probe_successes++;
        bool may = !n->was_healthy || (n->probe_successes >= 2 && now_s() > n->unhealthy_since + 3);
        if (may && !n->is_healthy)
            n->is_healthy = n->was_healthy = true;
    } else {
        n->probe_successes = 0;
        if (++n->probe_failures >= 2 && n->is_healthy) {
            n->is_healthy = false;
            n->unhealthy_since = now_s();
        }
    }
}

static void probes_tick(void)
{
    for (int i = 0; i < NODES; i++) {
        struct node *n = &W.nodes[i];
        if (n->probe_in_flight || now_s() < n->next_probe)
            continue;
        n->next_probe = now_s() + 1;
        n->probe_in_flight =
            request(P_PROBE, i, 0, "GET", "/up", NULL, 1, n->users_link == LINK_HOLD) != NULL;
    }
}

/* ------------------------------------------------------------------ the loop */

static void req_done(struct req *r)
{
    int status = 0;
    json_t *body = NULL;
    double retry_after = 0;
    char *head_end = r->in ? strstr(r->in, "\r\n\r\n") : NULL;
    if (head_end && sscanf(r->in, "HTTP/1.1 %d", &status) == 1) {
        body = json_loads(head_end + 4, 0, NULL);
        char *ra = strcasestr(r->in, "\r\nRetry-After:");
        if (ra && ra < head_end)
            retry_after = atof(ra + 14);
    }
    if (r->purpose == P_REPORT)
        report_answered(r, status, body);
    else if (r->purpose == P_PROBE)
        probe_answered(r, status);
    else
        user_answered(r, status, body, retry_after);
    json_decref(body);
    if (r->fd >= 0)
        close(r->fd);
    free(r->in);
    free(r->out);
    for (int i = 0; i < nreqs; i++)
        if (reqs[i] == r) {
            reqs[i] = reqs[--nreqs];
            break;
        }
    free(r);
}

/* Whether the whole response is there. */
static bool req_is_complete(const struct req *r)
{
    char *head_end = r->in ? strstr(r->in, "\r\n\r\n") : NULL;
    if (!head_end)
        return false;
    char *cl = strcasestr(r->in, "\r\nContent-Length:");
    size_t need = cl && cl < head_end ? (size_t)atol(cl + 17) : 0;
    return r->in_len >= (size_t)(head_end + 4 - r->in) + need;
}

static void req_io(struct req *r, short revents)
{
    char buffer[65536];
    if (revents & (POLLOUT | POLLERR | POLLHUP) && r->out_sent < r->out_len) {
        ssize_t n = send(r->fd, r->out + r->out_sent, r->out_len - r->out_sent, MSG_NOSIGNAL);
        if (n > 0)
            r->out_sent += (size_t)n;
        else if (n < 0 && errno != EAGAIN) {
            req_done(r);
            return;
        }
    }
    if (!(revents & (POLLIN | POLLHUP | POLLERR)))
        return;
    ssize_t n = recv(r->fd, buffer, sizeof buffer, 0);
    if (n < 0 && errno == EAGAIN)
        return;
    if (n > 0) {
        r->in = realloc(r->in, r->in_len + (size_t)n + 1);
        memcpy(r->in + r->in_len, buffer, (size_t)n);
        r->in_len += (size_t)n;
        r->in[r->in_len] = '\0';
    }
    if (n <= 0 || req_is_complete(r))
        req_done(r);
}

static enum link_state link_of(const struct conn *c)
{
    if (c->server != SRV_WORKER)
        return conn_link(c->server, c->index, c->to);
    const struct machine *m = &W.machines[c->index];
    if (m->is_dead || m->is_gone || now_s() < m->hang_until || !m->is_up)
        return LINK_HOLD;
    int node = c->to; /* -1: not known yet */
    return node < 0 ? LINK_OK : m->command_link[node];
}

/* Handles a complete request in the connection's buffer. */
static bool conn_parse(struct conn *c)
{
    if (c->out) /* one request at a time */
        return true;
    char *head_end = c->in ? strstr(c->in, "\r\n\r\n") : NULL;
    if (!head_end)
        return c->len < 65536;
    char *cl = strcasestr(c->in, "\r\nContent-Length:");
    size_t need = cl && cl < head_end ? (size_t)atol(cl + 17) : 0;
    size_t head = (size_t)(head_end + 4 - c->in);
    if (c->len < head + need)
        return true;
    char method[16], url[600];
    if (sscanf(c->in, "%15s %599s", method, url) != 2)
        return false;
    json_t *body = need ? json_loadb(c->in + head, need, 0, NULL) : NULL;
    if (c->server == SRV_STORE)
        store_request(c, method, url, body, need);
    else if (c->server == SRV_CLOUD)
        cloud_request(c, method, url, body);
    else
        worker_request(c, url, body);
    json_decref(body);
    c->len -= head + need;
    memmove(c->in, c->in + head + need, c->len);
    c->in[c->len] = '\0';
    return true;
}

static bool pump(int from, int to)
{
    char buffer[65536];
    ssize_t n = recv(from, buffer, sizeof buffer, 0);
    if (n < 0)
        return errno == EAGAIN;
    if (n == 0)
        return false;
    for (ssize_t sent = 0; sent < n;) {
        ssize_t k = send(to, buffer + sent, (size_t)(n - sent), MSG_NOSIGNAL);
        if (k < 0 && errno == EAGAIN) {
            struct pollfd p = {to, POLLOUT, 0};
            if (poll(&p, 1, 5) <= 0)
                return true; /* a stopped reader: the rest is lost with the connection */
            continue;
        }
        if (k <= 0)
            return false;
        sent += k;
    }
    return true;
}

/* Returns false if the connection is to be closed. */
static bool conn_read(struct conn *c)
{
    if (c->cap - c->len < 32768)
        c->in = realloc(c->in, c->cap = c->len + 65536 + 1);
    ssize_t n = recv(c->fd, c->in + c->len, c->cap - c->len - 1, 0);
    if (n < 0)
        return errno == EAGAIN;
    if (n == 0)
        c->is_closed_in = true;
    c->len += (size_t)(n > 0 ? n : 0);
    c->in[c->len] = '\0';
    /* a request whose caller has gone is executed all the same */
    return conn_parse(c) && !(c->is_closed_in && !c->out);
}

static bool conn_write(struct conn *c)
{
    if (!c->out || now_s() < c->out_at)
        return true;
    ssize_t n = send(c->fd, c->out + c->out_sent, c->out_len - c->out_sent, MSG_NOSIGNAL);
    if (n < 0)
        return errno == EAGAIN;
    c->out_sent += (size_t)n;
    if (c->out_sent < c->out_len)
        return true;
    free(c->out);
    c->out = NULL;
    return !c->is_closed_in && conn_parse(c);
}

static bool caller_has_gone(int fd)
{
    struct pollfd p = {fd, POLLIN | POLLRDHUP, 0};
    return poll(&p, 1, 0) > 0 && p.revents & (POLLRDHUP | POLLHUP | POLLERR);
}

static void accept_all(const struct listener *l)
{
    for (;;) {
        int fd = accept(l->fd, NULL, NULL), one = 1;
        if (fd < 0 || nconns == CONNS_MAX)
            return;
        set_nonblocking(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        struct conn *c = calloc(1, sizeof *c);
        c->fd = fd;
        c->other_fd = -1;
        c->server = l->server;
        c->index = l->index;
        c->to = l->server == SRV_WORKER ? caller_node(fd) : l->to;
        conns[nconns++] = c;
        enum link_state link = link_of(c);
        c->opened_in_cut = link == LINK_HOLD;
        if (link == LINK_RESET)
            conn_close(c, true);
    }
}

/* Which controller opened a connection to a worker, by its process's sockets: the port of the
 * caller is looked up among the connections of each controller. */
static int caller_node(int fd)
{
    struct sockaddr_in a;
    socklen_t n = sizeof a;
    char line[512], path[64];
    if (getpeername(fd, (struct sockaddr *)&a, &n) != 0)
        return -1;
    bool any = false;
    for (int i = 0; i < W.nmachines && !any; i++)
        for (int k = 0; k < NODES; k++)
            any |= W.machines[i].command_link[k] != LINK_OK;
    if (!any)
        return -1;
    unsigned long inode = 0;
    FILE *f = fopen("/proc/net/tcp", "r");
    while (f && fgets(line, sizeof line, f)) {
        unsigned local_port, remote_port;
        unsigned long ino;
        if (sscanf(line, " %*d: %*8x:%x %*8x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu", &local_port,
                   &remote_port, &ino) == 3 &&
            local_port == ntohs(a.sin_port))
            inode = ino;
    }
    if (f)
        fclose(f);
    for (int i = 0; inode && i < NODES; i++) {
        if (W.nodes[i].pid <= 0)
            continue;
        for (int d = 0; d < 400; d++) {
            char target[64] = "", want[64];
            snprintf(path, sizeof path, "/proc/%d/fd/%d", (int)W.nodes[i].pid, d);
            ssize_t len = readlink(path, target, sizeof target - 1);
            snprintf(want, sizeof want, "socket:[%lu]", inode);
            if (len > 0 && strcmp(target, want) == 0)
                return i;
        }
    }
    return -1;
}

static bool mesh_open(struct conn *c)
{
    if (c->other_fd >= 0)
        return true;
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)W.nodes[c->to].mesh_port)};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        if (fd >= 0)
            close(fd);
        return false;
    }
    set_nonblocking(fd);
    c->other_fd = fd;
    return true;
}

static void step_io(void)
{
    static struct pollfd fds[CONNS_MAX * 2 + 4096];
    static void *who[CONNS_MAX * 2 + 4096];
    static int what[CONNS_MAX * 2 + 4096];
    int n = 0;
    for (int i = 0; i < nlisteners; i++) {
        fds[n] = (struct pollfd){listeners[i].fd, POLLIN, 0};
        who[n] = &listeners[i];
        what[n++] = 0;
    }
    for (int i = 0; i < nconns; i++) {
        struct conn *c = conns[i];
        if (link_of(c) == LINK_HOLD)
            continue;
        if (c->opened_in_cut) { /* the cut is over: a given-up attempt does not complete */
            c->opened_in_cut = false;
            if (caller_has_gone(c->fd)) {
                conn_close(c, false);
                i--;
                continue;
            }
        }
        if (c->server == SRV_MESH && !mesh_open(c)) {
            conn_close(c, true);
            i--;
            continue;
        }
        fds[n] = (struct pollfd){c->fd, (short)(c->is_closed_in ? 0 : POLLIN), 0};
        who[n] = c;
        what[n++] = 1;
        if (c->other_fd >= 0) {
            fds[n] = (struct pollfd){c->other_fd, POLLIN, 0};
            who[n] = c;
            what[n++] = 2;
        }
    }
    for (int i = 0; i < nreqs; i++) {
        struct req *r = reqs[i];
        if (r->fd < 0)
            continue;
        fds[n] = (struct pollfd){r->fd, (short)(POLLIN | (r->out_sent < r->out_len ? POLLOUT : 0)),
                                 0};
        who[n] = r;
        what[n++] = 3;
    }
    (void)poll(fds, (nfds_t)n, 2);
    static void *closed[CONNS_MAX];
    int nclosed = 0;
    for (int i = 0; i < n; i++) {
        if (!fds[i].revents)
            continue;
        bool was_closed = false;
        for (int k = 0; k < nclosed; k++)
            was_closed |= closed[k] == who[i];
        if (was_closed)
            continue;
        if (what[i] == 0) {
            accept_all(who[i]);
        } else if (what[i] == 3) {
            req_io(who[i], fds[i].revents);
        } else {
            struct conn *c = who[i];
            bool keep = c->server == SRV_MESH
                            ? (what[i] == 1 ? pump(c->fd, c->other_fd) : pump(c->other_fd, c->fd))
                            : conn_read(c);
            if (!keep) {
                closed[nclosed++] = c;
                conn_close(c, false);
            }
        }
    }
    for (int i = 0; i < nconns; i++) {
        struct conn *c = conns[i];
        enum link_state link = link_of(c);
        if (link == LINK_RESET) {
            conn_close(c, true);
            i--;
        } else if (link == LINK_OK && c->server != SRV_MESH && !conn_write(c)) {
            conn_close(c, false);
            i--;
        }
    }
    double now = now_s();
    for (int i = 0; i < nreqs; i++)
        if (now >= reqs[i]->deadline) {
            req_done(reqs[i]);
            i--;
        }
}

static void nodes_tick(void)
{
    for (int i = 0; i < NODES; i++) {
        struct node *n = &W.nodes[i];
        int status;
        if (n->pid > 0 && waitpid(n->pid, &status, WNOHANG) == n->pid) {
            violation("crash: hearth-%d ended by itself, status %d", i, status);
            n->pid = 0;
            n->restart_at = now_s() + W.site->restart_s;
        }
        if (n->pid == 0 && n->restart_at > 0 && now_s() >= n->restart_at)
            node_start(i);
    }
}

static void rules_tick(void)
{
    static double next;
    double now = now_s();
    if (now < next)
        return;
    next = now + 0.5;
    for (int i = 0; i < W.nmachines; i++) {
        struct machine *m = &W.machines[i];
        for (int k = 0; !m->is_gone && !m->is_dead && k < m->ntasks; k++) {
            struct task *t = &m->tasks[k];
            struct job *j = &W.jobs[t->job];
            if (is_on_machine(t) && j->told_cancelled_at > 0 &&
                now > j->told_cancelled_at + W.site->cancel_s + 0.5) {
                violation("ran_cancelled: %s/%d is on %s, %.1f s after its user was told", j->id,
                          t->index, m->id, now - j->told_cancelled_at);
                j->told_cancelled_at = now + 1e6;
            }
        }
    }
}

static void step(void)
{
    static double next_stranger;
    store_tick();
    step_io();
    for (int i = 0; i < W.nmachines; i++)
        machine_tick(&W.machines[i]);
    for (int i = 0; i < W.njobs; i++)
        job_tick(i);
    if (W.polls_unknown && now_s() > next_stranger) {
        next_stranger = now_s() + 3;
        user_request(P_STRANGER, 0);
    }
    probes_tick();
    nodes_tick();
    rules_tick();
}

void world_run_until(double until_s)
{
    while (now_s() < until_s)
        step();
}

bool world_wait(bool (*condition)(void), double seconds)
{
    double end = now_s() + seconds;
    while (now_s() < end) {
        if (condition())
            return true;
        step();
    }
    return condition();
}

/* ------------------------------------------------------------------ controllers */

static bool write_settings(int node)
{
    const struct site *s = W.site;
    char path[256], name[16], front[32], mesh[32], store[32], cloud[32], addr[32];
    json_t *others = json_array(), *teams = json_array(), *zones = json_array();
    for (int k = 0; k < NODES; k++) {
        if (k == node)
            continue;
        int port = 0;
        for (int i = 0; i < nlisteners; i++)
            if (listeners[i].server == SRV_MESH && listeners[i].index == node &&
                listeners[i].to == k) {
                struct sockaddr_in a;
                socklen_t n = sizeof a;
                getsockname(listeners[i].fd, (struct sockaddr *)&a, &n);
                port = ntohs(a.sin_port);
            }
        snprintf(name, sizeof name, "hearth-%d", k);
        snprintf(addr, sizeof addr, "127.0.0.1:%d", port);
        json_array_append_new(others, json_pack("{s:s,s:s,s:s}", "node_name", name, "location",
                                                s->node_zone[k], "addr", addr));
    }
    for (int i = 0; i < s->nteams; i++)
        json_array_append_new(teams,
                              json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", s->teams[i].name, "cpus",
                                        0.0, "cpus_max", s->teams[i].cpus_max, "gpus",
                                        s->teams[i].gpus, "gpus_max", s->teams[i].gpus_max));
    for (int i = 0; i < s->nzones; i++)
        json_array_append_new(zones, json_string(s->zones[i]));
    snprintf(name, sizeof name, "hearth-%d", node);
    snprintf(front, sizeof front, "127.0.0.1:%d", W.nodes[node].front_port);
    snprintf(mesh, sizeof mesh, "127.0.0.1:%d", W.nodes[node].mesh_port);
    snprintf(store, sizeof store, "127.0.0.1:%d", W.nodes[node].store_port);
    snprintf(cloud, sizeof cloud, "127.0.0.1:%d", W.nodes[node].cloud_port);
    json_t *facts = json_pack(
        "{s:i,s:o,s:o,s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i},s:{s:f,s:f},"
        "s:{s:f,s:f,s:i},s:f}",
        "count", NODES, "zones", zones, "teams", teams, "objectives", "workers", "report_s",
        s->report_s, "lease_s", s->lease_s, "gang_wait_s", s->gang_wait_s, "gang_peer_s",
        s->gang_peer_s, "cancel_s", s->cancel_s, "state", "rps", s->rps, "write_rps", s->write_rps,
        "value_kb", s->value_kb, "txn_ops", s->txn_ops, "cloud", "rps", s->cloud_rps, "list_lag_s",
        s->list_lag_s, "limits", "cpu", s->cpu, "ram_mb", s->ram_mb, "max_sockets", s->max_sockets,
        "clock_error_ms", s->clock_error_ms);
    json_t *all = json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location",
                            s->node_zone[node], "front", front, "mesh_addr", mesh, "others", others,
                            "external", "cloud", cloud, "state", store, "facts", facts);
    snprintf(path, sizeof path, "%s/%s.json", W.dir, name);
    bool written = all && json_dump_file(all, path, JSON_INDENT(1)) == 0;
    json_decref(all);
    return written;
}

void node_start(int node)
{
    struct node *n = &W.nodes[node];
    char settings[256];
    snprintf(settings, sizeof settings, "%s/hearth-%d.json", W.dir, node);
    n->restart_at = 0;
    n->is_stopped = false;
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        int log = open(n->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* no controller outlives the case */
        if (getppid() != parent)
            _exit(126);
        if (log >= 0)
            dup2(log, 2);
        if (W.operators[node])
            execl(W.program, W.program, "--operators", W.operators[node], "--config", settings,
                  (char *)NULL);
        else
            execl(W.program, W.program, "--config", settings, (char *)NULL);
        _exit(127);
    }
    n->pid = pid;
    record("hearth-%d starts, process %d", node, (int)pid);
}

void node_kill(int node, double back_after_s)
{
    struct node *n = &W.nodes[node];
    if (n->pid <= 0)
        return;
    record("hearth-%d is killed", node);
    kill(n->pid, SIGKILL);
    waitpid(n->pid, NULL, 0);
    n->pid = 0;
    n->restart_at = back_after_s > 0 ? now_s() + back_after_s : 0;
}

void node_freeze(int node)
{
    record("hearth-%d is stopped (SIGSTOP)", node);
    kill(W.nodes[node].pid, SIGSTOP);
    W.nodes[node].is_stopped = true;
}

void node_resume(int node)
{
    record("hearth-%d goes on (SIGCONT)", node);
    kill(W.nodes[node].pid, SIGCONT);
    W.nodes[node].is_stopped = false;
}

void store_link_set(int node, enum link_state state)
{
    record("hearth-%d and the state service: link %d", node, (int)state);
    W.nodes[node].store_link = state;
}

void cloud_link_set(int node, enum link_state state)
{
    W.nodes[node].cloud_link = state;
}

void mesh_set(int a, int b, enum link_state state)
{
    W.mesh[a][b] = W.mesh[b][a] = state;
}

void workers_link_set(int node, enum link_state state)
{
    record("hearth-%d and the workers: link %d", node, (int)state);
    for (int i = 0; i < MACHINES_MAX; i++)
        W.machines[i].link[node] = W.machines[i].command_link[node] = state;
}

void zones_cut(int a, int b, enum link_state state)
{
    record("zones %s and %s: link %d", W.site->zones[a], W.site->zones[b], (int)state);
    for (int i = 0; i < NODES; i++) {
        int zi = zone_named(W.site->node_zone[i]);
        for (int k = 0; k < NODES; k++) {
            int zk = zone_named(W.site->node_zone[k]);
            if ((zi == a && zk == b) || (zi == b && zk == a))
                W.mesh[i][k] = state;
        }
        for (int k = 0; k < W.nmachines; k++)
            if ((zi == a && W.machines[k].zone == b) || (zi == b && W.machines[k].zone == a))
                W.machines[k].link[i] = W.machines[k].command_link[i] = state;
    }
}

bool world_start(const struct site *site, const char *program, const char *record_path,
                 unsigned seed)
{
    clock_gettime(CLOCK_MONOTONIC, &started);
    signal(SIGPIPE, SIG_IGN);
    W.site = site;
    W.program = program;
    W.seed = seed;
    W.boot_factor = 1;
    W.ring = 100;
    change_log = calloc(LOG_MAX, sizeof *change_log);
    pleas = json_object();
    tokens_rps = site->rps;
    tokens_write = site->write_rps;
    cloud_tokens = 2 * site->cloud_rps;
    record_file = fopen(record_path, "w");
    const char *tmp = getenv("TMPDIR");
    snprintf(W.dir, sizeof W.dir, "%s/review2-XXXXXX", tmp && *tmp ? tmp : "/tmp");
    if (!record_file || !mkdtemp(W.dir) || access(program, X_OK) != 0)
        return false;
    for (int i = 0; i < NODES; i++) {
        struct node *n = &W.nodes[i];
        int fd = listen_any(&n->store_port);
        add_listener(fd, SRV_STORE, i, 0);
        int cloud = listen_any(&n->cloud_port);
        add_listener(cloud, SRV_CLOUD, i, 0);
        if (fd < 0 || cloud < 0)
            return false;
        snprintf(n->log_path, sizeof n->log_path, "%s/hearth-%d.log", W.dir, i);
        for (int k = 0; k < NODES; k++) {
            int port, mesh = k == i ? -1 : listen_any(&port);
            if (k != i)
                add_listener(mesh, SRV_MESH, i, k);
        }
        n->front_port = free_port();
        n->mesh_port = free_port();
    }
    for (int i = 0; i < NODES; i++)
        if (!write_settings(i))
            return false;
    return true;
}

void world_finish(void)
{
    for (int i = 0; i < NODES; i++) {
        struct node *n = &W.nodes[i];
        char path[256];
        if (n->pid > 0) {
            kill(n->pid, SIGKILL);
            waitpid(n->pid, NULL, 0);
        }
        const char *keep = getenv("KEEP_LOGS");
        if (keep)
            record("log of hearth-%d: %s", i, n->log_path);
        else
            unlink(n->log_path);
        snprintf(path, sizeof path, "%s/hearth-%d.json", W.dir, i);
        if (!keep)
            unlink(path);
    }
    rmdir(W.dir);
    record("%d answers 429 of the state service", count_429);
    if (record_file)
        fclose(record_file);
}

/* ------------------------------------------------------------------ jobs */

struct job *job_add(const char *kin, double at)
{
    struct job *j = &W.jobs[W.njobs];
    memset(j, 0, sizeof *j);
    snprintf(j->id, sizeof j->id, "job-%06d", ++W.njobs);
    j->kin = kin;
    j->rank = "standard";
    j->chores = 1;
    j->vcpus = 1;
    j->mem_gb = 1;
    j->glade = -1;
    snprintf(j->image, sizeof j->image, "img-%s", kin);
    j->image_gb = 1;
    j->run_s = j->guess_s = 20;
    j->submit_at = at;
    j->done = calloc(100000, 1);
    return j;
}

int job_on_machines(const struct job *job, enum task_mood at_least)
{
    int n = 0, index = (int)(job - W.jobs);
    for (int i = 0; i < W.nmachines; i++)
        for (int k = 0; k < W.machines[i].ntasks; k++) {
            const struct task *t = &W.machines[i].tasks[k];
            n += t->job == index && t->mood != EXITED && t->mood >= at_least &&
                 !W.machines[i].is_gone && !W.machines[i].is_dead;
        }
    return n;
}
