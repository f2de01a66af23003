/* The real program, three times, over loopback against the stand-ins of store, cloud and workers:
 * quiet work, bad requests, killed nodes, an outage of the store and answers that are cut off. */
#include "loopback_tests.h"
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define SKIPPED 77 /* as in CMakeLists.txt */
#define LATE_COPIES_MIN 6

static void test_all_requests(struct loopback *test)
{
    test_quiet_work(test);
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
    bool expects_late_copies; /* of leaders' transactions */
};

static const struct mode requests = {"requests", test_all_requests, 29, true};
static const struct mode upgrade = {"upgrade", test_rolling_upgrade, 29, true};
static const struct mode named_modes[] = {{"faults", test_faults, 6, true},
                                          {"overload", test_overload, 6, false},
                                          {"memory", test_memory, 6, false}};

static const struct mode *mode_named(const char *name)
{
    for (size_t i = 0; i < sizeof named_modes / sizeof *named_modes; i++)
        if (strcmp(named_modes[i].name, name) == 0)
            return &named_modes[i];
    return NULL;
}

/* What holds at the end of each mode. */
static void check_end(struct loopback *test, const struct mode *mode)
{
    nodes_check(test, fake_duplicate_runs(test->cluster) == 0,
                "no task ran twice at the same time");
    int applied = 0;
    int copies = fake_store_replayed_txns(test->cluster, &applied);
    nodes_check(test, (copies >= LATE_COPIES_MIN || !mode->expects_late_copies) && applied == 0,
                "late copies of transactions came and none applied");
    nodes_check(test, fake_task_starts(test->cluster) >= mode->starts_min,
                "all of the work was started");
    for (int i = 0; i < NODES; i++)
        nodes_check(test, test->pid[i] > 0 && waitpid(test->pid[i], NULL, WNOHANG) == 0,
                    "no node ended by itself");
}

/* loopback PROGRAM [faults|overload|memory|OLDER_PROGRAM]; loopback PROGRAM capture DIRECTORY */
int main(int argc, char **argv)
{
    struct loopback test = {0};
    if (argc < 2 || argc > 4)
        return 2;
    const struct mode *mode = argc == 3 ? mode_named(argv[2]) : &requests;
    if (!mode) {
        if (access(argv[2], X_OK) != 0) {
            printf("skipped: the version in production is not there: %s\n", argv[2]);
            return SKIPPED;
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
    for (int i = 0; i < NODES; i++)
        nodes_restart(&test, i, test.older_program);
    mode->run(&test);
    check_end(&test, mode);
    nodes_finish(&test);
    printf("%d faults\n", test.faults);
    return test.faults ? 1 : 0;
}
