/* `brambledoor drain ...`: asks a controller's administration resources. */
#ifndef BD_DRAIN_COMMAND_H
#define BD_DRAIN_COMMAND_H

/* argv[0] is the word `drain`. The program's exit status. */
int drain_command(int argc, char **argv);
#endif
