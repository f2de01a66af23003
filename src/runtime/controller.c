/* Constructs a controller and starts its adapters, whose threads live as long as the process. A
 * failed start frees nothing, because the process exits. */
#include "brambledoor/controller.h"
#include "adapters/admin_server.h"
#include "adapters/api_server.h"
#include "adapters/cloud_client.h"
#include "adapters/election.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "adapters/peer_transport.h"
#include "adapters/worker_client.h"
#include "base/http.h"
#include "base/json_allocator.h"
#include "base/metrics.h"
#include "base/queue.h"
#include "base/timeutil.h"
#include "base/units.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "model/core_state.h"
#include "runtime/controller_internal.h"
#include "wire/heartbeat_cache.h"
#include <stdint.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/types.h>

#define EVENT_QUEUE_CAPACITY 4096
#define LEADER_TXN_QUEUE_CAPACITY 16
#define USER_TXN_QUEUE_CAPACITY 64
#define CLOUD_QUEUE_CAPACITY 64
#define READER_QUEUE_CAPACITY 4
#define LEADER_TTL_SHARE 0.2       /* of the worker lease, within which a failover must end */
#define LEADER_TTL_MIN_S 2.0       /* tolerates several slow answers of the key-value store */
#define LEADER_TTL_MAX_S 2.5       /* bounds the duration of a failover */
#define HEARTBEAT_CACHE_SHARE 0.08 /* of the process's memory limit */

/* Derives the leader lease's TTL from the worker lease, unless the operators' file has set it. */
static void derive_leader_ttl(struct bd_settings *settings)
{
    if (!bd_time_is_zero(settings->leader_ttl))
        return;
    double ttl_s = bd_to_secs(settings->worker_lease) * LEADER_TTL_SHARE;
    if (ttl_s < LEADER_TTL_MIN_S)
        ttl_s = LEADER_TTL_MIN_S;
    if (ttl_s > LEADER_TTL_MAX_S)
        ttl_s = LEADER_TTL_MAX_S;
    settings->leader_ttl = bd_secs(ttl_s);
}

struct bd_node *bd_controller_new(const struct bd_settings *settings, enum bd_log_level level)
{
    struct bd_node *node = calloc(1, sizeof *node);
    if (!node)
        return NULL;
    bd_json_allocator_install();
    node->settings = *settings;
    derive_leader_ttl(&node->settings);
    node->log = (struct bd_log){level, node->settings.node};
    return node;
}

static int init_queues(struct bd_node *node)
{
    if (bd_queue_init(&node->events, EVENT_QUEUE_CAPACITY) != 0 ||
        bd_queue_init(&node->leader_txns, LEADER_TXN_QUEUE_CAPACITY) != 0 ||
        bd_queue_init(&node->user_txns, USER_TXN_QUEUE_CAPACITY) != 0 ||
        bd_queue_init(&node->cloud_effects, CLOUD_QUEUE_CAPACITY) != 0 ||
        bd_queue_init(&node->reader_wakeups, READER_QUEUE_CAPACITY) != 0)
        return -1;
    return 0;
}

/* Returns a seed for the ids that peers echo to this controller. The ids must differ from those of
 * its previous process. */
static uint64_t random_seed(void)
{
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof seed, GRND_NONBLOCK) != (ssize_t)sizeof seed)
        seed = (uint64_t)bd_now().tv_nsec << 20;
    return seed >> 1; /* so that the ids do not overflow */
}

static int init_core(struct bd_node *node)
{
    double cache_bytes = node->settings.ram_mb * HEARTBEAT_CACHE_SHARE * BD_BYTES_PER_MB;
    node->metrics = bd_metrics_new();
    node->core = bd_core_new(&node->settings, &node->log);
    node->heartbeat_cache = bd_heartbeat_cache_new((size_t)cache_bytes);
    if (!node->core || !node->metrics || !node->heartbeat_cache)
        return -1;
    node->core->metrics = node->metrics;
    bd_core_seed_forwarding_ids(node->core, random_seed());
    bd_controller_set_clock(node);
    return 0;
}

static int start_clients(struct bd_node *node)
{
    if (bd_kv_client_start(node) != 0 || bd_cloud_start(node) != 0 ||
        bd_worker_client_start(node) != 0 || bd_election_start(node) != 0 ||
        bd_transport_start(node) != 0)
        return -1;
    return 0;
}

static int start_servers(struct bd_node *node)
{
    const char *addr = node->settings.api_addr;
    if (bd_api_start(node) == 0) {
        if (bd_admin_start(node) == 0)
            return 0;
        addr = node->settings.draining->admin_addr;
    }
    bd_log_write(&node->log, BD_LOG_ERROR, "cannot listen on %s", addr);
    return -1;
}

int bd_controller_start(struct bd_node *node)
{
    if (bd_http_global_init() != 0 || init_queues(node) != 0 || init_core(node) != 0 ||
        start_clients(node) != 0 || start_servers(node) != 0) {
        bd_log_write(&node->log, BD_LOG_ERROR, "cannot start");
        return -1;
    }
    bd_log_write(&node->log, BD_LOG_INFO, "started, version %s", BD_VERSION);
    return 0;
}
