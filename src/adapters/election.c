/* Election by one versioned lease: the key `leader` on a grant of the state service. The revision
 * of the key at acquisition is the term. */
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "wire/wire.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* named defaults */
#define REFRESH_S 0.3
#define RENEWS 6.0 /* renewals in a grant's life */
#define SAME_MOMENT_S 0.05
#define LIVENESS_S 0.8 /* between a follower's records of being in touch: see autonomous_zone.c */

struct candidate {
    /* the leader as the owner was last told */
    char told_name[BD_LABEL];
    uint64_t told_revision;
    bool told_away;
    struct bd_node *n;
    struct bd_http *h;
    gsl_rng *rng;
    char nonce[BD_LABEL];
    uint64_t grant;
    struct timespec granted, liveness_at;
    bool leading;
    double ttl;
};

static double call_s(const struct candidate *self)
{
    return self->ttl / 3;
}

static bool get_grant(struct candidate *self)
{
    json_t *o = NULL;
    char *body = bd_wire_ttl(self->ttl);
    self->granted = bd_now();
    long status = bd_kv_call(self->n, self->h, "POST", BD_PATH_GRANTS, body, call_s(self), &o);
    free(body);
    self->grant = status == 200 ? bd_wire_grant(o) : 0;
    json_decref(o);
    return self->grant != 0;
}

enum view { VIEW_UNKNOWN, VIEW_FREE, VIEW_OURS, VIEW_BEFORE_US, VIEW_OTHER };

/* Whether the leader's key names us among the delegates that it needs no more. */
static bool sent_away(const struct candidate *self, json_t *value)
{
    json_t *v;
    size_t i;
    json_array_foreach(json_object_get(value, "away"), i, v)
    {
        const char *name = json_string_value(v);
        if (name && strcmp(name, self->n->settings.node) == 0)
            return true;
    }
    return false;
}

static void tell_leader(struct candidate *self, const char *name, uint64_t revision,
                        struct timespec sent, bool away)
{
    struct bd_event *event = bd_event_new(BD_EVENT_LEADER_OBSERVED);
    snprintf(event->name, sizeof event->name, "%s", name);
    event->number = revision;
    event->sent = sent;
    event->flag = away;
    bool news = revision != self->told_revision || away != self->told_away ||
                strcmp(name, self->told_name) != 0;
    snprintf(self->told_name, sizeof self->told_name, "%s", name);
    self->told_revision = revision;
    self->told_away = away;
    if (news)
        bd_event_post(self->n, event);
    else
        bd_event_post_quietly(self->n, event);
}

/* Who holds the lease now; the revision of the key into *revision. */
static enum view see(struct candidate *self, uint64_t *revision)
{
    json_t *o = NULL;
    struct bd_change ch;
    uint64_t grant;
    enum view v = VIEW_UNKNOWN;
    struct timespec sent = bd_now();
    long status =
        bd_kv_call(self->n, self->h, "GET", BD_PATH_KEYS "/leader", NULL, call_s(self), &o);
    if (status == 404)
        v = VIEW_FREE;
    if (status == 200 && bd_wire_pair(o, &ch, &grant)) {
        const char *node = json_string_value(json_object_get(ch.value, "node"));
        const char *nonce = json_string_value(json_object_get(ch.value, "nonce"));
        *revision = ch.revision;
        v = VIEW_OTHER;
        if (node && strcmp(node, self->n->settings.node) == 0)
            v = nonce && strcmp(nonce, self->nonce) == 0 ? VIEW_OURS : VIEW_BEFORE_US;
        if (node)
            tell_leader(self, node, ch.revision, sent, sent_away(self, ch.value));
    }
    if (v == VIEW_FREE)
        tell_leader(self, "", 0, sent, false);
    json_decref(o);
    return v;
}

static void fresh_nonce(struct candidate *self)
{
    unsigned char raw[8] = {0};
    if (getrandom(raw, sizeof raw, GRND_NONBLOCK) != (ssize_t)sizeof raw) {
        for (size_t i = 0; i < sizeof raw; i++)
            raw[i] = (unsigned char)gsl_rng_uniform_int(self->rng, 256);
    }
    struct timespec t = bd_now();
    int len = snprintf(self->nonce, sizeof self->nonce, "%lld-", (long long)t.tv_nsec);
    for (size_t i = 0; i < sizeof raw; i++)
        len += snprintf(self->nonce + len, sizeof self->nonce - (size_t)len, "%02x", raw[i]);
}

/* Takes the lease if it is free (revision 0) or was our own former process's. The term, or 0. */
static uint64_t acquire(struct candidate *self, uint64_t revision)
{
    struct bd_txn t;
    json_t *o = NULL;
    uint64_t term = 0;
    fresh_nonce(self);
    if (!get_grant(self) || !bd_txn_begin(&t))
        return 0;
    bd_txn_compare(&t, "leader", revision);
    bd_txn_put(&t, "leader",
               json_pack("{s:s,s:s}", "node", self->n->settings.node, "nonce", self->nonce),
               self->grant);
    char *body = bd_txn_finish(&t);
    long status = bd_kv_call(self->n, self->h, "POST", BD_PATH_COMMIT, body, call_s(self), &o);
    free(body);
    if (status == 200)
        term = bd_wire_store_revision(o);
    json_decref(o);
    if (status != 200 && status != 409 && status != 400) {
        uint64_t now = 0;
        if (see(self, &now) == VIEW_OURS)
            term = now;
    }
    return term;
}

/* True if the grant still lives, 0 if it is over, -1 if not known. */
static int renew(struct candidate *self)
{
    char path[64];
    json_t *o = NULL;
    struct timespec sent = bd_now();
    snprintf(path, sizeof path, BD_PATH_GRANTS "/%llu" BD_PATH_RENEW,
             (unsigned long long)self->grant);
    long status = bd_kv_call(self->n, self->h, "POST", path, "{}", call_s(self), &o);
    json_decref(o);
    if (status == 404)
        return 0;
    if (status != 200)
        return -1;
    self->granted = sent;
    struct bd_event *event = bd_event_new(BD_EVENT_LEASE_RENEWED);
    event->number = self->grant;
    event->sent = sent;
    bd_event_post(self->n, event);
    return 1;
}

static bool read_sequence(struct candidate *self, struct bd_acquisition *g)
{
    json_t *o = NULL;
    struct bd_change ch;
    uint64_t grant;
    long status = bd_kv_call(self->n, self->h, "GET", BD_PATH_KEYS "/w", NULL, call_s(self), &o);
    if (status == 200 && bd_wire_pair(o, &ch, &grant))
        g->sequence_revision = ch.revision;
    json_decref(o);
    return status == 200 || status == 404;
}

/* Reads what earlier terms left. The grant is renewed between the steps. */
static bool load(struct candidate *self, struct bd_acquisition *g)
{
    for (int step = 0; step < 3;) {
        bool ok = false;
        if (step == 0)
            ok = read_sequence(self, g);
        else if (step == 1)
            ok = (g->receipts = bd_kv_list(self->n, self->h, "r/")) != NULL;
        else
            ok = (g->intents = bd_kv_list(self->n, self->h, "i/")) != NULL;
        step += ok;
        if (renew(self) == 0)
            return false;
        if (!ok)
            bd_pause(0.1);
    }
    return true;
}

static void lost(struct candidate *self)
{
    self->leading = false;
    bd_event_post(self->n, bd_event_new(BD_EVENT_LEADERSHIP_LOST));
}

static void take_lead(struct candidate *self, uint64_t revision)
{
    uint64_t term = acquire(self, revision);
    if (term == 0)
        return;
    bd_log_write(&self->n->log, BD_LOG_INFO, "leadership acquired, term %llu",
                 (unsigned long long)term);
    struct bd_event *event = bd_event_new(BD_EVENT_LEADERSHIP_ACQUIRED);
    event->sent = self->granted;
    event->gain.term = term;
    event->gain.grant = self->grant;
    snprintf(event->name, sizeof event->name, "%s", self->nonce);
    if (!load(self, &event->gain)) {
        bd_event_free(event);
        return;
    }
    event->gain.renewed = self->granted;
    atomic_store(&self->n->step_down, false);
    self->leading = true;
    bd_event_post(self->n, event);
    (void)bd_queue_put(&self->n->reader_wake, self);
}

static void tell_liveness(struct candidate *self, enum bd_event_kind kind, struct timespec sent)
{
    struct bd_event *event = bd_event_new(kind);
    event->sent = sent;
    bd_event_post_quietly(self->n, event); /* it holds its own time */
}

/* Says in the state service that we are in touch with it, under the leader whose key we saw. */
static void write_liveness(struct candidate *self, uint64_t revision)
{
    struct bd_txn t;
    char key[BD_LABEL + 8];
    json_t *o = NULL;
    struct timespec wall = {0, 0}, sent = bd_now();
    if (bd_between(self->liveness_at, sent) < LIVENESS_S ||
        clock_gettime(CLOCK_REALTIME, &wall) != 0)
        return;
    /* both clocks must name the same moment: a process may stand still in between */
    if (bd_between(sent, bd_now()) > SAME_MOMENT_S || !bd_txn_begin(&t))
        return;
    self->liveness_at = sent;
    snprintf(key, sizeof key, "p/%.60s/at", self->n->settings.node);
    bd_txn_compare(&t, "leader", revision);
    bd_txn_put(&t, key, json_pack("{s:f}", "at", bd_to_secs(wall)), 0);
    char *body = bd_txn_finish(&t);
    tell_liveness(self, BD_EVENT_LIVENESS_SENT, sent);
    long status = bd_kv_call(self->n, self->h, "POST", BD_PATH_COMMIT, body, call_s(self), &o);
    free(body);
    json_decref(o);
    if (status == 200)
        tell_liveness(self, BD_EVENT_LIVENESS_WRITTEN, sent);
}

/* Ends a grant that would otherwise keep others from leading until it runs out. Nothing rests on
 * the answer: it is not renewed any more. */
static void end_grant(struct candidate *self)
{
    char path[64];
    json_t *o = NULL;
    snprintf(path, sizeof path, BD_PATH_GRANTS "/%llu", (unsigned long long)self->grant);
    (void)bd_kv_call(self->n, self->h, "DELETE", path, NULL, call_s(self), &o);
    json_decref(o);
    self->grant = 0;
}

/* One that cannot read the records could not start anything: it leaves the lease to others. */
static void follow_once(struct candidate *self)
{
    uint64_t revision = 0;
    enum view v = see(self, &revision);
    bool can_lead = !atomic_load(&self->n->reads_refused);
    if (v == VIEW_OTHER)
        write_liveness(self, revision);
    if (v == VIEW_FREE && can_lead)
        take_lead(self, 0);
    else if ((v == VIEW_BEFORE_US || v == VIEW_OURS) && can_lead)
        take_lead(self, revision);
    if (!self->leading) /* uneven, so that nodes do not collide for ever */
        bd_pause(REFRESH_S * (0.7 + 0.6 * gsl_rng_uniform(self->rng)));
}

static void lead_once(struct candidate *self)
{
    uint64_t revision = 0;
    if (atomic_exchange(&self->n->step_down, false)) {
        self->leading = false;
        if (atomic_exchange(&self->n->resign, false))
            end_grant(self);
        return;
    }
    if (renew(self) == 0) {
        enum view v = see(self, &revision);
        bd_log_write(&self->n->log, BD_LOG_INFO, "the grant has expired, view %d", (int)v);
        lost(self);
        return;
    }
    bd_pause(self->ttl / RENEWS);
}

static void *run(void *arg)
{
    struct candidate *self = arg;
    for (;;) {
        if (self->leading)
            lead_once(self);
        else
            follow_once(self);
    }
    return NULL;
}

int bd_election_start(struct bd_node *node)
{
    struct candidate *s = calloc(1, sizeof *s);
    if (!s)
        return -1;
    s->n = node;
    s->h = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_ELECTION));
    s->rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!s->h || !s->rng) {
        bd_http_free(s->h);
        gsl_rng_free(s->rng);
        free(s);
        return -1;
    }
    unsigned long seed = (unsigned long)bd_now().tv_nsec;
    for (const char *p = node->settings.node; *p; p++)
        seed = seed * 31 + (unsigned char)*p;
    gsl_rng_set(s->rng, seed);
    s->ttl = bd_to_secs(node->settings.leader_ttl);
    return bd_thread_start(run, s, 131072);
}
