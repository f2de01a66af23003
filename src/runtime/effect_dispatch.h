/* Hands the core's effects to the adapters. */
#ifndef BD_EFFECT_DISPATCH_H
#define BD_EFFECT_DISPATCH_H

struct bd_node;

/* Performs all effects that the core has emitted. Owner thread only. */
void bd_effects_perform(struct bd_node *node);
#endif
