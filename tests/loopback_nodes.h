/* Three real controllers over loopback against the fake store, cloud and workers: their settings,
 * processes and users' requests. */
#ifndef LOOPBACK_NODES_H
#define LOOPBACK_NODES_H
#include "base/http.h"
#include "fake_server.h"
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#define NODES 3
#define CANCEL_S 20.0       /* the setting cancel_s */
#define PEER_PORT_OFFSET 10 /* from the first port; one port for each node */

struct loopback {
    const char *program, *older_program; /* older: the version in production, or NULL */
    const char *node_programs[NODES];    /* NULL: `program` */
    char dir[64], settings_file[NODES][128];
    char operators_file[NODES][128];   /* empty: none */
    char addr[NODES][32];              /* for users and workers */
    const char *node_addresses[NODES]; /* pointers into addr, for the fakes */
    pid_t pid[NODES];                  /* 0: not running */
    struct bd_http *client;
    struct fake_cluster *cluster;
    int failures, first_port;
    int unexpected_responses; /* neither 503 nor an allowed state */
    int nteams;               /* 0 or 1: blue; 2: blue and red */
};

/* Reserves ports, writes the settings files to a temporary directory and starts the fakes. Returns
 * false if one of these steps fails. */
bool nodes_prepare(struct loopback *test, const char *program);
/* Kills all nodes, stops the fakes and removes the files that nodes_prepare created. */
void nodes_finish(struct loopback *test);
/* Prints the result of a check and counts a failure if `ok` is 0. */
void nodes_check(struct loopback *test, int ok, const char *description);

/* is_partitioned: the first and the last node can connect to the middle node but not to each other.
 */
void nodes_write_settings(struct loopback *test, int node, int is_partitioned);
void nodes_start(struct loopback *test, int node);
void nodes_kill(struct loopback *test, int node);
/* Starts a node, which must not be running, with this program. Later calls of nodes_start use
 * this program too. NULL: the program under test. */
void nodes_start_program(struct loopback *test, int node, const char *program);

/* Sends one HTTP request to an address. Returns the status, or 0 if there was no response. Unless
 * `out` is NULL, it receives the response body, cut off at `capacity`. */
long nodes_request_address(struct loopback *test, const char *address, const char *method,
                           const char *path, const char *body, double timeout_s, char *out,
                           size_t capacity);
/* Like nodes_request_address, but to a node's address for users and workers. */
long nodes_request(struct loopback *test, int node, const char *method, const char *path,
                   const char *body, char *out, size_t capacity);
/* The JSON of a submission, in a static buffer. awaits_field: `,"awaits":[...]` or empty. */
char *nodes_dependent_submission(const char *id, const char *shape, int tasks,
                                 const char *awaits_field);
char *nodes_submission(const char *id, const char *shape, int tasks);
/* Submits to one node after the other until one accepts the job. Returns 0 if none does in time. */
int nodes_submit_dependent(struct loopback *test, const char *id, const char *shape, int tasks,
                           const char *awaits_field, double seconds);
int nodes_submit(struct loopback *test, const char *id, const char *shape, int tasks,
                 double seconds);

/* Requests the path from one node after the other until a response contains the text. Returns 0 if
 * none does in time. */
int nodes_wait_for(struct loopback *test, const char *path, const char *text, double seconds);
/* Requests the path from each node until its response contains the text. Returns false if not all
 * responses do in time. */
bool nodes_wait_for_all(struct loopback *test, const char *path, const char *text, double seconds);
/* Waits until at least `tasks` tasks run, `seconds` at most. */
void nodes_wait_for_running_tasks(struct loopback *test, int tasks, double seconds);
#endif
