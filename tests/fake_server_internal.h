/* What the files of the stand-ins share. All state is in struct fake_cluster; its lock protects
 * everything in it, the workers included: routes answer and the workers' threads look at it with
 * the lock held, and nobody holds it over a call. */
#ifndef FAKE_SERVER_INTERNAL_H
#define FAKE_SERVER_INTERNAL_H
#include "fake_server.h"
#include "key_table.h"
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <time.h>

#define WORKERS_MAX 100 /* machines that the cloud ever has: what went back does not come again */
#define CAPACITY_DEFAULT 40 /* machines at once */
#define STORE_ENDPOINTS 3
#define WORKER_TASKS_MAX 64
#define GRANTS_MAX 64
#define LATE_TXNS_MAX 64
#define APPLIED_TXNS 8 /* the newest of the leaders', for late copies */
#define RUN_S 0.6
#define FAILED_AFTER_S 4.0 /* so long a dead machine is listed as running */
#define LEASE_S 6.0        /* as in the loopback test's settings */
#define NO_ANSWER 0        /* a status: the connection ends without an answer */

enum fake_task_state { FAKE_FREE, FAKE_RUNNING, FAKE_EXITED };

struct fake_task {
    char name[64];
    uint64_t attempt;
    enum fake_task_state state;
    const char *cause; /* of the exit */
    struct timespec ends;
    bool is_service; /* runs until it is stopped */
};

struct fake_worker {
    struct fake_cluster *cluster;
    char id[32];
    int port;
    bool used, stop, dead;
    struct timespec provisioned_at, died;
    pthread_t thread;
    struct MHD_Daemon *daemon;
    uint64_t tally, fencing_token, incarnation;
    struct timespec answered; /* when the last heartbeat that got an answer was sent */
    struct fake_task tasks[WORKER_TASKS_MAX];
};

/* Answers one request with a status and, in `out`, a body; the lock is held. */
typedef int (*fake_answer)(void *arg, const char *method, const char *url,
                           struct MHD_Connection *conn, json_t *in, json_t **out);

struct fake_route {
    fake_answer answer;
    void *arg;
    struct fake_cluster *cluster;
};

struct fake_store_endpoint { /* the store as one controller reaches it */
    struct fake_cluster *cluster;
    int node;
    bool refused, job_reads_refused;
};

struct fake_late_txn { /* carried out later than it came */
    json_t *txn;
    struct timespec deliver_at;
};

struct fake_grant {
    uint64_t id;
    struct timespec ends;
    double ttl_s;
};

struct fake_cluster {
    pthread_mutex_t lock;
    struct fake_route routes[WORKERS_MAX + 2 + STORE_ENDPOINTS];
    int nroutes;
    const char *const *nodes; /* the controllers' addresses */
    int nnodes;
    /* the key-value store */
    struct fake_store_endpoint endpoints[STORE_ENDPOINTS];
    struct MHD_Daemon *store_daemons[STORE_ENDPOINTS];
    struct key_table table;
    struct fake_grant grants[GRANTS_MAX];
    int ngrants;
    uint64_t last_grant;
    bool down;
    struct fake_late_txn late[LATE_TXNS_MAX];
    int nlate, lost, late_applied;
    double lost_share, late_share;
    unsigned random_state;
    json_t *applied[APPLIED_TXNS]; /* to come again as late copies */
    int napplied, copies_applied, copies;
    size_t kv_value_bytes_max, txn_ops_max;
    int write_rps, writes, refused, busy;
    struct timespec rate_from; /* `writes` are counted since then */
    int truncated_answers;     /* so many of the next ones */
    /* the cloud and the workers */
    struct MHD_Daemon *cloud;
    int worker_port, capacity; /* machines at once */
    struct fake_worker workers[WORKERS_MAX];
    int nworkers, duplicate_runs, starts, early_starts, lease_expiries;
    fake_observer observer;
    void *observer_arg;
};

/* fake_http.c: an address on loopback. NULL: it cannot be listened on. */
struct MHD_Daemon *fake_listen(struct fake_cluster *cluster, int port, fake_answer answer,
                               void *arg);

/* fake_store.c; arg: the struct fake_store_endpoint */
int fake_store_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                      json_t *in, json_t **out);
bool fake_grant_lives(void *owner, uint64_t id);

/* fake_cloud.c; arg: the struct fake_cluster */
int fake_cloud_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                      json_t *in, json_t **out);

/* fake_worker.c; arg: the struct fake_worker */
int fake_worker_answer(void *arg, const char *method, const char *url, struct MHD_Connection *conn,
                       json_t *in, json_t **out);
/* A worker's thread: heartbeats until it is returned. */
void *fake_worker_run(void *arg);
/* All that runs on the worker is gone. */
void fake_lose_tasks(struct fake_worker *worker);
/* The controller of that name, by its last digit; -1: none. */
int fake_node_index(const struct fake_cluster *cluster, const char *name);
#endif
