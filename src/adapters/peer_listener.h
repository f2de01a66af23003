/* Frames from the peers: accepts their connections and posts whole frames to the owner thread.
 *
 * One thread, which alone owns the connections that came in. */
#ifndef BD_PEER_LISTENER_H
#define BD_PEER_LISTENER_H

struct bd_node;

/* Listens on the settings' peer address. 0, or -1 with the reason in the log. */
int bd_peer_listener_start(struct bd_node *node);
#endif
