/* One running controller: the owner thread and the adapters around it.
 *
 * Made and started by runtime/controller.c; it lives as long as the process. */
#ifndef BD_NODE_H
#define BD_NODE_H
#include "adapters/event.h"
#include "base/queue.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <stdatomic.h>

struct bd_api_server;
struct bd_metrics;
struct bd_peer_link;
struct bd_worker_client;
struct bd_heartbeat_cache;

struct bd_node {
    struct bd_settings settings; /* constant once it runs */
    struct bd_log log;
    struct bd_metrics *metrics;

    /* ---- owner thread only ---- */
    struct bd_core *core;
    struct bd_heartbeat_cache *heartbeats;
    struct bd_event *pending_acquisition; /* a term that waits for the replica */
    struct timespec next_metrics, metrics_since, next_status;
    struct timespec commit_sent; /* when the leader's transaction was handed to its thread */

    /* ---- queues between the threads ---- */
    struct bd_queue events;                        /* to the owner thread */
    struct bd_queue to_commit, to_users, to_cloud; /* effects, to the adapters' threads */
    struct bd_queue reader_wake;                   /* wakes the replica's reader */

    /* ---- what the owner thread publishes, and what adapters tell each other ---- */
    atomic_bool leading, up, types_known;
    atomic_bool want_barrier;    /* a read waits for a refresh that is sent from now on */
    atomic_bool want_drain_sets; /* the records of drains' machines are to be read */
    atomic_bool step_down;       /* the term is over */
    atomic_bool resign;          /* with step_down: the grant is to be ended */
    atomic_bool page_out;        /* a page of the jobs' list waits for the owner */
    atomic_bool reads_refused;   /* the newest refresh of the records was not served */
    atomic_ullong store_revision;

    /* ---- adapters ---- */
    struct bd_api_server *api_server;
    struct bd_worker_client *worker_client;
    struct bd_peer_link *links[BD_MAX_PEERS];

    /* ---- what peers are told of us: written by the owner, read by the status thread ---- */
    pthread_mutex_t status_lock; /* of all below */
    struct bd_frame status;
    struct bd_progress *progress;
    uint32_t nprogress, cap_progress;
};

/* Sockets set aside for connections to peers, the key-value store and the cloud. */
#define BD_SOCKETS_RESERVED 64

#endif
