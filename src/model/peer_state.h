/* This controller's view of its peers, the other controllers. Changed by src/leadership/; the
 * fields on autonomous zones by src/workers/. */
#ifndef BD_PEER_STATE_H
#define BD_PEER_STATE_H
#include <stdint.h>
#include <time.h>

struct bd_peer_view {
    /* from its newest status */
    struct timespec status_received_at;
    /* when the peer last read the store, by the local monotonic clock */
    struct timespec kv_read_at;
    uint64_t term;             /* the peer's term if it leads, else 0 */
    uint8_t flags;             /* bits: BD_PEER_... */
    double status_sent_wall_s; /* when the status was sent, by the peer's time of day */
    /* used as leader */
    double liveness_wall_s; /* time of its newest liveness record, by the peer's time of day */
    struct timespec may_be_autonomous_until; /* the peer may renew leases on its own */
};
#endif
