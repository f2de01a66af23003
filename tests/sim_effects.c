/* Performs the effects of a simulated controller's core, as effect_dispatch.c does. */
#include "model/effect.h"
#include "numbers.h"
#include "sim_node.h"
#include "simulation.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLOUD_TIMEOUT_S 2.0
#define CLOUD_LATE_MAX_S 40.0

static void send_reply(struct sim *sim, struct sim_node *node, struct bd_effect *effect)
{
    struct sim_request *request = effect->request;
    if (!request)
        return;
    bool is_delayed = !request->is_user && sim_draw_command_delayed(sim);
    struct sim_event *event = sim_node_schedule(
        sim, node, sim_network_delay(sim) + (is_delayed ? sim_uniform(sim, 0.3, 4) : 0),
        request->is_user ? SIM_USER_ANSWER : SIM_HEARTBEAT_ANSWER);
    event->index = request->index;
    event->number = request->number;
    event->status = effect->status;
    event->text = effect->body;
    effect->body = NULL;
}

struct sim_event *sim_send_frame(struct sim *sim, struct sim_node *node, int peer,
                                 enum bd_frame_type type, struct bd_effect *effect)
{
    int to =
        peer + (peer >= (int)(node - sim->nodes)); /* the settings do not list the node itself */
    struct sim_event *event = sim_node_schedule(sim, node, sim_network_delay(sim), SIM_FRAME);
    struct bd_frame *frame = calloc(1, sizeof *frame);
    if (!frame)
        abort();
    event->index = to;
    event->epoch = sim->nodes[to].epoch;
    event->data = frame;
    frame->type = type;
    snprintf(frame->sender, sizeof frame->sender, "%s", node->settings.node);
    if (effect) {
        frame->heartbeat_id = effect->forward_id;
        frame->status = (uint16_t)effect->status;
        event->text = effect->body;
        effect->body = NULL;
    }
    return event;
}

/* Puts the command into the controller's own send queue, which a fault may delay. */
static void queue_direct_command(struct sim *sim, struct sim_node *node, struct bd_effect *effect)
{
    struct sim_direct_command *command = calloc(1, sizeof *command);
    if (!command)
        abort();
    *command = (struct sim_direct_command){.references = 1,
                                           .machine = effect->machine,
                                           .fencing_token = effect->fencing_token,
                                           .is_launch = effect->has_launches};
    command->worker = parse_number(effect->addr + 2); /* "w-N" */
    command->deadline = effect->send_deadline;
    struct sim_event *event =
        sim_node_schedule(sim, node, node->sends_delayed_until - sim->now, SIM_COMMAND_SEND);
    event->text = effect->body;
    event->data = command;
    effect->body = NULL;
}

static void schedule_cloud(struct sim *sim, struct sim_node *node, const struct bd_effect *effect,
                           double delay_s, enum sim_cloud_outcome outcome)
{
    struct sim_event *event = sim_node_schedule(sim, node, delay_s, SIM_CLOUD_ANSWER);
    event->flag = effect->kind == BD_EFFECT_SCALE_OUT;
    event->status = outcome;
    event->text = strdup(effect->body);
}

/* The cloud executes the request and answers it, or executes it after its answer was given up. */
static void call_cloud(struct sim *sim, struct sim_node *node, struct bd_effect *effect)
{
    if (sim_draw_share(sim, sim->late_cloud_share, sim->late_cloud_until)) {
        schedule_cloud(sim, node, effect, CLOUD_TIMEOUT_S, SIM_CLOUD_UNANSWERED);
        schedule_cloud(sim, node, effect, sim_uniform(sim, CLOUD_TIMEOUT_S, CLOUD_LATE_MAX_S),
                       SIM_CLOUD_LATE);
    } else {
        schedule_cloud(sim, node, effect, sim_uniform(sim, 0.1, 0.4), SIM_CLOUD_ANSWERED);
    }
}

/* Identifies who awaits the reply; 0: none. */
static uint64_t requester_id(const struct bd_effect *effect)
{
    const struct sim_request *request = effect->request;
    if (effect->kind != BD_EFFECT_REPLY || !request)
        return 0;
    return (request->number << 20 | (uint64_t)request->index << 2 |
            (uint64_t)request->is_user << 1 | 1);
}

/* Returns true if the effect requests a call of the key-value store. The call then owns the effect.
 */
static bool call_store(struct sim *sim, struct sim_node *node, struct bd_effect *effect)
{
    char key[BD_LABEL_BYTES + 2];
    switch (effect->kind) {
    case BD_EFFECT_USER_TXN:
        sim_node_call(sim, node, SIM_COMMIT, SIM_FOR_USER, NULL, strdup(effect->body), 2.5)
            ->effect = effect;
        return true;
    case BD_EFFECT_JOB_LOOKUP:
        snprintf(key, sizeof key, "j/%.60s", effect->key);
        sim_node_call(sim, node, SIM_GET, SIM_FOR_LOOKUP, key, NULL, SIM_STORE_TIMEOUT_S)->effect =
            effect;
        return true;
    case BD_EFFECT_LEADER_TXN:
        if (node->pending_commit)
            bd_effect_free(node->pending_commit);
        node->pending_commit = effect;
        sim_commit_send(sim, node);
        return true;
    default:
        return false;
    }
}

/* Writes the delegate's record or, without a body, reads its revision. */
static void call_for_delegate(struct sim *sim, struct sim_node *node,
                              const struct bd_effect *effect)
{
    if (effect->body)
        (void)sim_node_call(sim, node, SIM_COMMIT, SIM_FOR_DELEGATE, NULL, strdup(effect->body),
                            SIM_STORE_TIMEOUT_S);
    else
        (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_DELEGATE_REVISION, effect->key, NULL,
                            SIM_STORE_TIMEOUT_S);
}

/* On half of the days nothing is announced, as the rules must hold without it too. */
static void announce_cancellation(struct sim *sim, struct sim_node *node,
                                  const struct bd_effect *effect)
{
    for (int i = 0; sim->seed / 2 % 2 && i < node->settings.npeers; i++)
        sim_send_frame(sim, node, i, BD_FRAME_CANCELLATION, NULL)->text = strdup(effect->key);
}

void sim_perform_effect(struct sim *sim, struct sim_node *node, struct bd_effect *effect)
{
    if (sim->digest)
        behaviour_digest_effect(sim->digest, sim->now, (int)(node - sim->nodes), effect,
                                requester_id(effect));
    if (call_store(sim, node, effect))
        return;
    switch (effect->kind) {
    case BD_EFFECT_REPLY:
        send_reply(sim, node, effect);
        break;
    case BD_EFFECT_READ_BARRIER:
        node->wants_barrier = true;
        sim_node_schedule(sim, node, 0.01, SIM_READER);
        break;
    case BD_EFFECT_STEP_DOWN:
        node->wants_step_down = true;
        if (effect->step_down_reason == BD_STEP_DOWN_RESIGNED)
            sim_end_grant(sim, node->grant);
        break;
    case BD_EFFECT_ANNOUNCE_CANCELLATION:
        announce_cancellation(sim, node, effect);
        break;
    case BD_EFFECT_FORWARD_HEARTBEAT:
        (void)sim_send_frame(sim, node, effect->peer, BD_FRAME_HEARTBEAT, effect);
        break;
    case BD_EFFECT_FORWARD_REPLY:
        (void)sim_send_frame(sim, node, effect->peer, BD_FRAME_HEARTBEAT_REPLY, effect);
        break;
    case BD_EFFECT_DELEGATE_TXN:
        call_for_delegate(sim, node, effect);
        break;
    case BD_EFFECT_DIRECT_COMMAND:
        queue_direct_command(sim, node, effect);
        break;
    case BD_EFFECT_SCALE_OUT:
    case BD_EFFECT_SCALE_IN:
        call_cloud(sim, node, effect);
        break;
    default:
        break;
    }
    bd_effect_free(effect);
}
