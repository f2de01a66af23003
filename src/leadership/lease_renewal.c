/* How long heartbeats may be answered, and so workers' leases renewed, on what is known of
 * cancellations. Whoever answers (a leader with or just past its own lease, a delegate, a
 * controller of an autonomous zone; directly or forwarded) observes one bound:
 *
 *   A cancellation that our records do not show was confirmed after the newest refresh that was
 * answered was *sent*: at t > seen. An answer is given until seen + window at the latest. The lease
 * that it renews counts from the heartbeat's own sending, which came before, and has expired
 * lease_s and the clocks' drift later: before seen + cancel_s - margin < t + cancel_s.
 *
 * A write that succeeded, a renewal of the grant, a peer's frame: none of these proves what was
 * cancelled. A leader whose renewals are served while its refreshes are not stops answering just as
 * one that is partitioned does. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"

#define MARGIN_MAX_S 2.0      /* for messages in flight; */
#define MARGIN_MAX_SHARE 0.5  /* ... of the slack, where cancel_s is short */
#define LAUNCH_READ_AGE_S 2.0 /* nothing is launched on records that are older */
#define TIMER_DELAY_S 0.1

double bd_renewal_window_s(const struct bd_settings *settings)
{
    double slack_s = bd_to_secs(settings->cancellation_limit) -
                     bd_to_secs(settings->worker_lease) * (1 + BD_CLOCK_DRIFT);
    double share_s = slack_s * MARGIN_MAX_SHARE;
    double margin_s = share_s < MARGIN_MAX_S ? share_s : MARGIN_MAX_S;
    return slack_s > 0 ? slack_s - margin_s : 0;
}

bool bd_is_within_renewal_window(const struct bd_core *core, struct timespec seen)
{
    double window_s = bd_renewal_window_s(core->settings) * (1 - BD_CLOCK_DRIFT) - TIMER_DELAY_S;
    return !bd_time_is_zero(seen) &&
           bd_time_is_before(core->now, bd_time_add(seen, bd_secs(window_s)));
}

bool bd_may_renew_worker_leases(const struct bd_core *core)
{
    return bd_is_within_renewal_window(core, core->replica.refreshed_at);
}

bool bd_may_launch(const struct bd_core *core)
{
    return bd_leadership_lease_valid(core) &&
           bd_seconds_between(core->replica.refreshed_at, core->now) < LAUNCH_READ_AGE_S;
}

struct timespec bd_command_deadline(const struct bd_core *core, bool launch)
{
    struct timespec lease = core->lead.lease_valid_until;
    struct timespec records = bd_time_add(core->replica.refreshed_at, bd_secs(LAUNCH_READ_AGE_S));
    return launch ? bd_time_min(records, lease) : lease;
}
