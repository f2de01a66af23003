/* Calls to the key-value store, and the start of the client's threads. */
#include "adapters/kv_client.h"
#include "adapters/kv_client_internal.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/json_reader.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "model/effect.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <string.h>

#define USER_THREADS 2
#define PAGE_PAIRS "1000"
#define URL_BYTES 640
#define PATH_BYTES 512
#define QUEUE_WAIT_S 5.0 /* of one wait for an effect; waits are repeated */

long bd_kv_call(const struct bd_node *node, struct bd_http *http, const char *method,
                const char *path, const char *body, double timeout_s, json_t **out)
{
    char url[URL_BYTES];
    struct bd_http_response response;
    snprintf(url, sizeof url, "http://%s%s", node->settings.kv_addr, path);
    bd_http_call(http, method, url, body, timeout_s, &response);
    long status = response.status;
    *out = response.body ? bd_json_read(response.body, response.len, NULL, NULL) : NULL;
    if (status == BD_KV_OK && !*out && strcmp(method, "DELETE") != 0)
        status = BD_KV_NO_ANSWER;
    bd_http_response_free(&response);
    return status;
}

json_t *bd_kv_list_page(const struct bd_node *node, struct bd_http *http, const char *prefix,
                        char *after, size_t after_capacity, bool *has_more)
{
    char path[PATH_BYTES];
    json_t *page = NULL;
    struct bd_kv_change last;
    if (*after)
        snprintf(path, sizeof path, BD_PATH_LIST "%s&after=%s&limit=" PAGE_PAIRS, prefix, after);
    else
        snprintf(path, sizeof path, BD_PATH_LIST "%s&limit=" PAGE_PAIRS, prefix);
    if (bd_kv_call(node, http, "GET", path, NULL, BD_KV_TIMEOUT_S, &page) != BD_KV_OK) {
        json_decref(page);
        return NULL;
    }
    json_t *pairs = bd_wire_read_pairs(page, has_more);
    size_t count = json_array_size(pairs);
    *has_more = *has_more && count > 0;
    if (count > 0 && bd_wire_read_change(json_array_get(pairs, count - 1), &last))
        snprintf(after, after_capacity, "%s", last.key);
    return page;
}

json_t *bd_kv_list(const struct bd_node *node, struct bd_http *http, const char *prefix)
{
    json_t *all = json_array();
    char after[BD_KV_KEY_BYTES] = "";
    bool has_more = true;
    while (has_more) {
        bool ignored;
        json_t *page = bd_kv_list_page(node, http, prefix, after, sizeof after, &has_more);
        if (!page) {
            json_decref(all);
            return NULL;
        }
        (void)json_array_extend(all, bd_wire_read_pairs(page, &ignored));
        json_decref(page);
    }
    return all;
}

void bd_kv_serve_queue(struct bd_node *node, struct bd_queue *queue, enum bd_traffic traffic,
                       void (*serve)(struct bd_node *node, struct bd_http *http,
                                     struct bd_effect *effect))
{
    struct bd_http *http = bd_http_new(1, bd_metrics_counter(node->metrics, traffic));
    while (http) {
        void *effect;
        struct timespec deadline = bd_time_add(bd_now(), bd_secs(QUEUE_WAIT_S));
        if (bd_queue_take(queue, &effect, 1, deadline) == 0)
            continue;
        serve(node, http, effect);
        bd_effect_free(effect);
    }
}

int bd_kv_client_start(struct bd_node *node)
{
    int failed = bd_thread_start(bd_kv_reader_run, node, BD_THREAD_STACK_BYTES);
    failed |= bd_thread_start(bd_kv_leader_writer_run, node, BD_THREAD_STACK_BYTES);
    for (int i = 0; i < USER_THREADS; i++)
        failed |= bd_thread_start(bd_kv_user_writer_run, node, BD_THREAD_STACK_BYTES);
    return failed;
}
