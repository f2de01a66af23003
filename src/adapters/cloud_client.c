#include "adapters/cloud_client.h"
#include "adapters/event.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/json_reader.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "model/effect.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include <jansson.h>
#include <math.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define PATH_TYPES "/machine_types"
#define CALL_TIMEOUT_S 4.0
#define TYPES_INTERVAL_LEADER_S 30.0
#define TYPES_INTERVAL_FOLLOWER_S 300.0
#define SCALE_OUT_TRIES_MAX 12
#define MACHINES_PER_PAGE 500
#define LIST_FAILURES_MAX 4 /* low, because an administrator waits for the list */
#define LIST_RETRY_S 0.7
#define CALL_RATE_SHARE 0.8 /* of the cloud's rate limit */
#define CALL_BURST_S 2.0    /* capacity of the token bucket, as the time that refills it */
/* The pause after a failed call: one step for each consecutive failure. */
#define BACK_OFF_STEP_S 0.25
#define BACK_OFF_STEPS_MAX 5
#define INVENTORY_READS_PER_LAG 3        /* of the settings' maximum lag of the inventory */
#define CALLS_PER_INVENTORY_READ_MIN 2.0 /* reads begin at no more than half the rate limit */
#define QUEUE_WAIT_S 0.2
#define SCALE_OUT_MACHINES_MAX 64
#define SCALE_IN_MACHINES_MAX 128

/* The cloud's HTTP statuses that this client distinguishes. */
enum cloud_status {
    CLOUD_NO_ANSWER = 0, /* or a malformed one */
    CLOUD_OK = 200,
    CLOUD_REJECTED = 400,
    CLOUD_UNAVAILABLE = 503
};

/* Owned by the cloud thread. */
struct cloud_client {
    struct bd_node *node;
    struct bd_http *http;
    double calls_available; /* tokens of the rate limit at calls_updated_at */
    struct timespec calls_updated_at;
    struct timespec next_types_read_at, next_inventory_read_at;
    double inventory_interval_s;
    int consecutive_failures;
};

/* ---- calls ---- */

/* Waits until the rate limit allows a call, and takes a token for it. */
static void wait_for_rate_limit(struct cloud_client *client)
{
    double rate = client->node->settings.cloud_requests_per_s * CALL_RATE_SHARE;
    struct timespec now = bd_now();
    double refilled =
        client->calls_available + rate * bd_seconds_between(client->calls_updated_at, now);
    client->calls_available = fmin(CALL_BURST_S * rate, refilled);
    client->calls_updated_at = now;
    if (client->calls_available < 1)
        bd_sleep((1 - client->calls_available) / rate);
    client->calls_available -= 1;
}

/* Makes one blocking call. Returns an enum cloud_status or another HTTP status. *out is the
 * answer's JSON, or NULL; the caller releases it. */
static long call_cloud(const struct bd_node *node, struct bd_http *http, const char *method,
                       const char *path, const char *body, json_t **out)
{
    char url[256];
    struct bd_http_response response;
    snprintf(url, sizeof url, "http://%s%s", node->settings.cloud_addr, path);
    bd_http_call(http, method, url, body, CALL_TIMEOUT_S, &response);
    long status = response.status;
    *out = response.body ? bd_json_read(response.body, response.len, NULL, NULL) : NULL;
    bd_http_response_free(&response);
    return status;
}

static long call_within_rate(struct cloud_client *client, const char *method, const char *path,
                             const char *body, json_t **out)
{
    wait_for_rate_limit(client);
    return call_cloud(client->node, client->http, method, path, body, out);
}

static void back_off(struct cloud_client *client)
{
    if (client->consecutive_failures < BACK_OFF_STEPS_MAX)
        client->consecutive_failures++;
    bd_sleep(BACK_OFF_STEP_S * (double)client->consecutive_failures);
}

/* ---- machine types ---- */

static void read_types(struct cloud_client *client)
{
    struct bd_event *event = bd_event_new(BD_EVENT_MACHINE_TYPES_READ);
    struct bd_machine_type_text *types = calloc(BD_TYPES_MAX, sizeof *types);
    if (!types)
        abort();
    event->machine_types.types = types;
    json_t *answer = NULL;
    long status = call_within_rate(client, "GET", PATH_TYPES, NULL, &answer);
    int count = status == CLOUD_OK ? bd_wire_read_machine_types(answer, types, BD_TYPES_MAX) : -1;
    json_decref(answer);
    if (count <= 0) {
        bd_event_free(event);
        back_off(client);
        return;
    }
    client->consecutive_failures = 0;
    event->machine_types.count = (size_t)count;
    bd_event_post(client->node, event);
    double interval_s = atomic_load(&client->node->is_leading) ? TYPES_INTERVAL_LEADER_S
                                                               : TYPES_INTERVAL_FOLLOWER_S;
    client->next_types_read_at = bd_time_add(bd_now(), bd_secs(interval_s));
}

/* ---- the inventory ---- */

/* Appends the page after the last machine of *machines, whose memory grows. *has_more: whether
 * another page follows. Returns a status as call_cloud does. */
static long list_page(const struct bd_node *node, struct bd_http *http,
                      struct bd_cloud_machine **machines, size_t *count, bool *has_more)
{
    char path[160];
    json_t *answer = NULL;
    const char *after = *count > 0 ? (*machines)[*count - 1].id : "";
    snprintf(path, sizeof path, BD_PATH_MACHINES "?%s%s%slimit=%d", *after ? "after=" : "", after,
             *after ? "&" : "", MACHINES_PER_PAGE);
    long status = call_cloud(node, http, "GET", path, NULL, &answer);
    struct bd_cloud_machine *grown =
        realloc(*machines, (*count + MACHINES_PER_PAGE) * sizeof *grown);
    if (!grown)
        abort();
    *machines = grown;
    int added = -1;
    if (status == CLOUD_OK)
        added = bd_wire_read_machines(answer, grown + *count, MACHINES_PER_PAGE, has_more);
    json_decref(answer);
    if (added < 0)
        return status == CLOUD_OK ? CLOUD_NO_ANSWER : status;
    *count += (size_t)added;
    *has_more = *has_more && added > 0;
    return status;
}

bool bd_cloud_list_machines(const struct bd_node *node, struct bd_http *http,
                            struct bd_cloud_machine **machines, size_t *count)
{
    bool has_more = true;
    int failures = 0;
    while (has_more && failures < LIST_FAILURES_MAX) {
        if (list_page(node, http, machines, count, &has_more) == CLOUD_OK)
            continue;
        failures++;
        bd_sleep(LIST_RETRY_S);
    }
    return !has_more;
}

static void read_inventory(struct cloud_client *client)
{
    struct bd_event *event = bd_event_new(BD_EVENT_INVENTORY_READ);
    struct bd_event_inventory *inventory = &event->inventory;
    bool has_more = true;
    inventory->sent_at = bd_now();
    while (has_more) {
        wait_for_rate_limit(client);
        if (list_page(client->node, client->http, &inventory->machines, &inventory->count,
                      &has_more) == CLOUD_OK)
            continue;
        bd_event_free(event);
        back_off(client);
        return;
    }
    client->consecutive_failures = 0;
    bd_event_post(client->node, event);
    client->next_inventory_read_at = bd_time_add(bd_now(), bd_secs(client->inventory_interval_s));
}

/* ---- scaling ---- */

/* Copies the machine names in the JSON, at most max, into the event. */
static void read_machine_names(struct bd_event_scaling *scaling, json_t *json, int max)
{
    scaling->machines = calloc((size_t)max, sizeof *scaling->machines);
    int count = scaling->machines ? bd_wire_read_machine_names(json, scaling->machines, max) : -1;
    scaling->count = count > 0 ? (size_t)count : 0;
}

/* Whether the answer settles a scale-out request. If not, the cloud may have executed the request
 * nevertheless. */
static bool is_settled(long status, json_t *answer)
{
    bool is_outage = status == CLOUD_UNAVAILABLE && bd_wire_is_cloud_outage(answer);
    return status == CLOUD_OK || status == CLOUD_REJECTED ||
           (status == CLOUD_UNAVAILABLE && !is_outage);
}

/* Sends the request, and repeats it while it is not settled. This is safe because the cloud scales
 * out only once for each request id. */
static void scale_out(struct cloud_client *client, const struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_OUT_COMPLETED);
    struct bd_event_scaling *scaling = &event->scaling;
    snprintf(scaling->request_id, sizeof scaling->request_id, "%s", effect->key);
    for (int i = 0; i < SCALE_OUT_TRIES_MAX; i++) {
        json_t *answer = NULL;
        scaling->status = call_within_rate(client, "POST", BD_PATH_MACHINES, effect->body, &answer);
        if (scaling->status == CLOUD_OK)
            read_machine_names(scaling, answer, SCALE_OUT_MACHINES_MAX);
        bool settled = is_settled(scaling->status, answer);
        json_decref(answer);
        if (settled || !atomic_load(&client->node->is_leading))
            break;
        back_off(client);
    }
    bd_event_post(client->node, event);
}

static void scale_in(struct cloud_client *client, const struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_SCALE_IN_COMPLETED);
    json_t *answer = NULL;
    event->scaling.status =
        call_within_rate(client, "POST", BD_PATH_RETURN_MACHINES, effect->body, &answer);
    json_decref(answer);
    json_t *request = bd_json_read(effect->body, strlen(effect->body), NULL, NULL);
    read_machine_names(&event->scaling, request, SCALE_IN_MACHINES_MAX);
    json_decref(request);
    bd_event_post(client->node, event);
}

/* ---- the thread ---- */

/* Carries out the next effect, if one is queued within QUEUE_WAIT_S. */
static void serve_queue(struct cloud_client *client)
{
    void *item;
    struct timespec deadline = bd_time_add(bd_now(), bd_secs(QUEUE_WAIT_S));
    if (bd_queue_take(&client->node->cloud_effects, &item, 1, deadline) == 0)
        return;
    struct bd_effect *effect = item;
    if (effect->kind == BD_EFFECT_SCALE_OUT)
        scale_out(client, effect);
    else
        scale_in(client, effect);
    bd_effect_free(effect);
}

static void *cloud_run(void *arg)
{
    struct cloud_client *client = arg;
    struct bd_node *node = client->node;
    for (;;) {
        serve_queue(client);
        struct timespec now = bd_now();
        if (!atomic_load(&node->are_machine_types_known) ||
            bd_time_is_before(client->next_types_read_at, now))
            read_types(client);
        if (atomic_load(&node->is_leading) &&
            bd_time_is_before(client->next_inventory_read_at, now))
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
    if (!client->http) {
        free(client);
        return -1;
    }
    client->inventory_interval_s =
        fmax(bd_to_secs(node->settings.inventory_lag) / INVENTORY_READS_PER_LAG,
             CALLS_PER_INVENTORY_READ_MIN / node->settings.cloud_requests_per_s);
    return bd_thread_start(cloud_run, client, BD_THREAD_STACK_BYTES);
}
