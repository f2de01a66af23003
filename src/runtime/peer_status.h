/* The status that this controller sends to its peers. Owns no state: the status is in struct
 * bd_node; called by the event loop. */
#ifndef BD_PEER_STATUS_H
#define BD_PEER_STATUS_H

struct bd_node;

/* Brings the status frame and, as leader, the jobs' counts up to date, if they are due. The
 * transport's status thread sends them. Owner thread only. */
void bd_peer_status_update(struct bd_node *node);
#endif
