/* Instants and durations, both as struct timespec with 0 <= tv_nsec < 1e9, and seconds as doubles.
 *
 * An instant is a reading of CLOCK_MONOTONIC; it has no meaning outside the process. A zero instant
 * stands for "never" or "not set". Pure functions, but for bd_now and bd_sleep.
 */
#ifndef BD_TIMEUTIL_H
#define BD_TIMEUTIL_H
#include <stdbool.h>
#include <time.h>

/* Share by which the rates of two monotonic clocks may differ, at most. */
#define BD_CLOCK_DRIFT 0.001

/* The present instant. */
struct timespec bd_now(void);
/* A duration of so many seconds, which may be negative. */
struct timespec bd_secs(double seconds);
/* Seconds of a duration. */
double bd_to_secs(struct timespec duration);
/* Sum of two durations, or of an instant and a duration. */
struct timespec bd_time_add(struct timespec a, struct timespec b);
/* a - b, for durations or instants; may be negative. */
struct timespec bd_time_sub(struct timespec a, struct timespec b);
/* The earlier or shorter of two. */
struct timespec bd_time_min(struct timespec a, struct timespec b);
/* The later or longer of two. */
struct timespec bd_time_max(struct timespec a, struct timespec b);
/* Whether a is earlier or shorter than b. */
bool bd_time_is_before(struct timespec a, struct timespec b);
bool bd_time_is_zero(struct timespec time);
/* Seconds from a to b; negative if b is earlier. */
double bd_seconds_between(struct timespec a, struct timespec b);
/* Suspends the calling thread for so many seconds; a signal may end it early. */
void bd_sleep(double seconds);
#endif
