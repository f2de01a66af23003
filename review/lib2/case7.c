/* Case 7: an accepted job lists 32 machine types, one of which the cloud offers. After a restart of
 * all controllers its names fill the table of types, and the cloud's other types are ignored. */
#include "case.h"
#include <stdio.h>

#define OTHER_TYPES 31 /* with the one that the cloud offers: 32 */

static struct site region;

static struct job *train(double at)
{
    struct job *j = job_add("demand-train", at);
    j->shape = GANG;
    j->rank = "high";
    j->vcpus = 10;
    j->gpus = 2;
    j->mem_gb = 38;
    j->image_gb = 1;
    j->run_s = j->guess_s = 20;
    return j;
}

static struct job *service, *first, *second, *third;

static bool both_run(void)
{
    return job_on_machines(service, RUNNING) == 1 && job_on_machines(first, RUNNING) == 1;
}

static bool second_is_accepted(void)
{
    return second->accepted_at > 0;
}

static bool no_controller_is_up(void)
{
    return !W.nodes[0].is_healthy && !W.nodes[1].is_healthy && !W.nodes[2].is_healthy;
}

static bool third_is_answered(void)
{
    return third->accepted_at > 0 || third->gave_up;
}

int main(int argc, char **argv)
{
    region = shirakaba;
    for (int type = 0; type < region.ntypes; type++)
        for (int zone = 0; zone < region.nzones; zone++) {
            region.capacity[type][zone][0] = type < 3 && zone == 0;
            region.capacity[type][zone][1] = 0;
        }
    if (!case_begin(argc, argv, &region))
        return 2;
    machine_add(0, 0, false, true); /* kitsune */
    machine_add(2, 0, false, true); /* tancho, 2 GPUs */
    for (int i = 0; i < NODES; i++)
        node_start(i);
    if (!case_wait_ready())
        return case_cannot("no leader");

    service = job_add("ride-api", now_s());
    service->shape = SERVICE;
    service->rank = "production";
    service->team = 1;
    service->vcpus = 2;
    service->mem_gb = 2.8;
    service->guess_s = service->run_s = 0;
    service->breeds = 1u << 0;
    service->other_breeds = OTHER_TYPES;
    first = train(now_s());
    if (!world_wait(both_run, 25))
        return case_cannot("the service and the first gang do not run");
    second = train(now_s());
    if (!world_wait(second_is_accepted, 10))
        return case_cannot("the second gang is not accepted");
    if (trouble) {
        for (int i = 0; i < NODES; i++)
            node_kill(i, region.restart_s);
        if (!world_wait(no_controller_is_up, 10) || !case_wait_ready())
            return case_cannot("no leader after the restart");
    }
    third = train(now_s() + 2);
    if (!world_wait(third_is_answered, 20))
        return case_cannot("the third gang gets no answer");
    if (third->gave_up)
        violation("refused: %s is like %s, which was accepted and ran, and %s is up; it is answered "
                  "as one that can never run", third->id, first->id, W.machines[1].id);
    world_run_until(now_s() + 40);
    record("%s (accepted) was started %d times", second->id, second->starts);
    return case_end();
}
