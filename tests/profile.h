/* A large deployment in the pure core, with one leader, all machines and their work: its state and
 * the programs that `profile` runs over it. */
#ifndef BD_TESTS_PROFILE_H
#define BD_TESTS_PROFILE_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <jansson.h>

#define PEER "node-1"

struct deployment {
    struct bd_settings settings;
    struct bd_log log;
    struct bd_core *core;
    struct bd_heartbeat_cache *heartbeats;
    uint64_t revision, seq;
    double now; /* seconds since the begin */
    uint32_t machines;
    bool is_plain; /* all machines are of the cheap type, and there is no work at first */
    /* counted */
    uint32_t commits, commands, faults;
};

/* profile_deployment.c. The core must be freed by the caller. */
void deployment_build(struct deployment *deployment);
void deployment_set_time(struct deployment *deployment, double now);
void deployment_add_job(struct deployment *deployment, int number, enum bd_job_kind kind,
                        uint32_t tasks, double cpus, double gpus, double mem);
/* One machine's heartbeat: all of its tasks run. */
void deployment_heartbeat(struct deployment *deployment, uint32_t number);
/* A scheduling cycle, 1.1 s later; its transaction is committed. */
void deployment_run_cycle(struct deployment *deployment);
/* The effects are counted and freed; transactions are held against the store's limits. */
void deployment_drop_effects(struct deployment *deployment);
/* One transaction against the store's limits. */
void deployment_check_commit(struct deployment *deployment, const char *body);
/* The running tasks' intents as the store would list them; the caller frees them. */
json_t *deployment_intents(const struct deployment *deployment);
void deployment_fault(struct deployment *deployment, const char *what, size_t value, size_t max);

/* Each returns an exit status. */
int profile_check(struct deployment *deployment); /* profile_check.c */
int profile_costs(struct deployment *deployment); /* profile_costs.c */
int profile_full(struct deployment *deployment);  /* profile_full.c */
#endif
