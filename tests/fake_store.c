/* Fake key-value store with one port for each controller. */
#include "base/timeutil.h"
#include "fake_server_internal.h"
#include "key_table.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define LIST_PAGE_KEYS 5 /* small, so that the controllers read several pages */
#define TXN_DELAY_S 2.5

static void expire_grants(struct fake_cluster *cluster)
{
    struct timespec now = bd_now();
    for (int i = 0; i < cluster->ngrants;) {
        if (bd_time_is_before(now, cluster->grants[i].expires_at)) {
            i++;
            continue;
        }
        table_end_grant(&cluster->store_table, cluster->grants[i].id);
        cluster->grants[i] = cluster->grants[--cluster->ngrants];
    }
}

bool fake_grant_is_valid(void *owner, uint64_t id)
{
    const struct fake_cluster *cluster = owner;
    for (int i = 0; i < cluster->ngrants; i++)
        if (cluster->grants[i].id == id)
            return true;
    return false;
}

static bool exceeds_size(const struct fake_cluster *cluster, json_t *request)
{
    json_t *ops = json_object_get(request, "apply"), *item;
    size_t i;
    if (cluster->txn_ops_max && json_array_size(ops) > cluster->txn_ops_max)
        return true;
    json_array_foreach(ops, i, item)
    {
        char *text = json_dumps(json_object_get(item, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
        bool is_too_large =
            cluster->kv_value_bytes_max && text && strlen(text) > cluster->kv_value_bytes_max;
        free(text);
        if (is_too_large)
            return true;
    }
    return false;
}

static bool exceeds_rate(struct fake_cluster *cluster, json_t *request)
{
    struct timespec now = bd_now();
    if (bd_seconds_between(cluster->rate_window_start, now) >= 1) {
        cluster->rate_window_start = now;
        cluster->writes_in_window = 0;
    }
    cluster->writes_in_window += (int)json_array_size(json_object_get(request, "apply"));
    return cluster->write_rps && cluster->writes_in_window > cluster->write_rps;
}

/* Returns the status of a transaction that exceeds a limit, otherwise 0. */
static int check_limits(struct fake_cluster *cluster, json_t *request)
{
    if (exceeds_size(cluster, request)) {
        cluster->too_large_txns++;
        return 400;
    }
    if (exceeds_rate(cluster, request)) {
        cluster->rate_limited_txns++;
        return 429;
    }
    return 0;
}

static bool is_leader_txn(json_t *request)
{
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(request, "if"), i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), "w") == 0)
            return true;
    }
    return false;
}

/* Commits a transaction. After a leader transaction it replays the one that was applied
 * REPLAY_DELAY_TXNS before it. */
static int commit_and_replay(struct fake_cluster *cluster, json_t *request, json_t **response)
{
    json_t *ignored = NULL;
    int limit_status = check_limits(cluster, request);
    int status =
        limit_status ? limit_status : table_commit(&cluster->store_table, request, response);
    if (status != 200 || !is_leader_txn(request))
        return status;
    int slot = cluster->napplied_txns++ % REPLAY_DELAY_TXNS;
    if (cluster->applied_txns[slot]) {
        cluster->replayed_txns++;
        cluster->replayed_txns_applied +=
            table_commit(&cluster->store_table, cluster->applied_txns[slot], &ignored) == 200;
        json_decref(ignored);
        json_decref(cluster->applied_txns[slot]);
    }
    cluster->applied_txns[slot] = json_incref(request);
    return status;
}

static int compare_names(const void *a, const void *b)
{
    return strcmp(((const struct table_key *)a)->name, ((const struct table_key *)b)->name);
}

static int list_keys(struct fake_cluster *cluster, struct MHD_Connection *connection,
                     json_t **response)
{
    const char *starts = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "after");
    json_t *pairs = json_array();
    bool more = false;
    if (cluster->store_table.nkeys > 0)
        qsort(cluster->store_table.keys, cluster->store_table.nkeys,
              sizeof *cluster->store_table.keys, compare_names);
    for (size_t i = 0; i < cluster->store_table.nkeys; i++) {
        struct table_key *key = &cluster->store_table.keys[i];
        if (!key->value || strncmp(key->name, starts, strlen(starts)) != 0 ||
            (after && strcmp(key->name, after) <= 0))
            continue;
        if (json_array_size(pairs) == LIST_PAGE_KEYS) {
            more = true;
            break;
        }
        json_array_append_new(pairs, table_pair(key));
    }
    *response = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", more, "ring",
                          (json_int_t)cluster->store_table.revision);
    return 200;
}

static int list_changes(struct fake_cluster *cluster, struct MHD_Connection *connection,
                        json_t **response)
{
    const char *starts = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "after");
    *response = table_changes(&cluster->store_table, starts, strtoull(after, NULL, 10));
    return 200;
}

static int serve_grants(struct fake_cluster *cluster, const char *method, const char *url,
                        json_t *request, json_t **response)
{
    uint64_t id = strtoull(url + strlen("/grants") + (url[7] == '/'), NULL, 10);
    if (id == 0) {
        double ttl = (double)json_integer_value(json_object_get(request, "ttlMs")) / 1000.0;
        if (cluster->ngrants == GRANTS_MAX)
            return 503;
        cluster->grants[cluster->ngrants].id = ++cluster->last_grant;
        cluster->grants[cluster->ngrants].ttl_s = ttl;
        cluster->grants[cluster->ngrants++].expires_at = bd_time_add(bd_now(), bd_secs(ttl));
        *response = json_pack("{s:I}", "charter", (json_int_t)cluster->last_grant);
        return 200;
    }
    for (int i = 0; i < cluster->ngrants; i++) {
        if (cluster->grants[i].id != id)
            continue;
        bool is_revoked = strcmp(method, "DELETE") == 0;
        cluster->grants[i].expires_at =
            is_revoked ? bd_now() : bd_time_add(bd_now(), bd_secs(cluster->grants[i].ttl_s));
        return 200;
    }
    return 404;
}

static void commit_delayed_txns(struct fake_cluster *cluster)
{
    for (int i = 0; i < cluster->ndelayed_txns;) {
        json_t *ignored = NULL;
        if (bd_time_is_before(bd_now(), cluster->delayed_txns[i].deliver_at)) {
            i++;
            continue;
        }
        cluster->delayed_txns_applied +=
            table_commit(&cluster->store_table, cluster->delayed_txns[i].txn, &ignored) == 200;
        json_decref(ignored);
        json_decref(cluster->delayed_txns[i].txn);
        cluster->delayed_txns[i] = cluster->delayed_txns[--cluster->ndelayed_txns];
    }
}

/* True with the probability `share`. */
static bool draw(struct fake_cluster *cluster, double share)
{
    cluster->random_state = cluster->random_state * 1103515245u + 12345u;
    return (cluster->random_state >> 16 & 0x7fff) < share * 0x8000;
}

/* Commits a transaction. Some responses are lost; some transactions are delayed and committed
 * after newer ones. */
static int commit_with_faults(struct fake_cluster *cluster, json_t *request, json_t **response)
{
    if (draw(cluster, cluster->delayed_share) && cluster->ndelayed_txns < DELAYED_TXNS_MAX) {
        cluster->delayed_txns[cluster->ndelayed_txns++] = (struct fake_delayed_txn){
            json_incref(request), bd_time_add(bd_now(), bd_secs(TXN_DELAY_S))};
        return NO_RESPONSE;
    }
    int status = commit_and_replay(cluster, request, response);
    if (status != 200 || !draw(cluster, cluster->lost_response_share))
        return status;
    cluster->lost_responses++;
    return NO_RESPONSE;
}

static bool reads_jobs(const char *url, struct MHD_Connection *connection)
{
    const char *prefix = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "starts");
    return (strcmp(url, "/follow") == 0 || strcmp(url, "/kv") == 0) && prefix &&
           strcmp(prefix, "j/") == 0;
}

int fake_store_handle(void *arg, const char *method, const char *url,
                      struct MHD_Connection *connection, json_t *request, json_t **response)
{
    struct fake_store_endpoint *endpoint = arg;
    struct fake_cluster *cluster = endpoint->cluster;
    if (cluster->is_down || endpoint->is_refused ||
        (endpoint->are_job_reads_refused && reads_jobs(url, connection)))
        return 503;
    expire_grants(cluster);
    commit_delayed_txns(cluster);
    if (strcmp(url, "/commit") == 0)
        return commit_with_faults(cluster, request, response);
    if (strcmp(url, "/kv") == 0)
        return list_keys(cluster, connection, response);
    if (strncmp(url, "/kv/", 4) == 0)
        return table_get(&cluster->store_table, url + 4, response);
    if (strcmp(url, "/follow") == 0)
        return list_changes(cluster, connection, response);
    if (strncmp(url, "/grants", 7) == 0)
        return serve_grants(cluster, method, url, request, response);
    return 404;
}

void fake_store_set_limits(struct fake_cluster *cluster, size_t kv_value_bytes_max,
                           size_t txn_ops_max, int write_rps)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->kv_value_bytes_max = kv_value_bytes_max;
    cluster->txn_ops_max = txn_ops_max;
    cluster->write_rps = write_rps;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_rejections(struct fake_cluster *cluster, int *too_large, int *rate_limited)
{
    pthread_mutex_lock(&cluster->lock);
    *too_large = cluster->too_large_txns;
    *rate_limited = cluster->rate_limited_txns;
    pthread_mutex_unlock(&cluster->lock);
}

bool fake_store_dump(struct fake_cluster *cluster, const char *path)
{
    json_t *all = json_object();
    pthread_mutex_lock(&cluster->lock);
    for (size_t i = 0; i < cluster->store_table.nkeys; i++)
        if (cluster->store_table.keys[i].value)
            json_object_set(all, cluster->store_table.keys[i].name,
                            cluster->store_table.keys[i].value);
    pthread_mutex_unlock(&cluster->lock);
    bool is_written = json_dump_file(all, path, JSON_INDENT(1) | JSON_SORT_KEYS) == 0;
    json_decref(all);
    return is_written;
}

int fake_store_replayed_txns(struct fake_cluster *cluster, int *applied)
{
    pthread_mutex_lock(&cluster->lock);
    int replayed = cluster->replayed_txns;
    *applied = cluster->replayed_txns_applied;
    pthread_mutex_unlock(&cluster->lock);
    return replayed;
}

void fake_store_set_down(struct fake_cluster *cluster, bool is_down)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->is_down = is_down;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_refuse_node(struct fake_cluster *cluster, int node, bool is_refused)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->endpoints[node].is_refused = is_refused;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_refuse_job_reads(struct fake_cluster *cluster, int node, bool is_refused)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->endpoints[node].are_job_reads_refused = is_refused;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_set_txn_faults(struct fake_cluster *cluster, double lost_response_share,
                               double delayed_share)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->lost_response_share = lost_response_share;
    cluster->delayed_share = delayed_share;
    pthread_mutex_unlock(&cluster->lock);
}

int fake_store_lost_responses(struct fake_cluster *cluster, int *delayed_applied)
{
    pthread_mutex_lock(&cluster->lock);
    int lost = cluster->lost_responses;
    *delayed_applied = cluster->delayed_txns_applied;
    pthread_mutex_unlock(&cluster->lock);
    return lost;
}

int fake_store_leader(struct fake_cluster *cluster)
{
    pthread_mutex_lock(&cluster->lock);
    struct table_key *key = table_find(&cluster->store_table, "leader");
    const char *name = key ? json_string_value(json_object_get(key->value, "node")) : NULL;
    int node = fake_node_index(cluster, name);
    pthread_mutex_unlock(&cluster->lock);
    return node;
}

void fake_store_truncate_responses(struct fake_cluster *cluster, int responses)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->truncated_responses = responses;
    pthread_mutex_unlock(&cluster->lock);
}
