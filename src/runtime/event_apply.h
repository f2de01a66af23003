/* Applies events to the core: reads what they carry, and calls the function of the core that is for
 * them. Owns no state; called by the event loop. */
#ifndef BD_EVENT_APPLY_H
#define BD_EVENT_APPLY_H

struct bd_event;
struct bd_node;

/* Applies one event, which stays the caller's: any but LEADERSHIP_ACQUIRED, which the event loop
 * defers. Owner thread only. */
void bd_event_apply(struct bd_node *node, const struct bd_event *event);
#endif
