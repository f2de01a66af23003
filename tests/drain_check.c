/* The invariant of draining, checked against the task events of the workers. A replica is down from
 * the moment at which a worker stops it on command until an attempt of this replica runs again. No
 * team has more replicas down than its budget allows. Replicas that were lost in other ways count
 * too, once the leader has had the time to detect the loss. */
#include "drain_check.h"
#include <stdlib.h>
#include <string.h>

/* Within this time after a loss, the leader detects the loss, and the workers execute the commands
 * that were sent earlier. */
#define LOSS_DETECTION_S 25.0
#define TEAMS 2

void drain_check_start(struct drain_check *check, const uint32_t *budgets)
{
    memset(check, 0, sizeof *check);
    memcpy(check->budgets, budgets, sizeof check->budgets);
}

/* Finds the replica, or adds it. */
static struct drain_replica *find_replica(struct drain_check *check, int job, uint32_t task)
{
    for (int i = 0; i < check->nreplicas; i++)
        if (check->replicas[i].job == job && check->replicas[i].task == task)
            return &check->replicas[i];
    if (check->nreplicas == DRAIN_REPLICAS_MAX)
        abort();
    struct drain_replica *replica = &check->replicas[check->nreplicas++];
    *replica = (struct drain_replica){.job = job, .task = task};
    return replica;
}

void drain_check_replica_running(struct drain_check *check, int job, uint32_t task, int team)
{
    struct drain_replica *replica = find_replica(check, job, task);
    replica->team = team;
    replica->state = REPLICA_UP;
}

void drain_check_replica_lost(struct drain_check *check, double now_s, int job, uint32_t task)
{
    struct drain_replica *replica = find_replica(check, job, task);
    if (replica->state != REPLICA_UP)
        return;
    replica->state = REPLICA_LOST;
    replica->state_since = now_s;
}

void drain_check_job_cancelled(struct drain_check *check, int job)
{
    for (int i = 0; i < check->nreplicas; i++)
        if (check->replicas[i].job == job)
            check->replicas[i].state = REPLICA_NONE;
}

/* Counts the team's replicas that were stopped on command and, with `includes_lost`, those lost for
 * longer than the detection takes. */
static uint32_t count_replicas_down(const struct drain_check *check, double now_s, int team,
                                    bool includes_lost)
{
    uint32_t count = 0;
    for (int i = 0; i < check->nreplicas; i++) {
        const struct drain_replica *replica = &check->replicas[i];
        bool is_lost = includes_lost && replica->state == REPLICA_LOST &&
                       now_s - replica->state_since > LOSS_DETECTION_S;
        count += replica->team == team && (replica->state == REPLICA_STOPPED || is_lost);
    }
    return count;
}

bool drain_check_replica_stopped(struct drain_check *check, double now_s, int job, uint32_t task)
{
    struct drain_replica *replica = find_replica(check, job, task);
    if (replica->state != REPLICA_UP)
        return true; /* the replica was not up, so the stop takes nothing down */
    replica->state = REPLICA_STOPPED;
    replica->state_since = now_s;
    check->stops++;
    uint32_t stopped = count_replicas_down(check, now_s, replica->team, false);
    check->peak_stopped[replica->team] =
        stopped > check->peak_stopped[replica->team] ? stopped : check->peak_stopped[replica->team];
    return stopped <= check->budgets[replica->team] &&
           count_replicas_down(check, now_s, replica->team, true) <= check->budgets[replica->team];
}

/* The checker must detect two replicas that are stopped at the same time, and a stop while another
 * replica has been lost for long. It must accept a history within the budget. */
bool drain_check_self_test(void)
{
    static const uint32_t budgets[TEAMS] = {1, 1};
    struct drain_check check;
    drain_check_start(&check, budgets);
    for (uint32_t task = 0; task < 3; task++)
        drain_check_replica_running(&check, 0, task, 0);
    bool first_ok = drain_check_replica_stopped(&check, 10, 0, 0);
    drain_check_replica_running(&check, 0, 0, 0);
    bool second_ok = drain_check_replica_stopped(&check, 11, 0, 1);
    bool overlap_ok = drain_check_replica_stopped(&check, 12, 0, 2);
    drain_check_start(&check, budgets);
    for (uint32_t task = 0; task < 2; task++)
        drain_check_replica_running(&check, 0, task, 0);
    drain_check_replica_lost(&check, 20, 0, 0);
    bool stop_after_loss_ok = drain_check_replica_stopped(&check, 20 + 2 * LOSS_DETECTION_S, 0, 1);
    return first_ok && second_ok && !overlap_ok && !stop_after_loss_ok;
}
