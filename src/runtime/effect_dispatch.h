/* Hands the core's effects to the adapters, and publishes what their threads need to know of the
 * core. Owns no state; called by the event loop after each step. */
#ifndef BD_EFFECT_DISPATCH_H
#define BD_EFFECT_DISPATCH_H

struct bd_node;

/* Performs all effects that the core has emitted, in their order. Waits while an adapter's queue is
 * full, unless the effect can be refused. Owner thread only. */
void bd_effects_perform(struct bd_node *node);
#endif
