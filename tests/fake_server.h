/* Stand-ins for the state service, the cloud and the workers, on loopback, written from the
 * published protocol. They keep to it only as far as the loopback test needs. */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct world;

struct world *world_new(int state_port, int cloud_port, int worker_port, const char *const *nodes,
                        int nnodes);
void world_stop(struct world *w);
/* what happens to a task on a worker: it runs, is stopped on command, or is lost with its machine
 */
enum world_event { WORLD_RUNS, WORLD_STOPPED, WORLD_LOST };
/* calls `watch` for each, one at a time */
void world_watch(struct world *w,
                 void (*watch)(void *arg, enum world_event event, const char *task), void *arg);
/* the cloud has so many machines at once */
void world_capacity(struct world *w, int machines);
/* The machine dies: it is silent from now on, and stays in the cloud's list for a while. */
void world_kill(struct world *w, const char *machine);
/* machines that are neither dead nor returned; their names, a space after each, into `names` */
int world_machines(struct world *w, char *names, size_t cap);
/* the number of tasks that ran while another copy of them did */
int world_ran_twice(struct world *w);
/* starts of tasks, and tasks that run now */
int world_starts(struct world *w);
int world_running(struct world *w);
/* late copies of leaders' transactions that the state service got, and how many of them applied */
int world_copies(struct world *w, int *applied);
/* starts of tasks whose job needs another that was not done */
int world_too_early(struct world *w);
/* workers whose lease ran out */
int world_lapses(struct world *w);
/* from now on larger values and transactions get 400 and changes beyond the rate 429; 0: no limit.
 * refused, busy: how many did */
void world_limits(struct world *w, size_t kv_value_bytes_max, size_t ops, int write_rps);
void world_refused(struct world *w, int *refused, int *busy);
/* all keys and values, to a file; false: it cannot be written */
bool world_dump(struct world *w, const char *path);
/* while on, the state service answers 503 to everything */
void world_state_down(struct world *w, bool down);
/* while on, it answers 503 to this controller alone */
void world_state_refuses(struct world *w, int node, bool refused);
/* while on, this controller cannot read the jobs' records; its lease and its writes are served */
void world_state_blinds(struct world *w, int node, bool blind);
/* of its transactions, the share that is carried out while the answer is lost, and the share that
 * is carried out seconds late, after newer ones; how many did */
void world_state_loses(struct world *w, double lost_share, double late_share);
int world_lost(struct world *w, int *late);
/* tasks of the job that run now */
int world_running_of(struct world *w, const char *job);
/* the controller that the leader's key names, or -1 */
int world_leader(struct world *w);
/* the next answers of the state service are cut off in the middle of their JSON */
void world_state_garbles(struct world *w, int answers);
#endif
