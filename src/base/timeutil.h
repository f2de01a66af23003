/* Arithmetic on instants and durations, both struct timespec with 0 <= tv_nsec < 1e9, and
 * conversion from and to seconds.
 *
 * An instant is a reading of CLOCK_MONOTONIC and has no meaning outside the process. A zero instant
 * means "never" or "not set". All functions except bd_now and bd_sleep are pure.
 */
#ifndef BD_TIMEUTIL_H
#define BD_TIMEUTIL_H
#include <stdbool.h>
#include <time.h>

/* Maximum relative difference between the rates of two monotonic clocks: twice the bound of one
 * clock. */
#define BD_CLOCK_DRIFT 0.001

/* Returns the current instant. */
struct timespec bd_now(void);
/* Converts seconds, which may be negative, to a duration. */
struct timespec bd_secs(double seconds);
/* Converts a duration to seconds. */
double bd_to_secs(struct timespec duration);
/* Returns the sum of two durations, or of an instant and a duration. */
struct timespec bd_time_add(struct timespec a, struct timespec b);
/* Returns a - b, for durations or instants; may be negative. */
struct timespec bd_time_sub(struct timespec a, struct timespec b);
/* Returns the earlier instant or the shorter duration. */
struct timespec bd_time_min(struct timespec a, struct timespec b);
/* Returns the later instant or the longer duration. */
struct timespec bd_time_max(struct timespec a, struct timespec b);
/* Whether `a` is earlier or shorter than `b`. */
bool bd_time_is_before(struct timespec a, struct timespec b);
bool bd_time_is_zero(struct timespec time);
/* Returns the seconds from `a` to `b`; negative if `b` is earlier. */
double bd_seconds_between(struct timespec a, struct timespec b);
/* Suspends the calling thread for `seconds`; a signal may wake it earlier. */
void bd_sleep(double seconds);
#endif
