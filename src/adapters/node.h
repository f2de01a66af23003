/* One running controller: the state of the owner thread, and what it shares with the adapters.
 *
 * Made and started by runtime/controller.c; it and all its threads live as long as the process.
 * Each field below says which thread it belongs to; what is shared is atomic, a queue, or under a
 * lock. */
#ifndef BD_NODE_H
#define BD_NODE_H
#include "base/queue.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "wire/frame.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <time.h>

struct bd_api_server;
struct bd_core;
struct bd_event;
struct bd_heartbeat_cache;
struct bd_metrics;
struct bd_peer_link;
struct bd_worker_client;

struct bd_node {
    struct bd_settings settings; /* constant once the threads run */
    struct bd_log log;
    struct bd_metrics *metrics;

    /* ---- owner thread only ---- */
    struct bd_core *core;
    struct bd_heartbeat_cache *heartbeat_cache;
    struct bd_event *pending_acquisition; /* a lease that we hold, until the replica is as new */
    struct timespec next_metrics_report_at, metrics_period_start; /* lines of the log */
    struct timespec next_status_update_at; /* update of the status for peers */
    struct timespec commit_queued_at;      /* when the leader's transaction was queued */

    /* ---- queues between the threads ---- */
    struct bd_queue events;         /* to the owner thread: struct bd_event */
    struct bd_queue leader_txns;    /* struct bd_effect, to the leader's writer, */
    struct bd_queue user_txns;      /* ... the users' writers, */
    struct bd_queue cloud_effects;  /* ... and the cloud thread */
    struct bd_queue reader_wakeups; /* wakes the key-value store's reader */

    /* ---- published by the owner thread for the adapters ---- */
    atomic_bool is_leading;              /* we lead */
    atomic_bool is_healthy;              /* healthy: the answer to health checks */
    atomic_bool are_machine_types_known; /* the cloud's machine types are known */
    atomic_ullong replica_revision;      /* up to which the replica is complete */
    atomic_bool is_barrier_requested;    /* a read is pending on a refresh that is yet to be sent */
    atomic_bool
        needs_drain_machine_records; /* the records of the drains' machines are to be read */
    atomic_bool step_down_requested; /* request to the election: the term is over */
    atomic_bool must_revoke_grant;   /* with step_down: the grant is to be ended */

    /* ---- between the reader and others ---- */
    atomic_bool is_page_pending;    /* a page of the jobs' records is posted and not applied yet */
    atomic_bool has_refresh_failed; /* to the election: the newest refresh was not served */

    /* ---- adapters: constant once they are started ---- */
    struct bd_api_server *api_server;
    struct bd_worker_client *worker_client;
    struct bd_peer_link *links[BD_PEERS_MAX]; /* one for each of the settings' peers */

    /* ---- peer status: written by the owner thread, read by the transport's threads ---- */
    pthread_mutex_t status_lock; /* protects all below; made by bd_transport_start */
    struct bd_frame status;
    struct bd_job_progress *job_progress; /* as leader, the jobs' counts */
    uint32_t job_progress_count, job_progress_capacity;
};

/* Sockets set aside for connections to peers, the key-value store and the cloud. */
#define BD_SOCKETS_RESERVED 64

#endif
