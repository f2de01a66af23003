/* Delegates: a follower's own record of the machines that it answers, and the leader's view of all
 * such records. */
#ifndef BD_DELEGATE_STATE_H
#define BD_DELEGATE_STATE_H
#include "brambledoor/settings.h"
#include "wire/wire.h"
#include <time.h>
#include <uthash.h>

#define BD_PROBES 64

/* Parts of a delegate's record, a value each. How many are used follows from the state service's
 * limits: see most_machines in delegate.c. */
#define BD_DELEGATE_PARTS 32

struct bd_waiting_heartbeat;

/* a machine that we answer for the leader */
struct bd_served {
    UT_hash_handle hh; /* by id: thousands of machines check in */
    char id[BD_LABEL];
    struct timespec heard;
    bool confirmed, sent, answered;
};

struct bd_delegate {
    uint64_t term, revision; /* the token of the answers; our record's revision */
    uint64_t leader; /* the revision of the leader's key that the record is conditional on */
    bool revision_known, busy;
    /* the leader's key names us among the delegates that it needs no more: the key's revision, and
     * when we first saw it */
    bool dismissed;
    uint64_t dismissed_at;
    struct timespec dismissed_since;
    struct timespec confirmed_until, next_confirm;
    struct bd_served *served; /* hash by id */
    uint32_t nserved, parts;  /* parts of the record that were ever written */
    size_t longest;           /* bytes of the longest of their names so far */
    struct bd_waiting_heartbeat *asking;
    /* workers sent to the leader, to see whether it can be reached */
    char probes[BD_PROBES][BD_LABEL];
    uint32_t nprobes, batch;
    struct timespec probes_at, since;
};

struct bd_delegate_seen {
    char key[BD_LABEL]; /* the record's, without its prefix: the node, a slash and the part */
    uint64_t revision;
    struct timespec changed;
    struct timespec dismissed; /* when one of its workers was heard here */
    struct timespec named;     /* when the leader's key was last to be rewritten for it */
};

/* As leader: the delegates' records as last read. Owned by delegate_view.c. */
struct bd_delegate_view {
    struct timespec read_at;
    char stale[BD_LABEL]; /* the key of a record that nobody confirms any more */
    struct bd_delegate_seen seen[(BD_MAX_PEERS + 1) * BD_DELEGATE_PARTS];
    int count;
};
#endif
