/* The machines that consolidation may move services to, with the free capacity that the moves of
 * one tick leave on them. Private to consolidation.c. */
#ifndef BD_MOVE_TARGETS_H
#define BD_MOVE_TARGETS_H
#include "model/core_state.h"
#include "model/resources.h"

/* Seconds; a longer image fetch is not worth a move to an expensive machine. */
#define BD_MOVE_FETCH_MAX_S 4.0

struct bd_move_target {
    struct bd_machine *machine;
    struct bd_resources free; /* after the moves of this tick */
    double service_cpus;      /* see bd_blocking_service_cpus */
    bool is_used;             /* by a move of this tick */
    int fetched_image;        /* by a move of this tick; negative: none */
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
/* Chooses a target for a task of the machine `source` so that no GPU work is harmed. In order of
 * preference: a cheap machine; the expensive machine whose services use most cores, and more than
 * min_service_cpus; a machine with GPU work, where the service stays alone once that work ends.
 * NULL: no target. */
struct bd_move_target *bd_move_target_choose(const struct bd_move_targets *targets,
                                             const struct bd_spec *spec,
                                             const struct bd_machine *source,
                                             double min_service_cpus);
/* Takes the task's resources from the target's free capacity. Returns the seconds that its image
 * fetch takes. */
double bd_move_target_add(const struct bd_core *core, struct bd_move_target *target,
                          const struct bd_spec *spec);
/* Undoes the last move to the target. fetched_image: the target's value before that move. */
void bd_move_target_undo(struct bd_move_target *target, const struct bd_spec *spec,
                         int fetched_image);
/* Whether a move of this tick goes to the machine. */
bool bd_move_target_is_used(const struct bd_move_targets *targets,
                            const struct bd_machine *machine);
#endif
