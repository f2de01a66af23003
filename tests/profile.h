/* A large deployment in the pure core: one leader, all machines and their tasks; and the commands
 * of `profile` that run on it. */
#ifndef BD_TESTS_PROFILE_H
#define BD_TESTS_PROFILE_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <jansson.h>

#define PEER_NAME "node-1"

struct deployment {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;
    struct bd_heartbeat_cache *heartbeats;
    uint64_t revision, heartbeat_seq; /* the latest of each */
    double now_s;                     /* simulated time since the start */
    uint32_t machine_count;
    bool is_cpu_only; /* only machines without GPUs, and no jobs at first */
    /* counters */
    uint32_t transactions, direct_commands, failures;
};

/* ---- profile_deployment.c ---- */

/* Adds machines. Unless `is_cpu_only` is set, also adds jobs and runs BUILD_CYCLES scheduling
 * cycles. The caller frees the core. */
void deployment_build(struct deployment *deployment);
void deployment_set_time(struct deployment *deployment, double now_s);
void deployment_add_job(struct deployment *deployment, int number, enum bd_job_kind kind,
                        uint32_t tasks, double cpus, double gpus, double memory_gb);
/* The leader receives a heartbeat of one machine, which reports its tasks as running, up to
 * REPORTED_TASKS_MAX of them. */
void deployment_heartbeat(struct deployment *deployment, uint32_t number);
/* Advances the time by 1.1 s, runs a scheduling cycle and commits its transaction. */
void deployment_run_cycle(struct deployment *deployment);
/* Frees the pending effects. Counts direct commands, and checks the leader's transactions. */
void deployment_discard_effects(struct deployment *deployment);
/* Counts a transaction and checks it against the store's limits. */
void deployment_check_transaction(struct deployment *deployment, const char *body);
/* The intent records of all reservations, as the store would list them. The caller frees them. */
json_t *deployment_intents(const struct deployment *deployment);
/* Counts a failed check and prints it with the value and its upper bound. */
void deployment_fail(struct deployment *deployment, const char *what, size_t value, size_t max);

/* ---- Commands of `profile`. Each returns an exit status. ---- */

int profile_check(struct deployment *deployment); /* profile_check.c */
int profile_costs(struct deployment *deployment); /* profile_costs.c */
int profile_full(struct deployment *deployment);  /* profile_full.c */
#endif
