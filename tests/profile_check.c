/* `profile check`: the leader places all tasks that fit, with a bounded amount of work. */
#include "profile.h"
#include <stdio.h>

/* Counts the placed and the pending tasks of all jobs of a kind. */
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

#define TRANSACTIONS_MAX 16 /* one intent record a transaction would need 33 */

int profile_check(struct deployment *deployment)
{
    uint32_t service_tasks, pending, array_tasks, gang_tasks, ignored;
    count_tasks(deployment, BD_JOB_SERVICE, &service_tasks, &pending);
    count_tasks(deployment, BD_JOB_ARRAY, &array_tasks, &ignored);
    count_tasks(deployment, BD_JOB_GANG, &gang_tasks, &ignored);
    fprintf(stderr,
            "%u transactions, %u direct commands; tasks placed: %u service, %u array, %u gang\n",
            deployment->transactions, deployment->direct_commands, service_tasks, array_tasks,
            gang_tasks);
    if (pending > 0)
        deployment_fail(deployment, "service tasks pending", pending, 0);
    if (gang_tasks < 60 * 4)
        deployment_fail(deployment, "gang tasks not placed", 60 * 4 - gang_tasks, 0);
    if (deployment->transactions > TRANSACTIONS_MAX)
        deployment_fail(deployment, "transactions", deployment->transactions, TRANSACTIONS_MAX);
    /* a command carries many launches, so that a machine needs few commands */
    if (deployment->direct_commands > 2 * deployment->machine_count)
        deployment_fail(deployment, "direct commands", deployment->direct_commands,
                        2 * (size_t)deployment->machine_count);
    if (service_tasks + array_tasks + gang_tasks < 8000)
        deployment_fail(deployment, "tasks not placed",
                        8000 - service_tasks - array_tasks - gang_tasks, 0);
    return deployment->failures ? 1 : 0;
}
