/* Autonomous zones: a follower whose whole zone is cut off from everything, also from the key-value
 * store, goes on renewing the leases of the workers in its zone, as a leader does at the end of its
 * term. Otherwise all work there would end one lease after the cut, though nothing is wrong inside.
 *
 * What makes it safe: while it is in touch, each follower writes the time of day into its own
 * liveness record, conditional on the leader's key. Its zone may be autonomous from
 * AUTONOMOUS_AFTER_S after it sent the last write that may have been carried out (the response may
 * be lost), until the end of the renewal window after the last one that surely was: a cancellation
 * that it cannot see still ends in time. The leader reads these records with the delegates'. A
 * controller whose newest record is old may be autonomous: while two controllers of a zone may be
 * (or its only one), no lease there counts as expired before the last moment at which they can have
 * renewed it, and a whole lease after that. A record that is applied late carries its own time. A
 * follower renews only if another controller of its zone says, in a status of this moment, that it
 * is cut off too: so one that crashes, or is cut off alone, delays nothing. */
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

#define AUTONOMOUS_AFTER_S 3.0   /* without a response of the key-value store */
#define AUTONOMOUS_MEMORY_S 3.0  /* a controller may still be heard as cut off */
#define PEER_STATUS_FRESH_S 2.0  /* what another controller says of itself is valid so long */
#define CLOCK_MARGIN_EXTRA_S 0.3 /* of the leader, beside the clocks' error */

/* ---- as follower ---- */

void bd_liveness_written(struct bd_core *core, struct timespec sent)
{
    core->confirmed = bd_time_max(core->confirmed, sent);
}

void bd_liveness_sent(struct bd_core *core, struct timespec sent)
{
    core->liveness_sent_at = bd_time_max(core->liveness_sent_at, sent);
}

bool bd_autonomous_zone_active(const struct bd_core *core)
{
    /* a record that was written, though the response was lost, shows the leader that we are in
     * touch: it would not allow for renewals of ours */
    struct timespec last = bd_time_max(core->confirmed, core->liveness_sent_at);
    return core->role == BD_FOLLOWER && bd_seconds_between(last, core->now) > AUTONOMOUS_AFTER_S;
}

/* Whether another controller of our zone is cut off too; one that is alone in its zone needs no
 * other. */
static bool is_cut_confirmed(const struct bd_core *core)
{
    bool is_alone = true;
    double late_s = PEER_STATUS_FRESH_S + 2 * bd_to_secs(core->settings->clock_error);
    for (int i = 0; i < core->settings->npeers; i++) {
        if (!bd_peer_is_local(core, i))
            continue;
        is_alone = false;
        if (core->peers[i].flags & BD_PEER_KV_OUTAGE &&
            bd_peer_heard(core, i, PEER_STATUS_FRESH_S) &&
            core->wall - core->peers[i].status_sent_wall_s < late_s)
            return true;
    }
    return is_alone;
}

static bool is_of_our_zone(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return strcmp(heartbeat->zone, core->settings->zone) == 0;
}

static bool is_within_renewal_window(const struct bd_core *core)
{
    return bd_may_renew_leases(core) && bd_is_within_renewal_window(core, core->confirmed);
}

bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->last_term && core->replica.ready && bd_autonomous_zone_active(core) &&
           !bd_forward_hears_leader(core) && is_within_renewal_window(core) &&
           is_of_our_zone(core, heartbeat) && is_cut_confirmed(core);
}

bool bd_autonomous_zone_may_begin(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->role == BD_FOLLOWER && core->last_term && is_within_renewal_window(core) &&
           is_of_our_zone(core, heartbeat) && !bd_forward_hears_leader(core) &&
           bd_seconds_between(core->confirmed, core->now) <
               AUTONOMOUS_AFTER_S + PEER_STATUS_FRESH_S;
}

/* ---- as leader ---- */

void bd_autonomous_zone_liveness_record(struct bd_core *core, const char *node, double wall_s)
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
    return core->wall - core->peers[peer].liveness_wall_s;
}

/* Brings up to date until when the controller may be cut off from the store. True: it may be now.
 * One without a record may have had one that we did not see. */
static bool update_suspicion(struct bd_core *core, int peer)
{
    struct bd_peer_view *view = &core->peers[peer];
    if (liveness_age_s(core, peer) > AUTONOMOUS_AFTER_S - clock_margin_s(core))
        view->may_be_autonomous_until = bd_time_add(core->now, bd_secs(AUTONOMOUS_MEMORY_S));
    return bd_time_is_before(core->now, view->may_be_autonomous_until);
}

/* Seconds until the controller can surely renew no more leases. */
static double renewal_left_s(const struct bd_core *core, int peer)
{
    return bd_renewal_window_s(core->settings) - liveness_age_s(core, peer) + clock_margin_s(core);
}

/* True: controllers of the zone may be renewing leases on their own now. */
static bool detect_autonomous_zone(struct bd_core *core, const char *zone)
{
    int controllers = strcmp(core->settings->zone, zone) == 0 ? 1 : 0;
    int suspects = 0;
    bool may_renew = false;
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].zone, zone) != 0)
            continue;
        controllers++;
        if (!update_suspicion(core, i))
            continue;
        suspects++;
        may_renew |= renewal_left_s(core, i) > 0;
    }
    return may_renew && (suspects >= 2 || (controllers == 1 && suspects == 1));
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
