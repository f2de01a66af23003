/* Case 4: the leader is stopped while it has calls to the cloud to make; another controller is
 * promoted; the old leader goes on. It must not rent or return machines any more. */
#include "case.h"
#include <stdio.h>
#include <string.h>

static struct site region;
static struct machine *idle;
static struct job *newer;
static int old_leader = -1;
static uint64_t promoted_mark;
static double promoted_at; /* another controller holds the leader's key; 0: not yet */

/* A request that was on its way when the other controller was promoted is no breach. */
#define ON_ITS_WAY_S 2.0

static void watch_cloud(int node, const char *path, json_t *body)
{
    json_t *name;
    size_t i;
    if (node != old_leader || promoted_at == 0 || now_s() < promoted_at + ON_ITS_WAY_S ||
        store_leader() == node)
        return;
    violation("one holder: hearth-%d sends %s, %.1f s after hearth-%d was promoted", node, path,
              now_s() - promoted_at, store_leader());
    json_array_foreach(json_object_get(body, "hearths"), i, name)
    {
        struct machine *m = machine_named(json_string_value(name));
        if (m && machine_tasks(m) > 0)
            violation("one holder: the replaced controller returns %s with %d tasks of the new "
                      "leader on it",
                      m->id, machine_tasks(m));
    }
}

static bool is_promoted(void)
{
    return store_leader() >= 0 && store_leader() != old_leader;
}

static bool idle_has_seen_new_leader(void)
{
    return idle->seal >= promoted_mark;
}

static bool newer_runs(void)
{
    return job_on_machines(newer, RUNNING) > 0;
}

/* Submits a job that only the idle machine can run. */
static void submit_newer(void)
{
    newer = job_add("intag", now_s());
    newer->team = 1;
    newer->breeds = 1u << 0;
    newer->glade = idle->zone;
    newer->chores = 2;
    newer->vcpus = 2;
    newer->mem_gb = 5.9;
    newer->run_s = newer->guess_s = 120;
}

int main(int argc, char **argv)
{
    region = norrvik;
    /* the cloud has nothing left of the larger types */
    memset(region.capacity, 0, sizeof region.capacity);
    for (int type = 0; type < region.ntypes; type++)
        region.capacity[type][0][0] = region.capacity[type][1][0] = 1;
    if (!case_begin(argc, argv, &region))
        return 2;
    W.on_cloud_change = watch_cloud;
    idle = machine_add(0, 0, false, true);
    for (int type = 1; type < region.ntypes; type++)
        for (int zone = 0; zone < region.nzones; zone++)
            machine_add(type, zone, false, true);
    for (int i = 0; i < NODES; i++)
        node_start(i);
    if (!case_wait_ready())
        return case_cannot("no leader");
    old_leader = store_leader();
    /* the larger types are asked for while the idle machine falls due for its return */
    double ready = now_s();
    long log_from = 0;
    world_run_until(ready + 8);
    for (int k = 0; k < 3; k++) {
        struct job *large = job_add("intag", now_s());
        large->team = k;
        large->breeds = 1u << 1 | 1u << 2;
        large->windfall = true;
        large->chores = 40;
        large->vcpus = 30;
        large->mem_gb = 60;
        large->run_s = large->guess_s = 60;
    }
    bool is_due = false;
    char line[80];
    snprintf(line, sizeof line, "scaling in machine %s", idle->id);
    while (!is_due && now_s() < ready + 40) {
        world_run_until(now_s() + 0.001);
        is_due = log_has(old_leader, line, &log_from);
    }
    if (!is_due)
        return case_cannot("the idle machine was not to be returned");
    if (trouble) {
        node_freeze(old_leader);
        if (idle->is_gone)
            return case_cannot("the machine was returned before the stop");
        if (!world_wait(is_promoted, 10))
            return case_cannot("no other controller was promoted");
        promoted_at = now_s();
        promoted_mark = store_leader_mark();
        if (!world_wait(idle_has_seen_new_leader, 15))
            return case_cannot("the machine did not find the new leader");
    }
    submit_newer();
    if (!world_wait(newer_runs, 40))
        return case_cannot("the newer job did not run");
    world_run_until(now_s() + 2);
    if (trouble)
        node_resume(old_leader);
    world_run_until(now_s() + 10);
    return case_end();
}
