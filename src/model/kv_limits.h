/* The key-value store's limits: those of the settings at first, then what its answers teach.
 *
 * A transaction that the store calls malformed (400) was not applied; the likely cause is a limit
 * that was lowered without notice, so the next ones are smaller. After one beyond the rate (429)
 * the next ones come more slowly. Both rise again with time.
 *
 * Owns core->kv_limits, and the leader's write budget. Called by the core's step, and by those who
 * write or learn a transaction's outcome. */
#ifndef BD_KV_LIMITS_H
#define BD_KV_LIMITS_H
#include "model/core_state.h"

#define BD_VALUE_SHARE 0.9 /* of a value's limit that is used, since sizes are estimates */

/* Starts with the limits of the settings. */
void bd_kv_limits_init(struct bd_core *core);
/* A transaction was rejected as malformed (400); `what` names it in the log. False: the limits are
 * as low as can be, so that the size was not the reason. */
bool bd_kv_limits_rejected(struct bd_core *core, const char *what);
/* How many changes one transaction may hold now: no more than the rate allows in a second. */
size_t bd_kv_limits_txn_ops(const struct bd_core *core);
/* A transaction was rejected since the rate is used up (429). */
void bd_kv_limits_rate_exceeded(struct bd_core *core);
/* Refills the leader's budget of changes for the time that has passed. */
void bd_write_budget_refill(struct bd_core *core);
/* Nothing is written of the job for some seconds. */
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job);
#endif
