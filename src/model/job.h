/* Jobs: their records, which every controller keeps, and their scheduling state in the leader. */
#ifndef BD_JOB_H
#define BD_JOB_H
#include "model/task.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <time.h>
#include <uthash.h>

struct bd_dependency_edge;
struct bd_parent_job;
struct bd_task_table;

/* A job's specification, with its names resolved by the catalog. Amounts are per task, in cores,
 * accelerators and GB. */
struct bd_spec {
    int job_class, team, image, zone; /* team -1: unknown; zone -1: any */
    uint32_t types;                   /* bit set of the allowed machine types */
    bool any_type;
    enum bd_job_kind kind;
    enum bd_priority priority;
    double cpus, gpus, mem_gb, image_gb;
    double estimate_s; /* the user's estimate of a task's run time */
    double checkpoint_interval_s, checkpoint_save_s, deadline_s; /* deadline_s < 0: none */
    bool same_zone, spread_zones, spot;
};

/* A job. src/jobs/ applies its record; task_state.c changes its tasks. */
struct bd_job {
    UT_hash_handle hh;
    char id[BD_JOB_ID_BYTES];
    uint64_t revision; /* of the job's record */
    enum bd_job_state state;
    /* A transaction found another revision of the record. Nothing is written for the job until the
     * record has been read again. */
    bool record_stale;
    bool dirty; /* has receipts or its done record to commit */
    uint32_t ntasks, ndone, npending, nplaced, nrunning;
    /* counts that users are shown while the tasks are not tracked */
    uint32_t reported_done, reported_running;
    uint64_t receipt_chunks;            /* bit set of the chunks with a committed receipt */
    uint32_t dirty_chunks;              /* bit set of the chunks to commit */
    double submitted_at;                /* time of day, in seconds */
    struct timespec next_preemption_at; /* no preemption for the job before this time */
    struct timespec backoff_until;      /* no write for the job before this time: see kv_limits.c */
    /* No task is placed before this time: tasks of the job failed or were refused. */
    struct timespec placement_backoff_until;
    struct timespec last_placed_at, last_started_at;
    uint32_t reservations_lost; /* released after the intent was committed, except on completion */
    /* when another controller announced the job's cancellation; 0: never */
    struct timespec cancellation_announced_at;
    bool start_committed;        /* the start of a task was committed in this term */
    uint32_t failed_tasks;       /* task exits with an error */
    uint32_t finished_runs;      /* tasks whose start and end were both seen */
    uint32_t longest_run_tenths; /* the longest finished run, in tenths of a second */
    struct bd_spec spec;
    bool has_spec;
    bool is_within_guaranteed_share; /* in this scheduling cycle */
    bool pinned;                     /* still needed, or referenced elsewhere: not evicted */

    /* the job in the dependency graph, see dependency_graph.c */
    struct bd_dependency_edge *parent_edges; /* owned array: edges to the jobs it depends on */
    uint32_t nparent_edges;
    uint32_t nopen_parents;          /* 0: the job is ready */
    struct bd_parent_job *as_parent; /* its entry as a parent; NULL: no job depends on it */
    uint32_t parent_parts;           /* parts of its list of parents if not all are read, else 0 */
    char parent_parts_hash[BD_HASH_BYTES];
    bool has_had_parents;      /* has or had parents, so its deadline counts */
    bool cancelled_by_parent;  /* but its own record does not show it yet */
    double ready_at, ended_at; /* time of day, in seconds: when it could start; when it ended */
    enum bd_priority priority; /* the highest of its own and its dependents' */
    /* time of day, in seconds, by which it must end for its own and its dependents' deadlines;
     * infinite: none */
    double finish_by;
    struct bd_job *next_in_work_list; /* next in a work list of the graph's functions */

    int job_class;       /* -1: unknown */
    json_t *record_spec; /* the specification as read from the record, kept for rewriting it */
    struct bd_task_table *tasks; /* owned; NULL while not tracked, as on followers */
};

/* A task that reserves resources of a machine. */
struct bd_reservation {
    struct bd_job *job;
    struct bd_task *task; /* its record, which stays in place as long as the reservation */
};
#endif
