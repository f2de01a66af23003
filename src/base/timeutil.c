#include "base/timeutil.h"
#include <math.h>

#define NS_PER_S 1000000000L

struct timespec bd_now(void)
{
    struct timespec t = {0, 0};
    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return t;
}

struct timespec bd_secs(double seconds)
{
    double whole = floor(seconds);
    struct timespec t = {(time_t)whole, (long)((seconds - whole) * 1e9)};
    return t;
}

double bd_to_secs(struct timespec duration)
{
    return (double)duration.tv_sec + (double)duration.tv_nsec / 1e9;
}

struct timespec bd_time_add(struct timespec a, struct timespec b)
{
    struct timespec t = {a.tv_sec + b.tv_sec, a.tv_nsec + b.tv_nsec};
    if (t.tv_nsec >= NS_PER_S) {
        t.tv_sec++;
        t.tv_nsec -= NS_PER_S;
    }
    return t;
}

struct timespec bd_time_sub(struct timespec a, struct timespec b)
{
    struct timespec t = {a.tv_sec - b.tv_sec, a.tv_nsec - b.tv_nsec};
    if (t.tv_nsec < 0) {
        t.tv_sec--;
        t.tv_nsec += NS_PER_S;
    }
    return t;
}

bool bd_time_is_before(struct timespec a, struct timespec b)
{
    return a.tv_sec < b.tv_sec || (a.tv_sec == b.tv_sec && a.tv_nsec < b.tv_nsec);
}

struct timespec bd_time_min(struct timespec a, struct timespec b)
{
    return bd_time_is_before(a, b) ? a : b;
}

struct timespec bd_time_max(struct timespec a, struct timespec b)
{
    return bd_time_is_before(a, b) ? b : a;
}

bool bd_time_is_zero(struct timespec time)
{
    return time.tv_sec == 0 && time.tv_nsec == 0;
}

double bd_seconds_between(struct timespec a, struct timespec b)
{
    return bd_to_secs(bd_time_sub(b, a));
}

void bd_sleep(double seconds)
{
    struct timespec t = bd_secs(seconds);
    (void)nanosleep(&t, NULL);
}
