/* The replica of the jobs' records, and the reads that wait for a read barrier. Changed by
 * src/jobs/, which owns it, and by the core's step, which starts the barrier. */
#ifndef BD_REPLICA_STATE_H
#define BD_REPLICA_STATE_H
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct bd_admission;

/* What a read behind a barrier, a look-up, or a user's transaction is for. */
enum bd_read_purpose {
    BD_READ_STATUS, /* also a submission's transaction */
    BD_READ_CANCEL,
    BD_READ_INVALID_SUBMISSION,
    BD_READ_IMPOSSIBLE_SUBMISSION,
    BD_READ_ADMISSION, /* a submission whose parents are not all in memory */
    BD_READ_PARENT     /* the graph: nobody waits for a reply */
};

/* A user's request that waits for a read barrier. */
struct bd_pending_read {
    void *request;
    char id[BD_JOB_ID_BYTES];
    enum bd_read_purpose purpose;
    struct bd_admission *accept; /* owned; NULL: no submission */
    struct bd_pending_read *next;
};

/* The state of the replica; the records themselves are core->jobs. */
struct bd_replica {
    uint64_t store_revision; /* up to which all changes have been applied */
    bool ready;              /* all records have been listed once */
    bool evicted;            /* some old final records are not in memory any more */
    struct timespec next_evict;
    struct timespec refreshed_at;    /* when the newest refresh that was answered was sent */
    struct bd_pending_read *waiting; /* reads for the next read barrier */
    struct bd_pending_read *asked;   /* reads for the barrier in flight */
    bool barrier_in_flight;          /* a barrier is in flight */
};
#endif
