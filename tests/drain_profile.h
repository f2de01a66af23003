/* Measurements of draining: a fleet in the pure core, shared by the programs of `drain-profile`. */
#ifndef BD_TESTS_DRAIN_PROFILE_H
#define BD_TESTS_DRAIN_PROFILE_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"

#define TEAMS 2

struct fleet {
    struct bd_settings settings; /* owns its rules of draining */
    struct bd_log log;
    struct bd_core *core;
    uint32_t machines;
    uint64_t seq, revision;
    double now; /* seconds since the begin */
    uint32_t most_down[TEAMS];
};

/* drain_profile_fleet.c. Budgets are declared before the fleet is built, or not at all. */
void fleet_declare_budgets(struct fleet *fleet, double per_cent, uint32_t machines_in_step);
void fleet_build(struct fleet *fleet, uint32_t machines);
void fleet_free(struct fleet *fleet);
void fleet_set_time(struct fleet *fleet, double now);
void fleet_heartbeat(struct fleet *fleet, uint32_t number);
/* Direct commands are executed at once, and returned machines are gone. */
void fleet_answer_effects(struct fleet *fleet);
/* Half a second passes: a quarter of the machines sends heartbeats. */
void fleet_half_second(struct fleet *fleet, int half);
/* The first machines are to be drained. */
void fleet_drain(struct fleet *fleet, uint32_t machines);
bool fleet_drain_is_over(const struct fleet *fleet);

/* drain_profile_choice.c: an exit status, 1 if the solver's steps are many more than the greedy's
 */
int profile_choices(uint32_t machines, uint32_t seeds);
#endif
