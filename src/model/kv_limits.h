/* The key-value store's limits: initially those of the settings, then adapted to its responses.
 *
 * A transaction that the store rejects as malformed (400) was not applied. The likely cause is a
 * limit that was lowered without notice, so the next transactions are smaller. After a rejection
 * for the rate (429) the writes are slowed down. Both limits rise again with time.
 *
 * Owns core->kv_limits and the leader's write budget. Called by the core's step and by the code
 * that writes transactions or processes their outcomes. */
#ifndef BD_KV_LIMITS_H
#define BD_KV_LIMITS_H
#include "model/core_state.h"

/* Share of a value's size limit that is used, since sizes are estimates. */
#define BD_VALUE_SHARE 0.9

/* Upper bound of a value, whatever the store allows: transactions with one such value fit into a
 * request's body of 64 KiB. */
#define BD_VALUE_BYTES_MAX 49152u

/* The size limit of a value in the settings, at most BD_VALUE_BYTES_MAX. */
size_t bd_kv_limits_value_bytes(const struct bd_settings *settings);
/* Sets the limits to those of the settings. */
void bd_kv_limits_init(struct bd_core *core);
/* Lowers the size limits after a transaction was rejected as malformed (400); `what` names it in
 * the log. False: the limits are at their minimum, so the size was not the cause. */
bool bd_kv_limits_lower_after_rejection(struct bd_core *core, const char *what);
/* Raises the size limits again if there was no rejection for long enough. The leader does this at
 * each tick, a follower before it writes a user's transaction. */
void bd_kv_limits_raise_sizes(struct bd_core *core);
/* Whether the size limit of a value is below that of the settings for now. */
bool bd_kv_limits_values_are_lowered(const struct bd_core *core);
/* The number of changes that one transaction may hold now; at most what the rate allows in a
 * second, since a larger one would always exceed the rate. */
size_t bd_kv_limits_txn_ops(const struct bd_core *core);
/* Lowers the write rate after a transaction was rejected for exceeding it (429). */
void bd_kv_limits_rate_exceeded(struct bd_core *core);
/* Refills the leader's write budget for the time since the last refill. */
void bd_write_budget_refill(struct bd_core *core);
/* Blocks writes for the job for some seconds. */
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job);
#endif
