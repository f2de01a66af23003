/* The connections of users and workers: how long a request or an answer may take on one, and which
 * are closed to make room when almost all are in use.
 *
 * A request has a deadline from its first byte, an answer one from when it is ready. When few
 * connections are left, those without a complete request are closed, the oldest first, and those
 * that are opened then serve one request each. So health checks, heartbeats and users get through
 * whatever others send. Each connection closed is counted with its reason, see base/metrics.h.
 *
 * The API server calls the functions on its polling thread; a thread of this module watches the
 * deadlines. Lives as long as the process. */
#ifndef BD_API_CONNECTIONS_H
#define BD_API_CONNECTIONS_H
#include "base/metrics.h"
#include "brambledoor/settings.h"
#include <stdbool.h>

struct bd_connection;
struct bd_connections;

/* Starts to watch the connections, of which at most `limit` are open. Returns NULL if out of memory
 * or if the thread cannot be created. */
struct bd_connections *bd_connections_new(const struct bd_settings *settings,
                                          struct bd_metrics *metrics, unsigned limit);
/* A connection was opened; `socket` is its descriptor. Returns NULL if out of memory: it is then
 * not watched. */
struct bd_connection *bd_connection_opened(struct bd_connections *connections, int socket);
/* The connection is about to be closed. */
void bd_connection_closed(struct bd_connections *connections, struct bd_connection *connection);

/* The steps of a request; `connection` may be NULL. */

/* The request's first line was received. */
void bd_connection_request_began(struct bd_connections *connections,
                                 struct bd_connection *connection);
/* All of the request was received. */
void bd_connection_request_received(struct bd_connections *connections,
                                    struct bd_connection *connection);
/* The answer is ready to be sent. */
void bd_connection_answer_began(struct bd_connections *connections,
                                struct bd_connection *connection);
/* The answer was sent, or the request was given up. */
void bd_connection_request_ended(struct bd_connections *connections,
                                 struct bd_connection *connection);
/* Whether the connection was opened when few were left, and is to be closed after its answer. */
bool bd_connection_is_surplus(const struct bd_connection *connection);
#endif
