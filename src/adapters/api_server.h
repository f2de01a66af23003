/* HTTP for users, workers and health checks.
 *
 * One polling thread of libmicrohttpd; a connection is suspended while the owner thread decides,
 * since a thread for each connection would not fit the machine's memory. */
#ifndef BD_API_SERVER_H
#define BD_API_SERVER_H

struct bd_node;

/* Starts to listen on the settings' address. 0, or -1: it cannot. */
int bd_api_start(struct bd_node *node);
/* Replies to a request that came as an event, and resumes its connection. Takes the body over;
 * retry_after in seconds, 0: none. Owner thread only. */
void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after);
#endif
