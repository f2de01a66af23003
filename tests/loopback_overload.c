/* Loopback test of overload: more connections send requests than can be served. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include "numbers.h"
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS 220
#define LENGTH_COMPLETE SIZE_MAX /* the connection may send its next request */

/* Connections that send the next request as soon as the response to the last one has arrived. */
struct client_pool {
    int fd[CONNECTIONS];
    char response[CONNECTIONS][512];
    size_t length[CONNECTIONS];
    int served, refused, without_retry_after, unexpected, without_response;
};

static void pool_send_request(struct loopback *test, struct client_pool *pool, int i, int node)
{
    struct sockaddr_in address;
    char request[1024];
    const char *body = nodes_submission(i % 2 ? "job-80" : "job-81", "sweep", 2);
    if (pool->fd[i] < 0 && bd_address_parse(test->addr[node], &address)) {
        pool->fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (pool->fd[i] >= 0 &&
            connect(pool->fd[i], (struct sockaddr *)&address, sizeof address) != 0) {
            (void)close(pool->fd[i]);
            pool->fd[i] = -1;
        }
    }
    pool->length[i] = 0;
    if (i % 3)
        snprintf(request, sizeof request, "GET /submissions/job-8%d HTTP/1.1\r\nHost: a\r\n\r\n",
                 i % 4);
    else
        snprintf(request, sizeof request,
                 "POST /submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s",
                 strlen(body), body);
    if (pool->fd[i] >= 0 && send(pool->fd[i], request, strlen(request), MSG_NOSIGNAL) < 0) {
        (void)close(pool->fd[i]);
        pool->fd[i] = -1;
    }
}

static void pool_receive(struct client_pool *pool, int i)
{
    ssize_t received = recv(pool->fd[i], pool->response[i] + pool->length[i],
                            sizeof pool->response[i] - 1 - pool->length[i], MSG_DONTWAIT);
    pool->length[i] += received > 0 ? (size_t)received : 0;
    pool->response[i][pool->length[i]] = '\0';
    long status = 0;
    if (parse_number_after(pool->response[i], "HTTP/1.1 ", &status) &&
        strstr(pool->response[i], "}")) {
        bool is_served = status == 200 || status == 201 || status == 404;
        pool->served += is_served;
        pool->refused += status == 503 || status == 429;
        pool->unexpected += !is_served && status != 503 && status != 429;
        pool->without_retry_after +=
            (status == 503 || status == 429) && !strstr(pool->response[i], "Retry-After");
    } else if (received <= 0) {
        pool->without_response++;
    } else {
        return; /* the response is not complete yet */
    }
    if (received <= 0 || status == 503) {
        (void)close(pool->fd[i]);
        pool->fd[i] = -1;
    }
    pool->length[i] = LENGTH_COMPLETE;
}

/* Sends requests on all connections for `seconds` and adds to the counts of responses. */
static void pool_run(struct loopback *test, struct client_pool *pool, int node, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    struct pollfd polled[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++)
        pool_send_request(test, pool, i, node);
    while (bd_time_is_before(bd_now(), end)) {
        for (int i = 0; i < CONNECTIONS; i++)
            polled[i] = (struct pollfd){.fd = pool->fd[i], .events = POLLIN};
        if (poll(polled, CONNECTIONS, 20) < 0)
            break;
        for (int i = 0; i < CONNECTIONS; i++) {
            if (pool->fd[i] >= 0 && polled[i].revents)
                pool_receive(pool, i);
            if (pool->fd[i] < 0 || pool->length[i] == LENGTH_COMPLETE)
                pool_send_request(test, pool, i, node);
        }
    }
    for (int i = 0; i < CONNECTIONS; i++) {
        if (pool->fd[i] >= 0)
            (void)close(pool->fd[i]);
        pool->fd[i] = -1;
    }
}

/* Connections send requests to the leader without a pause, then to another node that the store
 * refuses. Lease renewals, heartbeats and jobs must go on; each refusal must carry Retry-After. */
void test_overload(struct loopback *test)
{
    struct client_pool *pool = calloc(1, sizeof *pool);
    if (!pool)
        abort();
    for (int i = 0; i < CONNECTIONS; i++)
        pool->fd[i] = -1;
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 2, 10), "a service is accepted");
    nodes_wait_for_running_tasks(test, 2, 20);
    int leader = fake_store_leader(test->cluster), other = (leader + 1) % NODES;
    nodes_check(test, leader >= 0 && fake_running_tasks(test->cluster) == 2,
                "both replicas of the service run");
    pool_run(test, pool, leader, 6);
    printf("     %d served, %d refused, %d without a response\n", pool->served, pool->refused,
           pool->without_response);
    nodes_check(test, pool->served > CONNECTIONS && pool->unexpected == 0,
                "requests are served, and all responses have an expected status");
    nodes_check(test, fake_store_leader(test->cluster) == leader, "the leader has not changed");
    nodes_check(test,
                fake_lease_expiries(test->cluster) == 0 && fake_running_tasks(test->cluster) == 2,
                "no worker lease expired, and both replicas run");
    nodes_check(test,
                nodes_request(test, other, "POST", "/submissions",
                              nodes_submission("job-85", "sweep", 4), NULL, 0) == 201 &&
                    nodes_wait_for(test, "/submissions/job-85", "\"mood\":\"done\"", 30),
                "another job completes");
    int refused_before = pool->refused;
    fake_store_refuse_node(test->cluster, other, true);
    bd_sleep(2.5);
    pool_run(test, pool, other, 3);
    fake_store_refuse_node(test->cluster, other, false);
    printf("     %d refused, %d in total without Retry-After\n", pool->refused - refused_before,
           pool->without_retry_after);
    nodes_check(
        test, pool->refused - refused_before > CONNECTIONS && pool->without_retry_after == 0,
        "more requests than connections are refused, and every refusal carries Retry-After");
    nodes_check(test,
                nodes_wait_for_all(test, "/up", "up", 20) &&
                    nodes_wait_for_all(test, "/submissions/job-80", "\"mood\":\"done\"", 30),
                "all nodes are up and report the job as done");
    nodes_check(test,
                fake_lease_expiries(test->cluster) == 0 &&
                    fake_running_tasks_of_job(test->cluster, "job-9") == 2,
                "no worker lease expired, and both replicas still run");
    free(pool);
}
