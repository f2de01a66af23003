/* What the peers' statuses show: the other controllers, as this one knows them.
 *
 * Reads core->peers, whose owner peer_state.h names. Called by jobs/, leadership/ and workers/. A
 * peer is named by its index in the settings. */
#ifndef BD_PEERS_H
#define BD_PEERS_H
#include "model/core_state.h"
#include <stdbool.h>
#include <stdint.h>

/* Whether a status of the peer came within so many seconds. */
bool bd_peer_status_is_recent(const struct bd_core *core, int peer, double within_s);
/* Whether the peer is in our own zone. */
bool bd_peer_is_local(const struct bd_core *core, int peer);
/* Whether a peer is up whose newest status lacks the flag: one of an older version. */
bool bd_peer_lacks_feature(const struct bd_core *core, uint8_t flag);
/* The leader's index among the peers; -1: we lead, or nobody does. */
int bd_leader_index(const struct bd_core *core);
#endif
