/* The election's thread: follows the leader's key, or leads and renews the lease. */
#include "adapters/election.h"
#include "adapters/election_internal.h"
#include "adapters/event.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/thread.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "wire/wire.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <gsl/gsl_rng.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define FOLLOW_INTERVAL_S 0.3
/* The interval is multiplied by a random factor from MIN to MIN + RANGE. */
#define FOLLOW_JITTER_MIN 0.7
#define FOLLOW_JITTER_RANGE 0.6
#define LOAD_RETRY_S 0.1
#define RENEWALS_PER_TTL 6.0
#define CALLS_PER_TTL 3 /* limits the time of each call */

double bd_election_call_timeout_s(const struct bd_election_candidate *candidate)
{
    return candidate->ttl_s / CALLS_PER_TTL;
}

/* ---- acquiring leadership ---- */

static bool load_commit_sequence(struct bd_election_candidate *candidate,
                                 struct bd_acquisition *acquisition)
{
    json_t *answer = NULL;
    struct bd_kv_change pair;
    uint64_t grant;
    long status = bd_kv_call(candidate->node, candidate->http, "GET", BD_PATH_KEYS "/w", NULL,
                             bd_election_call_timeout_s(candidate), &answer);
    if (status == BD_KV_OK && bd_wire_read_pair(answer, &pair, &grant))
        acquisition->commit_sequence_revision = pair.revision;
    json_decref(answer);
    return status == BD_KV_OK || status == BD_KV_NOT_FOUND;
}

static bool load_receipts(struct bd_election_candidate *candidate,
                          struct bd_acquisition *acquisition)
{
    acquisition->receipts = bd_kv_list(candidate->node, candidate->http, "r/");
    return acquisition->receipts != NULL;
}

static bool load_intents(struct bd_election_candidate *candidate,
                         struct bd_acquisition *acquisition)
{
    acquisition->intents = bd_kv_list(candidate->node, candidate->http, "i/");
    return acquisition->intents != NULL;
}

/* Loads the records of earlier terms, and renews the grant after each step. False: the grant has
 * expired. */
static bool load_earlier_terms(struct bd_election_candidate *candidate,
                               struct bd_acquisition *acquisition)
{
    static bool (*const loaders[])(struct bd_election_candidate *, struct bd_acquisition *) = {
        load_commit_sequence, load_receipts, load_intents};
    size_t nloaded = 0;
    while (nloaded < sizeof loaders / sizeof loaders[0]) {
        bool is_loaded = loaders[nloaded](candidate, acquisition);
        nloaded += is_loaded;
        if (bd_lease_renew(candidate) == BD_GRANT_EXPIRED)
            return false;
        if (!is_loaded)
            bd_sleep(LOAD_RETRY_S);
    }
    return true;
}

static void acquire_leadership(struct bd_election_candidate *candidate, uint64_t revision)
{
    uint64_t term = bd_lease_acquire(candidate, revision);
    if (term == 0)
        return;
    bd_log_write(&candidate->node->log, BD_LOG_INFO, "leadership acquired, term %llu",
                 (unsigned long long)term);
    struct bd_event *event = bd_event_new(BD_EVENT_LEADERSHIP_ACQUIRED);
    event->acquired.acquired_at = candidate->grant_renewed_at;
    event->acquired.acquisition.term = term;
    event->acquired.acquisition.grant = candidate->grant;
    snprintf(event->acquired.nonce, sizeof event->acquired.nonce, "%s", candidate->nonce);
    if (!load_earlier_terms(candidate, &event->acquired.acquisition)) {
        bd_event_free(event);
        return;
    }
    event->acquired.acquisition.renewal_sent_at = candidate->grant_renewed_at;
    atomic_store(&candidate->node->step_down_requested, false);
    candidate->is_leading = true;
    bd_event_post(candidate->node, event);
    (void)bd_queue_put(&candidate->node->reader_wakeups, candidate);
}

/* ---- the thread ---- */

/* A node that cannot read the jobs' records could not launch tasks, so it does not try to lead. */
static void follow_once(struct bd_election_candidate *candidate)
{
    uint64_t revision = 0;
    enum bd_lease_holder holder = bd_lease_observe(candidate, &revision);
    bool can_lead = !atomic_load(&candidate->node->has_refresh_failed);
    if (holder == BD_LEASE_HOLDER_OTHER_NODE)
        bd_liveness_write(candidate, revision);
    else if (holder != BD_LEASE_HOLDER_UNKNOWN && can_lead)
        acquire_leadership(candidate, holder == BD_LEASE_HOLDER_NONE ? 0 : revision);
    if (candidate->is_leading)
        return;
    /* random, so that candidates do not collide repeatedly */
    double jitter = FOLLOW_JITTER_MIN + FOLLOW_JITTER_RANGE * gsl_rng_uniform(candidate->rng);
    bd_sleep(FOLLOW_INTERVAL_S * jitter);
}

/* Makes this node a follower, after the owner thread has ended the term. */
static void step_down(struct bd_election_candidate *candidate)
{
    candidate->is_leading = false;
    if (atomic_exchange(&candidate->node->must_revoke_grant, false))
        bd_lease_revoke(candidate);
}

static void lose_leadership(struct bd_election_candidate *candidate)
{
    uint64_t revision = 0;
    enum bd_lease_holder holder = bd_lease_observe(candidate, &revision);
    bd_log_write(&candidate->node->log, BD_LOG_INFO,
                 "grant of the leader lease has expired, lease holder %d", (int)holder);
    candidate->is_leading = false;
    bd_event_post(candidate->node, bd_event_new(BD_EVENT_LEADERSHIP_LOST));
}

static void lead_once(struct bd_election_candidate *candidate)
{
    if (atomic_exchange(&candidate->node->step_down_requested, false)) {
        step_down(candidate);
        return;
    }
    if (bd_lease_renew(candidate) == BD_GRANT_EXPIRED) {
        lose_leadership(candidate);
        return;
    }
    bd_sleep(candidate->ttl_s / RENEWALS_PER_TTL);
}

static void *run_election(void *arg)
{
    struct bd_election_candidate *candidate = arg;
    for (;;) {
        if (candidate->is_leading)
            lead_once(candidate);
        else
            follow_once(candidate);
    }
    return NULL;
}

static unsigned long random_seed(const char *node_name)
{
    unsigned long seed = (unsigned long)bd_now().tv_nsec;
    for (const char *p = node_name; *p; p++)
        seed = seed * 31 + (unsigned char)*p;
    return seed;
}

static void candidate_free(struct bd_election_candidate *candidate)
{
    bd_http_free(candidate->http);
    gsl_rng_free(candidate->rng);
    free(candidate);
}

/* NULL: out of memory. */
static struct bd_election_candidate *candidate_new(struct bd_node *node)
{
    struct bd_election_candidate *candidate = calloc(1, sizeof *candidate);
    if (!candidate)
        return NULL;
    candidate->node = node;
    candidate->ttl_s = bd_to_secs(node->settings.leader_ttl);
    candidate->http = bd_http_new(1, bd_metrics_counter(node->metrics, BD_TRAFFIC_ELECTION));
    candidate->rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!candidate->http || !candidate->rng) {
        candidate_free(candidate);
        return NULL;
    }
    gsl_rng_set(candidate->rng, random_seed(node->settings.node));
    return candidate;
}

int bd_election_start(struct bd_node *node)
{
    struct bd_election_candidate *candidate = candidate_new(node);
    if (!candidate)
        return -1;
    int failed = bd_thread_start(run_election, candidate, BD_THREAD_STACK_BYTES);
    if (failed)
        candidate_free(candidate);
    return failed;
}
