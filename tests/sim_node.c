/* The adapters of the simulated controllers: what election.c, kv_client.c, cloud_client.c,
 * worker_client.c, peer_transport.c and event_loop.c do around the core, as events. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "core/core.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "numbers.h"
#include "simulation.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TTL_S 2.0

enum then { /* what an answer of the state service is for */
            THEN_LIST,
            THEN_REFRESH,
            THEN_DELEGATES,
            THEN_DRAINS,
            THEN_DRAIN_SETS,
            THEN_SEE,
            THEN_LIVENESS,
            THEN_GRANT,
            THEN_ACQUIRE,
            THEN_OURS,
            THEN_SEQUENCE,
            THEN_RECEIPTS,
            THEN_INTENTS,
            THEN_RENEW,
            THEN_COMMIT,
            THEN_SEQUENCE_SHOWS,
            THEN_USER,
            THEN_DELEGATE,
            THEN_DELEGATE_MARK,
            THEN_LOOKUP
};

static struct timespec steady(const struct sim *s, const struct sim_node *n)
{
    return bd_secs(n->clock_from + (s->now - n->began) * n->clock_rate);
}

static double wall_of(const struct sim *s, const struct sim_node *n)
{
    return 1e6 + s->now + n->wall_off;
}

static void clock_core(struct sim *s, struct sim_node *n)
{
    bd_core_set_clock(n->core, steady(s, n), wall_of(s, n));
}

static struct sim_call *call(struct sim *s, struct sim_node *n, enum sim_op op, enum then then,
                             const char *key, char *body, double timeout)
{
    struct sim_call *c = calloc(1, sizeof *c);
    if (!c)
        abort();
    c->op = op;
    c->then = (int)then;
    c->node = (int)(n - s->nodes);
    c->epoch = n->epoch;
    snprintf(c->key, sizeof c->key, "%s", key ? key : "");
    c->body = body;
    c->sent = steady(s, n);
    sim_state_call(s, c, timeout);
    return c;
}

static struct sim_event *wake(struct sim *s, struct sim_node *n, double delay,
                              enum sim_event_kind kind)
{
    struct sim_event *e = sim_post(s, delay, kind);
    e->node = (int)(n - s->nodes);
    e->epoch = n->epoch;
    return e;
}

/* ---- effects ---- */

static void reply(struct sim *s, struct sim_node *n, struct bd_effect *e)
{
    struct sim_request *q = e->request;
    if (!q)
        return;
    bool held = !q->user && sim_held_up(s);
    struct sim_event *b = wake(s, n, sim_delay(s) + (held ? sim_between(s, 0.3, 4) : 0),
                               q->user ? SIM_USER_BACK : SIM_REPORT_BACK);
    b->who = q->who;
    b->number = q->number;
    b->status = e->status;
    b->text = e->body;
    e->body = NULL;
}

static struct sim_event *to_peer(struct sim *s, struct sim_node *n, int peer,
                                 enum bd_frame_type type, struct bd_effect *e)
{
    int to = peer + (peer >= (int)(n - s->nodes)); /* the settings leave ourselves out */
    struct sim_event *m = wake(s, n, sim_delay(s), SIM_FRAME);
    struct bd_frame *f = calloc(1, sizeof *f);
    if (!f)
        abort();
    m->who = to;
    m->epoch = s->nodes[to].epoch;
    m->data = f;
    f->type = type;
    snprintf(f->name, sizeof f->name, "%s", n->settings.node);
    if (e) {
        f->id = e->forward_id;
        f->status = (uint16_t)e->status;
        m->text = e->body;
        e->body = NULL;
    }
    return m;
}

/* Into the queue of the controller's own senders, which may be slow to take it out. */
static void direct(struct sim *s, struct sim_node *n, struct bd_effect *e)
{
    struct sim_try *t = calloc(1, sizeof *t);
    if (!t)
        abort();
    *t = (struct sim_try){.reservations = 1,
                          .machine = e->machine,
                          .fencing_token = e->fencing_token,
                          .launch = e->launch};
    t->worker = number_of(e->addr + 2); /* "w-N" */
    t->until = e->until;
    struct sim_event *d = wake(s, n, n->senders_stalled - s->now, SIM_DO_SEND);
    d->text = e->body;
    d->data = t;
    e->body = NULL;
}

static void cloud(struct sim *s, struct sim_node *n, struct bd_effect *e)
{
    struct sim_event *b = wake(s, n, sim_between(s, 0.1, 0.4), SIM_CLOUD_BACK);
    b->flag = e->kind == BD_EFFECT_SCALE_OUT;
    b->text = e->body;
    e->body = NULL;
}

static void next_commit(struct sim *s, struct sim_node *n)
{
    (void)call(s, n, SIM_COMMIT, THEN_COMMIT, NULL, strdup(n->commit->body), 1.5);
}

static uint64_t requester_of(const struct bd_effect *e)
{
    const struct sim_request *q = e->request;
    if (e->kind != BD_EFFECT_REPLY || !q)
        return 0;
    return (q->number << 20 | (uint64_t)q->who << 2 | (uint64_t)q->user << 1 | 1);
}

static void perform(struct sim *s, struct sim_node *n, struct bd_effect *e)
{
    struct sim_call *c;
    if (s->digest)
        behaviour_digest_effect(s->digest, s->now, (int)(n - s->nodes), e, requester_of(e));
    switch (e->kind) {
    case BD_EFFECT_REPLY:
        reply(s, n, e);
        break;
    case BD_EFFECT_READ_BARRIER:
        n->want_barrier = true;
        wake(s, n, 0.01, SIM_READER);
        break;
    case BD_EFFECT_STEP_DOWN:
        n->step_down = true;
        if (e->status == BD_STEP_DOWN_RESIGNED)
            sim_end_grant(s, n->grant);
        break;
    case BD_EFFECT_ANNOUNCE_CANCELLATION: /* in half of the days nobody tells: the rules hold
                                             without the news */
        for (int i = 0; s->seed / 2 % 2 && i < n->settings.npeers; i++)
            to_peer(s, n, i, BD_FRAME_CANCELLED, NULL)->text = strdup(e->key);
        break;
    case BD_EFFECT_FORWARD_HEARTBEAT:
    case BD_EFFECT_FORWARD_REPLY:
        (void)to_peer(s, n, e->peer,
                      e->kind == BD_EFFECT_FORWARD_HEARTBEAT ? BD_FRAME_HEARTBEAT : BD_FRAME_ANSWER,
                      e);
        break;
    case BD_EFFECT_DELEGATE_TXN:
        c = e->body ? call(s, n, SIM_COMMIT, THEN_DELEGATE, NULL, strdup(e->body), 1.5)
                    : call(s, n, SIM_GET, THEN_DELEGATE_MARK, e->key, NULL, 1.5);
        (void)c;
        break;
    case BD_EFFECT_USER_TXN:
        c = call(s, n, SIM_COMMIT, THEN_USER, NULL, strdup(e->body), 2.5);
        c->effect = e;
        return;
    case BD_EFFECT_JOB_LOOKUP: {
        char key[BD_LABEL + 2];
        snprintf(key, sizeof key, "j/%.60s", e->key);
        c = call(s, n, SIM_GET, THEN_LOOKUP, key, NULL, 1.5);
        c->effect = e;
        return;
    }
    case BD_EFFECT_LEADER_TXN:
        if (n->commit)
            bd_effect_free(n->commit);
        n->commit = e;
        next_commit(s, n);
        return;
    case BD_EFFECT_DIRECT_COMMAND:
        direct(s, n, e);
        break;
    case BD_EFFECT_SCALE_OUT:
    case BD_EFFECT_SCALE_IN:
        cloud(s, n, e);
        break;
    }
    bd_effect_free(e);
}

static void take_gain(struct sim *s, struct sim_node *n)
{
    if (!n->leadership_acquired || !n->core->replica.ready ||
        n->core->replica.store_revision < n->gain.term)
        return;
    n->leadership_acquired = false;
    n->gain.nonce = n->nonce;
    bd_core_leadership_acquired(n->core, &n->gain);
    json_decref(n->gain.receipts);
    json_decref(n->gain.intents);
    n->gain.receipts = n->gain.intents = NULL;
    s->terms++;
    sim_copies_now(s);
    sim_note(s, "%s leads, term %llu", n->settings.node, (unsigned long long)n->core->lead.term);
}

static void say_status(struct sim *s, struct sim_node *n)
{
    struct bd_core *c = n->core;
    if (s->now < n->next_status)
        return;
    n->next_status = s->now + 0.3;
    double age = bd_between(c->replica.refreshed_at, c->now);
    uint8_t flags = (uint8_t)(BD_PEER_KNOWS_DAG | (s->draining ? BD_PEER_KNOWS_DRAINS : 0));
    flags |= c->role == BD_LEADER ? BD_PEER_LEADS : 0;
    flags |= bd_forward_hears_leader(c) ? BD_PEER_HEARS_LEADER : 0;
    flags |= c->role == BD_LEADER && c->lead.inbound_partition ? BD_PEER_INBOUND_PARTITION : 0;
    flags |= age < 1.0 && c->replica.ready ? BD_PEER_KV_REACHABLE : 0;
    flags |= bd_autonomous_zone_active(c) ? BD_PEER_KV_LOST : 0;
    for (int i = 0; i < n->settings.npeers; i++) {
        struct bd_frame *f = to_peer(s, n, i, BD_FRAME_STATUS, NULL)->data;
        f->term = c->role == BD_LEADER ? c->lead.term : 0;
        f->flags = flags;
        f->age_ms = age > 1e6 ? 1000000000u : (uint32_t)(age * 1000);
        f->at_ms = (uint64_t)(c->wall * 1000);
        if (s->digest)
            behaviour_digest_status(s->digest, s->now, (int)(n - s->nodes), i, f);
    }
}

static void settle(struct sim *s, struct sim_node *n)
{
    take_gain(s, n);
    bd_core_tick(n->core);
    struct bd_effect *e = bd_effects_take(n->core);
    while (e) {
        struct bd_effect *next = e->next;
        perform(s, n, e);
        e = next ? next : bd_effects_take(n->core);
    }
    say_status(s, n);
}

/* ---- reader ---- */

static void read_next(struct sim *s, struct sim_node *n)
{
    if (n->refresh_out)
        return;
    n->refresh_out = true;
    if (n->list_again) {
        (void)call(s, n, SIM_LIST, THEN_LIST, "j/", NULL, 1.5);
        return;
    }
    if (n->core->role == BD_LEADER && s->now > n->next_delegates) {
        n->next_delegates = s->now + 0.7;
        (void)call(s, n, SIM_LIST, THEN_DELEGATES, "p/", NULL, 1.5);
        return;
    }
    if (s->draining && n->core->role == BD_LEADER && s->now > n->next_drains) {
        n->next_drains = s->now + 1;
        (void)call(s, n, SIM_LIST, THEN_DRAINS, BD_DRAIN_KEY, NULL, 1.5);
        return;
    }
    struct sim_call *c = call(s, n, SIM_REFRESH, THEN_REFRESH, NULL, NULL, 1.5);
    c->number = n->after;
    c->flag = n->want_barrier;
    n->want_barrier = false;
}

static void changes(struct sim_node *n, json_t *list)
{
    struct bd_change ch;
    json_t *v;
    size_t i;
    json_array_foreach(list, i, v)
    {
        if (bd_wire_change(v, &ch))
            bd_replica_apply(n->core, &ch);
    }
}

/* The drains' records, and after them their machines' if those are not known. */
static void drains_read(struct sim *s, struct sim_node *n, struct sim_call *c, long status,
                        json_t *o)
{
    bool ignored, sets = c->then == THEN_DRAIN_SETS;
    json_t *pairs = status == 200 ? bd_wire_pairs(o, &ignored) : NULL;
    if (!sets && pairs && bd_drain_wants_sets(n->core)) {
        json_decref(n->drains);
        n->drains = json_incref(pairs);
        n->refresh_out = true;
        (void)call(s, n, SIM_LIST, THEN_DRAIN_SETS, BD_DRAIN_SET, NULL, 1.5);
        return;
    }
    if (pairs)
        bd_drain_records(n->core, sets ? n->drains : pairs, sets ? pairs : NULL);
    wake(s, n, status == 200 ? 0.2 : 0.25, SIM_READER);
}

static void refreshed(struct sim *s, struct sim_node *n, struct sim_call *c, long status, json_t *o)
{
    bool ignored;
    n->refresh_out = false;
    if (c->then == THEN_LIST && status == 200) {
        changes(n, bd_wire_pairs(o, &ignored));
        bd_replica_listed(n->core, bd_wire_store_revision(o), c->sent);
        n->after = n->core->replica.store_revision;
        n->list_again = false;
    } else if (c->then == THEN_REFRESH) {
        n->reads_refused = status != 200;
        if (status == 200)
            changes(n, bd_wire_log(o));
        bd_replica_refreshed(n->core, c->number, bd_wire_store_revision(o), c->sent, c->flag,
                             status == 200);
        if (status == 200 && bd_wire_store_revision(o) > n->after)
            n->after = bd_wire_store_revision(o);
    } else if (c->then == THEN_DELEGATES && status == 200) {
        if (s->loud && getenv("SIM_DEPUTIES")) {
            char *text = json_dumps(bd_wire_pairs(o, &ignored), JSON_COMPACT);
            sim_note(s, "%s sees %s", n->settings.node, text);
            free(text);
        }
        bd_delegate_records_read(n->core, bd_wire_pairs(o, &ignored), c->sent);
    }
    wake(s, n, status == 200 ? (n->want_barrier ? 0.04 : 0.2) : 0.25, SIM_READER);
}

/* ---- seat ---- */

static void election_again(struct sim *s, struct sim_node *n, double delay)
{
    n->election_out = false;
    wake(s, n, delay, SIM_ELECTION);
}

static void election_next(struct sim *s, struct sim_node *n)
{
    if (n->election_out)
        return;
    n->election_out = true;
    if (n->leading && n->step_down)
        n->leading = false;
    n->step_down = false;
    if (n->leading) {
        struct sim_call *c = call(s, n, SIM_RENEW, THEN_RENEW, NULL, NULL, TTL_S / 3);
        c->number = n->grant;
        return;
    }
    (void)call(s, n, SIM_GET, THEN_SEE, "leader", NULL, TTL_S / 3);
}

static void get_grant(struct sim *s, struct sim_node *n, uint64_t revision)
{
    snprintf(n->nonce, sizeof n->nonce, "%d-%llu-%llu", (int)(n - s->nodes),
             (unsigned long long)n->epoch, (unsigned long long)s->order);
    n->granted = steady(s, n);
    struct sim_call *c = call(s, n, SIM_GRANT, THEN_GRANT, NULL, NULL, TTL_S / 3);
    c->number = revision;
}

static void write_liveness(struct sim *s, struct sim_node *n, uint64_t revision)
{
    struct bd_txn t;
    char key[BD_LABEL + 8];
    if (bd_between(n->liveness_at, steady(s, n)) < 0.8 || !bd_txn_begin(&t))
        return;
    n->liveness_at = steady(s, n);
    snprintf(key, sizeof key, "p/%.50s/at", n->settings.node);
    bd_txn_compare(&t, "leader", revision);
    bd_txn_put(&t, key, json_pack("{s:f}", "at", wall_of(s, n)), 0);
    bd_liveness_sent(n->core, n->liveness_at);
    (void)call(s, n, SIM_COMMIT, THEN_LIVENESS, NULL, bd_txn_finish(&t), TTL_S / 3);
}

static void saw(struct sim *s, struct sim_node *n, struct sim_call *c, long status, json_t *o)
{
    struct bd_change ch;
    uint64_t grant;
    bool told = n->core->role == BD_FOLLOWER && !n->leadership_acquired;
    if (status == 404) {
        if (told)
            bd_core_leader_observed(n->core, "", 0, c->sent, false);
        if (n->reads_refused)
            election_again(s, n, 0.3);
        else
            get_grant(s, n, 0);
        return;
    }
    if (status == 200 && bd_wire_pair(o, &ch, &grant)) {
        const char *node = json_string_value(json_object_get(ch.value, "node"));
        bool away = false;
        json_t *v;
        size_t i;
        json_array_foreach(json_object_get(ch.value, "away"), i, v)
        {
            away = away || strcmp(json_string_value(v), n->settings.node) == 0;
        }
        if (told)
            bd_core_leader_observed(n->core, node, ch.revision, c->sent, away);
        if (strcmp(node, n->settings.node) == 0 && !n->reads_refused) {
            get_grant(s, n, ch.revision);
            return;
        }
        write_liveness(s, n, ch.revision);
    }
    election_again(s, n, sim_between(s, 0.2, 0.4));
}

static void got_grant(struct sim *s, struct sim_node *n, struct sim_call *c, long status, json_t *o)
{
    struct bd_txn t;
    n->grant = status == 200 ? bd_wire_grant(o) : 0;
    if (!n->grant || !bd_txn_begin(&t)) {
        election_again(s, n, 0.3);
        return;
    }
    bd_txn_compare(&t, "leader", c->number);
    bd_txn_put(&t, "leader", json_pack("{s:s,s:s}", "node", n->settings.node, "nonce", n->nonce),
               n->grant);
    (void)call(s, n, SIM_COMMIT, THEN_ACQUIRE, NULL, bd_txn_finish(&t), TTL_S / 3);
}

static void acquired(struct sim *s, struct sim_node *n, uint64_t term)
{
    memset(&n->gain, 0, sizeof n->gain);
    n->gain.term = term;
    n->gain.grant = n->grant;
    (void)call(s, n, SIM_GET, THEN_SEQUENCE, "w", NULL, 1.5);
}

static void election_answer(struct sim *s, struct sim_node *n, struct sim_call *c, long status,
                            json_t *o)
{
    struct bd_change ch;
    uint64_t grant;
    bool ignored;
    switch ((enum then)c->then) {
    case THEN_SEE:
        saw(s, n, c, status, o);
        return;
    case THEN_GRANT:
        got_grant(s, n, c, status, o);
        return;
    case THEN_ACQUIRE:
        if (status == 200)
            acquired(s, n, bd_wire_store_revision(o));
        else if (status == 409 || status == 400)
            election_again(s, n, 0.3);
        else
            (void)call(s, n, SIM_GET, THEN_OURS, "leader", NULL, TTL_S / 3);
        return;
    case THEN_OURS:
        if (status == 200 && bd_wire_pair(o, &ch, &grant) &&
            strcmp(json_string_value(json_object_get(ch.value, "nonce")), n->nonce) == 0)
            acquired(s, n, ch.revision);
        else
            election_again(s, n, 0.3);
        return;
    case THEN_SEQUENCE:
        if (status == 200 && bd_wire_pair(o, &ch, &grant))
            n->gain.sequence_revision = ch.revision;
        break;
    case THEN_RECEIPTS:
        n->gain.receipts = status == 200 ? json_incref(bd_wire_pairs(o, &ignored)) : NULL;
        break;
    case THEN_INTENTS:
        n->gain.intents = status == 200 ? json_incref(bd_wire_pairs(o, &ignored)) : NULL;
        break;
    default:
        return;
    }
    bool ok = status == 200 || (status == 404 && c->then == THEN_SEQUENCE);
    if (!ok) { /* the term is given up: the key ends with its grant */
        json_decref(n->gain.receipts);
        json_decref(n->gain.intents);
        n->gain.receipts = n->gain.intents = NULL;
        election_again(s, n, 0.3);
    } else if (c->then == THEN_SEQUENCE) {
        (void)call(s, n, SIM_LIST, THEN_RECEIPTS, "r/", NULL, 1.5);
    } else if (c->then == THEN_RECEIPTS) {
        (void)call(s, n, SIM_LIST, THEN_INTENTS, "i/", NULL, 1.5);
    } else {
        n->gain.renewed = n->granted;
        n->step_down = false;
        n->leading = n->leadership_acquired = true;
        election_again(s, n, 0);
    }
}

static void renewed(struct sim *s, struct sim_node *n, struct sim_call *c, long status)
{
    if (status == 404) {
        n->leading = false;
        json_decref(n->gain.receipts);
        json_decref(n->gain.intents);
        n->gain.receipts = n->gain.intents = NULL;
        n->leadership_acquired = false;
        bd_leadership_lost(n->core);
        election_again(s, n, 0);
        return;
    }
    if (status == 200)
        bd_leadership_renewed(n->core, c->number, c->sent);
    election_again(s, n, TTL_S / 6);
}

/* ---- the leader's transactions ---- */

static bool names(json_t *failed, const char *key)
{
    json_t *v;
    size_t i;
    json_array_foreach(failed, i, v)
    {
        if (strcmp(json_string_value(v), key) == 0)
            return true;
    }
    return false;
}

static void committed(struct sim *s, struct sim_node *n, enum bd_txn_outcome outcome,
                      uint64_t store_revision, json_t *o)
{
    struct bd_effect *e = n->commit;
    struct bd_core *c = n->core;
    n->commit = NULL;
    if (strtoull(e->key, NULL, 10) == c->lead.base_term && e->sequence == c->lead.sequence)
        bd_leader_txn_completed(c, outcome, store_revision, bd_wire_failed(o));
    bd_effect_free(e);
    (void)s;
}

static void commit_answer(struct sim *s, struct sim_node *n, struct sim_call *c, long status,
                          json_t *o)
{
    struct bd_change ch;
    uint64_t grant;
    json_t *failed = bd_wire_failed(o);
    if (!n->commit)
        return;
    if (c->then == THEN_SEQUENCE_SHOWS) {
        bool ours =
            status == 200 && bd_wire_pair(o, &ch, &grant) &&
            (uint64_t)json_integer_value(json_object_get(ch.value, "t")) ==
                strtoull(n->commit->key, NULL, 10) &&
            (uint64_t)json_integer_value(json_object_get(ch.value, "n")) == n->commit->sequence;
        if (ours)
            committed(s, n, BD_TXN_COMMITTED, ch.revision, NULL);
        else if (status == 200 || status == 404)
            committed(s, n, BD_TXN_DEPOSED, 0, NULL);
        else
            (void)call(s, n, SIM_GET, THEN_SEQUENCE_SHOWS, "w", NULL, 1.5);
    } else if (status == 200) {
        committed(s, n, BD_TXN_COMMITTED, bd_wire_store_revision(o), NULL);
    } else if (status == 409 && names(failed, "w")) {
        (void)call(s, n, SIM_GET, THEN_SEQUENCE_SHOWS, "w", NULL, 1.5);
    } else if (status == 409) {
        committed(s, n, names(failed, "leader") ? BD_TXN_DEPOSED : BD_TXN_CONFLICT, 0, o);
    } else if (status == 400 || !n->leading) {
        committed(s, n, BD_TXN_DEPOSED, 0, NULL);
    } else {
        wake(s, n, 0.25, SIM_ELECTION)->flag = true; /* the same once more */
    }
}

/* ---- events ---- */

void sim_node_answered(struct sim *s, struct sim_call *c, long status, json_t *o)
{
    struct sim_node *n = &s->nodes[c->node];
    struct bd_change ch;
    uint64_t grant;
    if (!n->core || n->epoch != c->epoch)
        return;
    clock_core(s, n);
    struct bd_effect *e = c->effect;
    switch ((enum then)c->then) {
    case THEN_LIST:
    case THEN_REFRESH:
    case THEN_DELEGATES:
        refreshed(s, n, c, status, o);
        break;
    case THEN_DRAINS:
    case THEN_DRAIN_SETS:
        n->refresh_out = false;
        drains_read(s, n, c, status, o);
        break;
    case THEN_LIVENESS:
        if (status == 200)
            bd_liveness_written(n->core, c->sent);
        break;
    case THEN_RENEW:
        renewed(s, n, c, status);
        break;
    case THEN_COMMIT:
    case THEN_SEQUENCE_SHOWS:
        commit_answer(s, n, c, status, o);
        break;
    case THEN_USER:
        bd_user_txn_completed(n->core, e->request, e->key, e->body, e->status, status,
                              bd_wire_store_revision(o));
        break;
    case THEN_DELEGATE:
        bd_delegate_txn_completed(n->core, status, bd_wire_store_revision(o), c->sent,
                                  status == 200);
        break;
    case THEN_DELEGATE_MARK: {
        bool pair = status == 200 && bd_wire_pair(o, &ch, &grant);
        bd_delegate_txn_completed(n->core, 0, pair ? ch.revision : 0, c->sent,
                                  status == 404 || pair);
        break;
    }
    case THEN_LOOKUP:
        status = status == 200 && !bd_wire_pair(o, &ch, &grant) ? 0 : status;
        bd_replica_lookup_completed(n->core, e->request, e->key, e->status, status,
                                    status == 200 ? &ch : NULL);
        break;
    default:
        election_answer(s, n, c, status, o);
    }
    settle(s, n);
}

static bool peers_apart(const struct sim *s, int a, int b)
{
    return s->now < s->peers_cut[a] || s->now < s->peers_cut[b] ||
           (s->now < s->zones_cut &&
            strcmp(s->nodes[a].settings.zone, s->nodes[b].settings.zone) != 0);
}

static bool read_heartbeat(const char *text, struct bd_heartbeat *r)
{
    json_t *o = text ? json_loads(text, 0, NULL) : NULL;
    bool ok = o && bd_wire_heartbeat(o, r);
    json_decref(o);
    return ok;
}

/* A cut may deliver late what was sent meanwhile. */
static bool held_frame(struct sim *s, struct sim_event *e)
{
    double until = s->peers_cut[e->node];
    until = s->peers_cut[e->who] > until ? s->peers_cut[e->who] : until;
    until = s->zones_cut > until ? s->zones_cut : until;
    if (!peers_apart(s, e->node, e->who) || sim_rnd(s) < 0.5)
        return false;
    (void)sim_post_again(s, e, until - s->now + sim_between(s, 0.01, 0.3));
    return true;
}

static void frame_in(struct sim *s, struct sim_event *e)
{
    if (held_frame(s, e))
        return;
    struct sim_node *n = &s->nodes[e->who];
    struct bd_frame *f = e->data;
    struct bd_heartbeat r;
    if (n->core && n->epoch == e->epoch && !peers_apart(s, e->node, e->who)) {
        clock_core(s, n);
        if (f->type == BD_FRAME_STATUS)
            bd_peer_status_received(n->core, f->name, f->term, f->flags, f->age_ms / 1000.0,
                                    (double)f->at_ms / 1000.0, n->core->now);
        if (f->type == BD_FRAME_HEARTBEAT && read_heartbeat(e->text, &r)) {
            bd_worker_heartbeat_forwarded(n->core, f->name, f->id, &r, e->text, strlen(e->text));
            bd_wire_heartbeat_release(&r);
        }
        if (f->type == BD_FRAME_CANCELLED)
            bd_job_cancellation_received(n->core, e->text);
        if (f->type == BD_FRAME_ANSWER)
            bd_forward_reply_received(n->core, f->id, f->status, e->text,
                                      e->text ? strlen(e->text) : 0);
        settle(s, n);
    }
    free(f);
}

/* They live until the day's end: a core that ends leaves some unanswered. */
static struct sim_request *new_request(struct sim *s, const struct sim_event *e)
{
    struct sim_request *q = calloc(1, sizeof *q);
    if (!q)
        abort();
    q->who = e->who;
    q->number = e->kind == SIM_REPORT_COPY ? UINT64_MAX : e->number; /* nobody hears the answer */
    q->next = s->requests;
    s->requests = q;
    return q;
}

static void report_in(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    struct bd_heartbeat r;
    if (!n->core || !read_heartbeat(e->text, &r))
        return;
    struct sim_request *q = new_request(s, e);
    clock_core(s, n);
    bd_worker_heartbeat_received(n->core, q, &r, e->text, strlen(e->text));
    bd_wire_heartbeat_release(&r);
    settle(s, n);
}

/* Taken out of the queue: sent, if the right to it still holds, as worker_client.c asks too. */
static void send_direct(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    struct sim_try *t = e->data;
    if (!n->core || n->epoch != e->epoch) {
        free(t);
        return;
    }
    if (!bd_before(steady(s, n), t->until)) {
        clock_core(s, n);
        bd_worker_direct_command_completed(n->core, t->machine, t->fencing_token, t->launch,
                                           BD_DIRECT_NOT_SENT, NULL);
        settle(s, n);
        free(t);
        return;
    }
    t->reservations = 2;
    bool held = sim_held_up(s);
    struct sim_event *d = wake(s, n, sim_delay(s) + (held ? sim_between(s, 0.5, 6) : 0), SIM_DO_IN);
    d->who = t->worker;
    d->text = e->text;
    d->data = t;
    e->text = NULL;
    struct sim_event *g = wake(s, n, 1.5, SIM_DO_GIVEN_UP);
    g->data = t;
}

static void did(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    struct sim_try *t = e->data;
    struct bd_heartbeat r;
    if (!t->over && n->core && n->epoch == e->epoch) {
        bool ok = e->kind == SIM_DO_BACK && read_heartbeat(e->text, &r);
        clock_core(s, n);
        bd_worker_direct_command_completed(n->core, t->machine, t->fencing_token, t->launch,
                                           ok ? e->status : 0, ok ? &r : NULL);
        if (ok)
            bd_wire_heartbeat_release(&r);
        settle(s, n);
    }
    t->over = true;
    if (--t->reservations == 0)
        free(t);
}

static void user_in(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    struct sim_job *j = &s->jobs[e->who];
    if (!n->core)
        return;
    struct sim_request *q = new_request(s, e);
    q->user = true;
    q->verb = (int)e->status;
    clock_core(s, n);
    if (e->status == SIM_SUBMIT)
        bd_user_submit(n->core, q, e->text, strlen(e->text));
    else if (e->status == SIM_CANCEL)
        bd_user_cancel(n->core, q, j->id);
    else
        bd_user_status(n->core, q, j->id);
    settle(s, n);
}

static void cloud_back(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    json_t *o = json_loads(e->text, 0, NULL), *v;
    char names_of[8][BD_LABEL];
    size_t i;
    int count = 0;
    if (e->flag) {
        int many = (int)json_integer_value(json_object_get(o, "howMany"));
        while (count < many && count < 2) {
            /* up within two seconds, or late */
            int w =
                sim_provision(s, json_string_value(json_object_get(o, "glade")),
                              sim_rnd(s) < 0.6 ? sim_between(s, 0.3, 2) : sim_between(s, 5, 15));
            if (w < 0)
                break;
            snprintf(names_of[count++], BD_LABEL, "%s", s->workers[w].id);
        }
    } else {
        json_array_foreach(json_object_get(o, "hearths"), i, v)
        {
            for (int w = 0; w < s->nworkers; w++)
                if (strcmp(s->workers[w].id, json_string_value(v)) == 0)
                    sim_worker_gone(s, &s->workers[w]);
        }
    }
    if (n->core && n->epoch == e->epoch) {
        clock_core(s, n);
        if (e->flag) {
            bd_scale_out_completed(n->core, json_string_value(json_object_get(o, "plea")),
                                   count ? 200 : 503, names_of, count);
        } else {
            char(*back)[BD_LABEL] = calloc(128, sizeof *back);
            int k = bd_wire_machine_names(o, back, 128);
            bd_scale_in_completed(n->core, back, k, true);
            free(back);
        }
        settle(s, n);
    }
    json_decref(o);
}

static void list_machines(struct sim *s, struct sim_node *n)
{
    struct bd_cloud_machine *l = calloc(SIM_MACHINES, sizeof *l);
    size_t k = 0;
    if (!l)
        abort();
    for (int i = 0; i < s->nworkers; i++) {
        struct sim_worker *w = &s->workers[i];
        if (w->gone || s->now - w->provisioned_at < 3) /* the list lags */
            continue;
        snprintf(l[k].id, BD_LABEL, "%s", w->id);
        snprintf(l[k].addr, BD_LABEL, "w-%d", i);
        snprintf(l[k].type, BD_LABEL, "%s", w->type);
        snprintf(l[k].zone, BD_LABEL, "%s", w->zone);
        l[k].state = s->now < w->up_at ? BD_MACHINE_BOOTING : BD_MACHINE_UP;
        l[k++].age = s->now - w->provisioned_at;
    }
    bd_inventory_machines(n->core, l, k, bd_sub(n->core->now, bd_secs(0.1)));
    free(l);
}

static void node_tick(struct sim *s, struct sim_node *n)
{
    clock_core(s, n);
    if (n->core->role == BD_LEADER && s->now > n->next_list) {
        n->next_list = s->now + 2;
        list_machines(s, n);
    }
    settle(s, n);
    wake(s, n, 0.05, SIM_NODE_TICK);
}

void sim_node_event(struct sim *s, struct sim_event *e)
{
    struct sim_node *n = &s->nodes[e->node];
    bool ours = n->core && n->epoch == e->epoch;
    switch (e->kind) {
    case SIM_READER:
        if (ours)
            read_next(s, n);
        break;
    case SIM_ELECTION:
        if (ours && e->flag && n->commit)
            next_commit(s, n);
        else if (ours && !e->flag)
            election_next(s, n);
        break;
    case SIM_NODE_TICK:
        if (ours)
            node_tick(s, n);
        break;
    case SIM_NODE_UP:
        if (!n->core)
            sim_node_start(s, e->node);
        break;
    case SIM_FRAME:
        frame_in(s, e);
        break;
    case SIM_REPORT_IN:
    case SIM_REPORT_COPY:
        report_in(s, e);
        break;
    case SIM_DO_SEND:
        send_direct(s, e);
        break;
    case SIM_DO_BACK:
    case SIM_DO_GIVEN_UP:
        did(s, e);
        break;
    case SIM_USER_IN:
        user_in(s, e);
        break;
    case SIM_CLOUD_BACK:
        cloud_back(s, e);
        break;
    default:
        break;
    }
}

void sim_node_start(struct sim *s, int i)
{
    struct sim_node *n = &s->nodes[i];
    uint64_t epoch = n->epoch + 1;
    struct bd_settings settings = n->settings;
    struct bd_log log = n->log;
    double stalled = n->stalled;
    memset(n, 0, sizeof *n);
    n->settings = settings;
    n->log = log;
    n->stalled = stalled;
    n->epoch = epoch;
    n->began = s->now;
    n->clock_rate = 1 + sim_between(s, -0.0005, 0.0005);
    n->clock_from = sim_between(s, 1000, 5000);
    n->wall_off = sim_between(s, -0.005, 0.005);
    n->list_again = true;
    n->core = bd_core_new(&n->settings, &n->log);
    if (!n->core)
        abort();
    clock_core(s, n);
    bd_core_seed(n->core, (uint64_t)(sim_rnd(s) * 1e15));
    struct bd_type_text t = {.label = "small",
                             .cpus = 8,
                             .mem = 64,
                             .price = 1,
                             .spot_price = 0.3,
                             .boot = 8,
                             .fetch = 1,
                             .cache_gb = 50,
                             .nzones = 2};
    snprintf(t.zones[0], BD_LABEL, "a");
    snprintf(t.zones[1], BD_LABEL, "b");
    bd_inventory_types(n->core, &t, 1);
    wake(s, n, 0.01, SIM_READER);
    wake(s, n, 0.02, SIM_ELECTION);
    wake(s, n, 0.03, SIM_NODE_TICK);
}

void sim_node_end(struct sim *s, int i)
{
    struct sim_node *n = &s->nodes[i];
    if (!n->core)
        return;
    json_decref(n->gain.receipts);
    json_decref(n->gain.intents);
    memset(&n->gain, 0, sizeof n->gain);
    n->leadership_acquired = false;
    if (n->commit)
        bd_effect_free(n->commit);
    n->commit = NULL;
    json_decref(n->drains);
    n->drains = NULL;
    bd_core_free(n->core);
    n->core = NULL;
    n->epoch++;
    sim_note(s, "%s ends", n->settings.node);
}
