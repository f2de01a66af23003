#include "base/timeutil.h"
#include <math.h>

#define NANO 1000000000L

struct timespec bd_now(void)
{
    struct timespec t = {0, 0};
    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return t;
}

struct timespec bd_secs(double s)
{
    double whole = floor(s);
    struct timespec t = {(time_t)whole, (long)((s - whole) * 1e9)};
    return t;
}

double bd_to_secs(struct timespec t)
{
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

struct timespec bd_add(struct timespec a, struct timespec b)
{
    struct timespec t = {a.tv_sec + b.tv_sec, a.tv_nsec + b.tv_nsec};
    if (t.tv_nsec >= NANO) {
        t.tv_sec++;
        t.tv_nsec -= NANO;
    }
    return t;
}

struct timespec bd_sub(struct timespec a, struct timespec b)
{
    struct timespec t = {a.tv_sec - b.tv_sec, a.tv_nsec - b.tv_nsec};
    if (t.tv_nsec < 0) {
        t.tv_sec--;
        t.tv_nsec += NANO;
    }
    return t;
}

bool bd_before(struct timespec a, struct timespec b)
{
    return a.tv_sec < b.tv_sec || (a.tv_sec == b.tv_sec && a.tv_nsec < b.tv_nsec);
}

struct timespec bd_min(struct timespec a, struct timespec b)
{
    return bd_before(a, b) ? a : b;
}

struct timespec bd_max(struct timespec a, struct timespec b)
{
    return bd_before(a, b) ? b : a;
}

bool bd_is_zero(struct timespec a)
{
    return a.tv_sec == 0 && a.tv_nsec == 0;
}

double bd_between(struct timespec a, struct timespec b)
{
    return bd_to_secs(bd_sub(b, a));
}

void bd_pause(double s)
{
    struct timespec t = bd_secs(s);
    (void)nanosleep(&t, NULL);
}
