/* `profile check`: all that fits is placed, by a bounded amount of work. */
#include "profile.h"
#include <stdio.h>

/* Tasks of the kind that are placed, and that wait. */
static void count_tasks(const struct deployment *deployment, enum bd_job_kind kind,
                        uint32_t *placed, uint32_t *pending)
{
    *placed = *pending = 0;
    for (const struct bd_job *job = deployment->core->jobs; job; job = job->hh.next) {
        if (job->spec.kind != kind)
            continue;
        *placed += job->nplaced;
        *pending += job->npending;
    }
}

#define COMMITS_MAX 16 /* 33 with one intent record in each */

/* What was built must have been placed, by a bounded amount of work. */
int profile_check(struct deployment *deployment)
{
    uint32_t services, pending, arrays, gangs, ignored;
    count_tasks(deployment, BD_JOB_SERVICE, &services, &pending);
    count_tasks(deployment, BD_JOB_ARRAY, &arrays, &ignored);
    count_tasks(deployment, BD_JOB_GANG, &gangs, &ignored);
    fprintf(stderr, "%u commits, %u commands; %u services, %u arrays, %u gang tasks placed\n",
            deployment->commits, deployment->commands, services, arrays, gangs);
    if (pending > 0)
        deployment_fault(deployment, "service tasks left waiting", pending, 0);
    if (gangs < 60 * 4)
        deployment_fault(deployment, "gang tasks not placed", 60 * 4 - gangs, 0);
    if (deployment->commits > COMMITS_MAX)
        deployment_fault(deployment, "transactions", deployment->commits, COMMITS_MAX);
    /* few for each machine, however many tasks it starts */
    if (deployment->commands > 2 * deployment->machines)
        deployment_fault(deployment, "direct commands", deployment->commands,
                         2 * (size_t)deployment->machines);
    if (services + arrays + gangs < 8000)
        deployment_fault(deployment, "tasks not placed", 8000 - services - arrays - gangs, 0);
    return deployment->faults ? 1 : 0;
}
