/* Shared by the fake_*.c files. All state is in struct fake_cluster. The lock of the cluster
 * protects all of this state, including the workers. Request handlers and worker threads hold the
 * lock while they access the state; no thread holds it during an HTTP call. */
#ifndef FAKE_SERVER_INTERNAL_H
#define FAKE_SERVER_INTERNAL_H
#include "fake_server.h"
#include "key_table.h"
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <time.h>

#define MACHINES_EVER_MAX 100       /* including returned ones */
#define DEFAULT_MACHINE_CAPACITY 40 /* at the same time */
#define STORE_ENDPOINTS 3
#define WORKER_TASKS_MAX 64
#define GRANTS_MAX 64
#define DELAYED_TXNS_MAX 64
#define REPLAY_DELAY_TXNS 8 /* a leader transaction is replayed after this many newer ones */
#define TASK_RUN_S 0.6
#define LISTED_RUNNING_AFTER_DEATH_S 4.0 /* in the cloud's list */
#define LEASE_S 6.0                      /* lease_s in the loopback tests' settings */
#define NO_RESPONSE 0 /* handler status: close the connection without a response */

enum fake_task_state { FAKE_FREE, FAKE_RUNNING, FAKE_EXITED };

struct fake_task {
    char name[64];
    uint64_t attempt;
    enum fake_task_state state;
    const char *exit_cause;
    struct timespec ends_at;
    bool is_service; /* runs until it is stopped */
};

struct fake_worker {
    struct fake_cluster *cluster;
    char id[32];
    int port;
    bool is_used, is_returned, is_dead;
    struct timespec provisioned_at, died_at;
    pthread_t thread;
    struct MHD_Daemon *daemon;
    uint64_t heartbeat_seq, fencing_token, incarnation;
    struct timespec lease_started_at; /* when the last acknowledged heartbeat was sent */
    struct fake_task tasks[WORKER_TASKS_MAX];
};

/* Handles one request with the lock held. Returns the HTTP status or NO_RESPONSE; `response` may
 * receive a body, which the caller releases. */
typedef int (*fake_handler)(void *arg, const char *method, const char *url,
                            struct MHD_Connection *connection, json_t *request, json_t **response);

struct fake_route {
    fake_handler handler;
    void *arg;
    struct fake_cluster *cluster;
};

struct fake_store_endpoint { /* the store's address for one controller */
    struct fake_cluster *cluster;
    int node;
    bool is_refused, are_job_reads_refused;
};

struct fake_delayed_txn {
    json_t *txn;
    struct timespec deliver_at;
};

struct fake_grant {
    uint64_t id;
    struct timespec expires_at;
    double ttl_s;
};

struct fake_cluster {
    pthread_mutex_t lock;
    struct fake_route routes[MACHINES_EVER_MAX + 2 + STORE_ENDPOINTS];
    int nroutes;
    const char *const *node_addresses; /* of the controllers */
    int nnodes;
    /* the key-value store */
    struct fake_store_endpoint endpoints[STORE_ENDPOINTS];
    struct MHD_Daemon *store_daemons[STORE_ENDPOINTS];
    struct key_table store_table;
    struct fake_grant grants[GRANTS_MAX];
    int ngrants;
    uint64_t last_grant;
    bool is_down;
    struct fake_delayed_txn delayed_txns[DELAYED_TXNS_MAX];
    int ndelayed_txns, delayed_txns_applied, lost_responses;
    double lost_response_share, delayed_share;
    unsigned random_state;
    json_t *applied_txns[REPLAY_DELAY_TXNS]; /* leader transactions to replay */
    int napplied_txns, replayed_txns_applied, replayed_txns;
    size_t kv_value_bytes_max, txn_ops_max;
    int write_rps, writes_in_window, too_large_txns, rate_limited_txns;
    struct timespec rate_window_start;
    int truncated_responses; /* still to be truncated */
    /* the cloud and the workers */
    struct MHD_Daemon *cloud_daemon;
    int worker_port, machine_capacity;
    struct fake_worker workers[MACHINES_EVER_MAX];
    int nworkers, duplicate_runs, task_starts, early_task_starts, lease_expiries;
    fake_task_observer task_observer;
    void *task_observer_arg;
};

/* fake_http.c: serves a loopback port. Returns NULL if it cannot be listened on. */
struct MHD_Daemon *fake_listen(struct fake_cluster *cluster, int port, fake_handler handler,
                               void *arg);

/* fake_store.c; arg: the struct fake_store_endpoint */
int fake_store_handle(void *arg, const char *method, const char *url,
                      struct MHD_Connection *connection, json_t *request, json_t **response);
bool fake_grant_is_valid(void *owner, uint64_t id);

/* fake_cloud.c; arg: the struct fake_cluster */
int fake_cloud_handle(void *arg, const char *method, const char *url,
                      struct MHD_Connection *connection, json_t *request, json_t **response);

/* fake_worker.c; arg: the struct fake_worker */
int fake_worker_handle(void *arg, const char *method, const char *url,
                       struct MHD_Connection *connection, json_t *request, json_t **response);
/* Thread of a worker: sends heartbeats until the machine is returned. */
void *fake_worker_run(void *arg);
/* Reports each running task as lost and drops all tasks of the worker. */
void fake_lose_tasks(struct fake_worker *worker);
/* The last digit of the name as a controller's index, or -1 if there is no such controller. */
int fake_node_index(const struct fake_cluster *cluster, const char *name);
#endif
