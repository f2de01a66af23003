/* Jobs, as every controller knows them and as the leader schedules them. */
#ifndef BD_JOB_H
#define BD_JOB_H
#include "model/task.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <time.h>
#include <uthash.h>

struct bd_dependency_edge;
struct bd_parent_job;

/* What a job asks for, its names resolved by the catalog. Amounts are those of one task: cores,
 * accelerators, GB. */
struct bd_spec {
    int job_class, team, image, zone; /* team -1: not known; zone -1: any */
    uint32_t types;                   /* bits of the allowed machine types */
    bool any_type;
    enum bd_job_kind kind;
    enum bd_priority priority;
    double cpus, gpus, mem, image_gb;
    double estimate; /* seconds that a task runs, by the user's estimate */
    double checkpoint_interval_s, checkpoint_save_s, deadline_s; /* deadline < 0: none */
    bool same_zone, spread_zones, spot;
};

/* A job. Its record is applied by src/jobs/; its tasks are changed by task_state.c. */
struct bd_job {
    UT_hash_handle hh;
    char id[BD_JOB_ID_BYTES];
    uint64_t revision; /* of its record */
    enum bd_job_state state;
    bool stale; /* a transaction saw another revision: nothing is written before it is read */
    bool dirty; /* has receipts to commit */
    uint32_t ntasks, ndone, npending, nplaced, nrunning;
    uint32_t shown_done, shown_running; /* counts for users while no task is tracked */
    uint64_t receipt_chunks;            /* bits of the chunks that are committed */
    uint32_t dirty_chunks;              /* bits of the chunks to commit */
    double at;                          /* time of day of its submission */
    struct timespec next_preemption_at; /* earliest time of the next preemption for it */
    struct timespec backoff_until;      /* nothing is written of it before: see kv_limits.c */
    struct timespec hold_until;         /* not placed before: its tasks failed or were refused */
    struct timespec last_placed_at, last_started_at;
    uint32_t restarts; /* tasks that lost their reservation after a launch */
    struct timespec cancellation_announced_at; /* announced by another controller; 0: not */
    bool started;                              /* a start of it was committed in this term */
    uint32_t errors;                           /* failed tasks */
    uint32_t runs;                             /* tasks seen from start to end */
    uint32_t longest_run;                      /* of them, in tenths of a second */
    struct bd_spec spec;
    bool has_spec;
    bool within_guaranteed_share; /* in this scheduling cycle */
    bool pinned;                  /* something else points to it: not evicted */

    /* its place in the dependency graph, see dependency_graph.c */
    struct bd_dependency_edge *parent_edges; /* owned array: those that it waits for */
    uint32_t nparent_edges;
    uint32_t nopen_parents;          /* it is ready when none is open */
    struct bd_parent_job *as_parent; /* its entry as a parent; NULL: nobody waits for it */
    uint32_t parent_parts;           /* of its list of parents, not all read; 0: complete */
    char parent_parts_hash[BD_HASH_BYTES];
    bool has_had_parents;      /* it has or had parents: its deadline counts */
    bool cancelled_by_parent;  /* its own record does not say so yet */
    double ready, end;         /* time of day: when it could start; when it was done */
    enum bd_priority priority; /* the highest among its own and its dependents' */
    double finish_by;          /* time of day by which it must be done for its own and its
                                  dependents' deadlines; infinite: none */
    struct bd_job *next_work;  /* in a work list of the graph's functions */

    int job_class;         /* -1: not known */
    json_t *record_spec;   /* the job as its record has it, kept for rewriting */
    struct bd_task *tasks; /* owned; only while leading */
};

/* A task that holds resources of a machine. */
struct bd_reservation {
    struct bd_job *job;
    uint32_t task;
};
#endif
