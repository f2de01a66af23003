/* A large deployment in the pure core: machines, jobs, and their heartbeats and cycles. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "profile.h"
#include "test_settings.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONES 2
#define BUILD_CYCLES 40 /* scheduling cycles after the jobs are added */
#define TXN_BYTES_MAX 65536
#define REPORTED_TASKS_MAX 128 /* in a heartbeat */

void deployment_fail(struct deployment *deployment, const char *what, size_t value, size_t max)
{
    fprintf(stderr, "%s: %zu, at most %zu\n", what, value, max);
    deployment->failures++;
}

void deployment_check_transaction(struct deployment *deployment, const char *body)
{
    json_t *txn = json_loads(body, 0, NULL), *ops = json_object_get(txn, "apply"), *op;
    size_t i, compares = json_array_size(json_object_get(txn, "if"));
    deployment->transactions++;
    if (strlen(body) > TXN_BYTES_MAX)
        deployment_fail(deployment, "bytes in a transaction", strlen(body), TXN_BYTES_MAX);
    if (json_array_size(ops) > deployment->settings.kv_txn_ops_max)
        deployment_fail(deployment, "changes in a transaction", json_array_size(ops),
                        deployment->settings.kv_txn_ops_max);
    if (compares > 4 * deployment->settings.kv_txn_ops_max)
        deployment_fail(deployment, "conditions in a transaction", compares,
                        4 * deployment->settings.kv_txn_ops_max);
    json_array_foreach(ops, i, op)
    {
        char *text = json_dumps(json_object_get(op, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
        if (text && strlen(text) > deployment->settings.kv_value_bytes_max)
            deployment_fail(deployment, "bytes in a value", strlen(text),
                            deployment->settings.kv_value_bytes_max);
        free(text);
    }
    json_decref(txn);
}

void deployment_discard_effects(struct deployment *deployment)
{
    struct bd_effect *effect = bd_effects_take(deployment->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        if (effect->kind == BD_EFFECT_LEADER_TXN)
            deployment_check_transaction(deployment, effect->body);
        deployment->direct_commands += effect->kind == BD_EFFECT_DIRECT_COMMAND;
        bd_effect_free(effect);
        effect = next;
    }
}

static void write_settings(struct bd_settings *settings)
{
    test_settings_init(settings);
    snprintf(settings->zone, sizeof settings->zone, "a");
    settings->npeers = 1;
    snprintf(settings->peers[0].name, sizeof settings->peers[0].name, PEER_NAME);
    snprintf(settings->peers[0].zone, sizeof settings->peers[0].zone, "b");
    settings->inventory_lag = bd_secs(8);
    settings->leader_ttl = bd_secs(2);
    settings->kv_requests_per_s = 250;
    settings->ram_mb = 72;
    settings->headroom_share = 1.6;
    settings->idle_boot_times = 0.7;
    settings->nteams = 2;
    for (int i = 0; i < 2; i++)
        snprintf(settings->teams[i].name, BD_NAME_BYTES, "team-%d", i);
    settings->teams[0].gpus_guaranteed = 200;
    settings->teams[0].gpus_quota = 1500;
}

static void add_type(struct deployment *deployment, const char *name, double cpus, double gpus,
                     double memory_gb, double price)
{
    struct bd_machine_type_text type = {.cpus = cpus,
                                        .gpus = gpus,
                                        .mem_gb = memory_gb,
                                        .price = price,
                                        .spot_price = price / 3,
                                        .boot_s = 45,
                                        .fetch_gb_per_s = 0.2,
                                        .cache_gb = 50,
                                        .zone_count = ZONES};
    snprintf(type.label, sizeof type.label, "%s", name);
    snprintf(type.zones[0], BD_LABEL_BYTES, "a");
    snprintf(type.zones[1], BD_LABEL_BYTES, "b");
    bd_inventory_types_received(deployment->core, &type, 1);
}

void deployment_set_time(struct deployment *deployment, double now_s)
{
    deployment->now_s = now_s;
    bd_core_set_clock(deployment->core, bd_secs(100 + now_s), 1000 + now_s);
}

void deployment_add_job(struct deployment *deployment, int number, enum bd_job_kind kind,
                        uint32_t tasks, double cpus, double gpus, double memory_gb)
{
    struct bd_job_record record = {.state = BD_JOB_ACTIVE,
                                   .submitted_at = 1000 + deployment->now_s,
                                   .has_spec = true,
                                   .tasks = tasks};
    char key[BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/job-%06d", number);
    snprintf(record.spec.job_class, sizeof record.spec.job_class, "class-%d", (int)kind);
    snprintf(record.spec.team, sizeof record.spec.team, "team-%d", number % 2);
    snprintf(record.spec.image, sizeof record.spec.image, "img-%d-%d", (int)kind, number % 8);
    record.spec.type_count = -1;
    record.spec.kind = kind;
    record.spec.priority = kind == BD_JOB_SERVICE ? BD_PRIORITY_PRODUCTION : BD_PRIORITY_STANDARD;
    record.spec.tasks = tasks;
    record.spec.cpus = cpus;
    record.spec.gpus = gpus;
    record.spec.mem_gb = memory_gb;
    record.spec.image_gb = 2;
    record.spec.estimate_s = 60;
    record.spec.deadline_s = -1;
    record.spec.spread_zones = kind == BD_JOB_SERVICE;
    record.spec.spot = kind == BD_JOB_ARRAY;
    json_t *value = bd_wire_write_job_record(&record);
    struct bd_kv_change change = {key, value, ++deployment->revision};
    bd_replica_apply(deployment->core, &change);
    json_decref(value);
}

void deployment_heartbeat(struct deployment *deployment, uint32_t number)
{
    struct bd_heartbeat heartbeat = {.incarnation = 1,
                                     .seq = ++deployment->heartbeat_seq,
                                     .fencing_token = deployment->core->lead.term,
                                     .notice_s = -1};
    struct bd_reported_task tasks[REPORTED_TASKS_MAX];
    struct bd_machine *machine = NULL;
    snprintf(heartbeat.machine, sizeof heartbeat.machine, "vm-%06u", number);
    snprintf(heartbeat.address, sizeof heartbeat.address, "10.1.0.1:%u", number);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s",
             number % 5 && !deployment->is_cpu_only ? "gpu" : "small");
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", number % 2 ? "a" : "b");
    memset(tasks, 0, sizeof tasks);
    heartbeat.tasks = tasks;
    HASH_FIND_STR(deployment->core->machines, heartbeat.machine, machine);
    for (uint32_t k = 0;
         machine && k < machine->nreservations && heartbeat.task_count < REPORTED_TASKS_MAX; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        struct bd_reported_task *task = &tasks[heartbeat.task_count++];
        snprintf(task->job, sizeof task->job, "%s", job->id);
        task->task = machine->reservations[k].task->index;
        task->attempt = machine->reservations[k].task->attempt;
        task->execution = BD_EXECUTION_RUNNING;
    }
    bd_worker_heartbeat_received(deployment->core, NULL, &heartbeat, "{}", 2);
    deployment_discard_effects(deployment);
}

void deployment_run_cycle(struct deployment *deployment)
{
    deployment_set_time(deployment, deployment->now_s + 1.1);
    bd_leadership_lease_renewed(deployment->core, 7, deployment->core->now);
    bd_core_tick(deployment->core);
    if (deployment->core->lead.commit)
        bd_core_leader_txn_completed(deployment->core, BD_TXN_COMMITTED, ++deployment->revision,
                                     NULL);
    deployment_discard_effects(deployment);
}

void deployment_build(struct deployment *deployment)
{
    write_settings(&deployment->settings);
    deployment->core = bd_core_new(&deployment->settings, &deployment->log);
    if (!deployment->core)
        abort();
    deployment_set_time(deployment, 0);
    add_type(deployment, "small", 16, 0, 64, 1);
    add_type(deployment, "gpu", 48, 4, 288, 15);
    bd_replica_listed(deployment->core, 1, deployment->core->now);
    struct bd_acquisition acquisition = {
        .term = 1, .grant = 7, .nonce = "n", .renewal_sent_at = deployment->core->now};
    acquisition.receipts = json_array();
    acquisition.intents = json_array();
    bd_core_leadership_acquired(deployment->core, &acquisition);
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
    bd_inventory_machines_received(deployment->core, NULL, 0, deployment->core->now);
    deployment->revision = 10;
    for (uint32_t i = 0; i < deployment->machine_count; i++)
        deployment_heartbeat(deployment, i);
    if (deployment->is_cpu_only)
        return;
    for (int i = 0; i < 120; i++)
        deployment_add_job(deployment, i, BD_JOB_SERVICE, 5, 4, 0, 9);
    for (int i = 0; i < 60; i++)
        deployment_add_job(deployment, 1000 + i, BD_JOB_ARRAY, 200, 2, 0, 6);
    for (int i = 0; i < 60; i++)
        deployment_add_job(deployment, 2000 + i, BD_JOB_GANG, 4, 43, 4, 230);
    for (int k = 0; k < BUILD_CYCLES; k++) {
        deployment_run_cycle(deployment);
        for (uint32_t i = 0; i < deployment->machine_count; i++)
            deployment_heartbeat(deployment, i);
    }
}

json_t *deployment_intents(const struct deployment *deployment)
{
    json_t *pairs = json_array();
    for (uint32_t i = 0; i < deployment->core->nmachines; i++) {
        const struct bd_machine *machine = deployment->core->machines_by_index[i];
        json_t *groups = json_array();
        char key[BD_LABEL_BYTES];
        /* tasks of the same job and attempt share an entry, as in the records of the leader */
        json_t *last = NULL;
        const struct bd_job *last_job = NULL;
        uint64_t attempt = 0;
        for (uint32_t k = 0; k < machine->nreservations; k++) {
            const struct bd_job *job = machine->reservations[k].job;
            uint32_t task = machine->reservations[k].task->index;
            if (!last || last_job != job || attempt != machine->reservations[k].task->attempt) {
                last_job = job;
                attempt = machine->reservations[k].task->attempt;
                last = json_array();
                json_array_append_new(groups, json_pack("[s,I,s,o]", job->id, (json_int_t)attempt,
                                                        machine->id, last));
            }
            json_array_append_new(last, json_integer((int)task));
        }
        snprintf(key, sizeof key, "i/%020d-%08u", 1, i);
        json_array_append_new(pairs, json_pack("{s:s,s:{s:o},s:I}", "k", key, "value", "e", groups,
                                               "mark", (json_int_t)5));
    }
    return pairs;
}
