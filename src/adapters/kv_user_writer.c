/* The threads that commit users' transactions and the delegate's record, and look up jobs that are
 * not in memory. */
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/kv_client_internal.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/timeutil.h"
#include "model/effect.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define USER_TIMEOUT_S 2.5
#define PATH_BYTES 128

/* Reads the revision of the delegate's record into the event; 0: there is no record. */
static void read_delegate_revision(struct bd_node *node, struct bd_http *http, const char *key,
                                   struct bd_event *event)
{
    char path[PATH_BYTES];
    json_t *answer = NULL;
    struct bd_kv_change pair;
    uint64_t grant;
    snprintf(path, sizeof path, BD_PATH_KEYS "/%s", key);
    long status = bd_kv_call(node, http, "GET", path, NULL, BD_KV_TIMEOUT_S, &answer);
    bool is_found = status == BD_KV_OK && bd_wire_read_pair(answer, &pair, &grant);
    event->delegate_txn.is_revision_known = is_found || status == BD_KV_NOT_FOUND;
    event->delegate_txn.store_revision = is_found ? pair.revision : 0;
    json_decref(answer);
}

static void write_delegate_record(struct bd_node *node, struct bd_http *http, const char *body,
                                  struct bd_event *event)
{
    json_t *answer = NULL;
    event->delegate_txn.status =
        bd_kv_call(node, http, "POST", BD_PATH_COMMIT, body, BD_KV_TIMEOUT_S, &answer);
    event->delegate_txn.store_revision = bd_wire_read_store_revision(answer);
    event->delegate_txn.is_revision_known = event->delegate_txn.status == BD_KV_OK;
    json_decref(answer);
}

/* An effect without a body requests only the record's revision. */
static void serve_delegate_txn(struct bd_node *node, struct bd_http *http,
                               const struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_DELEGATE_TXN_COMPLETED);
    event->delegate_txn.sent_at = bd_now();
    if (effect->body)
        write_delegate_record(node, http, effect->body, event);
    else
        read_delegate_revision(node, http, effect->key, event);
    bd_event_post(node, event);
}

/* Commits one transaction for each line, in order, until one fails: the lines that a record depends
 * on precede the line of the record. */
static void commit_txn_lines(struct bd_node *node, struct bd_http *http, char *lines,
                             struct bd_event *event)
{
    char *rest = NULL;
    event->user_txn.status = BD_KV_OK;
    for (char *line = strtok_r(lines, "\n", &rest); line && event->user_txn.status == BD_KV_OK;
         line = strtok_r(NULL, "\n", &rest)) {
        json_t *answer = NULL;
        event->user_txn.status =
            bd_kv_call(node, http, "POST", BD_PATH_COMMIT, line, USER_TIMEOUT_S, &answer);
        event->user_txn.store_revision = bd_wire_read_store_revision(answer);
        json_decref(answer);
    }
}

static void commit_user_txn(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_USER_TXN_COMPLETED);
    char *lines = strdup(effect->body);
    event->user_txn.status = BD_KV_NO_ANSWER;
    if (lines)
        commit_txn_lines(node, http, lines, event);
    free(lines);
    event->user_txn.request = effect->request;
    event->user_txn.purpose = effect->purpose;
    snprintf(event->user_txn.job_id, sizeof event->user_txn.job_id, "%s", effect->key);
    event->user_txn.body = effect->body;
    effect->body = NULL;
    bd_event_post(node, event);
}

static void look_up_job(struct bd_node *node, struct bd_http *http, const struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_JOB_LOOKUP_COMPLETED);
    char path[PATH_BYTES];
    snprintf(path, sizeof path, BD_PATH_KEYS "/j/%s", effect->key);
    event->job_lookup.status =
        bd_kv_call(node, http, "GET", path, NULL, BD_KV_TIMEOUT_S, &event->job_lookup.answer);
    event->job_lookup.request = effect->request;
    event->job_lookup.purpose = effect->purpose;
    snprintf(event->job_lookup.job_id, sizeof event->job_lookup.job_id, "%s", effect->key);
    bd_event_post(node, event);
}

static void serve(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    if (effect->kind == BD_EFFECT_DELEGATE_TXN)
        serve_delegate_txn(node, http, effect);
    else if (effect->kind == BD_EFFECT_JOB_LOOKUP)
        look_up_job(node, http, effect);
    else
        commit_user_txn(node, http, effect);
}

void *bd_kv_user_writer_run(void *arg)
{
    struct bd_node *node = arg;
    bd_kv_serve_queue(node, &node->user_txns, BD_TRAFFIC_USER_TXN, serve);
    return NULL;
}
