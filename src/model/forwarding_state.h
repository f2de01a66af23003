/* Workers' reports on their way to the leader through us. */
#ifndef BD_FORWARDING_STATE_H
#define BD_FORWARDING_STATE_H
#include "wire/wire.h"
#include <time.h>
#include <uthash.h>

#define BD_SENT_AWAY 8192

/* a report that waits for the leader's answer */
struct bd_forward {
    uint64_t id;
    void *request;
    struct bd_heartbeat *heartbeat;
    struct timespec until;
    struct bd_forward *next;
};

struct bd_away { /* a worker that we sent to the leader; beyond BD_SENT_AWAY the oldest go */
    UT_hash_handle hh;
    char id[BD_LABEL];
    struct timespec at;
    bool back; /* it came back: its reports are passed on */
};

/* Owned by forwarding.c. */
struct bd_forwarding {
    struct bd_forward *waiting;
    uint64_t last_id;
    struct bd_away *sent_away;
    struct timespec
        inbound_partition_until; /* the leader's workers are better passed on than sent to it */
};
#endif
