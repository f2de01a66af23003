/* The platform's JSON settings and the operators' own, in S-expressions. */
#ifndef BD_SETTINGS_H
#define BD_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define BD_NAME 64
#define BD_MAX_PEERS 16
#define BD_MAX_ZONES 16
#define BD_MAX_TEAMS 64
#define BD_MAX_SLOS 64

struct bd_peer {
    char name[BD_NAME], zone[BD_NAME], addr[BD_NAME];
};

struct bd_team_quota {
    char name[BD_NAME];
    double cpus, cpus_quota, gpus, gpus_quota; /* guaranteed share and quota; 0: none */
};

enum bd_slo_kind { BD_SLO_WAIT, BD_SLO_FINISHED, BD_SLO_GUARANTEED_SHARE, BD_SLO_OTHER };

struct bd_slo {
    enum bd_slo_kind kind;
    char job_class[BD_NAME];
    double within_s, share;
};

struct bd_drain_rules; /* src/drain/drain_rules.h */

struct bd_settings {
    char node[BD_NAME], zone[BD_NAME], api_addr[BD_NAME], peer_addr[BD_NAME];
    struct bd_peer peers[BD_MAX_PEERS];
    int npeers;
    char cloud[BD_NAME], kv_addr[BD_NAME];
    char zones[BD_MAX_ZONES][BD_NAME];
    int nzones;
    struct bd_team_quota teams[BD_MAX_TEAMS];
    int nteams;
    struct bd_slo slos[BD_MAX_SLOS];
    int nslos;
    int nodes;
    struct timespec heartbeat_interval, lease, gang_wait, gang_peer, cancel, list_lag, clock_error;
    double kv_requests_per_s, kv_writes_per_s,
        cloud_requests_per_s;                  /* the state service's limits: the smaller of */
    size_t kv_value_bytes_max, kv_txn_ops_max; /* what holds now and what is to come */
    double cpu, ram_mb;
    int max_sockets;
    /* operators' own */
    struct timespec leader_ttl; /* zero: derived from the worker lease */
    double headroom_share;      /* spare room, as a multiple of what the aims ask for */
    double idle_boots; /* an idle machine goes back after this many of its type's boot times */
    struct bd_drain_rules *draining; /* NULL: draining is off */
};

/* 0, or -1 with one line in err naming file and field */
int bd_settings_load(struct bd_settings *settings, const char *path, char *err, size_t errlen);
int bd_settings_operator(struct bd_settings *settings, const char *path, char *err, size_t errlen);
#endif
