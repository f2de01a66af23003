/* Passes the core's effects to the adapters, and publishes the core's state that their threads
 * read. Owns no state; called by the event loop after each step. */
#ifndef BD_EFFECT_DISPATCH_H
#define BD_EFFECT_DISPATCH_H

struct bd_node;

/* Performs all effects that the core has emitted, in order. Waits while an adapter's queue is full,
 * unless the effect can be refused. Owner thread only. */
void bd_effects_perform(struct bd_node *node);
#endif
