/* The HTTP API for users, workers and health checks.
 *
 * One polling thread of libmicrohttpd serves all connections, because a thread for each would not
 * fit the memory; a connection is suspended while the owner thread decides its request. The server
 * owns the requests and their connections; it and its thread live as long as the process. Started
 * by the runtime, which also performs the replies. */
#ifndef BD_API_SERVER_H
#define BD_API_SERVER_H

struct bd_node;

/* Starts to listen on the settings' address. 0, or -1: cannot listen. */
int bd_api_start(struct bd_node *node);
/* Replies to a request that came as an event, and resumes its connection. Takes the body over;
 * retry_after_s: 0 for none. Owner thread only. */
void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after_s);
#endif
