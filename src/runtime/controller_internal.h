/* Shared by the files of this folder only. */
#ifndef BD_CONTROLLER_INTERNAL_H
#define BD_CONTROLLER_INTERNAL_H

struct bd_node;

/* Sets the core's clocks to now. */
void bd_controller_set_clock(struct bd_node *node);
#endif
