/* Stand-ins for the key-value store, the cloud and the workers, on loopback, written from the
 * published protocol. They keep to it only as far as the loopback test needs. */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct fake_cluster;

/* The store listens on one port for each controller, from store_port on; the workers from
 * worker_port on. `nodes`: the controllers' addresses, which must outlive it. NULL: an address is
 * taken. */
struct fake_cluster *fake_cluster_new(int store_port, int cloud_port, int worker_port,
                                      const char *const *nodes, int nnodes);
void fake_cluster_stop(struct fake_cluster *cluster);
/* what happens to a task on a worker: it runs, is stopped on command, or is lost with its machine
 */
enum fake_task_event { FAKE_TASK_RUNS, FAKE_TASK_STOPPED, FAKE_TASK_LOST };
/* Called for each, one at a time, with the lock held. */
typedef void (*fake_observer)(void *arg, enum fake_task_event event, const char *task);
void fake_set_observer(struct fake_cluster *cluster, fake_observer observer, void *arg);
/* the cloud has so many machines at once */
void fake_cloud_set_capacity(struct fake_cluster *cluster, int machines);
/* The machine dies: it is silent from now on, and stays in the cloud's list for a while. */
void fake_kill_machine(struct fake_cluster *cluster, const char *machine);
/* machines that are neither dead nor returned; their names, a space after each, into `names` */
int fake_machine_names(struct fake_cluster *cluster, char *names, size_t capacity);
/* the number of tasks that ran while another copy of them did */
int fake_duplicate_runs(struct fake_cluster *cluster);
/* starts of tasks, and tasks that run now */
int fake_starts(struct fake_cluster *cluster);
int fake_running(struct fake_cluster *cluster);
/* late copies of leaders' transactions that the store got, and how many of them applied */
int fake_store_late_copies(struct fake_cluster *cluster, int *applied);
/* starts of tasks whose job needs another that was not done */
int fake_early_starts(struct fake_cluster *cluster);
/* workers' leases that expired */
int fake_lease_expiries(struct fake_cluster *cluster);
/* from now on larger values and transactions get 400 and changes beyond the rate 429; 0: no limit.
 * refused, busy: how many did */
void fake_store_set_limits(struct fake_cluster *cluster, size_t kv_value_bytes_max,
                           size_t txn_ops_max, int write_rps);
void fake_store_rejections(struct fake_cluster *cluster, int *refused, int *busy);
/* all keys and values, to a file; false: it cannot be written */
bool fake_store_dump(struct fake_cluster *cluster, const char *path);
/* while on, the store answers 503 to everything */
void fake_store_set_down(struct fake_cluster *cluster, bool down);
/* while on, it answers 503 to this controller alone */
void fake_store_refuse(struct fake_cluster *cluster, int node, bool refused);
/* while on, this controller cannot read the jobs' records; its lease and its writes are served */
void fake_store_refuse_job_reads(struct fake_cluster *cluster, int node, bool refused);
/* of its transactions, the share that is applied while the answer is lost, and the share that
 * is applied seconds late, after newer ones; how many did */
void fake_store_lose_answers(struct fake_cluster *cluster, double lost_share, double late_share);
int fake_store_lost_answers(struct fake_cluster *cluster, int *late);
/* tasks of the job that run now */
int fake_running_of(struct fake_cluster *cluster, const char *job);
/* the controller that the leader's key names, or -1 */
int fake_store_leader(struct fake_cluster *cluster);
/* the next answers of the store are cut off in the middle of their JSON */
void fake_store_truncate_answers(struct fake_cluster *cluster, int answers);
#endif
