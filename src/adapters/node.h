/* One running controller: the state of the owner thread, and the state shared between that thread
 * and the adapters.
 *
 * Created and started by runtime/controller.c; it and all its threads live as long as the process.
 * The sections of struct bd_node say which thread owns their fields. Shared fields are atomic, a
 * queue, or protected by a lock. */
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
    struct bd_event *pending_acquisition; /* deferred until the replica has the term's revision */
    struct timespec next_metrics_report_at, metrics_period_start; /* of the metrics in the log */
    struct timespec next_status_update_at;                        /* of the status for peers */
    struct timespec commit_queued_at; /* when the leader's newest transaction was queued */

    /* ---- queues between the threads ---- */
    struct bd_queue events;         /* to the owner thread: struct bd_event */
    struct bd_queue leader_txns;    /* to the leader's writer: struct bd_effect */
    struct bd_queue user_txns;      /* to the users' writers: struct bd_effect */
    struct bd_queue cloud_effects;  /* to the cloud thread: struct bd_effect */
    struct bd_queue reader_wakeups; /* wakes the key-value store's reader */

    /* ---- published by the owner thread for the adapters ---- */
    atomic_bool is_leading;
    atomic_bool is_healthy; /* the answer to health checks */
    atomic_bool are_machine_types_known;
    atomic_ullong replica_revision;   /* the store's revision up to which the replica is complete */
    atomic_bool is_barrier_requested; /* a read waits for a refresh that is not sent yet */
    atomic_bool needs_drain_machine_records; /* for the key-value store's reader */
    /* for the key-value store's reader: a large answer was freed */
    atomic_bool is_heap_trim_wanted;
    atomic_bool step_down_requested; /* for the election: the term is over */
    atomic_bool must_revoke_grant; /* with step_down_requested: this node's grant is still valid */

    /* ---- shared by the key-value store's reader with the owner thread and the election ---- */
    atomic_bool is_page_pending;    /* a page of the jobs' records is posted and not applied yet */
    atomic_bool has_refresh_failed; /* the store refused the newest refresh, or did not answer */

    /* ---- adapters: constant once started ---- */
    struct bd_api_server *api_server;
    struct bd_worker_client *worker_client;
    struct bd_peer_link *links[BD_PEERS_MAX]; /* one for each of the settings' peers */

    /* ---- peer status: written by the owner thread, read by the transport's threads ---- */
    pthread_mutex_t status_lock; /* protects the fields below; initialized by bd_transport_start */
    struct bd_frame status;
    struct bd_job_progress *job_progress; /* of the jobs, while this node leads */
    uint32_t job_progress_count, job_progress_capacity;
};

/* Sockets reserved for connections to peers, the key-value store and the cloud. */
#define BD_SOCKETS_RESERVED 64

#endif
