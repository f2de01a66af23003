/* Probes of a delegate: whether its workers can reach the leader. The delegate may be cut off from
 * the leader while its workers are not, and would then keep them from the leader for no reason. So
 * it redirects one worker that risks no task to the leader. If that worker does not come back, the
 * delegate redirects two more, and so on in batches of twice the size. A worker may also stay
 * away for another reason, such as that its machine has failed, so the delegate does not redirect
 * all workers at once. A worker that comes back shows that the zone is cut off. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/delegate_state.h"
#include "model/peers.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <string.h>

#define PROBE_INTERVAL_S 6.0       /* before the first probe, and after a probe came back */
#define PROBE_INTERVAL_ALONE_S 1.5 /* instead, while no peer's status arrives */
#define PROBE_BATCH_S 2.5          /* within which the workers of one batch are redirected */
#define PROBE_WITH_TASKS_S 40.0    /* time as delegate before a worker with tasks may be a probe */
#define WORKER_TIMEOUT_S 4.0       /* the platform's: a worker's wait for a reply */
#define WORKER_PAUSE_S 1.0         /* the platform's: after a timeout, before the next node */
#define RETURN_EXTRA_S 2.0         /* in addition to a worker's attempts at the other nodes */

/* Seconds until a redirected worker is back at the latest: its request to every other node times
 * out. */
static double return_max_s(const struct bd_core *core)
{
    return core->settings->npeers * (WORKER_TIMEOUT_S + WORKER_PAUSE_S) + RETURN_EXTRA_S;
}

/* Whether no peer's status arrives, not even from this controller's own zone. Then it is not the
 * zone that is cut off: connections between the controllers may fail while the workers reach them
 * all. */
static bool are_all_statuses_overdue(const struct bd_core *core)
{
    bool has_local_peer = false;
    for (int i = 0; i < core->settings->npeers; i++) {
        has_local_peer |= bd_peer_is_local(core, i);
        if (bd_peer_status_is_recent(core, i, BD_PEER_STATUS_TIMEOUT_S))
            return false;
    }
    return has_local_peer;
}

/* Whether the worker may be a probe. It loses nothing if it runs no tasks or its lease outlasts the
 * probe. It is likely enough to reach the leader if earlier probes did not return, or this
 * controller has been a delegate for long enough. */
static bool may_be_probe(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    const struct bd_delegate *delegate = &core->delegate;
    double wait_s = are_all_statuses_overdue(core) ? PROBE_INTERVAL_ALONE_S : PROBE_WITH_TASKS_S;
    return heartbeat->task_count == 0 ||
           bd_to_secs(core->settings->worker_lease) > return_max_s(core) ||
           delegate->probe_batch > 1 ||
           bd_seconds_between(delegate->serving_since, core->now) > wait_s;
}

/* Records the worker as a probe. False: it may not be one, or there are too many. */
static bool add_probe(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (!may_be_probe(core, heartbeat) || delegate->nprobes == BD_PROBES_MAX)
        return false;
    snprintf(delegate->probes[delegate->nprobes++], BD_LABEL_BYTES, "%s", heartbeat->machine);
    return true;
}

static bool is_probe(const struct bd_delegate *delegate, const char *machine)
{
    for (uint32_t i = 0; i < delegate->nprobes; i++)
        if (strcmp(delegate->probes[i], machine) == 0)
            return true;
    return false;
}

static void restart_probes(struct bd_core *core)
{
    core->delegate.nprobes = 0;
    core->delegate.probe_batch = 1;
    core->delegate.batch_began_at = core->now;
}

static void enlarge_batch(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    bd_log_write(core->log, BD_LOG_INFO,
                 "%u workers did not return from leader %s, whose status does not arrive",
                 delegate->nprobes, core->leader_name);
    uint32_t batch = delegate->probe_batch * 2;
    delegate->probe_batch = batch < BD_PROBES_MAX ? batch : BD_PROBES_MAX;
    delegate->nprobes = 0;
}

bool bd_delegate_probe_leader(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    double since_batch_s = bd_seconds_between(delegate->batch_began_at, core->now);
    if (delegate->nserved == 0) {
        restart_probes(core);
        delegate->serving_since = core->now;
        return false;
    }
    if (is_probe(delegate, heartbeat->machine)) {
        restart_probes(core);
        return false;
    }
    if (delegate->nprobes > 0 && since_batch_s <= return_max_s(core))
        return delegate->nprobes < delegate->probe_batch && since_batch_s < PROBE_BATCH_S &&
               add_probe(core, heartbeat);
    if (delegate->nprobes > 0)
        enlarge_batch(core);
    else if (since_batch_s <
             (are_all_statuses_overdue(core) ? PROBE_INTERVAL_ALONE_S : PROBE_INTERVAL_S))
        return false;
    if (!add_probe(core, heartbeat))
        return false;
    delegate->batch_began_at = core->now;
    return true;
}
