/* Forwarding: workers send heartbeats to a controller of their own zone, which forwards them to the
 * leader and the replies back. If the zone is cut off, its workers are already with a controller
 * that goes on answering them (see delegate.c), instead of trying nodes that they cannot reach
 * while their leases expire. */
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
#define IN_FLIGHT_MIN 512   /* more where there are more sockets, of which each holds one */
#define INBOUND_PARTITION_MEMORY_S 60.0 /* after the leader said that it does not hear workers */

/* ---- whom we hear ---- */

/* The leader's index among the peers; -1: it is not heard, or we lead, or nobody does. */
static int heard_leader(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    return leader >= 0 && bd_peer_heard(core, leader, BD_PEER_SILENT_S) ? leader : -1;
}

bool bd_forward_hears_leader(const struct bd_core *core)
{
    return heard_leader(core) >= 0;
}

bool bd_forward_other_leads(const struct bd_core *core)
{
    return *core->leader_name && strcmp(core->leader_name, core->settings->node) != 0;
}

static bool is_any_heard_of_zone(const struct bd_core *core, const char *zone)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].zone, zone) == 0 &&
            bd_peer_heard(core, i, BD_PEER_SILENT_S))
            return true;
    return false;
}

bool bd_forward_is_zone_silent(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (!bd_peer_is_local(core, i) &&
            !is_any_heard_of_zone(core, core->settings->peers[i].zone))
            return true;
    return false;
}

bool bd_forward_can_relay(const struct bd_core *core, int peer)
{
    return core->peers[peer].flags & BD_PEER_KV_REACHABLE &&
           core->peers[peer].flags & BD_PEER_RECEIVES_LEADER_STATUS &&
           bd_seconds_between(core->peers[peer].heard, core->now) <= BD_PEER_SILENT_S;
}

/* A controller that hears the leader whom we do not hear, one of our own zone first; or -1. */
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
    int n = 0;
    for (const struct bd_forwarded_heartbeat *forward = core->forwarding.waiting; forward;
         forward = forward->next)
        n++;
    return n;
}

/* False: there is no peer to forward it to, or too many are in flight. */
static bool forward_to_peer(struct bd_core *core, void *request,
                            const struct bd_heartbeat *heartbeat, const char *body, size_t len,
                            int peer)
{
    int sockets = core->settings->max_sockets;
    int in_flight_max = sockets > IN_FLIGHT_MIN ? sockets : IN_FLIGHT_MIN;
    if (peer < 0 || count_in_flight(core) >= in_flight_max)
        return false;
    struct bd_forwarded_heartbeat *forward = calloc(1, sizeof *forward);
    if (!forward)
        return false;
    forward->id = ++core->forwarding.last_id;
    forward->request = request;
    forward->heartbeat = bd_heartbeat_copy(heartbeat);
    forward->until = bd_time_add(core->now, bd_secs(REPLY_TIMEOUT_S));
    forward->next = core->forwarding.waiting;
    core->forwarding.waiting = forward;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_FORWARD_HEARTBEAT);
    effect->peer = peer;
    effect->forward_id = forward->id;
    effect->body = strndup(body, len);
    return true;
}

/* ---- which heartbeats are forwarded ---- */

/* True: the heartbeat is better forwarded than its worker redirected to the leader: the worker is
 * of our zone, or has tried the leader in vain, or the leader says that it does not hear workers.
 */
static bool decide_forwarding(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                              int leader)
{
    struct bd_forwarding *forwarding = &core->forwarding;
    if (bd_redirect_record_return(core, heartbeat->machine))
        return true;
    if (core->peers[leader].flags & BD_PEER_INBOUND_PARTITION)
        forwarding->inbound_partition_until =
            bd_time_add(core->now, bd_secs(INBOUND_PARTITION_MEMORY_S));
    if (bd_time_is_before(core->now, forwarding->inbound_partition_until))
        return true;
    return strcmp(heartbeat->zone, core->settings->zone) == 0 &&
           (!bd_peer_is_local(core, leader) || bd_forward_is_zone_silent(core));
}

bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len)
{
    int peer = heard_leader(core);
    if (peer >= 0 && !decide_forwarding(core, heartbeat, peer))
        return false;
    /* where two zones are cut off from each other, a third one may be in touch with both */
    if (peer < 0 && bd_forward_other_leads(core))
        peer = find_relay(core);
    return forward_to_peer(core, request, heartbeat, body, len, peer);
}

bool bd_forward_relay(struct bd_core *core, struct bd_remote *request,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len)
{
    int leader = heard_leader(core);
    return leader != request->peer && forward_to_peer(core, request, heartbeat, body, len, leader);
}

/* ---- replies and timeouts ---- */

/* The leader did not reply to it in time, or did not accept it. */
static void fall_back(struct bd_core *core, struct bd_forwarded_heartbeat *forward)
{
    const struct bd_remote *remote = forward->request;
    if (remote && remote->remote) { /* the controller that forwarded it to us decides */
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
    struct bd_forwarded_heartbeat **at = &core->forwarding.waiting;
    while (*at && (*at)->id != id)
        at = &(*at)->next;
    struct bd_forwarded_heartbeat *forward = *at;
    if (!forward)
        return; /* it timed out, and the worker was answered otherwise */
    *at = forward->next;
    if (status == 200 && body)
        bd_effect_reply(core, forward->request, 200, strndup(body, len), 0);
    else
        fall_back(core, forward);
    free_forward(forward);
}

void bd_forward_tick(struct bd_core *core)
{
    struct bd_forwarded_heartbeat **at = &core->forwarding.waiting;
    while (*at) {
        struct bd_forwarded_heartbeat *forward = *at;
        if (bd_time_is_before(core->now, forward->until)) {
            at = &forward->next;
            continue;
        }
        *at = forward->next;
        fall_back(core, forward);
        free_forward(forward);
    }
}

void bd_forwards_free(struct bd_core *core)
{
    while (core->forwarding.waiting) {
        struct bd_forwarded_heartbeat *forward = core->forwarding.waiting;
        struct bd_remote *remote = forward->request;
        core->forwarding.waiting = forward->next;
        if (remote && remote->remote)
            free(remote); /* the core's own: see bd_worker_heartbeat_forwarded */
        free_forward(forward);
    }
}
