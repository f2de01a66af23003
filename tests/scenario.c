/* Runs a scenario against the core: a text file with one step a line. `#` begins a comment line.
 * Most steps call one function of the core and have its name. The effects of the core are kept
 * until `expect` removes them or `clear_effects` drops them all.
 *
 * Times are in seconds since the scenario's start, which is 100 s of the steady clock and 1000 s of
 * the time of day. vm-1 is a machine, node-1 a peer (another controller), a and b are zones or
 * teams, job-1/0 is task 0 of job-1, and @T.N is attempt N of term T.
 *
 * Before all other steps:
 * - set lease_s=10 cancel_s=35 heartbeat_interval_s=2 leader_ttl_s=3 txn_ops=24 value_bytes=8192
 *   writes_per_s=100 zones=a,b team=NAME:CPUS:CPUS_QUOTA:GPUS:GPUS_QUOTA slo=CLASS:SECONDS:SHARE
 *   settings, each of them optional
 * - set zone=a peer=node-1:b   this controller's zone; a peer and its zone
 * - draining (...)   enables draining; the fields of the settings' `draining` entry
 *
 * Settings and time, scenario_settings.c:
 * - machine_type small cpus=8 gpus=0 mem_gb=32 price=1 spot_price=0.3 boot_s=10 zones=a,b
 * - at 12.5   sets the clock
 * - seed N   the ids of forwarded heartbeats continue after N
 * - expect_kv_limits BYTES CHANGES   the present limits of a value and of a transaction
 *
 * Jobs and users, scenario_jobs.c:
 * - job job-1 revision=5 tasks=2 cpus=2 gpus=0 mem_gb=1 kind=array|gang|service class=k team=a
 *   priority=0...3 image=img image_gb=0 zone=a estimate_s=0 deadline_s=60 spot=0 same_zone=0
 *   spread_zones=0 checkpoint_interval_s=0 checkpoint_save_s=0 state=done|cancelled
 *   ended_at_s=900 parents=job-2,job-3 parent_parts=HASH:N
 *   the replica receives a change of the job's record. All keys are optional. ended_at_s: the
 *   time of day in seconds
 * - parents_part job-1/HASH/0 job-7,job-8   the replica receives a part of a job's list of parents
 * - job_record_json job-1 REVISION {...}   the replica receives any record, also a damaged one
 * - records_listed   the first listing of all records is complete
 * - finished_jobs N   the replica receives N records of jobs that were done long ago, and evicts
 *   from memory what it can
 * - refreshed [failed]   a refresh of the replica
 * - job_lookup_completed JOB PURPOSE STATUS [cancelled]   the record of an evicted job was read;
 *   PURPOSE: a number of enum bd_request_purpose
 * - submit {json} | get job-1 | cancel job-1   requests of a user
 * - user_txn_completed STATUS   the outcome of the first user_txn that waits
 * - cancellation_received job-1   a peer announces that the job's cancellation was confirmed
 * - expect_job job-1 active|done|cancelled [priority=N] [ready=0|1]   what the core knows of a job
 *
 * Machines, scenario_machines.c:
 * - heartbeat vm-1 TYPE ZONE incarnation=1 seq=1 token=1 [notice_s=5] [spot=1]
 *   [job-1/0:@1.1:running ...]   token: the highest fencing token that the worker has seen; the
 *   tasks' states are those of the wire protocol
 * - heartbeat_forwarded node-1 ID vm-1 TYPE ZONE incarnation=1 ...   a peer forwards a heartbeat
 * - forward_reply_received ID STATUS {text}   the reply to a heartbeat that this controller
 *   forwarded
 * - direct_command_completed vm-1 token=1 [status=200] [launch=0] [incarnation=1] [seq=2]
 *   [from=vm-2] [job-1/0:...]   the response to a direct command; status=0: none, status=-1: it was
 *   not sent; launch=0: it held no launch; from: the machine that responds
 * - machines_listed vm-1:TYPE:ZONE[:running|booting|failed] ...   the cloud's list of machines
 * - scale_out_completed N vm-1 ... | scale_out_completed refused   the cloud's response to the
 *   oldest open provisioning request, 200 or 503; N is ignored
 * - scale_in_completed vm-1 ...
 *
 * Leadership, scenario_leader.c:
 * - leadership_acquired TERM [receipt=job-1/0:03] [intent=job-1:@1.1:vm-1:0,1]   with the records
 *   that earlier terms left: the value of a part of the receipts; attempt, machine and tasks of an
 *   intent
 * - leadership_renewed | leadership_lost | tick
 * - write_rate_exceeded   the store responded 429
 * - peer_status node-1 [term=0] [kv_reachable=1] [hears_leader=1] [inbound_partition=0] [kv_lost=0]
 *   [knows_dag=1] [knows_drains=1] [kv_age_s=0] [sent_ago_s=0]   a status frame of a peer.
 *   hears_leader, kv_lost, knows_dag and knows_drains set the flags RECEIVES_LEADER_STATUS,
 *   KV_OUTAGE, SUPPORTS_DEPENDENCIES and SUPPORTS_DRAINS of enum bd_peer_flag
 * - leader_observed node-1 REVISION [dismissed=1]   the leader's key was read; `- 0`: there is none
 * - delegate_records_read [p/node-1:REVISION:vm-1,vm-2 ...]   this leader read the delegates'
 *   records
 * - read_delegates_until 28   advances the clock to 28 s; every 2 s this leader reads the records
 *   of the delegates and finds none
 * - lead_until 28 [node-1:20 ...]   advances the clock to 28 s; every 2 s this leader is renewed,
 *   reads the peers' liveness records (node-1 wrote its own at 20 s) and ticks
 * - liveness_sent | liveness_written   this controller's own liveness record
 * - delegate_txn_completed STATUS [revision_unknown]   the outcome of writing this controller's
 *   delegate record
 * - leader_txn_completed committed|deposed|rejected|conflict [KEY ...]   KEY: its comparison failed
 * - expect_healthy 0|1   whether GET /up reports this controller as up
 *
 * What is expected, scenario_expect.c:
 * - expect KIND TEXT...   removes the first effect of the kind that contains all the texts; a text
 *   also matches an equal status. KIND: one of effect_kind_names
 * - expect_none KIND [TEXT...]   there is no such effect
 * - clear_effects
 * - expect_task job-1/0 pending|planned|launching|confirmed|unknown|done [vm-1]
 * - expect_team a [cpus=2] [gpus=0]   what the team uses
 *
 * Draining, scenario_drain.c:
 * - drain NAME retire|replace [state=paused] [revision=N] [at=1000] vm-1 vm-2 ...   writes a
 *   drain's record and, if machines are named, their records to the store. at: the time of day of
 *   the request
 * - drain_stage NAME vm-1 STAGE   changes the machine's record in the store, as an earlier leader
 *   did
 * - drain_record_json NAME JSON   any record of a drain, also a damaged one
 * - drain_records_read   this leader reads the drains' records from the store
 * - heartbeat_running vm-1 [type=TYPE] [zone=ZONE] [incarnation=1] [notice_s=5] [ignore_stops=1]
 *   [fetching=vm-1]   the machine's tasks all run, or have stopped if that was requested
 * - run_for 12.5 [vm-1 ...] [no_answer=vm-2] [fetching=vm-3]   time passes in steps of 0.5 s:
 *   renewal, refresh, tick, commit. The machines send heartbeat_running each second. no_answer:
 *   direct commands to this machine get no response; fetching: no further task begins to run on it
 * - expect_drain_machine NAME vm-1 STAGE [wait=REASON-WITH-DASHES] [team=a] [replacement=vm-9]
 * - expect_ledger TEAM[:CLASS] [down=N] [up=N]   what the disruption ledger counts
 * - expect_drain_request {json} => ok | STATUS FIELD   whether an administrator's request is valid
 * - expect_drain_selection {json} vm-1:TYPE:ZONE ... => ok vm-1 ... | STATUS FIELD   which of the
 *   listed machines the request selects
 *
 * The environment's LOG_LEVEL sets the level of the core's log. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include "model/effect.h"
#include "scenario_play.h"
#include "test_settings.h"
#include "wire/wire_cloud.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void start_core(struct scenario *scenario)
{
    if (scenario->core)
        return;
    if (bd_time_is_zero(scenario->settings.leader_ttl))
        scenario->settings.leader_ttl = bd_secs(3);
    scenario->core = bd_core_new(&scenario->settings, &scenario->log);
    if (!scenario->core)
        abort();
    bd_core_set_clock(scenario->core, bd_secs(SCENARIO_START_S), SCENARIO_WALL_START_S);
}

static void collect_effects(struct scenario *scenario)
{
    struct bd_effect **tail = &scenario->effects;
    while (*tail)
        tail = &(*tail)->next;
    *tail = bd_effects_take(scenario->core);
    for (const struct bd_effect *effect = *tail; scenario->digest && effect; effect = effect->next)
        behaviour_digest_effect(scenario->digest, bd_to_secs(scenario->core->now), 0, effect, 0);
}

static void run_line(struct scenario *scenario)
{
    if (strcmp(scenario->words[0], "set") == 0) {
        scenario_run_set(scenario);
        return;
    }
    if (strcmp(scenario->words[0], "draining") == 0) {
        scenario_run_draining(scenario);
        return;
    }
    start_core(scenario);
    if (!scenario_run_settings_step(scenario) && !scenario_run_job_step(scenario) &&
        !scenario_run_machine_step(scenario) && !scenario_run_leader_step(scenario) &&
        !scenario_run_expect_step(scenario) && !scenario_run_drain_step(scenario))
        scenario_fail(scenario, "unknown step; the head of tests/scenario.c lists the steps");
    collect_effects(scenario);
}

/* Runs the steps of the file. Returns their number. */
static int run_file(struct scenario *scenario, FILE *file)
{
    char line[4096], copy[4096];
    int steps = 0;
    while (fgets(line, sizeof line, file)) {
        scenario->line_number++;
        line[strcspn(line, "\n")] = '\0';
        if (line[0] == '#' || line[strspn(line, " ")] == '\0')
            continue;
        snprintf(copy, sizeof copy, "%s", line);
        scenario->text = line;
        scenario->word_count = 0;
        for (char *rest = NULL, *word = strtok_r(copy, " ", &rest);
             word && scenario->word_count < SCENARIO_WORDS_MAX; word = strtok_r(NULL, " ", &rest))
            scenario->words[scenario->word_count++] = word;
        run_line(scenario);
        steps++;
    }
    return steps;
}

/* Usage: scenario FILE [digest|steps]. digest: also prints the digest of all effects; steps: prints
 * each effect as well. */
int main(int argc, char **argv)
{
    struct scenario scenario = {.log = {BD_LOG_ERROR, "scenario"}};
    struct behaviour_digest digest;
    bool prints_steps = argc == 3 && strcmp(argv[2], "steps") == 0;
    if (argc != 2 && !prints_steps && (argc != 3 || strcmp(argv[2], "digest") != 0))
        return 2;
    behaviour_digest_start(&digest, prints_steps ? stdout : NULL);
    scenario.digest = argc == 3 ? &digest : NULL;
    scenario.path = argv[1];
    FILE *file = fopen(argv[1], "r");
    if (!file) {
        perror(argv[1]);
        return 2;
    }
    test_settings_init(&scenario.settings);
    if (getenv("LOG_LEVEL"))
        scenario.log.level = bd_log_level_parse(getenv("LOG_LEVEL"));
    int steps = run_file(&scenario, file);
    (void)fclose(file);
    if (scenario.digest)
        printf("digest %016llx of %llu steps\n", (unsigned long long)digest.hash,
               (unsigned long long)digest.steps);
    scenario_clear_effects(&scenario);
    bd_core_free(scenario.core);
    free(scenario.settings.draining);
    json_decref(scenario.drain_records);
    json_decref(scenario.drain_parts);
    if (steps == 0) {
        fprintf(stderr, "%s: no steps\n", argv[1]);
        return 1;
    }
    return scenario.failures ? 1 : 0;
}
