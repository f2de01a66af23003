/* Measurements of draining; not a test but for `check`.
 *
 * - drain-profile fleet DRAINED PER_CENT IN_STEP: a fleet of twice as many machines with ten
 *   replicas each, of two teams, half of it drained: simulated seconds, steps, and the most that
 *   were down of a team at once
 * - drain-profile steps MACHINES SEEDS: the greedy choice beside the solver's, over drawn machines
 *   of six teams: steps to finish, and processor time a choice
 * - drain-profile ticks MACHINES none|drain: what a step of the leader costs, under callgrind
 * - drain-profile check: small sizes of the above, with bounds */
#include "drain_profile.h"
#include "base/timeutil.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/leadership_state.h"
#include "numbers.h"
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_TOGGLE_COLLECT
#endif
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OVERTIME_MAX_S 20000
#define TICKS 20

/* Simulated seconds until the drain was over; -1: it was not. */
static double drain_fleet(uint32_t drained, double per_cent, uint32_t in_step)
{
    struct fleet fleet;
    memset(&fleet, 0, sizeof fleet);
    fleet_declare_budgets(&fleet, per_cent, in_step);
    fleet_build(&fleet, 2 * drained);
    double started = fleet.now;
    fleet_drain(&fleet, drained);
    for (int half = 0; !fleet_drain_is_over(&fleet) && fleet.now < started + OVERTIME_MAX_S; half++)
        fleet_half_second(&fleet, half);
    uint32_t down, up, steps = fleet.core->drains->stop_requests;
    bd_ledger_get_counts(fleet.core, "team-0", "", &down, &up);
    printf("%u of %u machines, %.0f%%, %u in a step: %s%.0f s, %u times told, at most %u and %u of "
           "%u replicas of a team down\n",
           drained, 2 * drained, per_cent, in_step,
           fleet_drain_is_over(&fleet) ? "" : "not over after ", fleet.now - started, steps,
           fleet.most_down[0], fleet.most_down[1], up);
    double took = fleet_drain_is_over(&fleet) ? fleet.now - started : -1;
    fleet_free(&fleet);
    return took;
}

static int profile_ticks(uint32_t machines, const char *what)
{
    struct fleet fleet;
    memset(&fleet, 0, sizeof fleet);
    if (strcmp(what, "off") != 0)
        fleet_declare_budgets(&fleet, 1, 4);
    fleet_build(&fleet, machines);
    if (strcmp(what, "drain") == 0)
        fleet_drain(&fleet, machines / 2);
    for (int k = 0; k < TICKS; k++) {
        fleet_set_time(&fleet, fleet.now + 0.51);
        bd_leadership_lease_renewed(fleet.core, 7, fleet.core->now);
        bd_replica_refreshed(fleet.core, fleet.core->replica.store_revision,
                             fleet.core->replica.store_revision, fleet.core->now, false, true);
        for (uint32_t i = 0; i < fleet.machines; i++)
            fleet_heartbeat(&fleet, i);
        fleet.core->lead.next_autoscaling = bd_time_add(fleet.core->now, bd_secs(1000));
        CALLGRIND_TOGGLE_COLLECT;
        bd_core_tick(fleet.core);
        CALLGRIND_TOGGLE_COLLECT;
        if (fleet.core->lead.commit)
            bd_core_leader_txn_completed(fleet.core, BD_TXN_COMMITTED, ++fleet.revision, NULL);
        fleet_answer_effects(&fleet);
    }
    fleet_free(&fleet);
    return 0;
}

int main(int argc, char **argv)
{
    if (argc == 5 && strcmp(argv[1], "fleet") == 0)
        return drain_fleet((uint32_t)parse_number(argv[2]), strtod(argv[3], NULL),
                           (uint32_t)parse_number(argv[4])) < 0;
    if (argc == 4 && strcmp(argv[1], "steps") == 0)
        return profile_choices((uint32_t)parse_number(argv[2]), (uint32_t)parse_number(argv[3]));
    if (argc == 4 && strcmp(argv[1], "ticks") == 0)
        return profile_ticks((uint32_t)parse_number(argv[2]), argv[3]);
    if (argc == 2 && strcmp(argv[1], "check") == 0)
        return drain_fleet(20, 5, 8) < 0 || profile_choices(30, 20) != 0;
    return 2;
}
