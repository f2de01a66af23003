/* Autonomous zones: if a whole zone is cut off from all other zones and from the key-value store,
 * its followers continue to renew the leases of the workers in their zone, as a leader does at the
 * end of its term. Otherwise all work in the zone would end one lease after the partition began,
 * though nothing is wrong inside the zone.
 *
 * Why this is safe:
 *
 * - While a follower can reach the store, it writes the time of day into its own liveness record,
 *   conditional on the leader's key. Its zone may be autonomous from AUTONOMOUS_AFTER_S after the
 *   follower sent the last write that may have been carried out (the response may be lost). The
 *   zone may be autonomous until the end of the renewal window after the last write that was
 *   certainly carried out. So a cancellation that the follower cannot see still takes effect in
 *   time.
 * - The leader reads the liveness records together with the delegates' records. A controller whose
 *   newest liveness record is old may be autonomous. While two controllers of a zone (or its only
 *   one) may be autonomous, a lease in that zone does not count as expired before a whole lease has
 *   passed since the last moment at which these controllers can have renewed it. A record that is
 *   applied late still contains the time at which it was written.
 * - A follower renews leases only if another controller of its zone reports in a current status
 *   that it is cut off too. So a controller that crashes, or is cut off alone, delays no expiry. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <string.h>

#define AUTONOMOUS_AFTER_S 3.0 /* after the newest liveness record was sent */
/* How long a controller counts as possibly autonomous after its liveness record was last too old:
 * its status that it is cut off may still be current for the other controllers of its zone. */
#define POSSIBLY_AUTONOMOUS_S 3.0
#define PEER_STATUS_FRESH_S 2.0  /* how long a peer's status is taken as current */
#define CLOCK_MARGIN_EXTRA_S 0.3 /* of the leader, in addition to the error of both clocks */

/* ---- as follower ---- */

void bd_liveness_record_written(struct bd_core *core, struct timespec sent_at)
{
    core->liveness_confirmed_at = bd_time_max(core->liveness_confirmed_at, sent_at);
}

void bd_liveness_record_sent(struct bd_core *core, struct timespec sent_at)
{
    core->liveness_sent_at = bd_time_max(core->liveness_sent_at, sent_at);
}

bool bd_autonomous_zone_active(const struct bd_core *core)
{
    /* If a record was written but the response was lost, the leader assumes that this controller
     * can reach the store, and does not allow for renewals by this controller. */
    struct timespec last_write = bd_time_max(core->liveness_confirmed_at, core->liveness_sent_at);
    return core->role == BD_FOLLOWER &&
           bd_seconds_between(last_write, core->now) > AUTONOMOUS_AFTER_S;
}

/* Whether another controller of this zone reports that it cannot reach the key-value store either.
 * A controller that is the only one in its zone needs no such report. */
static bool is_partition_confirmed(const struct bd_core *core)
{
    bool is_alone = true;
    double status_age_max_s = PEER_STATUS_FRESH_S + 2 * bd_to_secs(core->settings->clock_error);
    for (int i = 0; i < core->settings->npeers; i++) {
        if (!bd_peer_is_local(core, i))
            continue;
        is_alone = false;
        if (core->peers[i].flags & BD_PEER_KV_OUTAGE &&
            bd_peer_status_is_recent(core, i, PEER_STATUS_FRESH_S) &&
            core->wall_s - core->peers[i].status_sent_wall_s < status_age_max_s)
            return true;
    }
    return is_alone;
}

static bool is_worker_of_own_zone(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return strcmp(heartbeat->zone, core->settings->zone) == 0;
}

static bool is_within_renewal_window(const struct bd_core *core)
{
    return bd_may_renew_worker_leases(core) &&
           bd_is_within_renewal_window(core, core->liveness_confirmed_at);
}

bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->last_term && core->replica.is_ready && bd_autonomous_zone_active(core) &&
           !bd_forward_is_leader_reachable(core) && is_within_renewal_window(core) &&
           is_worker_of_own_zone(core, heartbeat) && is_partition_confirmed(core);
}

bool bd_autonomous_zone_may_begin(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->role == BD_FOLLOWER && core->last_term && is_within_renewal_window(core) &&
           is_worker_of_own_zone(core, heartbeat) && !bd_forward_is_leader_reachable(core) &&
           bd_seconds_between(core->liveness_confirmed_at, core->now) <
               AUTONOMOUS_AFTER_S + PEER_STATUS_FRESH_S;
}

/* ---- as leader ---- */

void bd_autonomous_zone_liveness_record_read(struct bd_core *core, const char *node, double wall_s)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].name, node) == 0 &&
            wall_s > core->peers[i].liveness_wall_s)
            core->peers[i].liveness_wall_s = wall_s;
}

static double clock_margin_s(const struct bd_core *core)
{
    return 2 * bd_to_secs(core->settings->clock_error) + CLOCK_MARGIN_EXTRA_S;
}

static double liveness_age_s(const struct bd_core *core, int peer)
{
    return core->wall_s - core->peers[peer].liveness_wall_s;
}

/* Updates until when the controller may be autonomous. True: it may be autonomous now. A controller
 * without a liveness record may be autonomous too: the leader may not have read its record. */
static bool update_may_be_autonomous(struct bd_core *core, int peer)
{
    struct bd_peer_view *view = &core->peers[peer];
    if (liveness_age_s(core, peer) > AUTONOMOUS_AFTER_S - clock_margin_s(core))
        view->may_be_autonomous_until = bd_time_add(core->now, bd_secs(POSSIBLY_AUTONOMOUS_S));
    return bd_time_is_before(core->now, view->may_be_autonomous_until);
}

/* Seconds until the controller can certainly renew no more leases; 0 or less: it already cannot. */
static double renewal_left_s(const struct bd_core *core, int peer)
{
    return bd_renewal_window_s(core->settings) - liveness_age_s(core, peer) + clock_margin_s(core);
}

/* Whether controllers of the zone may be renewing leases on their own now. Counts the leader itself
 * if the zone is its own. */
static bool detect_autonomous_zone(struct bd_core *core, const char *zone)
{
    int controllers = strcmp(core->settings->zone, zone) == 0 ? 1 : 0;
    int possibly_autonomous = 0;
    bool may_renew = false;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].zone, zone) != 0)
            continue;
        controllers++;
        if (!update_may_be_autonomous(core, i))
            continue;
        possibly_autonomous++;
        may_renew |= renewal_left_s(core, i) > 0;
    }
    return may_renew &&
           (possibly_autonomous >= 2 || (controllers == 1 && possibly_autonomous == 1));
}

void bd_autonomous_zones_detect(struct bd_core *core, bool *may_be_autonomous_by_zone)
{
    for (int zone = 0; zone < core->nzones; zone++)
        may_be_autonomous_by_zone[zone] = detect_autonomous_zone(core, core->zones[zone]);
}

bool bd_autonomous_zone_may_have_renewed(const struct bd_core *core,
                                         const struct bd_machine *machine,
                                         const bool *may_be_autonomous_by_zone)
{
    if (machine->zone >= 0)
        return may_be_autonomous_by_zone[machine->zone];
    for (int zone = 0; zone < core->nzones; zone++)
        if (may_be_autonomous_by_zone[zone])
            return true;
    return false;
}
