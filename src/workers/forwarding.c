/* Forwarding: workers send heartbeats to a controller of their own zone, which forwards the
 * heartbeats to the leader and the replies to the workers. If the zone is cut off, its workers are
 * already connected to a controller that continues to answer them (see delegate.c). Without
 * forwarding they would try nodes that they cannot reach while their leases expire. */
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/forwarding_state.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdlib.h>
#include <string.h>

#define REPLY_TIMEOUT_S 1.2 /* then a delegate answers, or the worker is redirected */
/* Heartbeats in flight to the leader, or max_sockets if that is more: each holds a socket. */
#define IN_FLIGHT_LIMIT_MIN 512
/* How long heartbeats are forwarded after the leader last reported an inbound partition. */
#define INBOUND_PARTITION_FORWARDING_S 60.0

/* ---- which controllers are reachable ---- */

/* The leader's index among the peers. -1: its status has not arrived recently, this controller
 * leads, or no controller leads. */
static int find_reachable_leader(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    return leader >= 0 && bd_peer_status_is_recent(core, leader, BD_PEER_STATUS_TIMEOUT_S) ? leader
                                                                                           : -1;
}

bool bd_forward_is_leader_reachable(const struct bd_core *core)
{
    return find_reachable_leader(core) >= 0;
}

bool bd_forward_is_peer_leading(const struct bd_core *core)
{
    return *core->leader_name && strcmp(core->leader_name, core->settings->node) != 0;
}

static bool is_zone_reachable(const struct bd_core *core, const char *zone)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].zone, zone) == 0 &&
            bd_peer_status_is_recent(core, i, BD_PEER_STATUS_TIMEOUT_S))
            return true;
    return false;
}

bool bd_forward_is_other_zone_unreachable(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (!bd_peer_is_local(core, i) && !is_zone_reachable(core, core->settings->peers[i].zone))
            return true;
    return false;
}

bool bd_forward_can_relay(const struct bd_core *core, int peer)
{
    return core->peers[peer].flags & BD_PEER_KV_REACHABLE &&
           core->peers[peer].flags & BD_PEER_RECEIVES_LEADER_STATUS &&
           bd_seconds_between(core->peers[peer].status_received_at, core->now) <=
               BD_PEER_STATUS_TIMEOUT_S;
}

/* The index of a peer that can reach the leader while this controller cannot; preferably one of
 * this zone. -1: none. */
static int find_relay(const struct bd_core *core)
{
    int found = -1;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (i == bd_leader_index(core) || !bd_forward_can_relay(core, i))
            continue;
        if (bd_peer_is_local(core, i))
            return i;
        found = found < 0 ? i : found;
    }
    return found;
}

/* ---- heartbeats in flight to the leader ---- */

struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat)
{
    struct bd_heartbeat *copy = malloc(sizeof *copy);
    if (!copy)
        abort();
    *copy = *heartbeat;
    copy->tasks = calloc(heartbeat->task_count + 1, sizeof *copy->tasks);
    if (!copy->tasks)
        abort();
    if (heartbeat->task_count > 0)
        memcpy(copy->tasks, heartbeat->tasks, heartbeat->task_count * sizeof *copy->tasks);
    return copy;
}

void bd_heartbeat_free(struct bd_heartbeat *heartbeat)
{
    bd_wire_release_heartbeat(heartbeat);
    free(heartbeat);
}

static void free_forward(struct bd_forwarded_heartbeat *forward)
{
    bd_heartbeat_free(forward->heartbeat);
    free(forward);
}

static int count_in_flight(const struct bd_core *core)
{
    int count = 0;
    for (const struct bd_forwarded_heartbeat *forward = core->forwarding.awaiting_reply; forward;
         forward = forward->next)
        count++;
    return count;
}

/* False: there is no peer to forward the heartbeat to (peer < 0), or too many heartbeats are in
 * flight. */
static bool forward_to_peer(struct bd_core *core, void *request,
                            const struct bd_heartbeat *heartbeat, const char *body, size_t len,
                            int peer)
{
    int sockets = core->settings->max_sockets;
    int in_flight_max = sockets > IN_FLIGHT_LIMIT_MIN ? sockets : IN_FLIGHT_LIMIT_MIN;
    if (peer < 0 || count_in_flight(core) >= in_flight_max)
        return false;
    struct bd_forwarded_heartbeat *forward = calloc(1, sizeof *forward);
    if (!forward)
        return false;
    forward->id = ++core->forwarding.last_id;
    forward->request = request;
    forward->heartbeat = bd_heartbeat_copy(heartbeat);
    forward->deadline = bd_time_add(core->now, bd_secs(REPLY_TIMEOUT_S));
    forward->next = core->forwarding.awaiting_reply;
    core->forwarding.awaiting_reply = forward;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_FORWARD_HEARTBEAT);
    effect->peer = peer;
    effect->forward_id = forward->id;
    effect->body = strndup(body, len);
    return true;
}

/* ---- which heartbeats are forwarded ---- */

/* Whether it is better to forward the heartbeat than to redirect its worker to the leader: the
 * worker could not reach the leader, or the leader reports an inbound partition. Heartbeats of
 * workers of this zone are also forwarded if the leader is in another zone, or another zone is cut
 * off. */
static bool should_forward(struct bd_core *core, const struct bd_heartbeat *heartbeat, int leader)
{
    struct bd_forwarding *forwarding = &core->forwarding;
    if (bd_redirect_record_return(core, heartbeat->machine))
        return true;
    if (core->peers[leader].flags & BD_PEER_INBOUND_PARTITION)
        forwarding->inbound_partition_until =
            bd_time_add(core->now, bd_secs(INBOUND_PARTITION_FORWARDING_S));
    if (bd_time_is_before(core->now, forwarding->inbound_partition_until))
        return true;
    return strcmp(heartbeat->zone, core->settings->zone) == 0 &&
           (!bd_peer_is_local(core, leader) || bd_forward_is_other_zone_unreachable(core));
}

bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len)
{
    int peer = find_reachable_leader(core);
    if (peer >= 0 && !should_forward(core, heartbeat, peer))
        return false;
    /* if two zones are cut off from each other, a third zone may reach both */
    if (peer < 0 && bd_forward_is_peer_leading(core))
        peer = find_relay(core);
    return forward_to_peer(core, request, heartbeat, body, len, peer);
}

bool bd_forward_relay(struct bd_core *core, struct bd_request_origin *request,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len)
{
    int leader = find_reachable_leader(core);
    return leader != request->peer && forward_to_peer(core, request, heartbeat, body, len, leader);
}

/* ---- replies and timeouts ---- */

/* Answers a heartbeat without the leader: the leader's reply has timed out, or the leader did not
 * accept the heartbeat. */
static void answer_without_leader(struct bd_core *core, struct bd_forwarded_heartbeat *forward)
{
    const struct bd_request_origin *origin = forward->request;
    if (origin && origin->is_forwarded) { /* the controller that forwarded it to this one decides */
        bd_effect_reply(core, forward->request, 421, bd_wire_write_redirect(""), 0);
        return;
    }
    if (core->role == BD_FOLLOWER &&
        bd_delegate_heartbeat(core, forward->request, forward->heartbeat))
        return;
    bd_redirect_to_leader(core, forward->request, forward->heartbeat);
}

void bd_forward_reply_received(struct bd_core *core, uint64_t id, int status, const char *body,
                               size_t len)
{
    struct bd_forwarded_heartbeat **link = &core->forwarding.awaiting_reply;
    while (*link && (*link)->id != id)
        link = &(*link)->next;
    struct bd_forwarded_heartbeat *forward = *link;
    if (!forward)
        return; /* the reply timed out, and the worker was answered without the leader */
    *link = forward->next;
    if (status == 200 && body)
        bd_effect_reply(core, forward->request, 200, strndup(body, len), 0);
    else
        answer_without_leader(core, forward);
    free_forward(forward);
}

void bd_forward_tick(struct bd_core *core)
{
    struct bd_forwarded_heartbeat **link = &core->forwarding.awaiting_reply;
    while (*link) {
        struct bd_forwarded_heartbeat *forward = *link;
        if (bd_time_is_before(core->now, forward->deadline)) {
            link = &forward->next;
            continue;
        }
        *link = forward->next;
        answer_without_leader(core, forward);
        free_forward(forward);
    }
}

void bd_forwarded_heartbeats_free(struct bd_core *core)
{
    while (core->forwarding.awaiting_reply) {
        struct bd_forwarded_heartbeat *forward = core->forwarding.awaiting_reply;
        struct bd_request_origin *origin = forward->request;
        core->forwarding.awaiting_reply = forward->next;
        if (origin && origin->is_forwarded)
            free(origin); /* allocated in receive_from_peer, heartbeats.c */
        free_forward(forward);
    }
}
