/* The thread that commits the leader's transactions, one at a time and in order, and finds out what
 * became of each.
 *
 * A transaction compares the commit sequence (the key `w`) and changes it, so that it applies at
 * most once however often it is sent; without an answer, the sequence shows whether it did. */
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/kv_client_internal.h"
#include "adapters/node.h"
#include "base/http.h"
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

#define RATE_EXCEEDED_MAX                                                                          \
    3 /* answers in a row; then the transaction is built anew, if it may be                        \
       */

/* A transaction on its way. */
struct attempt {
    struct bd_node *node;
    struct bd_http *http;
    struct bd_effect *effect;
    struct bd_event *event;  /* gets the revision, and the keys whose comparison failed */
    bool may_be_applied;     /* a copy was sent that got no answer */
    int rate_exceeded_count; /* answers in a row */
};

/* What the commit sequence shows of a transaction. */
enum sequence_view { SEQUENCE_UNKNOWN, SEQUENCE_BEHIND, SEQUENCE_SHOWS_IT };

static bool is_sequence_of(json_t *value, const struct bd_effect *effect)
{
    char term[32];
    snprintf(term, sizeof term, "%lld", (long long)json_integer_value(json_object_get(value, "t")));
    return strcmp(term, effect->key) == 0 &&
           (uint64_t)json_integer_value(json_object_get(value, "n")) == effect->sequence;
}

/* Reads the commit sequence; its revision goes into the event. */
static enum sequence_view read_sequence(struct attempt *attempt)
{
    json_t *answer = NULL;
    struct bd_kv_change pair;
    uint64_t grant;
    enum sequence_view view = SEQUENCE_UNKNOWN;
    long status = bd_kv_call(attempt->node, attempt->http, "GET", BD_PATH_KEYS "/w", NULL,
                             BD_KV_TIMEOUT_S, &answer);
    if (status == BD_KV_NOT_FOUND)
        view = SEQUENCE_BEHIND;
    if (status == BD_KV_OK && bd_wire_read_pair(answer, &pair, &grant)) {
        view = is_sequence_of(pair.value, attempt->effect) ? SEQUENCE_SHOWS_IT : SEQUENCE_BEHIND;
        attempt->event->leader_txn.store_revision = pair.revision;
    }
    json_decref(answer);
    return view;
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

/* The outcome of a transaction that was refused, if an earlier copy of it may have been applied. */
static enum bd_txn_outcome outcome_by_sequence(struct attempt *attempt,
                                               enum bd_txn_outcome if_behind)
{
    switch (read_sequence(attempt)) {
    case SEQUENCE_SHOWS_IT:
        return BD_TXN_COMMITTED;
    case SEQUENCE_BEHIND:
        return if_behind;
    default:
        return BD_TXN_UNKNOWN;
    }
}

static enum bd_txn_outcome judge_conflict(struct attempt *attempt, json_t *answer)
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

static enum bd_txn_outcome judge_rejection(struct attempt *attempt, json_t *answer)
{
    if (bd_wire_is_grant_missing(answer)) {
        /* we were cut off, or stood still, for longer than the grant lives */
        bd_log_write(&attempt->node->log, BD_LOG_INFO,
                     "transaction %llu of term %s is refused: the grant has expired",
                     (unsigned long long)attempt->effect->sequence, attempt->effect->key);
        return BD_TXN_DEPOSED;
    }
    /* a limit of the store may have been lowered since an earlier copy was sent */
    return attempt->may_be_applied ? outcome_by_sequence(attempt, BD_TXN_REJECTED)
                                   : BD_TXN_REJECTED;
}

/* A transaction that is larger than a second's changes would exceed the rate for ever: after some
 * tries it is built anew, once it is sure that no copy of it was applied. */
static enum bd_txn_outcome judge_no_answer(struct attempt *attempt, long status)
{
    if (!atomic_load(&attempt->node->leading))
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
    if (attempt->may_be_applied && read_sequence(attempt) != SEQUENCE_BEHIND)
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
        outcome = judge_conflict(attempt, answer);
        break;
    case BD_KV_REJECTED:
        outcome = judge_rejection(attempt, answer);
        break;
    default:
        outcome = judge_no_answer(attempt, status);
    }
    json_decref(answer);
    return outcome;
}

static void commit(struct bd_node *node, struct bd_http *http, struct bd_effect *effect)
{
    struct bd_event *event = bd_event_new(BD_EVENT_LEADER_TXN_COMPLETED);
    struct attempt attempt = {.node = node, .http = http, .effect = effect, .event = event};
    event->leader_txn.sequence = effect->sequence;
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
