/* The HTTP API for users, workers and health checks.
 *
 * One polling thread of libmicrohttpd serves all connections, because a thread for each would
 * exceed the memory. A connection is suspended while the owner thread handles its request. The
 * server owns the requests and their connections; it and its thread live as long as the process.
 * Started by the runtime, which also sends the owner thread's replies. */
#ifndef BD_API_SERVER_H
#define BD_API_SERVER_H

struct bd_node;

/* Starts to listen on the settings' API address. 0, or -1: cannot listen. */
int bd_api_start(struct bd_node *node);
/* Replies to a request that was posted as an event, and resumes its connection. Takes ownership of
 * body. retry_after_s: 0 for no Retry-After header. Owner thread only. */
void bd_api_reply(struct bd_node *node, void *request, int status, char *body, int retry_after_s);
#endif
