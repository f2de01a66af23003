/* The simulated controllers: their clocks, their calls of the store, start and end, and the
 * dispatch of events and answers to the other sim_ files. */
#include "sim_node.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "core/core.h"
#include "drain/drain_record.h"
#include "jobs/jobs.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "simulation.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct timespec sim_node_monotonic(const struct sim *sim, const struct sim_node *node)
{
    return bd_secs(node->clock_start + (sim->now - node->started_at) * node->clock_rate);
}

double sim_node_wall_clock_s(const struct sim *sim, const struct sim_node *node)
{
    return SIM_WALL_START_S + sim->now + node->wall_offset;
}

void sim_node_set_clock(struct sim *sim, struct sim_node *node)
{
    bd_core_set_clock(node->core, sim_node_monotonic(sim, node), sim_node_wall_clock_s(sim, node));
}

struct sim_call *sim_node_call(struct sim *sim, struct sim_node *node, enum sim_op op,
                               enum sim_purpose purpose, const char *key, char *body,
                               double timeout_s)
{
    struct sim_call *call = calloc(1, sizeof *call);
    if (!call)
        abort();
    call->op = op;
    call->purpose = purpose;
    call->node = (int)(node - sim->nodes);
    call->epoch = node->epoch;
    snprintf(call->key, sizeof call->key, "%s", key ? key : "");
    call->body = body;
    call->sent_at = sim_node_monotonic(sim, node);
    sim_store_call(sim, call, timeout_s);
    return call;
}

struct sim_event *sim_node_schedule(struct sim *sim, struct sim_node *node, double delay_s,
                                    enum sim_event_kind kind)
{
    struct sim_event *event = sim_schedule(sim, delay_s, kind);
    event->node = (int)(node - sim->nodes);
    event->epoch = node->epoch;
    return event;
}

void sim_release_acquisition(struct sim_node *node)
{
    json_decref(node->acquisition.receipts);
    json_decref(node->acquisition.intents);
    node->acquisition.receipts = node->acquisition.intents = NULL;
}

/* Passes an acquisition to the core once the core's replica is as new as the acquired term. */
static void acquire_leadership(struct sim *sim, struct sim_node *node)
{
    if (!node->is_acquisition_pending || !node->core->replica.is_ready ||
        node->core->replica.store_revision < node->acquisition.term)
        return;
    node->is_acquisition_pending = false;
    node->acquisition.nonce = node->nonce;
    bd_core_leadership_acquired(node->core, &node->acquisition);
    sim_release_acquisition(node);
    sim->terms++;
    sim_replay_saved_heartbeats(sim);
    sim_trace(sim, "%s acquires leadership, term %llu", node->settings.node,
              (unsigned long long)node->core->lead.term);
}

static void send_status(struct sim *sim, struct sim_node *node)
{
    struct bd_core *core = node->core;
    if (sim->now < node->next_status_at)
        return;
    node->next_status_at = sim->now + 0.3;
    double age_s = bd_seconds_between(core->replica.refreshed_at, core->now);
    uint8_t flags =
        (uint8_t)(BD_PEER_SUPPORTS_DEPENDENCIES | (sim->has_drains ? BD_PEER_SUPPORTS_DRAINS : 0));
    flags |= core->role == BD_LEADER ? BD_PEER_IS_LEADER : 0;
    flags |= bd_forward_is_leader_reachable(core) ? BD_PEER_RECEIVES_LEADER_STATUS : 0;
    flags |=
        core->role == BD_LEADER && core->lead.inbound_partition ? BD_PEER_INBOUND_PARTITION : 0;
    flags |= age_s < 1.0 && core->replica.is_ready ? BD_PEER_KV_REACHABLE : 0;
    flags |= bd_autonomous_zone_active(core) ? BD_PEER_KV_OUTAGE : 0;
    for (int i = 0; i < node->settings.npeers; i++) {
        struct bd_frame *frame = sim_send_frame(sim, node, i, BD_FRAME_PEER_STATUS, NULL)->data;
        frame->term = core->role == BD_LEADER ? core->lead.term : 0;
        frame->flags = flags;
        frame->kv_age_ms = age_s > 1e6 ? 1000000000u : (uint32_t)(age_s * 1000);
        frame->wall_clock_ms = (uint64_t)(core->wall_s * 1000);
        if (sim->digest)
            behaviour_digest_status(sim->digest, sim->now, (int)(node - sim->nodes), i, frame);
    }
}

void sim_node_step(struct sim *sim, struct sim_node *node)
{
    acquire_leadership(sim, node);
    bd_core_tick(node->core);
    struct bd_effect *effect = bd_effects_take(node->core);
    while (effect) {
        struct bd_effect *next = effect->next;
        sim_perform_effect(sim, node, effect);
        effect = next ? next : bd_effects_take(node->core);
    }
    send_status(sim, node);
}

/* Passes the answer to the core, for a call that an effect requested. */
static void complete_effect(struct sim_node *node, const struct sim_call *call, long status,
                            json_t *answer)
{
    const struct bd_effect *effect = call->effect;
    uint64_t grant, revision = bd_wire_read_store_revision(answer);
    struct bd_kv_change change;
    bool is_pair = status == 200 && bd_wire_read_pair(answer, &change, &grant);
    switch (call->purpose) {
    case SIM_FOR_USER:
        bd_user_txn_completed(node->core, effect->request, effect->key, effect->body,
                              effect->purpose, status, revision);
        break;
    case SIM_FOR_DELEGATE:
        bd_delegate_txn_completed(node->core, status, revision, call->sent_at, status == 200);
        break;
    case SIM_FOR_DELEGATE_REVISION:
        bd_delegate_txn_completed(node->core, 0, is_pair ? change.revision : 0, call->sent_at,
                                  status == 404 || is_pair);
        break;
    case SIM_FOR_LOOKUP:
        status = status == 200 && !is_pair ? 0 : status;
        bd_replica_lookup_completed(node->core, effect->request, effect->key, effect->purpose,
                                    status, status == 200 ? &change : NULL);
        break;
    default:
        break;
    }
}

static void pass_answer(struct sim *sim, struct sim_node *node, struct sim_call *call, long status,
                        json_t *answer)
{
    switch (call->purpose) {
    case SIM_FOR_LIST:
    case SIM_FOR_REFRESH:
    case SIM_FOR_DELEGATES:
        sim_reader_answered(sim, node, call, status, answer);
        break;
    case SIM_FOR_DRAINS:
    case SIM_FOR_DRAIN_MACHINES:
        node->is_reading = false;
        sim_drain_records_read(sim, node, call, status, answer);
        break;
    case SIM_FOR_LIVENESS:
        if (status == 200)
            bd_liveness_record_written(node->core, call->sent_at);
        break;
    case SIM_FOR_RENEW:
        sim_election_renewed(sim, node, call, status);
        break;
    case SIM_FOR_COMMIT:
    case SIM_FOR_COMMIT_OUTCOME:
        sim_commit_answered(sim, node, call, status, answer);
        break;
    case SIM_FOR_USER:
    case SIM_FOR_DELEGATE:
    case SIM_FOR_DELEGATE_REVISION:
    case SIM_FOR_LOOKUP:
        complete_effect(node, call, status, answer);
        break;
    default:
        sim_election_answered(sim, node, call, status, answer);
    }
}

void sim_node_answered(struct sim *sim, struct sim_call *call, long status, json_t *answer)
{
    struct sim_node *node = &sim->nodes[call->node];
    if (!node->core || node->epoch != call->epoch)
        return;
    json_t *read = sim_spell_and_read(sim, answer);
    sim_node_set_clock(sim, node);
    pass_answer(sim, node, call, status, read);
    json_decref(read);
    sim_node_step(sim, node);
}

static void tick_node(struct sim *sim, struct sim_node *node)
{
    sim_node_set_clock(sim, node);
    if (node->core->role == BD_LEADER && sim->now > node->next_machine_list_at) {
        node->next_machine_list_at = sim->now + 2;
        sim_list_machines(sim, node);
    }
    sim_node_step(sim, node);
    sim_node_schedule(sim, node, 0.05, SIM_NODE_TICK);
}

void sim_node_handle_event(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    bool is_current = node->core && node->epoch == event->epoch;
    switch (event->kind) {
    case SIM_READER:
        if (is_current)
            sim_reader_read(sim, node);
        break;
    case SIM_ELECTION:
        if (is_current && event->flag && node->pending_commit)
            sim_commit_send(sim, node);
        else if (is_current && !event->flag)
            sim_election_step(sim, node);
        break;
    case SIM_NODE_TICK:
        if (is_current)
            tick_node(sim, node);
        break;
    case SIM_NODE_START:
        if (!node->core)
            sim_node_start(sim, event->node);
        break;
    case SIM_FRAME:
        sim_receive_frame(sim, event);
        break;
    case SIM_HEARTBEAT_ARRIVAL:
    case SIM_HEARTBEAT_REPLAY:
        sim_receive_heartbeat(sim, event);
        break;
    case SIM_COMMAND_SEND:
        sim_send_direct_command(sim, event);
        break;
    case SIM_COMMAND_ANSWER:
    case SIM_COMMAND_TIMEOUT:
        sim_direct_command_ended(sim, event);
        break;
    case SIM_USER_REQUEST:
        sim_receive_user_request(sim, event);
        break;
    case SIM_CLOUD_ANSWER:
        sim_cloud_answered(sim, event);
        break;
    default:
        break;
    }
}

void sim_node_start(struct sim *sim, int i)
{
    struct sim_node *node = &sim->nodes[i];
    uint64_t epoch = node->epoch + 1;
    struct bd_settings settings = node->settings;
    struct bd_log log = node->log;
    double paused_until = node->paused_until;
    memset(node, 0, sizeof *node);
    node->settings = settings;
    node->log = log;
    node->paused_until = paused_until;
    node->epoch = epoch;
    node->started_at = sim->now;
    node->clock_rate = 1 + sim_uniform(sim, -0.0005, 0.0005);
    node->clock_start = sim_uniform(sim, 1000, 5000);
    node->wall_offset = sim_uniform(sim, -0.005, 0.005);
    node->wants_list = true;
    node->core = bd_core_new(&node->settings, &node->log);
    if (!node->core)
        abort();
    sim_node_set_clock(sim, node);
    bd_core_seed_forwarding_ids(node->core, (uint64_t)(sim_random(sim) * 1e15));
    struct bd_machine_type_text type = {.label = "small",
                                        .cpus = 8,
                                        .mem_gb = 64,
                                        .price = 1,
                                        .spot_price = 0.3,
                                        .boot_s = 8,
                                        .fetch_gb_per_s = 1,
                                        .cache_gb = 50,
                                        .zone_count = 2};
    snprintf(type.zones[0], BD_LABEL_BYTES, "a");
    snprintf(type.zones[1], BD_LABEL_BYTES, "b");
    bd_inventory_types_received(node->core, &type, 1);
    sim_node_schedule(sim, node, 0.01, SIM_READER);
    sim_node_schedule(sim, node, 0.02, SIM_ELECTION);
    sim_node_schedule(sim, node, 0.03, SIM_NODE_TICK);
}

void sim_node_stop(struct sim *sim, int i)
{
    struct sim_node *node = &sim->nodes[i];
    if (!node->core)
        return;
    sim_release_acquisition(node);
    memset(&node->acquisition, 0, sizeof node->acquisition);
    node->is_acquisition_pending = false;
    if (node->pending_commit)
        bd_effect_free(node->pending_commit);
    node->pending_commit = NULL;
    json_decref(node->drain_records);
    node->drain_records = NULL;
    bd_core_free(node->core);
    node->core = NULL;
    node->epoch++;
    sim_trace(sim, "%s stops", node->settings.node);
}
