/* The thread that commits the leader's transactions, one at a time and in order, and determines the
 * outcome of each.
 *
 * A transaction compares the commit sequence (the key `w`) and changes it, so that it is applied at
 * most once, however often it is sent. If there is no answer, the sequence shows whether it was
 * applied. */
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/kv_client_internal.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/json_number.h"
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Consecutive answers BD_KV_RATE_EXCEEDED after which the transaction is rebuilt, if possible. */
#define RATE_EXCEEDED_MAX 3

/* A transaction being committed. */
struct attempt {
    struct bd_node *node;
    struct bd_http *http;
    struct bd_effect *effect;
    struct bd_event *event;  /* receives the outcome */
    bool may_be_applied;     /* an earlier copy was sent and not answered */
    int rate_exceeded_count; /* consecutive answers BD_KV_RATE_EXCEEDED */
};

/* What the commit sequence in the store shows about a transaction. */
enum sequence_state {
    SEQUENCE_UNKNOWN, /* the store did not answer */
    SEQUENCE_DIFFERS, /* the transaction is taken as not applied */
    SEQUENCE_OF_TXN   /* the transaction was applied */
};

static bool is_sequence_of(json_t *value, const struct bd_effect *effect)
{
    uint64_t term, sequence;
    return bd_json_read_unsigned(json_object_get(value, "t"), &term) &&
           bd_json_read_unsigned(json_object_get(value, "n"), &sequence) &&
           term == strtoull(effect->key, NULL, 10) && sequence == effect->commit_sequence;
}

/* Reads the commit sequence; its revision goes into the event. */
static enum sequence_state read_sequence(struct attempt *attempt)
{
    json_t *answer = NULL;
    struct bd_kv_change pair;
    uint64_t grant;
    enum sequence_state state = SEQUENCE_UNKNOWN;
    long status = bd_kv_call(attempt->node, attempt->http, "GET", BD_PATH_KEYS "/w", NULL,
                             BD_KV_TIMEOUT_S, &answer);
    if (status == BD_KV_NOT_FOUND)
        state = SEQUENCE_DIFFERS;
    if (status == BD_KV_OK && bd_wire_read_pair(answer, &pair, &grant)) {
        state = is_sequence_of(pair.value, attempt->effect) ? SEQUENCE_OF_TXN : SEQUENCE_DIFFERS;
        attempt->event->leader_txn.store_revision = pair.revision;
    }
    json_decref(answer);
    return state;
}

static bool contains(json_t *keys, const char *key)
{
    json_t *entry;
    size_t i;
    json_array_foreach(keys, i, entry)
    {
        const char *text = json_string_value(entry);
        if (text && strcmp(text, key) == 0)
            return true;
    }
    return false;
}

/* The outcome of a refused transaction of which an earlier copy may have been applied. */
static enum bd_txn_outcome outcome_by_sequence(struct attempt *attempt,
                                               enum bd_txn_outcome if_not_applied)
{
    switch (read_sequence(attempt)) {
    case SEQUENCE_OF_TXN:
        return BD_TXN_COMMITTED;
    case SEQUENCE_DIFFERS:
        return if_not_applied;
    default:
        return BD_TXN_UNKNOWN;
    }
}

static enum bd_txn_outcome outcome_of_conflict(struct attempt *attempt, json_t *answer)
{
    json_t *failed = bd_wire_read_failed_compares(answer);
    enum bd_txn_outcome outcome = BD_TXN_CONFLICT;
    if (contains(failed, "w"))
        outcome = outcome_by_sequence(attempt, BD_TXN_DEPOSED);
    else if (contains(failed, "leader"))
        outcome = BD_TXN_DEPOSED;
    json_decref(attempt->event->leader_txn.answer);
    attempt->event->leader_txn.answer = json_incref(answer);
    return outcome;
}

static enum bd_txn_outcome outcome_of_rejection(struct attempt *attempt, json_t *answer)
{
    if (bd_wire_is_grant_missing(answer)) {
        /* this node was partitioned or suspended for longer than the grant's TTL */
        bd_log_write(&attempt->node->log, BD_LOG_INFO,
                     "store refused transaction %llu of term %s: the grant has expired",
                     (unsigned long long)attempt->effect->commit_sequence, attempt->effect->key);
        return BD_TXN_DEPOSED;
    }
    /* a limit of the store may have been lowered since an earlier copy was sent */
    return attempt->may_be_applied ? outcome_by_sequence(attempt, BD_TXN_REJECTED)
                                   : BD_TXN_REJECTED;
}

/* A transaction with more changes than the store allows in a second would exceed the rate forever.
 * After RATE_EXCEEDED_MAX answers it is therefore reported as a conflict, to be rebuilt,
 * provided that no copy of it was applied. */
static enum bd_txn_outcome outcome_of_failed_call(struct attempt *attempt, long status)
{
    if (!atomic_load(&attempt->node->is_leading))
        return BD_TXN_DEPOSED;
    if (status == BD_KV_RATE_EXCEEDED) {
        attempt->rate_exceeded_count++;
        bd_event_post(attempt->node, bd_event_new(BD_EVENT_KV_RATE_EXCEEDED));
    } else {
        attempt->rate_exceeded_count = 0;
        attempt->may_be_applied = attempt->may_be_applied || status != BD_KV_UNAVAILABLE;
    }
    bd_sleep(BD_KV_RETRY_S);
    if (attempt->rate_exceeded_count < RATE_EXCEEDED_MAX)
        return BD_TXN_UNKNOWN;
    if (attempt->may_be_applied && read_sequence(attempt) != SEQUENCE_DIFFERS)
        return BD_TXN_UNKNOWN;
    return BD_TXN_CONFLICT;
}

static enum bd_txn_outcome send_once(struct attempt *attempt)
{
    json_t *answer = NULL;
    enum bd_txn_outcome outcome;
    long status = bd_kv_call(attempt->node, attempt->http, "POST", BD_PATH_COMMIT,
                             attempt->effect->body, BD_KV_TIMEOUT_S, &answer);
    switch (status) {
    case BD_KV_OK:
        attempt->event->leader_txn.store_revision = bd_wire_read_store_revision(answer);
        outcome = BD_TXN_COMMITTED;
        break;
    case BD_KV_CONFLICT:
        outcome = outcome_of_conflict(attempt, answer);
        break;
    case BD_KV_REJECTED:
        outcome = outcome_of_rejection(attempt, answer);
        break;
    default:
        outcome = outcome_of_failed_call(attempt, status);
    }
    json_decref(answer);
    return outcome;
}

static void commit(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_LEADER_TXN_COMPLETED);
    struct attempt attempt = {.node = node, .http = http, .effect = effect, .event = event};
    event->leader_txn.sequence = effect->commit_sequence;
    event->leader_txn.term = strtoull(effect->key, NULL, 10);
    do
        event->leader_txn.outcome = send_once(&attempt);
    while (event->leader_txn.outcome == BD_TXN_UNKNOWN);
    bd_event_post(node, event);
}

void *bd_kv_leader_writer_run(void *arg)
{
    struct bd_node *node = arg;
    bd_kv_serve_queue(node, &node->leader_txns, BD_TRAFFIC_COMMIT, commit);
    return NULL;
}
