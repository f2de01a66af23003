/* The state service: one thread that looks for changes, one that commits the leader's
 * transactions in order, and a few for the users' own. */
#include "adapters/kv_client.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define REFRESH_S 0.2      /* between refreshes when nobody waits */
#define REFRESH_MIN_S 0.04 /* between refreshes when polls wait */
#define ANSWER_S 1.5
#define USER_ANSWER_S 2.5
#define USER_THREADS 2
#define PAUSE_S 0.25
#define DELEGATES_S 0.7 /* a leader's refreshes at the delegates' records */
#define DRAINS_S 1.0    /* ... and at the drains' */
#define BUSY_TRIES 3    /* 429s in a row: then the transaction is decided anew */

long bd_kv_call(struct bd_node *node, struct bd_http *http, const char *method, const char *path,
                const char *body, double timeout_s, json_t **out)
{
    char url[640];
    struct bd_http_response r;
    snprintf(url, sizeof url, "http://%s%s", node->settings.kv_addr, path);
    bd_http_call(http, method, url, body, timeout_s, &r);
    long status = r.status;
    *out = r.body ? json_loadb(r.body, r.len, 0, NULL) : NULL;
    if (status == 200 && !*out && strcmp(method, "DELETE") != 0)
        status = 0; /* a malformed answer is no answer */
    bd_http_response_free(&r);
    return status;
}

/* One page of a prefix after a key; NULL: failed. `after` moves on. */
static json_t *list_page(struct bd_node *node, struct bd_http *http, const char *prefix,
                         char *after, size_t cap, bool *more)
{
    char path[512];
    json_t *page = NULL;
    struct bd_change ch;
    if (*after)
        snprintf(path, sizeof path, BD_PATH_LIST "%s&after=%s&limit=1000", prefix, after);
    else
        snprintf(path, sizeof path, BD_PATH_LIST "%s&limit=1000", prefix);
    if (bd_kv_call(node, http, "GET", path, NULL, ANSWER_S, &page) != 200) {
        json_decref(page);
        return NULL;
    }
    json_t *pairs = bd_wire_pairs(page, more);
    size_t count = json_array_size(pairs);
    *more = *more && count > 0;
    if (count > 0 && bd_wire_change(json_array_get(pairs, count - 1), &ch))
        snprintf(after, cap, "%s", ch.key);
    return page;
}

/* All pairs of a prefix, for lists that fit the memory. NULL: failed. */
json_t *bd_kv_list(struct bd_node *node, struct bd_http *http, const char *prefix)
{
    json_t *all = json_array();
    char after[256] = "";
    bool more = true;
    while (more) {
        json_t *page = list_page(node, http, prefix, after, sizeof after, &more);
        if (!page) {
            json_decref(all);
            return NULL;
        }
        bool ignored;
        (void)json_array_extend(all, bd_wire_pairs(page, &ignored));
        json_decref(page);
    }
    return all;
}

/* ---- looking ---- */

/* Job records are many: page by page, the owner taking in each before the next is read. */
static void relist(struct bd_node *node, struct bd_http *http)
{
    uint64_t store_revision = 0;
    struct timespec sent = bd_now();
    char after[256] = "";
    bool more = true;
    while (more) {
        bool ignored;
        json_t *page = list_page(node, http, "j/", after, sizeof after, &more);
        if (!page) {
            bd_pause(PAUSE_S);
            return;
        }
        if (store_revision == 0)
            store_revision = bd_wire_store_revision(page);
        struct bd_event *event = bd_event_new(BD_EVENT_REPLICA_LISTED);
        event->json = json_incref(bd_wire_pairs(page, &ignored));
        json_decref(page);
        event->store_revision = store_revision;
        event->sent = sent;
        event->flag = !more;
        atomic_store(&node->page_out, true);
        bd_event_post(node, event);
        while (atomic_load(&node->page_out))
            bd_pause(0.005);
    }
}

/* One refresh; true if the list must be read anew. */
static bool refresh(struct bd_node *node, struct bd_http *http, uint64_t *after, bool barrier)
{
    char path[96];
    json_t *o = NULL;
    snprintf(path, sizeof path, BD_PATH_REFRESH "j/&after=%llu&waitMs=0",
             (unsigned long long)*after);
    struct bd_event *event = bd_event_new(BD_EVENT_REPLICA_REFRESHED);
    event->sent = bd_now();
    long status = bd_kv_call(node, http, "GET", path, NULL, ANSWER_S, &o);
    event->flag = barrier;
    event->ok = status == 200;
    event->after = *after;
    event->json = o;
    bool news = barrier || status != 200;
    atomic_store(&node->reads_refused, status != 200 && status != 410);
    if (status == 200) {
        event->store_revision = bd_wire_store_revision(o);
        news = news || json_array_size(bd_wire_log(o)) > 0;
        if (event->store_revision > *after)
            *after = event->store_revision;
    }
    if (news)
        bd_event_post(node, event);
    else
        bd_event_post_quietly(node, event); /* it holds the time at which it was sent */
    if (status != 200 && status != 410)
        bd_pause(PAUSE_S);
    return status == 410;
}

static void read_delegates(struct bd_node *node, struct bd_http *http)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DELEGATE_RECORDS);
    event->sent = bd_now();
    event->json = bd_kv_list(node, http, "p/");
    if (event->json)
        bd_event_post(node, event);
    else
        bd_event_free(event);
}

/* The drains' own records are few and read each time, their machines' only where they are not known
 * yet: after them, so that the machines of all that were listed are there. */
static void read_drains(struct bd_node *node, struct bd_http *http)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DRAIN_RECORDS);
    event->json = bd_kv_list(node, http, BD_DRAIN_KEY);
    if (event->json && atomic_load(&node->want_drain_sets))
        event->sets = bd_kv_list(node, http, BD_DRAIN_SET);
    if (event->json)
        bd_event_post(node, event);
    else
        bd_event_free(event);
}

/* Until the next refresh is due, or polls wait for one; one wake-up where that is enough. */
static void wait_to_read(struct bd_node *node)
{
    void *woken;
    struct timespec earliest = bd_add(bd_now(), bd_secs(REFRESH_MIN_S));
    if (!atomic_load(&node->want_barrier))
        (void)bd_queue_take(&node->reader_wake, &woken, 1, bd_add(earliest, bd_secs(REFRESH_S)));
    double early = bd_between(bd_now(), earliest);
    if (early > 0)
        bd_pause(early);
}

static void *reader(void *arg)
{
    struct bd_node *node = arg;
    struct bd_http *http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_FOLLOW));
    uint64_t after = 0;
    bool again = true;
    struct timespec next = bd_now(), next_drains = next;
    while (http) {
        if (again) {
            relist(node, http);
            bd_pause(0.02); /* until the owner has said how new it is */
            after = atomic_load(&node->store_revision);
            again = after == 0;
            continue;
        }
        bool barrier = atomic_exchange(&node->want_barrier, false);
        again = refresh(node, http, &after, barrier);
        if (atomic_load(&node->leading) && bd_before(next, bd_now())) {
            next = bd_add(bd_now(), bd_secs(DELEGATES_S));
            read_delegates(node, http);
        }
        if (node->settings.draining && atomic_load(&node->leading) &&
            bd_before(next_drains, bd_now())) {
            next_drains = bd_add(bd_now(), bd_secs(DRAINS_S));
            read_drains(node, http);
        }
        wait_to_read(node);
    }
    return NULL;
}

/* ---- the leader's transactions ---- */

/* Whether the commit sequence shows the transaction: 1 yes, 0 no, -1 not known. */
static int sequence_shows(struct bd_node *node, struct bd_http *http,
                          const struct bd_effect *effect, uint64_t *store_revision)
{
    json_t *o = NULL;
    struct bd_change ch;
    uint64_t grant;
    int found = -1;
    long status = bd_kv_call(node, http, "GET", BD_PATH_KEYS "/w", NULL, ANSWER_S, &o);
    if (status == 404)
        found = 0;
    if (status == 200 && bd_wire_pair(o, &ch, &grant)) {
        char term[32];
        snprintf(term, sizeof term, "%lld",
                 (long long)json_integer_value(json_object_get(ch.value, "t")));
        found = strcmp(term, effect->key) == 0 &&
                (uint64_t)json_integer_value(json_object_get(ch.value, "n")) == effect->sequence;
        *store_revision = ch.revision;
    }
    json_decref(o);
    return found;
}

static bool names(json_t *failed, const char *key)
{
    json_t *v;
    size_t i;
    json_array_foreach(failed, i, v)
    {
        const char *s = json_string_value(v);
        if (s && strcmp(s, key) == 0)
            return true;
    }
    return false;
}

/* One transaction of the leader on its way. */
struct attempt {
    struct bd_node *node;
    struct bd_http *http;
    struct bd_effect *effect;
    struct bd_event *event; /* gets the revision, and the keys whose conditions failed */
    bool unsure;            /* a copy without an answer may have been applied */
    int busy;               /* answers in a row that the rate is used up */
};

static int shown(struct attempt *a)
{
    return sequence_shows(a->node, a->http, a->effect, &a->event->store_revision);
}

static enum bd_txn_outcome after_conflict(struct attempt *a, json_t *answer)
{
    json_t *failed = bd_wire_failed(answer);
    bool sequence = names(failed, "w");
    int w = sequence ? shown(a) : 0;
    json_decref(a->event->json);
    a->event->json = json_incref(answer);
    if (w != 0)
        return w == 1 ? BD_TXN_COMMITTED : BD_TXN_UNKNOWN;
    return sequence || names(failed, "leader") ? BD_TXN_DEPOSED : BD_TXN_CONFLICT;
}

/* Not applied now, perhaps beyond a limit that was lowered; but an earlier copy may be. */
static enum bd_txn_outcome after_malformed(struct attempt *a, json_t *answer)
{
    if (bd_wire_no_grant(answer)) {
        /* of a leader that was cut off or stood still for longer than its grant: its term is over
         */
        bd_log_write(&a->node->log, BD_LOG_INFO,
                     "transaction %llu of term %s is refused: the grant has expired",
                     (unsigned long long)a->effect->sequence, a->effect->key);
        return BD_TXN_DEPOSED;
    }
    int w = a->unsure ? shown(a) : 0;
    if (w != 0)
        return w == 1 ? BD_TXN_COMMITTED : BD_TXN_UNKNOWN;
    return BD_TXN_REJECTED;
}

static enum bd_txn_outcome after_no_answer(struct attempt *a, long status)
{
    if (!atomic_load(&a->node->leading))
        return BD_TXN_DEPOSED;
    a->unsure = a->unsure || (status != 429 && status != 503);
    a->busy = status == 429 ? a->busy + 1 : 0;
    if (status == 429)
        bd_event_post(a->node, bd_event_new(BD_EVENT_KV_RATE_EXCEEDED));
    bd_pause(PAUSE_S);
    /* one larger than a second's changes would be refused for ever */
    bool decide_anew = a->busy >= BUSY_TRIES && (!a->unsure || shown(a) == 0);
    return decide_anew ? BD_TXN_CONFLICT : BD_TXN_UNKNOWN;
}

/* Sends one and the same transaction once: it can apply once only, since it is conditional on the
 * commit sequence and changes it. */
static enum bd_txn_outcome try_once(struct attempt *a)
{
    json_t *o = NULL;
    enum bd_txn_outcome outcome;
    long status =
        bd_kv_call(a->node, a->http, "POST", BD_PATH_COMMIT, a->effect->body, ANSWER_S, &o);
    if (status == 200) {
        a->event->store_revision = bd_wire_store_revision(o);
        outcome = BD_TXN_COMMITTED;
    } else if (status == 409) {
        outcome = after_conflict(a, o);
    } else if (status == 400) {
        outcome = after_malformed(a, o);
    } else {
        outcome = after_no_answer(a, status);
    }
    json_decref(o);
    return outcome;
}

static void *committer(void *arg)
{
    struct bd_node *node = arg;
    struct bd_http *http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_COMMIT));
    while (http) {
        void *item;
        if (bd_queue_take(&node->to_commit, &item, 1, bd_add(bd_now(), bd_secs(5))) == 0)
            continue;
        struct bd_effect *effect = item;
        struct bd_event *event = bd_event_new(BD_EVENT_LEADER_TXN_COMPLETED);
        event->number = effect->sequence;
        event->term = strtoull(effect->key, NULL, 10);
        struct attempt a = {.node = node, .http = http, .effect = effect, .event = event};
        do
            event->outcome = try_once(&a);
        while (event->outcome == BD_TXN_UNKNOWN);
        bd_event_post(node, event);
        bd_effect_free(effect);
    }
    return NULL;
}

/* ---- users' transactions ---- */

static void commit_delegate(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DELEGATE_TXN_COMPLETED);
    json_t *o = NULL;
    struct bd_change ch;
    uint64_t grant;
    char path[128];
    event->sent = bd_now();
    if (effect->body) {
        event->status = bd_kv_call(node, http, "POST", BD_PATH_COMMIT, effect->body, ANSWER_S, &o);
        event->store_revision = bd_wire_store_revision(o);
        event->flag = event->status == 200;
    } else { /* only the record's revision is asked for */
        snprintf(path, sizeof path, BD_PATH_KEYS "/%s", effect->key);
        long status = bd_kv_call(node, http, "GET", path, NULL, ANSWER_S, &o);
        event->flag = status == 404 || (status == 200 && bd_wire_pair(o, &ch, &grant));
        event->store_revision = status == 200 && event->flag ? ch.revision : 0;
    }
    json_decref(o);
    bd_event_post(node, event);
}

static void commit_user(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_USER_TXN_COMPLETED);
    json_t *o = NULL;
    /* a transaction a line: what a record needs before the record itself */
    char *rest = NULL, *copy = strdup(effect->body);
    event->status = copy ? 200 : 0;
    for (char *line = copy ? strtok_r(copy, "\n", &rest) : NULL; line && event->status == 200;
         line = strtok_r(NULL, "\n", &rest)) {
        json_decref(o);
        event->status = bd_kv_call(node, http, "POST", BD_PATH_COMMIT, line, USER_ANSWER_S, &o);
        event->store_revision = bd_wire_store_revision(o);
    }
    free(copy);
    event->request = effect->request;
    event->purpose = effect->status;
    event->text = effect->body;
    effect->body = NULL;
    snprintf(event->name, sizeof event->name, "%s", effect->key);
    json_decref(o);
    bd_event_post(node, event);
}

static void look_up(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_JOB_LOOKUP_COMPLETED);
    char path[128];
    snprintf(path, sizeof path, BD_PATH_KEYS "/j/%s", effect->key);
    event->status = bd_kv_call(node, http, "GET", path, NULL, ANSWER_S, &event->json);
    event->request = effect->request;
    event->purpose = effect->status;
    snprintf(event->name, sizeof event->name, "%s", effect->key);
    bd_event_post(node, event);
}

static void *user_committer(void *arg)
{
    struct bd_node *node = arg;
    struct bd_http *http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_USER));
    while (http) {
        void *item;
        if (bd_queue_take(&node->to_users, &item, 1, bd_add(bd_now(), bd_secs(5))) == 0)
            continue;
        struct bd_effect *effect = item;
        if (effect->kind == BD_EFFECT_DELEGATE_TXN)
            commit_delegate(node, http, effect);
        else if (effect->kind == BD_EFFECT_JOB_LOOKUP)
            look_up(node, http, effect);
        else
            commit_user(node, http, effect);
        bd_effect_free(effect);
    }
    return NULL;
}

int bd_kv_client_start(struct bd_node *node)
{
    int rc = bd_thread_start(reader, node, 131072) | bd_thread_start(committer, node, 131072);
    for (int i = 0; i < USER_THREADS; i++)
        rc |= bd_thread_start(user_committer, node, 131072);
    return rc;
}
