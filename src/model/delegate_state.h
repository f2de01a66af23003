/* Delegates: a follower's own record of the machines whose heartbeats it answers for the leader,
 * and the leader's view of all such records. Changed by src/workers/ only. */
#ifndef BD_DELEGATE_STATE_H
#define BD_DELEGATE_STATE_H
#include "brambledoor/settings.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <time.h>
#include <uthash.h>

#define BD_PROBES_MAX 64

/* Parts of a delegate's record, a value each. How many are used follows from the limits of the
 * key-value store: see machines_max in delegate_record.c. */
#define BD_DELEGATE_PARTS_MAX 32

struct bd_waiting_heartbeat;

/* A machine that we answer for the leader. */
struct bd_served_machine {
    UT_hash_handle hh; /* by id */
    char id[BD_LABEL_BYTES];
    struct timespec last_heartbeat_at;
    bool is_sent;      /* in a record that was sent to the store, */
    bool is_confirmed; /* ... and in one that was written */
    bool is_logged;    /* its first reply is in the decision log */
};

struct bd_delegate {
    uint64_t term;            /* the fencing token of our replies */
    uint64_t leader_revision; /* of the leader's key, that our record is conditional on */
    uint64_t revision;        /* of our record */
    bool revision_known, txn_in_flight;
    struct timespec confirmed_until, next_write;

    /* The leader's key names us among the delegates that are not needed: since which revision of
     * the key, and when that was first read. */
    bool dismissed;
    uint64_t dismissed_revision;
    struct timespec dismissed_since;

    struct bd_served_machine *served; /* hash by id */
    uint32_t nserved;
    uint32_t parts;           /* of the record, that were ever written */
    size_t longest_id_length; /* among the machines served so far */
    struct bd_waiting_heartbeat *waiting_heartbeats;

    /* Workers that were sent to the leader, to see whether it can be reached. */
    char probes[BD_PROBES_MAX][BD_LABEL_BYTES];
    uint32_t nprobes, probe_batch;
    struct timespec probes_at;
    struct timespec serving_since;
};

/* A delegate's record, or a part of it, as the leader knows it. */
struct bd_delegate_record {
    char key[BD_LABEL_BYTES]; /* without the prefix: the node, or the node, a slash and the part */
    uint64_t revision;
    struct timespec changed_at;
    struct timespec dismissed_at; /* one of its workers was last heard here then */
    struct timespec announced_at; /* the leader's key was last to be rewritten for it then */
};

/* As leader: the delegates' records as last read. */
struct bd_delegate_view {
    struct timespec read_at;
    char stale_key[BD_LABEL_BYTES]; /* the key of a record that is not confirmed any more */
    struct bd_delegate_record records[(BD_PEERS_MAX + 1) * BD_DELEGATE_PARTS_MAX];
    int count;
};
#endif
