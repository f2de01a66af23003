/* Scale-in: returns machines that are not needed to the cloud. */
#include "autoscaling/autoscaling.h"
#include "autoscaling/autoscaling_internal.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include <stdio.h>

#define REQUEST_MACHINES_MAX 100  /* in one request */
#define SILENT_MARGIN_S 15.0      /* added to the lease before a silent machine is returned */
#define RETRY_S 6.0               /* a request without a response is repeated after this time */
#define RETRY_AFTER_FAILURE_S 3.0 /* a failed request is repeated after this time */

/* Whether the machine was up and has been silent for longer than a lease and SILENT_MARGIN_S. */
static bool is_silent(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->incarnation && !machine->has_seen_term &&
           bd_seconds_between(machine->last_contact_at, core->now) >
               bd_to_secs(core->settings->worker_lease) + SILENT_MARGIN_S;
}

/* An idle machine is kept for about as long as getting it again would take: a configured multiple
 * of its type's boot time. */
static bool has_been_idle_too_long(const struct bd_core *core, const struct bd_machine *machine)
{
    return !machine->is_headroom &&
           bd_seconds_between(machine->idle_since, core->now) >
               core->settings->idle_boot_times * core->types[machine->type].boot_s;
}

static bool should_scale_in(const struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->terminated || bd_time_is_before(core->now, machine->scale_in_allowed_at))
        return false;
    if (machine->scaling_in || machine->failed)
        return true;
    if (machine->nreservations > 0)
        return false;
    if (bd_boot_has_timed_out(core, machine) || is_silent(core, machine))
        return true;
    if (!machine->has_seen_term)
        return false;
    enum bd_scale_in_policy policy = bd_scale_in_policy_of(machine);
    if (policy != BD_SCALE_IN_WHEN_IDLE)
        return policy == BD_SCALE_IN_NOW;
    return machine->quarantined || machine->termination_notice_s >= 0 ||
           has_been_idle_too_long(core, machine);
}

void bd_scale_in(struct bd_core *core)
{
    char names[REQUEST_MACHINES_MAX][BD_LABEL_BYTES];
    int count = 0;
    for (uint32_t i = 0; i < core->nmachines && count < REQUEST_MACHINES_MAX; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        if (!should_scale_in(core, machine))
            continue;
        machine->scaling_in = true;
        machine->scale_in_allowed_at = bd_time_add(core->now, bd_secs(RETRY_S));
        snprintf(names[count++], BD_LABEL_BYTES, "%s", machine->id);
        bd_log_write(core->log, BD_LOG_INFO, "scaling in machine %s%s", machine->id,
                     machine->quarantined ? " (quarantined)" : "");
    }
    if (count == 0)
        return;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_SCALE_IN);
    effect->body = bd_wire_write_return_request(names, count);
}

/* A returned machine frees capacity in its pool, so requests to the pool may be sent at once. */
static void reopen_pool(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->type >= 0 && machine->zone >= 0)
        bd_pool_of(core, machine->type, machine->zone, machine->spot)->next_request_at = core->now;
}

void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL_BYTES], int count,
                           bool succeeded)
{
    if (core->role != BD_LEADER)
        return;
    for (int i = 0; i < count; i++) {
        struct bd_machine *machine = NULL;
        HASH_FIND_STR(core->machines, names[i], machine);
        if (!machine)
            continue;
        if (succeeded) {
            reopen_pool(core, machine);
            bd_machine_mark_terminated(core, machine);
        } else { /* outcome unknown: the machine gets no new work, and the request is repeated */
            machine->scale_in_allowed_at = bd_time_add(core->now, bd_secs(RETRY_AFTER_FAILURE_S));
        }
    }
}
