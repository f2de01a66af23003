/* Case 5: a user cancels a job with many small tasks. Its ended tasks stay in the worker's reports
 * for good, until the reports exceed 64 KiB and no controller takes them any more. */
#include "case.h"
#include <stdio.h>

#define TASKS 560
#define OTHERS 30 /* jobs of the class beside the cancelled one and the last: 1 of 32 is cancelled */

static struct site region;
static struct job *first, *last, *service;

static void watch_lease(struct machine *m)
{
    if (machine_tasks(m) > 0)
        violation("lease: %s was up and connected all the time, but %d of its reports were refused "
                  "with 413; its lease ends and its %d tasks are killed",
                  m->id, W.reports_refused, machine_tasks(m));
}

static struct job *array(double at, int tasks, double run_s)
{
    struct job *j = job_add("log-compact", at);
    j->rank = "idle";
    j->chores = tasks;
    j->vcpus = 0.1;
    j->mem_gb = 0.1;
    j->image_gb = 0.2;
    j->run_s = j->guess_s = run_s;
    return j;
}

static bool service_runs(void)
{
    return job_on_machines(service, RUNNING) == service->chores;
}

static bool first_runs(void)
{
    return job_on_machines(first, RUNNING) >= TASKS;
}

static bool first_is_over(void)
{
    return (first->told_cancelled_at > 0 || first->told_done_at > 0) &&
           job_on_machines(first, PULLING) == 0;
}

int main(int argc, char **argv)
{
    region = shirakaba;
    for (int type = 0; type < region.ntypes; type++)
        for (int zone = 0; zone < region.nzones; zone++)
            region.capacity[type][zone][0] = region.capacity[type][zone][1] = 0;
    region.capacity[1][0][0] = 1;
    if (!case_begin(argc, argv, &region))
        return 2;
    W.on_lease_end = watch_lease;
    machine_add(1, 0, false, true);
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
    service->image_gb = 0.5;
    service->guess_s = service->run_s = 0;
    if (!world_wait(service_runs, 15))
        return case_cannot("the service does not run");
    double start = now_s();
    for (int i = 0; i < OTHERS; i++)
        array(start + 1 + i, 1, 1);
    first = array(start, TASKS, 6);
    if (!world_wait(first_runs, 20))
        return case_cannot("the first job does not run");
    if (trouble)
        first->cancel_at = now_s();
    if (!world_wait(first_is_over, 30))
        return case_cannot("the first job does not end");
    /* ample time to let the worker forget the ended tasks */
    world_run_until(now_s() + 34);
    record("%s: %d tasks in its reports, %d of them not ended", W.machines[0].id,
           W.machines[0].ntasks, machine_tasks(&W.machines[0]));
    last = array(now_s(), TASKS, 60);
    world_run_until(now_s() + 43);
    if (last->accepted_at == 0)
        return case_cannot("the last job was not accepted");
    return case_end();
}
