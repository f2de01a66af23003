/* Liveness records, `p/NODE/at`: they prove that a follower can write to the key-value store. */
#include "adapters/election_internal.h"
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "base/timeutil.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>

#define LIVENESS_INTERVAL_S 0.8
#define CLOCK_READING_MAX_S 0.05 /* maximum time between the two readings */
#define KEY_BYTES (BD_LABEL_BYTES + 8)

/* The owner thread is not woken: only the time at which the record was sent matters, not the time
 * at which the event is handled. */
static void post_liveness(const struct bd_election_candidate *candidate, enum bd_event_kind kind,
                          struct timespec sent_at)
{
    struct bd_event *event = bd_event_new(kind);
    event->liveness.sent_at = sent_at;
    bd_event_post_without_wakeup(candidate->node, event);
}

/* Reads both clocks at almost the same time. False: a clock failed, or the process was suspended in
 * between. */
static bool read_clocks(struct timespec *monotonic, struct timespec *wall)
{
    *monotonic = bd_now();
    return clock_gettime(CLOCK_REALTIME, wall) == 0 &&
           bd_seconds_between(*monotonic, bd_now()) <= CLOCK_READING_MAX_S;
}

/* The transaction that writes the record, on condition that the leader's key has the revision.
 * The caller frees the result. NULL: out of memory. */
static char *encode_liveness_txn(const struct bd_election_candidate *candidate,
                                 uint64_t leader_revision, struct timespec wall)
{
    struct bd_txn txn;
    char key[KEY_BYTES];
    if (!bd_txn_begin(&txn))
        return NULL;
    snprintf(key, sizeof key, "p/%.60s/at", candidate->node->settings.node);
    bd_txn_compare(&txn, "leader", leader_revision);
    bd_txn_put(&txn, key, json_pack("{s:f}", "at", bd_to_secs(wall)), 0);
    return bd_txn_finish(&txn);
}

void bd_liveness_write(struct bd_election_candidate *candidate, uint64_t leader_revision)
{
    struct timespec sent_at, wall;
    json_t *answer = NULL;
    if (bd_seconds_between(candidate->liveness_sent_at, bd_now()) < LIVENESS_INTERVAL_S ||
        !read_clocks(&sent_at, &wall))
        return;
    char *body = encode_liveness_txn(candidate, leader_revision, wall);
    if (!body)
        return;
    candidate->liveness_sent_at = sent_at;
    post_liveness(candidate, BD_EVENT_LIVENESS_SENT, sent_at);
    long status = bd_kv_call(candidate->node, candidate->http, "POST", BD_PATH_COMMIT, body,
                             bd_election_call_timeout_s(candidate), &answer);
    free(body);
    json_decref(answer);
    if (status == BD_KV_OK)
        post_liveness(candidate, BD_EVENT_LIVENESS_WRITTEN, sent_at);
}
