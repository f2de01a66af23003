/* Direct commands to workers, sent by a pool of threads, each with its own queue and connections.
 *
 * A worker's commands go to the same thread, so that its connection is reused, unless that thread
 * has stalled on a worker that does not answer; they then go to the least busy one. Owns the
 * threads and their queues, which live as long as the process. Started and fed by the runtime. */
#ifndef BD_WORKER_CLIENT_H
#define BD_WORKER_CLIENT_H

struct bd_effect;
struct bd_node;
struct bd_settings;

/* 0, or -1: no memory or no thread could be had. */
int bd_worker_client_start(struct bd_node *node);
/* Queues a direct command. Takes the effect over; its outcome is posted as
 * BD_EVENT_DIRECT_COMMAND_COMPLETED. Owner thread only. */
void bd_worker_client_send(struct bd_node *node, struct bd_effect *effect);
/* Sockets that it may have open at once. */
int bd_worker_client_sockets_max(const struct bd_settings *settings);
#endif
