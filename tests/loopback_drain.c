/* Loopback test of drains, with three real controllers. Ten workers that run two teams' services
 * are drained and replaced; one worker and the leader are killed meanwhile. The task events of the
 * workers are checked against the teams' disruption budgets. With the version in production as a
 * second argument, no step may begin while a controller of that version is a peer. With `pauses`
 * instead, drains are paused at many moments. */
#include "base/timeutil.h"
#include "drain_check.h"
#include "loopback_nodes.h"
#include "numbers.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include <fcntl.h>
#include <pthread.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define EXIT_SKIPPED 77 /* SKIP_RETURN_CODE in CMakeLists.txt */
#define SERVICES 10
#define REPLICAS 4    /* per service, 1 CPU each: they fill ten machines of 4 CPUs */
#define FIRST_JOB 900 /* the fake workers run jobs named "job-9..." as services */
#define MACHINES_MAX 16
#define BUDGET_BLUE 2u
#define BUDGET_RED 1u
#define ADMIN_PORT_OFFSET 6 /* from the first port; one port for each node */
#define ADMIN_TIMEOUT_S 15
#define DRAIN_TIMEOUT_S 150.0
#define COMMAND_ARGUMENTS_MAX 15
#define PAUSES 10
#define PAUSE_DELAY_STEP_S 0.1 /* PAUSES steps cover the interval of the leader's reads */
#define PAUSE_OBSERVED_S 3.0

/* Events of the replicas, recorded by the workers' threads. The lock protects `check` and
 * `violations`. */
struct history {
    pthread_mutex_t lock;
    struct drain_check check;
    struct timespec started_at;
    int violations;
};

static void record_task_event(void *arg, enum fake_task_event event, const char *task)
{
    struct history *history = arg;
    char id[BD_JOB_ID_BYTES];
    uint32_t number;
    if (!bd_wire_read_task_name(task, id, &number) || parse_number(id + strlen("job-")) < FIRST_JOB)
        return;
    int job = parse_number(id + strlen("job-")) - FIRST_JOB;
    double now = bd_seconds_between(history->started_at, bd_now());
    (void)pthread_mutex_lock(&history->lock);
    if (event == FAKE_TASK_STARTED)
        drain_check_replica_running(&history->check, job, number, job % 2);
    else if (event == FAKE_TASK_LOST)
        drain_check_replica_lost(&history->check, now, job, number);
    else if (!drain_check_replica_stopped(&history->check, now, job, number)) {
        history->violations++;
        printf("     %.2f s: %s was stopped in excess of its team's disruption budget\n", now,
               task);
    }
    (void)pthread_mutex_unlock(&history->lock);
}

static uint32_t stop_count(struct history *history)
{
    (void)pthread_mutex_lock(&history->lock);
    uint32_t count = history->check.stops;
    (void)pthread_mutex_unlock(&history->lock);
    return count;
}

static void write_operators_file(struct loopback *test, int node)
{
    snprintf(test->operators_file[node], sizeof test->operators_file[node], "%s/node-%d.sexp",
             test->dir, node);
    FILE *file = fopen(test->operators_file[node], "w");
    if (!file)
        abort();
    fprintf(file,
            "(spare-share 0)\n(draining (admin \"127.0.0.1:%d\") (machines-in-step 3) (stop-s 10) "
            "(wait-s 5)\n"
            " (replace-s 20) (selection everything (type small))\n"
            " (team blue (down %u)) (team red (down %u)))\n",
            test->first_port + ADMIN_PORT_OFFSET + node, BUDGET_BLUE, BUDGET_RED);
    (void)fclose(file);
}

static long request_admin(struct loopback *test, int node, const char *method, const char *path,
                          const char *body, char *out, size_t capacity)
{
    char address[32], url[128];
    snprintf(address, sizeof address, "127.0.0.1:%d", test->first_port + ADMIN_PORT_OFFSET + node);
    snprintf(url, sizeof url, "/admin/v1/drains%s", path);
    return nodes_request_address(test, address, method, url, body, ADMIN_TIMEOUT_S, out, capacity);
}

/* Runs `brambledoor drain ...`. Returns its exit status, or -1 if it could not be run. */
static int run_drain_command(struct loopback *test, int node, const char *command)
{
    char address[32], copy[256];
    char *arguments[COMMAND_ARGUMENTS_MAX + 1] = {(char *)test->program, "drain", "--admin",
                                                  address};
    size_t count = 4;
    snprintf(address, sizeof address, "127.0.0.1:%d", test->first_port + ADMIN_PORT_OFFSET + node);
    snprintf(copy, sizeof copy, "%s", command);
    for (char *rest = NULL, *word = strtok_r(copy, " ", &rest);
         word && count < COMMAND_ARGUMENTS_MAX; word = strtok_r(NULL, " ", &rest))
        arguments[count++] = word;
    pid_t child = -1;
    int status = -1;
    posix_spawn_file_actions_t actions;
    if (posix_spawn_file_actions_init(&actions) != 0)
        return -1;
    bool is_spawned =
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0) == 0 &&
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO) == 0 &&
        posix_spawn(&child, test->program, &actions, NULL, arguments, environ) == 0;
    (void)posix_spawn_file_actions_destroy(&actions);
    if (!is_spawned || waitpid(child, &status, 0) != child || !WIFEXITED(status))
        return -1;
    return WEXITSTATUS(status);
}

static bool wait_for_running_tasks(struct loopback *test, int tasks, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (fake_running_tasks(test->cluster) != tasks && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    return fake_running_tasks(test->cluster) == tasks;
}

static bool submit_service(struct loopback *test, int job)
{
    char body[640];
    snprintf(body, sizeof body,
             "{\"id\":\"job-%d\",\"kin\":\"k\",\"household\":\"%s\",\"shape\":\"service\","
             "\"rank\":\"production\",\"chores\":%d,\"vcpus\":1,\"accelerators\":0,\"memGb\":1,"
             "\"seed\":\"img\",\"imageGb\":0.1,\"breeds\":null,\"glade\":null,\"together\":false,"
             "\"scatter\":false,\"windfall\":false,\"guessS\":0,\"markS\":0,\"stowS\":0,"
             "\"dueS\":null}",
             job, job % 2 ? "red" : "blue", REPLICAS);
    for (int tries = 0; tries < 50; tries++) {
        long status = nodes_request(test, tries % NODES, "POST", "/submissions", body, NULL, 0);
        if (status == 200 || status == 201)
            return true;
        bd_sleep(0.2);
    }
    return false;
}

static void start_services(struct loopback *test)
{
    for (int i = 0; i < NODES; i++)
        nodes_check(test, nodes_wait_for(test, "/up", "up", 20), "a node answers /up");
    bool all_accepted = true;
    for (int i = 0; i < SERVICES; i++)
        all_accepted = submit_service(test, FIRST_JOB + i) && all_accepted;
    nodes_check(test, all_accepted, "the services of two teams are accepted");
    nodes_check(test, wait_for_running_tasks(test, SERVICES * REPLICAS, 40), "all replicas run");
    char names[2048];
    for (int i = 0; i < 200 && fake_machine_names(test->cluster, names, sizeof names) > 10; i++)
        bd_sleep(0.1);
    nodes_check(test, fake_machine_names(test->cluster, names, sizeof names) == 10,
                "there are ten workers");
}

static void test_bad_admin_requests(struct loopback *test)
{
    char out[512];
    char *large_body = malloc(70001);
    memset(large_body, ' ', 70000);
    large_body[70000] = '\0';
    nodes_check(
        test, request_admin(test, 0, "GET", "", NULL, out, sizeof out) == 200 && strstr(out, "[]"),
        "initially there are no drains");
    nodes_check(test, request_admin(test, 1, "GET", "/none", NULL, out, sizeof out) == 404,
                "unknown drain: 404");
    nodes_check(test, request_admin(test, 1, "POST", "/none/pause", "{}", NULL, 0) == 404,
                "unknown drain to pause: 404");
    nodes_check(test, request_admin(test, 1, "POST", "/none/explode", "{}", NULL, 0) == 404,
                "unknown action: 404");
    nodes_check(test, request_admin(test, 1, "POST", "/none", "{}", NULL, 0) == 405,
                "wrong method: 405");
    nodes_check(test,
                request_admin(test, 2, "POST", "", "{", out, sizeof out) == 400 &&
                    strstr(out, "body"),
                "not JSON: 400 that names the body");
    nodes_check(test,
                request_admin(test, 2, "POST", "", "{\"name\":\"d\",\"mode\":\"x\"}", out,
                              sizeof out) == 400 &&
                    strstr(out, "\"mode\""),
                "unknown mode: 400 that names the field");
    nodes_check(test, request_admin(test, 0, "POST", "", large_body, NULL, 0) == 413,
                "body too large: 413");
    nodes_check(test,
                run_drain_command(test, 0, "start one --mode retire --machine vm-999999") == 1,
                "a drain of an unknown machine is refused");
    nodes_check(test, run_drain_command(test, 0, "start one --mode retire --type small") == 1,
                "a drain of all machines without --all is refused");
    nodes_check(test, run_drain_command(test, 0, "start one --mode retire --type none") == 1,
                "a drain without machines is refused");
    nodes_check(test, run_drain_command(test, 0, "explode one") == 2,
                "an unknown action is a usage error");
    free(large_body);
}

static void test_store_down(struct loopback *test)
{
    char out[512];
    fake_store_set_down(test->cluster, true);
    nodes_check(test, request_admin(test, 0, "GET", "", NULL, out, sizeof out) == 503,
                "store down: 503");
    nodes_check(test, run_drain_command(test, 1, "list") == 3,
                "store down: the command exits with status 3");
    fake_store_set_down(test->cluster, false);
}

static void test_repeated_commands(struct loopback *test, struct history *history)
{
    nodes_check(
        test,
        run_drain_command(test, 1, "start all --mode replace --selection everything --all") == 0,
        "a repeated start of the drain at another node is accepted");
    nodes_check(
        test,
        run_drain_command(test, 2, "start all --mode retire --selection everything --all") == 1,
        "a different drain with the same name is refused");
    nodes_check(test,
                run_drain_command(test, 2, "pause all") == 0 &&
                    run_drain_command(test, 0, "pause all") == 0,
                "pausing the drain twice is accepted");
    uint32_t stops_before = stop_count(history);
    bd_sleep(3);
    nodes_check(
        test, stop_count(history) <= stops_before + BUDGET_BLUE + BUDGET_RED,
        "in the 3 s after the pause, no more replicas are stopped than may be down at a time");
    nodes_check(test, run_drain_command(test, 1, "resume all") == 0, "the drain is resumed");
}

static bool wait_for_stops(struct history *history, uint32_t min_stops, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (stop_count(history) < min_stops && bd_time_is_before(bd_now(), end))
        bd_sleep(0.02);
    return stop_count(history) >= min_stops;
}

static bool wait_until_done(struct loopback *test, double seconds)
{
    char out[8192] = "";
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int tries = 0; bd_time_is_before(bd_now(), end); tries++) {
        if (request_admin(test, tries % NODES, "GET", "/all", NULL, out, sizeof out) == 200 &&
            strstr(out, "\"state\": \"done\""))
            return true;
        bd_sleep(0.2);
    }
    printf("     last response: %s\n", out);
    return false;
}

static bool contains_any_name(const char *names, const char *searched_names)
{
    char copy[2048];
    snprintf(copy, sizeof copy, "%s", searched_names);
    for (char *rest = NULL, *id = strtok_r(copy, " ", &rest); id; id = strtok_r(NULL, " ", &rest))
        if (strstr(names, id))
            return true;
    return false;
}

static void copy_last_name(const char *names, char *out, size_t capacity)
{
    char copy[2048];
    snprintf(copy, sizeof copy, "%s", names);
    for (char *rest = NULL, *id = strtok_r(copy, " ", &rest); id; id = strtok_r(NULL, " ", &rest))
        snprintf(out, capacity, "%s", id);
}

static void test_drain_with_failures(struct loopback *test, struct history *history)
{
    char names_before[2048], names_after[2048], killed_name[64] = "";
    (void)fake_machine_names(test->cluster, names_before, sizeof names_before);
    nodes_check(
        test,
        run_drain_command(test, 0, "start all --mode replace --selection everything --all") == 0,
        "a drain of all workers is accepted");
    nodes_check(test, wait_for_stops(history, 2, 40), "the drain stops at least 2 replicas");
    test_repeated_commands(test, history);
    copy_last_name(names_before, killed_name, sizeof killed_name);
    fake_kill_machine(test->cluster, killed_name);
    nodes_check(test, wait_for_stops(history, 10, 60),
                "at least 10 replicas are stopped in total although a worker died");
    int leader = fake_store_leader(test->cluster);
    if (leader >= 0) {
        nodes_kill(test, leader);
        bd_sleep(1);
        nodes_start_program(test, leader, NULL);
    }
    nodes_check(test, wait_until_done(test, DRAIN_TIMEOUT_S), "the drain is done");
    nodes_check(test, wait_for_running_tasks(test, SERVICES * REPLICAS, 20), "all replicas run");
    (void)fake_machine_names(test->cluster, names_after, sizeof names_after);
    nodes_check(test, !contains_any_name(names_after, names_before),
                "none of the drained workers is left");
    nodes_check(test, stop_count(history) >= 30, "at least 30 replicas were stopped");
}

static bool change_sweep_drain(struct loopback *test, const char *verb, int number)
{
    char command[64];
    snprintf(command, sizeof command, "%s sweep-%d", verb, number);
    return run_drain_command(test, number % NODES, command) == 0;
}

/* Pauses a new drain of all workers `delay_s` after its second stop, and cancels it. */
static void test_pause_at(struct loopback *test, struct history *history, int number,
                          double delay_s)
{
    char command[128];
    snprintf(command, sizeof command, "start sweep-%d --mode replace --selection everything --all",
             number);
    nodes_check(test, run_drain_command(test, 0, command) == 0,
                "a drain of all workers is accepted");
    nodes_check(test, wait_for_stops(history, stop_count(history) + 2, 40),
                "the drain stops at least 2 replicas");
    bd_sleep(delay_s);
    nodes_check(test, change_sweep_drain(test, "pause", number), "the drain is paused");
    uint32_t stops_before = stop_count(history);
    bd_sleep(PAUSE_OBSERVED_S);
    uint32_t stops = stop_count(history) - stops_before;
    printf("     paused %.1f s after two stops: %u replicas stopped afterwards\n", delay_s, stops);
    nodes_check(test, stops <= BUDGET_BLUE + BUDGET_RED,
                "after the pause, no more replicas are stopped than may be down at a time");
    nodes_check(test, change_sweep_drain(test, "cancel", number), "the drain is cancelled");
}

/* Guards against steps that the leader begins after an accepted pause, on a record that it read
 * before. */
static void test_pauses_at_many_moments(struct loopback *test, struct history *history)
{
    for (int i = 0; i < PAUSES; i++)
        test_pause_at(test, history, i, i * PAUSE_DELAY_STEP_S);
}

/* While a controller of the older version is a peer, a drain must wait and report the reason. The
 * drain must complete once that controller is replaced. */
static void test_drain_beside_older(struct loopback *test, struct history *history)
{
    char out[8192];
    nodes_check(
        test,
        run_drain_command(test, 0, "start all --mode replace --selection everything --all") == 0,
        "a drain is accepted beside an older controller");
    bd_sleep(6);
    uint32_t stops = stop_count(history);
    nodes_check(test, stops == 0,
                "no replica is stopped within 6 s while an older controller is a peer");
    nodes_check(
        test,
        request_admin(test, 0, "GET", "/all", NULL, out, sizeof out) == 200 &&
            (fake_store_leader(test->cluster) == NODES - 1 || strstr(out, "older controller")),
        "the drain reports that it waits for the older controller, unless that one leads");
    nodes_kill(test, NODES - 1);
    write_operators_file(test, NODES - 1);
    nodes_start_program(test, NODES - 1, NULL);
    nodes_check(test, wait_until_done(test, DRAIN_TIMEOUT_S),
                "the drain is done once all controllers have the new version");
}

int main(int argc, char **argv)
{
    static const uint32_t budgets[2] = {BUDGET_BLUE, BUDGET_RED};
    struct loopback test = {.nteams = 2};
    struct history history = {.started_at = bd_now()};
    if (argc < 2 || argc > 3)
        return 2;
    bool sweeps_pauses = argc == 3 && strcmp(argv[2], "pauses") == 0;
    const char *older_program = argc == 3 && !sweeps_pauses ? argv[2] : NULL;
    if (older_program && access(older_program, X_OK) != 0) {
        printf("skipped: no executable of the version in production: %s\n", older_program);
        return EXIT_SKIPPED;
    }
    if (pthread_mutex_init(&history.lock, NULL) != 0 || !nodes_prepare(&test, argv[1]))
        return 2;
    drain_check_start(&history.check, budgets);
    fake_set_task_observer(test.cluster, record_task_event, &history);
    fake_cloud_set_capacity(test.cluster, MACHINES_MAX);
    for (int i = 0; i < NODES; i++) {
        bool is_older = older_program && i == NODES - 1;
        if (!is_older)
            write_operators_file(&test, i);
        nodes_start_program(&test, i, is_older ? older_program : NULL);
    }
    start_services(&test);
    if (older_program) {
        test_drain_beside_older(&test, &history);
    } else if (sweeps_pauses) {
        test_pauses_at_many_moments(&test, &history);
    } else {
        test_bad_admin_requests(&test);
        test_store_down(&test);
        test_drain_with_failures(&test, &history);
    }
    nodes_check(&test, history.violations == 0,
                "the drain stopped no replica in excess of a team's disruption budget");
    nodes_check(&test, fake_duplicate_runs(test.cluster) == 0,
                "no task ran on two workers at the same time");
    printf(
        "     %u replicas stopped; stopped at the same time: blue at most %u (budget %u), red at "
        "most %u (budget %u)\n",
        history.check.stops, history.check.peak_stopped[0], budgets[0],
        history.check.peak_stopped[1], budgets[1]);
    nodes_finish(&test);
    printf("%d failed checks\n", test.failures);
    return test.failures ? 1 : 0;
}
