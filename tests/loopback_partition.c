/* Loopback test of a partition between two controllers that a third controller can reach. */
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sends one worker heartbeat. `*heartbeat_id` is the worker's number times 1000 plus the sequence
 * number, and is incremented. Returns the status; a 200 sets `*fencing_token`. */
static long send_heartbeat(struct loopback *test, int node, int *heartbeat_id,
                           long long *fencing_token, char *out, size_t capacity)
{
    char body[320];
    snprintf(body, sizeof body,
             "{\"hearth\":\"vm-9%05d\",\"endpoint\":\"127.0.0.1:1\",\"breed\":\"odd\",\"glade\":"
             "\"a\",\"windfall\":false,\"tenancy\":1,\"tally\":%d,\"seal\":%lld,\"warningS\":null,"
             "\"chores\":[]}",
             *heartbeat_id / 1000, *heartbeat_id % 1000, *fencing_token);
    ++*heartbeat_id;
    long status = nodes_request(test, node, "POST", "/checkin", body, out, capacity);
    static const char token_key[] = "\"seal\":";
    const char *token = strstr(out, token_key);
    if (status == 200 && token)
        *fencing_token = strtoll(token + strlen(token_key), NULL, 10);
    return status;
}

/* Sends heartbeats until one gets the expected status. Returns 0 if none does in time. */
static int send_heartbeats_until(struct loopback *test, int node, int *heartbeat_id,
                                 long long *fencing_token, long expected_status, double seconds)
{
    char out[512] = "";
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (bd_time_is_before(bd_now(), end)) {
        if (send_heartbeat(test, node, heartbeat_id, fencing_token, out, sizeof out) ==
            expected_status)
            return 1;
        bd_sleep(0.3);
    }
    printf("     last response to a heartbeat with fencing token %lld: %s\n", *fencing_token, out);
    return 0;
}

/* The first node leads, and the last cannot connect to it. The middle node relays heartbeats from
 * the last node to the leader. Without the middle node the last answers as a delegate, until the
 * leader key shows that the leader receives heartbeats of the delegate's workers. */
void test_partition(struct loopback *test)
{
    int heartbeat_id = 1001;
    long long fencing_token = 0;
    for (int i = 0; i < NODES; i++) {
        nodes_kill(test, i);
        nodes_write_settings(test, i, 1);
    }
    bd_sleep(4); /* until the old leader's lease has expired */
    nodes_start(test, 0);
    nodes_check(test, send_heartbeats_until(test, 0, &heartbeat_id, &fencing_token, 200, 20),
                "the first node accepts a heartbeat");
    /* The fake cloud's workers and the middle node must be up before the last node starts. If a
     * worker contacted the last node first and then the leader, the leader would dismiss the last
     * node as a delegate for half a minute. */
    bd_sleep(5);
    nodes_start(test, 1);
    nodes_check(test, send_heartbeats_until(test, 1, &heartbeat_id, &fencing_token, 200, 20),
                "the middle node relays heartbeats");
    nodes_start(test, 2);
    long long token_before = fencing_token;
    nodes_check(test,
                send_heartbeats_until(test, 2, &heartbeat_id, &fencing_token, 200, 20) &&
                    fencing_token >= token_before,
                "the last node's heartbeats are relayed to a leader that it cannot reach");
    nodes_kill(test, 1);
    bd_sleep(2);
    heartbeat_id = 2001; /* a worker that the leader does not know yet */
    nodes_check(test, send_heartbeats_until(test, 2, &heartbeat_id, &fencing_token, 200, 25),
                "without a relay the last node answers as a delegate");
    nodes_check(test, send_heartbeats_until(test, 0, &heartbeat_id, &fencing_token, 200, 10),
                "the leader accepts the delegate's worker");
    nodes_check(test, send_heartbeats_until(test, 2, &heartbeat_id, &fencing_token, 421, 10),
                "the leader key dismisses the delegate, which redirects the worker");
    nodes_start(test, 1);
}
