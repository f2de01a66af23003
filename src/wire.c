#include "brambledoor/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const shapes[] = {"sweep", "gang", "service"};
static const char *const ranks[] = {"idle", "standard", "high", "production"};
static const char *const subs[] = {"pulling", "gathering", "running", "saving", "exited"};
static const char *const whys[] = {"",      "done",    "stopped", "peers",  "alone",
                                   "error", "no_room", "busy",    "unknown"};
static const char *const verbs[] = {"launch", "halt", "forget"};
static const char *const state_names[] = {"live", "done", "cancelled"};

#define COUNT(a) ((int)(sizeof(a) / sizeof((a)[0])))

static int index_of(const char *const *names, int n, const char *s)
{
    for (int i = 0; s && i < n; i++)
        if (strcmp(names[i], s) == 0)
            return i;
    return -1;
}

bool bd_wire_job_id(const char *id)
{
    if (!id || strncmp(id, "job-", 4) != 0)
        return false;
    size_t n = strspn(id + 4, "0123456789");
    return n >= 1 && n <= 18 && id[4 + n] == '\0';
}

bool bd_wire_task_name(const char *s, char job[BD_ID], uint32_t *task)
{
    const char *slash = s ? strchr(s, '/') : NULL;
    if (!slash || (size_t)(slash - s) >= BD_ID)
        return false;
    memcpy(job, s, (size_t)(slash - s));
    job[slash - s] = '\0';
    size_t n = strspn(slash + 1, "0123456789");
    if (!bd_wire_job_id(job) || n == 0 || n > 6 || slash[1 + n])
        return false;
    *task = (uint32_t)strtoul(slash + 1, NULL, 10);
    return *task < BD_MAX_TASKS;
}

static bool label(json_t *o, const char *key, char *out)
{
    const char *s = json_string_value(json_object_get(o, key));
    if (!s || !*s || strlen(s) >= BD_LABEL)
        return false;
    strcpy(out, s);
    return true;
}

static bool amount(json_t *o, const char *key, double *out)
{
    json_t *v = json_object_get(o, key);
    double d = json_number_value(v);
    if (!json_is_number(v) || !isfinite(d) || d < 0 || d > 1e9)
        return false;
    *out = d;
    return true;
}

static bool flag(json_t *o, const char *key, bool *out)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_boolean(v))
        return false;
    *out = json_is_true(v);
    return true;
}

static bool whole(json_t *o, const char *key, uint64_t *out)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_integer(v) || json_integer_value(v) < 0)
        return false;
    *out = (uint64_t)json_integer_value(v);
    return true;
}

static bool is_null(json_t *v)
{
    return !v || json_is_null(v);
}

static bool type_list(json_t *o, struct bd_spec_text *s)
{
    json_t *a = json_object_get(o, "breeds"), *v;
    size_t i;
    s->ntypes = -1;
    if (is_null(a))
        return true;
    if (!json_is_array(a) || json_array_size(a) > BD_MAX_TYPES)
        return false;
    s->ntypes = 0;
    json_array_foreach(a, i, v)
    {
        const char *t = json_string_value(v);
        if (!t || !*t || strlen(t) >= BD_LABEL)
            return false;
        strcpy(s->types[s->ntypes++], t);
    }
    return true;
}

static const char *spec_numbers(json_t *o, struct bd_spec_text *s)
{
    if (!amount(o, "vcpus", &s->cpus))
        return "vcpus";
    if (!amount(o, "accelerators", &s->gpus))
        return "accelerators";
    if (!amount(o, "memGb", &s->mem))
        return "memGb";
    if (!amount(o, "imageGb", &s->image_gb))
        return "imageGb";
    if (!amount(o, "guessS", &s->estimate))
        return "guessS";
    if (!amount(o, "markS", &s->checkpoint))
        return "markS";
    if (!amount(o, "stowS", &s->save))
        return "stowS";
    s->due = -1;
    if (!is_null(json_object_get(o, "dueS")) && !amount(o, "dueS", &s->due))
        return "dueS";
    return NULL;
}

static const char *spec_of(json_t *o, struct bd_spec_text *s)
{
    uint64_t n = 0;
    memset(s, 0, sizeof *s);
    if (!label(o, "kin", s->job_class))
        return "kin";
    if (!label(o, "household", s->team))
        return "household";
    int shape = index_of(shapes, COUNT(shapes), json_string_value(json_object_get(o, "shape")));
    if (shape < 0)
        return "shape";
    s->shape = (enum bd_shape)shape;
    int rank = index_of(ranks, COUNT(ranks), json_string_value(json_object_get(o, "rank")));
    if (rank < 0)
        return "rank";
    s->rank = (enum bd_rank)rank;
    if (!whole(o, "chores", &n) || n < 1 || n > BD_MAX_TASKS)
        return "chores";
    s->tasks = (uint32_t)n;
    if (!label(o, "seed", s->image))
        return "seed";
    if (!is_null(json_object_get(o, "glade")) && !label(o, "glade", s->zone))
        return "glade";
    if (!type_list(o, s))
        return "breeds";
    if (!flag(o, "together", &s->together))
        return "together";
    if (!flag(o, "scatter", &s->scatter))
        return "scatter";
    if (!flag(o, "windfall", &s->spot))
        return "windfall";
    return spec_numbers(o, s);
}

const char *bd_wire_submission(json_t *o, char id[BD_ID], struct bd_spec_text *out)
{
    id[0] = '\0';
    if (!json_is_object(o))
        return "body";
    const char *s = json_string_value(json_object_get(o, "id"));
    if (!bd_wire_job_id(s))
        return "id";
    strcpy(id, s);
    return spec_of(o, out);
}

bool bd_wire_prerequisites(json_t *o, json_t **out)
{
    json_t *a = json_object_get(o, "awaits"), *v, *seen;
    size_t i;
    *out = NULL;
    if (is_null(a))
        return true;
    if (!json_is_array(a))
        return false;
    seen = json_object();
    *out = json_array();
    json_array_foreach(a, i, v)
    {
        const char *s = json_string_value(v);
        if (!bd_wire_job_id(s)) {
            json_decref(seen);
            json_decref(*out);
            *out = NULL;
            return false;
        }
        if (json_object_get(seen, s))
            continue;
        json_object_set_new(seen, s, json_true());
        json_array_append(*out, v);
    }
    json_decref(seen);
    if (json_array_size(*out) == 0) {
        json_decref(*out);
        *out = NULL;
    }
    return true;
}

json_t *bd_wire_prerequisites_part(json_t *names)
{
    return json_pack("{s:o}", "awaits", names);
}

json_t *bd_wire_read_part(json_t *v)
{
    json_t *a = json_object_get(v, "awaits");
    return json_is_array(a) ? a : NULL;
}

static json_t *maybe(const char *s)
{
    return *s ? json_string(s) : json_null();
}

json_t *bd_wire_spec(const struct bd_spec_text *s)
{
    json_t *types = s->ntypes < 0 ? json_null() : json_array();
    for (int i = 0; i < s->ntypes; i++)
        json_array_append_new(types, json_string(s->types[i]));
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o,s:o,s:b,s:b,s:b,s:f,s:f,s:f,s:o}", "kin",
        s->job_class, "household", s->team, "shape", shapes[s->shape], "rank", ranks[s->rank],
        "chores", (int)s->tasks, "vcpus", s->cpus, "accelerators", s->gpus, "memGb", s->mem, "seed",
        s->image, "imageGb", s->image_gb, "breeds", types, "glade", maybe(s->zone), "together",
        (int)s->together, "scatter", (int)s->scatter, "windfall", (int)s->spot, "guessS",
        s->estimate, "markS", s->checkpoint, "stowS", s->save, "dueS",
        s->due < 0 ? json_null() : json_real(s->due));
}

json_t *bd_wire_ended_spec(json_t *spec)
{
    json_t *o = json_copy(spec);
    if (o)
        json_object_set_new(o, "breeds", json_null());
    return o;
}

json_t *bd_wire_record(const struct bd_record *record)
{
    json_t *o = json_pack("{s:s,s:i,s:f}", "s", state_names[record->state], "n", (int)record->tasks,
                          "at", record->at);
    if (o && record->has_spec)
        json_object_set_new(o, "job", bd_wire_spec(&record->spec));
    else if (o && *record->spec.job_class) /* a finished job's class still tells how many come */
        json_object_set_new(o, "k", json_string(record->spec.job_class));
    if (o && record->prerequisites.parts)
        json_object_set_new(o, "parts",
                            json_pack("{s:s,s:i}", "of", record->prerequisites.of, "n",
                                      (int)record->prerequisites.parts));
    else if (o && record->prerequisites.names)
        json_object_set(o, "awaits", record->prerequisites.names);
    if (o && record->end > 0)
        json_object_set_new(o, "end", json_real(record->end));
    return o;
}

static void read_prerequisites(json_t *v, struct bd_record_prerequisites *out)
{
    json_t *names = json_object_get(v, "awaits"), *parts = json_object_get(v, "parts");
    uint64_t n = 0;
    const char *of = json_string_value(json_object_get(parts, "of"));
    if (names && !json_is_array(names))
        out->damaged = true;
    else
        out->names = names;
    if (!parts)
        return;
    if (!of || strlen(of) >= BD_HASH || !whole(parts, "n", &n) || n < 1 ||
        n > BD_PREREQUISITE_PARTS) {
        out->damaged = true;
        return;
    }
    strcpy(out->of, of);
    out->parts = (uint32_t)n;
}

bool bd_wire_read_record(json_t *v, struct bd_record *out)
{
    uint64_t n = 0;
    memset(out, 0, sizeof *out);
    int m = index_of(state_names, COUNT(state_names), json_string_value(json_object_get(v, "s")));
    if (m < 0 || !whole(v, "n", &n) || n < 1 || n > BD_MAX_TASKS)
        return false;
    out->at = json_number_value(json_object_get(v, "at"));
    out->end = json_number_value(json_object_get(v, "end"));
    out->state = (enum bd_job_state)m;
    out->tasks = (uint32_t)n;
    read_prerequisites(v, &out->prerequisites);
    json_t *job = json_object_get(v, "job");
    out->has_spec = json_is_object(job) && spec_of(job, &out->spec) == NULL;
    if (!out->has_spec && !label(v, "k", out->spec.job_class))
        out->spec.job_class[0] = '\0';
    return out->has_spec || out->state == BD_DONE;
}

char *bd_wire_accepted(const char *id)
{
    char buf[96];
    snprintf(buf, sizeof buf, "{\"id\":\"%s\",\"mood\":\"pending\"}", id);
    return strdup(buf);
}

char *bd_wire_state(const char *id, const char *state, uint32_t done, uint32_t running)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"id\":\"%s\",\"mood\":\"%s\",\"done\":%u,\"running\":%u}", id,
             state, done, running);
    return strdup(buf);
}

static bool seen_task(json_t *o, struct bd_seen_task *t)
{
    memset(t, 0, sizeof *t);
    if (!bd_wire_task_name(json_string_value(json_object_get(o, "chore")), t->job, &t->task))
        return false;
    int sub = index_of(subs, COUNT(subs), json_string_value(json_object_get(o, "mood")));
    if (sub < 0 || !whole(o, "try", &t->attempt))
        return false;
    t->sub = (enum bd_sub)sub;
    int why = index_of(whys, COUNT(whys), json_string_value(json_object_get(o, "cause")));
    t->why = why < 0 ? BD_WHY_NONE : (enum bd_why)why;
    t->kept = json_is_true(json_object_get(o, "kept"));
    return true;
}

bool bd_wire_report(json_t *o, struct bd_report *out)
{
    memset(out, 0, sizeof *out);
    if (!json_is_object(o) || !label(o, "hearth", out->machine) ||
        !label(o, "endpoint", out->addr) || !label(o, "breed", out->type) ||
        !label(o, "glade", out->zone) || !flag(o, "windfall", &out->spot) ||
        !whole(o, "tenancy", &out->session) || !whole(o, "tally", &out->seq) ||
        !whole(o, "seal", &out->token))
        return false;
    out->notice = -1;
    json_t *w = json_object_get(o, "warningS");
    if (!is_null(w) && !amount(o, "warningS", &out->notice))
        return false;
    json_t *a = json_object_get(o, "chores"), *v;
    if (!json_is_array(a))
        return false;
    out->tasks = calloc(json_array_size(a) + 1, sizeof *out->tasks);
    size_t i;
    json_array_foreach(a, i, v)
    {
        if (!out->tasks || !seen_task(v, &out->tasks[out->n])) {
            bd_wire_report_drop(out);
            return false;
        }
        out->n++;
    }
    return out->tasks != NULL;
}

/* The name must stand there once only: as a key, since a quote inside a string is escaped. */
bool bd_wire_report_number(const char *text, size_t len, struct bd_report_number *out)
{
    static const char key[] = "\"tally\":";
    const size_t key_len = sizeof key - 1, digits_most = 18;
    const char *end = text + len, *p = memmem(text, len, key, key_len);
    if (!p || memmem(p + key_len, (size_t)(end - p) - key_len, key, key_len))
        return false;
    p += key_len;
    while (p < end && *p == ' ')
        p++;
    out->at = (size_t)(p - text);
    out->len = 0;
    out->value = 0;
    while (p + out->len < end && p[out->len] >= '0' && p[out->len] <= '9' &&
           out->len <= digits_most)
        out->value = out->value * 10 + (uint64_t)(p[out->len++] - '0');
    const char *after = p + out->len;
    bool whole = after < end && (*after == ',' || *after == '}' || *after == ' ');
    return out->len > 0 && out->len <= digits_most && (*p != '0' || out->len == 1) && whole;
}

void bd_wire_report_drop(struct bd_report *report)
{
    free(report->tasks);
    report->tasks = NULL;
    report->n = 0;
}

char *bd_wire_orders(uint64_t token, uint64_t session, const struct bd_order *o, size_t n)
{
    size_t cap = 96 + n * 128, len = 0;
    char *buf = malloc(cap);
    if (!buf)
        return NULL;
    len += (size_t)snprintf(buf, cap, "{\"seal\":%llu,", (unsigned long long)token);
    if (session)
        len += (size_t)snprintf(buf + len, cap - len, "\"tenancy\":%llu,",
                                (unsigned long long)session);
    len += (size_t)snprintf(buf + len, cap - len, "\"bids\":[");
    for (size_t i = 0; i < n; i++) {
        /* a line break each: no line of an answer may pass 64 KiB */
        len += (size_t)snprintf(buf + len, cap - len,
                                "%s{\"verb\":\"%s\",\"chore\":\"%s/%u\",\"try\":%llu",
                                i ? ",\n" : "", verbs[o[i].verb], o[i].job, o[i].task,
                                (unsigned long long)o[i].attempt);
        if (o[i].verb == BD_HALT)
            len += (size_t)snprintf(buf + len, cap - len, ",\"mercyS\":%.3f", o[i].grace);
        len += (size_t)snprintf(buf + len, cap - len, "}");
    }
    snprintf(buf + len, cap - len, "]}");
    return buf;
}

static bool type_of(json_t *o, struct bd_type_text *t)
{
    memset(t, 0, sizeof *t);
    if (!label(o, "label", t->label) || !amount(o, "vcpus", &t->cpus) ||
        !amount(o, "memGb", &t->mem) || !amount(o, "hourly", &t->price))
        return false;
    if (!amount(o, "accelerators", &t->gpus))
        t->gpus = 0;
    if (!amount(o, "localGb", &t->cache_gb))
        t->cache_gb = 0;
    if (!amount(o, "fetchGbPerS", &t->fetch) || t->fetch <= 0)
        t->fetch = 0.1;
    if (!amount(o, "marketPrice", &t->spot_price))
        t->spot_price = t->price;
    if (!amount(o, "readyS", &t->boot))
        t->boot = 60;
    json_t *z = json_object_get(o, "glades"), *v;
    size_t i;
    json_array_foreach(z, i, v)
    {
        const char *s = json_string_value(v);
        if (s && strlen(s) < BD_LABEL && t->nzones < 16)
            strcpy(t->zones[t->nzones++], s);
    }
    return true;
}

int bd_wire_types(json_t *o, struct bd_type_text *out, int max)
{
    json_t *a = json_object_get(o, "breeds"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    json_array_foreach(a, i, v)
    {
        if (n < max && type_of(v, &out[n]))
            n++;
    }
    return n;
}

static bool cloud_machine(json_t *v, struct bd_cloud_machine *m)
{
    memset(m, 0, sizeof *m);
    const char *state = json_string_value(json_object_get(v, "mood"));
    if (!state || !label(v, "id", m->id) || !label(v, "breed", m->type) ||
        !label(v, "glade", m->zone) || !flag(v, "windfall", &m->spot))
        return false;
    if (!label(v, "endpoint", m->addr))
        m->addr[0] = '\0';
    if (!amount(v, "heldS", &m->age))
        m->age = 0;
    m->state = strcmp(state, "running") == 0  ? BD_UP
               : strcmp(state, "failed") == 0 ? BD_FAILED
                                              : BD_BOOTING;
    return true;
}

int bd_wire_machines(json_t *o, struct bd_cloud_machine *out, int max, bool *more)
{
    json_t *a = json_object_get(o, "hearths"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    *more = json_is_true(json_object_get(o, "more"));
    json_array_foreach(a, i, v)
    {
        if (n == max || !cloud_machine(v, &out[n]))
            return -1;
        n++;
    }
    return n;
}

char *bd_wire_provision(const char *request, const char *type, const char *zone, bool spot,
                        int count)
{
    json_t *o = json_pack("{s:s,s:s,s:s,s:b,s:i}", "plea", request, "breed", type, "glade", zone,
                          "windfall", (int)spot, "howMany", count);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return s;
}

char *bd_wire_return(char (*names)[BD_LABEL], int n)
{
    json_t *a = json_array();
    for (int i = 0; i < n; i++)
        json_array_append_new(a, json_string(names[i]));
    json_t *o = json_pack("{s:o}", "hearths", a);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return s;
}

int bd_wire_machine_names(json_t *o, char (*names)[BD_LABEL], int max)
{
    json_t *a = json_object_get(o, "hearths"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    json_array_foreach(a, i, v)
    {
        const char *s = json_string_value(v);
        if (s && strlen(s) < BD_LABEL && n < max)
            strcpy(names[n++], s);
    }
    return n;
}

bool bd_wire_cloud_outage(json_t *o)
{
    const char *why = json_string_value(json_object_get(o, "error"));
    return why && strcmp(why, "trouble") == 0;
}

char *bd_wire_redirect(const char *node)
{
    char buf[128];
    if (!node || !*node)
        return strdup("{}");
    snprintf(buf, sizeof buf, "{\"steward\":\"%s\"}", node);
    return strdup(buf);
}

bool bd_txn_start(struct bd_txn *txn)
{
    txn->conds = json_array();
    txn->ops = json_array();
    return txn->conds && txn->ops;
}

void bd_txn_if(struct bd_txn *txn, const char *key, uint64_t revision)
{
    json_array_append_new(txn->conds,
                          json_pack("{s:s,s:I}", "k", key, "mark", (json_int_t)revision));
}

void bd_txn_set(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant)
{
    json_t *o = json_pack("{s:s,s:o}", "set", key, "value", value);
    if (o && grant)
        json_object_set_new(o, "charter", json_integer((json_int_t)grant));
    json_array_append_new(txn->ops, o);
}

void bd_txn_drop(struct bd_txn *txn, const char *key)
{
    json_array_append_new(txn->ops, json_pack("{s:s}", "drop", key));
}

char *bd_txn_end(struct bd_txn *txn)
{
    json_t *o = json_pack("{s:o,s:o}", "if", txn->conds, "apply", txn->ops);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    txn->conds = txn->ops = NULL;
    return s;
}

void bd_wire_set_revision(json_t *change, uint64_t revision)
{
    json_object_set_new(change, "mark", json_integer((json_int_t)revision));
}

uint64_t bd_wire_store_revision(json_t *o)
{
    uint64_t n = 0;
    return whole(o, "ring", &n) ? n : 0;
}

json_t *bd_wire_failed(json_t *o)
{
    return json_object_get(o, "failed");
}

bool bd_wire_no_grant(json_t *o)
{
    const char *s = json_string_value(json_object_get(o, "error"));
    return s && strcmp(s, "no such lease") == 0;
}

json_t *bd_wire_pairs(json_t *o, bool *more)
{
    *more = json_is_true(json_object_get(o, "more"));
    return json_object_get(o, "pairs");
}

json_t *bd_wire_log(json_t *o)
{
    return json_object_get(o, "log");
}

bool bd_wire_change(json_t *o, struct bd_change *c)
{
    c->value = json_object_get(o, "value");
    c->key = json_string_value(json_object_get(o, "k"));
    if (!c->key)
        c->key = json_string_value(json_object_get(o, "set"));
    if (!c->key) {
        c->key = json_string_value(json_object_get(o, "drop"));
        c->value = NULL;
    }
    return c->key && whole(o, "mark", &c->revision);
}

bool bd_wire_pair(json_t *o, struct bd_change *c, uint64_t *grant)
{
    *grant = 0;
    if (!bd_wire_change(o, c) || !c->value)
        return false;
    (void)whole(o, "charter", grant);
    return true;
}

uint64_t bd_wire_grant(json_t *o)
{
    uint64_t n = 0;
    return whole(o, "charter", &n) ? n : 0;
}

char *bd_wire_ttl(double s)
{
    char buf[48];
    snprintf(buf, sizeof buf, "{\"ttlMs\":%ld}", lround(s * 1000.0));
    return strdup(buf);
}
