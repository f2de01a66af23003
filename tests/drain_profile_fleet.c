/* A fleet in the pure core: machines that run replicated services, and a drain of some of them. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain_profile.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/task.h"
#include "numbers.h"
#include "test_settings.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS_PER_MACHINE 10 /* at the start */
#define REPLICAS_PER_SERVICE 40
#define DRAINS_READ_HALF_SECONDS 2 /* between the leader's reads of the drains' records */
#define START_DURATION_S 1.0       /* from the placement until the task runs */
#define REPORTED_TASKS_MAX 128     /* in a heartbeat */
#define RETURNED_MACHINES_MAX 128  /* in one request */

void fleet_set_time(struct fleet *fleet, double now_s)
{
    fleet->now_s = now_s;
    bd_core_set_clock(fleet->core, bd_secs(100 + now_s), 1000 + now_s);
}

/* Writes the machine's next heartbeat. A task runs START_DURATION_S after its placement, and exits
 * as soon as its stop was requested. */
static void fill_heartbeat(struct fleet *fleet, uint32_t number, struct bd_heartbeat *heartbeat,
                           struct bd_reported_task *tasks)
{
    struct bd_machine *machine = NULL;
    memset(tasks, 0, REPORTED_TASKS_MAX * sizeof *tasks);
    *heartbeat = (struct bd_heartbeat){.incarnation = 1,
                                       .seq = ++fleet->heartbeat_seq,
                                       .fencing_token = fleet->core->lead.term,
                                       .notice_s = -1,
                                       .tasks = tasks};
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "vm-%06u", number);
    snprintf(heartbeat->address, sizeof heartbeat->address, "10.1.0.1:%u", number);
    snprintf(heartbeat->type, sizeof heartbeat->type, "small");
    snprintf(heartbeat->zone, sizeof heartbeat->zone, "%s", number % 2 ? "a" : "b");
    HASH_FIND_STR(fleet->core->machines, heartbeat->machine, machine);
    for (uint32_t k = 0;
         machine && k < machine->nreservations && heartbeat->task_count < REPORTED_TASKS_MAX; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        const struct bd_task *task = machine->reservations[k].task;
        if (task->state == BD_TASK_PLANNED)
            continue;
        struct bd_reported_task *reported = &tasks[heartbeat->task_count++];
        bool is_stopped = task->flags & BD_TASK_FLAG_STOP_REQUESTED;
        bool is_starting =
            bd_seconds_between(job->last_placed_at, fleet->core->now) < START_DURATION_S;
        snprintf(reported->job, sizeof reported->job, "%s", job->id);
        reported->task = machine->reservations[k].task->index;
        reported->attempt = task->attempt;
        reported->execution = is_stopped ? BD_EXECUTION_EXITED
                              : task->execution == BD_EXECUTION_RUNNING || !is_starting
                                  ? BD_EXECUTION_RUNNING
                                  : BD_EXECUTION_FETCHING_IMAGE;
        reported->exit_reason = is_stopped ? BD_EXIT_STOPPED : BD_EXIT_NONE;
    }
}

void fleet_heartbeat(struct fleet *fleet, uint32_t number)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[REPORTED_TASKS_MAX];
    struct bd_machine *machine = NULL;
    char id[BD_LABEL_BYTES];
    snprintf(id, sizeof id, "vm-%06u", number);
    HASH_FIND_STR(fleet->core->machines, id, machine);
    if (machine && machine->terminated)
        return;
    fill_heartbeat(fleet, number, &heartbeat, tasks);
    bd_worker_heartbeat_received(fleet->core, NULL, &heartbeat, "{}", 2);
}

void fleet_handle_effects(struct fleet *fleet)
{
    struct bd_effect *effect = bd_effects_take(fleet->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        struct bd_heartbeat heartbeat;
        struct bd_reported_task tasks[REPORTED_TASKS_MAX];
        if (effect->kind == BD_EFFECT_DIRECT_COMMAND) {
            fill_heartbeat(
                fleet,
                (uint32_t)parse_number(fleet->core->machines_by_index[effect->machine]->id + 3),
                &heartbeat, tasks);
            bd_worker_direct_command_completed(fleet->core, effect->machine, effect->fencing_token,
                                               effect->has_launches, 200, &heartbeat);
        } else if (effect->kind == BD_EFFECT_SCALE_IN) {
            json_t *request = json_loads(effect->body, 0, NULL);
            char names[RETURNED_MACHINES_MAX][BD_LABEL_BYTES];
            bd_scale_in_completed(fleet->core, names,
                                  bd_wire_read_machine_names(request, names, RETURNED_MACHINES_MAX),
                                  true);
            json_decref(request);
        }
        bd_effect_free(effect);
        effect = next;
    }
}

void fleet_advance_half_second(struct fleet *fleet, int step)
{
    fleet_set_time(fleet, fleet->now_s + 0.5);
    bd_leadership_lease_renewed(fleet->core, 7, fleet->core->now);
    bd_delegate_records_read(fleet->core, NULL, fleet->core->now);
    bd_replica_refreshed(fleet->core, fleet->core->replica.store_revision,
                         fleet->core->replica.store_revision, fleet->core->now,
                         fleet->core->replica.barrier_in_flight, true);
    if (fleet->drain_records && step % DRAINS_READ_HALF_SECONDS == 0)
        bd_drain_apply_records(fleet->core, fleet->drain_records, NULL, fleet->core->now);
    for (uint32_t i = (uint32_t)step % 4; i < fleet->machine_count; i += 4)
        fleet_heartbeat(fleet, i);
    bd_core_tick(fleet->core);
    if (fleet->core->lead.commit)
        bd_core_leader_txn_completed(fleet->core, BD_TXN_COMMITTED, ++fleet->revision, NULL);
    fleet_handle_effects(fleet);
    for (int team = 0; team < TEAM_COUNT; team++) {
        uint32_t down, up;
        bd_ledger_get_counts(fleet->core, fleet->settings.teams[team].name, "", &down, &up);
        fleet->max_replicas_down[team] =
            down > fleet->max_replicas_down[team] ? down : fleet->max_replicas_down[team];
    }
}

static void add_service(struct fleet *fleet, uint32_t number)
{
    struct bd_job_record record = {.state = BD_JOB_ACTIVE,
                                   .submitted_at = 1000,
                                   .has_spec = true,
                                   .tasks = REPLICAS_PER_SERVICE,
                                   .spec = {.type_count = -1}};
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/job-%06u", number);
    snprintf(record.spec.job_class, sizeof record.spec.job_class, "web");
    snprintf(record.spec.team, sizeof record.spec.team, "team-%u", number % TEAM_COUNT);
    snprintf(record.spec.image, sizeof record.spec.image, "img");
    record.spec.kind = BD_JOB_SERVICE;
    record.spec.priority = BD_PRIORITY_PRODUCTION;
    record.spec.tasks = REPLICAS_PER_SERVICE;
    record.spec.cpus = record.spec.mem_gb = 1;
    record.spec.deadline_s = -1;
    json_t *value = bd_wire_write_job_record(&record);
    struct bd_kv_change change = {key, value, ++fleet->revision};
    bd_replica_apply(fleet->core, &change);
    json_decref(value);
}

void fleet_declare_budgets(struct fleet *fleet, double budget_percentage, uint32_t machines_in_step)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules = (struct bd_drain_rules){.machines_in_step = machines_in_step,
                                     .stop_timeout_s = 60,
                                     .completion_timeout_s = 1,
                                     .replacement_timeout_s = 60,
                                     .record_retention_s = 1e6};
    rules->budgets[rules->nbudgets++] =
        (struct bd_budget_rule){.is_percentage = true, .amount = budget_percentage};
    fleet->settings.draining = rules;
}

void fleet_build(struct fleet *fleet, uint32_t machines)
{
    test_settings_init(&fleet->settings);
    fleet->settings.ram_mb = 72;
    fleet->settings.leader_ttl = bd_secs(2);
    fleet->settings.idle_boot_times = 1e6; /* no idle machine is returned */
    fleet->settings.nteams = TEAM_COUNT;
    for (int i = 0; i < TEAM_COUNT; i++)
        snprintf(fleet->settings.teams[i].name, BD_NAME_BYTES, "team-%d", i);
    fleet->log = (struct bd_log){BD_LOG_ERROR, "drain-profile"};
    fleet->machine_count = machines;
    fleet->core = bd_core_new(&fleet->settings, &fleet->log);
    if (!fleet->core)
        abort();
    fleet_set_time(fleet, 0);
    struct bd_machine_type_text type = {
        .label = "small", .cpus = 2 * REPLICAS_PER_MACHINE, .mem_gb = 640, .price = 1};
    type.spot_price = type.fetch_gb_per_s = type.cache_gb = type.boot_s = 30;
    type.zone_count = 2;
    snprintf(type.zones[0], BD_LABEL_BYTES, "a");
    snprintf(type.zones[1], BD_LABEL_BYTES, "b");
    bd_inventory_types_received(fleet->core, &type, 1);
    bd_replica_listed(fleet->core, 1, fleet->core->now);
    struct bd_acquisition acquisition = {
        .term = 1, .grant = 7, .nonce = "n", .renewal_sent_at = fleet->core->now};
    acquisition.receipts = json_array();
    acquisition.intents = json_array();
    bd_core_leadership_acquired(fleet->core, &acquisition);
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
    bd_inventory_machines_received(fleet->core, NULL, 0, fleet->core->now);
    fleet->revision = 10;
    for (uint32_t i = 0; i < machines; i++)
        fleet_heartbeat(fleet, i);
    for (uint32_t n = 0; n < machines * REPLICAS_PER_MACHINE / REPLICAS_PER_SERVICE; n++)
        add_service(fleet, n);
    for (int step = 0; step < 120; step++)
        fleet_advance_half_second(fleet, step);
    memset(fleet->max_replicas_down, 0, sizeof fleet->max_replicas_down);
}

/* Applies the record of the drain, which is split into as many parts as it needs. */
void fleet_drain(struct fleet *fleet, uint32_t machines)
{
    struct bd_drain_record record = {.name = "d",
                                     .machine_set_id = "s",
                                     .state = BD_DRAIN_ACTIVE,
                                     .requested_at_s = fleet->core->wall_s,
                                     .nmachines = machines,
                                     .request = json_object()};
    struct bd_drain_machine *entries = calloc(machines, sizeof *entries);
    json_t *drains = json_array(), *sets = json_array();
    uint32_t part_machines_max =
        bd_drain_part_machines_max(&fleet->settings, fleet->settings.kv_value_bytes_max, 9);
    char key[BD_LABEL_BYTES];
    if (!entries)
        abort();
    for (uint32_t i = 0; i < machines; i++)
        snprintf(entries[i].id, BD_LABEL_BYTES, "vm-%06u", i);
    for (uint32_t from = 0; from < machines; from += part_machines_max) {
        uint32_t count = machines - from < part_machines_max ? machines - from : part_machines_max;
        bd_drain_part_key(key, sizeof key, record.machine_set_id, record.nparts++);
        json_array_append_new(sets,
                              json_pack("{s:s,s:o,s:i}", "k", key, "value",
                                        bd_drain_part_encode(entries + from, count), "mark", 1));
    }
    json_array_append_new(drains, json_pack("{s:s,s:o,s:i}", "k", BD_DRAIN_KEY_PREFIX "d", "value",
                                            bd_drain_record_encode(&record), "mark", 1));
    bd_drain_apply_records(fleet->core, drains, sets, fleet->core->now);
    fleet->drain_records = drains;
    json_decref(sets);
    json_decref(record.request);
    free(entries);
}

bool fleet_drain_is_over(const struct fleet *fleet)
{
    return !fleet->core->drains->drains || fleet->core->drains->drains->is_over;
}

void fleet_free(struct fleet *fleet)
{
    bd_core_free(fleet->core);
    json_decref(fleet->drain_records);
    free(fleet->settings.draining);
}
