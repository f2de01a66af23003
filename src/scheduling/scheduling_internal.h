/* Shared by the files of scheduling/ only: the placement of one scheduling cycle.
 *
 * bd_cycle_place makes a struct placement_cycle, hands it to every function here and frees it.
 * Placing a task reserves its machine at once and adds an intent to the plan of
 * core->lead.commit. */
#ifndef BD_SCHEDULING_INTERNAL_H
#define BD_SCHEDULING_INTERNAL_H
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Which machines a search may take. */
enum bd_price_limit { BD_PRICE_CHEAP, BD_PRICE_ANY };

/* Whether work without GPUs may take capacity that a GPU task could use. */
enum bd_gpu_capacity { BD_GPU_CAPACITY_PROTECTED, BD_GPU_CAPACITY_SHARED };

/* What could be preempted on a machine, in sum. Most machines have nothing of the kind, and this
 * saves going through every task of every machine for every pending job. */
struct preemption_summary {
    uint32_t generation; /* the cycle's generation when this was summed up */
    enum bd_priority lowest_priority;
    bool has_preemptible, has_stopping;
    bool has_borrowed; /* beyond its team's guaranteed share */
};

/* What the cycle knows of a machine, by the machine's index. */
struct cycle_machine {
    bool is_schedulable;
    double planned_fetch_s;      /* image fetches that this cycle's plans add */
    double preemption_cost_s;    /* of freeing capacity for the job that is being placed */
    struct bd_resources claimed; /* for tasks that wait there until others have stopped */
    struct preemption_summary preemption;
};

/* What decides between machines for the job that is being placed; penalties in seconds of later
 * start. */
struct job_weights {
    bool is_expensive[BD_TYPES_MAX][2]; /* by type and spot */
    bool is_urgent;                     /* its objectives leave no time for an image fetch */
    double spot_penalty_s, on_demand_penalty_s;
};

struct placement_cycle {
    struct bd_core *core;
    struct bd_commit *commit;
    struct cycle_machine *machines;
    size_t record_bytes, record_bytes_max; /* of the intent records */
    uint32_t compares, compares_max;       /* of the transaction */
    uint32_t generation;                   /* rises with each preempted task */
    int only_zone;                         /* -1: any */
    bool only_near_image;                  /* only where the image needs no long fetch */
    struct job_weights weights;
};

/* Fills the plan of core->lead.commit. */
void bd_cycle_place(struct bd_core *core);

/* ---- constraints.c ---- */

/* Tasks of the job in each zone, with those whose state is unknown or that are stopping. All 0 for
 * a job without constraints on zones. */
void bd_count_tasks_by_zone(struct bd_core *core, const struct bd_job *job,
                            uint32_t counts[BD_ZONES_MAX]);
/* How many more tasks of the job may go to the zone, up to `most`. */
uint32_t bd_zone_allowance(const struct bd_core *core, const struct bd_job *job,
                           const uint32_t *counts, int zone, uint32_t most);

/* ---- quotas.c ---- */

/* How many such tasks the team's quota leaves free now, up to `most`. */
uint32_t bd_free_quota(const struct bd_core *core, const struct bd_spec *spec, uint32_t most);

/* ---- gpu_capacity.c ---- */

/* Works out core->cloud.largest_gpu_task and gpu_waiting from the unfinished jobs. */
void bd_gpu_demand_update(struct bd_core *core, struct bd_job **jobs, uint32_t njobs);
/* How many such tasks may go to the machine, up to `most`, without taking capacity that a GPU task
 * could use. */
uint32_t bd_tasks_beside_gpu_work(const struct bd_core *core, const struct bd_spec *spec,
                                  const struct bd_machine *machine, uint32_t most);
/* Whether it is known what GPU work could run on the machine. */
bool bd_gpu_use_is_known(const struct bd_core *core, const struct bd_machine *machine);

/* ---- machine_choice.c ---- */

/* Free capacity that is not claimed for a task that waits there. */
struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *cycle,
                                          const struct bd_machine *machine);
/* Whether the search is open to the machine's zone. */
bool bd_zone_is_open(const struct placement_cycle *cycle, const struct bd_machine *machine);
/* Whether the task's image is on the machine, or will be in less than half a second. */
bool bd_image_is_near(const struct bd_core *core, const struct bd_spec *spec,
                      const struct bd_machine *machine);
/* Works out cycle->weights for the job. */
void bd_job_weights_update(struct placement_cycle *cycle, const struct bd_job *job);
/* The machine that is best for one task of the job; NULL: none has capacity. */
struct bd_machine *bd_choose_machine(const struct placement_cycle *cycle, const struct bd_job *job,
                                     const uint32_t *zone_counts, enum bd_price_limit price_limit,
                                     enum bd_gpu_capacity gpu_capacity);

/* ---- plan.c ---- */

/* Plans up to `most` pending tasks of the job; returns how many were planned. */
uint32_t bd_plan_tasks(struct placement_cycle *cycle, struct bd_job *job, uint32_t most,
                       uint64_t attempt, enum bd_gpu_capacity gpu_capacity);
/* Takes back the plan's entries from this index on. */
void bd_plan_discard(struct placement_cycle *cycle, uint32_t from);

/* ---- gang_placement.c ---- */

/* Plans the whole gang or nothing of it; where that fails, may preempt for it. */
bool bd_place_gang(struct placement_cycle *cycle, struct bd_job *job, uint64_t attempt);

/* ---- preemption.c ---- */

/* Whether enough time has passed since preemption last found nothing for the job. */
bool bd_preemption_is_due(const struct bd_core *core, const struct bd_job *job);
/* Preemption found nothing for the job: not again for a while. */
void bd_preemption_back_off(const struct bd_core *core, struct bd_job *job);
/* Preempts for up to n tasks of the job and claims their capacity; returns for how many tasks
 * capacity is free or being freed. */
uint32_t bd_preempt(struct placement_cycle *cycle, struct bd_job *job, uint32_t n,
                    enum bd_price_limit price_limit);
/* ... for one task, only on machines that hold its image. False: nowhere. */
bool bd_preempt_beside_image(struct placement_cycle *cycle, struct bd_job *job);
/* Preempts for the tasks that a gang lacks. Nothing is stopped unless capacity for all of them can
 * be had; false: it cannot. */
bool bd_preempt_for_gang(struct placement_cycle *cycle, struct bd_job *job, uint32_t lacking);
#endif
