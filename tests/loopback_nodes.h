/* Three real controllers over loopback, for the tests that use them: their settings, starts and
 * ends, and what users ask of them. */
#ifndef LOOPBACK_NODES_H
#define LOOPBACK_NODES_H
#include "base/http.h"
#include "fake_server.h"
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#define NODES 3
#define CANCEL_S 20.0 /* as in the settings */

struct loopback {
    const char *program, *older_program; /* older: the version in production, or NULL */
    const char *started_program[NODES];  /* what a node is started with; NULL: the program */
    char dir[64], settings_file[NODES][128];
    char operators_file[NODES][128]; /* empty: none */
    char addr[NODES][32];
    const char *nodes[NODES]; /* the same, for the stand-ins */
    pid_t pid[NODES];         /* 0: it does not run */
    struct bd_http *client;
    struct fake_cluster *cluster;
    int faults, first_port;
    int stale_answers;
    int teams; /* blue, and red if they are two; 0: one */
};

/* Reserves ports, writes the settings into a directory and starts the stand-ins. False: one of them
 * is not to be had. */
bool nodes_prepare(struct loopback *test, const char *program);
/* Ends all nodes and frees what nodes_prepare made. */
void nodes_finish(struct loopback *test);
/* Prints what was checked, and counts a fault if it does not hold. */
void nodes_check(struct loopback *test, int ok, const char *what);

/* apart: the first and the last node do not reach each other, only the one between them */
void nodes_write_settings(struct loopback *test, int i, int apart);
void nodes_start(struct loopback *test, int i);
void nodes_kill(struct loopback *test, int i);
/* Starts a node with this program from now on; NULL: the program under test. */
void nodes_restart(struct loopback *test, int i, const char *program);

/* One HTTP call to an address. Returns the status, 0 without an answer; the answer's text goes into
 * `out`, if that is not NULL. */
long nodes_call(struct loopback *test, const char *address, const char *method, const char *path,
                const char *body, double timeout_s, char *out, size_t capacity);
/* As nodes_call, to a node's address for users and workers. */
long nodes_ask(struct loopback *test, int node, const char *method, const char *path,
               const char *body, char *out, size_t capacity);
/* The text of a submission in a static buffer; awaits: `,"awaits":[...]` or nothing. */
char *nodes_submission_after(const char *id, const char *shape, int tasks, const char *awaits);
char *nodes_submission(const char *id, const char *shape, int tasks);
int nodes_submit_after(struct loopback *test, const char *id, const char *shape, int tasks,
                       const char *awaits, double seconds);
int nodes_submit(struct loopback *test, const char *id, const char *shape, int tasks,
                 double seconds);

/* Asks one node after the other until an answer contains the text, for at most so long. */
int nodes_wait_for(struct loopback *test, const char *path, const char *text, double seconds);
/* ... until each node's answer did */
bool nodes_all_wait_for(struct loopback *test, const char *path, const char *text, double seconds);
/* Until at least so many tasks run, for at most so long. */
void nodes_wait_running(struct loopback *test, int tasks, double seconds);
#endif
