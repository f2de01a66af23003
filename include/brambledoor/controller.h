/* One controller of a cluster: what a program needs to run it (see cli/main.c).
 *
 * A process runs at most one. It is constructed from settings, started, and then run in the calling
 * thread until the process ends; there is no stop, since a controller may be killed at any moment.
 */
#ifndef BD_CONTROLLER_H
#define BD_CONTROLLER_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"

/* A controller with its threads, connections and state; opaque to the program. */
struct bd_node;

/* Constructs a controller that does not run yet. The settings are copied, and those that the
 * operators left open get their defaults; `settings->draining` belongs to the controller from then
 * on. NULL: out of memory, and the settings remain the caller's. */
struct bd_node *bd_controller_new(const struct bd_settings *settings, enum bd_log_level level);
/* Starts all threads and listens on the addresses of the settings. 0, or -1 with the reason in the
 * log; the process should end then. */
int bd_controller_start(struct bd_node *node);
/* Runs the event loop of a started controller in the calling thread. Does not return. */
void bd_controller_run(struct bd_node *node);
#endif
