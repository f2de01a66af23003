#include "model/kv_limits.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"

#define TXN_OPS_MIN 2u       /* the commit sequence and one change */
#define VALUE_BYTES_MIN 512u /* holds a record of a done job, or an intent of a few tasks */
#define WRITES_PER_S_MIN 4.0

#define RATE_CUT_FACTOR 0.8     /* for each 429 */
#define RATE_CUT_INTERVAL_S 1.0 /* minimum time between two cuts */
#define RATE_RAISE_AFTER_S 10.0 /* time without a 429 */
#define RATE_RAISE_INTERVAL_S 1.0
#define RATE_RAISE_FACTOR 1.01

/* Time without a 400 before the sizes are raised; doubled each time that a 400 soon follows a
 * raise. */
#define SIZE_RAISE_AFTER_MIN_S 60.0
#define SIZE_RAISE_AFTER_MAX_S 3600.0
#define SIZE_RAISE_INTERVAL_S 10.0 /* between two raises */

#define LEADER_SHARE 0.6 /* of the store's write rate; the rest is for users' requests */

#define BACKOFF_MIN_S 1.0
/* Number of different back-off times, one second apart, over which jobs are spread. */
#define BACKOFF_STEPS 8

size_t bd_kv_limits_value_bytes(const struct bd_settings *settings)
{
    size_t bytes = settings->kv_value_bytes_max;
    return bytes < BD_VALUE_BYTES_MAX ? bytes : BD_VALUE_BYTES_MAX;
}

void bd_kv_limits_init(struct bd_core *core)
{
    core->kv_limits.kv_value_bytes_max = bd_kv_limits_value_bytes(core->settings);
    core->kv_limits.kv_txn_ops_max = core->settings->kv_txn_ops_max;
    core->kv_limits.writes_per_s = core->settings->kv_writes_per_s;
    core->kv_limits.raise_after_s = SIZE_RAISE_AFTER_MIN_S;
}

/* ---- sizes ---- */

static size_t lowered(size_t limit, size_t min)
{
    size_t next = limit - limit / 3;
    if (next > min)
        return next;
    return limit < min ? limit : min;
}

static size_t raised(size_t limit, size_t max)
{
    size_t next = limit + limit / 3 + 1;
    return next < max ? next : max;
}

bool bd_kv_limits_lower_after_rejection(struct bd_core *core, const char *what)
{
    struct bd_kv_limits *limits = &core->kv_limits;
    const struct bd_kv_limits before = *limits;
    bool raised_recently =
        !bd_time_is_zero(before.limits_raised_at) &&
        bd_seconds_between(before.limits_raised_at, core->now) < SIZE_RAISE_AFTER_MIN_S;
    if (raised_recently && before.raise_after_s < SIZE_RAISE_AFTER_MAX_S)
        limits->raise_after_s = 2 * before.raise_after_s;
    limits->limits_raised_at = (struct timespec){0, 0};
    limits->limits_rejected_at = core->now;
    limits->kv_value_bytes_max = lowered(before.kv_value_bytes_max, VALUE_BYTES_MIN);
    limits->kv_txn_ops_max = lowered(before.kv_txn_ops_max, TXN_OPS_MIN);
    bd_log_write(core->log, BD_LOG_ERROR,
                 "key-value store rejected %s as malformed; limits now %zu bytes a value and %zu "
                 "changes",
                 what, limits->kv_value_bytes_max, limits->kv_txn_ops_max);
    return limits->kv_value_bytes_max < before.kv_value_bytes_max ||
           limits->kv_txn_ops_max < before.kv_txn_ops_max;
}

bool bd_kv_limits_values_are_lowered(const struct bd_core *core)
{
    return core->kv_limits.kv_value_bytes_max < bd_kv_limits_value_bytes(core->settings);
}

size_t bd_kv_limits_txn_ops(const struct bd_core *core)
{
    size_t ops_per_s = (size_t)core->kv_limits.writes_per_s;
    size_t ops = core->kv_limits.kv_txn_ops_max;
    if (ops_per_s < ops)
        ops = ops_per_s;
    return ops < TXN_OPS_MIN ? TXN_OPS_MIN : ops;
}

static bool may_raise_sizes(const struct bd_core *core)
{
    const struct bd_kv_limits *limits = &core->kv_limits;
    const struct bd_settings *settings = core->settings;
    if (limits->kv_value_bytes_max >= bd_kv_limits_value_bytes(settings) &&
        limits->kv_txn_ops_max >= settings->kv_txn_ops_max)
        return false;
    if (bd_seconds_between(limits->limits_rejected_at, core->now) < limits->raise_after_s)
        return false;
    return bd_time_is_zero(limits->limits_raised_at) ||
           bd_seconds_between(limits->limits_raised_at, core->now) >= SIZE_RAISE_INTERVAL_S;
}

/* The store may have raised its limit again, or a rejection may have had another cause. A raise too
 * far costs one rejected transaction, which is planned again. */
void bd_kv_limits_raise_sizes(struct bd_core *core)
{
    struct bd_kv_limits *limits = &core->kv_limits;
    const struct bd_settings *settings = core->settings;
    if (!may_raise_sizes(core))
        return;
    limits->limits_raised_at = core->now;
    limits->kv_value_bytes_max =
        raised(limits->kv_value_bytes_max, bd_kv_limits_value_bytes(settings));
    limits->kv_txn_ops_max = raised(limits->kv_txn_ops_max, settings->kv_txn_ops_max);
    bd_log_write(core->log, BD_LOG_INFO,
                 "key-value limits raised to values of %zu bytes and %zu changes",
                 limits->kv_value_bytes_max, limits->kv_txn_ops_max);
}

/* ---- rate ---- */

void bd_kv_limits_rate_exceeded(struct bd_core *core)
{
    struct bd_kv_limits *limits = &core->kv_limits;
    if (bd_seconds_between(limits->rate_exceeded_at, core->now) < RATE_CUT_INTERVAL_S &&
        !bd_time_is_zero(limits->rate_exceeded_at))
        return;
    limits->rate_exceeded_at = limits->rate_changed_at = core->now;
    limits->writes_per_s *= RATE_CUT_FACTOR;
    if (limits->writes_per_s < WRITES_PER_S_MIN)
        limits->writes_per_s = WRITES_PER_S_MIN;
    if (core->lead.write_budget > 0)
        core->lead.write_budget = 0;
    bd_log_write(core->log, BD_LOG_INFO,
                 "key-value store's write rate exceeded; lowered to %.1f changes/s",
                 limits->writes_per_s);
}

static void raise_rate(struct bd_core *core)
{
    struct bd_kv_limits *limits = &core->kv_limits;
    double max = core->settings->kv_writes_per_s;
    if (limits->writes_per_s >= max ||
        bd_seconds_between(limits->rate_exceeded_at, core->now) < RATE_RAISE_AFTER_S ||
        bd_seconds_between(limits->rate_changed_at, core->now) < RATE_RAISE_INTERVAL_S)
        return;
    limits->rate_changed_at = core->now;
    limits->writes_per_s *= RATE_RAISE_FACTOR;
    if (limits->writes_per_s > max)
        limits->writes_per_s = max;
}

void bd_write_budget_refill(struct bd_core *core)
{
    double rate = core->kv_limits.writes_per_s * LEADER_SHARE;
    bd_kv_limits_raise_sizes(core);
    raise_rate(core);
    core->lead.write_budget += rate * bd_seconds_between(core->lead.write_budget_at, core->now);
    if (core->lead.write_budget > rate)
        core->lead.write_budget = rate;
    core->lead.write_budget_at = core->now;
}

/* For the jobs of a rejected transaction that cannot be made smaller. The back-off times differ, so
 * that the job at fault does not make the transactions of the others fail forever. */
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job)
{
    double spread_s = (double)(job->revision % BACKOFF_STEPS);
    job->backoff_until = bd_time_add(core->now, bd_secs(BACKOFF_MIN_S + spread_s));
}
