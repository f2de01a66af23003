/* `profile full`: all machines are full; a failover, a cut zone, a delegate of all machines. */
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

#define FULL_TASKS 24u      /* on each machine */
#define FULL_CYCLES_MAX 40  /* until all are placed */
#define FAILOVER_MB_MAX 9.0 /* of the heap, for the intents as they are read and adopted */
#define ARRAY_TASKS 2000u
#define DELEGATE_NAME "p/node-1"

static double heap_mb(void)
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
    for (uint32_t i = 0; i < deployment->machines; i++)
        deployment_heartbeat(deployment, i);
}

/* Every machine gets FULL_TASKS small tasks. */
static void fill_machines(struct deployment *deployment)
{
    uint32_t tasks = deployment->machines * FULL_TASKS;
    for (uint32_t n = 0; n * ARRAY_TASKS < tasks; n++)
        deployment_add_job(deployment, (int)(5000 + n), BD_JOB_ARRAY, ARRAY_TASKS, 0.5, 0, 1);
    for (int k = 0; k < FULL_CYCLES_MAX && count_placed(deployment) < tasks; k++) {
        deployment_run_cycle(deployment);
        send_heartbeats(deployment);
    }
    if (count_placed(deployment) < tasks)
        deployment_fault(deployment, "tasks not placed on all machines",
                         tasks - count_placed(deployment), 0);
}

/* The next term adopts what the heartbeats show, places nothing again and loses nothing. */
static void fail_over(struct deployment *deployment)
{
    uint32_t before = count_placed(deployment), starts = deployment->commands;
    double heap = heap_mb();
    json_t *intents = deployment_intents(deployment);
    struct bd_acquisition acquisition = {.term = deployment->revision + 1,
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewal_sent_at = deployment->core->now};
    bd_leadership_lost(deployment->core);
    deployment_drop_effects(deployment);
    acquisition.receipts = json_array();
    acquisition.intents = intents;
    bd_core_leadership_acquired(deployment->core, &acquisition);
    double grown = heap_mb() - heap;
    json_decref(acquisition.receipts);
    json_decref(intents);
    fprintf(stderr, "failover with %u tasks: %.1f MB of the heap beside the jobs\n", before, grown);
    if (grown > FAILOVER_MB_MAX)
        deployment_fault(deployment, "MB of the heap at a failover", (size_t)grown,
                         (size_t)FAILOVER_MB_MAX);
    if (count_placed(deployment) != before)
        deployment_fault(deployment, "tasks placed after the failover", count_placed(deployment),
                         before);
    deployment_drop_effects(deployment);
    send_heartbeats(deployment);
    if (count_placed(deployment) < before || deployment->commands != starts)
        deployment_fault(deployment, "tasks lost or started again by the failover",
                         before - count_placed(deployment), 0);
}

/* Zone b is cut off and its delegate names its machines: no lease there expires while it does. */
static void cut_zone(struct deployment *deployment)
{
    uint32_t before = count_placed(deployment);
    double lease = bd_to_secs(deployment->settings.worker_lease), since = deployment->now;
    for (uint64_t revision = 1; deployment->now < since + 2 * lease; revision++) {
        json_t *names = json_array();
        for (uint32_t i = 0; i < deployment->machines; i += 2) {
            char id[BD_LABEL_BYTES];
            snprintf(id, sizeof id, "vm-%06u", i);
            json_array_append_new(names, json_string(id));
        }
        json_t *pairs = json_pack("[{s:s,s:{s:i,s:o},s:I}]", "k", DELEGATE_NAME, "value", "t", 1,
                                  "m", names, "mark", 100 + (json_int_t)revision);
        bd_delegate_records_read(deployment->core, pairs, deployment->core->now);
        json_decref(pairs);
        for (uint32_t i = 1; i < deployment->machines; i += 2)
            deployment_heartbeat(deployment, i);
        deployment_run_cycle(deployment);
    }
    if (count_placed(deployment) < before)
        deployment_fault(deployment, "tasks lost with the zone", before - count_placed(deployment),
                         0);
}

static void delegate_heartbeat(struct deployment *deployment, uint32_t i)
{
    struct bd_heartbeat heartbeat = {
        .incarnation = 1, .seq = ++deployment->seq, .fencing_token = 1, .notice_s = -1};
    snprintf(heartbeat.machine, sizeof heartbeat.machine, "vm-%06u", i);
    snprintf(heartbeat.type, sizeof heartbeat.type, "small");
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "a");
    bd_worker_heartbeat_received(deployment->core, NULL, &heartbeat, "{}", 2);
}

/* The delegate's write is applied; returns how many machines its record names by now. */
static uint32_t complete_delegate_write(struct deployment *deployment,
                                        const struct bd_effect *effect, uint32_t written)
{
    if (effect->body)
        deployment_check_commit(deployment, effect->body);
    bd_delegate_txn_completed(deployment->core, effect->body ? 200 : 0, ++deployment->revision,
                              deployment->core->now, true);
    return effect->body ? deployment->core->delegate.nserved : written;
}

/* A follower whose leader is lost answers all machines; its record has as many parts as that takes.
 */
static void serve_as_delegate(struct deployment *deployment)
{
    uint32_t written = 0;
    bd_leadership_lost(deployment->core);
    deployment_drop_effects(deployment);
    bd_peer_status_received(deployment->core, PEER, 9, BD_PEER_IS_LEADER | BD_PEER_KV_REACHABLE, 0,
                            deployment->core->wall_s, deployment->core->now);
    deployment_set_time(deployment, deployment->now + 30);
    bd_core_leader_observed(deployment->core, PEER, 9, deployment->core->now, false);
    for (uint32_t i = 0; i < deployment->machines; i++)
        delegate_heartbeat(deployment, i);
    for (int tries = 0; tries < 4 && written < deployment->machines; tries++) {
        bd_core_tick(deployment->core);
        struct bd_effect *effect = bd_effects_take(deployment->core);
        while (effect) {
            struct bd_effect *next = effect->next;
            if (effect->kind == BD_EFFECT_DELEGATE_TXN)
                written = complete_delegate_write(deployment, effect, written);
            bd_effect_free(effect);
            effect = next;
        }
        deployment_set_time(deployment, deployment->now + 0.6);
        bd_core_leader_observed(deployment->core, PEER, 9, deployment->core->now, false);
    }
    if (written < deployment->machines)
        deployment_fault(deployment, "machines that the delegate's record lacks",
                         deployment->machines - written, 0);
}

int profile_full(struct deployment *deployment)
{
    fill_machines(deployment);
    fail_over(deployment);
    cut_zone(deployment);
    serve_as_delegate(deployment);
    return deployment->faults ? 1 : 0;
}
