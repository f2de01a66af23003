/* The key-value store's limits: the settings' at first, then what its answers teach. */
#ifndef BD_KV_LIMITS_H
#define BD_KV_LIMITS_H
#include "model/core_state.h"

#define BD_VALUE_SHARE 0.9 /* of a value's limit that is used, since sizes are estimates */

void bd_kv_limits_init(struct bd_core *core);
/* A transaction was rejected as malformed (400). False: not for a limit that could be lower. */
bool bd_kv_limits_rejected(struct bd_core *core, const char *what);
/* Changes that a transaction may hold now. */
size_t bd_kv_limits_txn_ops(const struct bd_core *core);
/* A transaction was refused since the rate is used up (429). */
void bd_kv_rate_exceeded(struct bd_core *core);
void bd_kv_limits_tick(struct bd_core *core);
/* Refills the leader's budget of changes for the time that has passed. */
void bd_write_budget_refill(struct bd_core *core);
/* Nothing is written of the job for a while. */
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job);
#endif
