/* The real program, three times, over loopback against the fake servers: quiet work, bad requests,
 * killed nodes, an outage of the state service and answers that are cut off. */
#include "adapters/node.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "numbers.h"
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

#define CROWD 220

static void quiet(struct test *t)
{
    char out[256];
    for (int i = 0; i < NODES; i++)
        nodes_check(t, nodes_until(t, "/up", "up", 20), "a node comes up");
    nodes_check(t, nodes_submit(t, "job-1", "sweep", 6, 10), "a job is accepted");
    nodes_check(t, nodes_until(t, "/submissions/job-1", "\"done\",\"done\":6", 30),
                "an array is done");
    nodes_check(t,
                nodes_submit(t, "job-2", "gang", 2, 10) &&
                    nodes_until(t, "/submissions/job-2", "\"mood\":\"done\"", 30),
                "a gang is done");
    nodes_check(t,
                nodes_ask(t, 1, "POST", "/submissions", nodes_job("job-1", "sweep", 6), out,
                          sizeof out) == 200 &&
                    strstr(out, "done"),
                "a repeated submission gets the final state");
    nodes_check(t,
                nodes_submit(t, "job-9", "service", 2, 10) &&
                    nodes_until(t, "/submissions/job-9", "job-9", 10),
                "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (fake_running(t->cluster) < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    nodes_check(t, fake_running(t->cluster) == 2, "both replicas run");
    nodes_check(t,
                nodes_ask(t, 0, "POST", "/submissions/job-9/withdraw", "{}", out, sizeof out) ==
                        200 &&
                    strstr(out, "cancelled"),
                "it is withdrawn");
    end = bd_add(bd_now(), bd_secs(20));
    while (fake_running(t->cluster) > 0 && bd_before(bd_now(), end))
        bd_pause(0.1);
    nodes_check(t, fake_running(t->cluster) == 0, "its replicas are gone");
}

static void bad_requests(struct test *t)
{
    char *big = malloc(70000);
    memset(big, ' ', 69999);
    big[69999] = '\0';
    nodes_check(t, nodes_ask(t, 0, "POST", "/submissions", "{", NULL, 0) == 400, "not JSON: 400");
    nodes_check(t, nodes_ask(t, 0, "POST", "/submissions", "[]", NULL, 0) == 400,
                "not an object: 400");
    nodes_check(t, nodes_ask(t, 0, "POST", "/submissions", big, NULL, 0) == 413, "too large: 413");
    nodes_check(
        t, nodes_ask(t, 0, "POST", "/submissions", nodes_job("job-5", "sweep", 0), NULL, 0) == 400,
        "no tasks: 400");
    nodes_check(t, nodes_ask(t, 0, "GET", "/submissions/job-77", NULL, NULL, 0) == 404,
                "unknown job: 404");
    nodes_check(t, nodes_ask(t, 0, "GET", "/nowhere", NULL, NULL, 0) == 404, "unknown path: 404");
    nodes_check(t, nodes_ask(t, 0, "POST", "/up", "{}", NULL, 0) == 405, "wrong method: 405");
    nodes_check(t, nodes_ask(t, 0, "POST", "/checkin", "{\"hearth\":3}", NULL, 0) == 400,
                "malformed report: 400");
    free(big);
}

static void killed(struct test *t)
{
    nodes_check(t, nodes_submit(t, "job-3", "sweep", 12, 10), "a job before the kills");
    nodes_end(t, 0);
    bd_pause(0.2);
    nodes_end(t, 1);
    nodes_end(t, 2);
    for (int i = 0; i < NODES; i++)
        nodes_start(t, i);
    nodes_check(t, nodes_until(t, "/submissions/job-3", "\"mood\":\"done\"", 60),
                "it is done although all nodes were killed");
    nodes_check(t, nodes_until(t, "/submissions/job-9", "cancelled", 10),
                "what was withdrawn still is");
    nodes_check(t, nodes_until(t, "/submissions/job-1", "\"done\"", 10), "what was done still is");
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
    nodes_check(t, sent && got == 0 && strstr(out, " 503 ") && strstr(out, "Retry-After"),
                "a 503 names a time to come again and closes the connection");
    if (fd >= 0)
        (void)close(fd);
}

static void outage(struct test *t)
{
    nodes_check(t, nodes_submit(t, "job-4", "sweep", 4, 10), "a job before the outage");
    fake_store_set_down(t->cluster, true);
    bd_pause(3);
    struct timespec asked = bd_now();
    nodes_check(t,
                nodes_ask(t, 0, "POST", "/submissions", nodes_job("job-6", "sweep", 1), NULL, 0) ==
                        503 &&
                    bd_between(asked, bd_now()) < 1.5,
                "during the outage a submission is refused at once");
    closed_after_503(t);
    nodes_check(t, nodes_ask(t, 0, "GET", "/submissions/job-1", NULL, NULL, 0) == 200,
                "a final state is answered");
    fake_store_set_down(t->cluster, false);
    nodes_check(t, nodes_until(t, "/submissions/job-4", "\"mood\":\"done\"", 40),
                "it is done afterwards");
    fake_store_truncate_answers(t->cluster, 12);
    nodes_check(t,
                nodes_submit(t, "job-7", "sweep", 3, 20) &&
                    nodes_until(t, "/submissions/job-7", "\"mood\":\"done\"", 40),
                "answers that are cut off do no harm");
}

/* A worker's check-in; its number rises each time, the thousands name the worker. Returns the
 * status, *token from the answer. */
static long check_in(struct test *t, int node, int *tally, long long *fencing_token, char *out,
                     size_t cap)
{
    char body[320];
    snprintf(body, sizeof body,
             "{\"hearth\":\"vm-9%05d\",\"endpoint\":\"127.0.0.1:1\",\"breed\":\"odd\",\"glade\":"
             "\"a\",\"windfall\":false,\"tenancy\":1,\"tally\":%d,\"seal\":%lld,\"warningS\":null,"
             "\"chores\":[]}",
             *tally / 1000, *tally % 1000, *fencing_token);
    ++*tally;
    long status = nodes_ask(t, node, "POST", "/checkin", body, out, cap);
    const char *at = strstr(out, "\"seal\":");
    if (status == 200 && at)
        *fencing_token = strtoll(at + 7, NULL, 10);
    return status;
}

/* As check_in, until the status comes, for at most so long. */
static int check_in_until(struct test *t, int node, int *tally, long long *fencing_token,
                          long status, double seconds)
{
    char out[512] = "";
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    while (bd_before(bd_now(), end)) {
        if (check_in(t, node, tally, fencing_token, out, sizeof out) == status)
            return 1;
        bd_pause(0.3);
    }
    printf("     last answer to a check-in with seal %lld: %s\n", *fencing_token, out);
    return 0;
}

/* The first node leads; the last does not hear it. Reports go through the one between them; without
 * that one the last answers itself, until the leader's key says that it hears its workers. */
static void apart(struct test *t)
{
    int tally = 1001;
    long long fencing_token = 0;
    for (int i = 0; i < NODES; i++) {
        nodes_end(t, i);
        nodes_write_settings(t, i, 1);
    }
    bd_pause(4); /* whoever led has led */
    nodes_start(t, 0);
    nodes_check(t, check_in_until(t, 0, &tally, &fencing_token, 200, 20), "the first node leads");
    /* the fake server's own workers are to be there, and the relay, before the last node starts:
     * one that met it first would end it as a delegate for half a minute */
    bd_pause(5);
    nodes_start(t, 1);
    nodes_check(t, check_in_until(t, 1, &tally, &fencing_token, 200, 20),
                "the node between them passes reports on");
    nodes_start(t, 2);
    long long before = fencing_token;
    nodes_check(t, check_in_until(t, 2, &tally, &fencing_token, 200, 20) && fencing_token >= before,
                "a report is relayed to a leader who is not heard");
    nodes_end(t, 1);
    bd_pause(2);
    tally = 2001; /* one that the leader does not know yet */
    nodes_check(t, check_in_until(t, 2, &tally, &fencing_token, 200, 25),
                "without a relay a delegate answers");
    nodes_check(t, check_in_until(t, 0, &tally, &fencing_token, 200, 10),
                "its worker comes to the leader");
    nodes_check(t, check_in_until(t, 2, &tally, &fencing_token, 421, 10),
                "the leader's key sends the delegate away");
    nodes_start(t, 1);
}

/* Jobs that need others, on any node: in order, cancelled together, refused where one was never
 * accepted. */
static void pipelines(struct test *t)
{
    char out[256];
    nodes_check(
        t,
        nodes_submit(t, "job-30", "sweep", 3, 10) &&
            nodes_submit_after(t, "job-31", "gang", 2, ",\"awaits\":[\"job-30\"]", 10) &&
            nodes_submit_after(t, "job-32", "sweep", 2, ",\"awaits\":[\"job-30\",\"job-31\"]", 10),
        "a pipeline is accepted");
    nodes_check(t, nodes_until(t, "/submissions/job-32", "\"mood\":\"done\"", 40), "it is done");
    nodes_check(t, fake_early_starts(t->cluster) == 0, "none of it began too early");
    nodes_check(
        t,
        nodes_ask(t, 1, "POST", "/submissions",
                  nodes_job_after("job-33", "sweep", 1, ",\"awaits\":[\"job-30\",\"job-77\"]"), out,
                  sizeof out) == 422,
        "a job that was never accepted is not awaited: 422");
    nodes_check(t,
                nodes_ask(t, 1, "POST", "/submissions",
                          nodes_job_after("job-33", "sweep", 1, ",\"awaits\":7"), out,
                          sizeof out) == 400,
                "no list: 400");
    nodes_check(
        t,
        nodes_submit(t, "job-40", "sweep", 60, 10) &&
            nodes_submit_after(t, "job-41", "sweep", 2, ",\"awaits\":[\"job-40\"]", 10) &&
            nodes_submit_after(t, "job-42", "sweep", 2, ",\"awaits\":[\"job-41\"]", 10) &&
            nodes_ask(t, 0, "POST", "/submissions/job-40/withdraw", "{}", out, sizeof out) == 200 &&
            strstr(out, "cancelled"),
        "the first of a chain is withdrawn");
    for (int i = 0; i < NODES; i++)
        nodes_check(t,
                    nodes_ask(t, i, "GET", "/submissions/job-42", NULL, out, sizeof out) == 200 &&
                        strstr(out, "cancelled"),
                    "every node says at once that the last is cancelled");
    nodes_check(t,
                nodes_submit_after(t, "job-43", "sweep", 2, ",\"awaits\":[\"job-42\"]", 10) &&
                    nodes_until(t, "/submissions/job-43", "cancelled", 5),
                "one that needs a cancelled one is accepted, and is cancelled");
}

/* The state service's limits fall: foreseen or not, work goes on. */
static void lowered(struct test *t, size_t value, size_t ops, bool foreseen)
{
    int refused = 0, busy = 0;
    fake_store_set_limits(t->cluster, value, ops, 60);
    nodes_check(t,
                nodes_submit(t, "job-60", "sweep", 40, 20) &&
                    nodes_until(t, "/submissions/job-60", "\"mood\":\"done\"", 60),
                "a job under lower limits is done");
    char id[32], path[64];
    for (int i = 0; i < 20 && !foreseen && refused == 0;
         i++) { /* ended ones leave records to drop */
        snprintf(id, sizeof id, "job-62%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        nodes_check(
            t, nodes_submit(t, id, "sweep", 2, 20) && nodes_until(t, path, "\"mood\":\"done\"", 60),
            "one more is done");
        fake_store_rejections(t->cluster, &refused, &busy);
    }
    fake_store_rejections(t->cluster, &refused, &busy);
    printf("     %d transactions got 400, %d got 429\n", refused, busy);
    nodes_check(t, foreseen ? refused == 0 : refused > 0,
                foreseen ? "nothing was too large" : "what was too large was decided anew");
    int calm = busy;
    fake_store_set_limits(t->cluster, value, ops, 6);
    nodes_check(t,
                nodes_submit(t, "job-61", "sweep", 20, 40) &&
                    nodes_until(t, "/submissions/job-61", "\"mood\":\"done\"", 60),
                "a job under a lower rate is done");
    fake_store_rejections(t->cluster, &refused, &busy);
    nodes_check(t, busy > calm, "some of it was asked too fast, and came later");
    fake_store_set_limits(t->cluster, 0, 0, 0);
}

static int all_nodes(struct test *t, const char *path, const char *text, double seconds)
{
    char out[256];
    struct timespec end = bd_add(bd_now(), bd_secs(seconds));
    for (int i = 0; i < NODES && bd_before(bd_now(), end);) {
        bool good = nodes_ask(t, i, "GET", path, NULL, out, sizeof out) == 200 && strstr(out, text);
        i += good;
        if (!good)
            bd_pause(0.1);
    }
    return bd_before(bd_now(), end);
}

/* One stage of the roll: those of the mask end, work comes meanwhile, then they are back. */
static void stage(struct test *t, unsigned ends, const char *back, const char *id, const char *what)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/%s", id);
    int taken = nodes_submit(t, id, "sweep", 8, 10); /* in the middle of its rounds */
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            nodes_end(t, i);
    bool none = ends == (1u << NODES) - 1;
    nodes_check(t, taken && (none || nodes_until(t, path, "\"mood\":\"done\"", 30)), what);
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            nodes_again(t, i, back);
    nodes_check(t, all_nodes(t, path, "\"done\":8", 20) && all_nodes(t, "/up", "up", 20),
                "all nodes are back and know it");
    nodes_check(t, fake_running(t->cluster) == 2 && fake_lease_expiries(t->cluster) == 0,
                "the replicas went on and no lease was lost");
}

/* From the version in production to this one while both serve: leadership passes to and fro. */
static void roll(struct test *t)
{
    nodes_check(t, all_nodes(t, "/up", "up", 30), "three nodes of the old version");
    nodes_check(t, nodes_submit(t, "job-9", "service", 2, 10), "a service is accepted");
    nodes_check(t,
                nodes_submit(t, "job-1", "gang", 2, 10) &&
                    nodes_until(t, "/submissions/job-1", "done\",\"done\":2", 30),
                "a gang is done");
    stage(t, 1, t->program, "job-20", "one node is new");
    stage(t, 6, t->old, "job-21", "the new one leads alone; others die and come back old");
    stage(t, 1, t->program, "job-22", "an old one leads");
    stage(t, 2, t->program, "job-23", "two nodes are new");
    stage(t, 3, t->program, "job-24", "the old one leads alone");
    stage(t, 4, t->program, "job-25", "all are new");
    stage(t, 7, t->program, "job-26", "none was there for a moment");
    nodes_check(t, fake_starts(t->cluster) == 2 + 2 + 7 * 8, "every task was started once");
    pipelines(t);
    lowered(t, 2048, 8, true);
    nodes_check(t, fake_early_starts(t->cluster) == 0, "none began too early");
}

/* The state service refuses the leader alone, another node confirms a cancellation, then it is out
 * for all, while the workers go on reporting to the leader. */
static void gap(struct test *t)
{
    char out[256] = "";
    nodes_check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    nodes_check(t,
                nodes_submit(t, "job-91", "service", 2, 10) &&
                    nodes_submit(t, "job-92", "service", 2, 10),
                "two services are accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (fake_running(t->cluster) < 4 && bd_before(bd_now(), end))
        bd_pause(0.1);
    nodes_check(t, fake_running(t->cluster) == 4, "all replicas run");
    int leader = fake_store_leader(t->cluster);
    nodes_check(t, leader >= 0, "somebody leads");
    fake_store_refuse(t->cluster, leader, true);
    bd_pause(0.5);
    int other = (leader + 1) % NODES;
    nodes_check(
        t,
        nodes_ask(t, other, "POST", "/submissions/job-91/withdraw", "{}", out, sizeof out) == 200 &&
            strstr(out, "cancelled"),
        "another node confirms a withdrawal");
    struct timespec told = bd_now();
    fake_store_set_down(t->cluster, true);
    while (fake_running_of(t->cluster, "job-91") > 0 && bd_between(told, bd_now()) < CANCEL_S)
        bd_pause(0.1);
    printf("     gone after %.1f s\n", bd_between(told, bd_now()));
    nodes_check(t, fake_running_of(t->cluster, "job-91") == 0,
                "its tasks are gone in time, though all is out");
    while (bd_between(told, bd_now()) < CANCEL_S + 2) {
        if (fake_running_of(t->cluster, "job-91") > 0)
            break;
        bd_pause(0.1);
    }
    nodes_check(t, fake_running_of(t->cluster, "job-91") == 0, "and none comes back");
    fake_store_refuse(t->cluster, leader, false);
    fake_store_set_down(t->cluster, false);
    nodes_check(t, all_nodes(t, "/submissions/job-91", "cancelled", 20), "all nodes say so");
    end = bd_add(bd_now(), bd_secs(30));
    while (fake_running_of(t->cluster, "job-92") < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    nodes_check(
        t, fake_running_of(t->cluster, "job-92") == 2 && fake_running_of(t->cluster, "job-91") == 0,
        "the other service runs again");
}

/* The leader's lease is renewed, but it cannot read the records: another is to lead, and work that
 * comes then is started. */
static void blind_leader(struct test *t)
{
    int leader = fake_store_leader(t->cluster);
    nodes_check(t, leader >= 0, "somebody leads before its reads fail");
    fake_store_refuse_job_reads(t->cluster, leader, true);
    struct timespec end = bd_add(bd_now(), bd_secs(15));
    while ((fake_store_leader(t->cluster) == leader || fake_store_leader(t->cluster) < 0) &&
           bd_before(bd_now(), end))
        bd_pause(0.05);
    nodes_check(t, fake_store_leader(t->cluster) >= 0 && fake_store_leader(t->cluster) != leader,
                "a leader that cannot read the records gives up the lease");
    int other = (leader + 1) % NODES;
    char out[256] = "";
    long status = nodes_ask(t, other, "POST", "/submissions", nodes_job("job-65", "sweep", 2), out,
                            sizeof out);
    if (status != 201)
        printf("     %ld %s\n", status, out);
    nodes_check(t, status == 201 && nodes_until(t, "/submissions/job-65", "\"mood\":\"done\"", 20),
                "work is done meanwhile");
    nodes_check(t, fake_store_leader(t->cluster) != leader, "it does not take the lease back");
    fake_store_refuse_job_reads(t->cluster, leader, false);
    nodes_check(t, all_nodes(t, "/submissions/job-65", "\"mood\":\"done\"", 20),
                "all nodes are well again");
}

/* No node may answer older than another did, whatever the state service's answers become. */
static void look_closely(struct test *t, const char *id, const char *const *state_names, int from)
{
    char path[64], out[256];
    snprintf(path, sizeof path, "/submissions/%s", id);
    for (int i = 0; i < 2 * NODES; i++) {
        int node = (from + i) % NODES;
        long status = i < NODES ? nodes_ask(t, node, "GET", path, NULL, out, sizeof out)
                                : nodes_ask(t, node, "POST", "/submissions",
                                            nodes_job(id, "sweep", 1), out, sizeof out);
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
    fake_store_lose_answers(t->cluster, 0.3, 0.1);
    for (int i = 0; i < 16; i++) {
        snprintf(id, sizeof id, "job-7%02d", i);
        snprintf(path, sizeof path, "/submissions/%s", id);
        if (!nodes_submit(t, id, "sweep", 1, 20)) {
            nodes_check(t, 0, "a job is accepted though answers are lost");
            continue;
        }
        look_closely(t, id, any, i);
        if (i % 2) {
            nodes_check(t, nodes_until(t, path, "\"mood\":\"done\"", 40), "it is done");
            look_closely(t, id, done, i + 1);
            continue;
        }
        strcat(path, "/withdraw");
        for (int k = 0; k < 20; k++) {
            long status = nodes_ask(t, k % NODES, "POST", path, "{}", out, sizeof out);
            if (status == 200)
                break;
            bd_pause(0.2);
        }
        bool cancelled = strstr(out, "cancelled") != NULL;
        withdrawn += cancelled;
        look_closely(t, id, cancelled ? over : done, i + 1);
    }
    fake_store_lose_answers(t->cluster, 0, 0);
    int lost = fake_store_lost_answers(t->cluster, &late);
    printf("     %d answers were lost, %d transactions applied late, %d jobs withdrawn\n", lost,
           late, withdrawn);
    nodes_check(t, lost > 0 && withdrawn > 0, "answers were lost, and jobs withdrawn");
    nodes_check(t, t->older == 0, "no node answered older than another");
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
    const char *body = nodes_job(i % 2 ? "job-80" : "job-81", "sweep", 2);
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
    long status = 0;
    if (number_after(c->got[i], "HTTP/1.1 ", &status) && strstr(c->got[i], "}")) {
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
    nodes_check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    nodes_check(t, nodes_submit(t, "job-9", "service", 2, 10), "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(20));
    while (fake_running(t->cluster) < 2 && bd_before(bd_now(), end))
        bd_pause(0.1);
    int leader = fake_store_leader(t->cluster), other = (leader + 1) % NODES;
    nodes_check(t, leader >= 0 && fake_running(t->cluster) == 2, "it runs");
    crowd_runs(t, c, leader, 6);
    printf("     %d answered, %d refused, %d without an answer\n", c->answered, c->refused,
           c->dropped);
    nodes_check(t, c->answered > CROWD && c->odd == 0, "the crowd is answered");
    nodes_check(t, fake_store_leader(t->cluster) == leader, "the leader goes on leading");
    nodes_check(t, fake_lease_expiries(t->cluster) == 0 && fake_running(t->cluster) == 2,
                "no lease was lost");
    nodes_check(t,
                nodes_ask(t, other, "POST", "/submissions", nodes_job("job-85", "sweep", 4), NULL,
                          0) == 201 &&
                    nodes_until(t, "/submissions/job-85", "\"mood\":\"done\"", 30),
                "another job is done");
    int before = c->refused;
    fake_store_refuse(t->cluster, other, true);
    bd_pause(2.5);
    crowd_runs(t, c, other, 3);
    fake_store_refuse(t->cluster, other, false);
    printf("     %d refused, %d of them without a time\n", c->refused - before, c->unnamed);
    nodes_check(t, c->refused - before > CROWD && c->unnamed == 0,
                "who is refused is told when to come");
    nodes_check(t,
                all_nodes(t, "/up", "up", 20) &&
                    all_nodes(t, "/submissions/job-80", "\"mood\":\"done\"", 30),
                "all nodes are well again");
    nodes_check(t,
                fake_lease_expiries(t->cluster) == 0 && fake_running_of(t->cluster, "job-9") == 2,
                "the service went on all the time");
    free(c);
}

/* ---- memory ---- */

#define MEMORY_JOBS 1500
#define MEMORY_ARRAYS 20
#define MEMORY_TASKS 10000 /* of an array */
#define MEMORY_CONNECTIONS 200
/* Upper bounds, half as much again as was measured: one that doubles is noticed. */
#define START_KB_MAX 3600
#define JOB_BYTES_MAX 7100
#define TASK_BYTES_MAX 37
#define CONNECTION_BYTES_MAX 6900

/* What the process holds beside its files' pages. */
static long memory_kb(const struct test *t, int node)
{
    char path[64], line[128];
    long kb = -1;
    snprintf(path, sizeof path, "/proc/%d/status", (int)t->pid[node]);
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof line, f))
        if (number_after(line, "RssAnon:", &kb))
            break;
    if (f)
        (void)fclose(f);
    return kb;
}

static void check_memory(struct test *t, const char *what, double measured, double most)
{
    char text[128];
    snprintf(text, sizeof text, "%s: %.0f, at most %.0f", what, measured, most);
    nodes_check(t, measured > 0 && measured <= most, text);
}

static void submit_many(struct test *t, int from, int jobs, int tasks)
{
    int accepted = 0;
    for (int i = 0; i < jobs; i++) {
        char id[32];
        snprintf(id, sizeof id, "job-%d", from + i);
        accepted += nodes_submit(t, id, "sweep", tasks, 10);
    }
    nodes_check(t, accepted == jobs, "all are accepted");
}

/* Until the leader knows the last of them, and a moment more. */
static void settle(struct test *t, int from, int jobs)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/job-%d", from + jobs - 1);
    nodes_check(t, all_nodes(t, path, "pending", 10), "all nodes know the last");
    bd_pause(1.0);
}

/* What a job, a task and a connection cost the leader. A service holds all that the team may use,
 * so that all other jobs wait. */
static void memory(struct test *t)
{
    int fd[MEMORY_CONNECTIONS];
    struct sockaddr_in to;
    const char *text = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    nodes_check(t, all_nodes(t, "/up", "up", 30), "all nodes are up");
    nodes_check(t, nodes_submit(t, "job-9", "service", 32, 10), "a service is accepted");
    struct timespec end = bd_add(bd_now(), bd_secs(30));
    while (fake_running(t->cluster) < 32 && bd_before(bd_now(), end))
        bd_pause(0.1);
    int leader = fake_store_leader(t->cluster);
    nodes_check(t, leader >= 0 && fake_running(t->cluster) == 32, "it runs");
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
    nodes_check(t, open == MEMORY_CONNECTIONS, "all connections are open");
    check_memory(t, "KiB at the start", (double)start, START_KB_MAX);
    check_memory(t, "bytes a job", 1024.0 * (double)(jobs - start) / MEMORY_JOBS, JOB_BYTES_MAX);
    check_memory(t, "bytes a task", 1024.0 * (double)(tasks - jobs) / MEMORY_ARRAYS / MEMORY_TASKS,
                 TASK_BYTES_MAX);
    check_memory(t, "bytes a connection",
                 1024.0 * (double)(connections - tasks) / MEMORY_CONNECTIONS, CONNECTION_BYTES_MAX);
    nodes_check(t, fake_store_leader(t->cluster) == leader, "the leader goes on leading");
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
        nodes_again(t, i, t->program);
    int fd = accept(ear, NULL, NULL);
    (void)nodes_submit(t, "job-9", "service", 2, 20);
    (void)nodes_submit(t, "job-1", "sweep", 3, 20);
    (void)nodes_until(t, "/submissions/job-1", "\"mood\":\"done\"", 30);
    (void)nodes_submit(t, "job-2", "gang", 2, 20);
    (void)nodes_submit(t, "job-3", "sweep", 60, 20);
    (void)nodes_ask(t, 0, "POST", "/submissions/job-3/withdraw", "{}", NULL, 0);
    bd_pause(0.5);
    snprintf(path, sizeof path, "%s/production-records.json", dir);
    bool ok = fd >= 0 && fake_store_dump(t->cluster, path);
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

/* loopback PROGRAM; loopback PROGRAM OLD; loopback PROGRAM faults|overload|memory; loopback
 * PROGRAM capture DIR
 */
int main(int argc, char **argv)
{
    struct test t = {0};
    if (argc < 2 || argc > 4)
        return 2;
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
    if (!nodes_prepare(&t, argv[1]))
        return 2;
    if (argc == 4) {
        int rc = capture(&t, argv[3]);
        nodes_finish(&t);
        return rc;
    }
    for (int i = 0; i < NODES; i++)
        nodes_again(&t, i, t.old);
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
    nodes_check(&t, fake_duplicate_runs(t.cluster) == 0, "no task ran twice at the same time");
    int applied = 0;
    nodes_check(
        &t, (fake_store_late_copies(t.cluster, &applied) > 5 || crowded || heavy) && applied == 0,
        "late copies of transactions came and none applied");
    nodes_check(&t, fake_starts(t.cluster) >= (others ? 6 : 29), "all of the work was started");
    for (int i = 0; i < NODES; i++)
        nodes_check(&t, t.pid[i] > 0 && waitpid(t.pid[i], NULL, WNOHANG) == 0,
                    "no node ended by itself");
    nodes_finish(&t);
    printf("%d faults\n", t.faults);
    return t.faults ? 1 : 0;
}
