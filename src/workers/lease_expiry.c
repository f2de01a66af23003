/* When a worker's lease has surely expired, all that it held is released. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

void bd_workers_expire_leases(struct bd_core *core)
{
    struct timespec until[BD_MAX_ZONES];
    bd_autonomous_zone_leases(core, until);
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (machine->gone || machine->nreservations == 0)
            continue;
        struct timespec answered = bd_autonomous_zone_lease_until(core, machine, until);
        if (!bd_is_zero(answered)) /* a controller of its cut zone may have answered it */
            machine->lease_expires_at =
                bd_max(machine->lease_expires_at, bd_lease_expiry(core, answered));
        if (bd_before(core->now, machine->lease_expires_at))
            continue;
        /* a delegate may have answered it: a refresh begun after the lease's end must not show it
         */
        if (machine->delegated || bd_before(core->delegates.read_at, machine->lease_expires_at))
            continue;
        bd_log_write(core->log, BD_LOG_INFO, "%s: lease expired, %u tasks lost", machine->id,
                     machine->nreservations);
        machine->expired_incarnation = machine->incarnation;
        machine->fenced = false;
        bd_machine_lease_expired(core, machine, BD_RELEASE_LEASE_EXPIRED);
        machine->lease_expires_at = bd_add(core->now, bd_secs(1.0)); /* plans that stayed, if any */
    }
}
