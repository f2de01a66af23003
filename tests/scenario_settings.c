/* The steps of scenarios for settings, limits, machine types, seeds and the clock. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "numbers.h"
#include "scenario_play.h"
#include "test_settings.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads NAME:ZONE. */
static void add_peer(struct scenario *scenario, const char *text)
{
    struct bd_peer *peer = &scenario->settings.peers[scenario->settings.npeers++];
    (void)sscanf(text, "%63[^:]:%63s", peer->name, peer->zone);
}

/* Reads CLASS:SECONDS:SHARE. */
static void add_slo(struct scenario *scenario, const char *text)
{
    struct bd_slo *slo = &scenario->settings.slos[scenario->settings.nslos++];
    double values[2] = {0};
    if (parse_name_and_numbers(text, slo->job_class, sizeof slo->job_class, values, 2) != 2)
        scenario_fail(scenario, "slo has the form CLASS:SECONDS:SHARE");
    slo->within_s = values[0];
    slo->share = values[1];
    slo->kind = BD_SLO_WAIT;
}

/* Reads NAME:CPUS:CPUS_QUOTA:GPUS:GPUS_QUOTA. */
static void add_team(struct scenario *scenario, const char *text)
{
    struct bd_team_quota *team = &scenario->settings.teams[scenario->settings.nteams++];
    double values[4] = {0};
    if (parse_name_and_numbers(text, team->name, sizeof team->name, values, 4) != 4)
        scenario_fail(scenario, "team has the form NAME:CPUS:CPUS_QUOTA:GPUS:GPUS_QUOTA");
    team->cpus_guaranteed = values[0];
    team->cpus_quota = values[1];
    team->gpus_guaranteed = values[2];
    team->gpus_quota = values[3];
}

void scenario_run_set(struct scenario *scenario)
{
    scenario->settings.worker_lease = bd_secs(
        scenario_find_number(scenario, "lease_s", bd_to_secs(scenario->settings.worker_lease)));
    scenario->settings.cancellation_limit = bd_secs(scenario_find_number(
        scenario, "cancel_s", bd_to_secs(scenario->settings.cancellation_limit)));
    scenario->settings.heartbeat_interval = bd_secs(scenario_find_number(
        scenario, "heartbeat_interval_s", bd_to_secs(scenario->settings.heartbeat_interval)));
    scenario->settings.leader_ttl = bd_secs(
        scenario_find_number(scenario, "leader_ttl_s", bd_to_secs(scenario->settings.leader_ttl)));
    scenario->settings.kv_txn_ops_max = (size_t)scenario_find_number(
        scenario, "txn_ops", (double)scenario->settings.kv_txn_ops_max);
    scenario->settings.kv_value_bytes_max = (size_t)scenario_find_number(
        scenario, "value_bytes", (double)scenario->settings.kv_value_bytes_max);
    scenario->settings.kv_writes_per_s =
        scenario_find_number(scenario, "writes_per_s", scenario->settings.kv_writes_per_s);
    char zones[128];
    snprintf(zones, sizeof zones, "%s",
             scenario_find_text(scenario, "zones") ? scenario_find_text(scenario, "zones") : "");
    for (char *rest = NULL, *zone = strtok_r(zones, ",", &rest); zone;
         zone = strtok_r(NULL, ",", &rest))
        snprintf(scenario->settings.zones[scenario->settings.nzones++], BD_NAME_BYTES, "%s", zone);
    if (scenario_find_text(scenario, "zone"))
        snprintf(scenario->settings.zone, sizeof scenario->settings.zone, "%s",
                 scenario_find_text(scenario, "zone"));
    if (scenario_find_text(scenario, "peer"))
        add_peer(scenario, scenario_find_text(scenario, "peer"));
    if (scenario_find_text(scenario, "slo"))
        add_slo(scenario, scenario_find_text(scenario, "slo"));
    if (scenario_find_text(scenario, "team"))
        add_team(scenario, scenario_find_text(scenario, "team"));
}

static void step_machine_type(struct scenario *scenario)
{
    struct bd_machine_type_text type = {0};
    snprintf(type.label, sizeof type.label, "%s", scenario->words[1]);
    type.cpus = scenario_find_number(scenario, "cpus", 8);
    type.gpus = scenario_find_number(scenario, "gpus", 0);
    type.mem_gb = scenario_find_number(scenario, "mem_gb", 64);
    type.price = scenario_find_number(scenario, "price", 1);
    type.spot_price = scenario_find_number(scenario, "spot_price", type.price / 3);
    type.boot_s = scenario_find_number(scenario, "boot_s", 10);
    type.fetch_gb_per_s = 1;
    type.cache_gb = 50;
    char zones[128];
    snprintf(zones, sizeof zones, "%s",
             scenario_find_text(scenario, "zones") ? scenario_find_text(scenario, "zones") : "a,b");
    for (char *rest = NULL, *zone = strtok_r(zones, ",", &rest); zone;
         zone = strtok_r(NULL, ",", &rest))
        snprintf(type.zones[type.zone_count++], BD_LABEL_BYTES, "%s", zone);
    bd_inventory_types_received(scenario->core, &type, 1);
}

static void step_at(struct scenario *scenario)
{
    double seconds = strtod(scenario->words[1], NULL);
    bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S + seconds),
                      SCENARIO_WALL_START_S + seconds);
}

static void step_seed(struct scenario *scenario)
{
    bd_core_seed_forwarding_ids(
        scenario->core, scenario->word_count > 1 ? strtoull(scenario->words[1], NULL, 10) : 0);
}

static void step_expect_kv_limits(struct scenario *scenario)
{
    if (scenario->core->kv_limits.kv_value_bytes_max != strtoull(scenario->words[1], NULL, 10) ||
        scenario->core->kv_limits.kv_txn_ops_max != strtoull(scenario->words[2], NULL, 10)) {
        fprintf(stderr, "limits: values of %zu bytes, transactions of %zu changes\n",
                scenario->core->kv_limits.kv_value_bytes_max,
                scenario->core->kv_limits.kv_txn_ops_max);
        scenario_fail(scenario, "the limits are different");
    }
}

bool scenario_run_settings_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {{"machine_type", 2, step_machine_type},
                                                 {"at", 2, step_at},
                                                 {"seed", 1, step_seed},
                                                 {"expect_kv_limits", 3, step_expect_kv_limits}};
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
