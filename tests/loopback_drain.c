/* Draining with the real program, three times, over loopback: ten workers that run two teams'
 * services are drained and replaced, one worker is killed in a step and the leader once. The
 * workers' own history is held against the budgets. With the version in production as a second
 * argument: no step begins while it is a peer. */
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

#define SERVICES 10
#define REPLICAS 4 /* of a service, a CPU each: ten machines of four */
#define FIRST_JOB 900
#define MACHINES_MAX 16
#define BUDGET_BLUE 2u
#define BUDGET_RED 1u
#define ADMIN_PORT 6 /* after the first of the test's ports, one a node */
#define ADMIN_TIMEOUT_S 15
#define DRAIN_S 150.0
#define COMMAND_WORDS_MAX 15

/* What happened to replicas, recorded by the workers' threads; the lock protects the check and the
 * count. */
struct history {
    pthread_mutex_t lock;
    struct drain_check check;
    struct timespec began;
    int broken;
};

static void watch(void *arg, enum fake_task_event event, const char *task)
{
    struct history *history = arg;
    char id[BD_ID_BYTES];
    uint32_t number;
    if (!bd_wire_read_task_name(task, id, &number) || parse_number(id + 4) < FIRST_JOB)
        return;
    int job = parse_number(id + 4) - FIRST_JOB;
    double now = bd_seconds_between(history->began, bd_now());
    (void)pthread_mutex_lock(&history->lock);
    if (event == FAKE_TASK_RUNS)
        drain_check_replica_running(&history->check, job, number, job % 2);
    else if (event == FAKE_TASK_LOST)
        drain_check_replica_lost(&history->check, now, job, number);
    else if (!drain_check_replica_stopped(&history->check, now, job, number)) {
        history->broken++;
        printf("     %.2f s: %s is stopped beyond its team's budget\n", now, task);
    }
    (void)pthread_mutex_unlock(&history->lock);
}

static uint32_t stops(struct history *history)
{
    (void)pthread_mutex_lock(&history->lock);
    uint32_t count = history->check.stops;
    (void)pthread_mutex_unlock(&history->lock);
    return count;
}

static void write_operators(struct loopback *test, int i)
{
    snprintf(test->operators_file[i], sizeof test->operators_file[i], "%s/node-%d.sexp", test->dir,
             i);
    FILE *file = fopen(test->operators_file[i], "w");
    if (!file)
        abort();
    fprintf(file,
            "(spare-share 0)\n(draining (admin \"127.0.0.1:%d\") (machines-in-step 3) (stop-s 10) "
            "(wait-s 5)\n"
            " (replace-s 20) (selection everything (type small))\n"
            " (team blue (down %u)) (team red (down %u)))\n",
            test->first_port + ADMIN_PORT + i, BUDGET_BLUE, BUDGET_RED);
    (void)fclose(file);
}

static long ask_admin(struct loopback *test, int node, const char *method, const char *path,
                      const char *body, char *out, size_t capacity)
{
    char address[32], url[128];
    snprintf(address, sizeof address, "127.0.0.1:%d", test->first_port + ADMIN_PORT + node);
    snprintf(url, sizeof url, "/admin/v1/drains%s", path);
    return nodes_call(test, address, method, url, body, ADMIN_TIMEOUT_S, out, capacity);
}

/* The exit status of `brambledoor drain ...`. */
static int command(struct loopback *test, int node, const char *words)
{
    char address[32], copy[256];
    char *arguments[COMMAND_WORDS_MAX + 1] = {(char *)test->program, "drain", "--admin", address};
    size_t count = 4;
    snprintf(address, sizeof address, "127.0.0.1:%d", test->first_port + ADMIN_PORT + node);
    snprintf(copy, sizeof copy, "%s", words);
    for (char *rest = NULL, *word = strtok_r(copy, " ", &rest); word && count < COMMAND_WORDS_MAX;
         word = strtok_r(NULL, " ", &rest))
        arguments[count++] = word;
    pid_t child = -1;
    int status = -1;
    posix_spawn_file_actions_t actions;
    if (posix_spawn_file_actions_init(&actions) != 0)
        return -1;
    bool ready =
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0) == 0 &&
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO) == 0 &&
        posix_spawn(&child, test->program, &actions, NULL, arguments, environ) == 0;
    (void)posix_spawn_file_actions_destroy(&actions);
    if (!ready || waitpid(child, &status, 0) != child || !WIFEXITED(status))
        return -1;
    return WEXITSTATUS(status);
}

static bool running(struct loopback *test, int tasks, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (fake_running(test->cluster) != tasks && bd_time_is_before(bd_now(), end))
        bd_sleep(0.1);
    return fake_running(test->cluster) == tasks;
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
        long status = nodes_ask(test, tries % NODES, "POST", "/submissions", body, NULL, 0);
        if (status == 200 || status == 201)
            return true;
        bd_sleep(0.2);
    }
    return false;
}

static void begin(struct loopback *test)
{
    for (int i = 0; i < NODES; i++)
        nodes_check(test, nodes_wait_for(test, "/up", "up", 20), "a node comes up");
    bool all = true;
    for (int i = 0; i < SERVICES; i++)
        all = submit_service(test, FIRST_JOB + i) && all;
    nodes_check(test, all, "two teams' services are accepted");
    nodes_check(test, running(test, SERVICES * REPLICAS, 40), "all replicas run");
    char names[2048];
    for (int i = 0; i < 200 && fake_machine_names(test->cluster, names, sizeof names) > 10; i++)
        bd_sleep(0.1);
    nodes_check(test, fake_machine_names(test->cluster, names, sizeof names) == 10,
                "ten workers run them");
}

static void bad_requests(struct loopback *test)
{
    char out[512];
    char *big = malloc(70001);
    memset(big, ' ', 70000);
    big[70000] = '\0';
    nodes_check(test,
                ask_admin(test, 0, "GET", "", NULL, out, sizeof out) == 200 && strstr(out, "[]"),
                "no drains at first");
    nodes_check(test, ask_admin(test, 1, "GET", "/none", NULL, out, sizeof out) == 404,
                "no drain: 404");
    nodes_check(test, ask_admin(test, 1, "POST", "/none/pause", "{}", NULL, 0) == 404,
                "no drain to pause: 404");
    nodes_check(test, ask_admin(test, 1, "POST", "/none/explode", "{}", NULL, 0) == 404,
                "no such verb: 404");
    nodes_check(test, ask_admin(test, 1, "POST", "/none", "{}", NULL, 0) == 405,
                "wrong method: 405");
    nodes_check(test,
                ask_admin(test, 2, "POST", "", "{", out, sizeof out) == 400 && strstr(out, "body"),
                "not JSON: 400");
    nodes_check(
        test,
        ask_admin(test, 2, "POST", "", "{\"name\":\"d\",\"mode\":\"x\"}", out, sizeof out) == 400 &&
            strstr(out, "\"mode\""),
        "a wrong mode: 400 and the field");
    nodes_check(test, ask_admin(test, 0, "POST", "", big, NULL, 0) == 413, "a body too large: 413");
    nodes_check(test, command(test, 0, "start one --mode retire --machine vm-999999") == 1,
                "an unknown machine is refused");
    nodes_check(test, command(test, 0, "start one --mode retire --type small") == 1,
                "all machines without saying so is refused");
    nodes_check(test, command(test, 0, "start one --mode retire --type none") == 1,
                "no machine at all is refused");
    nodes_check(test, command(test, 0, "explode one") == 2, "a wrong word is wrong usage");
    free(big);
}

static void unreached(struct loopback *test)
{
    char out[512];
    fake_store_set_down(test->cluster, true);
    nodes_check(test, ask_admin(test, 0, "GET", "", NULL, out, sizeof out) == 503,
                "without the store: 503");
    nodes_check(test, command(test, 1, "list") == 3,
                "... which the command tells by its exit status");
    fake_store_set_down(test->cluster, false);
}

static void repeats(struct loopback *test, struct history *history)
{
    nodes_check(test,
                command(test, 1, "start all --mode replace --selection everything --all") == 0,
                "the same once more, at another node, is taken");
    nodes_check(test, command(test, 2, "start all --mode retire --selection everything --all") == 1,
                "another one under its name is refused");
    nodes_check(test, command(test, 2, "pause all") == 0 && command(test, 0, "pause all") == 0,
                "it is paused, twice");
    uint32_t before = stops(history);
    bd_sleep(3);
    nodes_check(test, stops(history) <= before + BUDGET_BLUE + BUDGET_RED,
                "paused: no new step begins");
    nodes_check(test, command(test, 1, "resume all") == 0, "it is resumed");
}

static bool reach_stops(struct history *history, uint32_t wanted, double seconds)
{
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    while (stops(history) < wanted && bd_time_is_before(bd_now(), end))
        bd_sleep(0.02);
    return stops(history) >= wanted;
}

static bool is_over(struct loopback *test, double seconds)
{
    char out[8192] = "";
    struct timespec end = bd_time_add(bd_now(), bd_secs(seconds));
    for (int tries = 0; bd_time_is_before(bd_now(), end); tries++) {
        if (ask_admin(test, tries % NODES, "GET", "/all", NULL, out, sizeof out) == 200 &&
            strstr(out, "\"state\": \"done\""))
            return true;
        bd_sleep(0.2);
    }
    printf("     last answer: %s\n", out);
    return false;
}

static bool holds_any(const char *names, const char *others)
{
    char copy[2048];
    snprintf(copy, sizeof copy, "%s", others);
    for (char *rest = NULL, *id = strtok_r(copy, " ", &rest); id; id = strtok_r(NULL, " ", &rest))
        if (strstr(names, id))
            return true;
    return false;
}

/* The last of the names. */
static void last_of(const char *names, char *out, size_t cap)
{
    char copy[2048];
    snprintf(copy, sizeof copy, "%s", names);
    for (char *rest = NULL, *id = strtok_r(copy, " ", &rest); id; id = strtok_r(NULL, " ", &rest))
        snprintf(out, cap, "%s", id);
}

static void drain_ten(struct loopback *test, struct history *history)
{
    char before[2048], after[2048], victim[64] = "";
    (void)fake_machine_names(test->cluster, before, sizeof before);
    nodes_check(test,
                command(test, 0, "start all --mode replace --selection everything --all") == 0,
                "a drain of all of them is accepted");
    nodes_check(test, reach_stops(history, 2, 40), "the first step begins");
    repeats(test, history);
    last_of(before, victim, sizeof victim);
    fake_kill_machine(test->cluster, victim);
    nodes_check(test, reach_stops(history, 10, 60), "it goes on after a worker died in a step");
    int leader = fake_store_leader(test->cluster);
    if (leader >= 0) {
        nodes_kill(test, leader);
        bd_sleep(1);
        nodes_restart(test, leader, NULL);
    }
    nodes_check(test, is_over(test, DRAIN_S), "the drain is done");
    nodes_check(test, running(test, SERVICES * REPLICAS, 20), "all replicas run");
    (void)fake_machine_names(test->cluster, after, sizeof after);
    nodes_check(test, !holds_any(after, before), "none of the drained workers is left");
    nodes_check(test, stops(history) >= 30, "the replicas were moved");
}

/* An older controller is a peer: the drain waits, names the reason, and goes on once it is
 * replaced. */
static void beside_older(struct loopback *test, struct history *history)
{
    char out[8192];
    nodes_check(test,
                command(test, 0, "start all --mode replace --selection everything --all") == 0,
                "a drain is accepted beside an older controller");
    bd_sleep(6);
    uint32_t before = stops(history);
    nodes_check(test, before == 0, "no step begins while an older controller is heard");
    nodes_check(
        test,
        ask_admin(test, 0, "GET", "/all", NULL, out, sizeof out) == 200 &&
            (fake_store_leader(test->cluster) == NODES - 1 || strstr(out, "older controller")),
        "it says what it waits for");
    nodes_kill(test, NODES - 1);
    write_operators(test, NODES - 1);
    nodes_restart(test, NODES - 1, NULL);
    nodes_check(test, is_over(test, DRAIN_S), "the drain is done once all are new");
}

int main(int argc, char **argv)
{
    static const uint32_t budgets[2] = {BUDGET_BLUE, BUDGET_RED};
    struct loopback test = {.teams = 2};
    struct history history = {.began = bd_now()};
    if (argc < 2 || argc > 3)
        return 2;
    const char *older_program = argc == 3 ? argv[2] : NULL;
    if (older_program && access(older_program, X_OK) != 0) {
        printf("skipped: the version in production is not there: %s\n", older_program);
        return 77;
    }
    if (pthread_mutex_init(&history.lock, NULL) != 0 || !nodes_prepare(&test, argv[1]))
        return 2;
    drain_check_start(&history.check, budgets);
    fake_set_observer(test.cluster, watch, &history);
    fake_cloud_set_capacity(test.cluster, MACHINES_MAX);
    for (int i = 0; i < NODES; i++) {
        bool older = older_program && i == NODES - 1;
        if (!older)
            write_operators(&test, i);
        nodes_restart(&test, i, older ? older_program : NULL);
    }
    begin(&test);
    if (older_program) {
        beside_older(&test, &history);
    } else {
        bad_requests(&test);
        unreached(&test);
        drain_ten(&test, &history);
    }
    nodes_check(&test, history.broken == 0, "no team was beyond its budget by our doing");
    nodes_check(&test, fake_duplicate_runs(test.cluster) == 0,
                "no task ran twice at the same time");
    printf("     %u replicas stopped, at most %u of %u and %u of %u down at once\n",
           history.check.stops, history.check.peak_down[0], budgets[0], history.check.peak_down[1],
           budgets[1]);
    nodes_finish(&test);
    printf("%d faults\n", test.faults);
    return test.faults ? 1 : 0;
}
