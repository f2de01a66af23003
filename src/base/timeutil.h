/* Instants and durations, both as struct timespec. */
#ifndef BD_TIMEUTIL_H
#define BD_TIMEUTIL_H
#include <stdbool.h>
#include <time.h>

#define BD_CLOCK_DRIFT 0.001 /* share by which two steady clocks may differ, at most */

struct timespec bd_now(void);
struct timespec bd_secs(double s);
double bd_to_secs(struct timespec t);
struct timespec bd_add(struct timespec a, struct timespec b);
struct timespec bd_sub(struct timespec a, struct timespec b);
struct timespec bd_min(struct timespec a, struct timespec b);
struct timespec bd_max(struct timespec a, struct timespec b);
bool bd_before(struct timespec a, struct timespec b);
bool bd_is_zero(struct timespec a);
/* seconds from a to b, may be negative */
double bd_between(struct timespec a, struct timespec b);
void bd_pause(double s);
#endif
