/* The replica of the jobs' records, and the reads that wait for a read barrier. Owned by src/jobs/;
 * core/ sets next_eviction. */
#ifndef BD_REPLICA_STATE_H
#define BD_REPLICA_STATE_H
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct bd_admission;

/* The purpose of a read after a barrier, of a look-up, or of a user's transaction. */
enum bd_request_purpose {
    BD_PURPOSE_STATUS, /* also a submission's transaction */
    BD_PURPOSE_CANCEL,
    BD_PURPOSE_INVALID_SUBMISSION,
    BD_PURPOSE_INFEASIBLE_SUBMISSION,
    BD_PURPOSE_ADMISSION, /* a submission whose parents are not all in memory */
    BD_PURPOSE_PARENT     /* for the dependency graph; no request waits for it */
};

/* A user's request that waits for a read barrier. */
struct bd_pending_read {
    void *request;
    char id[BD_JOB_ID_BYTES];
    enum bd_request_purpose purpose;
    struct bd_admission *admission; /* owned; NULL: no submission */
    struct bd_pending_read *next;
};

/* The state of the replica; the records themselves are core->jobs. */
struct bd_replica {
    uint64_t store_revision; /* all changes up to this revision have been applied */
    bool is_ready;           /* all records have been listed once */
    bool has_evicted_jobs;   /* some old final records are no longer in memory */
    struct timespec next_eviction;
    struct timespec refreshed_at; /* when the newest refresh that was answered was sent */
    struct bd_pending_read *next_barrier_reads; /* reads for the next read barrier */
    struct bd_pending_read *barrier_reads;      /* reads for the barrier in flight */
    bool barrier_in_flight;
};
#endif
