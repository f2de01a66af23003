/* Connections between controllers. Each controller opens one to every peer and writes its frames to
 * it; it reads frames from those that the peers opened (peer_listener.c). Correctness never depends
 * on these frames: they shorten outages.
 *
 * Threads, which live as long as the process: one accepts connections and reads frames, one sends
 * the peer status to all peers, and one for each peer opens connections. Any thread may append a
 * frame to a peer's outbox; the owner thread writes all outboxes once after a batch of events,
 * without blocking, so that the frames of a batch share a packet.
 *
 * Owns the links of struct bd_node, and makes its status_lock. Started and used by the runtime. */
#ifndef BD_PEER_TRANSPORT_H
#define BD_PEER_TRANSPORT_H
#include <stdbool.h>

struct bd_frame;
struct bd_node;

/* Listens and starts the threads. 0, or -1: cannot listen, no memory or no thread. */
int bd_transport_start(struct bd_node *node);
/* Appends a frame to the outbox of a peer, an index into the settings' peers; it is sent with the
 * next flush. False: it was dropped, since there is no connection or the outbox is full. */
bool bd_transport_send(struct bd_node *node, int peer, const struct bd_frame *frame);
/* Writes all outboxes, as far as that is possible without blocking. */
void bd_transport_flush(struct bd_node *node);
#endif
