/* Probes of a delegate: it may be the one that is cut off from the leader while its workers are
 * not, and then it keeps them from the leader for nothing. So it sends a worker with nothing to
 * lose there; if that one does not come back, two more, and so on. A worker may stay away for
 * another reason, such as that its machine is gone, which is why not all are sent at once. One that
 * does come back shows that the zone is cut off. */
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

#define PROBE_INTERVAL_S 6.0       /* before a probe is sent, and after one came back */
#define PROBE_INTERVAL_ALONE_S 1.5 /* ... when no other controller is heard at all */
#define PROBE_BATCH_S 2.5          /* in which the workers of one batch are sent */
#define PROBE_WITH_TASKS_S 40.0    /* of serving, before a worker with tasks may be sent */
#define WORKER_TIMEOUT_S 4.0       /* the platform's: a worker waits so long for a reply, */
#define WORKER_PAUSE_S 1.0         /* ... and tries the next node after this */
#define RETURN_EXTRA_S 2.0         /* beside a worker's attempts */

/* The longest way of a worker back to us: every other node lets it time out. */
static double return_s(const struct bd_core *core)
{
    return core->settings->npeers * (WORKER_TIMEOUT_S + WORKER_PAUSE_S) + RETURN_EXTRA_S;
}

/* Not even the others of our own zone are heard, so it is not the zone that is cut off: connections
 * between the controllers may be refused while the workers reach them all. */
static bool hears_nobody(const struct bd_core *core)
{
    bool has_local_peer = false;
    for (int i = 0; i < core->settings->npeers; i++) {
        has_local_peer |= bd_peer_is_local(core, i);
        if (bd_peer_heard(core, i, BD_PEER_SILENT_S))
            return false;
    }
    return has_local_peer;
}

/* Whether the worker would lose nothing, or it is likely enough that it reaches the leader. */
static bool may_send(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    const struct bd_delegate *delegate = &core->delegate;
    double wait_s = hears_nobody(core) ? PROBE_INTERVAL_ALONE_S : PROBE_WITH_TASKS_S;
    return heartbeat->task_count == 0 || bd_to_secs(core->settings->lease) > return_s(core) ||
           delegate->probe_batch > 1 ||
           bd_seconds_between(delegate->serving_since, core->now) > wait_s;
}

static bool send_probe(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (!may_send(core, heartbeat) || delegate->nprobes == BD_PROBES_MAX)
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
    core->delegate.probes_at = core->now;
}

static void enlarge_batch(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    bd_log_write(core->log, BD_LOG_INFO, "%u workers reach %s, which this node does not hear",
                 delegate->nprobes, core->leader_name);
    uint32_t batch = delegate->probe_batch * 2;
    delegate->probe_batch = batch < BD_PROBES_MAX ? batch : BD_PROBES_MAX;
    delegate->nprobes = 0;
}

bool bd_delegate_probe_leader(struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    double since_batch_s = bd_seconds_between(delegate->probes_at, core->now);
    if (delegate->nserved == 0) {
        restart_probes(core);
        delegate->serving_since = core->now;
        return false;
    }
    if (is_probe(delegate, heartbeat->machine)) {
        restart_probes(core);
        return false;
    }
    if (delegate->nprobes > 0 && since_batch_s <= return_s(core))
        return delegate->nprobes < delegate->probe_batch && since_batch_s < PROBE_BATCH_S &&
               send_probe(core, heartbeat);
    if (delegate->nprobes > 0)
        enlarge_batch(core);
    else if (since_batch_s < (hears_nobody(core) ? PROBE_INTERVAL_ALONE_S : PROBE_INTERVAL_S))
        return false;
    if (!send_probe(core, heartbeat))
        return false;
    delegate->probes_at = core->now;
    return true;
}
