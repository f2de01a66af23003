/* A fleet in the pure core, on which the commands of `drain-profile` measure draining. */
#ifndef BD_TESTS_DRAIN_PROFILE_H
#define BD_TESTS_DRAIN_PROFILE_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include <jansson.h>

#define TEAM_COUNT 2

struct fleet {
    struct bd_settings settings; /* the fleet owns settings.draining */
    struct bd_log log;
    struct bd_core *core;
    uint32_t machine_count;
    uint64_t heartbeat_seq, revision;       /* the latest of each */
    double now_s;                           /* simulated time since the start */
    uint32_t max_replicas_down[TEAM_COUNT]; /* of each team, since fleet_build */
    json_t *drain_records;                  /* as the leader reads them; NULL: no drain */
};

/* ---- drain_profile_fleet.c ---- */

/* Configures draining. Must be called before fleet_build; without it, draining is off. */
void fleet_declare_budgets(struct fleet *fleet, double budget_percentage,
                           uint32_t machines_in_step);
void fleet_build(struct fleet *fleet, uint32_t machines);
void fleet_free(struct fleet *fleet);
void fleet_set_time(struct fleet *fleet, double now_s);
void fleet_heartbeat(struct fleet *fleet, uint32_t number);
/* Executes the direct commands and the returns of machines at once. Frees all effects. */
void fleet_handle_effects(struct fleet *fleet);
/* Advances the time by half a second. In each step, another quarter of the machines sends
 * heartbeats. */
void fleet_advance_half_second(struct fleet *fleet, int step);
/* Starts a drain of the first `machines` machines. */
void fleet_drain(struct fleet *fleet, uint32_t machines);
bool fleet_drain_is_over(const struct fleet *fleet);

/* ---- drain_profile_choice.c ---- */

/* Returns an exit status: 1 if the solver took on average over one step per seed more than the
 * greedy choice. */
int profile_choices(uint32_t machines, uint32_t seeds);
#endif
