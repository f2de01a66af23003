/* A stand-in region for the review's cases: key-value store, cloud, workers, users with their load
 * balancer, and the network between them and three real controllers. One thread; written from the
 * published protocol. A case fills in the site, starts the world and steps it. */
#ifndef WORLD_H
#define WORLD_H
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES 3
#define TYPES_MAX 6
#define ZONES_MAX 4
#define TEAMS_MAX 8
#define MACHINES_MAX 256
#define JOBS_MAX 2048
#define MACHINE_TASKS_MAX 2048
#define IMAGES_MAX 32

struct machine_type {
    const char *name;
    double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
};
struct team {
    const char *name;
    double gpus, gpus_max, cpus_max;
};
struct site {
    const char *name;
    const char *zones[ZONES_MAX];
    int nzones;
    const char *node_zone[NODES];
    struct machine_type types[TYPES_MAX];
    int ntypes;
    int capacity[TYPES_MAX][ZONES_MAX][2]; /* by spot */
    struct team teams[TEAMS_MAX];
    int nteams;
    double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
    double rps, write_rps, value_kb;
    int txn_ops;
    double cloud_rps, list_lag_s;
    double cpu, ram_mb;
    int max_sockets;
    double clock_error_ms, store_latency_s, cloud_latency_s, restart_s;
};

extern const struct site norrvik, shirakaba;

/* ---- what the network does to one path ---- */
enum link_state {
    LINK_OK,
    LINK_HOLD,  /* silent; what was sent on open connections arrives when it ends */
    LINK_RESET, /* connections are reset and refused */
};

enum task_mood { PULLING, GATHERING, RUNNING, SAVING, EXITED };

struct task {
    int job, index; /* job: index into world.jobs */
    uint64_t attempt;
    enum task_mood mood;
    const char *cause;
    bool kept;
    double ready_at, ends_at, started_at, save_until, gathering_since, peer_lost_at;
};

struct machine {
    char id[32];
    int type, zone, port, listen_fd;
    bool spot;
    bool is_gone;               /* returned or taken */
    bool is_dead;               /* stopped on its own */
    bool never_boots;
    double rented_at, up_at, gone_at, died_at, hang_until, warning_at; /* 0: none */
    bool is_up;
    enum link_state link[NODES]; /* reports to each controller */
    enum link_state command_link[NODES];
    /* worker */
    uint64_t tenancy, tally, seal, last_seal_report;
    double lease_from, next_report_at, last_report_at, session_began;
    bool changed, in_flight;
    int node;
    struct task tasks[MACHINE_TASKS_MAX];
    int ntasks;
    char images[IMAGES_MAX][24];
    int nimages;
    double fetch_busy_until;
};

enum job_shape { SWEEP, GANG, SERVICE };
struct job {
    char id[24];
    enum job_shape shape;
    const char *kin;
    int team;
    const char *rank;
    int chores;
    double vcpus, gpus, mem_gb;
    char image[24];
    double image_gb;
    uint32_t breeds; /* 0: any */
    int other_breeds; /* names before them in the list that this cloud does not offer */
    int glade;       /* -1: any */
    bool together, scatter, windfall;
    double run_s, guess_s, mark_s, stow_s;
    /* the truth */
    uint8_t *done;
    int ndone;
    double saved;
    /* its user */
    double submit_at, cancel_at; /* cancel_at 0: never */
    double first_submit, next_try, next_poll, accepted_at, cancel_asked_at, told_cancelled_at,
        told_done_at, last_answer_at, completed_at;
    bool submit_in_flight, poll_in_flight, cancel_in_flight, cancel_started, gave_up;
    int starts;
    double next_resubmit;
};

struct node {
    pid_t pid; /* 0: not running */
    bool is_stopped;
    int front_port, mesh_port, store_port, cloud_port;
    double restart_at; /* 0: not to be restarted */
    /* the load balancer's view */
    bool is_healthy, was_healthy;
    int probe_failures, probe_successes;
    double next_probe, unhealthy_since;
    bool probe_in_flight;
    enum link_state store_link, cloud_link, users_link;
    bool store_refused; /* 503 for this node alone */
    char log_path[256];
};

struct world {
    const struct site *site;
    char dir[200];      /* temporary: settings, logs of the controllers */
    const char *program;
    const char *operators[NODES];
    struct node nodes[NODES];
    enum link_state mesh[NODES][NODES];
    struct machine machines[MACHINES_MAX];
    int nmachines;
    struct job jobs[JOBS_MAX];
    int njobs;
    bool store_down, cloud_down;
    double boot_factor;
    int violations;
    char first_violation[256];
    unsigned seed;
    bool polls_unknown; /* users also ask about jobs that nobody submitted */
    bool resubmits;     /* users repeat submissions of old jobs now and then */
    int cloud_changes[NODES]; /* rentals and returns received from each controller */
    /* called for each rental or return before it is carried out; may be NULL */
    void (*on_cloud_change)(int node, const char *path, json_t *body);
    /* called after a task started on a machine (its image is there); may be NULL */
    void (*on_task_start)(struct machine *machine, struct task *task);
    /* called when a command stops a task that runs; may be NULL */
    void (*on_halt)(struct machine *machine, struct task *task);
    /* called when a worker's lease ends, before its tasks are killed; may be NULL */
    void (*on_lease_end)(struct machine *machine);
    int reports_refused; /* answered 413 */
    /* store */
    uint64_t ring;
};
extern struct world W;

double now_s(void); /* steady clock since the start */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void violation(const char *format, ...) __attribute__((format(printf, 1, 2)));
double draw(double from, double to);

/* Prepares the world; record.txt is written to record_path. False: a port or folder is missing. */
bool world_start(const struct site *site, const char *program, const char *record_path,
                 unsigned seed);
/* Runs the world until the given time. */
void world_run_until(double until_s);
/* Runs the world until the condition holds or the time is over; returns whether it held. */
bool world_wait(bool (*condition)(void), double seconds);
void world_finish(void);

void node_start(int node);
void node_kill(int node, double back_after_s); /* 0: it stays down */
void node_freeze(int node);
void node_resume(int node);
int free_port(void); /* that nothing listens on; at most three beside the controllers' own */
int store_leader(void); /* the node that the leader's key names, -1: none */
uint64_t store_leader_mark(void);
bool store_has_key(const char *key);
json_t *store_value(const char *key);

struct machine *machine_add(int type, int zone, bool spot, bool is_up);
void machine_die(struct machine *machine);
struct machine *machine_named(const char *id);
int machine_tasks(const struct machine *machine);
void set_link(enum link_state *link, enum link_state state); /* releases what was held */
void store_link_set(int node, enum link_state state);
void cloud_link_set(int node, enum link_state state);
void mesh_set(int a, int b, enum link_state state); /* both directions */
void workers_link_set(int node, enum link_state state); /* reports and commands, all machines */
void zones_cut(int zone_a, int zone_b, enum link_state state);

/* Adds a job that its user submits at the given time. */
struct job *job_add(const char *kin, double at);
const char *job_mood_at(struct job *job);
int job_on_machines(const struct job *job, enum task_mood at_least);
#endif
