/* A user submits large arrays by mistake and cancels each of them. Later the leader crashes once. */
#include "rig.h"
#include <stdlib.h>
#include <string.h>

#define ARRAYS 40
#define END_S 109.0 /* about 90 s after the crash */
#define TASKS 100000 /* the limit of `chores` */

int main(int argc, char **argv)
{
    static struct rig rig;
    const struct rig_options options = {.ram_mb = 72, .cpu = 0.16, .restart_s = 4, .value_kb = 8,
                                        .state_rps = 250, .write_rps = 100, .txn_ops = 24,
                                        .max_sockets = 1000, .cloud_rps = 3, .list_lag_s = 0.5,
                                        .cpus_max = 4, .report_s = 0.2, .lease_s = 6,
                                        .cancel_s = 20, .enforces_memory = true};
    const char *trouble = getenv("TROUBLE");
    bool is_disrupted = !trouble || strcmp(trouble, "0") != 0;
    char id[32], path[80];
    if (argc != 3 || !rig_open(&rig, argv[1], argv[2], &options))
        return 2;
    bool can_run = rig_start_all(&rig);
    /* a service holds the whole limit of the team, so that no task of the arrays starts */
    can_run = can_run && rig_submit(&rig, "job-900001", "service", 4, "", 20) == 201 &&
              rig_wait_for(&rig, "job-900001", "\"running\":4", 20);
    for (int i = 0; i < ARRAYS && can_run; i++) {
        snprintf(id, sizeof id, "job-%06d", 1000 + i);
        snprintf(path, sizeof path, "/submissions/%s/withdraw", id);
        can_run = rig_submit(&rig, id, "sweep", TASKS, "", 20) == 201;
        rig_sleep(0.15);
        can_run = can_run && rig_user(&rig, "POST", path, "{}", 20, NULL, 0) == 200;
        rig_sleep(0.15);
    }
    can_run = can_run &&
              rig_user(&rig, "POST", "/submissions/job-900001/withdraw", "{}", 20, NULL, 0) == 200 &&
              rig_submit(&rig, "job-000001", "sweep", 2, "", 20) == 201 &&
              rig_wait_for(&rig, "job-000001", "\"mood\":\"done\"", 20);
    rig_sleep(2.5); /* the leader frees what cancelled jobs hold every 2 s */
    for (int i = 0; i < RIG_NODES; i++)
        rig_note(&rig, "platform: hearth-%d has held %.1f MB at most", i,
                 (double)rig.peak_kb[i] * 1024 / 1e6);
    can_run = can_run && rig.memory_ends == 0 && rig.other_ends == 0;
    if (!can_run) {
        rig_note(&rig, "the case could not run");
        rig_close(&rig);
        return 2;
    }
    if (is_disrupted)
        rig_crash(&rig, rig_leader(&rig));
    rig_sleep(0.5);
    long status = rig_submit(&rig, "job-000002", "sweep", 2, "", 60);
    bool is_done = status == 201 && rig_wait_for(&rig, "job-000002", "\"mood\":\"done\"", END_S - rig_elapsed());
    rig_note(&rig, "result: %d ends for memory, %d other ends, job-000002 %s", rig.memory_ends,
             rig.other_ends, is_done ? "done" : status == 201 ? "accepted, not done" : "refused");
    bool is_broken = rig.memory_ends > 0 || rig.other_ends > 0 || (status == 201 && !is_done);
    rig_close(&rig);
    return is_broken ? 1 : 0;
}
