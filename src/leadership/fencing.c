/* When the fencing token must rise within a term. Part of the pure core. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/task.h"

#define LAUNCH_ANSWER_TIMEOUT_S 1.5
#define RAISE_INTERVAL_S 5.0
#define WITHHELD_RESULTS_MAX_S 25.0  /* so long results stay on the machines before a raise, */
#define WITHHELD_RESULTS_MAX_N 4000u /* ... or until there are so many */

static bool may_raise_again(const struct bd_core *core)
{
    return bd_seconds_between(core->lead.last_token_raise, core->now) > RAISE_INTERVAL_S;
}

static bool has_unanswered_launch(const struct bd_machine *machine)
{
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        if (reservation->job->tasks[reservation->task].flags & BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT)
            return true;
    }
    return false;
}

/* A launch without an answer may be delayed for as long as a partition lasts. Only a higher token
 * excludes it, whether the machine is heard or not: a delegate that replies to the machine passes
 * the token on. */
static bool wants_raise_for_launches(const struct bd_core *core)
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

static bool wants_raise_for_results(const struct bd_core *core)
{
    if (core->lead.nresults_withheld == 0)
        return false;
    if (bd_seconds_between(core->lead.results_withheld_since, core->now) > WITHHELD_RESULTS_MAX_S)
        return true;
    return core->lead.nresults_withheld > WITHHELD_RESULTS_MAX_N && may_raise_again(core);
}

void bd_fencing_tick(struct bd_core *core)
{
    if (!core->lead.token_raise_wanted)
        core->lead.token_raise_wanted =
            wants_raise_for_launches(core) || wants_raise_for_results(core);
}
