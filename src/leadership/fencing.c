/* Decides when the fencing token must be raised within a term. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/task.h"

#define LAUNCH_ANSWER_TIMEOUT_S 1.5
#define TOKEN_RAISE_INTERVAL_S 5.0
/* The token is raised once results have stayed on the machines for RESULTS_WITHHELD_MAX_S, or once
 * there are more than RESULTS_WITHHELD_MAX of them. For their number it is raised at most once in
 * TOKEN_RAISE_INTERVAL_S. */
#define RESULTS_WITHHELD_MAX_S 25.0
#define RESULTS_WITHHELD_MAX 4000u

static bool may_raise_again(const struct bd_core *core)
{
    return bd_seconds_between(core->lead.last_token_raise, core->now) > TOKEN_RAISE_INTERVAL_S;
}

static bool has_unanswered_launch(const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        if (reservation->task->flags & BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT)
            return true;
    }
    return false;
}

/* An unanswered launch may be delayed for as long as a partition lasts. Only a higher token makes
 * sure that the worker rejects it. This holds even if the machine's heartbeats do not reach the
 * leader: a delegate that answers them passes the token on. */
static bool launches_need_raise(const struct bd_core *core)
{
    if (!may_raise_again(core))
        return false;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (!machine->unanswered_launch_token ||
            machine->unanswered_launch_token < core->lead.term || machine->terminated ||
            bd_seconds_between(machine->direct_sent_at, core->now) < LAUNCH_ANSWER_TIMEOUT_S)
            continue;
        if (has_unanswered_launch(machine))
            return true;
    }
    return false;
}

static bool results_need_raise(const struct bd_core *core)
{
    if (core->lead.nresults_withheld == 0)
        return false;
    if (bd_seconds_between(core->lead.results_withheld_since, core->now) > RESULTS_WITHHELD_MAX_S)
        return true;
    return core->lead.nresults_withheld > RESULTS_WITHHELD_MAX && may_raise_again(core);
}

void bd_fencing_tick(struct bd_core *core)
{
    if (!core->lead.token_raise_wanted)
        core->lead.token_raise_wanted = launches_need_raise(core) || results_need_raise(core);
}
