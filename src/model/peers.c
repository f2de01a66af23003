#include "model/peers.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include <string.h>

#define STATUS_FRESH_S 3.0 /* a peer's status tells its version for so long */

bool bd_peer_heard(const struct bd_core *core, int peer, double within_s)
{
    return bd_between(core->peers[peer].heard, core->now) < within_s;
}

bool bd_peer_is_local(const struct bd_core *core, int peer)
{
    return strcmp(core->settings->peers[peer].zone, core->settings->zone) == 0;
}

bool bd_peer_lacks_feature(const struct bd_core *core, uint8_t flag)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, STATUS_FRESH_S) && !bd_is_zero(core->peers[i].heard) &&
            !(core->peers[i].flags & flag))
            return true;
    return false;
}

int bd_leader_index(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].name, core->leader_name) == 0)
            return i;
    return -1;
}
