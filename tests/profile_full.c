/* `profile full`: all machines are full; then a failover, the partition of a zone, and a delegate
 * that serves all machines. */
#include "base/timeutil.h"
#include "core/core.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "profile.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <malloc.h>
#include <stdio.h>

#define TASKS_PER_MACHINE 24u
#define FILL_CYCLES_MAX 40        /* to place all tasks */
#define FAILOVER_HEAP_MIB_MAX 9.0 /* growth of the heap while the intents are read and adopted */
#define ARRAY_TASKS 2000u
#define DELEGATE_KEY "p/node-1"

static double heap_mib(void)
{
    return (double)mallinfo2().uordblks / 1048576.0;
}

static uint32_t count_placed(const struct deployment *deployment)
{
    uint32_t placed = 0;
    for (const struct bd_job *job = deployment->core->jobs; job; job = job->hh.next)
        placed += job->nplaced;
    return placed;
}

static void send_heartbeats(struct deployment *deployment)
{
    for (uint32_t i = 0; i < deployment->machine_count; i++)
        deployment_heartbeat(deployment, i);
}

/* Fills every machine with TASKS_PER_MACHINE small tasks. */
static void fill_machines(struct deployment *deployment)
{
    uint32_t tasks = deployment->machine_count * TASKS_PER_MACHINE;
    for (uint32_t n = 0; n * ARRAY_TASKS < tasks; n++)
        deployment_add_job(deployment, (int)(5000 + n), BD_JOB_ARRAY, ARRAY_TASKS, 0.5, 0, 1);
    for (int k = 0; k < FILL_CYCLES_MAX && count_placed(deployment) < tasks; k++) {
        deployment_run_cycle(deployment);
        send_heartbeats(deployment);
    }
    if (count_placed(deployment) < tasks)
        deployment_fail(deployment, "tasks not placed", tasks - count_placed(deployment), 0);
}

/* The leader of the next term adopts the reported tasks: none is placed again and none is lost. */
static void fail_over(struct deployment *deployment)
{
    uint32_t placed_before = count_placed(deployment);
    uint32_t commands_before = deployment->direct_commands;
    double heap_before_mib = heap_mib();
    json_t *intents = deployment_intents(deployment);
    struct bd_acquisition acquisition = {.term = deployment->revision + 1,
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewal_sent_at = deployment->core->now};
    bd_leadership_lost(deployment->core);
    deployment_discard_effects(deployment);
    acquisition.receipts = json_array();
    acquisition.intents = intents;
    bd_core_leadership_acquired(deployment->core, &acquisition);
    double heap_growth_mib = heap_mib() - heap_before_mib;
    json_decref(acquisition.receipts);
    json_decref(intents);
    fprintf(stderr, "failover with %u tasks: the heap grew by %.1f MiB\n", placed_before,
            heap_growth_mib);
    if (heap_growth_mib > FAILOVER_HEAP_MIB_MAX)
        deployment_fail(deployment, "MiB of heap growth in the failover", (size_t)heap_growth_mib,
                        (size_t)FAILOVER_HEAP_MIB_MAX);
    if (count_placed(deployment) != placed_before)
        deployment_fail(deployment,
                        "tasks placed right after the failover, which must equal the maximum",
                        count_placed(deployment), placed_before);
    deployment_discard_effects(deployment);
    send_heartbeats(deployment);
    if (count_placed(deployment) < placed_before || deployment->direct_commands != commands_before)
        deployment_fail(deployment, "tasks lost or launched again by the failover",
                        placed_before - count_placed(deployment), 0);
}

/* Zone b is partitioned from the leader. Its delegate lists the machines that it serves, and their
 * leases must not expire as long as it does. */
static void partition_zone(struct deployment *deployment)
{
    uint32_t placed_before = count_placed(deployment);
    double lease_s = bd_to_secs(deployment->settings.worker_lease);
    double partitioned_at_s = deployment->now_s;
    for (uint64_t revision = 1; deployment->now_s < partitioned_at_s + 2 * lease_s; revision++) {
        json_t *names = json_array();
        for (uint32_t i = 0; i < deployment->machine_count; i += 2) {
            char id[BD_LABEL_BYTES];
            snprintf(id, sizeof id, "vm-%06u", i);
            json_array_append_new(names, json_string(id));
        }
        json_t *pairs = json_pack("[{s:s,s:{s:i,s:o},s:I}]", "k", DELEGATE_KEY, "value", "t", 1,
                                  "m", names, "mark", 100 + (json_int_t)revision);
        bd_delegate_records_read(deployment->core, pairs, deployment->core->now);
        json_decref(pairs);
        for (uint32_t i = 1; i < deployment->machine_count; i += 2)
            deployment_heartbeat(deployment, i);
        deployment_run_cycle(deployment);
    }
    if (count_placed(deployment) < placed_before)
        deployment_fail(deployment, "tasks lost in the partitioned zone",
                        placed_before - count_placed(deployment), 0);
}

/* The delegate receives a heartbeat that reports no tasks. */
static void delegate_heartbeat(struct deployment *deployment, uint32_t number)
{
    struct bd_heartbeat heartbeat = {
        .incarnation = 1, .seq = ++deployment->heartbeat_seq, .fencing_token = 1, .notice_s = -1};
    snprintf(heartbeat.machine, sizeof heartbeat.machine, "vm-%06u", number);
    snprintf(heartbeat.type, sizeof heartbeat.type, "small");
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "a");
    bd_worker_heartbeat_received(deployment->core, NULL, &heartbeat, "{}", 2);
}

/* Completes the delegate's transaction. Returns the number of machines in the written record, or
 * `recorded` if the effect has no transaction. */
static uint32_t complete_delegate_write(struct deployment *deployment,
                                        const struct bd_effect *effect, uint32_t recorded)
{
    if (effect->body)
        deployment_check_transaction(deployment, effect->body);
    bd_delegate_txn_completed(deployment->core, effect->body ? 200 : 0, ++deployment->revision,
                              deployment->core->now, true);
    return effect->body ? deployment->core->delegate.nserved : recorded;
}

/* A follower that has lost contact with the leader serves all machines as their delegate. Its
 * record must name them all, in as many parts as needed. */
static void serve_as_delegate(struct deployment *deployment)
{
    uint32_t recorded = 0;
    bd_leadership_lost(deployment->core);
    deployment_discard_effects(deployment);
    bd_peer_status_received(deployment->core, PEER_NAME, 9,
                            BD_PEER_IS_LEADER | BD_PEER_KV_REACHABLE, 0, deployment->core->wall_s,
                            deployment->core->now);
    deployment_set_time(deployment, deployment->now_s + 30);
    bd_core_leader_observed(deployment->core, PEER_NAME, 9, deployment->core->now, false);
    for (uint32_t i = 0; i < deployment->machine_count; i++)
        delegate_heartbeat(deployment, i);
    for (int attempt = 0; attempt < 4 && recorded < deployment->machine_count; attempt++) {
        bd_core_tick(deployment->core);
        struct bd_effect *effect = bd_effects_take(deployment->core);
        while (effect) {
            struct bd_effect *next = effect->next;
            if (effect->kind == BD_EFFECT_DELEGATE_TXN)
                recorded = complete_delegate_write(deployment, effect, recorded);
            bd_effect_free(effect);
            effect = next;
        }
        deployment_set_time(deployment, deployment->now_s + 0.6);
        bd_core_leader_observed(deployment->core, PEER_NAME, 9, deployment->core->now, false);
    }
    if (recorded < deployment->machine_count)
        deployment_fail(deployment, "machines missing from the delegate's record",
                        deployment->machine_count - recorded, 0);
}

int profile_full(struct deployment *deployment)
{
    fill_machines(deployment);
    fail_over(deployment);
    partition_zone(deployment);
    serve_as_delegate(deployment);
    return deployment->failures ? 1 : 0;
}
