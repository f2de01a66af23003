/* The key-value store of the simulated day. */
#include "model/effect.h"
#include "simulation.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void sim_store_tick(struct sim *sim)
{
    for (int i = 0; sim->now >= sim->outage_until && i < sim->ngrants;) {
        if (sim->now < sim->grant[i].ends) {
            i++;
            continue;
        }
        table_end_grant(&sim->table, sim->grant[i].id);
        sim->grant[i] = sim->grant[--sim->ngrants];
    }
}

static struct sim_grant *grant_of(struct sim *sim, uint64_t id)
{
    for (int i = 0; i < sim->ngrants; i++)
        if (sim->grant[i].id == id)
            return &sim->grant[i];
    return NULL;
}

static bool is_grant_live(void *owner, uint64_t id)
{
    return grant_of(owner, id) != NULL;
}

/* What the rules want of what is written, whoever writes it: no intent for a job that is cancelled
 * or done, and of the leaders' transactions each once, in order, by the one whose key stands. */
static void check_intents(struct sim *sim, json_t *value)
{
    char key[96];
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(value, "e"), i, item)
    {
        const char *id = json_string_value(json_array_get(item, 0));
        snprintf(key, sizeof key, "j/%s", id ? id : "");
        struct table_key *record = table_find(&sim->table, key);
        const char *state = record ? json_string_value(json_object_get(record->value, "s")) : NULL;
        if (!state || strcmp(state, "live") != 0)
            sim_violation(sim, "intent: %s is %s", key, state ? state : "not there");
    }
}

static void check_sequence(struct sim *sim, json_t *value)
{
    json_int_t term = json_integer_value(json_object_get(value, "t"));
    json_int_t number = json_integer_value(json_object_get(value, "n"));
    struct table_key *written = table_find(&sim->table, "w"),
                     *leader = table_find(&sim->table, "leader");
    json_int_t last_term = written ? json_integer_value(json_object_get(written->value, "t")) : 0;
    json_int_t last_number = written ? json_integer_value(json_object_get(written->value, "n")) : 0;
    if (term < last_term || (term == last_term && number <= last_number))
        sim_violation(sim, "written twice: %lld of term %lld after %lld of %lld", (long long)number,
                      (long long)term, (long long)last_number, (long long)last_term);
    const char *name =
        leader ? json_string_value(json_object_get(leader->value, "node")) : "nobody";
    if (sim->writer >= 0 && strcmp(name, sim->nodes[sim->writer].settings.node) != 0)
        sim_violation(sim, "deposed: %s writes while %s leads",
                      sim->nodes[sim->writer].settings.node, name);
}

static void before_set(void *owner, const char *name, json_t *value)
{
    if (strncmp(name, "i/", 2) == 0)
        check_intents(owner, value);
    if (strcmp(name, "w") == 0)
        check_sequence(owner, value);
}

void sim_store_start(struct sim *sim)
{
    sim->table.owner = sim;
    sim->table.is_grant_live = is_grant_live;
    sim->table.before_set = before_set;
}

static long commit(struct sim *sim, int node, const char *body, json_t **out)
{
    json_t *in = json_loads(body, 0, NULL);
    sim->writer = node;
    long status = in ? table_commit(&sim->table, in, out) : 400;
    json_decref(in);
    return status;
}

static long execute(struct sim *sim, struct sim_call *call, json_t **out)
{
    struct sim_grant *grant;
    json_t *pairs;
    switch (call->op) {
    case SIM_GET:
        return table_get(&sim->table, call->key, out);
    case SIM_LIST:
        pairs = json_array();
        for (size_t i = 0; i < sim->table.nkeys; i++) {
            const struct table_key *key = &sim->table.keys[i];
            if (key->value && strncmp(key->name, call->key, strlen(call->key)) == 0)
                json_array_append_new(pairs, table_pair(key));
        }
        *out = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", 0, "ring",
                         (json_int_t)sim->table.revision);
        return 200;
    case SIM_REFRESH:
        *out = table_changes(&sim->table, "j/", call->number);
        return 200;
    case SIM_COMMIT:
        return commit(sim, call->node, call->body, out);
    case SIM_GRANT:
        if (sim->ngrants == (int)(sizeof sim->grant / sizeof *sim->grant))
            return 429;
        sim->grant[sim->ngrants++] = (struct sim_grant){++sim->grants, sim->now + 2.0, 2.0};
        *out = json_pack("{s:I}", "charter", (json_int_t)sim->grants);
        return 200;
    case SIM_RENEW:
        grant = grant_of(sim, call->number);
        if (!grant)
            return 404;
        grant->ends = sim->now + grant->ttl;
        *out = json_object();
        return 200;
    }
    return 400;
}

void sim_end_grant(struct sim *sim, uint64_t id)
{
    struct sim_grant *grant = grant_of(sim, id);
    if (grant && grant->ends > sim->now + sim_delay(sim))
        grant->ends = sim->now + sim_delay(sim);
}

void sim_call_drop(struct sim_call *call)
{
    if (--call->references > 0)
        return;
    free(call->body);
    if (call->effect)
        bd_effect_free(call->effect);
    free(call);
}

/* Whether a fault refuses the call, now. */
static bool is_refused(const struct sim *sim, const struct sim_call *call)
{
    bool refuses_reads = sim->now < sim->reads_refused_until[call->node];
    return sim->now < sim->outage_until || sim->now < sim->refused_until[call->node] ||
           (call->op == SIM_REFRESH && refuses_reads);
}

/* The call goes out now; it is answered, or given up after the timeout. */
void sim_store_call(struct sim *sim, struct sim_call *call, double timeout_s)
{
    double delay = sim_delay(sim) + (sim->now < sim->slow_until ? sim_between(sim, 0.02, 0.6) : 0);
    bool write = call->op == SIM_COMMIT && !is_refused(sim, call);
    struct sim_event *event = sim_post(sim, delay, SIM_STORE_RUN);
    event->call = call;
    call->references++;
    event->flag = true; /* its answer arrives */
    if (write && sim->now < sim->lost_until && sim_random(sim) < sim->lost_share)
        event->flag = false;
    if (write && sim->now < sim->late_until && sim_random(sim) < sim->late_share) {
        event->flag = false;
        double late = sim_between(sim, 2, 12);
        (void)sim_post_again(sim, event, late);
        event->status = -1; /* not now */
        call->references++;
    }
    struct sim_event *timeout_event = sim_post(sim, timeout_s, SIM_STORE_TIMEOUT);
    timeout_event->call = call;
    call->references++;
}

void sim_store_event(struct sim *sim, struct sim_event *event)
{
    struct sim_call *call = event->call;
    json_t *out = NULL;
    if (event->kind == SIM_STORE_RUN && event->status != -1) {
        long status = is_refused(sim, call) ? 503 : execute(sim, call, &out);
        if (event->flag) {
            struct sim_event *back = sim_post(sim, sim_delay(sim), SIM_STORE_BACK);
            back->call = call;
            back->status = status;
            back->data = out;
            call->references++;
            out = NULL;
        }
    } else if (event->kind == SIM_STORE_BACK) {
        out = event->data;
        if (!call->is_over) {
            call->is_over = true;
            sim_node_answered(sim, call, event->status, out);
        }
    } else if (event->kind == SIM_STORE_TIMEOUT && !call->is_over) {
        call->is_over = true;
        sim_node_answered(sim, call, 0, NULL);
    }
    json_decref(out);
    sim_call_drop(call);
}

void sim_store_free(struct sim *sim)
{
    table_free(&sim->table);
}
