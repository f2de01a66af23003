/* What a controller measures of itself: traffic counters by kind, and histograms of durations.
 *
 * Counters may be changed from any thread. Histograms belong to the owner thread, which also writes
 * both to the log at a fixed interval and starts them anew. docs/operations.md explains the lines.
 */
#ifndef BD_METRICS_H
#define BD_METRICS_H
#include "brambledoor/log.h"
#include <stdatomic.h>
#include <stddef.h>

enum bd_traffic {
    BD_TRAFFIC_HEARTBEAT, /* requests of workers and users, by what they ask for */
    BD_TRAFFIC_STATUS_READ,
    BD_TRAFFIC_SUBMISSION,
    BD_TRAFFIC_CANCELLATION,
    BD_TRAFFIC_HEALTH,
    BD_TRAFFIC_INVALID,
    BD_TRAFFIC_FOLLOW,   /* calls to the state service: refreshes of the replica, */
    BD_TRAFFIC_COMMIT,   /* ... the leader's transactions, */
    BD_TRAFFIC_USER,     /* ... transactions and look-ups for users and delegates, */
    BD_TRAFFIC_ELECTION, /* ... lease, its renewals and liveness records */
    BD_TRAFFIC_CLOUD,
    BD_TRAFFIC_DIRECT,      /* commands sent to workers */
    BD_TRAFFIC_PEER_STATUS, /* frames between controllers: heartbeats with jobs' counts, */
    BD_TRAFFIC_FORWARD,     /* ... and reports passed on, with their answers */
    BD_TRAFFIC_KINDS
};

/* Out and in are bytes of bodies and frames; headers are counted only where the client library says
 * how many they were. */
struct bd_counter {
    atomic_ullong messages, bytes_out, bytes_in, connections, writes;
};

enum bd_timing {
    BD_TIMING_QUEUE, /* from a command's arrival to its handling by the owner thread */
    BD_TIMING_HEARTBEAT,
    BD_TIMING_STATUS_READ, /* from a request's arrival to its answer */
    BD_TIMING_SUBMISSION,
    BD_TIMING_CANCELLATION,
    BD_TIMING_CYCLE,  /* planning a round and building its transaction */
    BD_TIMING_COMMIT, /* from there to the transaction's outcome */
    BD_TIMING_START,  /* from a job's readiness to its first committed start */
    BD_TIMING_FAILOVER,
    BD_TIMING_DIRECT, /* from a direct command's decision to its outcome, our own queue included */
    BD_TIMINGS
};

struct bd_metrics;

/* NULL: out of memory */
struct bd_metrics *bd_metrics_new(void);
void bd_metrics_free(struct bd_metrics *metrics);
struct bd_counter *bd_metrics_counter(struct bd_metrics *metrics, enum bd_traffic kind);
/* One message of a kind; `c` may be NULL. */
void bd_count_message(struct bd_counter *c, size_t bytes_out, size_t bytes_in);
void bd_count_connections(struct bd_counter *c, unsigned n);
void bd_count_write(struct bd_counter *c);
/* Owner thread only; `m` may be NULL. */
void bd_metrics_time(struct bd_metrics *metrics, enum bd_timing timing, double seconds);
/* Writes what was gathered in the last `seconds` to the log and starts anew. */
void bd_metrics_report(struct bd_metrics *metrics, const struct bd_log *log, double seconds);
#endif
