/* Connections between controllers. Each controller opens a connection to every peer and sends its
 * frames on it. Frames are received on the connections that the peers opened (peer_listener.c).
 * Correctness never depends on these frames: they only shorten outages.
 *
 * Threads, which live as long as the process: one accepts connections and reads frames, one sends
 * the peer status to all peers, and one for each peer opens connections. Any thread may append a
 * frame to a peer's outbox; the owner thread writes all outboxes once after a batch of events,
 * without blocking, so that the frames of a batch share a packet and no other thread has to wake.
 *
 * Owns the links of struct bd_node, and initializes its status_lock. Started and used by the
 * runtime. */
#ifndef BD_PEER_TRANSPORT_H
#define BD_PEER_TRANSPORT_H
#include <stdbool.h>

struct bd_frame;
struct bd_node;

/* Listens and starts the threads. 0, or -1: cannot listen, out of memory, or a thread cannot be
 * started. */
int bd_transport_start(struct bd_node *node);
/* Appends a frame to a peer's outbox, to be sent with the next flush. peer: index into the
 * settings' peers. False: the frame was dropped, because there is no connection, the outbox is
 * full, or memory is exhausted. */
bool bd_transport_send(struct bd_node *node, int peer, const struct bd_frame *frame);
/* Writes as much of all outboxes as is possible without blocking. */
void bd_transport_flush(struct bd_node *node);
#endif
