/* Redirects of workers. A follower redirects workers to the leader and remembers which, to detect
 * workers that cannot reach the leader. The leader redirects workers to a controller of their own
 * zone. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/forwarding_state.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONE_REDIRECT_INTERVAL_S 8.0 /* between redirects of a worker to its zone's controller */
/* A redirected worker that comes back within this time cannot reach the leader: its requests to the
 * leader, and perhaps to another node, timed out. */
#define RETURN_MAX_S 12.0
/* How long after its return a worker is not redirected to the leader again. */
#define LEADER_RETRY_S 40.0

/* ---- as follower ---- */

bool bd_redirect_record_return(struct bd_core *core, const char *machine)
{
    struct bd_redirected_worker *worker = NULL;
    HASH_FIND_STR(core->forwarding.redirected, machine, worker);
    if (!worker)
        return false;
    double limit_s = worker->has_returned ? LEADER_RETRY_S : RETURN_MAX_S;
    if (bd_seconds_between(worker->redirected_at, core->now) > limit_s) {
        HASH_DEL(core->forwarding.redirected, worker);
        free(worker);
        return false;
    }
    if (!worker->has_returned)
        worker->redirected_at = core->now;
    worker->has_returned = true;
    return true;
}

/* Removes the worker's entry from the table and returns it. If the worker has none, removes and
 * returns the oldest entry if the table is full, else a new one. The table is in the order of
 * insertion. */
static struct bd_redirected_worker *take_entry(struct bd_forwarding *forwarding,
                                               const char *machine)
{
    struct bd_redirected_worker *worker = NULL;
    HASH_FIND_STR(forwarding->redirected, machine, worker);
    if (!worker && HASH_COUNT(forwarding->redirected) >= BD_REDIRECTED_WORKERS_MAX)
        worker = forwarding->redirected;
    if (worker)
        HASH_DEL(forwarding->redirected, worker);
    else
        worker = malloc(sizeof *worker);
    if (!worker)
        abort();
    return worker;
}

static void remember_redirect(struct bd_core *core, const char *machine)
{
    struct bd_redirected_worker *worker = take_entry(&core->forwarding, machine);
    memset(worker, 0, sizeof *worker);
    snprintf(worker->id, sizeof worker->id, "%s", machine);
    worker->redirected_at = core->now;
    HASH_ADD_STR(core->forwarding.redirected, id, worker);
}

void bd_redirect_to_leader(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat)
{
    bool is_leader_known = bd_forward_is_peer_leading(core);
    if (is_leader_known)
        remember_redirect(core, heartbeat->machine);
    bd_effect_reply(core, request, 421,
                    bd_wire_write_redirect(is_leader_known ? core->leader_name : ""), 0);
}

void bd_redirects_free(struct bd_core *core)
{
    struct bd_redirected_worker *worker, *next;
    HASH_ITER(hh, core->forwarding.redirected, worker, next)
    {
        HASH_DEL(core->forwarding.redirected, worker);
        free(worker);
    }
}

/* ---- as leader ---- */

/* Whether the machine may be redirected to another controller of its zone. Workers of the leader's
 * own zone are redirected only while another zone is cut off. If the leader fails in that case, all
 * workers that were connected to it try the next nodes in turn, and time out at the nodes that are
 * cut off. */
static bool may_redirect(const struct bd_core *core, const struct bd_machine *machine,
                         const char *zone)
{
    bool was_redirected_recently =
        !bd_time_is_zero(machine->redirected_at) &&
        bd_seconds_between(machine->redirected_at, core->now) < ZONE_REDIRECT_INTERVAL_S;
    bool is_served_best_here =
        strcmp(zone, core->settings->zone) == 0 && !bd_forward_is_other_zone_unreachable(core);
    return !is_served_best_here && bd_leadership_lease_valid(core) && !was_redirected_recently;
}

int bd_redirect_zone_peer(struct bd_core *core, struct bd_machine *machine,
                          const struct bd_heartbeat *heartbeat)
{
    int found = -1;
    uint32_t candidates = 0;
    if (!may_redirect(core, machine, heartbeat->zone))
        return -1;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].zone, heartbeat->zone) != 0 ||
            !bd_forward_can_relay(core, i))
            continue;
        candidates++;
        /* spreads the machines over the candidates */
        if (found < 0 || machine->index % candidates == 0)
            found = i;
    }
    if (found >= 0)
        machine->redirected_at = core->now;
    return found;
}
