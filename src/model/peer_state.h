/* What this controller knows of its peers, the other controllers. Changed by src/leadership/ and,
 * as to autonomous zones, by src/workers/. */
#ifndef BD_PEER_STATE_H
#define BD_PEER_STATE_H
#include <stdint.h>
#include <time.h>

struct bd_peer_view {
    /* its newest status */
    struct timespec status_received_at;
    struct timespec kv_read_at; /* when it last read the key-value store, by our steady clock */
    uint64_t term;              /* its own if it leads, else 0 */
    uint8_t flags;              /* BD_PEER_... */
    double status_sent_wall_s;  /* when it was sent, by the peer's time of day */
    /* as leader */
    double liveness_wall_s; /* its newest liveness record, by the peer's time of day */
    struct timespec may_be_autonomous_until; /* until then it may renew leases on its own */
};
#endif
