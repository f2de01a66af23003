/* The leader's rounds: intents, receipts and done records go into one fenced transaction at a
 * time; recovery reads them back. */
#include "base/metrics.h"
#include "core/core_internal.h"
#include "drain/drain.h"
#include <stdio.h>

/* named defaults */
#define CYCLE_INTERVAL_S 0.05
#define CYCLE_INTERVAL_MAX_S 0.5
#define CYCLE_SHARE 0.3 /* of the processor that rounds may take */
#define REFRESH_S 1e-7  /* for one job at one machine, on a whole core (callgrind, about) */
#define EVICT_S 10.0
#define WRITE_SHARE 0.6 /* of the state service's changes; the rest is the users' */
#define TOKEN_RAISE_AFTER_S 1.5
#define TOKEN_RAISE_EVERY_S 5.0
#define FORGET_RAISE_S 25.0 /* so long results stay on the machines before the token rises */
#define WITHHELD_MAX 4000u  /* ... or until reports show so many */

/* ---- time ---- */

static void expire_leases(struct bd_core *core)
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
        bd_log_write(core->log, BD_LOG_INFO, "%s: lease over, %u tasks lost", machine->id,
                     machine->nreservations);
        machine->expired_incarnation = machine->incarnation;
        machine->fenced = false;
        bd_machine_lease_expired(core, machine, BD_RELEASE_LEASE_EXPIRED);
        machine->lease_expires_at = bd_add(core->now, bd_secs(1.0)); /* plans that stayed, if any */
    }
}

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

static void tokens(struct bd_core *core)
{
    double rate = core->kv_limits.write_rps * WRITE_SHARE;
    bd_kv_limits_tick(core);
    core->lead.write_budget += rate * bd_between(core->lead.write_budget_at, core->now);
    if (core->lead.write_budget > rate)
        core->lead.write_budget = rate;
    core->lead.write_budget_at = core->now;
}

/* A round looks at each machine for each waiting job: with many of both, rounds are rarer, so that
 * they leave most of the processor to everything else. */
static double round_s(const struct bd_core *core)
{
    double jobs = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        jobs += job->state == BD_JOB_ACTIVE && job->npending > 0 && !bd_job_has_open_parents(job);
    double s = core->settings->cpu > 0
                   ? jobs * core->nmachines * REFRESH_S / core->settings->cpu / CYCLE_SHARE
                   : 0;
    return s < CYCLE_INTERVAL_S       ? CYCLE_INTERVAL_S
           : s > CYCLE_INTERVAL_MAX_S ? CYCLE_INTERVAL_MAX_S
                                      : s;
}

static void round_now(struct bd_core *core)
{
    if (core->lead.commit || bd_before(core->now, core->lead.next_cycle) ||
        core->lead.write_budget < 2)
        return;
    if (!core->lead.cycle_wanted && !core->lead.token_raise_wanted &&
        core->graph.ncancelled_by_parent == 0 && bd_before(core->now, core->lead.next_gc))
        return;
    core->lead.cycle_wanted = false;
    core->lead.next_cycle = bd_add(core->now, bd_secs(round_s(core)));
    core->lead.commit = calloc(1, sizeof *core->lead.commit);
    if (!core->lead.commit)
        abort();
    if (!core->lead.token_raise_wanted)
        bd_cycle_place(core);
    bd_cycle_commit(core);
}

void bd_core_tick(struct bd_core *core)
{
    if (bd_before(core->replica.next_evict, core->now)) {
        core->replica.next_evict = bd_add(core->now, bd_secs(EVICT_S));
        bd_replica_evict(core);
    }
    if (!core->replica.barrier_out && core->replica.waiting) {
        core->replica.asked = core->replica.waiting;
        core->replica.waiting = NULL;
        core->replica.barrier_out = true;
        (void)bd_effect_emit(core, BD_EFFECT_READ_BARRIER);
    }
    bd_leadership_step_down(core);
    bd_dag_tick(core);
    bd_forward_tick(core);
    if (core->role != BD_LEADER) {
        bd_delegate_tick(core);
        return;
    }
    if (bd_before(core->lead.next_tick, core->now)) {
        core->lead.next_tick = bd_add(core->now, bd_secs(0.25));
        bd_forward_listen(core);
        expire_leases(core);
        late_launches(core);
        forgets_due(core);
        bd_machines_detect_outbound_partition(core);
        bd_leadership_resign_if_reads_fail(core);
    }
    if (!bd_leadership_lease_valid(core))
        return;
    tokens(core);
    bd_drain_tick(core);
    if (core->types_known && bd_before(core->lead.next_autoscaling, core->now)) {
        core->lead.next_autoscaling = bd_add(core->now, bd_secs(1.0));
        bd_autoscaler_tick(core);
        core->lead.cycle_wanted = true; /* pauses run out without an event */
    }
    round_now(core);
}

struct timespec bd_core_next(const struct bd_core *core)
{
    double s =
        core->forwarding.waiting || core->delegate.nserved || core->delegate.asking ? 0.2 : 1.0;
    if (core->role == BD_LEADER)
        s = core->lead.cycle_wanted && !core->lead.commit ? CYCLE_INTERVAL_S : 0.25;
    return bd_add(core->now, bd_secs(s));
}