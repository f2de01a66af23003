/* The interface by which a program runs one controller of a cluster (see cli/main.c).
 *
 * A process runs at most one controller. It is constructed from settings, started, and then run in
 * the calling thread until the process ends. There is no function that stops it, since a controller
 * may be killed at any time. */
#ifndef BD_CONTROLLER_H
#define BD_CONTROLLER_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"

/* A controller with its threads, connections and state; opaque to the program. */
struct bd_node;

/* Constructs a controller that does not run yet. Copies the settings, sets the defaults of those
 * that the operators have not set, and takes ownership of `settings->draining`. Returns NULL if out
 * of memory; the caller then still owns `settings->draining`. */
struct bd_node *bd_controller_new(const struct bd_settings *settings, enum bd_log_level level);
/* Starts all threads and listens on the addresses of the settings. Returns 0, or -1 after writing
 * the reason to the log; the process should then exit. */
int bd_controller_start(struct bd_node *node);
/* Runs the event loop of a started controller in the calling thread. Does not return. */
void bd_controller_run(struct bd_node *node);
#endif
