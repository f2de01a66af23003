/* Where consolidation may move services to: the machines with free capacity, and what the moves of
 * one tick take of it. Private to consolidation.c. */
#ifndef BD_MOVE_TARGETS_H
#define BD_MOVE_TARGETS_H
#include "model/core_state.h"
#include "model/resources.h"

/* Seconds; a longer image fetch is not worth a move to an expensive machine. */
#define BD_MOVE_FETCH_MAX_S 4.0

struct bd_move_target {
    struct bd_machine *machine;
    struct bd_resources free; /* beside the moves */
    double service_cpus;      /* as bd_blocking_service_cpus */
    bool is_taken;            /* some move goes there */
    int fetched_image;        /* that a move brings there; negative: none */
};

struct bd_move_targets {
    const struct bd_core *core;
    struct bd_move_target *items;
    uint32_t count;
};

void bd_move_targets_init(struct bd_move_targets *targets, const struct bd_core *core);
void bd_move_targets_free(struct bd_move_targets *targets);
/* Adds the machine, if it has free cores. */
void bd_move_targets_add(struct bd_move_targets *targets, struct bd_machine *machine,
                         double service_cpus);
/* A place for a task of the machine `from` where no GPU work is harmed: on a cheap machine, on the
 * expensive one that holds most services, and more than above_cpus of them, or beside GPU work,
 * which will end and leave the service alone there. NULL: there is none. */
struct bd_move_target *bd_move_target_choose(const struct bd_move_targets *targets,
                                             const struct bd_spec *spec,
                                             const struct bd_machine *from, double above_cpus);
/* Counts a move of the task to the target; returns the seconds for the fetch of its image. */
double bd_move_target_add(const struct bd_core *core, struct bd_move_target *target,
                          const struct bd_spec *spec);
/* Takes the last move to the target back; fetched_image: what it was before the move. */
void bd_move_target_undo(struct bd_move_target *target, const struct bd_spec *spec,
                         int fetched_image);
/* Whether some move goes to the machine. */
bool bd_move_target_is_taken(const struct bd_move_targets *targets,
                             const struct bd_machine *machine);
#endif
