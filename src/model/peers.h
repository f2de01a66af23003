/* Questions about the other controllers, from what they said of themselves. */
#ifndef BD_PEERS_H
#define BD_PEERS_H
#include "model/core_state.h"
#include <stdbool.h>
#include <stdint.h>

/* Whether the peer was heard within so many seconds. */
bool bd_peer_heard(const struct bd_core *core, int peer, double within_s);
/* Whether the peer is in our own zone. */
bool bd_peer_is_local(const struct bd_core *core, int peer);
/* Whether a controller is heard whose status lacks the flag: one of a version before it. */
bool bd_peer_lacks_feature(const struct bd_core *core, uint8_t flag);
/* The leader's index among the peers; -1: we lead, or nobody does. */
int bd_leader_index(const struct bd_core *core);
#endif
