/* Expiry of workers' leases: once a lease has certainly expired, the reservations of its machine
 * are released. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

#define EXPIRY_RECHECK_S 1.0 /* after an expiry, for planned tasks that were not released */

/* Whether the machine's lease has certainly expired. A delegate may have renewed the lease, unless
 * a read of the delegates' records that began after the end of the lease shows that none did. */
static bool has_expired(const struct bd_core *core, const struct bd_machine *machine)
{
    return !bd_time_is_before(core->now, machine->lease_expires_at) && !machine->is_delegated &&
           !bd_time_is_before(core->delegates.read_sent_at, machine->lease_expires_at);
}

static void expire_lease(struct bd_core *core, struct bd_machine *machine)
{
    bd_log_write(core->log, BD_LOG_INFO, "%s: lease expired, %u tasks lost", machine->id,
                 machine->nreservations);
    machine->expired_incarnation = machine->incarnation;
    machine->has_seen_term = false;
    bd_machine_release_reservations(core, machine, BD_RELEASE_LEASE_EXPIRED);
    machine->lease_expires_at = bd_time_add(core->now, bd_secs(EXPIRY_RECHECK_S));
}

void bd_workers_expire_leases(struct bd_core *core)
{
    bool may_be_autonomous_by_zone[BD_ZONES_MAX];
    bd_autonomous_zones_detect(core, may_be_autonomous_by_zone);
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        if (machine->terminated || machine->nreservations == 0)
            continue;
        if (bd_autonomous_zone_may_have_renewed(core, machine, may_be_autonomous_by_zone))
            machine->lease_expires_at =
                bd_time_max(machine->lease_expires_at, bd_lease_expiry(core, core->now));
        if (has_expired(core, machine))
            expire_lease(core, machine);
    }
}
