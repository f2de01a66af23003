/* The state service's limits as we know them: the settings' at first, then what its answers teach.
 * A transaction that it calls malformed (400) was not applied; the likely cause is a limit that was
 * lowered without notice, so the next ones are smaller. One beyond the rate (429) comes later. */
#include "model/kv_limits.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"

/* named defaults */
#define OPS_MIN 2u     /* the commit sequence and one change */
#define VALUE_MIN 512u /* a done record and an intent of a few tasks fit */
#define RATE_MIN 4.0
#define BUSY_SHARE 0.8    /* of the rate is left after a 429, */
#define BUSY_S 1.0        /* at most once in this time; */
#define CALM_S 10.0       /* after so long without one it rises again, */
#define RISE 1.01         /* by this a second */
#define GROW_AFTER_S 60.0 /* after so long without a 400 values and transactions grow again, */
#define GROW_MAX_S 3600.0 /* ... after twice as long each time that was too much, up to this */
#define GROW_EVERY_S 10.0 /* between two steps */
#define WRITE_SHARE 0.6   /* of the state service's changes; the rest is the users' */
#define BACKOFF_S 1.0     /* what may be malformed itself rests so long, and up to 8 s more */

void bd_kv_limits_init(struct bd_core *core)
{
    core->kv_limits.kv_value_bytes_max = core->settings->kv_value_bytes_max;
    core->kv_limits.kv_txn_ops_max = core->settings->kv_txn_ops_max;
    core->kv_limits.write_rps = core->settings->kv_writes_per_s;
    core->kv_limits.grow_after = GROW_AFTER_S;
}

static size_t smaller(size_t now, size_t least)
{
    size_t n = now - now / 3;
    return n > least ? n : now < least ? now : least;
}

/* False: they are as small as can be already, so that the size was not the reason. */
bool bd_kv_limits_rejected(struct bd_core *core, const char *what)
{
    struct bd_kv_limits was = core->kv_limits;
    bool tried = !bd_is_zero(was.grown_at) && bd_between(was.grown_at, core->now) < GROW_AFTER_S;
    if (tried && was.grow_after < GROW_MAX_S)
        core->kv_limits.grow_after = 2 * was.grow_after;
    core->kv_limits.grown_at = (struct timespec){0, 0};
    core->kv_limits.refused_at = core->now;
    core->kv_limits.kv_value_bytes_max = smaller(was.kv_value_bytes_max, VALUE_MIN);
    core->kv_limits.kv_txn_ops_max = smaller(was.kv_txn_ops_max, OPS_MIN);
    bd_log_write(core->log, BD_LOG_ERROR,
                 "the key-value store rejects %s: values of at most %zu bytes and %zu changes from "
                 "now on",
                 what, core->kv_limits.kv_value_bytes_max, core->kv_limits.kv_txn_ops_max);
    return core->kv_limits.kv_value_bytes_max < was.kv_value_bytes_max ||
           core->kv_limits.kv_txn_ops_max < was.kv_txn_ops_max;
}

/* Changes that one transaction may hold: no more than the rate takes in a second, or it never goes
 * through. */
size_t bd_kv_limits_txn_ops(const struct bd_core *core)
{
    size_t rate = (size_t)core->kv_limits.write_rps;
    size_t n = core->kv_limits.kv_txn_ops_max < rate ? core->kv_limits.kv_txn_ops_max : rate;
    return n < OPS_MIN ? OPS_MIN : n;
}

void bd_kv_rate_exceeded(struct bd_core *core)
{
    if (bd_between(core->kv_limits.busy_at, core->now) < BUSY_S &&
        !bd_is_zero(core->kv_limits.busy_at))
        return;
    core->kv_limits.busy_at = core->kv_limits.raised_at = core->now;
    core->kv_limits.write_rps = core->kv_limits.write_rps * BUSY_SHARE;
    if (core->kv_limits.write_rps < RATE_MIN)
        core->kv_limits.write_rps = RATE_MIN;
    if (core->lead.write_budget > 0)
        core->lead.write_budget = 0;
    bd_log_write(core->log, BD_LOG_INFO,
                 "the key-value store's rate is exceeded: %.1f changes a second",
                 core->kv_limits.write_rps);
}

static size_t larger(size_t now, size_t most)
{
    size_t n = now + now / 3 + 1;
    return n < most ? n : most;
}

/* What was lowered may have been raised again, and what was called malformed may have been so for
 * another reason. A step too far costs one refused transaction, which is decided anew. */
static void grow(struct bd_core *core)
{
    struct bd_kv_limits *l = &core->kv_limits;
    if ((l->kv_value_bytes_max >= core->settings->kv_value_bytes_max &&
         l->kv_txn_ops_max >= core->settings->kv_txn_ops_max) ||
        bd_between(l->refused_at, core->now) < l->grow_after ||
        (!bd_is_zero(l->grown_at) && bd_between(l->grown_at, core->now) < GROW_EVERY_S))
        return;
    l->grown_at = core->now;
    l->kv_value_bytes_max = larger(l->kv_value_bytes_max, core->settings->kv_value_bytes_max);
    l->kv_txn_ops_max = larger(l->kv_txn_ops_max, core->settings->kv_txn_ops_max);
    bd_log_write(core->log, BD_LOG_INFO, "raises the limits to values of %zu bytes and %zu changes",
                 l->kv_value_bytes_max, l->kv_txn_ops_max);
}

void bd_kv_limits_tick(struct bd_core *core)
{
    grow(core);
    if (core->kv_limits.write_rps >= core->settings->kv_writes_per_s ||
        bd_between(core->kv_limits.busy_at, core->now) < CALM_S ||
        bd_between(core->kv_limits.raised_at, core->now) < 1.0)
        return;
    core->kv_limits.raised_at = core->now;
    core->kv_limits.write_rps *= RISE;
    if (core->kv_limits.write_rps > core->settings->kv_writes_per_s)
        core->kv_limits.write_rps = core->settings->kv_writes_per_s;
}

/* What was in a transaction that no smaller one replaces: each job rests for a time of its own, so
 * that the one at fault does not take the others with it for ever. */
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job)
{
    job->backoff_until = bd_add(core->now, bd_secs(BACKOFF_S + (double)(job->revision % 8)));
}

void bd_write_budget_refill(struct bd_core *core)
{
    double rate = core->kv_limits.write_rps * WRITE_SHARE;
    bd_kv_limits_tick(core);
    core->lead.write_budget += rate * bd_between(core->lead.write_budget_at, core->now);
    if (core->lead.write_budget > rate)
        core->lead.write_budget = rate;
    core->lead.write_budget_at = core->now;
}
