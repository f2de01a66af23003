/* The dependency graph of jobs, and the submissions that wait to enter it. Changed by src/jobs/
 * only, which owns all of it. */
#ifndef BD_DEPENDENCY_STATE_H
#define BD_DEPENDENCY_STATE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* A job that others wait for. It is active, or its record has not been read. */
struct bd_parent_job {
    UT_hash_handle hh;
    char id[BD_JOB_ID_BYTES];
    struct bd_job *job;                    /* NULL: not in memory */
    struct bd_dependency_edge *dependents; /* list of the edges from those that wait for it */
    uint32_t ndependents;
    uint32_t dependents_left;       /* not processed yet, while priorities are recomputed */
    struct timespec lookup_sent_at; /* of its record; 0: none */
};

/* An edge from a waiting job to one of its parents. Stands in the waiting job's array of edges. */
struct bd_dependency_edge {
    struct bd_parent_job *parent; /* NULL: the parent is done */
    struct bd_job *job;           /* which waits */
    struct bd_dependency_edge *prev, *next;
};

/* Names of a job's parents, from a record of their own. */
struct bd_parents_part {
    UT_hash_handle hh;
    char key[BD_LABEL_BYTES]; /* JOB/HASH/NUMBER */
    json_t *names;
};

/* A submission that waits until the records of its parents are known. */
struct bd_admission {
    void *request;
    char id[BD_JOB_ID_BYTES];
    struct bd_job_record record;
    json_t *parents;  /* NULL: none */
    uint32_t lookups; /* that were sent */
    struct bd_admission *next;
};

/* The graph of jobs that wait and of those that they wait for. */
struct bd_dependency_graph {
    struct bd_admission *awaiting_lookup; /* while a parent's evicted record is looked up */
    struct bd_parent_job *parents;        /* hash by id */
    struct bd_parents_part *parts;        /* hash by key: of jobs whose list is not complete */
    bool priorities_stale;                /* priorities and finish times are to be recomputed */
    uint32_t ncancelled_by_parent;        /* jobs whose own records do not say so yet */
    uint32_t nunknown_parents;            /* parents that are not in memory */
    struct timespec next_lookup;
};
#endif
