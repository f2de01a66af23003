/* Loopback test of a rolling upgrade from the version in production, and the capture of what that
 * version writes. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>

#define CAPTURED_BYTES_MIN 2000 /* of frames */

/* One stage: the nodes of the mask end, a job is submitted meanwhile, then they start again. */
static void upgrade_stage(struct loopback *test, unsigned ends, const char *back, const char *id,
                          const char *what)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/%s", id);
    int taken = nodes_submit(test, id, "sweep", 8, 10); /* in the middle of its scheduling */
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            nodes_kill(test, i);
    bool none = ends == (1u << NODES) - 1;
    nodes_check(test, taken && (none || nodes_wait_for(test, path, "\"mood\":\"done\"", 30)), what);
    for (int i = 0; i < NODES; i++)
        if (ends >> i & 1)
            nodes_restart(test, i, back);
    nodes_check(test,
                nodes_all_wait_for(test, path, "\"done\":8", 20) &&
                    nodes_all_wait_for(test, "/up", "up", 20),
                "all nodes are back and know it");
    nodes_check(test,
                fake_running_tasks(test->cluster) == 2 && fake_lease_expiries(test->cluster) == 0,
                "the replicas went on and no lease was lost");
}

/* From the version in production to this one while both serve: leadership passes to and fro. */
void test_rolling_upgrade(struct loopback *test)
{
    nodes_check(test, nodes_all_wait_for(test, "/up", "up", 30), "three nodes of the old version");
    nodes_check(test, nodes_submit(test, "job-9", "service", 2, 10), "a service is accepted");
    nodes_check(test,
                nodes_submit(test, "job-1", "gang", 2, 10) &&
                    nodes_wait_for(test, "/submissions/job-1", "done\",\"done\":2", 30),
                "a gang is done");
    upgrade_stage(test, 1, test->program, "job-20", "one node is new");
    upgrade_stage(test, 6, test->older_program, "job-21",
                  "the new one leads alone; others die and come back old");
    upgrade_stage(test, 1, test->program, "job-22", "an old one leads");
    upgrade_stage(test, 2, test->program, "job-23", "two nodes are new");
    upgrade_stage(test, 3, test->program, "job-24", "the old one leads alone");
    upgrade_stage(test, 4, test->program, "job-25", "all are new");
    upgrade_stage(test, 7, test->program, "job-26", "none was there for a moment");
    nodes_check(test, fake_task_starts(test->cluster) == 2 + 2 + 7 * 8,
                "every task was started once");
    test_dependencies(test);
    test_lower_limits(test, 2048, 8, true);
    nodes_check(test, fake_early_task_starts(test->cluster) == 0, "none began too early");
}

/* The socket that stands for the last controller's peer address; -1: it cannot be had. */
static int listen_as_last_peer(const struct loopback *test)
{
    char text[32];
    struct sockaddr_in address;
    int one = 1;
    snprintf(text, sizeof text, "127.0.0.1:%d", test->first_port + 10 + NODES - 1);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (listener < 0 || !bd_address_parse(text, &address) ||
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        bind(listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listener, 4) != 0)
        return -1;
    return listener;
}

/* Frames from the connection, to a file. */
static bool capture_frames(int fd, const char *path)
{
    unsigned char bytes[8192];
    size_t length = 0;
    while (length < CAPTURED_BYTES_MIN) {
        ssize_t got = recv(fd, bytes + length, sizeof bytes - length, 0);
        if (got <= 0)
            break;
        length += (size_t)got;
    }
    FILE *file = fopen(path, "wb");
    bool ok = file && fwrite(bytes, 1, length, file) == length;
    if (file)
        (void)fclose(file);
    return ok;
}

int capture_production(struct loopback *test, const char *directory)
{
    char path[256];
    int listener = listen_as_last_peer(test);
    if (listener < 0)
        return 2;
    for (int i = 0; i < NODES - 1; i++)
        nodes_restart(test, i, test->program);
    int fd = accept(listener, NULL, NULL);
    (void)nodes_submit(test, "job-9", "service", 2, 20);
    (void)nodes_submit(test, "job-1", "sweep", 3, 20);
    (void)nodes_wait_for(test, "/submissions/job-1", "\"mood\":\"done\"", 30);
    (void)nodes_submit(test, "job-2", "gang", 2, 20);
    (void)nodes_submit(test, "job-3", "sweep", 60, 20);
    (void)nodes_ask(test, 0, "POST", "/submissions/job-3/withdraw", "{}", NULL, 0);
    bd_sleep(0.5);
    snprintf(path, sizeof path, "%s/production-records.json", directory);
    if (fd < 0 || !fake_store_dump(test->cluster, path))
        return 1;
    snprintf(path, sizeof path, "%s/production-frames.bin", directory);
    return capture_frames(fd, path) ? 0 : 1;
}
