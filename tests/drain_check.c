/* The invariant of draining, from the workers' own history. A replica is down by our doing from the
 * moment a worker stops it on command until an attempt of it runs again; of no team are more down
 * than it declared. Replicas that were lost otherwise count too, once the leader has had the time
 * to learn of them. */
#include "drain_check.h"
#include <stdlib.h>
#include <string.h>

#define LEARNT_S 25.0 /* by then a loss is known, and commands from before it are executed */
#define TEAMS 2

void drain_check_start(struct drain_check *check, const uint32_t *budgets)
{
    memset(check, 0, sizeof *check);
    memcpy(check->budgets, budgets, sizeof check->budgets);
}

static struct drain_replica *replica_of(struct drain_check *check, int job, uint32_t task)
{
    for (int i = 0; i < check->n; i++)
        if (check->replicas[i].job == job && check->replicas[i].task == task)
            return &check->replicas[i];
    if (check->n == DRAIN_REPLICAS)
        abort();
    struct drain_replica *replica = &check->replicas[check->n++];
    *replica = (struct drain_replica){.job = job, .task = task};
    return replica;
}

void drain_check_replica_running(struct drain_check *check, int job, uint32_t task, int team)
{
    struct drain_replica *replica = replica_of(check, job, task);
    replica->team = team;
    replica->state = REPLICA_UP;
}

void drain_check_replica_lost(struct drain_check *check, double now, int job, uint32_t task)
{
    struct drain_replica *replica = replica_of(check, job, task);
    if (replica->state != REPLICA_UP)
        return;
    replica->state = REPLICA_LOST;
    replica->since = now;
}

void drain_check_job_cancelled(struct drain_check *check, int job)
{
    for (int i = 0; i < check->n; i++)
        if (check->replicas[i].job == job)
            check->replicas[i].state = REPLICA_NONE;
}

/* Of a team: stopped by us, and lost long enough ago. */
static uint32_t down_of(const struct drain_check *check, double now, int team, bool losses)
{
    uint32_t count = 0;
    for (int i = 0; i < check->n; i++) {
        const struct drain_replica *replica = &check->replicas[i];
        bool lost = losses && replica->state == REPLICA_LOST && now - replica->since > LEARNT_S;
        count += replica->team == team && (replica->state == REPLICA_STOPPED || lost);
    }
    return count;
}

bool drain_check_replica_stopped(struct drain_check *check, double now, int job, uint32_t task)
{
    struct drain_replica *replica = replica_of(check, job, task);
    if (replica->state != REPLICA_UP)
        return true; /* it was not up: this takes nothing down */
    replica->state = REPLICA_STOPPED;
    replica->since = now;
    check->stops++;
    uint32_t ours = down_of(check, now, replica->team, false);
    check->peak_down[replica->team] =
        ours > check->peak_down[replica->team] ? ours : check->peak_down[replica->team];
    return ours <= check->budgets[replica->team] &&
           down_of(check, now, replica->team, true) <= check->budgets[replica->team];
}

/* An invented history: the checker must see an overlap beyond the budget, and a stop beside an old
 * loss; and nothing in one that keeps to it. */
bool drain_check_self_test(void)
{
    static const uint32_t budgets[TEAMS] = {1, 1};
    struct drain_check check;
    drain_check_start(&check, budgets);
    for (uint32_t task = 0; task < 3; task++)
        drain_check_replica_running(&check, 0, task, 0);
    bool first = drain_check_replica_stopped(&check, 10, 0, 0);
    drain_check_replica_running(&check, 0, 0, 0);
    bool second = drain_check_replica_stopped(&check, 11, 0, 1);
    bool overlap = drain_check_replica_stopped(&check, 12, 0, 2);
    drain_check_start(&check, budgets);
    for (uint32_t task = 0; task < 2; task++)
        drain_check_replica_running(&check, 0, task, 0);
    drain_check_replica_lost(&check, 20, 0, 0);
    bool beside_loss = drain_check_replica_stopped(&check, 20 + 2 * LEARNT_S, 0, 1);
    return first && second && !overlap && !beside_loss;
}
