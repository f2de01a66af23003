/* The status that this controller sends to its peers. Owns no state: the status is kept in struct
 * bd_node. Called by the event loop. */
#ifndef BD_PEER_STATUS_H
#define BD_PEER_STATUS_H

struct bd_node;

/* Updates the status frame and, as leader, the jobs' task counts at intervals, for the
 * transport's status thread to send. Owner thread only. */
void bd_peer_status_update(struct bd_node *node);
#endif
