/* `profile costs`: runs each kind of work, most of them several times; callgrind counts the
 * instructions. */
#include "core/core.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "profile.h"
#include "wire/frame.h"
#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include "workers/workers.h"
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_START_INSTRUMENTATION
#define CALLGRIND_TOGGLE_COLLECT
#define CALLGRIND_ZERO_STATS
#define CALLGRIND_DUMP_STATS_AT(name)
#endif
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *heartbeat_text(const struct deployment *deployment, uint32_t number, uint64_t seq)
{
    json_t *tasks = json_array();
    char id[BD_LABEL_BYTES], addr[BD_LABEL_BYTES], name[2 * BD_LABEL_BYTES];
    struct bd_machine *machine = NULL;
    snprintf(id, sizeof id, "vm-%06u", number);
    snprintf(addr, sizeof addr, "10.1.0.1:%u", number);
    HASH_FIND_STR(deployment->core->machines, id, machine);
    for (uint32_t k = 0; machine && k < machine->nreservations; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        snprintf(name, sizeof name, "%s/%u", job->id, machine->reservations[k].task->index);
        json_array_append_new(tasks, json_pack("{s:s,s:I,s:s}", "chore", name, "try",
                                               (json_int_t)machine->reservations[k].task->attempt,
                                               "mood", "running"));
    }
    json_t *heartbeat =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", id, "endpoint", addr,
                  "breed", number % 5 ? "gpu" : "small", "glade", number % 2 ? "a" : "b",
                  "windfall", 0, "tenancy", (json_int_t)1, "tally", (json_int_t)seq, "seal",
                  (json_int_t)deployment->core->lead.term, "warningS", "chores", tasks);
    char *text = json_dumps(heartbeat, JSON_COMPACT);
    json_decref(heartbeat);
    if (!text)
        abort();
    return text;
}

static void read_heartbeat(const char *text, struct bd_heartbeat *heartbeat)
{
    json_t *json = json_loads(text, 0, NULL);
    if (!bd_wire_read_heartbeat(json, heartbeat))
        abort();
    json_decref(json);
}

static void cost_heartbeat(struct deployment *deployment, uint32_t iteration)
{
    struct bd_heartbeat heartbeat;
    char *text = heartbeat_text(deployment, iteration % deployment->machine_count,
                                ++deployment->heartbeat_seq);
    CALLGRIND_TOGGLE_COLLECT;
    read_heartbeat(text, &heartbeat);
    bd_worker_heartbeat_received(deployment->core, NULL, &heartbeat, text, strlen(text));
    bd_wire_release_heartbeat(&heartbeat);
    bd_effect_free(bd_effects_take(deployment->core));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

/* Most heartbeats differ from the machine's last one only in the sequence number. */
static void cost_unchanged_heartbeat(struct deployment *deployment, uint32_t iteration)
{
    char *text = heartbeat_text(deployment, iteration % deployment->machine_count,
                                ++deployment->heartbeat_seq);
    (void)bd_heartbeat_cache_read(deployment->heartbeats, text, strlen(text));
    free(text);
    text = heartbeat_text(deployment, iteration % deployment->machine_count,
                          ++deployment->heartbeat_seq);
    CALLGRIND_TOGGLE_COLLECT;
    const struct bd_heartbeat *heartbeat =
        bd_heartbeat_cache_read(deployment->heartbeats, text, strlen(text));
    bd_worker_heartbeat_received(deployment->core, NULL, heartbeat, text, strlen(text));
    bd_effect_free(bd_effects_take(deployment->core));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

static void cost_forwarded_heartbeat(struct deployment *deployment, uint32_t iteration)
{
    static struct bd_frame frame, received;
    static unsigned char bytes[BD_FRAME_BYTES_MAX];
    struct bd_heartbeat heartbeat;
    char *text = heartbeat_text(deployment, iteration % deployment->machine_count,
                                ++deployment->heartbeat_seq);
    frame = (struct bd_frame){.type = BD_FRAME_HEARTBEAT,
                              .heartbeat_id = iteration,
                              .text = text,
                              .len = (uint32_t)strlen(text)};
    snprintf(frame.sender, sizeof frame.sender, PEER_NAME);
    size_t length = bd_frame_write(&frame, bytes, sizeof bytes);
    CALLGRIND_TOGGLE_COLLECT;
    if (bd_frame_read(bytes, length, &received) != (long)length)
        abort();
    read_heartbeat(text, &heartbeat);
    bd_worker_heartbeat_forwarded(deployment->core, received.sender, received.heartbeat_id,
                                  &heartbeat, text, received.len);
    bd_wire_release_heartbeat(&heartbeat);
    bd_effect_free(bd_effects_take(deployment->core));
    CALLGRIND_TOGGLE_COLLECT;
    free(text);
}

static void cost_status_read(struct deployment *deployment, uint32_t iteration)
{
    char id[BD_JOB_ID_BYTES];
    snprintf(id, sizeof id, "job-%06u", iteration % 100);
    CALLGRIND_TOGGLE_COLLECT;
    bd_user_status(deployment->core, NULL, id);
    bd_core_tick(deployment->core);
    bd_replica_refreshed(deployment->core, deployment->core->replica.store_revision,
                         deployment->core->replica.store_revision, deployment->core->now, true,
                         true);
    CALLGRIND_TOGGLE_COLLECT;
    deployment_discard_effects(deployment);
}

static void cost_submission(struct deployment *deployment, uint32_t iteration)
{
    char body[640];
    snprintf(body, sizeof body,
             "{\"id\":\"job-%u\",\"kin\":\"class-0\",\"household\":\"team-0\",\"shape\":\"sweep\","
             "\"rank\":\"standard\",\"chores\":20,\"vcpus\":2,\"accelerators\":0,\"memGb\":6,"
             "\"seed\":\"img-0-0\",\"imageGb\":2,\"breeds\":null,\"glade\":null,\"together\":false,"
             "\"scatter\":false,\"windfall\":true,\"guessS\":60,\"markS\":0,\"stowS\":0,"
             "\"dueS\":null}",
             iteration + 5000);
    CALLGRIND_TOGGLE_COLLECT;
    bd_user_submit(deployment->core, NULL, body, strlen(body));
    struct bd_effect *effect = bd_effects_take(deployment->core);
    if (!effect || effect->kind != BD_EFFECT_USER_TXN)
        abort();
    bd_user_txn_completed(deployment->core, NULL, effect->key, effect->body, effect->purpose, 200,
                          ++deployment->revision);
    bd_effect_free(effect);
    CALLGRIND_TOGGLE_COLLECT;
    deployment_discard_effects(deployment);
}

static void cost_cycle(struct deployment *deployment, uint32_t iteration)
{
    (void)iteration;
    deployment_set_time(deployment, deployment->now_s + 1.1);
    bd_leadership_lease_renewed(deployment->core, 7, deployment->core->now);
    bd_replica_refreshed(deployment->core, deployment->core->replica.store_revision,
                         deployment->core->replica.store_revision, deployment->core->now, false,
                         true);
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_tick(deployment->core);
    if (deployment->core->lead.commit)
        bd_core_leader_txn_completed(deployment->core, BD_TXN_COMMITTED, ++deployment->revision,
                                     NULL);
    CALLGRIND_TOGGLE_COLLECT;
    deployment_discard_effects(deployment);
}

static void cost_refresh(struct deployment *deployment, uint32_t iteration)
{
    char text[128];
    snprintf(text, sizeof text, "{\"ring\":%llu,\"log\":[]}",
             (unsigned long long)deployment->core->replica.store_revision);
    (void)iteration;
    CALLGRIND_TOGGLE_COLLECT;
    json_t *response = json_loads(text, 0, NULL);
    bd_replica_refreshed(deployment->core, deployment->core->replica.store_revision,
                         bd_wire_read_store_revision(response), deployment->core->now, false, true);
    json_decref(response);
    CALLGRIND_TOGGLE_COLLECT;
}

static void cost_peer_status(struct deployment *deployment, uint32_t iteration)
{
    static struct bd_frame frame, received;
    static unsigned char bytes[1024];
    frame = (struct bd_frame){
        .type = BD_FRAME_PEER_STATUS, .flags = BD_PEER_KV_REACHABLE, .wall_clock_ms = iteration};
    snprintf(frame.sender, sizeof frame.sender, PEER_NAME);
    CALLGRIND_TOGGLE_COLLECT;
    size_t length = bd_frame_write(&frame, bytes, sizeof bytes);
    if (bd_frame_read(bytes, length, &received) != (long)length)
        abort();
    bd_peer_status_received(deployment->core, received.sender, received.term, received.flags, 0, 0,
                            deployment->core->now);
    CALLGRIND_TOGGLE_COLLECT;
}

static void cost_idle_tick(struct deployment *deployment, uint32_t iteration)
{
    (void)iteration;
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_tick(deployment->core);
    CALLGRIND_TOGGLE_COLLECT;
    deployment_discard_effects(deployment);
}

static void cost_failover(struct deployment *deployment, uint32_t iteration)
{
    json_t *intents = deployment_intents(deployment);
    struct bd_acquisition acquisition = {.term = deployment->revision + 1,
                                         .grant = 7,
                                         .nonce = "n",
                                         .renewal_sent_at = deployment->core->now};
    (void)iteration;
    bd_leadership_lost(deployment->core);
    deployment_discard_effects(deployment);
    acquisition.receipts = json_array();
    acquisition.intents = intents;
    CALLGRIND_TOGGLE_COLLECT;
    bd_core_leadership_acquired(deployment->core, &acquisition);
    CALLGRIND_TOGGLE_COLLECT;
    json_decref(acquisition.receipts);
    json_decref(acquisition.intents);
}

int profile_costs(struct deployment *deployment)
{
    static const struct {
        const char *name;
        uint32_t iterations;
        void (*run)(struct deployment *deployment, uint32_t iteration);
    } kinds[] = {{"heartbeat", 200, cost_heartbeat},
                 {"unchanged-heartbeat", 200, cost_unchanged_heartbeat},
                 {"forwarded-heartbeat", 200, cost_forwarded_heartbeat},
                 {"status-read", 200, cost_status_read},
                 {"cycle", 5, cost_cycle},
                 {"refresh", 100, cost_refresh},
                 {"peer-status", 100, cost_peer_status},
                 {"idle-tick", 100, cost_idle_tick},
                 {"submission", 100, cost_submission},
                 {"failover", 1, cost_failover}};
    CALLGRIND_START_INSTRUMENTATION; /* not earlier: building the deployment would be slow */
    for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
        CALLGRIND_ZERO_STATS;
        for (uint32_t iteration = 0; iteration < kinds[k].iterations; iteration++)
            kinds[k].run(deployment, iteration);
        CALLGRIND_DUMP_STATS_AT(kinds[k].name);
        printf("%s %u\n", kinds[k].name, kinds[k].iterations);
    }
    return 0;
}
