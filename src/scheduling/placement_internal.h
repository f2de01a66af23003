/* Shared by the parts of placement: one round of it. */
#ifndef BD_PLACEMENT_INTERNAL_H
#define BD_PLACEMENT_INTERNAL_H
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"

#define EPS 1e-6

/* What could be stopped on a machine, in sum: most machines have nothing of the kind, and to look
 * at every task of every machine for every job that waits takes most of a round at a thousand
 * machines. */
struct stops {
    uint32_t stamp; /* of the round's count of stops when this was summed up */
    enum bd_priority lowest_priority;
    bool any, stopping, borrowed;
};

struct placement_cycle {
    struct bd_core *core;
    struct bd_commit *k;
    struct bd_job **jobs;
    uint32_t njobs;
    size_t bytes, most_bytes;
    uint32_t compares, compares_max;
    struct stops *stops;          /* by machine */
    double *fetch;                /* by machine: seconds of fetching that this round's plans add */
    double *cost;                 /* by machine: of making room for the job that is being placed */
    uint32_t nstops;              /* tasks stopped in this round, and one more */
    struct bd_resources *claimed; /* by machine: room that waits for tasks being stopped */
    int only_zone;                /* -1: any */
    bool quick;                   /* only where no long fetch comes first */
    bool *open;                   /* by machine: new work may come to it */
    bool expensive[BD_MAX_TYPES][2]; /* for the job that is being placed */
    bool urgent;                     /* its aims leave it no time for a fetch */
    double spot_lost;                /* what a spot one costs it that an ordinary one would not */
    double not_spot; /* what an ordinary machine costs it that a spot one would not */
};
/* Fills the plan of core->lead.commit. */
void bd_cycle_place(struct bd_core *core);
struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *r,
                                          const struct bd_machine *machine);
void bd_zone_counts(struct bd_core *core, const struct bd_job *job, uint32_t *n);
uint32_t bd_zone_left(const struct bd_core *core, const struct bd_job *job, const uint32_t *n,
                      int z, uint32_t most);
double bd_place_cost(const struct placement_cycle *d, const struct bd_spec *spec,
                     const struct bd_machine *machine, struct bd_resources r, bool harm);
bool bd_zone_open(const struct placement_cycle *r, const struct bd_machine *machine);
bool bd_quick_there(const struct bd_core *core, const struct bd_spec *spec,
                    const struct bd_machine *machine);
bool bd_stoppable(const struct bd_job *job, const struct bd_task *task);
void bd_stop_costs(struct placement_cycle *r, const struct bd_job *job, const uint32_t *zones,
                   bool only_cheap, bool with_image);
bool bd_vacate(struct placement_cycle *r, struct bd_job *job, uint32_t *zones, bool only_cheap);
uint32_t bd_preempt(struct placement_cycle *r, struct bd_job *job, uint32_t n, bool only_cheap);
bool bd_preempt_gang(struct placement_cycle *r, struct bd_job *job, uint32_t lacking);
#endif
