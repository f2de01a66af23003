/* The jobs' records in memory, and the reads that wait for a read barrier. Changed by src/jobs/
 * only.
 */
#ifndef BD_REPLICA_STATE_H
#define BD_REPLICA_STATE_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct bd_admission;

/* What a read behind a barrier, or a user's transaction, was made for. */
enum bd_read_purpose {
    BD_READ_STATUS,
    BD_READ_CANCEL,
    BD_READ_INVALID_SUBMISSION,
    BD_READ_IMPOSSIBLE_SUBMISSION,
    BD_READ_ADMISSION, /* a submission that names jobs which are not in memory */
    BD_READ_PARENT     /* nobody: a record that a job waits for */
};

struct bd_pending_read { /* a poll that waits for a read barrier */
    void *request;
    char id[BD_ID];
    enum bd_read_purpose purpose;
    struct bd_admission *accept;
    struct bd_pending_read *next;
};

/* The jobs' records in memory. Owned by replica.c. */
struct bd_replica {
    uint64_t store_revision;
    bool ready;
    bool evicted; /* some old final records are not in memory any more */
    struct timespec next_evict;
    struct timespec refreshed_at; /* when the newest refresh that was answered was sent */
    struct bd_pending_read *waiting,
        *asked; /* questions that wait for a read barrier; for the one under way */
    bool barrier_out;
};
#endif
