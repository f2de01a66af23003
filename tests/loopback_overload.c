/* Loopback test of overload: more connections ask than can be served. */
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

struct crowd { /* connections that ask again as soon as they are answered */
    int fd[CONNECTIONS];
    char answer[CONNECTIONS][512];
    size_t length[CONNECTIONS];
    int answered, refused, without_retry_after, unexpected, dropped;
};

static void crowd_ask(struct loopback *test, struct crowd *crowd, int i, int node)
{
    struct sockaddr_in to;
    char text[1024];
    const char *body = nodes_submission(i % 2 ? "job-80" : "job-81", "sweep", 2);
    if (crowd->fd[i] < 0 && bd_address_parse(test->addr[node], &to)) {
        crowd->fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (crowd->fd[i] >= 0 && connect(crowd->fd[i], (struct sockaddr *)&to, sizeof to) != 0) {
            (void)close(crowd->fd[i]);
            crowd->fd[i] = -1;
        }
    }
    crowd->length[i] = 0;
    if (i % 3)
        snprintf(text, sizeof text, "GET /submissions/job-8%d HTTP/1.1\r\nHost: a\r\n\r\n", i % 4);
    else
        snprintf(text, sizeof text,
                 "POST /submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s",
                 strlen(body), body);
    if (crowd->fd[i] >= 0 && send(crowd->fd[i], text, strlen(text), MSG_NOSIGNAL) < 0) {
        (void)close(crowd->fd[i]);
        crowd->fd[i] = -1;
    }
}

static void crowd_receive(struct crowd *crowd, int i)
{
    ssize_t received = recv(crowd->fd[i], crowd->answer[i] + crowd->length[i],
                            sizeof crowd->answer[i] - 1 - crowd->length[i], MSG_DONTWAIT);
    crowd->length[i] += received > 0 ? (size_t)received : 0;
    crowd->answer[i][crowd->length[i]] = '\0';
    long status = 0;
    if (parse_number_after(crowd->answer[i], "HTTP/1.1 ", &status) &&
        strstr(crowd->answer[i], "}")) {
        bool good = status == 200 || status == 201 || status == 404;
        crowd->answered += good;
        crowd->refused += status == 503 || status == 429;
        crowd->unexpected += !good && status != 503 && status != 429;
        crowd->without_retry_after +=
            (status == 503 || status == 429) && !strstr(crowd->answer[i], "Retry-After");
    } else if (received <= 0) {
        crowd->dropped++;
    } else {
        return; /* the rest comes */
    }
    if (received <= 0 || status == 503) {
        (void)close(crowd->fd[i]);
        crowd->fd[i] = -1;
    }
    crowd->length[i] = SIZE_MAX; /* may ask again */
}

/* The connections ask for so long; the counts of answers are added up. */
static void crowd_run(struct loopback *test, struct crowd *crowd, int node, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    struct pollfd polled[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++)
        crowd_ask(test, crowd, i, node);
    while (bd_time_is_before(bd_now(), end)) {
        for (int i = 0; i < CONNECTIONS; i++)
            polled[i] = (struct pollfd){.fd = crowd->fd[i], .events = POLLIN};
        if (poll(polled, CONNECTIONS, 20) < 0)
            break;
        for (int i = 0; i < CONNECTIONS; i++) {
            if (crowd->fd[i] >= 0 && polled[i].revents)
                crowd_receive(crowd, i);
            if (crowd->fd[i] < 0 || crowd->length[i] == SIZE_MAX)
                crowd_ask(test, crowd, i, node);
        }
    }
    for (int i = 0; i < CONNECTIONS; i++) {
        if (crowd->fd[i] >= 0)
            (void)close(crowd->fd[i]);
        crowd->fd[i] = -1;
    }
}

/* A few hundred connections ask the leader without a pause, then while the store refuses it:
 * renewals, heartbeats and work go on, and who is refused gets a Retry-After. */
void test_overload(struct loopback *test)
{
    struct crowd *crowd = calloc(1, sizeof *crowd);
    if (!crowd)
        abort();
    for (int i = 0; i < CONNECTIONS; i++)
        crowd->fd[i] = -1;
    nodes_check(test, nodes_all_wait_for(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 2, 10), "a service is accepted");
    nodes_wait_running(test, 2, 20);
    int leader = fake_store_leader(test->cluster), other = (leader + 1) % NODES;
    nodes_check(test, leader >= 0 && fake_running(test->cluster) == 2, "it runs");
    crowd_run(test, crowd, leader, 6);
    printf("     %d answered, %d refused, %d without an answer\n", crowd->answered, crowd->refused,
           crowd->dropped);
    nodes_check(test, crowd->answered > CONNECTIONS && crowd->unexpected == 0,
                "the crowd is answered");
    nodes_check(test, fake_store_leader(test->cluster) == leader, "the leader goes on leading");
    nodes_check(test, fake_lease_expiries(test->cluster) == 0 && fake_running(test->cluster) == 2,
                "no lease was lost");
    nodes_check(test,
                nodes_ask(test, other, "POST", "/submissions",
                          nodes_submission("job-85", "sweep", 4), NULL, 0) == 201 &&
                    nodes_wait_for(test, "/submissions/job-85", "\"mood\":\"done\"", 30),
                "another job is done");
    int before = crowd->refused;
    fake_store_refuse(test->cluster, other, true);
    bd_sleep(2.5);
    crowd_run(test, crowd, other, 3);
    fake_store_refuse(test->cluster, other, false);
    printf("     %d refused, %d of them without a time\n", crowd->refused - before,
           crowd->without_retry_after);
    nodes_check(test, crowd->refused - before > CONNECTIONS && crowd->without_retry_after == 0,
                "who is refused is told when to come");
    nodes_check(test,
                nodes_all_wait_for(test, "/up", "up", 20) &&
                    nodes_all_wait_for(test, "/submissions/job-80", "\"mood\":\"done\"", 30),
                "all nodes are well again");
    nodes_check(test,
                fake_lease_expiries(test->cluster) == 0 &&
                    fake_running_of(test->cluster, "job-9") == 2,
                "the service went on all the time");
    free(crowd);
}
