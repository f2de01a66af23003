/* Metrics of a controller: traffic counters by kind, and histograms of durations.
 *
 * The controller creates one instance, which lives as long as the process. Counters are
 * thread-safe. Histograms may only be used by the event loop's thread, which also logs and resets
 * counters and histograms at a fixed interval. docs/operations.md explains the log lines.
 */
#ifndef BD_METRICS_H
#define BD_METRICS_H
#include "brambledoor/log.h"
#include <stdatomic.h>
#include <stddef.h>

enum bd_traffic {
    /* requests from workers and users, by type */
    BD_TRAFFIC_HEARTBEAT,
    BD_TRAFFIC_STATUS_READ,
    BD_TRAFFIC_SUBMISSION,
    BD_TRAFFIC_CANCELLATION,
    BD_TRAFFIC_HEALTH,
    BD_TRAFFIC_INVALID,
    /* calls to the key-value store */
    BD_TRAFFIC_REFRESH,  /* refreshes of the replica */
    BD_TRAFFIC_COMMIT,   /* the leader's transactions */
    BD_TRAFFIC_USER_TXN, /* transactions and reads for users and delegates */
    BD_TRAFFIC_ELECTION, /* the leader lease, its renewals, and liveness records */
    /* other calls, and frames between controllers */
    BD_TRAFFIC_CLOUD,
    BD_TRAFFIC_DIRECT_COMMAND, /* direct commands to workers */
    BD_TRAFFIC_PEER_STATUS,    /* peer statuses and job progress */
    BD_TRAFFIC_FORWARD,        /* forwarded heartbeats and replies to them */
    BD_TRAFFIC_KINDS           /* number of kinds */
};

/* Traffic of one kind since the last report. Byte counts cover bodies and frames; headers are
 * counted only where the client library reports their size. */
struct bd_counter {
    atomic_ullong messages;
    atomic_ullong bytes_out;
    atomic_ullong bytes_in;
    atomic_ullong connections; /* connections opened */
    atomic_ullong writes;      /* system calls that sent bytes */
};

/* Why the API server closed a connection. */
enum bd_closing {
    BD_CLOSING_REQUEST_DEADLINE, /* a request was not complete in time */
    BD_CLOSING_ANSWER_DEADLINE,  /* the client did not read the answer in time */
    BD_CLOSING_ROOM,             /* others needed the connection, which had no complete request */
    BD_CLOSINGS                  /* number of reasons */
};

enum bd_timing {
    BD_TIMING_QUEUE, /* from the arrival of an event to its handling by the event loop */
    /* from the arrival of a request to its reply */
    BD_TIMING_HEARTBEAT,
    BD_TIMING_STATUS_READ,
    BD_TIMING_SUBMISSION,
    BD_TIMING_CANCELLATION,
    BD_TIMING_CYCLE,    /* planning of a scheduling cycle and building of its transaction */
    BD_TIMING_COMMIT,   /* from the end of BD_TIMING_CYCLE to the transaction's outcome */
    BD_TIMING_START,    /* from when a job is ready to its first committed launch */
    BD_TIMING_FAILOVER, /* from sending the request that acquires the leader lease until the new
                           leader acts */
    BD_TIMING_DIRECT_COMMAND, /* from the decision to send a direct command to its outcome,
                                 including queueing */
    BD_TIMINGS                /* number of timings */
};

struct bd_metrics;

/* Creates metrics that are all zero. They are never freed. Returns NULL if out of memory. */
struct bd_metrics *bd_metrics_new(void);
/* Returns the counter of a kind, owned by `metrics`; NULL if `metrics` is NULL. */
struct bd_counter *bd_metrics_counter(struct bd_metrics *metrics, enum bd_traffic kind);

/* Counters. If `counter` is NULL, nothing is counted. */

/* Counts one message and its bytes in each direction. */
void bd_count_message(struct bd_counter *counter, size_t bytes_out, size_t bytes_in);
/* Counts opened connections. */
void bd_count_connections(struct bd_counter *counter, unsigned connections);
/* Counts a connection that the API server closed. If `metrics` is NULL, nothing is counted. */
void bd_count_closed(struct bd_metrics *metrics, enum bd_closing reason);
/* Counts one system call that sent bytes. */
void bd_count_write(struct bd_counter *counter);

/* Histograms and reports: event loop's thread only. If `metrics` is NULL, nothing is done. */

/* Adds a duration in seconds; values that are not finite are ignored. */
void bd_metrics_record_duration(struct bd_metrics *metrics, enum bd_timing timing, double seconds);
/* Logs and resets the counters and histograms, which cover the last `interval_s` seconds. */
void bd_metrics_write_report(struct bd_metrics *metrics, const struct bd_log *log,
                             double interval_s);
#endif
