/* Fake key-value store, cloud and workers on loopback, written from the published protocol. They
 * implement only what the loopback tests need. */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct fake_cluster;

/* The store listens on one port for each controller, starting at store_port; worker i listens on
 * worker_port + i. `node_addresses` holds the controllers' addresses and must outlive the cluster.
 * Returns NULL if memory is short or a port cannot be listened on. */
struct fake_cluster *fake_cluster_new(int store_port, int cloud_port, int worker_port,
                                      const char *const *node_addresses, int nnodes);
/* Stops all servers and worker threads and frees the cluster. */
void fake_cluster_stop(struct fake_cluster *cluster);
/* STARTED and STOPPED: on a controller's command. LOST: the machine died or was returned, or its
 * lease expired. */
enum fake_task_event { FAKE_TASK_STARTED, FAKE_TASK_STOPPED, FAKE_TASK_LOST };
/* Called for each event, one at a time, with the cluster's lock held. */
typedef void (*fake_task_observer)(void *arg, enum fake_task_event event, const char *task);
void fake_set_task_observer(struct fake_cluster *cluster, fake_task_observer observer, void *arg);
/* Limits the number of machines that exist at the same time. */
void fake_cloud_set_capacity(struct fake_cluster *cluster, int machines);
/* The machine neither sends nor answers requests from now on. The cloud lists it as running for
 * another 4 s, then as failed. */
void fake_kill_machine(struct fake_cluster *cluster, const char *machine);
/* Returns the number of machines that are neither dead nor returned, and writes their names, each
 * followed by a space, to `names`. */
int fake_machine_names(struct fake_cluster *cluster, char *names, size_t capacity);
/* Starts of tasks while another worker ran the same task. */
int fake_duplicate_runs(struct fake_cluster *cluster);
int fake_task_starts(struct fake_cluster *cluster);
int fake_running_tasks(struct fake_cluster *cluster);
/* Returns how many leader transactions the store received a second time, and in `applied` how many
 * of these replays were applied. */
int fake_store_replayed_txns(struct fake_cluster *cluster, int *applied);
/* Starts of tasks whose job awaited a job that was not done. */
int fake_early_task_starts(struct fake_cluster *cluster);
int fake_lease_expiries(struct fake_cluster *cluster);
/* A transaction with more than txn_ops_max changes or a value over kv_value_bytes_max gets status
 * 400. Transactions beyond write_rps changes per second get 429. 0: no limit. */
void fake_store_set_limits(struct fake_cluster *cluster, size_t kv_value_bytes_max,
                           size_t txn_ops_max, int write_rps);
/* Returns how many transactions got status 400 and how many got 429 since the start. */
void fake_store_rejections(struct fake_cluster *cluster, int *too_large, int *rate_limited);
/* Writes all keys and values to a file as JSON. Returns false if it cannot be written. */
bool fake_store_dump(struct fake_cluster *cluster, const char *path);
/* While `is_down` is set, the store answers every request with 503. */
void fake_store_set_down(struct fake_cluster *cluster, bool is_down);
/* While `is_refused` is set, the store answers this controller with 503, and serves the others. */
void fake_store_refuse_node(struct fake_cluster *cluster, int node, bool is_refused);
/* While `is_refused` is set, this controller gets 503 when it reads job records; its lease requests
 * and writes are served. */
void fake_store_refuse_job_reads(struct fake_cluster *cluster, int node, bool is_refused);
/* Sets two shares of the transactions: those that are applied but get no response, and those that
 * get no response and are committed 2.5 s later, after newer ones. */
void fake_store_set_txn_faults(struct fake_cluster *cluster, double lost_response_share,
                               double delayed_share);
/* Returns the number of lost responses, and in `delayed_applied` how many delayed transactions were
 * applied. */
int fake_store_lost_responses(struct fake_cluster *cluster, int *delayed_applied);
int fake_running_tasks_of_job(struct fake_cluster *cluster, const char *job);
/* Returns the index of the controller that the leader key names, or -1. */
int fake_store_leader(struct fake_cluster *cluster);
/* The next `responses` responses, whether of the store or the cloud, end in the middle of their
 * JSON. */
void fake_store_truncate_responses(struct fake_cluster *cluster, int responses);
#endif
