/* The settings of one controller. They come from the platform's file (JSON) and the operators' file
 * (S-expressions).
 *
 * A program reads them once and constructs a controller, which copies them. They do not change
 * afterwards. docs/operations.md lists the operators' fields and their defaults. */
#ifndef BD_SETTINGS_H
#define BD_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

/* Size of a name or an address in bytes, including the terminator. */
#define BD_NAME_BYTES 64
#define BD_PEERS_MAX 16
#define BD_ZONES_MAX 16
#define BD_TEAMS_MAX 64
#define BD_SLOS_MAX 64

/* Another controller of the cluster. */
struct bd_peer {
    char name[BD_NAME_BYTES];
    char zone[BD_NAME_BYTES];
    char addr[BD_NAME_BYTES]; /* "HOST:PORT" with an IPv4 host, for connections of controllers */
};

/* The guarantee and the quota of a team. An amount of 0 means that there is no guarantee or no
 * quota. */
struct bd_team_quota {
    char name[BD_NAME_BYTES];
    double cpus_guaranteed; /* CPU cores */
    double cpus_quota;      /* maximum, CPU cores */
    double gpus_guaranteed; /* GPUs */
    double gpus_quota;      /* maximum, GPUs */
};

enum bd_slo_kind {
    BD_SLO_WAIT,             /* jobs start within a time after their submission */
    BD_SLO_FINISHED,         /* jobs finish within a time after their submission */
    BD_SLO_GUARANTEED_SHARE, /* teams get their guaranteed shares within a time */
    BD_SLO_OTHER             /* an unknown kind; ignored */
};

/* A service-level objective. */
struct bd_slo {
    enum bd_slo_kind kind;
    char job_class[BD_NAME_BYTES]; /* the class of jobs that it applies to; empty: no class */
    double within_s;               /* the time that the kind refers to, in seconds */
    double share;                  /* share of the jobs that must meet it, 0 to 1 */
};

struct bd_drain_rules; /* src/drain/drain_rules.h */

/* Durations are struct timespec, rates are per second. */
struct bd_settings {
    char node[BD_NAME_BYTES];      /* this controller's name */
    char zone[BD_NAME_BYTES];      /* the zone in which it runs */
    char api_addr[BD_NAME_BYTES];  /* "HOST:PORT" on which it listens for users and workers */
    char peer_addr[BD_NAME_BYTES]; /* "HOST:PORT" on which it listens for other controllers */
    struct bd_peer peers[BD_PEERS_MAX];
    int npeers;
    char cloud_addr[BD_NAME_BYTES]; /* "HOST:PORT" of the cloud's provisioning interface */
    char kv_addr[BD_NAME_BYTES];    /* "HOST:PORT" of the key-value store */
    char zones[BD_ZONES_MAX][BD_NAME_BYTES];
    int nzones;
    struct bd_team_quota teams[BD_TEAMS_MAX];
    int nteams;
    struct bd_slo slos[BD_SLOS_MAX];
    int nslos;
    int ncontrollers; /* of the cluster, including this one; validated only */

    /* Times of the protocol between workers, controllers and the cloud. */

    struct timespec heartbeat_interval; /* between two heartbeats of a worker */
    /* Duration of a worker's lease, from the heartbeat that renewed it. */
    struct timespec worker_lease;
    /* How long a task of a gang waits for the other tasks of the gang; validated only. */
    struct timespec gang_start_timeout;
    /* How long after the end of one task of a gang the other tasks end; validated only. */
    struct timespec gang_peer_timeout;
    /* The maximum time from a confirmed cancellation to the end of the job's last task. */
    struct timespec cancellation_limit;
    /* How far the cloud's list of machines may be out of date. */
    struct timespec inventory_lag;
    /* How far a controller's time of day may be wrong, in each direction. */
    struct timespec clock_error;

    /* Limits of the key-value store and of the cloud. If the platform's file announces a change of
     * a limit of the store, the field holds the smaller of the present and the announced value. */
    double kv_requests_per_s; /* validated only */
    double kv_writes_per_s;
    double cloud_requests_per_s;
    size_t kv_value_bytes_max;
    size_t kv_txn_ops_max; /* changes in one transaction */

    /* Limits of this process. */
    double cpu_cores;
    double ram_mb;   /* memory, MiB */
    int max_sockets; /* open sockets */

    /* Settings of the operators' file. */
    struct timespec leader_ttl; /* of the leader's lease; zero: derived from the worker lease */
    double headroom_share;      /* headroom, as a multiple of what the objectives require */
    /* An idle machine is returned after this many boot times of its machine type. */
    double idle_boot_times;
    struct timespec request_deadline; /* from a request's first byte to its last */
    struct timespec answer_deadline;  /* until a client has read the answer to its request */
    struct bd_drain_rules *draining;  /* owned, freed with free(); NULL: draining is off */
};

/* Reads the platform's file into `settings`, whose previous content is overwritten, and sets the
 * defaults of the operators' settings. Returns 0, or -1 with one line in `error` (truncated to
 * `error_size` bytes) that names the file and the invalid field or line. */
int bd_settings_load(struct bd_settings *settings, const char *path, char *error,
                     size_t error_size);
/* Reads the operators' file into `settings`, after bd_settings_load. Fields that the file does not
 * contain keep their values. May allocate `draining`, even if it fails. Returns 0, or -1 as above.
 */
int bd_settings_load_operators_file(struct bd_settings *settings, const char *path, char *error,
                                    size_t error_size);
#endif
