/* What the files of the election share: the candidate that we are, and its calls to the store. All
 * of it belongs to the election's thread. */
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

/* The leader's key as the owner thread knows it. */
struct bd_posted_leader {
    char name[BD_LABEL_BYTES];
    uint64_t revision;
    bool dismisses_this_node;
};

struct bd_candidate {
    struct bd_node *node;
    struct bd_http *http;
    gsl_rng *rng;
    double ttl_s;               /* of a grant */
    char nonce[BD_LABEL_BYTES]; /* of our newest acquisition */
    uint64_t grant;
    struct timespec grant_renewed_at; /* when the request that made or renewed it was sent */
    bool leading;
    struct bd_posted_leader posted;
    struct timespec liveness_sent_at;
};

/* Who holds the lease. The numbers appear in the log. */
enum bd_lease_view {
    BD_LEASE_UNKNOWN = 0, /* the store did not answer */
    BD_LEASE_FREE = 1,
    BD_LEASE_OURS = 2,
    BD_LEASE_OURS_BEFORE_RESTART = 3, /* of a former process of this node */
    BD_LEASE_OTHER = 4
};

enum bd_grant_state { BD_GRANT_RENEWED, BD_GRANT_EXPIRED, BD_GRANT_UNKNOWN };

/* Seconds that one call of the election may take. */
double bd_election_timeout_s(const struct bd_candidate *candidate);

/* ---- the lease (election_lease.c) ---- */

/* Reads the leader's key and posts what it shows; its revision goes into *revision, which is left
 * alone if there is no key. */
enum bd_lease_view bd_lease_observe(struct bd_candidate *candidate, uint64_t *revision);
/* Writes the leader's key on a new grant if its revision is still this one; 0: if there is no key.
 * Returns the term, or 0 if the lease was not acquired as far as we know. */
uint64_t bd_lease_acquire(struct bd_candidate *candidate, uint64_t revision);
/* Renews the grant, and posts it if that succeeded. */
enum bd_grant_state bd_lease_renew(struct bd_candidate *candidate);
/* Ends the grant, which would otherwise prevent others from leading until it expires. It is
 * attempted once: we renew it no more. */
void bd_lease_end(struct bd_candidate *candidate);

/* ---- liveness records (election_liveness.c) ---- */

/* Records in the store, at an interval, that we are in touch with it under the leader whose key has
 * the revision: see workers/autonomous_zone.c. */
void bd_liveness_write(struct bd_candidate *candidate, uint64_t leader_revision);
#endif
