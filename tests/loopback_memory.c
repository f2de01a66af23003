/* Loopback test of memory: what a job, a task and a connection cost the leader. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include "numbers.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MEMORY_JOBS 1500
#define MEMORY_ARRAYS 20
#define MEMORY_TASKS 10000 /* of an array */
#define MEMORY_CONNECTIONS 200
/* Upper bounds: a cost that doubles is noticed. */
#define START_KB_MAX 3600
#define JOB_BYTES_MAX 7100
#define TASK_BYTES_MAX 37
#define CONNECTION_BYTES_MAX 6900

/* Memory of the process beside its files' pages. */
static long memory_kb(const struct loopback *test, int node)
{
    char path[64], line[128];
    long kb = -1;
    snprintf(path, sizeof path, "/proc/%d/status", (int)test->pid[node]);
    FILE *file = fopen(path, "r");
    while (file && fgets(line, sizeof line, file))
        if (parse_number_after(line, "RssAnon:", &kb))
            break;
    if (file)
        (void)fclose(file);
    return kb;
}

static void check_memory(struct loopback *test, const char *what, double measured, double max)
{
    char text[128];
    snprintf(text, sizeof text, "%s: %.0f, at most %.0f", what, measured, max);
    nodes_check(test, measured > 0 && measured <= max, text);
}

static void submit_many(struct loopback *test, int from, int jobs, int tasks)
{
    int accepted = 0;
    for (int i = 0; i < jobs; i++) {
        char id[32];
        snprintf(id, sizeof id, "job-%d", from + i);
        accepted += nodes_submit(test, id, "sweep", tasks, 10);
    }
    nodes_check(test, accepted == jobs, "all are accepted");
}

/* Until the leader knows the last of them, and a moment more. */
static void wait_until_known(struct loopback *test, int from, int jobs)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/job-%d", from + jobs - 1);
    nodes_check(test, nodes_all_wait_for(test, path, "pending", 10), "all nodes know the last");
    bd_sleep(1.0);
}

/* Each has asked once. Returns how many are open; all descriptors are set, some to -1. */
static int open_connections(const struct loopback *test, int node, int *fd)
{
    static const char text[] = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    struct sockaddr_in to;
    int open = 0;
    for (int i = 0; i < MEMORY_CONNECTIONS; i++) {
        fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        open += fd[i] >= 0 && bd_address_parse(test->addr[node], &to) &&
                connect(fd[i], (struct sockaddr *)&to, sizeof to) == 0 &&
                send(fd[i], text, strlen(text), MSG_NOSIGNAL) > 0;
    }
    return open;
}

/* What a job, a task and a connection cost the leader. A service uses all of the team's quota,
 * so that all other jobs wait. */
void test_memory(struct loopback *test)
{
    int fd[MEMORY_CONNECTIONS];
    nodes_check(test, nodes_all_wait_for(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 32, 10), "a service is accepted");
    nodes_wait_running(test, 32, 30);
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0 && fake_running(test->cluster) == 32, "it runs");
    long start = memory_kb(test, leader);
    submit_many(test, 10000, MEMORY_JOBS, 1);
    wait_until_known(test, 10000, MEMORY_JOBS);
    long jobs = memory_kb(test, leader);
    submit_many(test, 20000, MEMORY_ARRAYS, MEMORY_TASKS);
    wait_until_known(test, 20000, MEMORY_ARRAYS);
    long tasks = memory_kb(test, leader);
    int open = open_connections(test, leader, fd);
    bd_sleep(1.5);
    long connections = memory_kb(test, leader);
    nodes_check(test, open == MEMORY_CONNECTIONS, "all connections are open");
    check_memory(test, "KiB at the start", (double)start, START_KB_MAX);
    check_memory(test, "bytes a job", 1024.0 * (double)(jobs - start) / MEMORY_JOBS, JOB_BYTES_MAX);
    check_memory(test, "bytes a task",
                 1024.0 * (double)(tasks - jobs) / MEMORY_ARRAYS / MEMORY_TASKS, TASK_BYTES_MAX);
    check_memory(test, "bytes a connection",
                 1024.0 * (double)(connections - tasks) / MEMORY_CONNECTIONS, CONNECTION_BYTES_MAX);
    nodes_check(test, fake_store_leader(test->cluster) == leader, "the leader goes on leading");
    for (int i = 0; i < MEMORY_CONNECTIONS; i++)
        if (fd[i] >= 0)
            (void)close(fd[i]);
}
