/* One controller: what a program needs to run it. See cli/main.c. */
#ifndef BD_CONTROLLER_H
#define BD_CONTROLLER_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"

struct bd_node;

/* A controller that does not run yet. The settings are copied, and those that the operators left
 * open get their defaults. NULL: out of memory. */
struct bd_node *bd_controller_new(const struct bd_settings *settings, enum bd_log_level level);
/* Starts all threads and listens. 0, or -1 with the reason in the log; the process should end then.
 */
int bd_controller_start(struct bd_node *node);
/* Runs the event loop in the calling thread. Does not return. */
void bd_controller_run(struct bd_node *node);
#endif
