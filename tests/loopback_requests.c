/* Loopback tests of users' requests, killed controllers, a store outage, job dependencies and lower
 * store limits. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A service runs until its user cancels it. */
static void test_service(struct loopback *test)
{
    char out[256];
    nodes_check(test,
                nodes_submit(test, "job-9", "service", 2, 10) &&
                    nodes_wait_for(test, "/submissions/job-9", "job-9", 10),
                "a service is accepted");
    nodes_wait_for_running_tasks(test, 2, 20);
    nodes_check(test, fake_running_tasks(test->cluster) == 2, "both replicas run");
    nodes_check(test,
                nodes_request(test, 0, "POST", "/submissions/job-9/withdraw", "{}", out,
                              sizeof out) == 200 &&
                    strstr(out, "cancelled"),
                "the service is cancelled");
    struct timespec end = bd_time_add(bd_now(), bd_secs(20));
    while (fake_running_tasks(test->cluster) > 0 && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    nodes_check(test, fake_running_tasks(test->cluster) == 0,
                "both replicas of the service are stopped");
}

void test_normal_operation(struct loopback *test)
{
    char out[256];
    for (int i = 0; i < NODES; i++)
        nodes_check(test, nodes_wait_for(test, "/up", "up", 20), "a node answers /up");
    nodes_check(test, nodes_submit(test, "job-1", "sweep", 6, 10), "a job is accepted");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-1", "\"done\",\"done\":6", 30),
                "an array is done");
    nodes_check(test,
                nodes_submit(test, "job-2", "gang", 2, 10) &&
                    nodes_wait_for(test, "/submissions/job-2", "\"mood\":\"done\"", 30),
                "a gang is done");
    nodes_check(test,
                nodes_request(test, 1, "POST", "/submissions",
                              nodes_submission("job-1", "sweep", 6), out, sizeof out) == 200 &&
                    strstr(out, "done"),
                "a repeated submission gets 200 and the final state");
    test_service(test);
}

void test_bad_requests(struct loopback *test)
{
    char *body = malloc(70000);
    memset(body, ' ', 69999);
    body[69999] = '\0';
    nodes_check(test, nodes_request(test, 0, "POST", "/submissions", "{", NULL, 0) == 400,
                "not JSON: 400");
    nodes_check(test, nodes_request(test, 0, "POST", "/submissions", "[]", NULL, 0) == 400,
                "not an object: 400");
    nodes_check(test, nodes_request(test, 0, "POST", "/submissions", body, NULL, 0) == 413,
                "too large: 413");
    nodes_check(test,
                nodes_request(test, 0, "POST", "/submissions",
                              nodes_submission("job-5", "sweep", 0), NULL, 0) == 400,
                "no tasks: 400");
    nodes_check(test, nodes_request(test, 0, "GET", "/submissions/job-77", NULL, NULL, 0) == 404,
                "unknown job: 404");
    nodes_check(test, nodes_request(test, 0, "GET", "/nowhere", NULL, NULL, 0) == 404,
                "unknown path: 404");
    nodes_check(test, nodes_request(test, 0, "POST", "/up", "{}", NULL, 0) == 405,
                "wrong method: 405");
    nodes_check(test, nodes_request(test, 0, "POST", "/checkin", "{\"hearth\":3}", NULL, 0) == 400,
                "malformed heartbeat: 400");
    free(body);
}

void test_killed_nodes(struct loopback *test)
{
    nodes_check(test, nodes_submit(test, "job-3", "sweep", 12, 10),
                "a job is accepted before the nodes are killed");
    nodes_kill(test, 0);
    bd_sleep(0.2);
    nodes_kill(test, 1);
    nodes_kill(test, 2);
    for (int i = 0; i < NODES; i++)
        nodes_start(test, i);
    nodes_check(test, nodes_wait_for(test, "/submissions/job-3", "\"mood\":\"done\"", 60),
                "the job is done although all nodes were killed");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-9", "cancelled", 10),
                "the cancelled service is still cancelled");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-1", "\"done\"", 10),
                "the finished job is still done");
}

/* A 503 closes the connection, so that the user's retry goes through the load balancer again. */
static void check_closed_after_503(struct loopback *test)
{
    const char *request = "GET /submissions/job-88 HTTP/1.1\r\nHost: a\r\n\r\n";
    char out[1024];
    size_t length = 0;
    ssize_t received = 1;
    struct sockaddr_in address;
    struct timeval timeout = {.tv_sec = 3};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool is_sent = fd >= 0 && bd_address_parse(test->addr[0], &address) &&
                   setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout) == 0 &&
                   connect(fd, (struct sockaddr *)&address, sizeof address) == 0 &&
                   send(fd, request, strlen(request), 0) == (ssize_t)strlen(request);
    while (is_sent && received > 0 && length < sizeof out - 1) {
        received = recv(fd, out + length, sizeof out - 1 - length, 0);
        length += received > 0 ? (size_t)received : 0;
    }
    out[length] = '\0';
    nodes_check(test,
                is_sent && received == 0 && strstr(out, " 503 ") && strstr(out, "Retry-After"),
                "a 503 carries Retry-After and closes the connection");
    if (fd >= 0)
        (void)close(fd);
}

void test_store_outage(struct loopback *test)
{
    nodes_check(test, nodes_submit(test, "job-4", "sweep", 4, 10),
                "a job is accepted before the outage");
    fake_store_set_down(test->cluster, true);
    bd_sleep(3);
    struct timespec submitted_at = bd_now();
    nodes_check(test,
                nodes_request(test, 0, "POST", "/submissions",
                              nodes_submission("job-6", "sweep", 1), NULL, 0) == 503 &&
                    bd_seconds_between(submitted_at, bd_now()) < 1.5,
                "during the outage a submission gets 503 within 1.5 s");
    check_closed_after_503(test);
    nodes_check(test, nodes_request(test, 0, "GET", "/submissions/job-1", NULL, NULL, 0) == 200,
                "during the outage the status of a finished job is still served");
    fake_store_set_down(test->cluster, false);
    nodes_check(test, nodes_wait_for(test, "/submissions/job-4", "\"mood\":\"done\"", 40),
                "the earlier job is done after the outage");
    fake_store_truncate_responses(test->cluster, 12);
    nodes_check(test,
                nodes_submit(test, "job-7", "sweep", 3, 20) &&
                    nodes_wait_for(test, "/submissions/job-7", "\"mood\":\"done\"", 40),
                "a job is done although store responses are truncated");
}

/* Cancelling the first job of a chain cancels all jobs that await it, immediately on every node. */
static void test_chain_cancelled(struct loopback *test)
{
    char out[256];
    nodes_check(
        test,
        nodes_submit(test, "job-40", "sweep", 60, 10) &&
            nodes_submit_dependent(test, "job-41", "sweep", 2, ",\"awaits\":[\"job-40\"]", 10) &&
            nodes_submit_dependent(test, "job-42", "sweep", 2, ",\"awaits\":[\"job-41\"]", 10) &&
            nodes_request(test, 0, "POST", "/submissions/job-40/withdraw", "{}", out, sizeof out) ==
                200 &&
            strstr(out, "cancelled"),
        "the first job of a chain is cancelled");
    for (int i = 0; i < NODES; i++)
        nodes_check(test,
                    nodes_request(test, i, "GET", "/submissions/job-42", NULL, out, sizeof out) ==
                            200 &&
                        strstr(out, "cancelled"),
                    "every node reports at once that the last job is cancelled");
    nodes_check(
        test,
        nodes_submit_dependent(test, "job-43", "sweep", 2, ",\"awaits\":[\"job-42\"]", 10) &&
            nodes_wait_for(test, "/submissions/job-43", "cancelled", 5),
        "a job that awaits a cancelled job is accepted, and is cancelled");
}

/* Jobs that await others are submitted to any node. They run in order, are cancelled together, and
 * are refused if they await a job that was never accepted. */
void test_dependencies(struct loopback *test)
{
    char out[256];
    nodes_check(
        test,
        nodes_submit(test, "job-30", "sweep", 3, 10) &&
            nodes_submit_dependent(test, "job-31", "gang", 2, ",\"awaits\":[\"job-30\"]", 10) &&
            nodes_submit_dependent(test, "job-32", "sweep", 2,
                                   ",\"awaits\":[\"job-30\",\"job-31\"]", 10),
        "a chain of jobs is accepted");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-32", "\"mood\":\"done\"", 40),
                "the last job of the chain is done");
    nodes_check(test, fake_early_task_starts(test->cluster) == 0,
                "no task started before the jobs that its job awaits were done");
    nodes_check(test,
                nodes_request(test, 1, "POST", "/submissions",
                              nodes_dependent_submission("job-33", "sweep", 1,
                                                         ",\"awaits\":[\"job-30\",\"job-77\"]"),
                              out, sizeof out) == 422,
                "awaiting a job that was never accepted: 422");
    nodes_check(test,
                nodes_request(test, 1, "POST", "/submissions",
                              nodes_dependent_submission("job-33", "sweep", 1, ",\"awaits\":7"),
                              out, sizeof out) == 400,
                "awaits is not a list: 400");
    test_chain_cancelled(test);
}

/* Runs jobs until the store has refused a transaction as too large: the records of ended jobs add
 * deletions to the transactions. */
static void run_jobs_until_refused(struct loopback *test)
{
    int too_large = 0, rate_limited = 0;
    for (int i = 0; i < 20 && too_large == 0; i++) {
        char id[32], path[64];
        snprintf(id, sizeof id, "job-62%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        nodes_check(test,
                    nodes_submit(test, id, "sweep", 2, 20) &&
                        nodes_wait_for(test, path, "\"mood\":\"done\"", 60),
                    "another job is done");
        fake_store_rejections(test->cluster, &too_large, &rate_limited);
    }
}

/* The store's limits are lowered. Jobs must still complete, whether this was announced or not. */
void test_lower_limits(struct loopback *test, size_t value_bytes, size_t txn_ops, bool is_announced)
{
    int too_large = 0, rate_limited = 0;
    fake_store_set_limits(test->cluster, value_bytes, txn_ops, 60);
    nodes_check(test,
                nodes_submit(test, "job-60", "sweep", 40, 20) &&
                    nodes_wait_for(test, "/submissions/job-60", "\"mood\":\"done\"", 60),
                "a job is done under lower limits");
    if (!is_announced)
        run_jobs_until_refused(test);
    fake_store_rejections(test->cluster, &too_large, &rate_limited);
    printf("     %d transactions got 400, %d got 429\n", too_large, rate_limited);
    nodes_check(test, is_announced ? too_large == 0 : too_large > 0,
                is_announced ? "no transaction was too large"
                             : "some transactions were refused as too large");
    int rate_limited_before = rate_limited;
    fake_store_set_limits(test->cluster, value_bytes, txn_ops, 6);
    nodes_check(test,
                nodes_submit(test, "job-61", "sweep", 20, 40) &&
                    nodes_wait_for(test, "/submissions/job-61", "\"mood\":\"done\"", 60),
                "a job is done under a lower rate");
    fake_store_rejections(test->cluster, &too_large, &rate_limited);
    nodes_check(test, rate_limited > rate_limited_before, "some transactions exceeded the rate");
    fake_store_set_limits(test->cluster, 0, 0, 0);
}
