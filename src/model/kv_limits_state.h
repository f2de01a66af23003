/* The state service's limits as its answers have shown them so far. */
#ifndef BD_KV_LIMITS_STATE_H
#define BD_KV_LIMITS_STATE_H
#include <stddef.h>
#include <time.h>

struct bd_kv_limits { /* the state service's, as its answers have shown them so far */
    size_t kv_value_bytes_max, kv_txn_ops_max;
    double write_rps;
    struct timespec busy_at, raised_at;
    struct timespec refused_at, grown_at; /* the newest 400, and the last step up again */
    double grow_after;                    /* seconds without a 400 before a step */
};
#endif
