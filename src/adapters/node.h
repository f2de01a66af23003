/* One running controller: the owner thread and the adapters around it. */
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
    struct bd_settings settings;
    struct bd_log log;
    struct bd_queue events, to_commit, to_users, to_cloud;
    struct bd_api_server *api_server;
    struct bd_core *core;
    /* what adapters need to know of the owner's state */
    atomic_bool leading, want_barrier, types_known, step_down, up, page_out;
    atomic_bool resign;          /* with step_down: the grant is to be ended */
    atomic_bool want_drain_sets; /* the records of drains' machines are to be read */
    atomic_bool reads_refused;   /* the newest refresh of the records was not served */
    atomic_ullong store_revision;
    struct bd_queue reader_wake;
    struct bd_peer_link *links[BD_MAX_PEERS];
    struct bd_metrics *metrics;
    struct bd_worker_client *worker_client;
    struct bd_heartbeat_cache *heartbeats;
    struct timespec next_metrics, metrics_since, commit_sent;
    struct bd_event *pending_acquisition;
    /* what the other controllers are told of us */
    pthread_mutex_t status_lock;
    struct bd_frame status;
    struct bd_progress *progress;
    uint32_t nprogress, cap_progress;
    struct timespec next_status;
};

int bd_api_start(struct bd_node *node);
void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after);
int bd_cloud_start(struct bd_node *node);
/* sockets for our own connections, beside those to workers: other controllers, state service, cloud
 */
#define BD_SOCKETS_OWN 64
int bd_worker_client_start(struct bd_node *node);
/* A direct command; takes the effect over. The answer comes as BD_EVENT_DIRECT_COMMAND_COMPLETED.
 */
void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect);
/* sockets that it may hold */
int bd_worker_client_sockets(const struct bd_settings *settings);
int bd_transport_start(struct bd_node *node);
/* A frame for a peer, sent with the next flush. False: dropped, nothing will come back. */
bool bd_transport_send(struct bd_node *node, int peer, const struct bd_frame *frame);
void bd_transport_flush(struct bd_node *node);
struct sockaddr_in;
bool bd_parse_addr(const char *text, struct sockaddr_in *out);
#endif
