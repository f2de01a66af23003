/* `brambledoor drain ...`: the administrators' client of a controller's HTTP resources for drains.
 * Called by main() alone. */
#ifndef BD_DRAIN_COMMAND_H
#define BD_DRAIN_COMMAND_H

/* Runs the command; argv[0] is the word `drain`. Returns the program's exit status: 0 done, 1
 * refused, 2 wrong arguments, 3 no controller was reached. */
int drain_command(int argc, char **argv);
#endif
