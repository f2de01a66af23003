/* The real program, three times, over loopback against the fake servers: quiet work, bad requests,
 * killed nodes, an outage of the state service and answers that are cut off. */
#include "fake_server.h"
#include "http.h"
#include "node.h"
#include "timeutil.h"
#include <arpa/inet.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES 3
#define CROWD 220
#define CANCEL_S 20.0 /* as in the settings below */

struct test {
    const char *program, *old; /* old: the version in production, or NULL */
    const char *run[NODES];    /* what a node is started with */
    char dir[64], addr[NODES][32], file[NODES][128];
    const char *nodes[NODES];
    pid_t pid[NODES];
    struct bd_http *h;
    struct world *w;
    int faults, base, older;
};

static void check(struct test *t, int ok, const char *what)
{
    printf("%s %s\n", ok ? "ok  " : "FAIL", what);
    (void)fflush(stdout);
    t->faults += !ok;
}

/* apart: the first and the last node do not reach each other, only the one between them */
static void write_settings(struct test *t, int i, int apart)
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
    json_t *team = json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", "blue", "cpus", 0.0, "cpus_max", 32.0,
                             "gpus", 0.0, "gpus_max", 0.0);
    json_t *next = t->old ? json_pack("{s:f,s:i}", "value_kb", 2.0, "txn_ops", 8) : json_null();
    json_t *facts = json_pack(
        "{s:i,s:[s],s:[o],s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i,s:o},s:{s:f,s:f},"
        "s:{s:f,s:f,s:i},s:f}",
        "count", NODES, "zones", "a", "teams", team, "objectives", "workers", "report_s", 0.2,
        "lease_s", 6.0, "gang_wait_s", 5.0, "gang_peer_s", 2.0, "cancel_s", CANCEL_S, "state",
        "rps", 500.0, "write_rps", 300.0, "value_kb", 8.0, "txn_ops", 24, "next", next, "cloud",
        "rps", 20.0, "list_lag_s", 0.5, "limits", "cpu", 1.0, "ram_mb", 256.0, "max_sockets", 300,
        "clock_error_ms", 5.0);
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location",
                          "a", "front", t->addr[i], "mesh_addr", peer_addr, "others", others,
                          "external", "cloud", cloud, "state", state, "facts", facts);
    snprintf(t->file[i], sizeof t->file[i], "%s/%s.json", t->dir, name);
    if (!o || json_dump_file(o, t->file[i], 0) != 0)
        abort();
    json_decref(o);
}

static void start(struct test *t, int i)
{
    t->pid[i] = fork();
    if (t->pid[i] == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* none outlives the test */
        const char *program = t->run[i] ? t->run[i] : t->program;
        execl(program, program, "--config", t->file[i], (char *)NULL);
        _exit(127);
    }
}

static void end(struct test *t, int i)
{
    if (t->pid[i] <= 0)
        return;
    (void)kill(t->pid[i], SIGKILL);
    (void)waitpid(t->pid[i], NULL, 0);
    t->pid[i] = 0;
}

static long ask(struct test *t, int node, const char *method, const char *path, const char *body,
                char *out, size_t cap)
{
    char url[160];
    struct bd_reply r;
    snprintf(url, sizeof url, "http://%s%s", t->addr[node], path);
    bd_http_call(t->h, method, url, body, 5, &r);
    if (out)
        snprintf(out, cap, "%s", r.body ? r.body : "");
    long status = r.status;
    bd_reply_drop(&r);
    return status;
}

static char *job_after(const char *id, const char *shape, int tasks, const char *awaits)
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

static char *job(const char *id, const char *shape, int tasks)
{
    return job_after(id, shape, tasks, "");
}

/* Asks until the answer holds the text, any node, for at most so long. */
static int until(struct test *t, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_before(bd_now(), end); n++) {
        if (ask(t, n % NODES, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text))
            return 1;
        bd_pause(0.1);
    }
    printf("     last answer to %s: %s\n", path, out);
    return 0;
}

static int submit_after(struct test *t, const char *id, const char *shape, int tasks,
                        const char *awaits, double seconds)
{
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int n = 0; bd_before(bd_now(), end); n++) {
        long s =
            ask(t, n % NODES, "POST", "/submissions", job_after(id, shape, tasks, awaits), NULL, 0);
        if (s == 200 || s == 201)
            return 1;
        bd_pause(0.2);
    }
    return 0;
}

static int submit(struct test *t, const char *id, const char *shape, int tasks, double seconds)
{
    return submit_after(t, id, shape, tasks, "", seconds);
}

static void quiet(struct test *t)
{
    char out[256];
    for (int i = 0; i < NODES; i++)
        check(t, until(t, "/up", "up", 20), "a node comes up");
    check(t, submit(t, "job-1", "sweep", 6, 10), "a job is accepted");
    check(t, until(t, "/submissions/job-1", "\"done\",\"done\":6", 30), "an array is done");
    check(t,
          submit(t, "job-2", "gang", 2, 10) &&
              until(t, "/submissions/job-2", "\"mood\":\"done\"", 30),
          "a gang is done");
    check(t,
          ask(t, 1, "POST", "/submissions", job("job-1", "sweep", 6), out, sizeof out) == 200 &&
              strstr(out, "done"),
          "a repeated submission gets the final state");
    check(t, submit(t, "job-9", "service", 2, 10) && until(t, "/submissions/job-9", "job-9", 10),
          "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (world_running(t->w) < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    check(t, world_running(t->w) == 2, "both replicas run");
    check(t,
          ask(t, 0, "POST", "/submissions/job-9/withdraw", "{}", out, sizeof out) == 200 &&
              strstr(out, "cancelled"),
          "it is withdrawn");
    end = bd_add(bd_now(), bd_secs(20));
    while (world_running(t->w) > 0 && bd_before(bd_now(), end))
        bd_pause(0.1);
    check(t, world_running(t->w) == 0, "its replicas are gone");
}

static void bad_requests(struct test *t)
{
    char *big = malloc(70000);
    memset(big, ' ', 69999);
    big[69999] = '\0';
    check(t, ask(t, 0, "POST", "/submissions", "{", NULL, 0) == 400, "not JSON: 400");
    check(t, ask(t, 0, "POST", "/submissions", "[]", NULL, 0) == 400, "not an object: 400");
    check(t, ask(t, 0, "POST", "/submissions", big, NULL, 0) == 413, "too large: 413");
    check(t, ask(t, 0, "POST", "/submissions", job("job-5", "sweep", 0), NULL, 0) == 400,
          "no tasks: 400");
    check(t, ask(t, 0, "GET", "/submissions/job-77", NULL, NULL, 0) == 404, "unknown job: 404");
    check(t, ask(t, 0, "GET", "/nowhere", NULL, NULL, 0) == 404, "unknown path: 404");
    check(t, ask(t, 0, "POST", "/up", "{}", NULL, 0) == 405, "wrong method: 405");
    check(t, ask(t, 0, "POST", "/checkin", "{\"hearth\":3}", NULL, 0) == 400,
          "malformed report: 400");
    free(big);
}

static void killed(struct test *t)
{
    check(t, submit(t, "job-3", "sweep", 12, 10), "a job before the kills");
    end(t, 0);
    bd_pause(0.2);
    end(t, 1);
    end(t, 2);
    for (int i = 0; i < NODES; i++)
        start(t, i);
    check(t, until(t, "/submissions/job-3", "\"mood\":\"done\"", 60),
          "it is done although all nodes were killed");
    check(t, until(t, "/submissions/job-9", "cancelled", 10), "what was withdrawn still is");
    check(t, until(t, "/submissions/job-1", "\"done\"", 10), "what was done still is");
}

/* A refused user is to come through the load balancer again: the connection ends with the 503. */
static void closed_after_503(struct test *t)
{
    const char *text = "GET /submissions/job-88 HTTP/1.1\r\nHost: a\r\n\r\n";
    char out[1024];
    size_t len = 0;
    ssize_t got = 1;
    struct sockaddr_in to;
    struct timeval limit = {3, 0};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool sent = fd >= 0 && bd_parse_addr(t->addr[0], &to) &&
                setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0 &&
                connect(fd, (struct sockaddr *)&to, sizeof to) == 0 &&
                send(fd, text, strlen(text), 0) == (ssize_t)strlen(text);
    while (sent && got > 0 && len < sizeof out - 1) {
        got = recv(fd, out + len, sizeof out - 1 - len, 0);
        len += got > 0 ? (size_t)got : 0;
    }
    out[len] = '\0';
    check(t, sent && got == 0 && strstr(out, " 503 ") && strstr(out, "Retry-After"),
          "a 503 names a time to come again and closes the connection");
    if (fd >= 0)
        (void)close(fd);
}

static void outage(struct test *t)
{
    check(t, submit(t, "job-4", "sweep", 4, 10), "a job before the outage");
    world_state_down(t->w, true);
    bd_pause(3);
    struct timespec asked = bd_now();
    check(t,
          ask(t, 0, "POST", "/submissions", job("job-6", "sweep", 1), NULL, 0) == 503 &&
              bd_between(asked, bd_now()) < 1.5,
          "during the outage a submission is refused at once");
    closed_after_503(t);
    check(t, ask(t, 0, "GET", "/submissions/job-1", NULL, NULL, 0) == 200,
          "a final state is answered");
    world_state_down(t->w, false);
    check(t, until(t, "/submissions/job-4", "\"mood\":\"done\"", 40), "it is done afterwards");
    world_state_garbles(t->w, 12);
    check(t,
          submit(t, "job-7", "sweep", 3, 20) &&
              until(t, "/submissions/job-7", "\"mood\":\"done\"", 40),
          "answers that are cut off do no harm");
}

/* A worker's check-in; its number rises each time, the thousands name the worker. Returns the
 * status, *token from the answer. */
static long check_in(struct test *t, int node, int *tally, long long *token, char *out, size_t cap)
{
    char body[320];
    snprintf(body, sizeof body,
             "{\"hearth\":\"vm-9%05d\",\"endpoint\":\"127.0.0.1:1\",\"breed\":\"odd\",\"glade\":"
             "\"a\",\"windfall\":false,\"tenancy\":1,\"tally\":%d,\"seal\":%lld,\"warningS\":null,"
             "\"chores\":[]}",
             *tally / 1000, *tally % 1000, *token);
    ++*tally;
    long status = ask(t, node, "POST", "/checkin", body, out, cap);
    const char *at = strstr(out, "\"seal\":");
    if (status == 200 && at)
        *token = strtoll(at + 7, NULL, 10);
    return status;
}

/* As check_in, until the status comes, for at most so long. */
static int check_in_until(struct test *t, int node, int *tally, long long *token, long status,
                          double seconds)
{
    char out[512] = "";
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    while (bd_before(bd_now(), end)) {
        if (check_in(t, node, tally, token, out, sizeof out) == status)
            return 1;
        bd_pause(0.3);
    }
    printf("     last answer to a check-in with seal %lld: %s\n", *token, out);
    return 0;
}

/* The first node leads; the last does not hear it. Reports go through the one between them; without
 * that one the last answers itself, until the leader's key says that it hears its workers. */
static void apart(struct test *t)
{
    int tally = 1001;
    long long token = 0;
    for (int i = 0; i < NODES; i++) {
        end(t, i);
        write_settings(t, i, 1);
    }
    bd_pause(4); /* whoever led has led */
    start(t, 0);
    check(t, check_in_until(t, 0, &tally, &token, 200, 20), "the first node leads");
    /* the fake server's own workers are to be there, and the relay, before the last node starts:
     * one that met it first would end it as a delegate for half a minute */
    bd_pause(5);
    start(t, 1);
    check(t, check_in_until(t, 1, &tally, &token, 200, 20),
          "the node between them passes reports on");
    start(t, 2);
    long long before = token;
    check(t, check_in_until(t, 2, &tally, &token, 200, 20) && token >= before,
          "a report is relayed to a leader who is not heard");
    end(t, 1);
    bd_pause(2);
    tally = 2001; /* one that the leader does not know yet */
    check(t, check_in_until(t, 2, &tally, &token, 200, 25), "without a relay a delegate answers");
    check(t, check_in_until(t, 0, &tally, &token, 200, 10), "its worker comes to the leader");
    check(t, check_in_until(t, 2, &tally, &token, 421, 10),
          "the leader's key sends the delegate away");
    start(t, 1);
}

/* Jobs that need others, on any node: in order, cancelled together, refused where one was never
 * accepted. */
static void pipelines(struct test *t)
{
    char out[256];
    check(t,
          submit(t, "job-30", "sweep", 3, 10) &&
              submit_after(t, "job-31", "gang", 2, ",\"awaits\":[\"job-30\"]", 10) &&
              submit_after(t, "job-32", "sweep", 2, ",\"awaits\":[\"job-30\",\"job-31\"]", 10),
          "a pipeline is accepted");
    check(t, until(t, "/submissions/job-32", "\"mood\":\"done\"", 40), "it is done");
    check(t, world_too_early(t->w) == 0, "none of it began too early");
    check(t,
          ask(t, 1, "POST", "/submissions",
              job_after("job-33", "sweep", 1, ",\"awaits\":[\"job-30\",\"job-77\"]"), out,
              sizeof out) == 422,
          "a job that was never accepted is not awaited: 422");
    check(t,
          ask(t, 1, "POST", "/submissions", job_after("job-33", "sweep", 1, ",\"awaits\":7"), out,
              sizeof out) == 400,
          "no list: 400");
    check(t,
          submit(t, "job-40", "sweep", 60, 10) &&
              submit_after(t, "job-41", "sweep", 2, ",\"awaits\":[\"job-40\"]", 10) &&
              submit_after(t, "job-42", "sweep", 2, ",\"awaits\":[\"job-41\"]", 10) &&
              ask(t, 0, "POST", "/submissions/job-40/withdraw", "{}", out, sizeof out) == 200 &&
              strstr(out, "cancelled"),
          "the first of a chain is withdrawn");
    for (int i = 0; i < NODES; i++)
        check(t,
              ask(t, i, "GET", "/submissions/job-42", NULL, out, sizeof out) == 200 &&
                  strstr(out, "cancelled"),
              "every node says at once that the last is cancelled");
    check(t,
          submit_after(t, "job-43", "sweep", 2, ",\"awaits\":[\"job-42\"]", 10) &&
              until(t, "/submissions/job-43", "cancelled", 5),
          "one that needs a cancelled one is accepted, and is cancelled");
}

/* The state service's limits fall: foreseen or not, work goes on. */
static void lowered(struct test *t, size_t value, size_t ops, bool foreseen)
{
    int refused = 0, busy = 0;
    world_limits(t->w, value, ops, 60);
    check(t,
          submit(t, "job-60", "sweep", 40, 20) &&
              until(t, "/submissions/job-60", "\"mood\":\"done\"", 60),
          "a job under lower limits is done");
    char id[32], path[64];
    for (int i = 0; i < 20 && !foreseen && refused == 0;
         i++) { /* ended ones leave records to drop */
        snprintf(id, sizeof id, "job-62%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        check(t, submit(t, id, "sweep", 2, 20) && until(t, path, "\"mood\":\"done\"", 60),
              "one more is done");
        world_refused(t->w, &refused, &busy);
    }
    world_refused(t->w, &refused, &busy);
    printf("     %d transactions got 400, %d got 429\n", refused, busy);
    check(t, foreseen ? refused == 0 : refused > 0,
          foreseen ? "nothing was too large" : "what was too large was decided anew");
    int calm = busy;
    world_limits(t->w, value, ops, 6);
    check(t,
          submit(t, "job-61", "sweep", 20, 40) &&
              until(t, "/submissions/job-61", "\"mood\":\"done\"", 60),
          "a job under a lower rate is done");
    world_refused(t->w, &refused, &busy);
    check(t, busy > calm, "some of it was asked too fast, and came later");
    world_limits(t->w, 0, 0, 0);
}

static int all_nodes(struct test *t, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int i = 0; i < NODES && bd_before(bd_now(), end);) {
        bool good = ask(t, i, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text);
        i += good;
        if (!good)
            bd_pause(0.1);
    }
    return bd_before(bd_now(), end);
}

static void again(struct test *t, int i, const char *program)
{
    t->run[i] = program;
    start(t, i);
}

/* One stage of the roll: those of the mask end, work comes meanwhile, then they are back. */
static void stage(struct test *t, unsigned ends, const char *back, const char *id, const char *what)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/%s", id);
    int taken = submit(t, id, "sweep", 8, 10); /* in the middle of its rounds */
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            end(t, i);
    bool none = ends == (1u << NODES) - 1;
    check(t, taken && (none || until(t, path, "\"mood\":\"done\"", 30)), what);
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            again(t, i, back);
    check(t, all_nodes(t, path, "\"done\":8", 20) && all_nodes(t, "/up", "up", 20),
          "all nodes are back and know it");
    check(t, world_running(t->w) == 2 && world_lapses(t->w) == 0,
          "the replicas went on and no lease was lost");
}

/* From the version in production to this one while both serve: leadership passes to and fro. */
static void roll(struct test *t)
{
    check(t, all_nodes(t, "/up", "up", 30), "three nodes of the old version");
    check(t, submit(t, "job-9", "service", 2, 10), "a service is accepted");
    check(t,
          submit(t, "job-1", "gang", 2, 10) &&
              until(t, "/submissions/job-1", "done\",\"done\":2", 30),
          "a gang is done");
    stage(t, 1, t->program, "job-20", "one node is new");
    stage(t, 6, t->old, "job-21", "the new one leads alone; others die and come back old");
    stage(t, 1, t->program, "job-22", "an old one leads");
    stage(t, 2, t->program, "job-23", "two nodes are new");
    stage(t, 3, t->program, "job-24", "the old one leads alone");
    stage(t, 4, t->program, "job-25", "all are new");
    stage(t, 7, t->program, "job-26", "none was there for a moment");
    check(t, world_starts(t->w) == 2 + 2 + 7 * 8, "every task was started once");
    pipelines(t);
    lowered(t, 2048, 8, true);
    check(t, world_too_early(t->w) == 0, "none began too early");
}

/* The state service refuses the leader alone, another node confirms a cancellation, then it is out
 * for all, while the workers go on reporting to the leader. */
static void gap(struct test *t)
{
    char out[256] = "";
    check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    check(t, submit(t, "job-91", "service", 2, 10) && submit(t, "job-92", "service", 2, 10),
          "two services are accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (world_running(t->w) < 4 && bd_before(bd_now(), end))
        bd_pause(0.1);
    check(t, world_running(t->w) == 4, "all replicas run");
    int leader = world_leader(t->w);
    check(t, leader >= 0, "somebody leads");
    world_state_refuses(t->w, leader, true);
    bd_pause(0.5);
    int other = (leader + 1) % NODES;
    check(t,
          ask(t, other, "POST", "/submissions/job-91/withdraw", "{}", out, sizeof out) == 200 &&
              strstr(out, "cancelled"),
          "another node confirms a withdrawal");
    struct timespec told = bd_now();
    world_state_down(t->w, true);
    while (world_running_of(t->w, "job-91") > 0 && bd_between(told, bd_now()) < CANCEL_S)
        bd_pause(0.1);
    printf("     gone after %.1f s\n", bd_between(told, bd_now()));
    check(t, world_running_of(t->w, "job-91") == 0,
          "its tasks are gone in time, though all is out");
    while (bd_between(told, bd_now()) < CANCEL_S + 2) {
        if (world_running_of(t->w, "job-91") > 0)
            break;
        bd_pause(0.1);
    }
    check(t, world_running_of(t->w, "job-91") == 0, "and none comes back");
    world_state_refuses(t->w, leader, false);
    world_state_down(t->w, false);
    check(t, all_nodes(t, "/submissions/job-91", "cancelled", 20), "all nodes say so");
    end = bd_add(bd_now(), bd_secs(30));
    while (world_running_of(t->w, "job-92") < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    check(t, world_running_of(t->w, "job-92") == 2 && world_running_of(t->w, "job-91") == 0,
          "the other service runs again");
}

/* The leader's lease is renewed, but it cannot read the records: another is to lead, and work that
 * comes then is started. */
static void blind_leader(struct test *t)
{
    int leader = world_leader(t->w);
    check(t, leader >= 0, "somebody leads before its reads fail");
    world_state_blinds(t->w, leader, true);
    struct timespec end = bd_add(bd_now(), bd_secs(15));
    while ((world_leader(t->w) == leader || world_leader(t->w) < 0) && bd_before(bd_now(), end))
        bd_pause(0.05);
    check(t, world_leader(t->w) >= 0 && world_leader(t->w) != leader,
          "a leader that cannot read the records gives up the lease");
    int other = (leader + 1) % NODES;
    char out[256] = "";
    long status = ask(t, other, "POST", "/submissions", job("job-65", "sweep", 2), out, sizeof out);
    if (status != 201)
        printf("     %ld %s\n", status, out);
    check(t, status == 201 && until(t, "/submissions/job-65", "\"mood\":\"done\"", 20),
          "work is done meanwhile");
    check(t, world_leader(t->w) != leader, "it does not take the lease back");
    world_state_blinds(t->w, leader, false);
    check(t, all_nodes(t, "/submissions/job-65", "\"mood\":\"done\"", 20),
          "all nodes are well again");
}

/* No node may answer older than another did, whatever the state service's answers become. */
static void look_closely(struct test *t, const char *id, const char *const *state_names, int from)
{
    char path[64], out[256];
    snprintf(path, sizeof path, "/submissions/%s", id);
    for (int i = 0; i < 2 * NODES; i++) {
        int node = (from + i) % NODES;
        long status =
            i < NODES ? ask(t, node, "GET", path, NULL, out, sizeof out)
                      : ask(t, node, "POST", "/submissions", job(id, "sweep", 1), out, sizeof out);
        bool good = status == 503;
        for (int m = 0; state_names[m] && status == 200; m++)
            good = good || strstr(out, state_names[m]);
        if (!good) {
            printf("     node %d on %s: %ld %s\n", node, id, status, out);
            t->older++;
        }
    }
}

static void close_looks(struct test *t)
{
    static const char *const any[] = {"pending", "running", "done", NULL};
    static const char *const done[] = {"\"done\"", NULL}, *const over[] = {"cancelled", NULL};
    char id[32], path[64], out[256];
    int late = 0, withdrawn = 0;
    world_state_loses(t->w, 0.3, 0.1);
    for (int i = 0; i < 16; i++) {
        snprintf(id, sizeof id, "job-7%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        if (!submit(t, id, "sweep", 1, 20)) {
            check(t, 0, "a job is accepted though answers are lost");
            continue;
        }
        look_closely(t, id, any, i);
        if (i % 2) {
            check(t, until(t, path, "\"mood\":\"done\"", 40), "it is done");
            look_closely(t, id, done, i + 1);
            continue;
        }
        strcat(path, "/withdraw");
        for (int k = 0; k < 20; k++) {
            long status = ask(t, k % NODES, "POST", path, "{}", out, sizeof out);
            if (status == 200)
                break;
            bd_pause(0.2);
        }
        bool cancelled = strstr(out, "cancelled") != NULL;
        withdrawn += cancelled;
        look_closely(t, id, cancelled ? over : done, i + 1);
    }
    world_state_loses(t->w, 0, 0);
    int lost = world_lost(t->w, &late);
    printf("     %d answers were lost, %d transactions applied late, %d jobs withdrawn\n", lost,
           late, withdrawn);
    check(t, lost > 0 && withdrawn > 0, "answers were lost, and jobs withdrawn");
    check(t, t->older == 0, "no node answered older than another");
}

/* ---- more than can be done ---- */

struct crowd { /* connections that ask again as soon as they are answered */
    int fd[CROWD];
    char got[CROWD][512];
    size_t len[CROWD];
    int answered, refused, unnamed, odd, dropped;
};

static void crowd_ask(struct test *t, struct crowd *c, int i, int node)
{
    struct sockaddr_in to;
    char text[1024];
    const char *body = job(i % 2 ? "job-80" : "job-81", "sweep", 2);
    if (c->fd[i] < 0 && bd_parse_addr(t->addr[node], &to)) {
        c->fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (c->fd[i] >= 0 && connect(c->fd[i], (struct sockaddr *)&to, sizeof to) != 0) {
            (void)close(c->fd[i]);
            c->fd[i] = -1;
        }
    }
    c->len[i] = 0;
    if (i % 3)
        snprintf(text, sizeof text, "GET /submissions/job-8%d HTTP/1.1\r\nHost: a\r\n\r\n", i % 4);
    else
        snprintf(text, sizeof text,
                 "POST /submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s",
                 strlen(body), body);
    if (c->fd[i] >= 0 && send(c->fd[i], text, strlen(text), MSG_NOSIGNAL) < 0) {
        (void)close(c->fd[i]);
        c->fd[i] = -1;
    }
}

static void crowd_hear(struct crowd *c, int i)
{
    ssize_t n =
        recv(c->fd[i], c->got[i] + c->len[i], sizeof c->got[i] - 1 - c->len[i], MSG_DONTWAIT);
    c->len[i] += n > 0 ? (size_t)n : 0;
    c->got[i][c->len[i]] = '\0';
    int status = 0;
    if (sscanf(c->got[i], "HTTP/1.1 %d", &status) == 1 && strstr(c->got[i], "}")) {
        bool good = status == 200 || status == 201 || status == 404;
        c->answered += good;
        c->refused += status == 503 || status == 429;
        c->odd += !good && status != 503 && status != 429;
        c->unnamed += (status == 503 || status == 429) && !strstr(c->got[i], "Retry-After");
    } else if (n <= 0) {
        c->dropped++;
    } else {
        return; /* the rest comes */
    }
    if (n <= 0 || status == 503) {
        (void)close(c->fd[i]);
        c->fd[i] = -1;
    }
    c->len[i] = SIZE_MAX; /* may ask again */
}

/* For so long; what the crowd got is added up. */
static void crowd_runs(struct test *t, struct crowd *c, int node, double seconds)
{
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    struct pollfd p[CROWD];
    for (int i = 0; i < CROWD; i++)
        crowd_ask(t, c, i, node);
    while (bd_before(bd_now(), end)) {
        for (int i = 0; i < CROWD; i++)
            p[i] = (struct pollfd){.fd = c->fd[i], .events = POLLIN};
        if (poll(p, CROWD, 20) < 0)
            break;
        for (int i = 0; i < CROWD; i++) {
            if (c->fd[i] >= 0 && p[i].revents)
                crowd_hear(c, i);
            if (c->fd[i] < 0 || c->len[i] == SIZE_MAX)
                crowd_ask(t, c, i, node);
        }
    }
    for (int i = 0; i < CROWD; i++) {
        if (c->fd[i] >= 0)
            (void)close(c->fd[i]);
        c->fd[i] = -1;
    }
}

/* A few hundred connections ask the leader without a pause, then while the state service refuses
 * it: renewals, check-ins and work go on, and who is refused is told when to come back. */
static void overload(struct test *t)
{
    struct crowd *c = calloc(1, sizeof *c);
    if (!c)
        abort();
    for (int i = 0; i < CROWD; i++)
        c->fd[i] = -1;
    check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    check(t, submit(t, "job-9", "service", 2, 10), "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (world_running(t->w) < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    int leader = world_leader(t->w), other = (leader + 1) % NODES;
    check(t, leader >= 0 && world_running(t->w) == 2, "it runs");
    crowd_runs(t, c, leader, 6);
    printf("     %d answered, %d refused, %d without an answer\n", c->answered, c->refused,
           c->dropped);
    check(t, c->answered > CROWD && c->odd == 0, "the crowd is answered");
    check(t, world_leader(t->w) == leader, "the leader goes on leading");
    check(t, world_lapses(t->w) == 0 && world_running(t->w) == 2, "no lease was lost");
    check(t,
          ask(t, other, "POST", "/submissions", job("job-85", "sweep", 4), NULL, 0) == 201 &&
              until(t, "/submissions/job-85", "\"mood\":\"done\"", 30),
          "another job is done");
    int before = c->refused;
    world_state_refuses(t->w, other, true);
    bd_pause(2.5);
    crowd_runs(t, c, other, 3);
    world_state_refuses(t->w, other, false);
    printf("     %d refused, %d of them without a time\n", c->refused - before, c->unnamed);
    check(t, c->refused - before > CROWD && c->unnamed == 0, "who is refused is told when to come");
    check(t,
          all_nodes(t, "/up", "up", 20) &&
              all_nodes(t, "/submissions/job-80", "\"mood\":\"done\"", 30),
          "all nodes are well again");
    check(t, world_lapses(t->w) == 0 && world_running_of(t->w, "job-9") == 2,
          "the service went on all the time");
    free(c);
}

/* ---- memory ---- */

#define MEMORY_JOBS 1500
#define MEMORY_ARRAYS 20
#define MEMORY_TASKS 10000 /* of an array */
#define MEMORY_CONNECTIONS 200
/* Upper bounds, half as much again as was measured: one that doubles is noticed. */
#define START_KB_MOST 3600
#define JOB_BYTES_MOST 7100
#define TASK_BYTES_MOST 37
#define CONNECTION_BYTES_MOST 6900

/* What the process holds beside its files' pages. */
static long memory_kb(const struct test *t, int node)
{
    char path[64], line[128];
    long kb = -1;
    snprintf(path, sizeof path, "/proc/%d/status", (int)t->pid[node]);
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof line, f))
        if (sscanf(line, "RssAnon: %ld", &kb) == 1)
            break;
    if (f)
        (void)fclose(f);
    return kb;
}

static void check_memory(struct test *t, const char *what, double measured, double most)
{
    char text[128];
    snprintf(text, sizeof text, "%s: %.0f, at most %.0f", what, measured, most);
    check(t, measured > 0 && measured <= most, text);
}

static void submit_many(struct test *t, int from, int jobs, int tasks)
{
    int accepted = 0;
    for (int i = 0; i < jobs; i++) {
        char id[32];
        snprintf(id, sizeof id, "job-%d", from + i);
        accepted += submit(t, id, "sweep", tasks, 10);
    }
    check(t, accepted == jobs, "all are accepted");
}

/* Until the leader knows the last of them, and a moment more. */
static void settle(struct test *t, int from, int jobs)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/job-%d", from + jobs - 1);
    check(t, all_nodes(t, path, "pending", 10), "all nodes know the last");
    bd_pause(1.0);
}

/* What a job, a task and a connection cost the leader. A service holds all that the team may use,
 * so that all other jobs wait. */
static void memory(struct test *t)
{
    int fd[MEMORY_CONNECTIONS];
    struct sockaddr_in to;
    const char *text = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    check(t, submit(t, "job-9", "service", 32, 10), "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(30));
    while (world_running(t->w) < 32 && bd_before(bd_now(), end))
        bd_pause(0.1);
    int leader = world_leader(t->w);
    check(t, leader >= 0 && world_running(t->w) == 32, "it runs");
    long start = memory_kb(t, leader);
    submit_many(t, 10000, MEMORY_JOBS, 1);
    settle(t, 10000, MEMORY_JOBS);
    long jobs = memory_kb(t, leader);
    submit_many(t, 20000, MEMORY_ARRAYS, MEMORY_TASKS);
    settle(t, 20000, MEMORY_ARRAYS);
    long tasks = memory_kb(t, leader);
    int open = 0;
    for (int i = 0; i < MEMORY_CONNECTIONS; i++) {
        fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        open += fd[i] >= 0 && bd_parse_addr(t->addr[leader], &to) &&
                connect(fd[i], (struct sockaddr *)&to, sizeof to) == 0 &&
                send(fd[i], text, strlen(text), MSG_NOSIGNAL) > 0;
    }
    bd_pause(1.5);
    long connections = memory_kb(t, leader);
    check(t, open == MEMORY_CONNECTIONS, "all connections are open");
    check_memory(t, "KiB at the start", (double)start, START_KB_MOST);
    check_memory(t, "bytes a job", 1024.0 * (double)(jobs - start) / MEMORY_JOBS, JOB_BYTES_MOST);
    check_memory(t, "bytes a task", 1024.0 * (double)(tasks - jobs) / MEMORY_ARRAYS / MEMORY_TASKS,
                 TASK_BYTES_MOST);
    check_memory(t, "bytes a connection",
                 1024.0 * (double)(connections - tasks) / MEMORY_CONNECTIONS,
                 CONNECTION_BYTES_MOST);
    check(t, world_leader(t->w) == leader, "the leader goes on leading");
    for (int i = 0; i < MEMORY_CONNECTIONS; i++)
        if (fd[i] >= 0)
            (void)close(fd[i]);
}

/* Keeps what the old version writes: its records, and what it says to another controller. */
static int capture(struct test *t, const char *dir)
{
    char path[256];
    unsigned char buf[8192];
    size_t len = 0;
    struct sockaddr_in a;
    snprintf(path, sizeof path, "127.0.0.1:%d", t->base + 10 + NODES - 1);
    int ear = socket(AF_INET, SOCK_STREAM, 0), one = 1;
    if (ear < 0 || !bd_parse_addr(path, &a) ||
        setsockopt(ear, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        bind(ear, (struct sockaddr *)&a, sizeof a) != 0 || listen(ear, 4) != 0)
        return 2;
    for (int i = 0; i < NODES - 1; i++)
        again(t, i, t->program);
    int fd = accept(ear, NULL, NULL);
    (void)submit(t, "job-9", "service", 2, 20);
    (void)submit(t, "job-1", "sweep", 3, 20);
    (void)until(t, "/submissions/job-1", "\"mood\":\"done\"", 30);
    (void)submit(t, "job-2", "gang", 2, 20);
    (void)submit(t, "job-3", "sweep", 60, 20);
    (void)ask(t, 0, "POST", "/submissions/job-3/withdraw", "{}", NULL, 0);
    bd_pause(0.5);
    snprintf(path, sizeof path, "%s/production-records.json", dir);
    bool ok = fd >= 0 && world_dump(t->w, path);
    while (ok && len < 2000) {
        ssize_t got = recv(fd, buf + len, sizeof buf - len, 0);
        if (got <= 0)
            break;
        len += (size_t)got;
    }
    snprintf(path, sizeof path, "%s/production-frames.bin", dir);
    FILE *f = fopen(path, "wb");
    ok = ok && f && fwrite(buf, 1, len, f) == len;
    if (f)
        (void)fclose(f);
    return ok ? 0 : 1;
}

#define PORTS_FIRST 20000 /* below what outgoing connections take */
#define PORTS_EACH 100
#define PORT_RANGES 120

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

static void finish(struct test *t)
{
    for (int i = 0; i < NODES; i++) {
        end(t, i);
        (void)unlink(t->file[i]);
    }
    (void)rmdir(t->dir);
    world_stop(t->w);
    bd_http_free(t->h);
}

/* loopback PROGRAM; loopback PROGRAM OLD; loopback PROGRAM faults|overload|memory; loopback
 * PROGRAM capture DIR
 */
int main(int argc, char **argv)
{
    struct test t = {0};
    if (argc < 2 || argc > 4)
        return 2;
    t.program = argv[1];
    bool faults = argc == 3 && strcmp(argv[2], "faults") == 0;
    bool crowded = argc == 3 && strcmp(argv[2], "overload") == 0;
    bool heavy = argc == 3 && strcmp(argv[2], "memory") == 0;
    bool others = faults || crowded || heavy;
    if (argc == 3 && !others && access(argv[2], X_OK) != 0) {
        printf("skipped: the version in production is not there: %s\n", argv[2]);
        return 77;
    }
    if (argc == 3 && !others)
        t.old = argv[2];
    t.base = reserve_ports();
    if (t.base < 0)
        return 2;
    (void)signal(SIGPIPE, SIG_IGN);
    snprintf(t.dir, sizeof t.dir, "/tmp/bd-loopback-XXXXXX");
    if (!mkdtemp(t.dir) || bd_http_start() != 0)
        return 2;
    t.h = bd_http_new(4, NULL);
    for (int i = 0; i < NODES; i++) {
        snprintf(t.addr[i], sizeof t.addr[i], "127.0.0.1:%d", t.base + i);
        t.nodes[i] = t.addr[i];
        write_settings(&t, i, 0);
    }
    t.w = world_new(t.base + 22, t.base + 21, t.base + 30, t.nodes, NODES);
    if (!t.w)
        return 2;
    if (argc == 4) {
        int rc = capture(&t, argv[3]);
        finish(&t);
        return rc;
    }
    for (int i = 0; i < NODES; i++)
        again(&t, i, t.old);
    if (faults) {
        gap(&t);
        blind_leader(&t);
        close_looks(&t);
    } else if (crowded) {
        overload(&t);
    } else if (heavy) {
        memory(&t);
    } else if (t.old) {
        roll(&t);
    } else {
        quiet(&t);
        bad_requests(&t);
        killed(&t);
        outage(&t);
        pipelines(&t);
        lowered(&t, 700, 2, false);
        apart(&t);
    }
    check(&t, world_ran_twice(t.w) == 0, "no task ran twice at the same time");
    int applied = 0;
    check(&t, (world_copies(t.w, &applied) > 5 || crowded || heavy) && applied == 0,
          "late copies of transactions came and none applied");
    check(&t, world_starts(t.w) >= (others ? 6 : 29), "all of the work was started");
    for (int i = 0; i < NODES; i++)
        check(&t, t.pid[i] > 0 && waitpid(t.pid[i], NULL, WNOHANG) == 0, "no node ended by itself");
    finish(&t);
    printf("%d faults\n", t.faults);
    return t.faults ? 1 : 0;
}
