/* How long heartbeats may be answered after the last read of the records. An answer renews the
 * worker's lease, although a job of the worker may have been cancelled since that read. All
 * controllers that answer heartbeats keep the same bound, for direct and forwarded heartbeats: the
 * leader (while its lease is valid, and shortly after), a delegate, and a controller of an
 * autonomous zone.
 *
 *   Let window_start be the time at which the newest answered refresh was *sent*. A cancellation
 * that the controller's records do not show was confirmed at t > window_start. A heartbeat is
 * answered at window_start + window at the latest. The lease that the answer renews counts from the
 * time at which the heartbeat was sent, which is earlier. It expires lease_s plus the clock drift
 * later: before window_start + cancel_s - margin < t + cancel_s.
 *
 * A successful write, a renewal of the grant or a peer's frame does not show which jobs were
 * cancelled. Therefore a leader whose grant is renewed but whose refreshes fail stops answering,
 * just like a partitioned leader. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"

#define WINDOW_MARGIN_MAX_S 2.0     /* time for messages in flight */
#define WINDOW_MARGIN_MAX_SHARE 0.5 /* of the slack, when cancel_s is short */
#define LAUNCH_READ_AGE_MAX_S 2.0   /* no launch is based on records that were read earlier */
#define TIMER_DELAY_MAX_S 0.1

double bd_renewal_window_s(const struct bd_settings *settings)
{
    double slack_s = bd_to_secs(settings->cancellation_limit) -
                     bd_to_secs(settings->worker_lease) * (1 + BD_CLOCK_DRIFT);
    double margin_from_share_s = slack_s * WINDOW_MARGIN_MAX_SHARE;
    double margin_s =
        margin_from_share_s < WINDOW_MARGIN_MAX_S ? margin_from_share_s : WINDOW_MARGIN_MAX_S;
    return slack_s > 0 ? slack_s - margin_s : 0;
}

bool bd_is_within_renewal_window(const struct bd_core *core, struct timespec window_start)
{
    double window_s =
        bd_renewal_window_s(core->settings) * (1 - BD_CLOCK_DRIFT) - TIMER_DELAY_MAX_S;
    return !bd_time_is_zero(window_start) &&
           bd_time_is_before(core->now, bd_time_add(window_start, bd_secs(window_s)));
}

bool bd_may_renew_worker_leases(const struct bd_core *core)
{
    return bd_is_within_renewal_window(core, core->replica.refreshed_at);
}

bool bd_may_launch(const struct bd_core *core)
{
    return bd_leadership_lease_valid(core) &&
           bd_seconds_between(core->replica.refreshed_at, core->now) < LAUNCH_READ_AGE_MAX_S;
}

struct timespec bd_command_deadline(const struct bd_core *core, bool is_launch)
{
    struct timespec lease_end = core->lead.lease_valid_until;
    struct timespec launch_deadline =
        bd_time_add(core->replica.refreshed_at, bd_secs(LAUNCH_READ_AGE_MAX_S));
    return is_launch ? bd_time_min(launch_deadline, lease_end) : lease_end;
}
