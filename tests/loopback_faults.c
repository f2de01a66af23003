/* Loopback tests of overlapping faults of the store. */
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <stdio.h>
#include <string.h>

/* Nobody reaches the store any more: the cancelled job's tasks end in time all the same. */
static void check_cancelled_in_time(struct loopback *test)
{
    struct timespec told = bd_now();
    fake_store_set_down(test->cluster, true);
    while (fake_running_tasks_of_job(test->cluster, "job-91") > 0 &&
           bd_seconds_between(told, bd_now()) < CANCEL_S)
        bd_sleep(0.1);
    printf("     gone after %.1f s\n", bd_seconds_between(told, bd_now()));
    nodes_check(test, fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "its tasks are gone in time, though all is out");
    while (bd_seconds_between(told, bd_now()) < CANCEL_S + 2) {
        if (fake_running_tasks_of_job(test->cluster, "job-91") > 0)
            break;
        bd_sleep(0.1);
    }
    nodes_check(test, fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "and none comes back");
}

/* The store refuses the leader alone, another node confirms a cancellation, then it is out
 * for all, while the workers go on reporting to the leader. */
static void test_store_lost_by_leader(struct loopback *test)
{
    char out[256] = "";
    nodes_check(test, nodes_all_wait_for(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test,
                nodes_submit(test, "job-91", "service", 2, 10) &&
                    nodes_submit(test, "job-92", "service", 2, 10),
                "two services are accepted");
    nodes_wait_running(test, 4, 20);
    nodes_check(test, fake_running_tasks(test->cluster) == 4, "all replicas run");
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0, "somebody leads");
    fake_store_refuse_node(test->cluster, leader, true);
    bd_sleep(0.5);
    int other = (leader + 1) % NODES;
    nodes_check(test,
                nodes_ask(test, other, "POST", "/submissions/job-91/withdraw", "{}", out,
                          sizeof out) == 200 &&
                    strstr(out, "cancelled"),
                "another node confirms a withdrawal");
    check_cancelled_in_time(test);
    fake_store_refuse_node(test->cluster, leader, false);
    fake_store_set_down(test->cluster, false);
    nodes_check(test, nodes_all_wait_for(test, "/submissions/job-91", "cancelled", 20),
                "all nodes say so");
    struct timespec end = bd_time_add(bd_now(), bd_secs(30));
    while (fake_running_tasks_of_job(test->cluster, "job-92") < 2 &&
           bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    nodes_check(test,
                fake_running_tasks_of_job(test->cluster, "job-92") == 2 &&
                    fake_running_tasks_of_job(test->cluster, "job-91") == 0,
                "the other service runs again");
}

/* The leader's lease is renewed, but it cannot read the records: another is to lead, and work that
 * comes then is started. */
static void test_leader_cannot_read(struct loopback *test)
{
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0, "somebody leads before its reads fail");
    fake_store_refuse_job_reads(test->cluster, leader, true);
    struct timespec end = bd_time_add(bd_now(), bd_secs(15));
    while ((fake_store_leader(test->cluster) == leader || fake_store_leader(test->cluster) < 0) &&
           bd_time_is_before(bd_now(), end))
        bd_sleep(0.05);
    nodes_check(test,
                fake_store_leader(test->cluster) >= 0 && fake_store_leader(test->cluster) != leader,
                "a leader that cannot read the records gives up the lease");
    int other = (leader + 1) % NODES;
    char out[256] = "";
    long status = nodes_ask(test, other, "POST", "/submissions",
                            nodes_submission("job-65", "sweep", 2), out, sizeof out);
    if (status != 201)
        printf("     %ld %s\n", status, out);
    nodes_check(
        test, status == 201 && nodes_wait_for(test, "/submissions/job-65", "\"mood\":\"done\"", 20),
        "work is done meanwhile");
    nodes_check(test, fake_store_leader(test->cluster) != leader,
                "it does not take the lease back");
    fake_store_refuse_job_reads(test->cluster, leader, false);
    nodes_check(test, nodes_all_wait_for(test, "/submissions/job-65", "\"mood\":\"done\"", 20),
                "all nodes are well again");
}

/* No node may answer older than another did, whatever becomes of the store's answers. */
static void check_answers(struct loopback *test, const char *id, const char *const *allowed,
                          int from)
{
    char path[64], out[256];
    snprintf(path, sizeof path, "/submissions/%s", id);
    for (int i = 0; i < 2 * NODES; i++) {
        int node = (from + i) % NODES;
        long status = i < NODES ? nodes_ask(test, node, "GET", path, NULL, out, sizeof out)
                                : nodes_ask(test, node, "POST", "/submissions",
                                            nodes_submission(id, "sweep", 1), out, sizeof out);
        bool good = status == 503;
        for (int m = 0; allowed[m] && status == 200; m++)
            good = good || strstr(out, allowed[m]);
        if (!good) {
            printf("     node %d on %s: %ld %s\n", node, id, status, out);
            test->stale_answers++;
        }
    }
}

/* False: it was done before. */
static bool cancel_job(struct loopback *test, const char *path)
{
    char url[80], out[256] = "";
    snprintf(url, sizeof url, "%s/withdraw", path);
    for (int k = 0; k < 20; k++) {
        if (nodes_ask(test, k % NODES, "POST", url, "{}", out, sizeof out) == 200)
            break;
        bd_sleep(0.2);
    }
    return strstr(out, "cancelled") != NULL;
}

static void test_lost_answers(struct loopback *test)
{
    static const char *const any[] = {"pending", "running", "done", NULL};
    static const char *const done[] = {"\"done\"", NULL}, *const cancelled_answers[] = {"cancelled",
                                                                                        NULL};
    char id[32], path[64];
    int late = 0, withdrawn = 0;
    fake_store_set_txn_faults(test->cluster, 0.3, 0.1);
    for (int i = 0; i < 16; i++) {
        snprintf(id, sizeof id, "job-7%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        if (!nodes_submit(test, id, "sweep", 1, 20)) {
            nodes_check(test, 0, "a job is accepted though answers are lost");
            continue;
        }
        check_answers(test, id, any, i);
        if (i % 2) {
            nodes_check(test, nodes_wait_for(test, path, "\"mood\":\"done\"", 40), "it is done");
            check_answers(test, id, done, i + 1);
            continue;
        }
        bool cancelled = cancel_job(test, path);
        withdrawn += cancelled;
        check_answers(test, id, cancelled ? cancelled_answers : done, i + 1);
    }
    fake_store_set_txn_faults(test->cluster, 0, 0);
    int lost = fake_store_lost_responses(test->cluster, &late);
    printf("     %d answers were lost, %d transactions applied late, %d jobs withdrawn\n", lost,
           late, withdrawn);
    nodes_check(test, lost > 0 && withdrawn > 0, "answers were lost, and jobs withdrawn");
    nodes_check(test, test->stale_answers == 0, "no node answered older than another");
}

void test_faults(struct loopback *test)
{
    test_store_lost_by_leader(test);
    test_leader_cannot_read(test);
    test_lost_answers(test);
}
