/* The state service of the simulated day. */
#include "simulation.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct sim_key *find(struct sim *s, const char *name)
{
    for (int i = 0; i < s->nkeys; i++)
        if (s->keys[i].value && strcmp(s->keys[i].name, name) == 0)
            return &s->keys[i];
    return NULL;
}

static void note_change(struct sim *s, const char *name, json_t *value)
{
    if (s->nlog == s->cap_log) {
        s->cap_log = s->cap_log ? 2 * s->cap_log : 1024;
        s->log = realloc(s->log, s->cap_log * sizeof *s->log);
        if (!s->log)
            abort();
    }
    struct sim_change *c = &s->log[s->nlog++];
    snprintf(c->name, sizeof c->name, "%s", name);
    c->value = json_incref(value);
    c->revision = s->store_revision;
}

static void set_key(struct sim *s, const char *name, json_t *value, uint64_t grant)
{
    struct sim_key *k = find(s, name);
    for (int i = 0; !k && i < s->nkeys; i++)
        if (!s->keys[i].value)
            k = &s->keys[i];
    if (!k && s->nkeys == (int)(sizeof s->keys / sizeof *s->keys))
        abort();
    k = k ? k : &s->keys[s->nkeys++];
    json_incref(value);
    json_decref(k->value);
    snprintf(k->name, sizeof k->name, "%s", name);
    k->value = value;
    k->revision = s->store_revision;
    k->grant = grant;
    note_change(s, name, value);
}

static void drop_key(struct sim *s, const char *name)
{
    struct sim_key *k = find(s, name);
    if (!k)
        return;
    note_change(s, name, NULL);
    json_decref(k->value);
    k->value = NULL;
}

void sim_state_tick(struct sim *s)
{
    for (int i = 0; s->now >= s->outage && i < s->ngrants;) {
        if (s->now < s->grant[i].ends) {
            i++;
            continue;
        }
        for (int k = 0; k < s->nkeys; k++) {
            if (!s->keys[k].value || s->keys[k].grant != s->grant[i].id)
                continue;
            s->store_revision++;
            char name[96];
            snprintf(name, sizeof name, "%s", s->keys[k].name);
            drop_key(s, name);
        }
        s->grant[i] = s->grant[--s->ngrants];
    }
}

static struct sim_grant *grant_of(struct sim *s, uint64_t id)
{
    for (int i = 0; i < s->ngrants; i++)
        if (s->grant[i].id == id)
            return &s->grant[i];
    return NULL;
}

static long failed_conditions(struct sim *s, json_t *in, json_t **out)
{
    json_t *failed = json_array(), *v;
    size_t i;
    json_array_foreach(json_object_get(in, "if"), i, v)
    {
        const char *name = json_string_value(json_object_get(v, "k"));
        struct sim_key *k = find(s, name);
        if ((k ? k->revision : 0) != (uint64_t)json_integer_value(json_object_get(v, "mark")))
            json_array_append_new(failed, json_string(name));
    }
    if (json_array_size(failed) == 0) {
        json_decref(failed);
        return 0;
    }
    *out = json_pack("{s:o,s:I}", "failed", failed, "ring", (json_int_t)s->store_revision);
    return 409;
}

/* What the rules want of what is written, whoever writes it: no intent for a job that is cancelled
 * or done, and of the leaders' transactions each once, in order, by the one whose key stands. */
static void check_intents(struct sim *s, json_t *value)
{
    char key[96];
    json_t *v;
    size_t i;
    json_array_foreach(json_object_get(value, "e"), i, v)
    {
        const char *id = json_string_value(json_array_get(v, 0));
        snprintf(key, sizeof key, "j/%s", id ? id : "");
        struct sim_key *k = find(s, key);
        const char *state = k ? json_string_value(json_object_get(k->value, "s")) : NULL;
        if (!state || strcmp(state, "live") != 0)
            sim_broken(s, "intent: %s is %s", key, state ? state : "not there");
    }
}

static void check_witness(struct sim *s, int node, json_t *value)
{
    json_int_t t = json_integer_value(json_object_get(value, "t"));
    json_int_t n = json_integer_value(json_object_get(value, "n"));
    struct sim_key *w = find(s, "w"), *leader = find(s, "leader");
    json_int_t t0 = w ? json_integer_value(json_object_get(w->value, "t")) : 0;
    json_int_t n0 = w ? json_integer_value(json_object_get(w->value, "n")) : 0;
    if (t < t0 || (t == t0 && n <= n0))
        sim_broken(s, "written twice: %lld of term %lld after %lld of %lld", (long long)n,
                   (long long)t, (long long)n0, (long long)t0);
    const char *name =
        leader ? json_string_value(json_object_get(leader->value, "node")) : "nobody";
    if (strcmp(name, s->nodes[node].settings.node) != 0)
        sim_broken(s, "deposed: %s writes while %s leads", s->nodes[node].settings.node, name);
}

static long commit(struct sim *s, int node, const char *body, json_t **out)
{
    json_t *in = json_loads(body, 0, NULL), *v;
    size_t i;
    long status = in ? 200 : 400;
    json_array_foreach(json_object_get(in, "apply"), i, v)
    {
        json_t *g = json_object_get(v, "charter");
        if (g && !grant_of(s, (uint64_t)json_integer_value(g))) {
            *out = json_pack("{s:s}", "error", "no such lease");
            status = 400;
            break;
        }
    }
    if (status == 200 && failed_conditions(s, in, out) != 0)
        status = 409;
    if (status == 200 && json_array_size(json_object_get(in, "apply")) > 0) {
        s->store_revision++;
        json_array_foreach(json_object_get(in, "apply"), i, v)
        {
            const char *settings = json_string_value(json_object_get(v, "set"));
            if (settings && strncmp(settings, "i/", 2) == 0)
                check_intents(s, json_object_get(v, "value"));
            if (settings && strcmp(settings, "w") == 0)
                check_witness(s, node, json_object_get(v, "value"));
            if (settings)
                set_key(s, settings, json_object_get(v, "value"),
                        (uint64_t)json_integer_value(json_object_get(v, "charter")));
            else
                drop_key(s, json_string_value(json_object_get(v, "drop")));
        }
    }
    if (status == 200)
        *out = json_pack("{s:I}", "ring", (json_int_t)s->store_revision);
    json_decref(in);
    return status;
}

static json_t *pair(const struct sim_key *k)
{
    return json_pack("{s:s,s:O,s:I,s:I}", "k", k->name, "value", k->value, "mark",
                     (json_int_t)k->revision, "charter", (json_int_t)k->grant);
}

static long refresh(struct sim *s, const struct sim_call *c, json_t **out)
{
    json_t *log = json_array();
    size_t from = s->nlog;
    while (from > 0 && s->log[from - 1].revision > c->number)
        from--;
    for (size_t i = from; i < s->nlog; i++) {
        struct sim_change *h = &s->log[i];
        if (strncmp(h->name, "j/", 2) != 0)
            continue;
        json_array_append_new(log, h->value ? json_pack("{s:s,s:O,s:I}", "set", h->name, "value",
                                                        h->value, "mark", (json_int_t)h->revision)
                                            : json_pack("{s:s,s:I}", "drop", h->name, "mark",
                                                        (json_int_t)h->revision));
    }
    *out = json_pack("{s:I,s:o}", "ring", (json_int_t)s->store_revision, "log", log);
    return 200;
}

static long execute(struct sim *s, struct sim_call *c, json_t **out)
{
    struct sim_key *k;
    struct sim_grant *g;
    json_t *pairs;
    switch (c->op) {
    case SIM_GET:
        k = find(s, c->key);
        *out = k ? pair(k) : json_pack("{s:I}", "ring", (json_int_t)s->store_revision);
        return k ? 200 : 404;
    case SIM_LIST:
        pairs = json_array();
        for (int i = 0; i < s->nkeys; i++)
            if (s->keys[i].value && strncmp(s->keys[i].name, c->key, strlen(c->key)) == 0)
                json_array_append_new(pairs, pair(&s->keys[i]));
        *out = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", 0, "ring",
                         (json_int_t)s->store_revision);
        return 200;
    case SIM_REFRESH:
        return refresh(s, c, out);
    case SIM_COMMIT:
        return commit(s, c->node, c->body, out);
    case SIM_GRANT:
        if (s->ngrants == (int)(sizeof s->grant / sizeof *s->grant))
            return 429;
        s->grant[s->ngrants++] = (struct sim_grant){++s->grants, s->now + 2.0, 2.0};
        *out = json_pack("{s:I}", "charter", (json_int_t)s->grants);
        return 200;
    case SIM_RENEW:
        g = grant_of(s, c->number);
        if (!g)
            return 404;
        g->ends = s->now + g->ttl;
        *out = json_object();
        return 200;
    }
    return 400;
}

void sim_end_grant(struct sim *s, uint64_t id)
{
    struct sim_grant *g = grant_of(s, id);
    if (g && g->ends > s->now + sim_delay(s))
        g->ends = s->now + sim_delay(s);
}

void sim_call_drop(struct sim_call *c)
{
    if (--c->refs > 0)
        return;
    free(c->body);
    if (c->effect)
        bd_effect_free(c->effect);
    free(c);
}

/* The call goes out now; it is answered, or given up after the timeout. */
void sim_state_call(struct sim *s, struct sim_call *c, double timeout)
{
    double there = sim_delay(s) + (s->now < s->slow ? sim_between(s, 0.02, 0.6) : 0);
    bool refused = s->now < s->outage || s->now < s->refuses[c->node] ||
                   (c->op == SIM_REFRESH && s->now < s->blind[c->node]);
    bool write = c->op == SIM_COMMIT && !refused;
    struct sim_event *e = sim_post(s, there, SIM_STATE_RUN);
    e->call = c;
    c->refs++;
    e->flag = true; /* its answer arrives */
    if (write && s->now < s->lost_until && sim_rnd(s) < s->lost_share)
        e->flag = false;
    if (write && s->now < s->late_until && sim_rnd(s) < s->late_share) {
        e->flag = false;
        double late = sim_between(s, 2, 12);
        (void)sim_post_again(s, e, late);
        e->status = -1; /* not now */
        c->refs++;
    }
    struct sim_event *g = sim_post(s, timeout, SIM_STATE_GIVEN_UP);
    g->call = c;
    c->refs++;
}

void sim_state_event(struct sim *s, struct sim_event *e)
{
    struct sim_call *c = e->call;
    json_t *out = NULL;
    if (e->kind == SIM_STATE_RUN && e->status != -1) {
        bool refused = s->now < s->outage || s->now < s->refuses[c->node] ||
                       (c->op == SIM_REFRESH && s->now < s->blind[c->node]);
        long status = refused ? 503 : execute(s, c, &out);
        if (e->flag) {
            struct sim_event *back = sim_post(s, sim_delay(s), SIM_STATE_BACK);
            back->call = c;
            back->status = status;
            back->data = out;
            c->refs++;
            out = NULL;
        }
    } else if (e->kind == SIM_STATE_BACK) {
        out = e->data;
        if (!c->over) {
            c->over = true;
            sim_node_answered(s, c, e->status, out);
        }
    } else if (e->kind == SIM_STATE_GIVEN_UP && !c->over) {
        c->over = true;
        sim_node_answered(s, c, 0, NULL);
    }
    json_decref(out);
    sim_call_drop(c);
}

void sim_state_free(struct sim *s)
{
    for (int i = 0; i < s->nkeys; i++)
        json_decref(s->keys[i].value);
    for (size_t i = 0; i < s->nlog; i++)
        json_decref(s->log[i].value);
    free(s->log);
}
