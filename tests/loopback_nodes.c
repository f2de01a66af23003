/* Three real controllers over loopback, for the tests that use them. */
#include "loopback_nodes.h"
#include "adapters/node.h"
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

void nodes_check(struct test *t, int ok, const char *what)
{
    printf("%s %s\n", ok ? "ok  " : "FAIL", what);
    (void)fflush(stdout);
    t->faults += !ok;
}

/* apart: the first and the last node do not reach each other, only the one between them */
void nodes_write_settings(struct test *t, int i, int apart)
{
    json_t *others = json_array();
    char peer_addr[32], a[32];
    for (int k = 0; k < NODES; k++) {
        int wrong = apart && i != 1 && k != 1 ? 50 : 10; /* nobody listens there */
        snprintf(a, sizeof a, "127.0.0.1:%d", t->base + wrong + k);
        char name[16];
        snprintf(name, sizeof name, "node-%d", k);
        if (k != i)
            json_array_append_new(
                others, json_pack("{s:s,s:s,s:s}", "node_name", name, "location", "a", "addr", a));
    }
    char name[16], cloud[32], state[32];
    snprintf(name, sizeof name, "node-%d", i);
    snprintf(peer_addr, sizeof peer_addr, "127.0.0.1:%d", t->base + 10 + i);
    snprintf(state, sizeof state, "127.0.0.1:%d", t->base + 22 + i);
    snprintf(cloud, sizeof cloud, "127.0.0.1:%d", t->base + 21);
    json_t *teams = json_array();
    for (int k = 0; k < (t->teams > 0 ? t->teams : 1); k++)
        json_array_append_new(teams,
                              json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", k ? "red" : "blue", "cpus",
                                        0.0, "cpus_max", 32.0, "gpus", 0.0, "gpus_max", 0.0));
    json_t *next = t->old ? json_pack("{s:f,s:i}", "value_kb", 2.0, "txn_ops", 8) : json_null();
    json_t *facts =
        json_pack("{s:i,s:[s],s:o,s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i,s:o},s:{s:f,s:f},"
                  "s:{s:f,s:f,s:i},s:f}",
                  "count", NODES, "zones", "a", "teams", teams, "objectives", "workers", "report_s",
                  0.2, "lease_s", 6.0, "gang_wait_s", 5.0, "gang_peer_s", 2.0, "cancel_s", CANCEL_S,
                  "state", "rps", 500.0, "write_rps", 300.0, "value_kb", 8.0, "txn_ops", 24, "next",
                  next, "cloud", "rps", 20.0, "list_lag_s", 0.5, "limits", "cpu", 1.0, "ram_mb",
                  256.0, "max_sockets", 300, "clock_error_ms", 5.0);
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location",
                          "a", "front", t->addr[i], "mesh_addr", peer_addr, "others", others,
                          "external", "cloud", cloud, "state", state, "facts", facts);
    snprintf(t->file[i], sizeof t->file[i], "%s/%s.json", t->dir, name);
    if (!o || json_dump_file(o, t->file[i], 0) != 0)
        abort();
    json_decref(o);
}

void nodes_start(struct test *t, int i)
{
    t->pid[i] = fork();
    if (t->pid[i] == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* none outlives the test */
        const char *program = t->run[i] ? t->run[i] : t->program;
        if (*t->operators[i])
            execl(program, program, "--operators", t->operators[i], "--config", t->file[i],
                  (char *)NULL);
        else
            execl(program, program, "--config", t->file[i], (char *)NULL);
        _exit(127);
    }
}

void nodes_end(struct test *t, int i)
{
    if (t->pid[i] <= 0)
        return;
    (void)kill(t->pid[i], SIGKILL);
    (void)waitpid(t->pid[i], NULL, 0);
    t->pid[i] = 0;
}

long nodes_ask(struct test *t, int node, const char *method, const char *path, const char *body,
               char *out, size_t cap)
{
    char url[160];
    struct bd_http_response r;
    snprintf(url, sizeof url, "http://%s%s", t->addr[node], path);
    bd_http_call(t->h, method, url, body, 5, &r);
    if (out)
        snprintf(out, cap, "%s", r.body ? r.body : "");
    long status = r.status;
    bd_http_response_free(&r);
    return status;
}

char *nodes_job_after(const char *id, const char *shape, int tasks, const char *awaits)
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

char *nodes_job(const char *id, const char *shape, int tasks)
{
    return nodes_job_after(id, shape, tasks, "");
}

/* Asks until the answer holds the text, any node, for at most so long. */
int nodes_until(struct test *t, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_before(bd_now(), end); n++) {
        if (nodes_ask(t, n % NODES, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text))
            return 1;
        bd_pause(0.1);
    }
    printf("     last answer to %s: %s\n", path, out);
    return 0;
}

int nodes_submit_after(struct test *t, const char *id, const char *shape, int tasks,
                       const char *awaits, double seconds)
{
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_before(bd_now(), end); n++) {
        long s = nodes_ask(t, n % NODES, "POST", "/submissions",
                           nodes_job_after(id, shape, tasks, awaits), NULL, 0);
        if (s == 200 || s == 201)
            return 1;
        bd_pause(0.2);
    }
    return 0;
}

int nodes_submit(struct test *t, const char *id, const char *shape, int tasks, double seconds)
{
    return nodes_submit_after(t, id, shape, tasks, "", seconds);
}

void nodes_again(struct test *t, int i, const char *program)
{
    t->run[i] = program;
    nodes_start(t, i);
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
        if (fd >= 0 && bd_parse_addr(text, &at) && bind(fd, (struct sockaddr *)&at, sizeof at) == 0)
            return base;
        if (fd >= 0)
            (void)close(fd);
    }
    return -1;
}

void nodes_finish(struct test *t)
{
    for (int i = 0; i < NODES; i++) {
        nodes_end(t, i);
        (void)unlink(t->file[i]);
        if (*t->operators[i])
            (void)unlink(t->operators[i]);
    }
    (void)rmdir(t->dir);
    fake_cluster_stop(t->cluster);
    bd_http_free(t->h);
}

bool nodes_prepare(struct test *t, const char *program)
{
    t->program = program;
    t->base = reserve_ports();
    if (t->base < 0)
        return false;
    (void)signal(SIGPIPE, SIG_IGN);
    snprintf(t->dir, sizeof t->dir, "/tmp/bd-loopback-XXXXXX");
    if (!mkdtemp(t->dir) || bd_http_start() != 0)
        return false;
    t->h = bd_http_new(4, NULL);
    for (int i = 0; i < NODES; i++) {
        snprintf(t->addr[i], sizeof t->addr[i], "127.0.0.1:%d", t->base + i);
        t->nodes[i] = t->addr[i];
        nodes_write_settings(t, i, 0);
    }
    t->cluster = fake_cluster_new(t->base + 22, t->base + 21, t->base + 30, t->nodes, NODES);
    return t->cluster != NULL;
}
