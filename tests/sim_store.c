/* The state service of the simulated day. */
#include "model/effect.h"
#include "simulation.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void sim_store_tick(struct sim *s)
{
    for (int i = 0; s->now >= s->outage_until && i < s->ngrants;) {
        if (s->now < s->grant[i].ends) {
            i++;
            continue;
        }
        table_end_grant(&s->table, s->grant[i].id);
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

static bool grant_lives(void *owner, uint64_t id)
{
    return grant_of(owner, id) != NULL;
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
        struct table_key *k = table_find(&s->table, key);
        const char *state = k ? json_string_value(json_object_get(k->value, "s")) : NULL;
        if (!state || strcmp(state, "live") != 0)
            sim_violation(s, "intent: %s is %s", key, state ? state : "not there");
    }
}

static void check_sequence(struct sim *s, json_t *value)
{
    json_int_t t = json_integer_value(json_object_get(value, "t"));
    json_int_t n = json_integer_value(json_object_get(value, "n"));
    struct table_key *w = table_find(&s->table, "w"), *leader = table_find(&s->table, "leader");
    json_int_t t0 = w ? json_integer_value(json_object_get(w->value, "t")) : 0;
    json_int_t n0 = w ? json_integer_value(json_object_get(w->value, "n")) : 0;
    if (t < t0 || (t == t0 && n <= n0))
        sim_violation(s, "written twice: %lld of term %lld after %lld of %lld", (long long)n,
                      (long long)t, (long long)n0, (long long)t0);
    const char *name =
        leader ? json_string_value(json_object_get(leader->value, "node")) : "nobody";
    if (s->writer >= 0 && strcmp(name, s->nodes[s->writer].settings.node) != 0)
        sim_violation(s, "deposed: %s writes while %s leads", s->nodes[s->writer].settings.node,
                      name);
}

static void before_set(void *owner, const char *name, json_t *value)
{
    if (strncmp(name, "i/", 2) == 0)
        check_intents(owner, value);
    if (strcmp(name, "w") == 0)
        check_sequence(owner, value);
}

void sim_store_start(struct sim *s)
{
    s->table.owner = s;
    s->table.grant_lives = grant_lives;
    s->table.before_set = before_set;
}

static long commit(struct sim *s, int node, const char *body, json_t **out)
{
    json_t *in = json_loads(body, 0, NULL);
    s->writer = node;
    long status = in ? table_commit(&s->table, in, out) : 400;
    json_decref(in);
    return status;
}

static long execute(struct sim *s, struct sim_call *c, json_t **out)
{
    struct sim_grant *g;
    json_t *pairs;
    switch (c->op) {
    case SIM_GET:
        return table_get(&s->table, c->key, out);
    case SIM_LIST:
        pairs = json_array();
        for (size_t i = 0; i < s->table.nkeys; i++) {
            const struct table_key *k = &s->table.keys[i];
            if (k->value && strncmp(k->name, c->key, strlen(c->key)) == 0)
                json_array_append_new(pairs, table_pair(k));
        }
        *out = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", 0, "ring",
                         (json_int_t)s->table.revision);
        return 200;
    case SIM_REFRESH:
        *out = table_changes(&s->table, "j/", c->number);
        return 200;
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
    if (--c->references > 0)
        return;
    free(c->body);
    if (c->effect)
        bd_effect_free(c->effect);
    free(c);
}

/* The call goes out now; it is answered, or given up after the timeout. */
void sim_store_call(struct sim *s, struct sim_call *c, double timeout)
{
    double there = sim_delay(s) + (s->now < s->slow_until ? sim_between(s, 0.02, 0.6) : 0);
    bool refused = s->now < s->outage_until || s->now < s->refused_until[c->node] ||
                   (c->op == SIM_REFRESH && s->now < s->reads_refused_until[c->node]);
    bool write = c->op == SIM_COMMIT && !refused;
    struct sim_event *e = sim_post(s, there, SIM_STORE_RUN);
    e->call = c;
    c->references++;
    e->flag = true; /* its answer arrives */
    if (write && s->now < s->lost_until && sim_random(s) < s->lost_share)
        e->flag = false;
    if (write && s->now < s->late_until && sim_random(s) < s->late_share) {
        e->flag = false;
        double late = sim_between(s, 2, 12);
        (void)sim_post_again(s, e, late);
        e->status = -1; /* not now */
        c->references++;
    }
    struct sim_event *g = sim_post(s, timeout, SIM_STORE_TIMEOUT);
    g->call = c;
    c->references++;
}

void sim_store_event(struct sim *s, struct sim_event *e)
{
    struct sim_call *c = e->call;
    json_t *out = NULL;
    if (e->kind == SIM_STORE_RUN && e->status != -1) {
        bool refused = s->now < s->outage_until || s->now < s->refused_until[c->node] ||
                       (c->op == SIM_REFRESH && s->now < s->reads_refused_until[c->node]);
        long status = refused ? 503 : execute(s, c, &out);
        if (e->flag) {
            struct sim_event *back = sim_post(s, sim_delay(s), SIM_STORE_BACK);
            back->call = c;
            back->status = status;
            back->data = out;
            c->references++;
            out = NULL;
        }
    } else if (e->kind == SIM_STORE_BACK) {
        out = e->data;
        if (!c->is_over) {
            c->is_over = true;
            sim_node_answered(s, c, e->status, out);
        }
    } else if (e->kind == SIM_STORE_TIMEOUT && !c->is_over) {
        c->is_over = true;
        sim_node_answered(s, c, 0, NULL);
    }
    json_decref(out);
    sim_call_drop(c);
}

void sim_store_free(struct sim *s)
{
    table_free(&s->table);
}
