/* The heartbeats of workers that this controller forwards to the leader, and the workers that it
 * redirected to the leader. Changed by src/workers/; core/ sets the first id. */
#ifndef BD_FORWARDING_STATE_H
#define BD_FORWARDING_STATE_H
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <time.h>
#include <uthash.h>

#define BD_REDIRECTED_WORKERS_MAX 8192

/* A heartbeat that was forwarded and awaits the leader's reply. */
struct bd_forwarded_heartbeat {
    uint64_t id;
    void *request;
    struct bd_heartbeat *heartbeat;
    struct timespec deadline;
    struct bd_forwarded_heartbeat *next;
};

/* A worker that was redirected to the leader. A full table drops its oldest entry. */
struct bd_redirected_worker {
    UT_hash_handle hh; /* by id */
    char id[BD_LABEL_BYTES];
    struct timespec redirected_at; /* once it has returned: when it did */
    bool has_returned;             /* it came back, so its heartbeats are forwarded */
};

struct bd_forwarding {
    struct bd_forwarded_heartbeat *awaiting_reply;
    uint64_t last_id;
    struct bd_redirected_worker *redirected;
    /* The leader reported that it does not receive its workers' heartbeats. Until this time
     * heartbeats are forwarded, since workers redirected to the leader would not reach it. */
    struct timespec inbound_partition_until;
    /* heartbeats dropped since the last log line, because no peer in the settings forwarded them */
    uint32_t dropped_from_unknown;
    struct timespec next_drop_log_at;
};
#endif
