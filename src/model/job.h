/* Jobs, as every controller knows them and as the leader serves them. */
#ifndef BD_JOB_H
#define BD_JOB_H
#include "model/task.h"
#include "wire/wire.h"
#include <time.h>
#include <uthash.h>

struct bd_dependency_edge;
struct bd_parent_job;

struct bd_spec {
    int job_class, team, image, zone; /* zone -1: any */
    uint32_t types;                   /* bits of allowed types, all set for any */
    bool any_type;
    enum bd_job_kind kind;
    enum bd_priority priority;
    double cpus, gpus, mem, image_gb, estimate, checkpoint_interval_s, checkpoint_save_s,
        deadline_s;
    bool same_zone, spread_zones, spot;
};

struct bd_job {
    UT_hash_handle hh;
    char id[BD_ID];
    uint64_t revision;
    enum bd_job_state state;
    bool stale; /* a transaction saw another revision; wait for the change itself */
    bool dirty; /* has receipts to commit */
    uint32_t ntasks, ndone, npending, nplaced, nrunning, shown_done, shown_running;
    uint64_t receipt_chunks; /* bits of chunks committed */
    uint32_t dirty_chunks;
    double at;
    struct timespec next_force;    /* when something may be stopped for it again */
    struct timespec backoff_until; /* nothing is written of it before: see kv_limits.c */
    struct timespec hold_until, last_placed_at, last_started_at;
    uint32_t restarts;                     /* tasks that lost a place they had */
    struct timespec cancellation_heard_at; /* when another controller said that it is cancelled */
    bool started;                          /* some start of it was committed in this term */
    uint32_t errors;
    uint32_t runs, longest_run; /* finished tasks seen from begin to end, and tenths of a second */
    struct bd_spec spec;
    bool has_spec, within_guaranteed_share, pinned;
    /* what it waits for, see dependency_graph.c */
    struct bd_dependency_edge *parent_edges;
    uint32_t nparent_edges, nopen_parents; /* it is ready when none is open */
    struct bd_parent_job *parent;          /* who waits for it */
    uint32_t parts; /* of its needs, some of which have not been seen; 0: complete */
    char parts_of[BD_HASH];
    bool in_dag;               /* it waits, or waited, for others: its due time is minded */
    bool cancelled_by_parent;  /* cancelled because a job before it is: its record does not say so
                                  yet */
    double ready, end;         /* by the time of day: when it could begin; when it was done */
    enum bd_priority priority; /* the highest among it and all that need it */
    double finish_by; /* when it must be done for all of them to be in time; infinite: no matter */
    struct bd_job *todo;
    int job_class;         /* -1: not known */
    json_t *record_spec;   /* the record's own text of the job, kept for rewriting */
    struct bd_task *tasks; /* only while leading */
};

struct bd_reservation {
    struct bd_job *job;
    uint32_t task;
};
#endif
