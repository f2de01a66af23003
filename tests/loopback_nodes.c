/* Settings, processes and requests of the controllers in the loopback tests. */
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

#define FIRST_PORT 20000 /* below the range of ephemeral ports */
#define PORTS_PER_RANGE 140
#define PORT_RANGES 85
/* offsets from the first port of the range */
#define CLOUD_PORT_OFFSET 21
#define STORE_PORT_OFFSET 22 /* one port for each node */
#define WORKER_PORT_OFFSET 30
#define UNREACHABLE_PORT_OFFSET 50 /* no controller listens there */
#define REQUEST_TIMEOUT_S 5

void nodes_check(struct loopback *test, int ok, const char *description)
{
    printf("%s %s\n", ok ? "ok  " : "FAIL", description);
    (void)fflush(stdout);
    test->failures += !ok;
}

void nodes_write_settings(struct loopback *test, int node, int is_partitioned)
{
    json_t *others = json_array();
    char peer_addr[32], other_addr[32];
    for (int k = 0; k < NODES; k++) {
        bool is_unreachable = is_partitioned && node != 1 && k != 1;
        int port_offset = is_unreachable ? UNREACHABLE_PORT_OFFSET : PEER_PORT_OFFSET;
        snprintf(other_addr, sizeof other_addr, "127.0.0.1:%d", test->first_port + port_offset + k);
        char name[16];
        snprintf(name, sizeof name, "node-%d", k);
        if (k != node)
            json_array_append_new(others, json_pack("{s:s,s:s,s:s}", "node_name", name, "location",
                                                    "a", "addr", other_addr));
    }
    char name[16], cloud[32], store[32];
    snprintf(name, sizeof name, "node-%d", node);
    snprintf(peer_addr, sizeof peer_addr, "127.0.0.1:%d",
             test->first_port + PEER_PORT_OFFSET + node);
    snprintf(store, sizeof store, "127.0.0.1:%d", test->first_port + STORE_PORT_OFFSET + node);
    snprintf(cloud, sizeof cloud, "127.0.0.1:%d", test->first_port + CLOUD_PORT_OFFSET);
    json_t *teams = json_array();
    for (int k = 0; k < (test->nteams > 0 ? test->nteams : 1); k++)
        json_array_append_new(teams,
                              json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", k ? "red" : "blue", "cpus",
                                        0.0, "cpus_max", 32.0, "gpus", 0.0, "gpus_max", 0.0));
    json_t *next_limits =
        test->older_program ? json_pack("{s:f,s:i}", "value_kb", 2.0, "txn_ops", 8) : json_null();
    json_t *facts =
        json_pack("{s:i,s:[s],s:o,s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i,s:o},s:{s:f,s:f},"
                  "s:{s:f,s:f,s:i},s:f}",
                  "count", NODES, "zones", "a", "teams", teams, "objectives", "workers", "report_s",
                  0.2, "lease_s", 6.0, "gang_wait_s", 5.0, "gang_peer_s", 2.0, "cancel_s", CANCEL_S,
                  "state", "rps", 500.0, "write_rps", 300.0, "value_kb", 8.0, "txn_ops", 24, "next",
                  next_limits, "cloud", "rps", 20.0, "list_lag_s", 0.5, "limits", "cpu", 1.0,
                  "ram_mb", 256.0, "max_sockets", 300, "clock_error_ms", 5.0);
    json_t *settings =
        json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location", "a",
                  "front", test->addr[node], "mesh_addr", peer_addr, "others", others, "external",
                  "cloud", cloud, "state", store, "facts", facts);
    snprintf(test->settings_file[node], sizeof test->settings_file[node], "%s/%s.json", test->dir,
             name);
    if (!settings || json_dump_file(settings, test->settings_file[node], 0) != 0)
        abort();
    json_decref(settings);
}

void nodes_start(struct loopback *test, int node)
{
    test->pid[node] = fork();
    if (test->pid[node] == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* no node outlives the test */
        const char *program = test->node_programs[node] ? test->node_programs[node] : test->program;
        if (*test->operators_file[node])
            execl(program, program, "--operators", test->operators_file[node], "--config",
                  test->settings_file[node], (char *)NULL);
        else
            execl(program, program, "--config", test->settings_file[node], (char *)NULL);
        _exit(127);
    }
}

void nodes_kill(struct loopback *test, int node)
{
    if (test->pid[node] <= 0)
        return;
    (void)kill(test->pid[node], SIGKILL);
    (void)waitpid(test->pid[node], NULL, 0);
    test->pid[node] = 0;
}

long nodes_request_address(struct loopback *test, const char *address, const char *method,
                           const char *path, const char *body, double timeout_s, char *out,
                           size_t capacity)
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

long nodes_request(struct loopback *test, int node, const char *method, const char *path,
                   const char *body, char *out, size_t capacity)
{
    return nodes_request_address(test, test->addr[node], method, path, body, REQUEST_TIMEOUT_S, out,
                                 capacity);
}

char *nodes_dependent_submission(const char *id, const char *shape, int tasks,
                                 const char *awaits_field)
{
    static char text[640];
    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"blue\",\"shape\":\"%s\",\"rank\":"
             "\"standard\",\"chores\":%d,\"vcpus\":1,\"accelerators\":0,\"memGb\":1,\"seed\":"
             "\"img\",\"imageGb\":1,\"breeds\":null,\"glade\":null,\"together\":false,\"scatter\":"
             "false,\"windfall\":false,\"guessS\":1,\"markS\":0,\"stowS\":0,\"dueS\":null%s}",
             id, shape, tasks, awaits_field);
    return text;
}

char *nodes_submission(const char *id, const char *shape, int tasks)
{
    return nodes_dependent_submission(id, shape, tasks, "");
}

int nodes_wait_for(struct loopback *test, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int tries = 0; bd_time_is_before(bd_now(), end); tries++) {
        if (nodes_request(test, tries % NODES, "GET", path, NULL, out, sizeof out) == 200 &&
            strstr(out, text))
            return 1;
        bd_sleep(0.1);
    }
    printf("     last response to %s: %s\n", path, out);
    return 0;
}

bool nodes_wait_for_all(struct loopback *test, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int i = 0; i < NODES && bd_time_is_before(bd_now(), end);) {
        bool contains_text =
            nodes_request(test, i, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text);
        i += contains_text;
        if (!contains_text)
            bd_sleep(0.1);
    }
    return bd_time_is_before(bd_now(), end);
}

void nodes_wait_for_running_tasks(struct loopback *test, int tasks, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (fake_running_tasks(test->cluster) < tasks && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
}

int nodes_submit_dependent(struct loopback *test, const char *id, const char *shape, int tasks,
                           const char *awaits_field, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int tries = 0; bd_time_is_before(bd_now(), end); tries++) {
        long status =
            nodes_request(test, tries % NODES, "POST", "/submissions",
                          nodes_dependent_submission(id, shape, tasks, awaits_field), NULL, 0);
        if (status == 200 || status == 201)
            return 1;
        bd_sleep(0.2);
    }
    return 0;
}

int nodes_submit(struct loopback *test, const char *id, const char *shape, int tasks,
                 double seconds)
{
    return nodes_submit_dependent(test, id, shape, tasks, "", seconds);
}

void nodes_start_program(struct loopback *test, int node, const char *program)
{
    test->node_programs[node] = program;
    nodes_start(test, node);
}

/* Reserves a range of ports by keeping its last port bound until the process ends: two test runs on
 * one range would connect to each other's controllers. Returns the first port of the range, or -1
 * if no range is free. */
static int reserve_ports(void)
{
    for (int i = 0; i < PORT_RANGES; i++) {
        int base = FIRST_PORT + (int)((getpid() + i) % PORT_RANGES) * PORTS_PER_RANGE;
        char text[32];
        struct sockaddr_in address;
        snprintf(text, sizeof text, "127.0.0.1:%d", base + PORTS_PER_RANGE - 1);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (fd >= 0 && bd_address_parse(text, &address) &&
            bind(fd, (struct sockaddr *)&address, sizeof address) == 0)
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
        test->node_addresses[i] = test->addr[i];
        nodes_write_settings(test, i, 0);
    }
    test->cluster =
        fake_cluster_new(test->first_port + STORE_PORT_OFFSET, test->first_port + CLOUD_PORT_OFFSET,
                         test->first_port + WORKER_PORT_OFFSET, test->node_addresses, NODES);
    return test->cluster != NULL;
}
