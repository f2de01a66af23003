/* Queries on the statuses of the peers, the other controllers.
 *
 * Reads core->peers; peer_state.h names its owners. Called by drain/, jobs/, leadership/ and
 * workers/. A peer is identified by its index in the settings. */
#ifndef BD_PEERS_H
#define BD_PEERS_H
#include "model/core_state.h"
#include <stdbool.h>
#include <stdint.h>

/* Whether a status of the peer was received within the last within_s seconds. */
bool bd_peer_status_is_recent(const struct bd_core *core, int peer, double within_s);
/* Whether the peer is in this controller's zone. */
bool bd_peer_is_local(const struct bd_core *core, int peer);
/* Whether some peer that is up lacks the flag in its newest status, so it runs an older version. */
bool bd_peer_lacks_feature(const struct bd_core *core, uint8_t flag);
/* The leader's index among the peers; -1: this controller leads, or none does. */
int bd_leader_index(const struct bd_core *core);
#endif
