/* Loopback test of a rolling upgrade from the version in production, and the capture of the records
 * and frames that this version writes. */
#include "adapters/node.h"
#include "base/address.h"
#include "base/timeutil.h"
#include "loopback_nodes.h"
#include "loopback_tests.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>

#define CAPTURED_FRAME_BYTES_MIN 2000

/* Submits a job, kills the nodes of the bit mask `killed_nodes`, waits for the job if any node is
 * left, then starts the killed nodes with `program`. */
static void upgrade_stage(struct loopback *test, unsigned killed_nodes, const char *program,
                          const char *id, const char *description)
{
    char path[64];
    snprintf(path, sizeof path, "/submissions/%s", id);
    /* the nodes are killed while the job is being scheduled */
    int is_accepted = nodes_submit(test, id, "sweep", 8, 10);
    for (int i = 0; i < NODES; i++)
        if (killed_nodes >> i & 1)
            nodes_kill(test, i);
    bool all_killed = killed_nodes == (1u << NODES) - 1;
    nodes_check(test,
                is_accepted && (all_killed || nodes_wait_for(test, path, "\"mood\":\"done\"", 30)),
                description);
    for (int i = 0; i < NODES; i++)
        if (killed_nodes >> i & 1)
            nodes_start_program(test, i, program);
    nodes_check(test,
                nodes_wait_for_all(test, path, "\"done\":8", 20) &&
                    nodes_wait_for_all(test, "/up", "up", 20),
                "all nodes are up and report the job as done");
    nodes_check(test,
                fake_running_tasks(test->cluster) == 2 && fake_lease_expiries(test->cluster) == 0,
                "both replicas run and no worker lease expired");
}

/* Upgrades the nodes one after the other while both versions serve. Leadership passes between the
 * versions in both directions. */
void test_rolling_upgrade(struct loopback *test)
{
    nodes_check(test, nodes_wait_for_all(test, "/up", "up", 30),
                "three nodes of the older version are up");
    nodes_check(test, nodes_submit(test, "job-9", "service", 2, 10), "a service is accepted");
    nodes_check(test,
                nodes_submit(test, "job-1", "gang", 2, 10) &&
                    nodes_wait_for(test, "/submissions/job-1", "done\",\"done\":2", 30),
                "a gang is done");
    upgrade_stage(test, 1, test->program, "job-20",
                  "a job is done while the first node is down for its upgrade");
    upgrade_stage(test, 6, test->older_program, "job-21", "a job is done by the new node alone");
    upgrade_stage(test, 1, test->program, "job-22",
                  "a job is done by two nodes of the older version");
    upgrade_stage(test, 2, test->program, "job-23",
                  "a job is done while the second node is down for its upgrade");
    upgrade_stage(test, 3, test->program, "job-24",
                  "a job is done by the node of the older version alone");
    upgrade_stage(test, 4, test->program, "job-25",
                  "a job is done while the last node is down for its upgrade");
    upgrade_stage(test, 7, test->program, "job-26",
                  "a job is accepted before all nodes are killed");
    nodes_check(test, fake_task_starts(test->cluster) == 2 + 2 + 7 * 8,
                "as many tasks were started as the jobs have");
    test_dependencies(test);
    test_lower_limits(test, 2048, 8, true);
    nodes_check(test, fake_early_task_starts(test->cluster) == 0,
                "no task started before the jobs that its job awaits were done");
}

/* Listens on the last controller's peer address in its place. Returns the socket, or -1. */
static int listen_as_last_peer(const struct loopback *test)
{
    char text[32];
    struct sockaddr_in address;
    int enabled = 1;
    snprintf(text, sizeof text, "127.0.0.1:%d", test->first_port + PEER_PORT_OFFSET + NODES - 1);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (listener < 0 || !bd_address_parse(text, &address) ||
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        bind(listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listener, 4) != 0)
        return -1;
    return listener;
}

/* Reads at least CAPTURED_FRAME_BYTES_MIN bytes of frames from the connection, unless it is closed
 * earlier, and writes them to a file. Returns false if the file cannot be written. */
static bool capture_frames(int fd, const char *path)
{
    unsigned char bytes[8192];
    size_t length = 0;
    while (length < CAPTURED_FRAME_BYTES_MIN) {
        ssize_t received = recv(fd, bytes + length, sizeof bytes - length, 0);
        if (received <= 0)
            break;
        length += (size_t)received;
    }
    FILE *file = fopen(path, "wb");
    bool is_written = file && fwrite(bytes, 1, length, file) == length;
    if (file)
        (void)fclose(file);
    return is_written;
}

int capture_production(struct loopback *test, const char *directory)
{
    char path[256];
    int listener = listen_as_last_peer(test);
    if (listener < 0)
        return 2;
    for (int i = 0; i < NODES - 1; i++)
        nodes_start_program(test, i, test->program);
    int fd = accept(listener, NULL, NULL);
    (void)nodes_submit(test, "job-9", "service", 2, 20);
    (void)nodes_submit(test, "job-1", "sweep", 3, 20);
    (void)nodes_wait_for(test, "/submissions/job-1", "\"mood\":\"done\"", 30);
    (void)nodes_submit(test, "job-2", "gang", 2, 20);
    (void)nodes_submit(test, "job-3", "sweep", 60, 20);
    (void)nodes_request(test, 0, "POST", "/submissions/job-3/withdraw", "{}", NULL, 0);
    bd_sleep(0.5);
    snprintf(path, sizeof path, "%s/production-records.json", directory);
    if (fd < 0 || !fake_store_dump(test->cluster, path))
        return 1;
    snprintf(path, sizeof path, "%s/production-frames.bin", directory);
    return capture_frames(fd, path) ? 0 : 1;
}
