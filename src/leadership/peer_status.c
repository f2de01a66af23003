/* The statuses of the other controllers: whether a peer reports a newer term or fresher reads,
 * and whether this controller is isolated. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include <string.h>

#define STATUS_VALID_S 2.0 /* after a peer's status was received */
/* With neither a peer's status nor an answer of the store: users are better served elsewhere. */
#define ISOLATED_AFTER_S 3.0
#define READ_LAG_MAX_S 1.5 /* by which this controller's reads may be older than a peer's */

void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s,
                             struct timespec received_at)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].name, name) != 0)
            continue;
        struct bd_peer_view *peer = &core->peers[i];
        peer->status_received_at = received_at;
        peer->term = term;
        peer->flags = flags;
        peer->status_sent_wall_s = status_sent_wall_s;
        peer->kv_read_at = bd_time_sub(received_at, bd_secs(kv_age_s));
    }
}

void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || core->role == BD_LEADER)
        return;
    job->reported_done = done;
    job->reported_running = running;
}

int bd_peer_with_newer_term(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (core->peers[i].term > core->lead.term &&
            bd_peer_status_is_recent(core, i, STATUS_VALID_S))
            return i;
    return -1;
}

bool bd_peer_has_fresher_reads(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        const struct bd_peer_view *peer = &core->peers[i];
        if (bd_peer_status_is_recent(core, i, STATUS_VALID_S) &&
            peer->flags & BD_PEER_KV_REACHABLE &&
            bd_seconds_between(core->replica.refreshed_at, peer->kv_read_at) > READ_LAG_MAX_S)
            return true;
    }
    return false;
}

bool bd_is_isolated(const struct bd_core *core)
{
    if (core->settings->npeers == 0 ||
        bd_seconds_between(core->replica.refreshed_at, core->now) < ISOLATED_AFTER_S)
        return false;
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_status_is_recent(core, i, ISOLATED_AFTER_S))
            return false;
    return true;
}
