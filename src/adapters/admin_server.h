/* The administration resources: HTTP and JSON on an address of their own. Requests are few and may
 * take seconds (the cloud's list is long), so each connection has a thread that blocks. */
#ifndef BD_ADMIN_SERVER_H
#define BD_ADMIN_SERVER_H

struct bd_node;

/* Listens, if the operators' file names an address. 0, or -1: cannot listen. */
int bd_admin_start(struct bd_node *node);
#endif
