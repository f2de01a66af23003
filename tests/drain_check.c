/* The invariant of draining, from the workers' own history. A replica is down by our doing from the
 * moment a worker stops it on command until an attempt of it runs again; of no team are more down
 * than it declared. Replicas that were lost otherwise count too, once the leader has had the time
 * to learn of them. */
#include "drain_check.h"
#include <stdlib.h>
#include <string.h>

#define LEARNT_S 25.0 /* by then a loss is known, and commands from before it are carried out */
#define TEAMS 2

void drain_check_start(struct drain_check *c, const uint32_t *budgets)
{
    memset(c, 0, sizeof *c);
    memcpy(c->budgets, budgets, sizeof c->budgets);
}

static struct drain_replica *replica_of(struct drain_check *c, int job, uint32_t task)
{
    for (int i = 0; i < c->n; i++)
        if (c->replicas[i].job == job && c->replicas[i].task == task)
            return &c->replicas[i];
    if (c->n == DRAIN_REPLICAS)
        abort();
    struct drain_replica *r = &c->replicas[c->n++];
    *r = (struct drain_replica){.job = job, .task = task};
    return r;
}

void drain_check_runs(struct drain_check *c, int job, uint32_t task, int team)
{
    struct drain_replica *r = replica_of(c, job, task);
    r->team = team;
    r->state = REPLICA_UP;
}

void drain_check_lost(struct drain_check *c, double now, int job, uint32_t task)
{
    struct drain_replica *r = replica_of(c, job, task);
    if (r->state != REPLICA_UP)
        return;
    r->state = REPLICA_LOST;
    r->since = now;
}

void drain_check_ended(struct drain_check *c, int job)
{
    for (int i = 0; i < c->n; i++)
        if (c->replicas[i].job == job)
            c->replicas[i].state = REPLICA_NONE;
}

/* Of a team: stopped by us, and lost long enough ago. */
static uint32_t down_of(const struct drain_check *c, double now, int team, bool losses)
{
    uint32_t n = 0;
    for (int i = 0; i < c->n; i++) {
        const struct drain_replica *r = &c->replicas[i];
        bool lost = losses && r->state == REPLICA_LOST && now - r->since > LEARNT_S;
        n += r->team == team && (r->state == REPLICA_STOPPED || lost);
    }
    return n;
}

bool drain_check_stopped(struct drain_check *c, double now, int job, uint32_t task)
{
    struct drain_replica *r = replica_of(c, job, task);
    if (r->state != REPLICA_UP)
        return true; /* it was not up: this takes nothing down */
    r->state = REPLICA_STOPPED;
    r->since = now;
    c->stops++;
    uint32_t ours = down_of(c, now, r->team, false);
    c->most[r->team] = ours > c->most[r->team] ? ours : c->most[r->team];
    return ours <= c->budgets[r->team] && down_of(c, now, r->team, true) <= c->budgets[r->team];
}

/* An invented history: the checker must see an overlap beyond the budget, and a stop beside an old
 * loss; and nothing in one that keeps to it. */
bool drain_check_works(void)
{
    static const uint32_t budgets[TEAMS] = {1, 1};
    struct drain_check c;
    drain_check_start(&c, budgets);
    for (uint32_t task = 0; task < 3; task++)
        drain_check_runs(&c, 0, task, 0);
    bool first = drain_check_stopped(&c, 10, 0, 0);
    drain_check_runs(&c, 0, 0, 0);
    bool second = drain_check_stopped(&c, 11, 0, 1);
    bool overlap = drain_check_stopped(&c, 12, 0, 2);
    drain_check_start(&c, budgets);
    for (uint32_t task = 0; task < 2; task++)
        drain_check_runs(&c, 0, task, 0);
    drain_check_lost(&c, 20, 0, 0);
    bool beside_loss = drain_check_stopped(&c, 20 + 2 * LEARNT_S, 0, 1);
    return first && second && !overlap && !beside_loss;
}
