/* The election's lease: the leader's key, and the grant on which the key is written. */
#include "adapters/election_internal.h"
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "base/timeutil.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define PATH_BYTES 64

static long call_store(const struct bd_election_candidate *candidate, const char *method,
                       const char *path, const char *body, json_t **answer)
{
    return bd_kv_call(candidate->node, candidate->http, method, path, body,
                      bd_election_call_timeout_s(candidate), answer);
}

/* ---- observing ---- */

/* Whether the leader's key names this node among the delegates that are no longer needed. */
static bool dismisses_this_node(const struct bd_election_candidate *candidate, json_t *leader)
{
    json_t *entry;
    size_t i;
    json_array_foreach(json_object_get(leader, "away"), i, entry)
    {
        const char *name = json_string_value(entry);
        if (name && strcmp(name, candidate->node->settings.node) == 0)
            return true;
    }
    return false;
}

/* Posts the leader's key; wakes the owner thread only if the key has changed. */
static void post_leader(struct bd_election_candidate *candidate,
                        const struct bd_posted_leader *leader, struct timespec sent_at)
{
    const struct bd_posted_leader *posted = &candidate->posted;
    bool has_changed = leader->revision != posted->revision ||
                       leader->dismisses_this_node != posted->dismisses_this_node ||
                       strcmp(leader->name, posted->name) != 0;
    struct bd_event *event = bd_event_new(BD_EVENT_LEADER_OBSERVED);
    snprintf(event->leader.name, sizeof event->leader.name, "%s", leader->name);
    event->leader.revision = leader->revision;
    event->leader.sent_at = sent_at;
    event->leader.dismisses_this_node = leader->dismisses_this_node;
    candidate->posted = *leader;
    if (has_changed)
        bd_event_post(candidate->node, event);
    else
        bd_event_post_without_wakeup(candidate->node, event);
}

/* Returns who holds the lease, and posts the leader to the owner thread. The key's value names the
 * leader's node and the nonce of its acquisition. */
static enum bd_lease_holder read_holder(struct bd_election_candidate *candidate,
                                        const struct bd_kv_change *pair, struct timespec sent_at)
{
    const char *node = json_string_value(json_object_get(pair->value, "node"));
    const char *nonce = json_string_value(json_object_get(pair->value, "nonce"));
    if (!node)
        return BD_LEASE_HOLDER_OTHER_NODE;
    struct bd_posted_leader leader = {.revision = pair->revision,
                                      .dismisses_this_node =
                                          dismisses_this_node(candidate, pair->value)};
    snprintf(leader.name, sizeof leader.name, "%s", node);
    post_leader(candidate, &leader, sent_at);
    if (strcmp(node, candidate->node->settings.node) != 0)
        return BD_LEASE_HOLDER_OTHER_NODE;
    bool is_this_process = nonce && strcmp(nonce, candidate->nonce) == 0;
    return is_this_process ? BD_LEASE_HOLDER_THIS_PROCESS : BD_LEASE_HOLDER_EARLIER_PROCESS;
}

enum bd_lease_holder bd_lease_observe(struct bd_election_candidate *candidate, uint64_t *revision)
{
    json_t *answer = NULL;
    struct bd_kv_change pair;
    uint64_t grant;
    enum bd_lease_holder holder = BD_LEASE_HOLDER_UNKNOWN;
    struct timespec sent_at = bd_now();
    long status = call_store(candidate, "GET", BD_PATH_KEYS "/leader", NULL, &answer);
    if (status == BD_KV_NOT_FOUND) {
        const struct bd_posted_leader no_leader = {0};
        holder = BD_LEASE_HOLDER_NONE;
        post_leader(candidate, &no_leader, sent_at);
    } else if (status == BD_KV_OK && bd_wire_read_pair(answer, &pair, &grant)) {
        *revision = pair.revision;
        holder = read_holder(candidate, &pair, sent_at);
    }
    json_decref(answer);
    return holder;
}

/* ---- acquiring ---- */

static bool create_grant(struct bd_election_candidate *candidate)
{
    json_t *answer = NULL;
    char *body = bd_wire_write_grant_request(candidate->ttl_s);
    candidate->grant_renewed_at = bd_now();
    long status = call_store(candidate, "POST", BD_PATH_GRANTS, body, &answer);
    free(body);
    candidate->grant = status == BD_KV_OK ? bd_wire_read_grant(answer) : 0;
    json_decref(answer);
    return candidate->grant != 0;
}

static void generate_nonce(struct bd_election_candidate *candidate)
{
    unsigned char random_bytes[8] = {0};
    if (getrandom(random_bytes, sizeof random_bytes, GRND_NONBLOCK) !=
        (ssize_t)sizeof random_bytes) {
        for (size_t i = 0; i < sizeof random_bytes; i++)
            random_bytes[i] = (unsigned char)gsl_rng_uniform_int(candidate->rng, 256);
    }
    char *nonce = candidate->nonce;
    const size_t capacity = sizeof candidate->nonce;
    int len = snprintf(nonce, capacity, "%lld-", (long long)bd_now().tv_nsec);
    for (size_t i = 0; i < sizeof random_bytes; i++)
        len += snprintf(nonce + len, capacity - (size_t)len, "%02x", random_bytes[i]);
}

uint64_t bd_lease_acquire(struct bd_election_candidate *candidate, uint64_t revision)
{
    struct bd_txn txn;
    json_t *answer = NULL;
    uint64_t term = 0;
    generate_nonce(candidate);
    if (!create_grant(candidate) || !bd_txn_begin(&txn))
        return 0;
    bd_txn_compare(&txn, "leader", revision);
    bd_txn_put(
        &txn, "leader",
        json_pack("{s:s,s:s}", "node", candidate->node->settings.node, "nonce", candidate->nonce),
        candidate->grant);
    char *body = bd_txn_finish(&txn);
    if (!body)
        return 0;
    long status = call_store(candidate, "POST", BD_PATH_COMMIT, body, &answer);
    free(body);
    if (status == BD_KV_OK)
        term = bd_wire_read_store_revision(answer);
    json_decref(answer);
    if (status == BD_KV_OK || status == BD_KV_CONFLICT || status == BD_KV_REJECTED)
        return term;
    /* without an answer, the key itself shows whether it was written */
    uint64_t key_revision = 0;
    bool is_acquired = bd_lease_observe(candidate, &key_revision) == BD_LEASE_HOLDER_THIS_PROCESS;
    return is_acquired ? key_revision : 0;
}

/* ---- renewing ---- */

enum bd_grant_state bd_lease_renew(struct bd_election_candidate *candidate)
{
    char path[PATH_BYTES];
    json_t *answer = NULL;
    struct timespec sent_at = bd_now();
    snprintf(path, sizeof path, BD_PATH_GRANTS "/%llu" BD_PATH_RENEW,
             (unsigned long long)candidate->grant);
    long status = call_store(candidate, "POST", path, "{}", &answer);
    json_decref(answer);
    if (status == BD_KV_NOT_FOUND)
        return BD_GRANT_EXPIRED;
    if (status != BD_KV_OK)
        return BD_GRANT_UNKNOWN;
    candidate->grant_renewed_at = sent_at;
    struct bd_event *event = bd_event_new(BD_EVENT_LEASE_RENEWED);
    event->renewed.grant = candidate->grant;
    event->renewed.sent_at = sent_at;
    bd_event_post(candidate->node, event);
    return BD_GRANT_RENEWED;
}

void bd_lease_revoke(struct bd_election_candidate *candidate)
{
    char path[PATH_BYTES];
    json_t *answer = NULL;
    snprintf(path, sizeof path, BD_PATH_GRANTS "/%llu", (unsigned long long)candidate->grant);
    (void)call_store(candidate, "DELETE", path, NULL, &answer);
    json_decref(answer);
    candidate->grant = 0;
}
