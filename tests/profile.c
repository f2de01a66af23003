/* A leader at the size of a large deployment. `profile check MACHINES` is a test: it counts what
 * the leader does until all that fits is placed, and holds every transaction against the store's
 * limits. `profile costs MACHINES` does each kind of work a number of times, for
 * callgrind: a line a kind with the times, and callgrind's dump of that name; tests/costs.sh holds
 * the instructions against upper counts. `profile full MACHINES` is a test again: every machine is
 * full of small tasks, and a failover, a cut zone and a delegate of all machines follow. */
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

#define HASH_SEED 1 /* of jansson's objects */

#define HEARTBEAT_CACHE_BYTES (1 << 24)

int main(int argc, char **argv)
{
    struct deployment deployment = {.log = {BD_LOG_ERROR, "profile"}};
    static const struct {
        const char *verb;
        int (*run)(struct deployment *deployment);
    } verbs[] = {{"check", profile_check}, {"costs", profile_costs}, {"full", profile_full}};
    int (*run)(struct deployment * deployment) = NULL;
    for (size_t i = 0; argc == 3 && i < sizeof verbs / sizeof verbs[0]; i++)
        if (strcmp(argv[1], verbs[i].verb) == 0)
            run = verbs[i].run;
    if (!run)
        return 2;
    json_object_seed(HASH_SEED); /* else drawn anew by each process, and counts differ by run */
    deployment.machines = (uint32_t)strtoul(argv[2], NULL, 10);
    deployment.heartbeats = bd_heartbeat_cache_new(HEARTBEAT_CACHE_BYTES);
    if (!deployment.heartbeats)
        return 1;
    deployment.is_plain = run == profile_full;
    deployment_build(&deployment);
    int status = run(&deployment);
    bd_core_free(deployment.core);
    bd_heartbeat_cache_free(deployment.heartbeats);
    return status;
}
