/* Measures draining. Only `check` is a test.
 *
 * - drain-profile fleet DRAINED BUDGET_PERCENTAGE MACHINES_IN_STEP: drains DRAINED machines of a
 *   fleet of twice as many. At the start, each machine has ten service replicas of two teams.
 *   BUDGET_PERCENTAGE is the share of a team's replicas that may be down. MACHINES_IN_STEP is the
 *   number of machines that may drain at a time. Prints the simulated seconds, the stop requests,
 *   and the most replicas of each team that were down at a time.
 * - drain-profile steps MACHINES SEEDS: compares the greedy choice with the solver's on random
 *   machines with tasks of six teams. Prints the steps to drain all machines, and the processor
 *   time of a choice.
 * - drain-profile ticks MACHINES off|none|drain: runs ticks of the leader under callgrind. off:
 *   draining is not configured; none: no drain is active; drain: half of the machines drain.
 * - drain-profile check: runs `fleet` and `steps` with small sizes and checks bounds. */
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

#define DRAIN_TIMEOUT_S 20000 /* simulated */
#define TICKS 20

/* Returns the simulated seconds until the drain was over; -1: the drain did not end in time. */
static double drain_fleet(uint32_t drained, double budget_percentage, uint32_t machines_in_step)
{
    struct fleet fleet;
    memset(&fleet, 0, sizeof fleet);
    fleet_declare_budgets(&fleet, budget_percentage, machines_in_step);
    fleet_build(&fleet, 2 * drained);
    double started_at_s = fleet.now_s;
    fleet_drain(&fleet, drained);
    for (int step = 0; !fleet_drain_is_over(&fleet) && fleet.now_s < started_at_s + DRAIN_TIMEOUT_S;
         step++)
        fleet_advance_half_second(&fleet, step);
    uint32_t down, up, stop_requests = fleet.core->drains->stop_requests;
    bd_ledger_get_counts(fleet.core, "team-0", "", &down, &up);
    printf("%u of %u machines drained, budget %.0f%%, %u machines in a step: %s%.0f s, %u stop "
           "requests, at most %u and %u of %u replicas of a team down\n",
           drained, 2 * drained, budget_percentage, machines_in_step,
           fleet_drain_is_over(&fleet) ? "" : "not over after ", fleet.now_s - started_at_s,
           stop_requests, fleet.max_replicas_down[0], fleet.max_replicas_down[1], up);
    double duration_s = fleet_drain_is_over(&fleet) ? fleet.now_s - started_at_s : -1;
    fleet_free(&fleet);
    return duration_s;
}

static int profile_ticks(uint32_t machines, const char *mode)
{
    struct fleet fleet;
    memset(&fleet, 0, sizeof fleet);
    if (strcmp(mode, "off") != 0)
        fleet_declare_budgets(&fleet, 1, 4);
    fleet_build(&fleet, machines);
    if (strcmp(mode, "drain") == 0)
        fleet_drain(&fleet, machines / 2);
    for (int k = 0; k < TICKS; k++) {
        fleet_set_time(&fleet, fleet.now_s + 0.51);
        bd_leadership_lease_renewed(fleet.core, 7, fleet.core->now);
        bd_replica_refreshed(fleet.core, fleet.core->replica.store_revision,
                             fleet.core->replica.store_revision, fleet.core->now, false, true);
        for (uint32_t i = 0; i < fleet.machine_count; i++)
            fleet_heartbeat(&fleet, i);
        fleet.core->lead.next_autoscaling = bd_time_add(fleet.core->now, bd_secs(1000));
        CALLGRIND_TOGGLE_COLLECT;
        bd_core_tick(fleet.core);
        CALLGRIND_TOGGLE_COLLECT;
        if (fleet.core->lead.commit)
            bd_core_leader_txn_completed(fleet.core, BD_TXN_COMMITTED, ++fleet.revision, NULL);
        fleet_handle_effects(&fleet);
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
