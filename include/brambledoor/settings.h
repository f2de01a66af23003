/* The settings of one controller: the platform's file (JSON) and the operators' own
 * (S-expressions).
 *
 * Read once before a controller is constructed, which copies them; they do not change afterwards.
 * docs/operations.md lists the operators' fields and their defaults.
 */
#ifndef BD_SETTINGS_H
#define BD_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

/* Bytes of a name or an address with its terminator. */
#define BD_NAME_BYTES 64
#define BD_PEERS_MAX 16
#define BD_ZONES_MAX 16
#define BD_TEAMS_MAX 64
#define BD_SLOS_MAX 64

/* Another controller of the cluster. */
struct bd_peer {
    char name[BD_NAME_BYTES];
    char zone[BD_NAME_BYTES];
    char addr[BD_NAME_BYTES]; /* "HOST:PORT" with an IPv4 host, where it listens for controllers */
};

/* What a team may use. An amount of 0 means that there is no guarantee or no quota. */
struct bd_team_quota {
    char name[BD_NAME_BYTES];
    double cpus_guaranteed; /* guaranteed share, CPU cores */
    double cpus_quota;      /* at most, CPU cores */
    double gpus_guaranteed; /* guaranteed share, GPUs */
    double gpus_quota;      /* at most, GPUs */
};

enum bd_slo_kind {
    BD_SLO_WAIT,             /* jobs start within a time of their submission */
    BD_SLO_FINISHED,         /* jobs finish within a time of their submission */
    BD_SLO_GUARANTEED_SHARE, /* teams get their guaranteed shares within a time */
    BD_SLO_OTHER             /* of a kind that is not known: ignored */
};

/* A service-level objective. */
struct bd_slo {
    enum bd_slo_kind kind;
    char job_class[BD_NAME_BYTES]; /* the class of jobs that it is for; empty: none is named */
    double within_s;               /* the time, seconds */
    double share;                  /* of the jobs that are to meet it, 0 to 1 */
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
    int ncontrollers; /* controllers of the cluster, this one included; validated only */

    /* workers */
    struct timespec heartbeat_interval; /* between two heartbeats of a worker */
    struct timespec worker_lease;       /* of a worker, from the heartbeat that renewed it */
    struct timespec gang_wait; /* a gang's task waits so long for the others; validated only */
    struct timespec gang_peer; /* it ends so long after another one; validated only */
    struct timespec
        cancellation_limit; /* from a confirmed cancellation to the end of the job's last task */
    struct timespec inventory_lag; /* by which the cloud's list of machines may be out of date */
    struct timespec clock_error;   /* by which a controller's time of day may be wrong, each way */

    /* Limits of the key-value store and of the cloud. Where the file announces a change of the
     * store's, the smaller of what applies now and what is to come. */
    double kv_requests_per_s; /* validated only */
    double kv_writes_per_s;
    double cloud_requests_per_s;
    size_t kv_value_bytes_max;
    size_t kv_txn_ops_max; /* changes in one transaction */

    /* Limits of this process. */
    double cpu_cores; /* CPU cores */
    double ram_mb;    /* memory, MiB */
    int max_sockets;  /* open sockets */

    /* The operators' own. */
    struct timespec leader_ttl; /* of the leader's lease; zero: derived from the worker lease */
    double headroom_share;      /* headroom, as a multiple of what the objectives ask for */
    double
        idle_boot_times; /* an idle machine is returned after this many of its type's boot times */
    struct bd_drain_rules *draining; /* owned, freed with free(); NULL: draining is off */
};

/* Reads the platform's settings into `settings`, whose former content is overwritten, and sets the
 * defaults of the operators' own. 0, or -1 with one line in `err` (cut to `errlen` bytes) that
 * names the file, and the field or line at fault. */
int bd_settings_load(struct bd_settings *settings, const char *path, char *err, size_t errlen);
/* Reads the operators' settings into `settings`, after bd_settings_load; fields that the file does
 * not name stay as they are. May allocate `draining`, also if it fails. 0, or -1 as above. */
int bd_settings_load_operators_file(struct bd_settings *settings, const char *path, char *err,
                                    size_t errlen);
#endif
