/* The administration API: HTTP and JSON on an address of its own.
 *
 * Requests are few and may take seconds (the cloud's inventory is long), so each connection has a
 * thread that blocks. Owns its listening socket and threads, which live as long as the process.
 * Started by the runtime; docs/draining.md describes the resources. */
#ifndef BD_ADMIN_SERVER_H
#define BD_ADMIN_SERVER_H

struct bd_node;

/* Listens, if the operators' file names an address. 0, or -1: cannot listen. */
int bd_admin_start(struct bd_node *node);
#endif
