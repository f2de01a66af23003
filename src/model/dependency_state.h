/* The dependency graph of jobs, and the submissions that wait to enter it. Owned by src/jobs/,
 * which alone changes it. */
#ifndef BD_DEPENDENCY_STATE_H
#define BD_DEPENDENCY_STATE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* A job that other jobs depend on. It is active, or its record has not been read. */
struct bd_parent_job {
    UT_hash_handle hh;
    char id[BD_JOB_ID_BYTES];
    struct bd_job *job;                    /* NULL: not in memory */
    struct bd_dependency_edge *dependents; /* list of the edges from the dependent jobs */
    uint32_t ndependents;
    /* while priorities are recomputed: the dependents not processed yet */
    uint32_t dependents_left;
    /* when the look-up of its record was sent; 0: none */
    struct timespec lookup_sent_at;
};

/* An edge from a job to one of its parents; an element of the job's parent_edges. */
struct bd_dependency_edge {
    /* NULL: the parent is done or cancelled, or the list of parents repeats its name */
    struct bd_parent_job *parent;
    struct bd_job *job; /* the dependent job */
    struct bd_dependency_edge *prev, *next;
};

/* Part of a job's list of parents, from a separate record. */
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
    json_t *parents; /* NULL: none */
    uint32_t lookups_sent;
    struct bd_admission *next;
};

/* The graph of jobs with open dependencies and of the jobs that they depend on. */
struct bd_dependency_graph {
    struct bd_admission *awaiting_lookup; /* submissions that need a parent's evicted record */
    struct bd_parent_job *parents;        /* hash by id */
    struct bd_parents_part *parts;        /* hash by key; of jobs whose list is incomplete */
    bool priorities_stale;                /* priorities and finish times must be recomputed */
    uint32_t nunrecorded_cancellations;   /* jobs that a parent's cancellation cancelled, but their
                                             records do not show it yet */
    uint32_t nunknown_parents;            /* parents that are not in memory */
    struct timespec next_lookup;
};
#endif
