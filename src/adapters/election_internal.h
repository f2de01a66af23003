/* Shared by the files of the election: this node as a candidate, and its calls to the key-value
 * store. Used by the election's thread only. */
#ifndef BD_ELECTION_INTERNAL_H
#define BD_ELECTION_INTERNAL_H
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct bd_http;
struct bd_node;

/* The leader's key as last posted to the owner thread. */
struct bd_posted_leader {
    char name[BD_LABEL_BYTES]; /* of the leader's node; empty: there is no leader */
    uint64_t revision;
    bool dismisses_this_node; /* the leader no longer needs this node as a delegate */
};

struct bd_election_candidate {
    struct bd_node *node;
    struct bd_http *http;
    gsl_rng *rng;
    double ttl_s;               /* of the grants */
    char nonce[BD_LABEL_BYTES]; /* of this process's newest acquisition */
    uint64_t grant;
    struct timespec grant_renewed_at; /* when its creation or last renewal was sent */
    bool is_leading;
    struct bd_posted_leader posted;
    struct timespec liveness_sent_at;
};

/* Who holds the lease. The values appear in the log. */
enum bd_lease_holder {
    BD_LEASE_HOLDER_UNKNOWN = 0, /* the store did not answer */
    BD_LEASE_HOLDER_NONE = 1,
    BD_LEASE_HOLDER_THIS_PROCESS = 2,
    BD_LEASE_HOLDER_EARLIER_PROCESS = 3, /* acquired by an earlier process of this node */
    BD_LEASE_HOLDER_OTHER_NODE = 4
};

enum bd_grant_state { BD_GRANT_RENEWED, BD_GRANT_EXPIRED, BD_GRANT_UNKNOWN };

/* The time limit of one call of the election, in seconds. */
double bd_election_call_timeout_s(const struct bd_election_candidate *candidate);

/* ---- the lease (election_lease.c) ---- */

/* Reads the leader's key and posts it to the owner thread. *revision: the key's revision; unchanged
 * if there is no key or no answer. */
enum bd_lease_holder bd_lease_observe(struct bd_election_candidate *candidate, uint64_t *revision);
/* Writes the leader's key on a new grant, on condition that the key has this revision; 0: that
 * there is no key. Returns the term, or 0 if the lease is not known to be acquired. */
uint64_t bd_lease_acquire(struct bd_election_candidate *candidate, uint64_t revision);
/* Renews the grant, and posts the renewal to the owner thread if it succeeded. */
enum bd_grant_state bd_lease_renew(struct bd_election_candidate *candidate);
/* Revokes the grant, so that another node can lead before the grant expires. Tried only once: the
 * grant is not renewed any more, and expires at the latest after its TTL. */
void bd_lease_revoke(struct bd_election_candidate *candidate);

/* ---- liveness records (election_liveness.c) ---- */

/* Writes this node's liveness record at an interval, on condition that the leader's key still has
 * the revision. The record shows that this node could write to the store during that leader's term:
 * see workers/autonomous_zone.c. */
void bd_liveness_write(struct bd_election_candidate *candidate, uint64_t leader_revision);
#endif
