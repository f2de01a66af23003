/* Sends direct commands to workers from a pool of threads, each with its own queue and connections.
 *
 * A worker's commands go to the same thread, so that its connection is reused: in a burst of short
 * tasks, opening connections costs the leader more than all other work. If that thread is stalled
 * by a worker that does not answer, or its queue is full, the commands go to the least busy thread.
 * Owns the threads and their queues, which live as long as the process. Started and used by
 * the runtime. */
#ifndef BD_WORKER_CLIENT_H
#define BD_WORKER_CLIENT_H

struct bd_effect;
struct bd_node;
struct bd_settings;

/* Starts the threads. 0, or -1: out of memory, or a thread cannot be started. */
int bd_worker_client_start(struct bd_node *node);
/* Queues a direct command. Takes ownership of the effect. The outcome is posted as
 * BD_EVENT_DIRECT_COMMAND_COMPLETED. Owner thread only. */
void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect);
/* The most sockets that the threads keep open at once. */
int bd_worker_client_sockets_max(const struct bd_settings *settings);
#endif
