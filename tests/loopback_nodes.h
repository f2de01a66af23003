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

struct test {
    const char *program, *old; /* old: the version in production, or NULL */
    const char *run[NODES];    /* what a node is started with */
    char dir[64], addr[NODES][32], file[NODES][128];
    char operators[NODES][128]; /* the operators' file; empty: none */
    const char *nodes[NODES];
    pid_t pid[NODES];
    struct bd_http *h;
    struct fake_cluster *cluster;
    int faults, base, older;
    int teams; /* blue, and red if they are two; 0: one */
};

/* Ports, a directory, the settings' files and the fake servers. False: not to be had. */
bool nodes_prepare(struct test *t, const char *program);
void nodes_check(struct test *t, int ok, const char *what);
/* apart: the first and the last node do not reach each other, only the one between them */
void nodes_write_settings(struct test *t, int i, int apart);
void nodes_start(struct test *t, int i);
void nodes_end(struct test *t, int i);
void nodes_again(struct test *t, int i, const char *program);
long nodes_ask(struct test *t, int node, const char *method, const char *path, const char *body,
               char *out, size_t cap);
/* the text of a submission; awaits: `,"awaits":[...]` or nothing */
char *nodes_job_after(const char *id, const char *shape, int tasks, const char *awaits);
char *nodes_job(const char *id, const char *shape, int tasks);
/* Asks until the answer holds the text, any node, for at most so long. */
int nodes_until(struct test *t, const char *path, const char *text, double seconds);
int nodes_submit_after(struct test *t, const char *id, const char *shape, int tasks,
                       const char *awaits, double seconds);
int nodes_submit(struct test *t, const char *id, const char *shape, int tasks, double seconds);
void nodes_finish(struct test *t);
#endif
