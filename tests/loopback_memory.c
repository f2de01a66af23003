/* Loopback test of the leader's memory use per job, waiting array and connection. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include "numbers.h"
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MEMORY_JOBS 1500
#define MEMORY_ARRAYS 1500
#define MEMORY_TASKS_PER_ARRAY                                                                     \
    10000 /* an array's tasks wait and cost nothing: it is like a job                              \
           */
#define MEMORY_CONNECTIONS 200
/* Upper bounds, tight enough to detect a doubled cost. */
#define START_KB_MAX 3600
#define JOB_BYTES_MAX 7100
#define CONNECTION_BYTES_MAX 6900

/* Resident memory of the node without file-backed pages, in KiB; -1 if it cannot be read. */
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

static void check_memory(struct loopback *test, const char *quantity, double measured, double max)
{
    char text[128];
    snprintf(text, sizeof text, "%s: %.0f, at most %.0f", quantity, measured, max);
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
    nodes_check(test, accepted == jobs, "all jobs are accepted");
}

/* Waits until all nodes, and so the leader, know the last job, and then for another second. */
static void wait_until_known(struct loopback *test, int from, int jobs)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/job-%d", from + jobs - 1);
    nodes_check(test, nodes_wait_for_all(test, path, "pending", 10), "all nodes know the last job");
    bd_sleep(1.0);
}

/* Opens MEMORY_CONNECTIONS connections and sends one request on each. Returns the number of
 * requests sent; a descriptor is -1 if its socket could not be created. */
static int open_connections(const struct loopback *test, int node, int *fd)
{
    static const char request[] = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    struct sockaddr_in address;
    int sent_requests = 0;
    for (int i = 0; i < MEMORY_CONNECTIONS; i++) {
        fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sent_requests += fd[i] >= 0 && bd_address_parse(test->addr[node], &address) &&
                         connect(fd[i], (struct sockaddr *)&address, sizeof address) == 0 &&
                         send(fd[i], request, strlen(request), MSG_NOSIGNAL) > 0;
    }
    return sent_requests;
}

/* Returns a controller that does not lead and does not receive the submissions. */
static int other_follower(const struct loopback *test)
{
    return fake_store_leader(test->cluster) == NODES - 1 ? NODES - 2 : NODES - 1;
}

/* Guards against memory that a controller keeps after it has read many changes at once, as after a
 * suspension: it may hold no more for each job than if it had read the jobs one by one. */
void test_memory_after_backlog(struct loopback *test)
{
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 32, 10), "a service is accepted");
    nodes_wait_for_running_tasks(test, 32, 30);
    int node = other_follower(test);
    long start_kb = memory_kb(test, node);
    (void)kill(test->pid[node], SIGSTOP);
    submit_many(test, 10000, MEMORY_JOBS, 1);
    (void)kill(test->pid[node], SIGCONT);
    wait_until_known(test, 10000, MEMORY_JOBS);
    long with_jobs_kb = memory_kb(test, node);
    check_memory(test, "KiB before the jobs", (double)start_kb, START_KB_MAX);
    check_memory(test, "bytes per job that was read after a suspension",
                 1024.0 * (double)(with_jobs_kb - start_kb) / MEMORY_JOBS, JOB_BYTES_MAX);
}

/* A service uses the team's whole quota, so that all other jobs stay pending. */
void test_memory(struct loopback *test)
{
    int fd[MEMORY_CONNECTIONS];
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 32, 10), "a service is accepted");
    nodes_wait_for_running_tasks(test, 32, 30);
    int leader = fake_store_leader(test->cluster);
    nodes_check(test, leader >= 0 && fake_running_tasks(test->cluster) == 32,
                "all replicas of the service run");
    long start_kb = memory_kb(test, leader);
    submit_many(test, 10000, MEMORY_JOBS, 1);
    wait_until_known(test, 10000, MEMORY_JOBS);
    long with_jobs_kb = memory_kb(test, leader);
    submit_many(test, 20000, MEMORY_ARRAYS, MEMORY_TASKS_PER_ARRAY);
    wait_until_known(test, 20000, MEMORY_ARRAYS);
    long with_arrays_kb = memory_kb(test, leader);
    int sent_requests = open_connections(test, leader, fd);
    bd_sleep(1.5);
    long with_connections_kb = memory_kb(test, leader);
    nodes_check(test, sent_requests == MEMORY_CONNECTIONS,
                "a request was sent on every connection");
    check_memory(test, "KiB before the jobs", (double)start_kb, START_KB_MAX);
    check_memory(test, "bytes per job", 1024.0 * (double)(with_jobs_kb - start_kb) / MEMORY_JOBS,
                 JOB_BYTES_MAX);
    check_memory(test, "bytes per waiting array",
                 1024.0 * (double)(with_arrays_kb - with_jobs_kb) / MEMORY_ARRAYS, JOB_BYTES_MAX);
    check_memory(test, "bytes per connection",
                 1024.0 * (double)(with_connections_kb - with_arrays_kb) / MEMORY_CONNECTIONS,
                 CONNECTION_BYTES_MAX);
    nodes_check(test, fake_store_leader(test->cluster) == leader, "the leader has not changed");
    for (int i = 0; i < MEMORY_CONNECTIONS; i++)
        if (fd[i] >= 0)
            (void)close(fd[i]);
}
