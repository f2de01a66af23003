/* Loopback test of clients that send half a request, send slowly or do not read: more of them than
 * a controller has connections. */
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include "numbers.h"
#include <arpa/inet.h>
#include <math.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define POST_LINE "POST /submissions HTTP/1.1\r\nHost: a\r\n"
#define CLIENTS_PER_NODE 400 /* a controller has 300 sockets */
#define ROUND_S 0.3
#define MANNER_S 3.0
#define ALL_NODES_S 8.0
#define HEALTH_CHECK_S 1.0 /* the load balancer's limit */
#define SUBMISSION_S 5.0   /* the users' limit */
#define RAM_MB 256         /* the setting ram_mb */
/* The operators' file of this test, and how long after a deadline a connection may last. */
#define DEADLINE_S 2.0
#define DEADLINE_CHECK_S 7.0

enum manner {
    SILENT,
    HALF_FIRST_LINE,
    HALF_HEADER,
    HEADER_ALONE,
    HALF_BODY,
    HALF_CHUNK,
    SLOW_FIRST_LINE, /* a byte now and then */
    SLOW_BODY,
    ENDLESS_HEADERS,
    UNREAD_ANSWERS,
    MANNERS
};

static const char *const manner_names[MANNERS] = {
    "silent",       "half a first line", "half a header", "a header alone",  "half a body",
    "half a chunk", "a slow first line", "a slow body",   "endless headers", "unread answers"};

struct slow_client {
    int fd; /* -1: closed */
    enum manner manner;
    size_t sent; /* bytes or pieces on this connection */
};

/* Starts to connect. Returns the socket, or -1. */
static int open_connection(const char *address)
{
    struct sockaddr_in peer;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd >= 0 && bd_address_parse(address, &peer))
        (void)connect(fd, (struct sockaddr *)&peer, sizeof peer);
    return fd;
}

static void send_text(int fd, const char *text, size_t len)
{
    (void)send(fd, text, len, MSG_NOSIGNAL | MSG_DONTWAIT);
}

static bool is_closed_by_peer(int fd)
{
    struct pollfd polled = {.fd = fd, .events = POLLRDHUP};
    return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

/* What the client sends when its connection is open, in one piece. */
static const char *first_piece(enum manner manner)
{
    switch (manner) {
    case HALF_FIRST_LINE:
        return "POST /subm";
    case HALF_HEADER:
        return POST_LINE "Content-Le";
    case HEADER_ALONE:
    case SLOW_BODY:
        return POST_LINE "Content-Length: 400\r\n\r\n";
    case HALF_BODY:
        return POST_LINE "Content-Length: 400\r\n\r\n{\"id\":";
    case HALF_CHUNK:
        return POST_LINE "Transfer-Encoding: chunked\r\n\r\n40\r\n{\"id";
    case ENDLESS_HEADERS:
        return "GET /submissions/job-1 HTTP/1.1\r\n";
    default:
        return "";
    }
}

/* Sends the next piece on a connection that is open. */
static void send_next(struct slow_client *client)
{
    static const char line[] =
        "GET /submissions/job-1 HTTP/1.1\r\nHost: aaaaaaaaaaaaaaaaaaaaaaaaaaa";
    static const char request[] = "GET /submissions/job-1 HTTP/1.1\r\nHost: a\r\n\r\n";
    size_t step = client->sent++;
    if (step == 0)
        send_text(client->fd, first_piece(client->manner), strlen(first_piece(client->manner)));
    else if (client->manner == SLOW_BODY)
        send_text(client->fd, " ", 1);
    if (client->manner == SLOW_FIRST_LINE && step < sizeof line - 1)
        send_text(client->fd, line + step, 1);
    else if (client->manner == ENDLESS_HEADERS)
        send_text(client->fd, "X-a: b\r\n", strlen("X-a: b\r\n"));
    else if (client->manner == UNREAD_ANSWERS)
        send_text(client->fd, request, sizeof request - 1);
}

static void close_client(struct slow_client *client)
{
    if (client->fd >= 0)
        (void)close(client->fd);
    client->fd = -1;
    client->sent = 0;
}

/* A round of one client; it comes back if the controller has closed its connection. */
static void run_client(struct slow_client *client, const char *address)
{
    if (client->fd >= 0 && is_closed_by_peer(client->fd))
        close_client(client);
    if (client->fd < 0)
        client->fd = open_connection(address);
    if (client->fd >= 0)
        send_next(client);
}

/* Sends one request on a new connection. Returns the status; 0: no answer in time. */
static long request_in_time(const char *address, const char *request, double seconds)
{
    char answer[512] = "";
    size_t received = 0;
    long status = 0;
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    int fd = open_connection(address);
    struct pollfd polled = {.fd = fd, .events = POLLOUT};
    (void)poll(&polled, 1, (int)(seconds * 1000));
    send_text(fd, request, strlen(request));
    polled.events = POLLIN;
    while (status == 0 && bd_time_is_before(bd_now(), end)) {
        (void)poll(&polled, 1, 50);
        ssize_t size = recv(fd, answer + received, sizeof answer - 1 - received, MSG_DONTWAIT);
        if (size == 0)
            break;
        received += size > 0 ? (size_t)size : 0;
        if (strstr(answer, "\r\n"))
            (void)parse_number_after(answer, "HTTP/1.1 ", &status);
    }
    (void)close(fd);
    return status;
}

static bool is_up_in_time(const char *address)
{
    return request_in_time(address, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", HEALTH_CHECK_S) == 200;
}

static bool is_accepted_in_time(const char *address)
{
    static int next_job = 700;
    char id[32], request[1024];
    snprintf(id, sizeof id, "job-%d", next_job++);
    const char *body = nodes_submission(id, "sweep", 1);
    snprintf(request, sizeof request,
             "POST /submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
             body);
    long status = request_in_time(address, request, SUBMISSION_S);
    if (status != 201)
        printf("     submission to %s: status %ld\n", address, status);
    return status == 201;
}

/* What users and the load balancer saw while the slow clients were there. */
struct outcome {
    int health_checks, failed_health_checks, submissions, failed_submissions;
    double longest_health_check_s;
};

/* The clients' process: they act on the first `nodes` controllers until it is killed. */
static void run_clients(const struct loopback *test, enum manner manner, int nodes)
{
    static struct slow_client clients[NODES * CLIENTS_PER_NODE];
    int count = nodes * CLIENTS_PER_NODE;
    for (int i = 0; i < count; i++)
        clients[i] = (struct slow_client){
            -1, manner < MANNERS ? manner : (enum manner)((i / nodes) % MANNERS), 0};
    for (;;) {
        for (int i = 0; i < count; i++)
            run_client(&clients[i], test->addr[i % nodes]);
        bd_sleep(ROUND_S);
    }
}

/* In a process of their own, since the fakes in this one have file descriptors to serve. */
static pid_t start_clients(const struct loopback *test, enum manner manner, int nodes)
{
    pid_t pid = fork();
    if (pid != 0)
        return pid;
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    run_clients(test, manner, nodes);
    _exit(EXIT_FAILURE);
}

/* Checks the first `nodes` controllers for `seconds` while the clients act on them. manner MANNERS:
 * all manners. */
static struct outcome watch_clients(const struct loopback *test, enum manner manner, int nodes,
                                    double seconds)
{
    struct outcome outcome = {0};
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    pid_t pid = start_clients(test, manner, nodes);
    for (int turn = 0; pid > 0 && bd_time_is_before(bd_now(), end); turn++) {
        const char *address = test->addr[turn % nodes];
        bd_sleep(ROUND_S);
        outcome.health_checks++;
        struct timespec asked_at = bd_now();
        outcome.failed_health_checks += !is_up_in_time(address);
        outcome.longest_health_check_s =
            fmax(outcome.longest_health_check_s, bd_seconds_between(asked_at, bd_now()));
        outcome.submissions++;
        outcome.failed_submissions += !is_accepted_in_time(address);
    }
    if (pid > 0) {
        (void)kill(pid, SIGKILL);
        (void)waitpid(pid, NULL, 0);
    }
    return outcome;
}

static void check_outcome(struct loopback *test, const char *what, const struct outcome *outcome)
{
    char text[160];
    printf(
        "     %s: %d of %d health checks, the longest of %.2f s, and %d of %d submissions failed\n",
        what, outcome->failed_health_checks, outcome->health_checks,
        outcome->longest_health_check_s, outcome->failed_submissions, outcome->submissions);
    snprintf(text, sizeof text, "%s: health checks within 1 s, submissions within 5 s", what);
    nodes_check(test,
                outcome->health_checks > 0 && outcome->failed_health_checks == 0 &&
                    outcome->failed_submissions == 0,
                text);
}

/* Guards against a connection that a byte now and then keeps open for ever. */
static void check_deadline(struct loopback *test, enum manner manner)
{
    struct slow_client client = {open_connection(test->addr[0]), manner, 0};
    struct timespec begin = bd_now();
    char text[128];
    while (!is_closed_by_peer(client.fd) &&
           bd_seconds_between(begin, bd_now()) < DEADLINE_S + DEADLINE_CHECK_S) {
        send_next(&client);
        bd_sleep(ROUND_S);
    }
    double lasted_s = bd_seconds_between(begin, bd_now());
    printf("     %s: closed after %.1f s\n", manner_names[manner], lasted_s);
    snprintf(text, sizeof text, "%s: the request's deadline closes the connection",
             manner_names[manner]);
    nodes_check(test, lasted_s >= DEADLINE_S && lasted_s < DEADLINE_S + DEADLINE_CHECK_S, text);
    close_client(&client);
}

static long resident_kb(const struct loopback *test, int node)
{
    char path[64], line[128];
    long kb = 0;
    snprintf(path, sizeof path, "/proc/%d/status", (int)test->pid[node]);
    FILE *file = fopen(path, "r");
    while (file && fgets(line, sizeof line, file))
        if (parse_number_after(line, "VmRSS:", &kb))
            break;
    if (file)
        (void)fclose(file);
    return kb;
}

/* Sanitizers keep freed memory: the build without them, whose tests measure, checks it. */
static void check_memory(struct loopback *test)
{
#ifndef __SANITIZE_ADDRESS__
    for (int i = 0; i < NODES; i++) {
        long kb = resident_kb(test, i);
        printf("     node %d holds %ld kB\n", i, kb);
        nodes_check(test, kb > 0 && kb < RAM_MB * 1024L, "memory is within its setting");
    }
#else
    nodes_check(test, resident_kb(test, 0) > 0, "memory can be read");
#endif
}

static void allow_many_sockets(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        abort();
    limit.rlim_cur = limit.rlim_max;
    (void)setrlimit(RLIMIT_NOFILE, &limit);
}

/* Guards against half-sent and slow requests that keep users, workers and health checks out. */
void test_slow_clients(struct loopback *test)
{
    allow_many_sockets();
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30), "all nodes are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 2, 10), "a service is accepted");
    nodes_wait_for_running_tasks(test, 2, 20);
    for (int manner = 0; manner < MANNERS; manner++) {
        struct outcome outcome = watch_clients(test, (enum manner)manner, 1, MANNER_S);
        check_outcome(test, manner_names[manner], &outcome);
    }
    struct outcome outcome = watch_clients(test, MANNERS, NODES, ALL_NODES_S);
    check_outcome(test, "all manners at all nodes", &outcome);
    check_memory(test);
    nodes_check(test,
                fake_lease_expiries(test->cluster) == 0 &&
                    fake_running_tasks_of_job(test->cluster, "job-9") == 2,
                "no worker lease expired, and both replicas run");
    check_deadline(test, SLOW_FIRST_LINE);
    check_deadline(test, SLOW_BODY);
    check_deadline(test, ENDLESS_HEADERS);
}

void slow_clients_write_operators_file(struct loopback *test, int node)
{
    snprintf(test->operators_file[node], sizeof test->operators_file[node], "%s/node-%d.sexp",
             test->dir, node);
    FILE *file = fopen(test->operators_file[node], "w");
    if (!file)
        abort();
    (void)fprintf(file, "(request-s %.0f) (answer-s %.0f)\n", DEADLINE_S, DEADLINE_S);
    (void)fclose(file);
}
