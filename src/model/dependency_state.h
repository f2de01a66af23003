/* Which job waits for which. */
#ifndef BD_DEPENDENCY_STATE_H
#define BD_DEPENDENCY_STATE_H
#include "model/job.h"
#include "wire/wire.h"

/* A job that others wait for; it is live, or its record has not been seen. */
struct bd_parent_job {
    UT_hash_handle hh;
    char id[BD_ID];
    struct bd_job *job;                    /* NULL: not seen */
    struct bd_dependency_edge *dependents; /* those that wait for it */
    uint32_t ndependents, left;            /* left: while ranks are worked out */
    struct timespec asked_at;              /* a refresh at its record */
};

struct bd_dependency_edge {
    struct bd_parent_job *parent; /* NULL: it is done */
    struct bd_job *job;           /* which waits */
    struct bd_dependency_edge *prev, *next;
};

struct bd_parents_part { /* names of what a job waits for, from a record of their own */
    UT_hash_handle hh;
    char key[BD_LABEL];
    json_t *names;
};

/* A submission that waits until it is known what the jobs are that it names. */
struct bd_admission {
    void *request;
    char id[BD_ID];
    struct bd_record record;
    json_t *parents;
    uint32_t lookups;
    struct bd_admission *next;
};

/* The graph of jobs that wait and those that they wait for. Owned by dependency_graph.c and
 * admission.c. */
struct bd_dependency_graph {
    struct bd_admission *accepting; /* submissions while a record that left memory is looked up */
    struct bd_parent_job *parents;  /* hash by id */
    struct bd_parents_part *parts;  /* hash by key: of jobs whose own record has not been seen */
    bool priorities_stale;          /* ranks and due times are to be worked out anew */
    uint32_t ncancelled_by_parent,
        nunseen_parents; /* jobs cancelled by derivation; prerequisites not seen */
    struct timespec next_unseen;
};
#endif
