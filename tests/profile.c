/* Profiles the leader of a large deployment.
 *
 * - profile check MACHINES: a test. It runs the leader for a fixed number of cycles, counts
 *   the leader's transactions and direct commands, and checks every transaction against the store's
 *   limits.
 * - profile costs MACHINES: runs each kind of work, most of them several times, under callgrind.
 *   It prints a line for each kind with the number of iterations, and callgrind writes a dump named
 *   after the kind. tests/costs.sh checks the instruction counts against upper bounds.
 * - profile full MACHINES: a test. Every machine is filled with small tasks. A failover, the
 *   partition of a zone, and a delegate that serves all machines follow. */
#include "profile.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "wire/wire_workers.h"
#include <stdlib.h>
#include <string.h>

/* Fixed, because jansson otherwise draws a seed in each process and instruction counts would differ
 * between runs. */
#define JANSSON_HASH_SEED 1

#define HEARTBEAT_CACHE_BYTES (1 << 24)

int main(int argc, char **argv)
{
    struct deployment deployment = {.log = {BD_LOG_ERROR, "profile"}};
    static const struct {
        const char *name;
        int (*run)(struct deployment *deployment);
    } commands[] = {{"check", profile_check}, {"costs", profile_costs}, {"full", profile_full}};
    int (*run)(struct deployment * deployment) = NULL;
    for (size_t i = 0; argc == 3 && i < sizeof commands / sizeof commands[0]; i++)
        if (strcmp(argv[1], commands[i].name) == 0)
            run = commands[i].run;
    if (!run)
        return 2;
    json_object_seed(JANSSON_HASH_SEED);
    deployment.machine_count = (uint32_t)strtoul(argv[2], NULL, 10);
    deployment.heartbeats = bd_heartbeat_cache_new(HEARTBEAT_CACHE_BYTES);
    if (!deployment.heartbeats)
        return 1;
    deployment.is_cpu_only = run == profile_full;
    deployment_build(&deployment);
    int status = run(&deployment);
    bd_core_free(deployment.core);
    bd_heartbeat_cache_free(deployment.heartbeats);
    return status;
}
