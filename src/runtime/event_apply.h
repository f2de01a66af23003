/* Applies events to the core. */
#ifndef BD_EVENT_APPLY_H
#define BD_EVENT_APPLY_H

struct bd_event;
struct bd_node;

/* Calls the core's function for what the event says. The event stays the caller's. Owner thread
 * only. */
void bd_event_apply(struct bd_node *node, struct bd_event *event);
#endif
