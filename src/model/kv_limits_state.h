/* The key-value store's limits, as estimated from its responses. Changed by kv_limits.c only. */
#ifndef BD_KV_LIMITS_STATE_H
#define BD_KV_LIMITS_STATE_H
#include <stddef.h>
#include <time.h>

struct bd_kv_limits {
    size_t kv_value_bytes_max;
    size_t kv_txn_ops_max; /* changes in one transaction */
    double writes_per_s;
    struct timespec rate_exceeded_at;   /* the newest 429 */
    struct timespec rate_changed_at;    /* the last change of writes_per_s */
    struct timespec limits_rejected_at; /* the newest 400 */
    struct timespec limits_raised_at;   /* the last increase since that 400; 0: none */
    double raise_after_s;               /* time without a 400 before an increase */
};
#endif
