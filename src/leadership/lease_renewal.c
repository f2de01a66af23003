/* How long check-ins may be answered, and so workers' leases renewed, on what is known of
 * cancellations. Whoever answers (a valid leader, one in its grace, a delegate, a controller
 * standing by; directly, forwarded or relayed) keeps to one bound:
 *
 *   A cancellation that our view does not show was confirmed after the newest refresh of the
 * records that was answered was *sent*: at t > seen. An answer is given until seen + grace at the
 * latest. The lease that it renews counts from the report's own sending, which came before, and is
 * over lease_s and the clocks' drift later: before seen + cancel_s - margin < t + cancel_s.
 *
 * A write that succeeded, a renewal of the grant, a frame of another controller: none of these
 * proves what was cancelled. A leader whose renewals are served while its refreshes are not falls
 * silent as one that is cut off does. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"

/* named defaults */
#define MARGIN_S 2.0     /* for what is on its way; */
#define MARGIN_SHARE 0.5 /* ... no more than this share where cancel_s is short */
#define KNOWN_S 2.0      /* nothing is started on a view that is older */
#define TIMER_S 0.1

/* How long after the sending of the last answered refresh answers may be given. A new leader counts
 * with it too: all controllers must come to the same figure. */
double bd_renewal_window_s(const struct bd_settings *settings)
{
    double slack =
        bd_to_secs(settings->cancel) - bd_to_secs(settings->lease) * (1 + BD_CLOCK_DRIFT);
    double margin = slack * MARGIN_SHARE < MARGIN_S ? slack * MARGIN_SHARE : MARGIN_S;
    return slack > 0 ? slack - margin : 0;
}

bool bd_within_renewal_window(const struct bd_core *core, struct timespec seen)
{
    double s = bd_renewal_window_s(core->settings) * (1 - BD_CLOCK_DRIFT) - TIMER_S;
    return !bd_is_zero(seen) && bd_before(core->now, bd_add(seen, bd_secs(s)));
}

/* Whether a cancellation that we do not know of still ends in time if we answer now. */
bool bd_may_renew_leases(const struct bd_core *core)
{
    return bd_within_renewal_window(core, core->replica.refreshed_at);
}

/* A launch is repeated until its task is seen; not while the job may be cancelled for long. */
bool bd_may_launch(const struct bd_core *core)
{
    return bd_leadership_lease_valid(core) &&
           bd_between(core->replica.refreshed_at, core->now) < KNOWN_S;
}

/* A direct command waits in a queue before it is sent, perhaps behind machines that do not answer:
 * whoever sends it asks again then. Until this moment the right by which it was decided holds. */
struct timespec bd_command_deadline(const struct bd_core *core, bool launch)
{
    struct timespec until = core->lead.valid_until;
    struct timespec known = bd_add(core->replica.refreshed_at, bd_secs(KNOWN_S));
    return launch && bd_before(known, until) ? known : until;
}
