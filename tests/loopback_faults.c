/* Loopback tests of overlapping store faults. */
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <stdio.h>
#include <string.h>

/* The store is down for all nodes. The cancelled job's tasks must still stop within CANCEL_S and
 * not start again. */
static void check_cancelled_in_time(struct loopback *test)
{
    struct timespec outage_start = bd_now();
    fake_store_set_down(test->cluster, true);
    while (fake_running_tasks_of_job(test->cluster, "job-91") > 0 &&
           bd_seconds_between(outage_start, bd_now()) < CANCEL_S)
        bd_sleep(0.1);
    printf("     stopped after %.1f s\n", bd_seconds_between(outage_start, bd_now()));
    nodes_check(test, fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "the cancelled tasks stop in time although the store is down");
    while (bd_seconds_between(outage_start, bd_now()) < CANCEL_S + 2) {
        if (fake_running_tasks_of_job(test->cluster, "job-91") > 0)
            break;
        bd_sleep(0.1);
    }
    nodes_check(test, fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "no cancelled task starts again");
}

/* The store refuses the leader alone, and another node confirms a cancellation. Then the store is
 * down for all nodes while the workers still send heartbeats to the leader. */
static void test_store_lost_by_leader(struct loopback *test)
{
    char out[256] = "";
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test,
                nodes_submit(test, "job-91", "service", 2, 10) &&
                    nodes_submit(test, "job-92", "service", 2, 10),
                "two services are accepted");
    nodes_wait_for_running_tasks(test, 4, 20);
    nodes_check(test, fake_running_tasks(test->cluster) == 4, "all replicas run");
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0, "there is a leader");
    fake_store_refuse_node(test->cluster, leader, true);
    bd_sleep(0.5);
    int other = (leader + 1) % NODES;
    nodes_check(test,
                nodes_request(test, other, "POST", "/submissions/job-91/withdraw", "{}", out,
                              sizeof out) == 200 &&
                    strstr(out, "cancelled"),
                "another node confirms a cancellation");
    check_cancelled_in_time(test);
    fake_store_refuse_node(test->cluster, leader, false);
    fake_store_set_down(test->cluster, false);
    nodes_check(test, nodes_wait_for_all(test, "/submissions/job-91", "cancelled", 20),
                "all nodes report the job as cancelled");
    struct timespec end = bd_time_add(bd_now(), bd_secs(30));
    while (fake_running_tasks_of_job(test->cluster, "job-92") < 2 &&
           bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    nodes_check(test,
                fake_running_tasks_of_job(test->cluster, "job-92") == 2 &&
                    fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "the other service runs again, the cancelled one does not");
}

/* The leader can renew its lease but not read the job records. This leader must give up the lease,
 * and the new leader must start new jobs. */
static void test_leader_cannot_read(struct loopback *test)
{
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0, "there is a leader before its reads fail");
    fake_store_refuse_job_reads(test->cluster, leader, true);
    struct timespec end = bd_time_add(bd_now(), bd_secs(15));
    while ((fake_store_leader(test->cluster) == leader || fake_store_leader(test->cluster) < 0) &&
           bd_time_is_before(bd_now(), end))
        bd_sleep(0.05);
    nodes_check(test,
                fake_store_leader(test->cluster) >= 0 && fake_store_leader(test->cluster) != leader,
                "a leader that cannot read job records loses the lease to another node");
    int other = (leader + 1) % NODES;
    char out[256] = "";
    long status = nodes_request(test, other, "POST", "/submissions",
                                nodes_submission("job-65", "sweep", 2), out, sizeof out);
    if (status != 201)
        printf("     status %ld, %s\n", status, out);
    nodes_check(
        test, status == 201 && nodes_wait_for(test, "/submissions/job-65", "\"mood\":\"done\"", 20),
        "a job completes under the new leader");
    nodes_check(test, fake_store_leader(test->cluster) != leader,
                "the old leader has not taken the lease back");
    fake_store_refuse_job_reads(test->cluster, leader, false);
    nodes_check(test, nodes_wait_for_all(test, "/submissions/job-65", "\"mood\":\"done\"", 20),
                "all nodes report the job as done");
}

/* Each node must report one of the allowed states or refuse with 503: no node may report an older
 * state than another did, even if responses of the store are lost. */
static void check_responses(struct loopback *test, const char *id,
                            const char *const *allowed_states, int first_node)
{
    char path[64], out[256];
    snprintf(path, sizeof path, "/submissions/%s", id);
    for (int i = 0; i < 2 * NODES; i++) {
        int node = (first_node + i) % NODES;
        long status = i < NODES ? nodes_request(test, node, "GET", path, NULL, out, sizeof out)
                                : nodes_request(test, node, "POST", "/submissions",
                                                nodes_submission(id, "sweep", 1), out, sizeof out);
        bool is_allowed = status == 503;
        for (int k = 0; allowed_states[k] && status == 200; k++)
            is_allowed = is_allowed || strstr(out, allowed_states[k]);
        if (!is_allowed) {
            printf("     node %d, %s: status %ld, %s\n", node, id, status, out);
            test->unexpected_responses++;
        }
    }
}

/* Returns false if the job was done before it could be cancelled. */
static bool cancel_job(struct loopback *test, const char *path)
{
    char url[80], out[256] = "";
    snprintf(url, sizeof url, "%s/withdraw", path);
    for (int tries = 0; tries < 20; tries++) {
        if (nodes_request(test, tries % NODES, "POST", url, "{}", out, sizeof out) == 200)
            break;
        bd_sleep(0.2);
    }
    return strstr(out, "cancelled") != NULL;
}

static void test_lost_responses(struct loopback *test)
{
    static const char *const any_state[] = {"pending", "running", "done", NULL};
    static const char *const done[] = {"\"done\"", NULL};
    static const char *const cancelled[] = {"cancelled", NULL};
    char id[32], path[64];
    int delayed_applied = 0, cancelled_jobs = 0;
    fake_store_set_txn_faults(test->cluster, 0.3, 0.1);
    for (int i = 0; i < 16; i++) {
        snprintf(id, sizeof id, "job-7%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        if (!nodes_submit(test, id, "sweep", 1, 20)) {
            nodes_check(test, 0, "a job is accepted although responses are lost");
            continue;
        }
        check_responses(test, id, any_state, i);
        if (i % 2) {
            nodes_check(test, nodes_wait_for(test, path, "\"mood\":\"done\"", 40),
                        "the job is done");
            check_responses(test, id, done, i + 1);
            continue;
        }
        bool is_cancelled = cancel_job(test, path);
        cancelled_jobs += is_cancelled;
        check_responses(test, id, is_cancelled ? cancelled : done, i + 1);
    }
    fake_store_set_txn_faults(test->cluster, 0, 0);
    int lost = fake_store_lost_responses(test->cluster, &delayed_applied);
    printf("     %d responses lost, %d delayed transactions applied, %d jobs cancelled\n", lost,
           delayed_applied, cancelled_jobs);
    nodes_check(test, lost > 0 && cancelled_jobs > 0,
                "responses were lost, and jobs were cancelled");
    nodes_check(test, test->unexpected_responses == 0,
                "each node refused with 503 or reported an allowed state");
}

void test_faults(struct loopback *test)
{
    test_store_lost_by_leader(test);
    test_leader_cannot_read(test);
    test_lost_responses(test);
}
