/* Leader election by one lease: the key `leader` in the key-value store, written on a grant. The
 * key's revision at acquisition is the term.
 *
 * The election's thread owns all of its state. The thread observes the leader's key and posts the
 * key to the owner thread. If no node holds the lease, the thread acquires it, and renews it while
 * this node leads. The thread reads node->step_down_requested and node->must_revoke_grant, which
 * the runtime sets when the core ends the term. Started by the runtime. */
#ifndef BD_ELECTION_H
#define BD_ELECTION_H

struct bd_node;

/* Starts the election's thread, once. Non-zero: out of memory, or the thread cannot be started. */
int bd_election_start(struct bd_node *node);
#endif
