/* Shared by controller.c, which constructs the controller, and event_loop.c, which runs it. */
#ifndef BD_CONTROLLER_INTERNAL_H
#define BD_CONTROLLER_INTERNAL_H

struct bd_node;

/* Sets the core's clocks to the current time. Owner thread only. */
void bd_controller_set_clock(struct bd_node *node);
#endif
