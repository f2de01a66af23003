/* Workers report to a controller of their own zone, which passes their reports to the leader and
 * the answers back: if the zone is cut off, its workers are already where they are answered on
 * (see delegate.c), instead of trying nodes that they cannot reach while their leases run out. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/forwarding_state.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define ANSWER_S 1.2      /* then the delegate's way is tried, or the worker sent to the leader */
#define REDIRECT_S 8.0    /* a worker is not sent to its zone's controller more often */
#define BACK_S 12.0       /* it hung at the leader, and perhaps at another node */
#define BACK_HOLDS_S 40.0 /* then it is tried again */
#define FORWARDS_MIN 512  /* more where there are more sockets, of which each holds one */
#define INBOUND_PARTITION_S 60.0

/* The leader's number among the peers if it is heard, or -1. */
static int leader_peer(const struct bd_core *core)
{
    int i = bd_leader_index(core);
    return i >= 0 && bd_peer_heard(core, i, LEADER_SILENT_S) ? i : -1;
}

/* A worker that comes back soon after it was sent to the leader cannot reach it. It would go round
 * between it and us until its lease ran out. */
static bool came_back(struct bd_core *core, const char *id)
{
    struct bd_away *a = NULL;
    HASH_FIND_STR(core->forwarding.sent_away, id, a);
    if (!a)
        return false;
    double ago = bd_between(a->at, core->now);
    if (ago > (a->back ? BACK_HOLDS_S : BACK_S)) {
        HASH_DEL(core->forwarding.sent_away, a);
        free(a);
        return false;
    }
    if (!a->back)
        a->at = core->now;
    a->back = true;
    return true;
}

static void remember_away(struct bd_core *core, const char *id)
{
    struct bd_away *a = NULL;
    HASH_FIND_STR(core->forwarding.sent_away, id, a);
    if (a)
        HASH_DEL(core->forwarding.sent_away, a); /* the newest are at the end */
    else if (HASH_COUNT(core->forwarding.sent_away) >= BD_SENT_AWAY) {
        a = core->forwarding.sent_away;
        HASH_DEL(core->forwarding.sent_away, a);
    } else {
        a = calloc(1, sizeof *a);
    }
    if (!a)
        abort();
    memset(a, 0, sizeof *a);
    snprintf(a->id, sizeof a->id, "%s", id);
    a->at = core->now;
    HASH_ADD_STR(core->forwarding.sent_away, id, a);
}

void bd_forward_end(struct bd_core *core)
{
    struct bd_away *a, *next;
    HASH_ITER(hh, core->forwarding.sent_away, a, next)
    {
        HASH_DEL(core->forwarding.sent_away, a);
        free(a);
    }
}

static bool other_leads(const struct bd_core *core)
{
    return *core->leader_name && strcmp(core->leader_name, core->settings->node) != 0;
}

/* Not ours to answer: to the leader, where one is known. */
void bd_forward_away(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat)
{
    bool other = other_leads(core);
    if (other)
        remember_away(core, heartbeat->machine);
    bd_effect_reply(core, request, 421, bd_wire_redirect(other ? core->leader_name : ""), 0);
}

/* Whether no controller of some other zone is heard: that zone is likely cut off from ours. */
static bool zone_silent(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        bool any = bd_peer_is_local(core, i);
        for (int k = 0; k < core->settings->npeers && !any; k++)
            any = strcmp(core->settings->peers[k].zone, core->settings->peers[i].zone) == 0 &&
                  bd_peer_heard(core, k, LEADER_SILENT_S);
        if (!any)
            return true;
    }
    return false;
}

/* Whether the worker's report is better passed on than the worker sent to the leader: it is of our
 * zone, or it cannot be reached by it, or it says that it does not hear its workers. */
static bool passed_on(struct bd_core *core, const struct bd_heartbeat *heartbeat, int peer)
{
    if (came_back(core, heartbeat->machine))
        return true;
    if (core->peers[peer].flags & BD_PEER_INBOUND_PARTITION)
        core->forwarding.inbound_partition_until = bd_add(core->now, bd_secs(INBOUND_PARTITION_S));
    if (bd_before(core->now, core->forwarding.inbound_partition_until))
        return true;
    return strcmp(heartbeat->zone, core->settings->zone) == 0 &&
           (!bd_peer_is_local(core, peer) || zone_silent(core));
}

bool bd_forward_hears_leader(const struct bd_core *core)
{
    return leader_peer(core) >= 0;
}

struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat)
{
    struct bd_heartbeat *k = malloc(sizeof *k);
    if (!k)
        abort();
    *k = *heartbeat;
    k->tasks = calloc(heartbeat->n + 1, sizeof *k->tasks);
    if (!k->tasks)
        abort();
    if (heartbeat->n > 0)
        memcpy(k->tasks, heartbeat->tasks, heartbeat->n * sizeof *k->tasks);
    return k;
}

static uint32_t waiting(const struct bd_core *core)
{
    uint32_t n = 0;
    for (const struct bd_forward *forward = core->forwarding.waiting; forward;
         forward = forward->next)
        n++;
    return n;
}

/* Whether the controller is in touch with the state service, the leader and us. */
static bool can_pass_on(const struct bd_core *core, int i)
{
    return core->peers[i].flags & BD_PEER_KV_REACHABLE &&
           core->peers[i].flags & BD_PEER_HEARS_LEADER &&
           !(bd_between(core->peers[i].heard, core->now) > LEADER_SILENT_S);
}

/* A controller that hears the leader whom we do not hear, one of our own zone first; or -1. */
static int relay(const struct bd_core *core)
{
    int found = -1;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (i == bd_leader_index(core) || !can_pass_on(core, i))
            continue;
        if (bd_peer_is_local(core, i))
            return i;
        found = found < 0 ? i : found;
    }
    return found;
}

static bool send_on(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                    const char *body, size_t len, int peer)
{
    int most =
        core->settings->max_sockets > FORWARDS_MIN ? core->settings->max_sockets : FORWARDS_MIN;
    if (peer < 0 || waiting(core) >= (uint32_t)most)
        return false;
    struct bd_forward *f = calloc(1, sizeof *f);
    if (!f)
        return false;
    f->id = ++core->forwarding.last_id;
    f->request = request;
    f->heartbeat = bd_heartbeat_copy(heartbeat);
    f->until = bd_add(core->now, bd_secs(ANSWER_S));
    f->next = core->forwarding.waiting;
    core->forwarding.waiting = f;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_FORWARD_HEARTBEAT);
    effect->peer = peer;
    effect->forward_id = f->id;
    effect->body = strndup(body, len);
    return true;
}

/* True if the report is on its way to the leader; it is answered, or its time runs out. Where two
 * zones are apart, a third one may still be in touch with both. */
bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len)
{
    int peer = leader_peer(core);
    if (peer >= 0 && !passed_on(core, heartbeat, peer))
        return false;
    if (peer < 0 && other_leads(core))
        peer = relay(core);
    return send_on(core, request, heartbeat, body, len, peer);
}

/* A report that another controller, which does not hear the leader, passes on to it through us.
 * Only to it, so that none goes round. */
bool bd_forward_relay(struct bd_core *core, struct bd_remote *q,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len)
{
    int peer = leader_peer(core);
    return peer != q->peer && send_on(core, q, heartbeat, body, len, peer);
}

void bd_heartbeat_free(struct bd_heartbeat *heartbeat)
{
    bd_wire_heartbeat_release(heartbeat);
    free(heartbeat);
}

static void drop(struct bd_forward *forward)
{
    bd_heartbeat_free(forward->heartbeat);
    free(forward);
}

static void fall_back(struct bd_core *core, struct bd_forward *forward)
{
    const struct bd_remote *q = forward->request;
    if (q && q->remote) { /* its own controller decides what becomes of it */
        bd_effect_reply(core, forward->request, 421, bd_wire_redirect(""), 0);
        return;
    }
    if (core->role == BD_FOLLOWER &&
        bd_delegate_heartbeat(core, forward->request, forward->heartbeat))
        return;
    bd_forward_away(core, forward->request, forward->heartbeat);
}

void bd_forward_reply_received(struct bd_core *core, uint64_t id, int status, const char *body,
                               size_t len)
{
    struct bd_forward **at = &core->forwarding.waiting;
    while (*at && (*at)->id != id)
        at = &(*at)->next;
    struct bd_forward *forward = *at;
    if (!forward)
        return; /* too late: the worker was answered otherwise */
    *at = forward->next;
    if (status == 200 && body)
        bd_effect_reply(core, forward->request, 200, strndup(body, len), 0);
    else
        fall_back(core, forward);
    drop(forward);
}

void bd_forward_tick(struct bd_core *core)
{
    struct bd_forward **at = &core->forwarding.waiting;
    while (*at) {
        struct bd_forward *forward = *at;
        if (bd_before(core->now, forward->until)) {
            at = &forward->next;
            continue;
        }
        *at = forward->next;
        fall_back(core, forward);
        drop(forward);
    }
}

/* As leader: the controller of the machine's own zone that it should report to, or -1. In our own
 * zone the others are for while another zone is cut off: if we end then, workers that were with us
 * all try the next nodes in turn, where those beyond the cut let them hang. */
int bd_forward_redirect(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat)
{
    int found = -1, n = 0;
    if ((strcmp(heartbeat->zone, core->settings->zone) == 0 && !zone_silent(core)) ||
        !bd_leadership_lease_valid(core) ||
        (!bd_is_zero(machine->redirected) &&
         bd_between(machine->redirected, core->now) < REDIRECT_S))
        return -1;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].zone, heartbeat->zone) != 0 || !can_pass_on(core, i))
            continue;
        n++;
        if (found < 0 || machine->index % (uint32_t)n == 0)
            found = i;
    }
    if (found >= 0)
        machine->redirected = core->now;
    return found;
}
