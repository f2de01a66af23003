/* Connections between controllers. Each controller opens one to every peer and writes its frames to
 * it; it reads frames from those that the peers opened (peer_listener.c). No rule rests on what
 * passes here; it only makes failures shorter.
 *
 * Threads: one accepts connections and reads frames, one sends the peer status to all peers, and
 * one for each peer opens connections. Whoever has a frame for a peer appends it to the peer's
 * outbox; the owner thread writes all outboxes once after a batch of events, without blocking, so
 * that frames that belong together share a packet. */
#ifndef BD_PEER_TRANSPORT_H
#define BD_PEER_TRANSPORT_H
#include "base/metrics.h"
#include "wire/frame.h"
#include <stdbool.h>

struct bd_node;

/* Listens and starts the threads. 0, or -1. */
int bd_transport_start(struct bd_node *node);
/* Appends a frame for a peer, sent with the next flush. False: dropped, nothing will come back. */
bool bd_transport_send(struct bd_node *node, int peer, const struct bd_frame *frame);
/* Writes all outboxes, as far as the connections take it without blocking. */
void bd_transport_flush(struct bd_node *node);
#endif
