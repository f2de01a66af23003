/* The placement of one scheduling cycle; used only by the files of src/scheduling/.
 *
 * bd_cycle_place owns the struct placement_cycle that these functions share. Placing a task
 * reserves resources of its machine at once and adds an intent to the plan in core->lead.commit. */
#ifndef BD_SCHEDULING_INTERNAL_H
#define BD_SCHEDULING_INTERNAL_H
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Which machines a search may choose; see bd_type_is_expensive. */
enum bd_price_limit { BD_PRICE_CHEAP, BD_PRICE_ANY };

/* Whether tasks without GPUs may use capacity that a GPU task could use. */
enum bd_gpu_capacity { BD_GPU_CAPACITY_PROTECTED, BD_GPU_CAPACITY_SHARED };

/* Whether a machine has tasks that could be preempted or are stopping. Most machines have none; the
 * summary saves a pass over all tasks of all machines for each pending job. */
struct preemption_summary {
    uint32_t generation;              /* the cycle's generation when the summary was computed */
    enum bd_priority lowest_priority; /* of the preemptible tasks */
    bool has_preemptible, has_stopping;
    bool has_borrowed; /* a preemptible task is beyond its team's guaranteed share */
};

/* The cycle's state of one machine; indexed by the machine's index. */
struct cycle_machine {
    bool is_schedulable;
    double planned_fetch_s;      /* duration of the image fetches that this cycle's plan adds */
    double preemption_cost_s;    /* of freeing capacity for one task of the job being placed */
    struct bd_resources claimed; /* for tasks that start once others have stopped */
    struct preemption_summary preemption;
};

/* How the job that is being placed weighs machines. Penalties are in seconds of start delay. */
struct job_weights {
    bool is_expensive[BD_TYPES_MAX][2]; /* by type and spot */
    bool is_urgent;                     /* no time for an image fetch */
    double spot_penalty_s, on_demand_penalty_s;
};

struct placement_cycle {
    struct bd_core *core;
    struct bd_commit *commit;
    struct cycle_machine *machines;        /* owned; by machine index */
    size_t record_bytes, record_bytes_max; /* size of the intent records */
    uint32_t compares, compares_max;       /* comparisons in the transaction */
    uint32_t generation;                   /* incremented with each preempted task */
    int only_zone;                         /* the only zone to place tasks in; -1: any */
    bool requires_image_soon;              /* place tasks only where bd_image_is_ready_soon */
    struct job_weights weights;
};

/* Fills the plan in core->lead.commit. */
void bd_cycle_place(struct bd_core *core);

/* ---- constraints.c ---- */

/* Counts the job's tasks that hold a reservation in each zone, including those whose state is
 * unknown or that are stopping. All counts are 0 for a job without zone constraints. */
void bd_count_tasks_by_zone(struct bd_core *core, const struct bd_job *job,
                            uint32_t counts[BD_ZONES_MAX]);
/* How many more tasks of the job may be placed in the zone, up to `max_tasks`. */
uint32_t bd_zone_allowance(const struct bd_core *core, const struct bd_job *job,
                           const uint32_t *counts, int zone, uint32_t max_tasks);

/* ---- quotas.c ---- */

/* How many tasks with this spec fit into the rest of its team's quota, up to `max_tasks`. */
uint32_t bd_quota_fit_count(const struct bd_core *core, const struct bd_spec *spec,
                            uint32_t max_tasks);

/* ---- gpu_capacity.c ---- */

/* Computes core->cloud.largest_gpu_task and has_pending_gpu_work from the unfinished jobs. */
void bd_gpu_demand_update(struct bd_core *core, struct bd_job **jobs, uint32_t njobs);
/* How many tasks with this spec fit on the machine, up to `max_tasks`, without using capacity that
 * a GPU task could use. */
uint32_t bd_fit_count_beside_gpu_tasks(const struct bd_core *core, const struct bd_spec *spec,
                                       const struct bd_machine *machine, uint32_t max_tasks);
/* Whether the possible GPU work on the machine is known: the machine has no GPUs, an unfinished job
 * has GPU tasks that fit on it when empty, or services or GPU tasks run there. Until it is known,
 * the machine is not taken in place of a cheap one, because the task may harm GPU work. */
bool bd_gpu_use_is_known(const struct bd_core *core, const struct bd_machine *machine);

/* ---- machine_choice.c ---- */

/* The machine's free capacity, without what is claimed for tasks that start once others have
 * stopped. */
struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *cycle,
                                          const struct bd_machine *machine);
/* Whether cycle->only_zone permits the machine's zone. */
bool bd_zone_is_eligible(const struct placement_cycle *cycle, const struct bd_machine *machine);
/* Whether the task's image is on the machine, or will be within half a second. */
bool bd_image_is_ready_soon(const struct bd_core *core, const struct bd_spec *spec,
                            const struct bd_machine *machine);
/* Computes cycle->weights for the job. */
void bd_job_weights_update(struct placement_cycle *cycle, const struct bd_job *job);
/* The machine with the lowest cost for one task of the job; NULL: no machine is possible. */
struct bd_machine *bd_choose_machine(const struct placement_cycle *cycle, const struct bd_job *job,
                                     const uint32_t *zone_counts, enum bd_price_limit price_limit,
                                     enum bd_gpu_capacity gpu_capacity);

/* ---- plan.c ---- */

/* Plans up to `max_tasks` pending tasks of the job and returns how many were planned. */
uint32_t bd_plan_tasks(struct placement_cycle *cycle, struct bd_job *job, uint32_t max_tasks,
                       uint64_t attempt, enum bd_gpu_capacity gpu_capacity);
/* Removes the plan's entries from index first_entry on and releases their reservations. */
void bd_plan_discard(struct placement_cycle *cycle, uint32_t first_entry);

/* ---- gang_placement.c ---- */

/* Plans all tasks of the gang or none, and returns whether they were planned. If they were not, may
 * preempt other tasks for the gang. */
bool bd_place_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt);

/* ---- preemption.c ---- */

/* Whether enough time has passed since preemption last found nothing for the job. */
bool bd_preemption_is_due(const struct bd_core *core, const struct bd_job *job);
/* Defers the next preemption for the job, because the last one found nothing. */
void bd_preemption_back_off(const struct bd_core *core, struct bd_job *job);
/* Preempts other tasks for up to `max_tasks` tasks of the job and claims the capacity. Returns for
 * how many tasks capacity is free or being freed. */
uint32_t bd_preempt(struct placement_cycle *cycle, struct bd_job *job, uint32_t max_tasks,
                    enum bd_price_limit price_limit);
/* Preempts other tasks for one task, only on machines that hold its image. Returns false if there
 * is no such machine with capacity to free. */
bool bd_preempt_where_image_is_held(struct placement_cycle *cycle, struct bd_job *job);
/* Preempts other tasks for the tasks of a gang that found no capacity. Stops nothing and returns
 * false unless capacity for all of them can be freed. */
bool bd_preempt_for_gang(struct placement_cycle *cycle, struct bd_job *job,
                         uint32_t unplaced_tasks);
#endif
