/* A day of several controllers' cores in simulated time: a model of the adapters, of the state
 * service, the cloud, the workers and the users, with faults at set times. What is real is the
 * pure core; the protocol's rules are the oracle. One seed, one day, always the same. */
#ifndef BD_TESTS_SIM_H
#define BD_TESTS_SIM_H
#include "base/timeutil.h"
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain_check.h"
#include "key_table.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <gsl/gsl_rng.h>
#include <jansson.h>

#define SIM_NODES 4
#define SIM_MACHINES 160
#define SIM_JOBS 700
#define SIM_TASKS 8          /* of a job */
#define SIM_SLOTS 400        /* what a worker knows */
#define SIM_VIOLATIONS_MAX 5 /* printed; more end the day */

enum sim_event_kind {
    SIM_STORE_RUN,
    SIM_STORE_BACK,
    SIM_STORE_TIMEOUT,
    SIM_READER,
    SIM_ELECTION,
    SIM_NODE_TICK,
    SIM_NODE_UP,
    SIM_FRAME,
    SIM_HEARTBEAT_IN,
    SIM_HEARTBEAT_BACK,
    SIM_HEARTBEAT_TIMEOUT,
    SIM_COMMAND_SEND,
    SIM_COMMAND_IN,
    SIM_HEARTBEAT_COPY,
    SIM_COMMAND_BACK,
    SIM_COMMAND_TIMEOUT,
    SIM_CLOUD_BACK,
    SIM_USER_IN,
    SIM_USER_BACK,
    SIM_USER_WAKE,
    SIM_FAULT
};

struct sim_call;
struct sim_request;
struct sim_event {
    double at;
    uint64_t order;
    enum sim_event_kind kind;
    int node, who;
    uint64_t epoch, number;
    long status;
    bool flag;
    char *text;
    void *data;
    struct sim_call *call;
    struct sim_event *next;
};

struct sim_grant {
    uint64_t id;
    double ends, ttl;
};

enum sim_op { SIM_GET, SIM_LIST, SIM_REFRESH, SIM_COMMIT, SIM_GRANT, SIM_RENEW };

enum sim_purpose { /* what an answer of the key-value store is for */
                   SIM_FOR_LIST,
                   SIM_FOR_REFRESH,
                   SIM_FOR_DELEGATES,
                   SIM_FOR_DRAINS,
                   SIM_FOR_DRAIN_SETS,
                   SIM_FOR_LEADER_KEY,
                   SIM_FOR_LIVENESS,
                   SIM_FOR_GRANT,
                   SIM_FOR_ACQUISITION,
                   SIM_FOR_OWN_KEY,
                   SIM_FOR_SEQUENCE,
                   SIM_FOR_RECEIPTS,
                   SIM_FOR_INTENTS,
                   SIM_FOR_RENEW,
                   SIM_FOR_COMMIT,
                   SIM_FOR_COMMIT_OUTCOME,
                   SIM_FOR_USER,
                   SIM_FOR_DELEGATE,
                   SIM_FOR_DELEGATE_REVISION,
                   SIM_FOR_LOOKUP
};

struct sim_call { /* of a controller to the key-value store */
    enum sim_op op;
    enum sim_purpose purpose;
    int node, references;
    uint64_t epoch, number;
    char key[96];
    char *body;
    struct bd_effect *effect;
    struct timespec sent; /* by the node's own clock */
    bool is_over, flag;
};

struct sim_node {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core; /* NULL: not running */
    uint64_t epoch;
    double started_at, clock_rate, clock_from, wall_offset;
    double stalled_until;         /* the process stands still */
    double senders_stalled_until; /* its direct commands wait in its own queue */
    /* reader of the store */
    uint64_t after;
    bool wants_list, wants_barrier, is_reading, reads_refused;
    double next_delegates, next_drains;
    json_t *drains; /* as listed, while the machines' records are read */
    /* election */
    bool leading, is_electing, step_down;
    char nonce[BD_LABEL_BYTES];
    uint64_t grant;
    struct timespec granted, liveness_at;
    struct bd_acquisition acquisition;
    bool leadership_acquired; /* an acquisition waits for the replica */
    /* the leader's transaction on its way; NULL: none */
    struct bd_effect *commit;
    double next_status, next_list;
};

struct sim_slot { /* a task on a worker */
    int job;
    uint32_t task;
    uint64_t attempt;
    enum bd_execution_state execution;
    enum bd_exit_reason exit_reason;
    double until;
};

struct sim_worker {
    char id[BD_LABEL_BYTES], zone[BD_LABEL_BYTES], type[BD_LABEL_BYTES];
    bool gone;
    double provisioned_at, up_at, answered, next_heartbeat;
    uint64_t incarnation, seq, fencing_token;
    uint64_t received_seq; /* of the heartbeat under way */
    bool is_asking;
    double asked_at;
    int node;
    double hangs_until, outbound_cut_until, inbound_cut_until, cut_until;
    bool delivers_late; /* what a cut stops, instead of never */
    int nslots;
    struct sim_slot slots[SIM_SLOTS];
};

struct sim_job {
    char id[BD_JOB_ID_BYTES];
    enum bd_job_kind kind;
    uint32_t tasks;
    int team, priority;
    double cpus, run_s, cancel_at;                           /* withdraw_at: 0 never */
    double asked_cancel, accepted_at, done_at, cancelled_at; /* when the user was told; 0 not yet */
    double answered_at;
    double placeable_since; /* it waits since then though it could begin; 0: it could not */
    bool is_invalid;        /* can never be accepted */
    const char *zone;       /* as it is submitted: quoted, or null */
    bool done[SIM_TASKS];
    int machine[SIM_TASKS]; /* -1: on none */
    int nrunning;
};

struct sim {
    gsl_rng *rng;
    unsigned long seed;
    double now, faults_end, ends;
    uint64_t order, events;
    struct sim_event *queue;
    struct sim_request *requests;
    /* key-value store */
    struct key_table table;
    int writer; /* whose transaction is carried out */
    uint64_t grants;
    struct sim_grant grant[64];
    int ngrants;
    double outage_until, slow_until;
    double refused_until[SIM_NODES], reads_refused_until[SIM_NODES];
    double lost_share, lost_until, late_share, late_until;
    /* network */
    double peers_cut_until[SIM_NODES], zones_cut_until, delayed_until;
    double copies_share, copies_until;
    bool copies_for_next;
    char *saved_heartbeats[256]; /* for the next leader */
    int nsaved_heartbeats;
    struct sim_node nodes[SIM_NODES];
    struct sim_worker workers[SIM_MACHINES];
    int nworkers;
    struct sim_job jobs[SIM_JOBS];
    int njobs;
    double lease_s, cancel_s, heartbeat_s, fetch_s, team_max[2], team_use[2];
    int violations, starts, late_starts, terms;
    bool draining;
    int machines_max, ndrains; /* up at once; drains that were requested */
    struct drain_check check;
    bool is_verbose;
    struct behaviour_digest *digest; /* NULL: none is taken */
};

/* sim_events.c */
double sim_random(struct sim *sim);
double sim_between(struct sim *sim, double a, double b);
void sim_trace(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/* A rule of the protocol is broken. */
void sim_violation(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
struct sim_event *sim_post(struct sim *sim, double delay, enum sim_event_kind kind);
/* the same event once more, later; its text goes along */
struct sim_event *sim_post_again(struct sim *sim, struct sim_event *event, double delay);
bool sim_is_delayed(struct sim *sim); /* whether a command or an answer is, now */
double sim_delay(struct sim *sim);

/* key-value store, sim_store.c */
void sim_store_call(struct sim *sim, struct sim_call *call, double timeout);
void sim_store_event(struct sim *sim, struct sim_event *event);
void sim_store_start(struct sim *sim);
void sim_store_tick(struct sim *sim);
void sim_end_grant(struct sim *sim, uint64_t id); /* once the request for it has arrived */
void sim_call_drop(struct sim_call *call);
void sim_store_free(struct sim *sim);

/* controllers, sim_node.c */
struct sim_request { /* what the core holds of a user's or a worker's request */
    struct bd_request_origin head;
    bool user;
    int who;
    uint64_t number;
    int verb;
    struct sim_request *next;
};
struct sim_direct_command { /* a direct command */
    bool is_over, launch;
    int references, worker;
    struct timespec until;
    uint32_t machine;
    uint64_t fencing_token;
};
enum sim_verb { SIM_SUBMIT, SIM_ASK, SIM_CANCEL };
void sim_node_start(struct sim *sim, int i);
void sim_node_end(struct sim *sim, int i);
void sim_node_event(struct sim *sim, struct sim_event *event);
void sim_node_answered(struct sim *sim, struct sim_call *call, long status, json_t *answer);

/* workers and cloud, sim_worker.c */
int sim_provision(struct sim *sim, const char *zone, double boot);
void sim_worker_event(struct sim *sim, struct sim_event *event);
void sim_copies_now(struct sim *sim); /* a new leader begins */
void sim_workers_tick(struct sim *sim);
void sim_worker_gone(struct sim *sim, struct sim_worker *worker);
struct sim_job *sim_job_named(struct sim *sim, const char *id);
#endif
