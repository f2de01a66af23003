/* Direct commands to workers: a few threads, each with connections that it keeps.
 *
 * A worker's commands go to the same thread as long as that one is not held up, so that its
 * connection is used again. Nothing waits behind a worker that does not answer while another thread
 * is idle. */
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
/* Sockets that it may hold at once. */
int bd_worker_client_sockets(const struct bd_settings *settings);
#endif
