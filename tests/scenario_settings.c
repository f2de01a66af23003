/* The steps of scenarios that set the scene: settings, machine types, seeds and the time. */
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

/* NAME:ZONE */
static void add_peer(struct play *play, const char *text)
{
    struct bd_peer *peer = &play->settings.peers[play->settings.npeers++];
    (void)sscanf(text, "%63[^:]:%63s", peer->name, peer->zone);
}

/* CLASS:SECONDS:SHARE */
static void add_slo(struct play *play, const char *text)
{
    struct bd_slo *slo = &play->settings.slos[play->settings.nslos++];
    double values[2] = {0};
    if (parse_name_and_numbers(text, slo->job_class, sizeof slo->job_class, values, 2) != 2)
        play_fail(play, "aim");
    slo->within_s = values[0];
    slo->share = values[1];
    slo->kind = BD_SLO_WAIT;
}

/* NAME:CPUS:CPUS_QUOTA:GPUS:GPUS_QUOTA */
static void add_team(struct play *play, const char *text)
{
    struct bd_team_quota *team = &play->settings.teams[play->settings.nteams++];
    double values[4] = {0};
    if (parse_name_and_numbers(text, team->name, sizeof team->name, values, 4) != 4)
        play_fail(play, "team");
    team->cpus = values[0];
    team->cpus_quota = values[1];
    team->gpus = values[2];
    team->gpus_quota = values[3];
}

void play_set(struct play *play)
{
    play->settings.lease = bd_secs(play_number(play, "lease", bd_to_secs(play->settings.lease)));
    play->settings.cancel = bd_secs(play_number(play, "cancel", bd_to_secs(play->settings.cancel)));
    play->settings.heartbeat_interval =
        bd_secs(play_number(play, "report", bd_to_secs(play->settings.heartbeat_interval)));
    play->settings.leader_ttl =
        bd_secs(play_number(play, "ttl", bd_to_secs(play->settings.leader_ttl)));
    play->settings.kv_txn_ops_max =
        (size_t)play_number(play, "ops", (double)play->settings.kv_txn_ops_max);
    play->settings.kv_value_bytes_max =
        (size_t)play_number(play, "value", (double)play->settings.kv_value_bytes_max);
    play->settings.kv_writes_per_s = play_number(play, "writes", play->settings.kv_writes_per_s);
    char zones[128];
    snprintf(zones, sizeof zones, "%s", play_text(play, "zones") ? play_text(play, "zones") : "");
    for (char *rest = NULL, *zone = strtok_r(zones, ",", &rest); zone;
         zone = strtok_r(NULL, ",", &rest))
        snprintf(play->settings.zones[play->settings.nzones++], BD_NAME_BYTES, "%s", zone);
    if (play_text(play, "zone"))
        snprintf(play->settings.zone, sizeof play->settings.zone, "%s", play_text(play, "zone"));
    if (play_text(play, "peer"))
        add_peer(play, play_text(play, "peer"));
    if (play_text(play, "aim"))
        add_slo(play, play_text(play, "aim"));
    if (play_text(play, "team"))
        add_team(play, play_text(play, "team"));
}

static void step_type(struct play *play)
{
    struct bd_machine_type_text type = {0};
    snprintf(type.label, sizeof type.label, "%s", play->words[1]);
    type.cpus = play_number(play, "cpus", 8);
    type.gpus = play_number(play, "gpus", 0);
    type.mem = play_number(play, "mem", 64);
    type.price = play_number(play, "price", 1);
    type.spot_price = play_number(play, "spot", type.price / 3);
    type.boot = play_number(play, "boot", 10);
    type.fetch = 1;
    type.cache_gb = 50;
    char zones[128];
    snprintf(zones, sizeof zones, "%s",
             play_text(play, "zones") ? play_text(play, "zones") : "a,b");
    for (char *rest = NULL, *zone = strtok_r(zones, ",", &rest); zone;
         zone = strtok_r(NULL, ",", &rest))
        snprintf(type.zones[type.nzones++], BD_LABEL_BYTES, "%s", zone);
    bd_inventory_types_received(play->core, &type, 1);
}

static void step_at(struct play *play)
{
    double seconds = strtod(play->words[1], NULL);
    bd_core_set_clock(play->core, bd_secs(100 + seconds), 1000 + seconds);
}

static void step_seed(struct play *play)
{
    bd_core_seed(play->core, play->nwords > 1 ? strtoull(play->words[1], NULL, 10) : 0);
}

static void step_limits(struct play *play)
{
    if (play->core->kv_limits.kv_value_bytes_max != strtoull(play->words[1], NULL, 10) ||
        play->core->kv_limits.kv_txn_ops_max != strtoull(play->words[2], NULL, 10)) {
        fprintf(stderr, "values of %zu bytes, %zu changes\n",
                play->core->kv_limits.kv_value_bytes_max, play->core->kv_limits.kv_txn_ops_max);
        play_fail(play, "limits");
    }
}

bool play_settings_step(struct play *play)
{
    static const struct play_step steps[] = {{"type", 2, step_type},
                                             {"at", 2, step_at},
                                             {"seed", 1, step_seed},
                                             {"limits", 3, step_limits}};
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
