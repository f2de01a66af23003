/* A day of several controllers' cores in simulated time. The cores are those of the product; the
 * adapters, the store, the cloud, the workers and the users are models. Faults occur at set
 * times, and the rules of the protocol are checked. A seed always gives the same day. */
#ifndef BD_TESTS_SIM_H
#define BD_TESTS_SIM_H
#include "base/timeutil.h"
#include "behaviour_digest.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain_check.h"
#include "key_table.h"
#include "spelling.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <gsl/gsl_rng.h>
#include <jansson.h>

#define SIM_WALL_START_S 1e6 /* wall clock at the day's start */
#define SIM_NODES 4
#define SIM_MACHINES_MAX 160
#define SIM_JOBS_MAX 700
#define SIM_TASKS_MAX 1000      /* per job */
#define SIM_SLOTS_MAX 400       /* tasks that a worker runs or remembers */
#define SIM_COPY_DELAY_MAX_S 25 /* of a replayed heartbeat */
#define SIM_VIOLATIONS_MAX 5    /* printed; the day ends when there are more */

enum sim_event_kind {
    SIM_STORE_EXECUTE,
    SIM_STORE_ANSWER,
    SIM_STORE_TIMEOUT,
    SIM_READER,
    SIM_ELECTION,
    SIM_NODE_TICK,
    SIM_NODE_START,
    SIM_FRAME,
    SIM_HEARTBEAT_ARRIVAL,
    SIM_HEARTBEAT_ANSWER,
    SIM_HEARTBEAT_TIMEOUT,
    SIM_COMMAND_SEND,
    SIM_COMMAND_ARRIVAL,
    SIM_HEARTBEAT_REPLAY,
    SIM_COMMAND_ANSWER,
    SIM_COMMAND_TIMEOUT,
    SIM_CLOUD_ANSWER,
    SIM_USER_REQUEST,
    SIM_USER_ANSWER,
    SIM_USER_TIMER,
    SIM_FAULT
};

struct sim_call;
struct sim_request;
struct sim_event {
    double at; /* simulated time in seconds */
    uint64_t order;
    enum sim_event_kind kind;
    int node;
    int index;       /* of the worker, job, receiving node or fault, depending on the kind */
    uint64_t epoch;  /* of the node that scheduled the event or, for a frame, that receives it */
    uint64_t number; /* a heartbeat's sequence number, or when a user sent the request, in us */
    long status;     /* HTTP status of an answer, or enum sim_request_kind of a user's request */
    bool flag;       /* SIM_STORE_EXECUTE: the store answers; SIM_ELECTION: sends the pending commit
                        again; SIM_CLOUD_ANSWER: of a scale-out */
    char *text;      /* body of the message, owned; NULL: none */
    void *data;      /* frame, command or JSON, depending on the kind */
    struct sim_call *call;
    struct sim_event *next;
};

struct sim_grant {
    uint64_t id;
    double expires_at, ttl_s;
};

enum sim_op { SIM_GET, SIM_LIST, SIM_REFRESH, SIM_COMMIT, SIM_GRANT, SIM_RENEW };

enum sim_purpose { /* which part of the controller awaits the store's answer */
                   SIM_FOR_LIST,
                   SIM_FOR_REFRESH,
                   SIM_FOR_DELEGATES,
                   SIM_FOR_DRAINS,
                   SIM_FOR_DRAIN_MACHINES,
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

enum sim_cloud_outcome {                       /* status of SIM_CLOUD_ANSWER */
                         SIM_CLOUD_ANSWERED,   /* executed now, and answered */
                         SIM_CLOUD_UNANSWERED, /* the answer is given up */
                         SIM_CLOUD_LATE        /* executed now, and not answered */
};

struct sim_call { /* a controller's call of the key-value store */
    enum sim_op op;
    enum sim_purpose purpose;
    int node, references;
    uint64_t epoch;
    uint64_t number; /* a revision or a grant, depending on the purpose */
    char key[96];
    char *body;
    struct bd_effect *effect; /* that requested the call; NULL: none */
    struct timespec sent_at;  /* by the node's own clock */
    bool is_completed, is_barrier;
};

struct sim_node {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core; /* NULL: not running */
    uint64_t epoch; /* changes at each start and stop; events of an earlier epoch are dropped */
    double started_at, clock_rate, clock_start, wall_offset;
    double paused_until;        /* the process is paused */
    double sends_delayed_until; /* direct commands wait until then in the controller's own queue */
    /* reader of the store */
    uint64_t last_read_revision;
    bool wants_list, wants_barrier, is_reading, last_refresh_failed;
    double next_delegates_read_at, next_drains_read_at;
    json_t *drain_records; /* kept while the records of their machines are read */
    struct timespec drain_records_sent_at;
    /* election */
    bool is_leading, is_electing, wants_step_down;
    char nonce[BD_LABEL_BYTES];
    uint64_t grant;
    struct timespec granted_at, liveness_sent_at;
    struct bd_acquisition acquisition;
    bool is_acquisition_pending;      /* the replica is older than the acquired term */
    struct bd_effect *pending_commit; /* the leader's unanswered transaction; NULL: none */
    double next_status_at, next_machine_list_at;
};

struct sim_slot { /* a task on a worker */
    int job;
    uint32_t task;
    uint64_t attempt;
    enum bd_execution_state execution;
    enum bd_exit_reason exit_reason;
    double phase_ends_at; /* end of the fetch, of the wait for the gang, or of the run */
    double unknown_since; /* since when it runs and the leader does not know it; 0: it does */
};

struct sim_worker {
    char id[BD_LABEL_BYTES], zone[BD_LABEL_BYTES], type[BD_LABEL_BYTES];
    bool is_removed;
    double provisioned_at, up_at;
    double lease_renewed_at; /* when the last answered heartbeat was sent */
    double next_heartbeat_at;
    uint64_t incarnation, seq, fencing_token;
    uint64_t pending_seq; /* of the heartbeat that awaits its answer */
    bool awaits_answer;
    double heartbeat_sent_at;
    int node; /* where heartbeats are sent */
    double hangs_until, outbound_cut_until, inbound_cut_until, cut_until;
    bool is_cut_buffered; /* messages that the cut stopped are delivered at its end */
    int nslots;
    struct sim_slot slots[SIM_SLOTS_MAX];
};

struct sim_job {
    char id[BD_JOB_ID_BYTES];
    enum bd_job_kind kind;
    uint32_t tasks;
    int team, priority;
    double cpus, run_s;
    double cancel_at; /* when the user cancels the job; -1: once it is accepted; 0: never */
    double cancel_requested_at, last_answer_at; /* 0: not yet */
    double accepted_at, done_at,
        cancelled_at;       /* when a user first received this state; 0: not yet */
    double placeable_since; /* since when the job waits although its quota allows it; else 0 */
    bool is_invalid;        /* must never be accepted */
    const char *zone;       /* as it is submitted: quoted, or null */
    bool done[SIM_TASKS_MAX];
    int machine[SIM_TASKS_MAX]; /* index of the worker; -1: none */
    int nrunning;
};

struct sim {
    gsl_rng *rng;
    unsigned long seed;
    double now, faults_end_at, ends_at;
    uint64_t order; /* of the last event that was scheduled */
    uint64_t events;
    struct sim_event *queue;
    struct sim_request *requests;
    /* key-value store */
    struct key_table table;
    int writer; /* the node whose transaction is applied; -1: an administrator */
    uint64_t last_grant_id;
    struct sim_grant grants[64];
    int ngrants;
    double store_outage_until, store_slow_until;
    double store_refused_until[SIM_NODES], refreshes_refused_until[SIM_NODES];
    double drain_reads_refused_until[SIM_NODES];
    double lost_answers_share, lost_answers_until, late_writes_share, late_writes_until;
    /* network */
    double peers_cut_until[SIM_NODES], zones_cut_until, commands_delayed_until;
    double late_commands_share, late_commands_until;
    /* cloud */
    double late_cloud_share, late_cloud_until;
    double replay_share, replay_until;
    bool replays_at_failover;    /* copies arrive when the next leader starts */
    char *saved_heartbeats[256]; /* the copies for replays_at_failover */
    int nsaved_heartbeats;
    struct sim_node nodes[SIM_NODES];
    struct sim_worker workers[SIM_MACHINES_MAX];
    int nworkers;
    struct sim_job jobs[SIM_JOBS_MAX];
    int njobs;
    double lease_s, cancel_s, heartbeat_s, image_fetch_s, team_quota_cpus[2], team_used_cpus[2];
    int violations, starts, terms;
    int starts_after_cancellation; /* tasks started more than lease_s + 2 s after it */
    bool has_drains;
    int machines_max; /* at once */
    int ndrains;      /* drains that were requested */
    struct drain_check check;
    bool drains_stand;      /* since a pause or a cancellation, no drain is active */
    uint32_t stops_left[2]; /* by team: replicas that may still be stopped while the drains stand */
    struct spelling spelling;
    bool has_odd_spellings; /* messages to the controllers are spelt in drawn ways */
    bool is_verbose;
    struct behaviour_digest *digest; /* NULL: steps are not digested */
};

/* sim_events.c. Delays are seconds from now. */
double sim_random(struct sim *sim); /* from 0 to below 1 */
double sim_uniform(struct sim *sim, double min, double max);
void sim_trace(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/* Reports that a rule of the protocol is broken. */
void sim_violation(struct sim *sim, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
struct sim_event *sim_schedule(struct sim *sim, double delay_s, enum sim_event_kind kind);
/* Schedules a copy of the event, which takes over the event's text. */
struct sim_event *sim_reschedule(struct sim *sim, struct sim_event *event, double delay_s);
/* Draws whether a fault of this share that lasts until `until` applies now. */
bool sim_draw_share(struct sim *sim, double share, double until);
/* Draws whether a command or an answer that is sent now is delayed by a fault. */
bool sim_draw_command_delayed(struct sim *sim);
double sim_network_delay(struct sim *sim); /* drawn, in seconds */
/* Returns the text of a message to a controller, which the caller frees; spelt in a drawn way on a
 * day with odd spellings. */
char *sim_spell(struct sim *sim, json_t *message);
/* Returns the message as a controller reads it, a new reference. NULL: no message. */
json_t *sim_spell_and_read(struct sim *sim, json_t *message);

/* key-value store, sim_store.c */
void sim_store_call(struct sim *sim, struct sim_call *call, double timeout_s);
void sim_store_handle_event(struct sim *sim, struct sim_event *event);
void sim_store_start(struct sim *sim);
void sim_store_tick(struct sim *sim);
/* Ends the grant after a network delay, as a request to end it does. */
void sim_end_grant(struct sim *sim, uint64_t id);
/* Drops a reference; the last one frees the call. */
void sim_call_release(struct sim_call *call);
void sim_store_free(struct sim *sim);

/* controllers, sim_node.c */
struct sim_request { /* a user's or a worker's request; the core only uses `origin` */
    struct bd_request_origin origin;
    bool is_user;
    int index; /* of the job or the worker */
    uint64_t number;
    int kind;
    struct sim_request *next;
};
struct sim_direct_command {
    bool is_completed, is_launch;
    int references, worker;
    struct timespec deadline; /* by the clock of the node that sends it */
    uint32_t machine;
    uint64_t fencing_token;
};
enum sim_request_kind { SIM_SUBMIT, SIM_QUERY, SIM_CANCEL };
void sim_node_start(struct sim *sim, int i);
void sim_node_stop(struct sim *sim, int i);
void sim_node_handle_event(struct sim *sim, struct sim_event *event);
/* Passes the answer to a store call to its controller; status 0: the call timed out. */
void sim_node_answered(struct sim *sim, struct sim_call *call, long status, json_t *answer);

/* workers and cloud, sim_worker.c */
/* Returns the worker's index, or -1 if the capacity is used up. */
int sim_provision(struct sim *sim, const char *zone, double boot_s);
void sim_worker_handle_event(struct sim *sim, struct sim_event *event);
/* Delivers the saved copies of heartbeats to all controllers, as a new leader starts. */
void sim_replay_saved_heartbeats(struct sim *sim);
void sim_workers_tick(struct sim *sim);
/* Ends the machine's tasks and its session; it is back under its name after `seconds`. */
void sim_worker_restart(struct sim *sim, struct sim_worker *worker, double seconds);
/* Ends the machine and its tasks, for good. */
void sim_worker_remove(struct sim *sim, struct sim_worker *worker);
/* Returns the job with the id. NULL: there is no such job. */
struct sim_job *sim_find_job(struct sim *sim, const char *id);
#endif
