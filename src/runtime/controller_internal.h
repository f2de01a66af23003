/* Shared by the files of the controller: controller.c makes it, event_loop.c runs it. */
#ifndef BD_CONTROLLER_INTERNAL_H
#define BD_CONTROLLER_INTERNAL_H

struct bd_node;

/* Sets the core's clocks to the present time. Owner thread only. */
void bd_controller_set_clock(struct bd_node *node);
#endif
