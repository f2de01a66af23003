#include "model/machine.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MACHINES_INITIAL_CAPACITY 64 /* of machines_by_index; doubled when full */
#define LEASE_MARGIN_S 0.2           /* of a lease's expiry, in addition to the clock drift */

/* A heartbeat is overdue after this many intervals plus the extra time. Workers vary their
 * intervals by a quarter. */
#define OVERDUE_INTERVALS 1.4
#define OVERDUE_EXTRA_S 1.5
#define OVERDUE_MIN_S 5.5 /* longer than the delay when a heartbeat hangs at one controller */

struct bd_machine *bd_machine_by_index(struct bd_core *core, uint32_t index)
{
    return index < core->nmachines ? core->machines_by_index[index] : NULL;
}

static void append_by_index(struct bd_core *core, struct bd_machine *machine)
{
    if (core->nmachines == core->machines_cap) {
        uint32_t capacity = core->machines_cap ? core->machines_cap * 2 : MACHINES_INITIAL_CAPACITY;
        struct bd_machine **grown =
            realloc(core->machines_by_index, capacity * sizeof(struct bd_machine *));
        if (!grown)
            abort();
        core->machines_by_index = grown;
        core->machines_cap = capacity;
    }
    machine->index = core->nmachines;
    core->machines_by_index[core->nmachines++] = machine;
}

static struct bd_machine *add_machine(struct bd_core *core, const char *id)
{
    struct bd_machine *machine = calloc(1, sizeof *machine);
    if (!machine)
        abort();
    snprintf(machine->id, sizeof machine->id, "%s", id);
    machine->type = machine->zone = machine->heartbeat_peer = -1;
    machine->termination_notice_s = -1;
    machine->first_seen_at = machine->idle_since = core->now;
    /* the leader of an earlier term may have renewed the lease, unknown to this one */
    machine->lease_expires_at = core->lead.earlier_leases_expire_at;
    append_by_index(core, machine);
    HASH_ADD_STR(core->machines, id, machine);
    return machine;
}

struct bd_machine *bd_machine_find_or_add(struct bd_core *core, const char *id)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(core->machines, id, machine);
    return machine ? machine : add_machine(core, id);
}

struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec renewed_at)
{
    double lease_s = bd_to_secs(core->settings->worker_lease);
    return bd_time_add(renewed_at, bd_secs(lease_s * (1 + BD_CLOCK_DRIFT) + LEASE_MARGIN_S));
}

/* Whether a heartbeat is overdue if the last one arrived at `last`. */
static bool is_overdue_since(const struct bd_core *core, struct timespec last)
{
    double interval_s = bd_to_secs(core->settings->heartbeat_interval);
    double limit_s = OVERDUE_INTERVALS * interval_s + OVERDUE_EXTRA_S;
    if (limit_s < OVERDUE_MIN_S)
        limit_s = OVERDUE_MIN_S;
    return bd_seconds_between(last, core->now) > limit_s;
}

bool bd_machine_is_overdue(const struct bd_core *core, const struct bd_machine *machine)
{
    return is_overdue_since(core, machine->last_contact_at);
}

static bool has_known_type(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->type >= 0 && core->types[machine->type].known;
}

static bool is_in_service(const struct bd_machine *machine)
{
    return machine->has_seen_term && !machine->terminated && !machine->scaling_in &&
           !machine->failed && !machine->quarantined && machine->termination_notice_s < 0 &&
           !machine->cordoned;
}

static bool is_reachable(const struct bd_core *core, const struct bd_machine *machine)
{
    return (!machine->outbound_partition || core->lead.leader_has_outbound_partition) &&
           !is_overdue_since(core, machine->last_contact_at) &&
           /* a machine that answers direct commands but sends no heartbeats will lose its lease */
           !is_overdue_since(core, machine->last_heartbeat_at);
}

bool bd_machine_is_usable(const struct bd_core *core, const struct bd_machine *machine)
{
    return has_known_type(core, machine) && machine->zone >= 0 && is_in_service(machine) &&
           is_reachable(core, machine) &&
           bd_time_is_before(machine->launch_backoff_until, core->now);
}

void bd_machines_free(struct bd_core *core)
{
    struct bd_machine *machine, *next;
    HASH_ITER(hh, core->machines, machine, next)
    {
        HASH_DEL(core->machines, machine);
        free(machine->reservations);
        free(machine);
    }
    free(core->machines_by_index);
    core->machines_by_index = NULL;
    core->nmachines = core->machines_cap = 0;
}
