/* The key-value store of a simulated day, and the rules that its writes must keep. */
#include "model/effect.h"
#include "simulation.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GRANT_TTL_S 2.0
#define NOT_EXECUTED (-1) /* status of an event whose copy executes the call later */

void sim_store_tick(struct sim *sim)
{
    for (int i = 0; sim->now >= sim->store_outage_until && i < sim->ngrants;) {
        if (sim->now < sim->grants[i].expires_at) {
            i++;
            continue;
        }
        table_end_grant(&sim->table, sim->grants[i].id);
        sim->grants[i] = sim->grants[--sim->ngrants];
    }
}

static struct sim_grant *find_grant(struct sim *sim, uint64_t id)
{
    for (int i = 0; i < sim->ngrants; i++)
        if (sim->grants[i].id == id)
            return &sim->grants[i];
    return NULL;
}

static bool is_grant_live(void *owner, uint64_t id)
{
    return find_grant(owner, id) != NULL;
}

/* No node may write an intent for a job that is cancelled or done. */
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

/* Each leader's transaction is applied once, in order, and only if the node that sent it holds the
 * leader's key. */
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
    json_t *request = json_loads(body, 0, NULL);
    sim->writer = node;
    long status = request ? table_commit(&sim->table, request, out) : 400;
    json_decref(request);
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
        if (sim->ngrants == (int)(sizeof sim->grants / sizeof *sim->grants))
            return 429;
        sim->grants[sim->ngrants++] =
            (struct sim_grant){++sim->last_grant_id, sim->now + GRANT_TTL_S, GRANT_TTL_S};
        *out = json_pack("{s:I}", "charter", (json_int_t)sim->last_grant_id);
        return 200;
    case SIM_RENEW:
        grant = find_grant(sim, call->number);
        if (!grant)
            return 404;
        grant->expires_at = sim->now + grant->ttl_s;
        *out = json_object();
        return 200;
    }
    return 400;
}

void sim_end_grant(struct sim *sim, uint64_t id)
{
    struct sim_grant *grant = find_grant(sim, id);
    if (grant && grant->expires_at > sim->now + sim_network_delay(sim))
        grant->expires_at = sim->now + sim_network_delay(sim);
}

void sim_call_release(struct sim_call *call)
{
    if (--call->references > 0)
        return;
    free(call->body);
    if (call->effect)
        bd_effect_free(call->effect);
    free(call);
}

/* Whether a fault refuses the call at this time. */
static bool is_refused(const struct sim *sim, const struct sim_call *call)
{
    bool refuses_refreshes = sim->now < sim->refreshes_refused_until[call->node];
    bool refuses_drain_reads = sim->now < sim->drain_reads_refused_until[call->node];
    return sim->now < sim->store_outage_until || sim->now < sim->store_refused_until[call->node] ||
           (call->op == SIM_REFRESH && refuses_refreshes) ||
           (call->purpose == SIM_FOR_DRAINS && refuses_drain_reads);
}

/* Sends the call, which completes with its answer or after the timeout. */
void sim_store_call(struct sim *sim, struct sim_call *call, double timeout_s)
{
    double delay_s = sim_network_delay(sim) +
                     (sim->now < sim->store_slow_until ? sim_uniform(sim, 0.02, 0.6) : 0);
    bool is_write = call->op == SIM_COMMIT && !is_refused(sim, call);
    struct sim_event *event = sim_schedule(sim, delay_s, SIM_STORE_EXECUTE);
    event->call = call;
    call->references++;
    event->flag = true; /* the store answers */
    if (is_write && sim->now < sim->lost_answers_until && sim_random(sim) < sim->lost_answers_share)
        event->flag = false;
    if (is_write && sim->now < sim->late_writes_until && sim_random(sim) < sim->late_writes_share) {
        event->flag = false;
        double lateness_s = sim_uniform(sim, 2, 12);
        (void)sim_reschedule(sim, event, lateness_s);
        event->status = NOT_EXECUTED;
        call->references++;
    }
    struct sim_event *timeout_event = sim_schedule(sim, timeout_s, SIM_STORE_TIMEOUT);
    timeout_event->call = call;
    call->references++;
}

void sim_store_handle_event(struct sim *sim, struct sim_event *event)
{
    struct sim_call *call = event->call;
    json_t *out = NULL;
    if (event->kind == SIM_STORE_EXECUTE && event->status != NOT_EXECUTED) {
        long status = is_refused(sim, call) ? 503 : execute(sim, call, &out);
        if (event->flag) {
            struct sim_event *answer = sim_schedule(sim, sim_network_delay(sim), SIM_STORE_ANSWER);
            answer->call = call;
            answer->status = status;
            answer->data = out;
            call->references++;
            out = NULL;
        }
    } else if (event->kind == SIM_STORE_ANSWER) {
        out = event->data;
        if (!call->is_completed) {
            call->is_completed = true;
            sim_node_answered(sim, call, event->status, out);
        }
    } else if (event->kind == SIM_STORE_TIMEOUT && !call->is_completed) {
        call->is_completed = true;
        sim_node_answered(sim, call, 0, NULL);
    }
    json_decref(out);
    sim_call_release(call);
}

void sim_store_free(struct sim *sim)
{
    table_free(&sim->table);
}
