/* The administration API: HTTP and JSON on a separate address.
 *
 * Requests are few and may take seconds (the cloud's inventory is long), so each connection has a
 * thread that blocks. Owns its listening socket and threads, which live as long as the process.
 * Started by the runtime; docs/draining.md describes the resources. */
#ifndef BD_ADMIN_SERVER_H
#define BD_ADMIN_SERVER_H

struct bd_node;

/* Starts the server if the operators' file configures an address for it. Returns 0, or -1: out of
 * memory, or the address is malformed or cannot be listened on. */
int bd_admin_start(struct bd_node *node);
#endif
