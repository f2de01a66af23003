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
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_S 4.0
#define TYPES_INTERVAL_S 30.0       /* as leader; */
#define TYPES_IDLE_INTERVAL_S 300.0 /* ... as follower */
#define SCALE_OUT_TRIES_MAX 12
#define PAGE_MACHINES 500
#define LIST_TRIES_MAX 4 /* of a page, for a list that an administrator waits for */
#define LIST_RETRY_S 0.7
#define CALLS_SHARE 0.8   /* of the cloud's calls a second */
#define CALLS_SAVED_S 2.0 /* of calls that were not used may be made later */
#define BACK_OFF_S 0.25   /* a failure in a row, */
#define FAILURES_MAX 5    /* ... up to so many */
#define QUEUE_WAIT_S 0.2
#define SCALE_OUT_MACHINES_MAX 64
#define SCALE_IN_MACHINES_MAX 128
#define STACK_BYTES 131072

struct cloud_client {
    struct bd_node *node;
    struct bd_http *http;
    struct timespec calls_at, next_types, next_list;
    double calls; /* that may be made now */
    struct bd_type_text types[BD_MAX_TYPES];
    double list_interval_s;
    int failures; /* in a row */
};

/* Waits until the rate allows a call. */
static void wait_for_rate(struct cloud_client *client)
{
    double rate = client->node->settings.cloud_requests_per_s * CALLS_SHARE;
    struct timespec now = bd_now();
    client->calls =
        fmin(CALLS_SAVED_S * rate, client->calls + rate * bd_between(client->calls_at, now));
    client->calls_at = now;
    if (client->calls < 1)
        bd_pause((1 - client->calls) / rate);
    client->calls -= 1;
}

static long call_cloud(struct bd_node *node, struct bd_http *http, const char *method,
                       const char *path, const char *body, json_t **out)
{
    char url[256];
    struct bd_http_response response;
    snprintf(url, sizeof url, "http://%s%s", node->settings.cloud, path);
    bd_http_call(http, method, url, body, ANSWER_TIMEOUT_S, &response);
    long status = response.status;
    *out = response.body ? json_loadb(response.body, response.len, 0, NULL) : NULL;
    bd_http_response_free(&response);
    return status;
}

static long call_at_rate(struct cloud_client *client, const char *method, const char *path,
                         const char *body, json_t **out)
{
    wait_for_rate(client);
    return call_cloud(client->node, client->http, method, path, body, out);
}

static void back_off(struct cloud_client *client)
{
    if (client->failures < FAILURES_MAX)
        client->failures++;
    bd_pause(BACK_OFF_S * (double)client->failures);
}

static void read_types(struct cloud_client *client)
{
    json_t *o = NULL;
    long status = call_at_rate(client, "GET", "/machine_types", NULL, &o);
    int n = status == 200 ? bd_wire_types(o, client->types, BD_MAX_TYPES) : -1;
    json_decref(o);
    if (n <= 0) {
        back_off(client);
        return;
    }
    client->failures = 0;
    struct bd_event *event = bd_event_new(BD_EVENT_MACHINE_TYPES);
    event->types.n = (size_t)n;
    event->types.types = malloc(event->types.n * sizeof *client->types);
    if (!event->types.types)
        abort();
    memcpy(event->types.types, client->types, event->types.n * sizeof *client->types);
    bd_event_post(client->node, event);
    double pause = atomic_load(&client->node->leading) ? TYPES_INTERVAL_S : TYPES_IDLE_INTERVAL_S;
    client->next_types = bd_add(bd_now(), bd_secs(pause));
}

long bd_cloud_list_page(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                        size_t *n, bool *more)
{
    char path[160];
    json_t *o = NULL;
    const char *after = *n > 0 ? (*out)[*n - 1].id : "";
    snprintf(path, sizeof path, BD_PATH_MACHINES "?%s%s%slimit=%d", *after ? "after=" : "", after,
             *after ? "&" : "", PAGE_MACHINES);
    long status = call_cloud(node, http, "GET", path, NULL, &o);
    struct bd_cloud_machine *grown = realloc(*out, (*n + PAGE_MACHINES) * sizeof *grown);
    if (!grown)
        abort();
    *out = grown;
    int got = status == 200 ? bd_wire_machines(o, grown + *n, PAGE_MACHINES, more) : -1;
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
    for (int failures = 0; more && failures < LIST_TRIES_MAX;) {
        if (bd_cloud_list_page(node, http, out, n, &more) == 200)
            continue;
        failures++;
        bd_pause(LIST_RETRY_S);
    }
    return !more;
}

static void read_inventory(struct cloud_client *client)
{
    struct bd_event *event = bd_event_new(BD_EVENT_INVENTORY);
    struct bd_cloud_machine *all = NULL;
    bool more = true;
    event->inventory.sent = bd_now();
    while (more) {
        wait_for_rate(client);
        if (bd_cloud_list_page(client->node, client->http, &all, &event->inventory.n, &more) == 200)
            continue;
        free(all);
        bd_event_free(event);
        back_off(client);
        return;
    }
    client->failures = 0;
    event->inventory.machines = all;
    bd_event_post(client->node, event);
    client->next_list = bd_add(bd_now(), bd_secs(client->list_interval_s));
}

/* A request without a clear answer is repeated by its name: the name scales out once only. */
static void scale_out(struct cloud_client *client, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_OUT_COMPLETED);
    snprintf(event->scaling.request, sizeof event->scaling.request, "%s", effect->key);
    for (int i = 0; i < SCALE_OUT_TRIES_MAX; i++) {
        json_t *o = NULL;
        event->scaling.status = call_at_rate(client, "POST", BD_PATH_MACHINES, effect->body, &o);
        bool outage = event->scaling.status == 503 && bd_wire_cloud_outage(o);
        if (event->scaling.status == 200) {
            char(*names)[BD_LABEL] = calloc(SCALE_OUT_MACHINES_MAX, sizeof *names);
            int n = names ? bd_wire_machine_names(o, names, SCALE_OUT_MACHINES_MAX) : -1;
            event->scaling.machines = names;
            event->scaling.n = n > 0 ? (size_t)n : 0;
        }
        json_decref(o);
        if (event->scaling.status == 200 || event->scaling.status == 400 ||
            (event->scaling.status == 503 && !outage))
            break;
        if (!atomic_load(&client->node->leading))
            break;
        back_off(client);
    }
    bd_event_post(client->node, event);
}

static void scale_in(struct cloud_client *client, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_IN_COMPLETED);
    json_t *o = NULL;
    event->scaling.status = call_at_rate(client, "POST", BD_PATH_RETURN, effect->body, &o);
    json_decref(o);
    json_t *sent = json_loads(effect->body, 0, NULL);
    char(*names)[BD_LABEL] = calloc(SCALE_IN_MACHINES_MAX, sizeof *names);
    int n = names ? bd_wire_machine_names(sent, names, SCALE_IN_MACHINES_MAX) : -1;
    event->scaling.machines = names;
    event->scaling.n = n > 0 ? (size_t)n : 0;
    json_decref(sent);
    bd_event_post(client->node, event);
}

static void *cloud_run(void *arg)
{
    struct cloud_client *client = arg;
    for (;;) {
        void *item;
        if (bd_queue_take(&client->node->to_cloud, &item, 1,
                          bd_add(bd_now(), bd_secs(QUEUE_WAIT_S))) == 1) {
            struct bd_effect *effect = item;
            if (effect->kind == BD_EFFECT_SCALE_OUT)
                scale_out(client, effect);
            else
                scale_in(client, effect);
            bd_effect_free(effect);
        }
        struct timespec now = bd_now();
        if (!atomic_load(&client->node->types_known) || bd_before(client->next_types, now))
            read_types(client);
        if (atomic_load(&client->node->leading) && bd_before(client->next_list, now))
            read_inventory(client);
    }
    return NULL;
}

int bd_cloud_start(struct bd_node *node)
{
    struct cloud_client *client = calloc(1, sizeof *client);
    if (!client)
        return -1;
    client->node = node;
    client->http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_CLOUD));
    double lag = bd_to_secs(node->settings.list_lag);
    double min_s = 2.0 / node->settings.cloud_requests_per_s;
    client->list_interval_s = lag / 3 > min_s ? lag / 3 : min_s;
    if (!client->http) {
        free(client);
        return -1;
    }
    return bd_thread_start(cloud_run, client, STACK_BYTES);
}
