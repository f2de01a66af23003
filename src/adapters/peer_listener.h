/* The receiving side of the peer transport: accepts the peers' connections and posts their frames
 * to the owner thread.
 *
 * One thread, which lives as long as the process and alone owns the listening socket and the
 * accepted connections. Started by bd_transport_start. */
#ifndef BD_PEER_LISTENER_H
#define BD_PEER_LISTENER_H

struct bd_node;

/* Listens on the settings' peer address. 0, or -1: the address is malformed or cannot be listened
 * on (the latter is logged), out of memory, or the thread cannot be started. */
int bd_peer_listener_start(struct bd_node *node);
#endif
