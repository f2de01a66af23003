/* A job whose task needs 26 bytes more memory than a machine of type `gran` has runs on a `tall` machine.
 * The machine stops, and the job waits for another one. */
#include "park.h"
#include "rig.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* 64 GB are 59.6046448 GiB to nine digits; converted back to GB, 64.0000000264 */
#define MEM_GB (59.6046448 * 1.073741824)
#define END_S 109.0 /* more than 90 s after the job's submission */

static atomic_bool is_polling;

/* Users who ask about their jobs. They keep the leader's loop busy, so that a new job meets a round of
 * placement at once. */
static void *poll_jobs(void *arg)
{
    struct rig *rig = arg;
    struct bd_http *client = bd_http_new(1, NULL);
    char url[96];
    while (client && atomic_load(&is_polling)) {
        struct bd_http_response response;
        int leader = rig_leader(rig);
        snprintf(url, sizeof url, "http://%s/submissions/job-900001",
                 rig->addr[leader < 0 ? 0 : leader]);
        bd_http_call(client, "GET", url, NULL, 2, &response);
        bd_http_response_free(&response);
        rig_sleep(0.001);
    }
    bd_http_free(client);
    return NULL;
}

int main(int argc, char **argv)
{
    static struct rig rig;
    const struct rig_options options = {.ram_mb = 72, .cpu = 0.16, .restart_s = 4, .value_kb = 8,
                                        .state_rps = 250, .write_rps = 100, .txn_ops = 24,
                                        .max_sockets = 1000, .cloud_rps = 3, .list_lag_s = 0.5,
                                        .cpus_max = 100, .report_s = 0.2, .lease_s = 6,
                                        .cancel_s = 20, .enforces_memory = true};
    const char *trouble = getenv("TROUBLE");
    bool is_disrupted = !trouble || strcmp(trouble, "0") != 0;
    char names[512], machine[32] = "";
    pthread_t poller;
    if (argc != 3 || !rig_open(&rig, argv[1], argv[2], &options))
        return 2;
    bool can_run = rig_start_all(&rig);
    rig_set_amounts(8, 100); /* fits `tall` only */
    can_run = can_run && rig_submit(&rig, "job-900001", "service", 1, "", 20) == 201 &&
              rig_wait_for(&rig, "job-900001", "\"running\":1", 30);
    atomic_store(&is_polling, true);
    if (!can_run || pthread_create(&poller, NULL, poll_jobs, &rig) != 0) {
        rig_close(&rig);
        return 2;
    }
    rig_sleep(0.5);
    rig_set_amounts(16, MEM_GB);
    can_run = rig_submit(&rig, "job-900002", "sweep", 1, "", 20) == 201 &&
              rig_wait_for(&rig, "job-900002", "\"running\":1", 20);
    atomic_store(&is_polling, false);
    (void)pthread_join(poller, NULL);
    can_run = can_run &&
              rig_user(&rig, "POST", "/submissions/job-900001/withdraw", "{}", 20, NULL, 0) == 200;
    rig_sleep(3);
    bool is_broken = rig.memory_ends + rig.other_ends > 0;
    if (can_run && is_disrupted) {
        int count = fake_machine_names(rig.cluster, names, sizeof names);
        snprintf(machine, sizeof machine, "%.*s", (int)strcspn(names, " "), names);
        rig_note(&rig, "DISRUPTION: machine %s (the only one of %d) stops with all that is on it; the "
                       "cloud has one more of its type", machine, count);
        can_run = count == 1;
        fake_kill_machine(rig.cluster, machine);
        park_set_capacity(rig.cluster, PARK_TALL, 2);
    }
    rig_sleep(8); /* the failed machine is listed as running for 4 s; its lease ends after 6 s */
    rig_set_amounts(1, 1);
    bool is_accepted = can_run && rig_submit(&rig, "job-000003", "sweep", 1, "", 60) == 201;
    bool is_done =
        is_accepted && rig_wait_for(&rig, "job-000003", "\"mood\":\"done\"", END_S - rig_elapsed());
    int running = fake_running_tasks_of_job(rig.cluster, "job-900002");
    rig_note(&rig,
             "result: %d ends for memory, %d other ends; job-000003 %s; %d tasks of job-900002 run",
             rig.memory_ends, rig.other_ends,
             is_done ? "is done" : is_accepted ? "is accepted and not done" : "is refused", running);
    is_broken = is_broken || rig.memory_ends + rig.other_ends > 0 || (is_accepted && !is_done);
    rig_close(&rig);
    return is_broken ? 1 : can_run && is_accepted ? 0 : 2;
}
