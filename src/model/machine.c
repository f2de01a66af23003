#include "model/machine.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LATE_HEARTBEATS 1.4 /* report intervals, which vary by a quarter, and what delays one */
#define LATE_EXTRA_S 1.5
#define LATE_MIN_S 5.5 /* one controller that lets it hang */

struct bd_machine *bd_machine_of(struct bd_core *core, uint32_t index)
{
    return index < core->nmachines ? core->by_index[index] : NULL;
}

struct bd_machine *bd_machine_get(struct bd_core *core, const char *id)
{
    struct bd_machine *m = NULL;
    HASH_FIND_STR(core->machines, id, m);
    if (m)
        return m;
    m = calloc(1, sizeof *m);
    if (!m)
        abort();
    if (core->nmachines == core->cap_machines) {
        uint32_t cap = core->cap_machines ? core->cap_machines * 2 : 64;
        struct bd_machine **b = realloc(core->by_index, cap * sizeof(struct bd_machine *));
        if (!b)
            abort();
        core->by_index = b;
        core->cap_machines = cap;
    }
    snprintf(m->id, sizeof m->id, "%s", id);
    m->index = core->nmachines;
    m->type = m->zone = m->via = -1;
    m->notice_left = -1;
    m->known_at = m->idle_since = core->now;
    /* it may have been renewed by an earlier term that we cannot see */
    m->lease_expires_at = core->lead.earlier_leases_expire_at;
    core->by_index[core->nmachines++] = m;
    HASH_ADD_STR(core->machines, id, m);
    return m;
}

struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec answered)
{
    double lease = bd_to_secs(core->settings->lease) * (1 + BD_CLOCK_DRIFT) + 0.2;
    return bd_add(answered, bd_secs(lease));
}

static bool late(const struct bd_core *core, struct timespec last)
{
    double s = LATE_HEARTBEATS * bd_to_secs(core->settings->heartbeat_interval) + LATE_EXTRA_S;
    return bd_between(last, core->now) > (s > LATE_MIN_S ? s : LATE_MIN_S);
}

/* Whether its report is late: it hangs, or goes round looking for a controller. Direct commands
 * would hold up a sender each. */
bool bd_overdue(const struct bd_core *core, const struct bd_machine *machine)
{
    return late(core, machine->heard);
}

bool bd_machine_usable(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->type >= 0 && machine->zone >= 0 && core->types[machine->type].known &&
           machine->fenced && !machine->gone && !machine->scaling_in && !machine->failed &&
           !machine->quarantined && machine->notice_left < 0 && !machine->cordoned &&
           (!machine->outbound_partition || core->lead.outbound_partition_is_ours) &&
           !late(core, machine->heard) &&
           /* one that answers directly while its check-ins reach nobody loses all with its lease */
           !late(core, machine->asked) && bd_before(machine->refuse_until, core->now);
}
