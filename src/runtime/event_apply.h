/* Applies events to the core: decodes the content of an event and calls the core's function for it.
 * Owns no state; called by the event loop. */
#ifndef BD_EVENT_APPLY_H
#define BD_EVENT_APPLY_H

struct bd_event;
struct bd_node;

/* Applies one event, which the caller keeps. Not for BD_EVENT_LEADERSHIP_ACQUIRED, which the event
 * loop defers. Owner thread only. */
void bd_event_apply(struct bd_node *node, const struct bd_event *event);
#endif
