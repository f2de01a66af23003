/* Three real controllers over loopback, for the tests that use them. */
#include "loopback_nodes.h"
#include "adapters/node.h"
#include "base/address.h"
#include "base/http.h"
#include "base/timeutil.h"
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORTS_FIRST 20000 /* below what outgoing connections take */
#define PORTS_EACH 140
#define PORT_RANGES 85
#define ASK_TIMEOUT_S 5

void nodes_check(struct loopback *test, int ok, const char *what)
{
    printf("%s %s\n", ok ? "ok  " : "FAIL", what);
    (void)fflush(stdout);
    test->faults += !ok;
}

void nodes_write_settings(struct loopback *test, int i, int apart)
{
    json_t *others = json_array();
    char peer_addr[32], a[32];
    for (int k = 0; k < NODES; k++) {
        int wrong = apart && i != 1 && k != 1 ? 50 : 10; /* nobody listens there */
        snprintf(a, sizeof a, "127.0.0.1:%d", test->first_port + wrong + k);
        char name[16];
        snprintf(name, sizeof name, "node-%d", k);
        if (k != i)
            json_array_append_new(
                others, json_pack("{s:s,s:s,s:s}", "node_name", name, "location", "a", "addr", a));
    }
    char name[16], cloud[32], state[32];
    snprintf(name, sizeof name, "node-%d", i);
    snprintf(peer_addr, sizeof peer_addr, "127.0.0.1:%d", test->first_port + 10 + i);
    snprintf(state, sizeof state, "127.0.0.1:%d", test->first_port + 22 + i);
    snprintf(cloud, sizeof cloud, "127.0.0.1:%d", test->first_port + 21);
    json_t *teams = json_array();
    for (int k = 0; k < (test->teams > 0 ? test->teams : 1); k++)
        json_array_append_new(teams,
                              json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", k ? "red" : "blue", "cpus",
                                        0.0, "cpus_max", 32.0, "gpus", 0.0, "gpus_max", 0.0));
    json_t *next =
        test->older_program ? json_pack("{s:f,s:i}", "value_kb", 2.0, "txn_ops", 8) : json_null();
    json_t *facts =
        json_pack("{s:i,s:[s],s:o,s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i,s:o},s:{s:f,s:f},"
                  "s:{s:f,s:f,s:i},s:f}",
                  "count", NODES, "zones", "a", "teams", teams, "objectives", "workers", "report_s",
                  0.2, "lease_s", 6.0, "gang_wait_s", 5.0, "gang_peer_s", 2.0, "cancel_s", CANCEL_S,
                  "state", "rps", 500.0, "write_rps", 300.0, "value_kb", 8.0, "txn_ops", 24, "next",
                  next, "cloud", "rps", 20.0, "list_lag_s", 0.5, "limits", "cpu", 1.0, "ram_mb",
                  256.0, "max_sockets", 300, "clock_error_ms", 5.0);
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location",
                          "a", "front", test->addr[i], "mesh_addr", peer_addr, "others", others,
                          "external", "cloud", cloud, "state", state, "facts", facts);
    snprintf(test->settings_file[i], sizeof test->settings_file[i], "%s/%s.json", test->dir, name);
    if (!o || json_dump_file(o, test->settings_file[i], 0) != 0)
        abort();
    json_decref(o);
}

void nodes_start(struct loopback *test, int i)
{
    test->pid[i] = fork();
    if (test->pid[i] == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* none outlives the test */
        const char *program = test->started_program[i] ? test->started_program[i] : test->program;
        if (*test->operators_file[i])
            execl(program, program, "--operators", test->operators_file[i], "--config",
                  test->settings_file[i], (char *)NULL);
        else
            execl(program, program, "--config", test->settings_file[i], (char *)NULL);
        _exit(127);
    }
}

void nodes_kill(struct loopback *test, int i)
{
    if (test->pid[i] <= 0)
        return;
    (void)kill(test->pid[i], SIGKILL);
    (void)waitpid(test->pid[i], NULL, 0);
    test->pid[i] = 0;
}

long nodes_call(struct loopback *test, const char *address, const char *method, const char *path,
                const char *body, double timeout_s, char *out, size_t capacity)
{
    char url[160];
    struct bd_http_response response;
    snprintf(url, sizeof url, "http://%s%s", address, path);
    bd_http_call(test->client, method, url, body, timeout_s, &response);
    if (out)
        snprintf(out, capacity, "%s", response.body ? response.body : "");
    long status = response.status;
    bd_http_response_free(&response);
    return status;
}

long nodes_ask(struct loopback *test, int node, const char *method, const char *path,
               const char *body, char *out, size_t capacity)
{
    return nodes_call(test, test->addr[node], method, path, body, ASK_TIMEOUT_S, out, capacity);
}

char *nodes_submission_after(const char *id, const char *shape, int tasks, const char *awaits)
{
    static char buf[640];
    snprintf(buf, sizeof buf,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"blue\",\"shape\":\"%s\",\"rank\":"
             "\"standard\",\"chores\":%d,\"vcpus\":1,\"accelerators\":0,\"memGb\":1,\"seed\":"
             "\"img\",\"imageGb\":1,\"breeds\":null,\"glade\":null,\"together\":false,\"scatter\":"
             "false,\"windfall\":false,\"guessS\":1,\"markS\":0,\"stowS\":0,\"dueS\":null%s}",
             id, shape, tasks, awaits);
    return buf;
}

char *nodes_submission(const char *id, const char *shape, int tasks)
{
    return nodes_submission_after(id, shape, tasks, "");
}

int nodes_wait_for(struct loopback *test, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_time_is_before(bd_now(), end); n++) {
        if (nodes_ask(test, n % NODES, "GET", path, NULL, out, sizeof out) == 200 &&
            strstr(out, text))
            return 1;
        bd_sleep(0.1);
    }
    printf("     last answer to %s: %s\n", path, out);
    return 0;
}

bool nodes_all_wait_for(struct loopback *test, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int i = 0; i < NODES && bd_time_is_before(bd_now(), end);) {
        bool good =
            nodes_ask(test, i, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text);
        i += good;
        if (!good)
            bd_sleep(0.1);
    }
    return bd_time_is_before(bd_now(), end);
}

void nodes_wait_running(struct loopback *test, int tasks, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (fake_running_tasks(test->cluster) < tasks && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
}

int nodes_submit_after(struct loopback *test, const char *id, const char *shape, int tasks,
                       const char *awaits, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_time_is_before(bd_now(), end); n++) {
        long s = nodes_ask(test, n % NODES, "POST", "/submissions",
                           nodes_submission_after(id, shape, tasks, awaits), NULL, 0);
        if (s == 200 || s == 201)
            return 1;
        bd_sleep(0.2);
    }
    return 0;
}

int nodes_submit(struct loopback *test, const char *id, const char *shape, int tasks,
                 double seconds)
{
    return nodes_submit_after(test, id, shape, tasks, "", seconds);
}

void nodes_restart(struct loopback *test, int i, const char *program)
{
    test->started_program[i] = program;
    nodes_start(test, i);
}

/* The first of a range of ports that no other run of this test holds: its last port is kept bound
 * as long as the process lives. Two runs on one range would speak to each other's controllers. -1:
 * none is free. */
static int reserve_ports(void)
{
    for (int i = 0; i < PORT_RANGES; i++) {
        int base = PORTS_FIRST + (int)((getpid() + i) % PORT_RANGES) * PORTS_EACH;
        char text[32];
        struct sockaddr_in at;
        snprintf(text, sizeof text, "127.0.0.1:%d", base + PORTS_EACH - 1);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (fd >= 0 && bd_address_parse(text, &at) &&
            bind(fd, (struct sockaddr *)&at, sizeof at) == 0)
            return base;
        if (fd >= 0)
            (void)close(fd);
    }
    return -1;
}

void nodes_finish(struct loopback *test)
{
    for (int i = 0; i < NODES; i++) {
        nodes_kill(test, i);
        (void)unlink(test->settings_file[i]);
        if (*test->operators_file[i])
            (void)unlink(test->operators_file[i]);
    }
    (void)rmdir(test->dir);
    fake_cluster_stop(test->cluster);
    bd_http_free(test->client);
}

bool nodes_prepare(struct loopback *test, const char *program)
{
    test->program = program;
    test->first_port = reserve_ports();
    if (test->first_port < 0)
        return false;
    (void)signal(SIGPIPE, SIG_IGN);
    snprintf(test->dir, sizeof test->dir, "/tmp/bd-loopback-XXXXXX");
    if (!mkdtemp(test->dir) || bd_http_global_init() != 0)
        return false;
    test->client = bd_http_new(4, NULL);
    for (int i = 0; i < NODES; i++) {
        snprintf(test->addr[i], sizeof test->addr[i], "127.0.0.1:%d", test->first_port + i);
        test->nodes[i] = test->addr[i];
        nodes_write_settings(test, i, 0);
    }
    test->cluster = fake_cluster_new(test->first_port + 22, test->first_port + 21,
                                     test->first_port + 30, test->nodes, NODES);
    return test->cluster != NULL;
}
