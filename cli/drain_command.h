/* `brambledoor drain ...`: command-line client for the HTTP administration API of drains. Called
 * only by main(). */
#ifndef BD_DRAIN_COMMAND_H
#define BD_DRAIN_COMMAND_H

/* Runs the command; argv[0] is `drain`. Returns the exit status of the program: 0 success, 1
 * request refused, 2 invalid arguments, 3 no response from a controller or HTTP status 500 and
 * above. */
int drain_command(int argc, char **argv);
#endif
