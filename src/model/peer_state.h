/* What this controller knows of its peers, the other controllers. Changed by src/leadership/ and,
 * as to autonomous zones, by src/workers/. */
#ifndef BD_PEER_STATE_H
#define BD_PEER_STATE_H
#include <stdint.h>
#include <time.h>

/* Another controller. */
struct bd_peer_view {
    struct timespec heard, kv_seen_at;
    uint64_t term;
    uint8_t flags;
    double status_sent_wall_s;              /* when it said so, by its time of day */
    double contact;                         /* as leader: its newest record, by its time of day */
    struct timespec maybe_autonomous_until; /* as leader: it may be standing by */
};
#endif
