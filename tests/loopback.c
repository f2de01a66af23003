/* Runs the loopback tests: three processes of the real program against the fake store, cloud and
 * workers. */
#include "loopback_tests.h"
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define EXIT_SKIPPED 77 /* SKIP_RETURN_CODE in CMakeLists.txt */
#define REPLAYED_TXNS_MIN 6

static void test_all_requests(struct loopback *test)
{
    test_normal_operation(test);
    test_bad_requests(test);
    test_killed_nodes(test);
    test_store_outage(test);
    test_dependencies(test);
    test_lower_limits(test, 700, 2, false);
    test_partition(test);
}

struct mode {
    const char *name;
    void (*run)(struct loopback *test);
    int starts_min;
    bool expects_replayed_txns;
};

static const struct mode requests = {"requests", test_all_requests, 29, true};
static const struct mode upgrade = {"upgrade", test_rolling_upgrade, 29, true};
static const struct mode named_modes[] = {{"faults", test_faults, 6, true},
                                          {"overload", test_overload, 6, false},
                                          {"slow-clients", test_slow_clients, 6, false},
                                          {"spellings", test_spellings, 36, false},
                                          {"memory", test_memory, 6, false},
                                          {"memory-backlog", test_memory_after_backlog, 6, false}};

static const struct mode *mode_named(const char *name)
{
    for (size_t i = 0; i < sizeof named_modes / sizeof *named_modes; i++)
        if (strcmp(named_modes[i].name, name) == 0)
            return &named_modes[i];
    return NULL;
}

static void check_invariants(struct loopback *test, const struct mode *mode)
{
    nodes_check(test, fake_duplicate_runs(test->cluster) == 0,
                "no task ran on two workers at the same time");
    int replays_applied = 0;
    int replayed = fake_store_replayed_txns(test->cluster, &replays_applied);
    nodes_check(
        test,
        (replayed >= REPLAYED_TXNS_MIN || !mode->expects_replayed_txns) && replays_applied == 0,
        "enough leader transactions were replayed where expected, and no replay was applied");
    nodes_check(test, fake_task_starts(test->cluster) >= mode->starts_min,
                "at least as many tasks as expected were started");
    for (int i = 0; i < NODES; i++)
        nodes_check(test, test->pid[i] > 0 && waitpid(test->pid[i], NULL, WNOHANG) == 0,
                    "the node still runs at the end");
}

/* loopback PROGRAM [faults|overload|slow-clients|spellings|memory|memory-backlog|OLDER_PROGRAM];
 * loopback PROGRAM capture DIRECTORY */
int main(int argc, char **argv)
{
    struct loopback test = {0};
    if (argc < 2 || argc > 4)
        return 2;
    const struct mode *mode = argc == 3 ? mode_named(argv[2]) : &requests;
    if (!mode) {
        if (access(argv[2], X_OK) != 0) {
            printf("skipped: no executable of the version in production: %s\n", argv[2]);
            return EXIT_SKIPPED;
        }
        mode = &upgrade;
        test.older_program = argv[2];
    }
    if (!nodes_prepare(&test, argv[1]))
        return 2;
    if (argc == 4) {
        int status = capture_production(&test, argv[3]);
        nodes_finish(&test);
        return status;
    }
    for (int i = 0; i < NODES && mode->run == test_slow_clients; i++)
        slow_clients_write_operators_file(&test, i);
    for (int i = 0; i < NODES; i++)
        nodes_start_program(&test, i, test.older_program);
    mode->run(&test);
    check_invariants(&test, mode);
    nodes_finish(&test);
    printf("%d failed checks\n", test.failures);
    return test.failures ? 1 : 0;
}
