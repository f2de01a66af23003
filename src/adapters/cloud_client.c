/* The cloud: machine types and the list for the leader, provisioning requests and returns in order.
 */
#include "adapters/cloud_client.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "model/effect.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define ANSWER_S 4.0
#define TYPES_S 30.0
#define TYPES_IDLE_S 300.0
#define PROVISION_TRIES 12
#define PAGE 500
#define LIST_TRIES 4 /* of a page, for a list that an administrator waits for */
#define LIST_PAUSE_S 0.7
#define BUDGET 0.8 /* of the cloud's calls a second */

struct desk {
    struct bd_node *n;
    struct bd_http *h;
    struct timespec counted, next_types, next_list;
    double tokens;
    struct bd_type_text types[BD_MAX_TYPES];
    double list_s;
    int fails;
};

/* Waits until the budget allows a call; two seconds' worth may be saved up. */
static void spend(struct desk *d)
{
    double rate = d->n->settings.cloud_requests_per_s * BUDGET;
    struct timespec now = bd_now();
    d->tokens = fmin(2 * rate, d->tokens + rate * bd_between(d->counted, now));
    d->counted = now;
    if (d->tokens < 1)
        bd_pause((1 - d->tokens) / rate);
    d->tokens -= 1;
}

static long ask(struct bd_node *node, struct bd_http *http, const char *method, const char *path,
                const char *body, json_t **out)
{
    char url[256];
    struct bd_http_response r;
    snprintf(url, sizeof url, "http://%s%s", node->settings.cloud, path);
    bd_http_call(http, method, url, body, ANSWER_S, &r);
    long status = r.status;
    *out = r.body ? json_loadb(r.body, r.len, 0, NULL) : NULL;
    bd_http_response_free(&r);
    return status;
}

static long call(struct desk *d, const char *method, const char *path, const char *body,
                 json_t **out)
{
    spend(d);
    return ask(d->n, d->h, method, path, body, out);
}

static void failed(struct desk *d)
{
    if (d->fails < 5)
        d->fails++;
    bd_pause(0.25 * (double)d->fails);
}

static void get_types(struct desk *d)
{
    json_t *o = NULL;
    long status = call(d, "GET", "/machine_types", NULL, &o);
    int n = status == 200 ? bd_wire_types(o, d->types, BD_MAX_TYPES) : -1;
    json_decref(o);
    if (n <= 0) {
        failed(d);
        return;
    }
    d->fails = 0;
    struct bd_event *event = bd_event_new(BD_EVENT_MACHINE_TYPES);
    event->data = malloc((size_t)n * sizeof *d->types);
    if (!event->data)
        abort();
    memcpy(event->data, d->types, (size_t)n * sizeof *d->types);
    event->n = (size_t)n;
    bd_event_post(d->n, event);
    double pause = atomic_load(&d->n->leading) ? TYPES_S : TYPES_IDLE_S;
    d->next_types = bd_add(bd_now(), bd_secs(pause));
}

long bd_cloud_list_page(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                        size_t *n, bool *more)
{
    char path[160];
    json_t *o = NULL;
    const char *after = *n > 0 ? (*out)[*n - 1].id : "";
    snprintf(path, sizeof path, BD_PATH_MACHINES "?%s%s%slimit=%d", *after ? "after=" : "", after,
             *after ? "&" : "", PAGE);
    long status = ask(node, http, "GET", path, NULL, &o);
    struct bd_cloud_machine *grown = realloc(*out, (*n + PAGE) * sizeof *grown);
    if (!grown)
        abort();
    *out = grown;
    int got = status == 200 ? bd_wire_machines(o, grown + *n, PAGE, more) : -1;
    json_decref(o);
    if (got < 0)
        return status == 200 ? 0 : status;
    *n += (size_t)got;
    *more = *more && got > 0;
    return status;
}

bool bd_cloud_list(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                   size_t *n)
{
    bool more = true;
    for (int fails = 0; more && fails < LIST_TRIES;) {
        if (bd_cloud_list_page(node, http, out, n, &more) == 200)
            continue;
        fails++;
        bd_pause(LIST_PAUSE_S);
    }
    return !more;
}

static void get_list(struct desk *d)
{
    struct bd_event *event = bd_event_new(BD_EVENT_INVENTORY);
    struct bd_cloud_machine *all = NULL;
    bool more = true;
    event->sent = bd_now();
    while (more) {
        spend(d);
        if (bd_cloud_list_page(d->n, d->h, &all, &event->n, &more) == 200)
            continue;
        free(all);
        bd_event_free(event);
        failed(d);
        return;
    }
    d->fails = 0;
    event->data = all;
    bd_event_post(d->n, event);
    d->next_list = bd_add(bd_now(), bd_secs(d->list_s));
}

/* A request without a clear answer is repeated by its name: the name rents once only. */
static void provision_machines(struct desk *d, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_OUT_COMPLETED);
    snprintf(event->name, sizeof event->name, "%s", effect->key);
    for (int i = 0; i < PROVISION_TRIES; i++) {
        json_t *o = NULL;
        event->status = call(d, "POST", BD_PATH_MACHINES, effect->body, &o);
        bool outage = event->status == 503 && bd_wire_cloud_outage(o);
        if (event->status == 200) {
            char(*names)[BD_LABEL] = calloc(64, sizeof *names);
            int n = names ? bd_wire_machine_names(o, names, 64) : -1;
            event->data = names;
            event->n = n > 0 ? (size_t)n : 0;
        }
        json_decref(o);
        if (event->status == 200 || event->status == 400 || (event->status == 503 && !outage))
            break;
        if (!atomic_load(&d->n->leading))
            break;
        failed(d);
    }
    bd_event_post(d->n, event);
}

static void do_return(struct desk *d, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_IN_COMPLETED);
    json_t *o = NULL;
    event->status = call(d, "POST", BD_PATH_RETURN, effect->body, &o);
    json_decref(o);
    json_t *sent = json_loads(effect->body, 0, NULL);
    char(*names)[BD_LABEL] = calloc(128, sizeof *names);
    int n = names ? bd_wire_machine_names(sent, names, 128) : -1;
    event->data = names;
    event->n = n > 0 ? (size_t)n : 0;
    json_decref(sent);
    bd_event_post(d->n, event);
}

static void *run(void *arg)
{
    struct desk *d = arg;
    for (;;) {
        void *item;
        if (bd_queue_take(&d->n->to_cloud, &item, 1, bd_add(bd_now(), bd_secs(0.2))) == 1) {
            struct bd_effect *effect = item;
            if (effect->kind == BD_EFFECT_SCALE_OUT)
                provision_machines(d, effect);
            else
                do_return(d, effect);
            bd_effect_free(effect);
        }
        struct timespec now = bd_now();
        if (!atomic_load(&d->n->types_known) || bd_before(d->next_types, now))
            get_types(d);
        if (atomic_load(&d->n->leading) && bd_before(d->next_list, now))
            get_list(d);
    }
    return NULL;
}

int bd_cloud_start(struct bd_node *node)
{
    struct desk *d = calloc(1, sizeof *d);
    if (!d)
        return -1;
    d->n = node;
    d->h = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_CLOUD));
    double lag = bd_to_secs(node->settings.list_lag);
    double least = 2.0 / node->settings.cloud_requests_per_s;
    d->list_s = lag / 3 > least ? lag / 3 : least;
    if (!d->h) {
        free(d);
        return -1;
    }
    return bd_thread_start(run, d, 131072);
}
