/* Loopback test of a partition between two controllers that a third can reach. */
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A worker's heartbeat; *tally rises each time, its thousands name the worker. Returns the status;
 * *fencing_token is the answer's. */
static long send_heartbeat(struct loopback *test, int node, int *tally, long long *fencing_token,
                           char *out, size_t capacity)
{
    char body[320];
    snprintf(body, sizeof body,
             "{\"hearth\":\"vm-9%05d\",\"endpoint\":\"127.0.0.1:1\",\"breed\":\"odd\",\"glade\":"
             "\"a\",\"windfall\":false,\"tenancy\":1,\"tally\":%d,\"seal\":%lld,\"warningS\":null,"
             "\"chores\":[]}",
             *tally / 1000, *tally % 1000, *fencing_token);
    ++*tally;
    long status = nodes_ask(test, node, "POST", "/checkin", body, out, capacity);
    const char *at = strstr(out, "\"seal\":");
    if (status == 200 && at)
        *fencing_token = strtoll(at + 7, NULL, 10);
    return status;
}

/* Sends heartbeats until the status comes, for at most so long. */
static int send_heartbeats_until(struct loopback *test, int node, int *tally,
                                 long long *fencing_token, long status, double seconds)
{
    char out[512] = "";
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (bd_time_is_before(bd_now(), end)) {
        if (send_heartbeat(test, node, tally, fencing_token, out, sizeof out) == status)
            return 1;
        bd_sleep(0.3);
    }
    printf("     last answer to a heartbeat with fencing token %lld: %s\n", *fencing_token, out);
    return 0;
}

/* The first node leads; the last is cut off from it. Heartbeats are forwarded by the one between
 * them; without that one the last answers as a delegate, until the leader's key says that the
 * leader receives its workers' heartbeats. */
void test_partition(struct loopback *test)
{
    int tally = 1001;
    long long fencing_token = 0;
    for (int i = 0; i < NODES; i++) {
        nodes_kill(test, i);
        nodes_write_settings(test, i, 1);
    }
    bd_sleep(4); /* whoever led has led */
    nodes_start(test, 0);
    nodes_check(test, send_heartbeats_until(test, 0, &tally, &fencing_token, 200, 20),
                "the first node leads");
    /* the stand-in's own workers are to be there, and the node between, before the last node
     * starts: one that met it first would end it as a delegate for half a minute */
    bd_sleep(5);
    nodes_start(test, 1);
    nodes_check(test, send_heartbeats_until(test, 1, &tally, &fencing_token, 200, 20),
                "the node between them passes reports on");
    nodes_start(test, 2);
    long long before = fencing_token;
    nodes_check(test,
                send_heartbeats_until(test, 2, &tally, &fencing_token, 200, 20) &&
                    fencing_token >= before,
                "a report is relayed to a leader who is not heard");
    nodes_kill(test, 1);
    bd_sleep(2);
    tally = 2001; /* one that the leader does not know yet */
    nodes_check(test, send_heartbeats_until(test, 2, &tally, &fencing_token, 200, 25),
                "without a relay a delegate answers");
    nodes_check(test, send_heartbeats_until(test, 0, &tally, &fencing_token, 200, 10),
                "its worker comes to the leader");
    nodes_check(test, send_heartbeats_until(test, 2, &tally, &fencing_token, 421, 10),
                "the leader's key sends the delegate away");
    nodes_start(test, 1);
}
