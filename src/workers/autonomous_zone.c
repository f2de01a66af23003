/* Standing by: a follower whose whole zone is cut off from everything, the state service too, goes
 * on answering the workers of its zone, as a leader in its grace does. Without that all work there
 * would end one lease after the cut, though nothing is wrong inside.
 *
 * What makes it safe: while it is in touch, each follower writes the time of day into its own
 * record, conditional on the leader's key. It stands by from STANDBY_AFTER_S after the sending of
 * the last write that may have been carried out (its answer may be lost), for at most the grace
 * after the last that surely was: a cancellation that it cannot see still ends in time. The leader
 * reads these records with the delegates'. A controller whose newest one is old may be standing by:
 * while two of a zone may (or its only one), no lease there counts as over before the last moment
 * at which they can have answered, and a whole lease. A record that is applied late carries its own
 * time. A follower stands by only if another of its zone says, by a frame of this moment, that it
 * is cut off too: so one that crashes, or is cut off alone, delays nothing. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <string.h>

/* named defaults */
#define STICKY_S 3.0      /* a controller may be heard as cut off so long after it is back */
#define FRAME_FRESH_S 2.0 /* what another says of itself holds so long */
#define CLOCKS_S 0.3      /* for the leader's reckoning, beside the clocks' error */

static double clocks(const struct bd_core *core)
{
    return 2 * bd_to_secs(core->settings->clock_error) + CLOCKS_S;
}

void bd_liveness_written(struct bd_core *core, struct timespec sent)
{
    core->confirmed = bd_max(core->confirmed, sent);
}

void bd_liveness_sent(struct bd_core *core, struct timespec sent)
{
    core->liveness_sent = bd_max(core->liveness_sent, sent);
}

bool bd_autonomous_zone_active(const struct bd_core *core)
{
    /* a record that was written while its answer was lost shows the leader that we are in touch: it
     * would count with no answers of ours */
    return core->role == BD_FOLLOWER &&
           bd_between(bd_max(core->confirmed, core->liveness_sent), core->now) > AUTONOMOUS_AFTER_S;
}

/* Whether a controller of our zone is cut off as we are; one that is alone in its zone asks nobody.
 */
static bool zone_agrees(const struct bd_core *core)
{
    bool alone = true;
    double late = FRAME_FRESH_S + 2 * bd_to_secs(core->settings->clock_error);
    for (int i = 0; i < core->settings->npeers; i++) {
        if (!bd_peer_is_local(core, i))
            continue;
        alone = false;
        if (core->peers[i].flags & BD_PEER_KV_LOST && bd_peer_heard(core, i, FRAME_FRESH_S) &&
            core->wall - core->peers[i].status_sent_wall_s < late)
            return true;
    }
    return alone;
}

static bool zone_of_ours(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return strcmp(heartbeat->zone, core->settings->zone) == 0;
}

/* The grace, from the last sign of the state service. */
static bool in_time(const struct bd_core *core)
{
    return bd_may_renew_leases(core) && bd_within_renewal_window(core, core->confirmed);
}

bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->last_term && core->replica.ready && bd_autonomous_zone_active(core) &&
           !bd_forward_hears_leader(core) && in_time(core) && zone_of_ours(core, heartbeat) &&
           zone_agrees(core);
}

/* Whether it is worth while to let a worker wait: the cut may just have begun. */
bool bd_autonomous_zone_is_local(const struct bd_core *core, const struct bd_heartbeat *heartbeat)
{
    return core->role == BD_FOLLOWER && core->last_term && in_time(core) &&
           zone_of_ours(core, heartbeat) && !bd_forward_hears_leader(core) &&
           bd_between(core->confirmed, core->now) < AUTONOMOUS_AFTER_S + FRAME_FRESH_S;
}

/* ---- the leader's view ---- */

void bd_autonomous_zone_liveness_record(struct bd_core *core, const char *node, double at)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].name, node) == 0 && at > core->peers[i].contact)
            core->peers[i].contact = at;
}

/* Seconds from now until the controller can answer nobody any more, standing by; below 0: it does
 * not stand by, or not any more. One without a record may have had one that we have not seen. */
static double answers_for(struct bd_core *core, int peer)
{
    double age = core->wall - core->peers[peer].contact;
    if (age > AUTONOMOUS_AFTER_S - clocks(core))
        core->peers[peer].maybe_autonomous_until = bd_add(core->now, bd_secs(STICKY_S));
    if (!bd_before(core->now, core->peers[peer].maybe_autonomous_until))
        return -1;
    return bd_renewal_window_s(core->settings) - age + clocks(core);
}

/* As leader, before leases are looked at: for each zone until when workers there may have been
 * answered by controllers that stand by; zero: they are not. */
void bd_autonomous_zone_leases(struct bd_core *core, struct timespec *until)
{
    for (int z = 0; z < core->nzones; z++) {
        int here = 0, suspects = 0;
        double longest = -1;
        for (int i = 0; i < core->settings->npeers; i++) {
            if (strcmp(core->settings->peers[i].zone, core->zones[z]) != 0)
                continue;
            double s = answers_for(core, i);
            here++;
            suspects += bd_before(core->now, core->peers[i].maybe_autonomous_until);
            longest = s > longest ? s : longest;
        }
        here += strcmp(core->settings->zone, core->zones[z]) == 0;
        bool may = suspects >= 2 || (here == 1 && suspects == 1);
        until[z] = may && longest > 0 ? core->now : (struct timespec){0, 0};
    }
}

/* Until when the machine may have been answered; one whose zone is not known may be in any. */
struct timespec bd_autonomous_zone_lease_until(const struct bd_core *core,
                                               const struct bd_machine *machine,
                                               const struct timespec *until)
{
    struct timespec last = {0, 0};
    if (machine->zone >= 0)
        return until[machine->zone];
    for (int z = 0; z < core->nzones; z++)
        last = bd_max(last, until[z]);
    return last;
}
