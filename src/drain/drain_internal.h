/* Shared by the files of the drain package only. */
#ifndef BD_DRAIN_INTERNAL_H
#define BD_DRAIN_INTERNAL_H
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "wire/wire.h"
#include <roaring/roaring.h>
#include <uthash.h>

/* ---- candidate.c ---- */

/* Tasks that a step would stop, by budget. */
struct bd_need {
    uint32_t budget, tasks;
    uint32_t largest; /* of those that can only stop together: a gang, or a task */
};

#define BD_NEEDS_MAX 64 /* budgets that one machine's tasks draw on */

/* A machine that could be in the next step. */
struct bd_candidate {
    struct bd_drain_machine *entry;
    struct bd_machine *machine;
    int zone;
    struct bd_need needs[BD_NEEDS_MAX];
    uint32_t nneeds, tasks;
    struct bd_resources moves; /* what its tasks take, in sum */
};

/* Fills the candidate's needs. False: they are too many. */
bool bd_candidate_fill(struct bd_core *core, struct bd_candidate *candidate);
/* A machine with more of a team's tasks than the team ever bears at once is emptied by and by: it
 * then needs the team's whole budget to begin. */
void bd_candidate_clip(const struct bd_core *core, struct bd_candidate *candidate);
/* Whether stopping the task would take something down. One that is down but has been launched may
 * run by now: stopping it would keep it down by our doing, so that it counts like one that is up.
 */
bool bd_candidate_stoppable(const struct bd_job *job, uint32_t i);
/* How many tasks go down with this one: a gang stops as a whole, wherever its tasks are. */
uint32_t bd_candidate_falls(struct bd_core *core, const struct bd_job *job, uint32_t task);

/* Free room on the machines that new work may come to. */
struct bd_bins {
    struct bd_bin {
        struct bd_machine *machine;
        struct bd_resources capacity;
    } * bins;
    uint32_t n;
};
void bd_bins_fill(struct bd_core *core, struct bd_bins *bins);
void bd_bins_free(struct bd_bins *bins);
struct bd_resources bd_bins_total(const struct bd_bins *bins);
/* Takes room for all that would move; false: there is not enough, and nothing is taken. */
bool bd_bins_take(struct bd_bins *bins, const struct bd_candidate *candidate);

/* ---- steps.c, solver.c ---- */

/* Which machines go next: the candidates, and what limits the choice. */
struct bd_step_problem {
    const struct bd_candidate *candidates;
    uint32_t n;
    const uint32_t *left; /* by budget */
    uint32_t nbudgets;
    uint32_t most; /* machines */
    struct bd_resources capacity;
    const bool (*apart)[BD_MAX_ZONES]; /* zones that may not drain together */
    bool zone_used[BD_MAX_ZONES];      /* a machine of it is in a step */
};

/* Why a machine was not chosen. */
enum bd_drain_wait bd_step_obstacle(const struct bd_step_problem *problem,
                                    const struct bd_candidate *candidate, uint32_t *budget);
/* Sets the numbers of the chosen candidates; the set is empty before. */
void bd_steps_greedy(const struct bd_step_problem *given, roaring_bitmap_t *chosen);
/* The same as an integer program; false: given up, out of time or size. */
bool bd_steps_solve(const struct bd_step_problem *problem, roaring_bitmap_t *chosen);
/* Takes one candidate into the step. */
void bd_step_take(struct bd_step_problem *problem, uint32_t *left,
                  const struct bd_candidate *candidate);

/* ---- drain.c ---- */

struct bd_drain_part { /* machines whose states stand in one record */
    uint32_t from, n;
    bool dirty;  /* something is to be written; */
    bool urgent; /* a stage, at once; a reason to wait may take a while */
    bool sent;   /* it is in the transaction under way */
    struct timespec written;
};

struct bd_drain {
    UT_hash_handle hh; /* by the record's name */
    char name[BD_LABEL];
    struct bd_drain_record record;
    struct bd_drain_machine *machines;
    uint32_t nmachines;
    struct bd_drain_part *parts;
    bool loaded, damaged; /* its machines are known; their records cannot be read */
    bool listed;          /* in the newest look at the records */
    bool over;            /* nothing is left to be done: its record is to say so */
    bool over_sent;       /* ... in the transaction under way */
    bool stale; /* its record may not be what we know: nothing is written before the next look */
    uint32_t dropped; /* parts whose records were dropped, and the drain's own */
    uint32_t drop_sent;
};

struct bd_drains {
    const struct bd_drain_rules *rules;
    bool apart[BD_MAX_ZONES][BD_MAX_ZONES];
    struct bd_drain *drains;          /* hash by name */
    struct bd_drain_machine **owners; /* by machine: whose entry drives it */
    uint32_t nowners;
    bool want_sets;
    struct timespec leadership_acquired, next_tick, next_summary, hold_until;
    uint32_t steps; /* machines that were told to stop their tasks, in this term */
};

/* A change of an entry's stage, or of what it waits for and of which team's budget. */
struct bd_entry_state {
    enum bd_drain_stage stage;
    enum bd_drain_wait wait;
    const char *team; /* "": none */
};
void bd_drain_set(struct bd_core *core, struct bd_drain *drain, struct bd_drain_machine *m,
                  struct bd_entry_state to);
/* The entry's record is to be written at once. */
void bd_drain_note(struct bd_drain *drain, const struct bd_drain_machine *m);
/* Whether the drain's machines are to be cordoned: it was neither called off nor is it over. */
bool bd_drain_goes_on(const struct bd_drain *drain);
/* Whether nothing happens to the machine any more. */
bool bd_drain_final(const struct bd_drain_machine *m);
/* The machine if it is known by now, or NULL. */
struct bd_machine *bd_drain_machine_named(struct bd_core *core, const char *id);
/* Whether another drain's entry drives the machine. */
bool bd_drain_mirrors(const struct bd_core *core, const struct bd_drain_machine *m);

/* ---- durable.c ---- */

/* Drops all that is known of drains; the records stay. */
void bd_drains_forget(struct bd_drains *drains);

/* ---- plan.c ---- */

/* Tells machines whose step is on record to stop their tasks, where the budgets still allow it. */
void bd_drain_tell(struct bd_core *core);
/* Chooses the machines of the next step, and says of all others what they wait for. */
void bd_drain_plan(struct bd_core *core);

/* ---- replacement.c ---- */

/* Asks for replacements, and drops those that came to nothing. */
void bd_replacements_tick(struct bd_core *core);
bool bd_replacement_up(struct bd_core *core, const struct bd_drain_machine *m);
/* Whether the replacement does what the old machine did, as far as that is to be told. */
bool bd_replacement_works(struct bd_core *core, const struct bd_drain_machine *m);
#endif
