/* Random graphs of dependent jobs: the state of one run, a small store, one machine, and the model
 * that the answers are compared with. graphs.c executes the runs. */
#ifndef BD_TESTS_GRAPHS_H
#define BD_TESTS_GRAPHS_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "core/core.h"
#include "model/effect.h"
#include "wire/wire.h"
#include <gsl/gsl_rng.h>
#include <jansson.h>

#define JOBS 160
#define PARENTS_MAX 5
#define NODES 2
#define TASKS 600 /* tasks that the machine runs or remembers */

enum graph_request_kind { GRAPH_SUBMIT, GRAPH_QUERY, GRAPH_CANCEL };

struct graph_request { /* a user's request; the core requires that `remote` is first */
    struct bd_request_origin remote;
    enum graph_request_kind kind;
    int job;
};

struct graph_key {
    char name[96];
    json_t *value;
    uint64_t revision;
};

struct graph_job {
    bool are_parents_drawn; /* at the first submission */
    bool is_accepted;
    bool is_reported_cancelled; /* to a user */
    int parents[PARENTS_MAX], nparents;
};

struct graph_task {
    char name[64];
    uint64_t attempt;
    bool is_used, has_exited, was_stopped;
};

struct graph_run {
    struct bd_settings settings[NODES];
    struct bd_log log;
    struct bd_core *cores[NODES];
    struct bd_effect *pending_commit[NODES]; /* the leader's unanswered transaction; NULL: none */
    gsl_rng *rng;
    struct graph_key keys[4 * JOBS + 4000];
    int nkeys, leader, violations;
    int jobs_done, cancelled_answers;
    uint64_t store_revision, refreshed_revision[NODES], heartbeat_seq, fencing_token;
    double now_s; /* simulated time since the start */
    struct graph_job jobs[JOBS];
    struct graph_task tasks[TASKS];
    unsigned long seed;
};

/* A random number from 0 to n - 1. */
unsigned graph_random(struct graph_run *run, unsigned n);
void graph_init_settings(struct bd_settings *settings, int node);

/* graphs_store.c */
struct graph_key *graph_find_key(struct graph_run *run, const char *name);
void graph_set_key(struct graph_run *run, const char *name, json_t *value);
/* Applies a transaction. Returns 200, or 409 and the keys whose conditions failed. The caller frees
 * `failed`. */
long graph_apply(struct graph_run *run, const char *body, json_t **failed);

/* graphs_model.c: reports and counts violations */
void graph_check_start(struct graph_run *run, const char *task);
/* Frees the request. */
void graph_check_answer(struct graph_run *run, struct graph_request *request, int status,
                        const char *body);
void graph_check_end(struct graph_run *run);

/* graphs_machine.c */
void graph_execute_commands(struct graph_run *run, const char *body);
/* Writes the machine's heartbeat. `tasks` has room for TASKS entries. */
void graph_fill_heartbeat(struct graph_run *run, struct bd_heartbeat *heartbeat,
                          struct bd_reported_task *tasks);
void graph_end_some_tasks(struct graph_run *run, unsigned one_in);

/* graphs_large.c: returns the number of violations */
int graph_check_large(void);
#endif
