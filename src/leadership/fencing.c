/* When the fencing token must rise within a term. */
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/task.h"

#define TOKEN_RAISE_AFTER_S 1.5
#define TOKEN_RAISE_EVERY_S 5.0
#define FORGET_RAISE_S 25.0 /* so long results stay on the machines before the token rises */
#define WITHHELD_MAX 4000u  /* ... or until reports show so many */

/* A launch without an answer may be held on its way for as long as a cut lasts. Only a higher token
 * excludes it, whether the machine is heard or not: a delegate that answers it passes the token on.
 */
static void late_launches(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines && !core->lead.token_raise_wanted; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!machine->late_launch_token || machine->late_launch_token < core->lead.term ||
            machine->gone || bd_between(machine->direct_sent_at, core->now) < TOKEN_RAISE_AFTER_S)
            continue;
        for (uint32_t k = 0; k < machine->nreservations; k++)
            if (machine->reservations[k].job->tasks[machine->reservations[k].task].flags &
                BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT)
                core->lead.token_raise_wanted =
                    bd_between(core->lead.last_token_raise, core->now) > TOKEN_RAISE_EVERY_S;
    }
}

static void forgets_due(struct bd_core *core)
{
    if (core->lead.withheld &&
        (bd_between(core->lead.withheld_at, core->now) > FORGET_RAISE_S ||
         (core->lead.withheld > WITHHELD_MAX &&
          bd_between(core->lead.last_token_raise, core->now) > TOKEN_RAISE_EVERY_S)))
        core->lead.token_raise_wanted = true;
}

void bd_fencing_tick(struct bd_core *core)
{
    late_launches(core);
    forgets_due(core);
}
