/* Delegates: followers that answer heartbeats on behalf of the leader. Each keeps a record of the
 * machines that it answers; the leader keeps a view of all records. Changed by src/workers/.
 * src/leadership/ resets the view at the start and end of a term, and deletes the stale record. */
#ifndef BD_DELEGATE_STATE_H
#define BD_DELEGATE_STATE_H
#include "brambledoor/settings.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <time.h>
#include <uthash.h>

#define BD_PROBES_MAX 64

/* Parts of a delegate's record; each is one value. The number in use follows from the limits of the
 * key-value store: see machines_max in delegate_record.c. */
#define BD_DELEGATE_PARTS_MAX 32

struct bd_waiting_heartbeat;

/* A machine whose heartbeats this delegate answers. */
struct bd_served_machine {
    UT_hash_handle hh; /* by id */
    char id[BD_LABEL_BYTES];
    struct timespec last_heartbeat_at;
    bool is_sent;      /* a record that names it was sent to the store */
    bool is_confirmed; /* a record that names it was committed */
    bool is_logged;    /* the decision log has the first reply to it */
};

/* This controller as a delegate. */
struct bd_delegate {
    uint64_t term;            /* the fencing token of its replies */
    uint64_t leader_revision; /* writes of the record are conditional on this revision of the
                                 leader's key */
    uint64_t revision;        /* revision of the record */
    bool revision_known, txn_in_flight;
    struct timespec confirmed_until; /* the last written record allows replies until then */
    struct timespec next_write;      /* of the record */

    /* The leader's key lists this controller among the delegates that are not needed: the newest
     * revision of the key that does, and when the first read of that revision was sent. */
    bool dismissed;
    uint64_t dismissed_revision;
    struct timespec dismissed_since;

    struct bd_served_machine *served; /* hash by id */
    uint32_t nserved;
    uint32_t parts; /* parts of the record as last written */
    /* longest machine id since the list of served machines was last empty */
    size_t longest_id_length;
    struct bd_waiting_heartbeat *waiting_heartbeats;

    /* Workers that were redirected to the leader as a probe of whether it can be reached. */
    char probes[BD_PROBES_MAX][BD_LABEL_BYTES];
    uint32_t nprobes;
    uint32_t probe_batch; /* workers in a batch of probes */
    struct timespec batch_began_at;
    struct timespec serving_since; /* since when at least one machine is served */
};

/* The leader's view of a delegate's record, or of one part of it. */
struct bd_delegate_record {
    char key[BD_LABEL_BYTES]; /* without the prefix: NODE or NODE/PART */
    uint64_t revision;
    struct timespec changed_at;
    struct timespec dismissed_at; /* last heartbeat of one of its workers that reached the leader */
    struct timespec announced_at; /* last request to rewrite the leader's key for its dismissal */
};

/* The delegates' records as the leader last read them. */
struct bd_delegate_view {
    struct timespec read_sent_at;   /* of the newest answered read; at first: start of the term */
    char stale_key[BD_LABEL_BYTES]; /* key of a record that its delegate no longer writes */
    struct bd_delegate_record records[(BD_PEERS_MAX + 1) * BD_DELEGATE_PARTS_MAX];
    int count;
};
#endif
