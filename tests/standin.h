/* Stand-ins for the state service, the cloud and the workers, on loopback, written from the
 * published protocol. They keep to it only as far as the loopback test needs. */
#ifndef STANDIN_H
#define STANDIN_H
#include <stdbool.h>
#include <stdint.h>

struct world;

struct world *world_new(int state_port, int cloud_port, int worker_port, const char *const *nodes,
                        int nnodes);
void world_stop(struct world *w);
/* the number of tasks that ran while another copy of them did */
int world_ran_twice(struct world *w);
/* starts of tasks, and tasks that run now */
int world_starts(struct world *w);
int world_running(struct world *w);
/* late copies of leaders' transactions that the state service got, and how many of them applied */
int world_copies(struct world *w, int *applied);
/* while on, the state service answers 503 to everything */
void world_state_down(struct world *w, bool down);
/* the next answers of the state service are cut off in the middle of their JSON */
void world_state_garbles(struct world *w, int answers);
#endif
