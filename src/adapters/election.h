/* Leader election by one lease: the key `leader` on a grant of the key-value store. The key's
 * revision at acquisition is the term.
 *
 * One thread owns all of the election's state. It observes the leader's key and posts what it saw
 * to the owner thread; it acquires the lease if nobody holds it, and renews it while we lead. It
 * reads node->step_down_requested and node->must_revoke_grant, which the runtime sets when the core
 * ends the term. Started by the runtime. */
#ifndef BD_ELECTION_H
#define BD_ELECTION_H

struct bd_node;

/* Starts the election's thread, once. Non-zero: no memory, or no thread. */
int bd_election_start(struct bd_node *node);
#endif
