/* Three real controllers on loopback against the project's fake store, cloud and workers
 * (tests/fake_*.c), with a platform that restarts processes that have ended, and a record of what
 * was sent, answered and run. Shared by the cases of the review. */
#ifndef RIG_H
#define RIG_H
#include "base/http.h"
#include "fake_server.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#define RIG_NODES 3

struct rig_options {
    double ram_mb, cpu, restart_s;       /* of each controller */
    double value_kb, state_rps, write_rps;
    int txn_ops, max_sockets;
    double cloud_rps, list_lag_s;
    double cpus_max;                     /* of the only team, `blue`; 0: no limit */
    double report_s, lease_s, cancel_s;  /* fake workers: 0.2 s and 6 s */
    bool enforces_memory;                /* the platform kills a process that exceeds ram_mb */
    const char *state_addr[RIG_NODES];   /* NULL: the fake store */
    const char *cloud_addr;              /* NULL: the fake cloud */
};

struct rig {
    struct rig_options options;
    const char *program;
    char dir[96], addr[RIG_NODES][32], settings_file[RIG_NODES][160], log_file[RIG_NODES][160];
    const char *node_addresses[RIG_NODES];
    int first_port;
    struct bd_http *client;
    struct fake_cluster *cluster;
    FILE *record;
    pthread_mutex_t lock;   /* protects the fields below */
    pthread_t platform;
    bool is_stopping;
    pid_t pid[RIG_NODES];   /* 0: not running */
    double restart_at[RIG_NODES]; /* 0: not to be restarted */
    long peak_kb[RIG_NODES]; /* largest since the process started */
    int memory_ends, other_ends; /* ended for memory; ended by themselves */
};

double rig_now(void); /* monotonic, seconds */
double rig_elapsed(void); /* since rig_open */
void rig_sleep(double seconds);
/* Writes a line with the time since the start to the record. */
void rig_note(struct rig *rig, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* False: could not be set up. record_path: of the record. */
bool rig_open(struct rig *rig, const char *program, const char *record_path,
              const struct rig_options *options);
void rig_start_node(struct rig *rig, int node);
/* Starts all controllers and waits until each answers its health check. */
bool rig_start_all(struct rig *rig);
/* The disruption: ends a process; the platform restarts it after restart_s. */
void rig_crash(struct rig *rig, int node);
int rig_leader(struct rig *rig);
/* Waits until a node leads. -1: none did in time. */
int rig_wait_leader(struct rig *rig, double seconds);
/* One request to a controller. Returns the status, 0: no answer. */
long rig_request(struct rig *rig, int node, const char *method, const char *path, const char *body,
                 double timeout_s, char *out, size_t capacity);
/* A user's request through the load balancer: tries the controllers in turn, at most `seconds` long,
 * until a status in 200, 201, 400, 404, 422. */
long rig_user(struct rig *rig, const char *method, const char *path, const char *body,
              double seconds, char *out, size_t capacity);
/* In a static buffer. extra: further fields, with a leading comma, or "". */
char *rig_submission(const char *id, const char *shape, int tasks, const char *extra);
long rig_submit(struct rig *rig, const char *id, const char *shape, int tasks, const char *extra,
                double seconds);
/* Amounts of the next submissions' tasks; 1 and 1 at first. */
void rig_set_amounts(double vcpus, double mem_gb);
/* Polls the job until the answer contains the text. */
bool rig_wait_for(struct rig *rig, const char *id, const char *text, double seconds);
/* Ends all processes, removes the temporary folder, and closes the record. */
void rig_close(struct rig *rig);
#endif
