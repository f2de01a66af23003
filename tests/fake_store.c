/* The stand-in of the key-value store, one address a controller. */
#include "base/timeutil.h"
#include "fake_server_internal.h"
#include "key_table.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

static void expire_grants(struct fake_cluster *cluster)
{
    struct timespec now = bd_now();
    for (int i = 0; i < cluster->ngrants;) {
        if (bd_time_is_before(now, cluster->grants[i].ends)) {
            i++;
            continue;
        }
        table_end_grant(&cluster->table, cluster->grants[i].id);
        cluster->grants[i] = cluster->grants[--cluster->ngrants];
    }
}

bool fake_grant_lives(void *owner, uint64_t id)
{
    const struct fake_cluster *cluster = owner;
    for (int i = 0; i < cluster->ngrants; i++)
        if (cluster->grants[i].id == id)
            return true;
    return false;
}

static bool exceeds_size(const struct fake_cluster *cluster, json_t *in)
{
    json_t *ops = json_object_get(in, "apply"), *item;
    size_t i;
    if (cluster->txn_ops_max && json_array_size(ops) > cluster->txn_ops_max)
        return true;
    json_array_foreach(ops, i, item)
    {
        char *text = json_dumps(json_object_get(item, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
        bool large =
            cluster->kv_value_bytes_max && text && strlen(text) > cluster->kv_value_bytes_max;
        free(text);
        if (large)
            return true;
    }
    return false;
}

static bool exceeds_rate(struct fake_cluster *cluster, json_t *in)
{
    struct timespec now = bd_now();
    if (bd_seconds_between(cluster->rate_from, now) >= 1) {
        cluster->rate_from = now;
        cluster->writes = 0;
    }
    cluster->writes += (int)json_array_size(json_object_get(in, "apply"));
    return cluster->write_rps && cluster->writes > cluster->write_rps;
}

/* 0: within the limits */
static int beyond_limits(struct fake_cluster *cluster, json_t *in)
{
    if (exceeds_size(cluster, in)) {
        cluster->refused++;
        return 400;
    }
    if (exceeds_rate(cluster, in)) {
        cluster->busy++;
        return 429;
    }
    return 0;
}

static bool is_leader_txn(json_t *in)
{
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(in, "if"), i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "k")), "w") == 0)
            return true;
    }
    return false;
}

/* A transaction, and after it a late copy of one that applied some time ago. */
static int commit_and_replay(struct fake_cluster *cluster, json_t *in, json_t **out)
{
    json_t *ignored = NULL;
    int beyond = beyond_limits(cluster, in);
    int status = beyond ? beyond : table_commit(&cluster->table, in, out);
    if (status != 200 || !is_leader_txn(in))
        return status;
    int at = cluster->napplied++ % APPLIED_TXNS;
    if (cluster->applied[at]) {
        cluster->copies++;
        cluster->copies_applied +=
            table_commit(&cluster->table, cluster->applied[at], &ignored) == 200;
        json_decref(ignored);
        json_decref(cluster->applied[at]);
    }
    cluster->applied[at] = json_incref(in);
    return status;
}

static int by_name(const void *a, const void *b)
{
    return strcmp(((const struct table_key *)a)->name, ((const struct table_key *)b)->name);
}

static int list_keys(struct fake_cluster *cluster, struct MHD_Connection *conn, json_t **out)
{
    const char *starts = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");
    json_t *pairs = json_array();
    bool more = false;
    if (cluster->table.nkeys > 0)
        qsort(cluster->table.keys, cluster->table.nkeys, sizeof *cluster->table.keys, by_name);
    for (size_t i = 0; i < cluster->table.nkeys; i++) {
        struct table_key *key = &cluster->table.keys[i];
        if (!key->value || strncmp(key->name, starts, strlen(starts)) != 0 ||
            (after && strcmp(key->name, after) <= 0))
            continue;
        if (json_array_size(pairs) == 5) { /* small pages, so that paging is played */
            more = true;
            break;
        }
        json_array_append_new(pairs, table_pair(key));
    }
    *out = json_pack("{s:o,s:b,s:I}", "pairs", pairs, "more", more, "ring",
                     (json_int_t)cluster->table.revision);
    return 200;
}

static int list_changes(struct fake_cluster *cluster, struct MHD_Connection *conn, json_t **out)
{
    const char *starts = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    const char *after = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");
    *out = table_changes(&cluster->table, starts, strtoull(after, NULL, 10));
    return 200;
}

static int serve_grants(struct fake_cluster *cluster, const char *method, const char *url,
                        json_t *in, json_t **out)
{
    uint64_t id = strtoull(url + strlen("/grants") + (url[7] == '/'), NULL, 10);
    if (id == 0) {
        double ttl = (double)json_integer_value(json_object_get(in, "ttlMs")) / 1000.0;
        if (cluster->ngrants == GRANTS_MAX)
            return 503;
        cluster->grants[cluster->ngrants].id = ++cluster->last_grant;
        cluster->grants[cluster->ngrants].ttl_s = ttl;
        cluster->grants[cluster->ngrants++].ends = bd_time_add(bd_now(), bd_secs(ttl));
        *out = json_pack("{s:I}", "charter", (json_int_t)cluster->last_grant);
        return 200;
    }
    for (int i = 0; i < cluster->ngrants; i++) {
        if (cluster->grants[i].id != id)
            continue;
        bool ends = strcmp(method, "DELETE") == 0;
        cluster->grants[i].ends =
            ends ? bd_now() : bd_time_add(bd_now(), bd_secs(cluster->grants[i].ttl_s));
        return 200;
    }
    return 404;
}

static void apply_late_txns(struct fake_cluster *cluster)
{
    for (int i = 0; i < cluster->nlate;) {
        json_t *ignored = NULL;
        if (bd_time_is_before(bd_now(), cluster->late[i].deliver_at)) {
            i++;
            continue;
        }
        cluster->late_applied +=
            table_commit(&cluster->table, cluster->late[i].txn, &ignored) == 200;
        json_decref(ignored);
        json_decref(cluster->late[i].txn);
        cluster->late[i] = cluster->late[--cluster->nlate];
    }
}

static bool draw(struct fake_cluster *cluster, double share)
{
    cluster->random_state = cluster->random_state * 1103515245u + 12345u;
    return (cluster->random_state >> 16 & 0x7fff) < share * 0x8000;
}

/* Some are applied while only the answer is lost, some late and after newer ones. */
static int commit_or_lose_answer(struct fake_cluster *cluster, json_t *in, json_t **out)
{
    if (draw(cluster, cluster->late_share) && cluster->nlate < LATE_TXNS_MAX) {
        cluster->late[cluster->nlate++] =
            (struct fake_late_txn){json_incref(in), bd_time_add(bd_now(), bd_secs(2.5))};
        return NO_ANSWER;
    }
    int status = commit_and_replay(cluster, in, out);
    if (status != 200 || !draw(cluster, cluster->lost_share))
        return status;
    cluster->lost++;
    return NO_ANSWER;
}

static bool reads_jobs(const char *url, struct MHD_Connection *conn)
{
    const char *prefix = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "starts");
    return (strcmp(url, "/follow") == 0 || strcmp(url, "/kv") == 0) && prefix &&
           strcmp(prefix, "j/") == 0;
}

int fake_store_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                      json_t *in, json_t **out)
{
    struct fake_store_endpoint *endpoint = arg;
    struct fake_cluster *cluster = endpoint->cluster;
    if (cluster->down || endpoint->refused ||
        (endpoint->job_reads_refused && reads_jobs(url, conn)))
        return 503;
    expire_grants(cluster);
    apply_late_txns(cluster);
    if (strcmp(url, "/commit") == 0)
        return commit_or_lose_answer(cluster, in, out);
    if (strcmp(url, "/kv") == 0)
        return list_keys(cluster, conn, out);
    if (strncmp(url, "/kv/", 4) == 0)
        return table_get(&cluster->table, url + 4, out);
    if (strcmp(url, "/follow") == 0)
        return list_changes(cluster, conn, out);
    if (strncmp(url, "/grants", 7) == 0)
        return serve_grants(cluster, method, url, in, out);
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

void fake_store_rejections(struct fake_cluster *cluster, int *refused, int *busy)
{
    pthread_mutex_lock(&cluster->lock);
    *refused = cluster->refused;
    *busy = cluster->busy;
    pthread_mutex_unlock(&cluster->lock);
}

bool fake_store_dump(struct fake_cluster *cluster, const char *path)
{
    json_t *all = json_object();
    pthread_mutex_lock(&cluster->lock);
    for (size_t i = 0; i < cluster->table.nkeys; i++)
        if (cluster->table.keys[i].value)
            json_object_set(all, cluster->table.keys[i].name, cluster->table.keys[i].value);
    pthread_mutex_unlock(&cluster->lock);
    bool ok = json_dump_file(all, path, JSON_INDENT(1) | JSON_SORT_KEYS) == 0;
    json_decref(all);
    return ok;
}

int fake_store_late_copies(struct fake_cluster *cluster, int *applied)
{
    pthread_mutex_lock(&cluster->lock);
    int n = cluster->copies;
    *applied = cluster->copies_applied;
    pthread_mutex_unlock(&cluster->lock);
    return n;
}

void fake_store_set_down(struct fake_cluster *cluster, bool down)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->down = down;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_refuse(struct fake_cluster *cluster, int node, bool refused)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->endpoints[node].refused = refused;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_refuse_job_reads(struct fake_cluster *cluster, int node, bool refused)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->endpoints[node].job_reads_refused = refused;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_store_lose_answers(struct fake_cluster *cluster, double lost_share, double late_share)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->lost_share = lost_share;
    cluster->late_share = late_share;
    pthread_mutex_unlock(&cluster->lock);
}

int fake_store_lost_answers(struct fake_cluster *cluster, int *late)
{
    pthread_mutex_lock(&cluster->lock);
    int n = cluster->lost;
    *late = cluster->late_applied;
    pthread_mutex_unlock(&cluster->lock);
    return n;
}

int fake_store_leader(struct fake_cluster *cluster)
{
    pthread_mutex_lock(&cluster->lock);
    struct table_key *key = table_find(&cluster->table, "leader");
    const char *name = key ? json_string_value(json_object_get(key->value, "node")) : NULL;
    int node = fake_node_index(cluster, name);
    pthread_mutex_unlock(&cluster->lock);
    return node;
}

void fake_store_truncate_answers(struct fake_cluster *cluster, int answers)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->truncated_answers = answers;
    pthread_mutex_unlock(&cluster->lock);
}
