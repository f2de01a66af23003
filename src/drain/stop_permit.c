/* The permit to stop tasks. A pause or a cancellation of a drain is in force once its record is
 * written, but the leader learns of it only from its next read of the records. Until then it may
 * stop no more tasks than the budgets let be down at the same time.
 *
 * Therefore tasks are stopped within a count of the budgets, on a read of the records that was sent
 * after the count. If the record was changed after that read, it was changed after the count too.
 * Every later stop then uses the same count, in which all tasks that had been told to stop are
 * down. After a stop, the next one needs a new count, and so a new read. Part of the pure core. */
#include "base/timeutil.h"
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include <stdlib.h>

#define RECORDS_VALID_S 3.0 /* stops are decided on records that were read no earlier */

void bd_stop_permit_begin_term(struct bd_core *core)
{
    struct bd_stop_permit *permit = &core->drains->stop_permit;
    permit->is_counted = permit->count_wanted = false;
    permit->counted_at = permit->records_sent_at = (struct timespec){0, 0};
}

void bd_stop_permit_free(struct bd_stop_permit *permit)
{
    free(permit->remaining);
    permit->remaining = NULL;
}

void bd_stop_permit_records_read(struct bd_core *core, struct timespec sent_at)
{
    struct bd_stop_permit *permit = &core->drains->stop_permit;
    permit->records_sent_at = bd_time_max(permit->records_sent_at, sent_at);
}

/* Whether the records were read after the budgets were counted. */
static bool is_confirmed(const struct bd_stop_permit *permit)
{
    return bd_time_is_before(permit->counted_at, permit->records_sent_at);
}

bool bd_stop_permit_is_valid(const struct bd_core *core)
{
    const struct bd_stop_permit *permit = &core->drains->stop_permit;
    return is_confirmed(permit) &&
           bd_seconds_between(permit->records_sent_at, core->now) < RECORDS_VALID_S;
}

void bd_stop_permit_renew(struct bd_core *core)
{
    struct bd_stop_permit *permit = &core->drains->stop_permit;
    if (!permit->count_wanted || !is_confirmed(permit))
        return;
    const struct bd_ledger *ledger = core->ledger;
    if (!permit->remaining)
        permit->remaining = calloc(ledger->nbudgets + 1, sizeof *permit->remaining);
    if (!permit->remaining)
        abort();
    bd_ledger_update_unresponsive(core);
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        permit->remaining[i] = bd_budget_remaining(&ledger->budgets[i]);
    permit->counted_at = core->now;
    permit->is_counted = true;
    permit->count_wanted = false;
}

enum bd_stop_verdict bd_stop_permit_check(struct bd_core *core, uint32_t budget, uint32_t tasks)
{
    struct bd_stop_permit *permit = &core->drains->stop_permit;
    if (tasks > bd_budget_remaining(&core->ledger->budgets[budget]))
        return BD_STOP_EXCEEDS_BUDGET;
    if (!permit->is_counted || tasks <= permit->remaining[budget])
        return BD_STOP_ALLOWED;
    permit->count_wanted = true;
    return BD_STOP_AWAITS_COUNT;
}

void bd_stop_permit_use(struct bd_core *core, uint32_t budget, uint32_t tasks)
{
    struct bd_stop_permit *permit = &core->drains->stop_permit;
    permit->count_wanted = true;
    if (permit->is_counted)
        permit->remaining[budget] -= tasks;
}
