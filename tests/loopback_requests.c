/* Loopback tests of quiet work: users' requests, killed controllers, an outage of the store, job
 * dependencies and lower limits of the store. */
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
    nodes_wait_running(test, 2, 20);
    nodes_check(test, fake_running_tasks(test->cluster) == 2, "both replicas run");
    nodes_check(test,
                nodes_ask(test, 0, "POST", "/submissions/job-9/withdraw", "{}", out, sizeof out) ==
                        200 &&
                    strstr(out, "cancelled"),
                "it is withdrawn");
    struct timespec end = bd_time_add(bd_now(), bd_secs(20));
    while (fake_running_tasks(test->cluster) > 0 && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    nodes_check(test, fake_running_tasks(test->cluster) == 0, "its replicas are gone");
}

void test_quiet_work(struct loopback *test)
{
    char out[256];
    for (int i = 0; i < NODES; i++)
        nodes_check(test, nodes_wait_for(test, "/up", "up", 20), "a node comes up");
    nodes_check(test, nodes_submit(test, "job-1", "sweep", 6, 10), "a job is accepted");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-1", "\"done\",\"done\":6", 30),
                "an array is done");
    nodes_check(test,
                nodes_submit(test, "job-2", "gang", 2, 10) &&
                    nodes_wait_for(test, "/submissions/job-2", "\"mood\":\"done\"", 30),
                "a gang is done");
    nodes_check(test,
                nodes_ask(test, 1, "POST", "/submissions", nodes_submission("job-1", "sweep", 6),
                          out, sizeof out) == 200 &&
                    strstr(out, "done"),
                "a repeated submission gets the final state");
    test_service(test);
}

void test_bad_requests(struct loopback *test)
{
    char *body = malloc(70000);
    memset(body, ' ', 69999);
    body[69999] = '\0';
    nodes_check(test, nodes_ask(test, 0, "POST", "/submissions", "{", NULL, 0) == 400,
                "not JSON: 400");
    nodes_check(test, nodes_ask(test, 0, "POST", "/submissions", "[]", NULL, 0) == 400,
                "not an object: 400");
    nodes_check(test, nodes_ask(test, 0, "POST", "/submissions", body, NULL, 0) == 413,
                "too large: 413");
    nodes_check(test,
                nodes_ask(test, 0, "POST", "/submissions", nodes_submission("job-5", "sweep", 0),
                          NULL, 0) == 400,
                "no tasks: 400");
    nodes_check(test, nodes_ask(test, 0, "GET", "/submissions/job-77", NULL, NULL, 0) == 404,
                "unknown job: 404");
    nodes_check(test, nodes_ask(test, 0, "GET", "/nowhere", NULL, NULL, 0) == 404,
                "unknown path: 404");
    nodes_check(test, nodes_ask(test, 0, "POST", "/up", "{}", NULL, 0) == 405, "wrong method: 405");
    nodes_check(test, nodes_ask(test, 0, "POST", "/checkin", "{\"hearth\":3}", NULL, 0) == 400,
                "malformed report: 400");
    free(body);
}

void test_killed_nodes(struct loopback *test)
{
    nodes_check(test, nodes_submit(test, "job-3", "sweep", 12, 10), "a job before the kills");
    nodes_kill(test, 0);
    bd_sleep(0.2);
    nodes_kill(test, 1);
    nodes_kill(test, 2);
    for (int i = 0; i < NODES; i++)
        nodes_start(test, i);
    nodes_check(test, nodes_wait_for(test, "/submissions/job-3", "\"mood\":\"done\"", 60),
                "it is done although all nodes were killed");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-9", "cancelled", 10),
                "what was withdrawn still is");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-1", "\"done\"", 10),
                "what was done still is");
}

/* A refused user is to come through the load balancer again: the connection ends with the 503. */
static void check_closed_after_503(struct loopback *test)
{
    const char *text = "GET /submissions/job-88 HTTP/1.1\r\nHost: a\r\n\r\n";
    char out[1024];
    size_t length = 0;
    ssize_t got = 1;
    struct sockaddr_in to;
    struct timeval limit = {3, 0};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool sent = fd >= 0 && bd_address_parse(test->addr[0], &to) &&
                setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0 &&
                connect(fd, (struct sockaddr *)&to, sizeof to) == 0 &&
                send(fd, text, strlen(text), 0) == (ssize_t)strlen(text);
    while (sent && got > 0 && length < sizeof out - 1) {
        got = recv(fd, out + length, sizeof out - 1 - length, 0);
        length += got > 0 ? (size_t)got : 0;
    }
    out[length] = '\0';
    nodes_check(test, sent && got == 0 && strstr(out, " 503 ") && strstr(out, "Retry-After"),
                "a 503 names a time to come again and closes the connection");
    if (fd >= 0)
        (void)close(fd);
}

void test_store_outage(struct loopback *test)
{
    nodes_check(test, nodes_submit(test, "job-4", "sweep", 4, 10), "a job before the outage");
    fake_store_set_down(test->cluster, true);
    bd_sleep(3);
    struct timespec asked = bd_now();
    nodes_check(test,
                nodes_ask(test, 0, "POST", "/submissions", nodes_submission("job-6", "sweep", 1),
                          NULL, 0) == 503 &&
                    bd_seconds_between(asked, bd_now()) < 1.5,
                "during the outage a submission is refused at once");
    check_closed_after_503(test);
    nodes_check(test, nodes_ask(test, 0, "GET", "/submissions/job-1", NULL, NULL, 0) == 200,
                "a final state is answered");
    fake_store_set_down(test->cluster, false);
    nodes_check(test, nodes_wait_for(test, "/submissions/job-4", "\"mood\":\"done\"", 40),
                "it is done afterwards");
    fake_store_truncate_responses(test->cluster, 12);
    nodes_check(test,
                nodes_submit(test, "job-7", "sweep", 3, 20) &&
                    nodes_wait_for(test, "/submissions/job-7", "\"mood\":\"done\"", 40),
                "answers that are cut off do no harm");
}

/* Cancelling the first of a chain cancels all of it, on every node at once. */
static void test_chain_cancelled(struct loopback *test)
{
    char out[256];
    nodes_check(
        test,
        nodes_submit(test, "job-40", "sweep", 60, 10) &&
            nodes_submit_after(test, "job-41", "sweep", 2, ",\"awaits\":[\"job-40\"]", 10) &&
            nodes_submit_after(test, "job-42", "sweep", 2, ",\"awaits\":[\"job-41\"]", 10) &&
            nodes_ask(test, 0, "POST", "/submissions/job-40/withdraw", "{}", out, sizeof out) ==
                200 &&
            strstr(out, "cancelled"),
        "the first of a chain is withdrawn");
    for (int i = 0; i < NODES; i++)
        nodes_check(test,
                    nodes_ask(test, i, "GET", "/submissions/job-42", NULL, out, sizeof out) ==
                            200 &&
                        strstr(out, "cancelled"),
                    "every node says at once that the last is cancelled");
    nodes_check(test,
                nodes_submit_after(test, "job-43", "sweep", 2, ",\"awaits\":[\"job-42\"]", 10) &&
                    nodes_wait_for(test, "/submissions/job-43", "cancelled", 5),
                "one that needs a cancelled one is accepted, and is cancelled");
}

/* Jobs that need others, on any node: in order, cancelled together, refused where one was never
 * accepted. */
void test_dependencies(struct loopback *test)
{
    char out[256];
    nodes_check(test,
                nodes_submit(test, "job-30", "sweep", 3, 10) &&
                    nodes_submit_after(test, "job-31", "gang", 2, ",\"awaits\":[\"job-30\"]", 10) &&
                    nodes_submit_after(test, "job-32", "sweep", 2,
                                       ",\"awaits\":[\"job-30\",\"job-31\"]", 10),
                "a pipeline is accepted");
    nodes_check(test, nodes_wait_for(test, "/submissions/job-32", "\"mood\":\"done\"", 40),
                "it is done");
    nodes_check(test, fake_early_task_starts(test->cluster) == 0, "none of it began too early");
    nodes_check(test,
                nodes_ask(test, 1, "POST", "/submissions",
                          nodes_submission_after("job-33", "sweep", 1,
                                                 ",\"awaits\":[\"job-30\",\"job-77\"]"),
                          out, sizeof out) == 422,
                "a job that was never accepted is not awaited: 422");
    nodes_check(test,
                nodes_ask(test, 1, "POST", "/submissions",
                          nodes_submission_after("job-33", "sweep", 1, ",\"awaits\":7"), out,
                          sizeof out) == 400,
                "no list: 400");
    test_chain_cancelled(test);
}

/* Until a transaction was too large: jobs that ended leave records to drop. */
static void work_until_refused(struct loopback *test)
{
    int refused = 0, busy = 0;
    for (int i = 0; i < 20 && refused == 0; i++) {
        char id[32], path[64];
        snprintf(id, sizeof id, "job-62%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        nodes_check(test,
                    nodes_submit(test, id, "sweep", 2, 20) &&
                        nodes_wait_for(test, path, "\"mood\":\"done\"", 60),
                    "one more is done");
        fake_store_rejections(test->cluster, &refused, &busy);
    }
}

/* The store's limits fall: announced or not, work goes on. */
void test_lower_limits(struct loopback *test, size_t value_bytes, size_t txn_ops, bool is_announced)
{
    int refused = 0, busy = 0;
    fake_store_set_limits(test->cluster, value_bytes, txn_ops, 60);
    nodes_check(test,
                nodes_submit(test, "job-60", "sweep", 40, 20) &&
                    nodes_wait_for(test, "/submissions/job-60", "\"mood\":\"done\"", 60),
                "a job under lower limits is done");
    if (!is_announced)
        work_until_refused(test);
    fake_store_rejections(test->cluster, &refused, &busy);
    printf("     %d transactions got 400, %d got 429\n", refused, busy);
    nodes_check(test, is_announced ? refused == 0 : refused > 0,
                is_announced ? "nothing was too large" : "what was too large was decided anew");
    int busy_before = busy;
    fake_store_set_limits(test->cluster, value_bytes, txn_ops, 6);
    nodes_check(test,
                nodes_submit(test, "job-61", "sweep", 20, 40) &&
                    nodes_wait_for(test, "/submissions/job-61", "\"mood\":\"done\"", 60),
                "a job under a lower rate is done");
    fake_store_rejections(test->cluster, &refused, &busy);
    nodes_check(test, busy > busy_before, "some of it was asked too fast, and came later");
    fake_store_set_limits(test->cluster, 0, 0, 0);
}
