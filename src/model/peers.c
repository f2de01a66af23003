#include "model/peers.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include <string.h>

#define STATUS_VALID_S 3.0 /* a status is evidence of the peer's version for this time */

bool bd_peer_status_is_recent(const struct bd_core *core, int peer, double within_s)
{
    return bd_seconds_between(core->peers[peer].status_received_at, core->now) < within_s;
}

bool bd_peer_is_local(const struct bd_core *core, int peer)
{
    return strcmp(core->settings->peers[peer].zone, core->settings->zone) == 0;
}

bool bd_peer_lacks_feature(const struct bd_core *core, uint8_t flag)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        const struct bd_peer_view *peer = &core->peers[i];
        bool is_up = !bd_time_is_zero(peer->status_received_at) &&
                     bd_peer_status_is_recent(core, i, STATUS_VALID_S);
        if (is_up && !(peer->flags & flag))
            return true;
    }
    return false;
}

int bd_leader_index(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].name, core->leader_name) == 0)
            return i;
    return -1;
}
