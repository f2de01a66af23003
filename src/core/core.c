/* Users' requests, the replica of job records, and names. */
#include "core/core.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "scheduling/scheduling.h"
#include "wire/frame.h"
#include "workers/workers.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log)
{
    struct bd_core *core = calloc(1, sizeof *core);
    if (!core)
        return NULL;
    core->settings = settings;
    core->log = log;
    bd_kv_limits_init(core);
    for (int i = 0; i < settings->nzones; i++)
        (void)bd_zone_index(core, settings->zones[i]);
    const struct bd_drain_rules *rules = settings->draining;
    if (rules) {
        core->ledger = bd_ledger_new(settings, rules->budgets, rules->nbudgets);
        core->drains = bd_drains_new(settings);
    }
    return core;
}

void bd_core_seed(struct bd_core *core, uint64_t seed)
{
    core->forwarding.last_id = seed;
}

static void free_waits(struct bd_pending_read **list)
{
    while (*list) {
        struct bd_pending_read *w = *list;
        *list = w->next;
        bd_admission_drop(w->accept);
        free(w);
    }
}

void bd_core_free(struct bd_core *core)
{
    if (!core)
        return;
    struct bd_job *job, *jt;
    struct bd_machine *machine, *mt;
    bd_drains_free(core->drains);
    bd_ledger_free(core->ledger);
    core->drains = NULL;
    core->ledger = NULL;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job->parent_edges);
        free(job->tasks);
        free(job);
    }
    HASH_ITER(hh, core->machines, machine, mt)
    {
        HASH_DEL(core->machines, machine);
        free(machine->reservations);
        free(machine);
    }
    free(core->by_index);
    bd_names_free(&core->images);
    bd_names_free(&core->classes);
    free_waits(&core->replica.waiting);
    free_waits(&core->replica.asked);
    bd_admission_end(core);
    bd_dag_free(core);
    bd_intent_records_free(core);
    bd_commit_free(core->lead.commit);
    core->last_term = 0; /* nobody waits for a better answer any more */
    bd_delegate_end(core);
    while (core->forwarding.waiting) {
        struct bd_forward *forward = core->forwarding.waiting;
        core->forwarding.waiting = forward->next;
        bd_heartbeat_free(forward->heartbeat);
        if (forward->request && ((struct bd_remote *)forward->request)->remote)
            free(forward->request); /* the core's own: see bd_worker_heartbeat_forwarded */
        free(forward);
    }
    bd_delegate_forget(core);
    bd_forward_end(core);
    struct bd_effect *effect = bd_effects_take(core);
    while (effect) {
        struct bd_effect *next = effect->next;
        bd_effect_free(effect);
        effect = next;
    }
    free(core);
}

void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall)
{
    core->now = now;
    core->wall = wall;
}

#define EVICT_INTERVAL_S 10.0

void bd_core_tick(struct bd_core *core)
{
    if (bd_before(core->replica.next_evict, core->now)) {
        core->replica.next_evict = bd_add(core->now, bd_secs(EVICT_INTERVAL_S));
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
        bd_workers_expire_leases(core);
        bd_fencing_tick(core);
        bd_machines_detect_outbound_partition(core);
        bd_leadership_resign_if_reads_fail(core);
    }
    if (!bd_leadership_lease_valid(core))
        return;
    bd_write_budget_refill(core);
    bd_drain_tick(core);
    if (core->types_known && bd_before(core->lead.next_autoscaling, core->now)) {
        core->lead.next_autoscaling = bd_add(core->now, bd_secs(1.0));
        bd_autoscaler_tick(core);
        core->lead.cycle_wanted = true; /* pauses run out without an event */
    }
    bd_cycle_run(core);
}

struct timespec bd_core_next(const struct bd_core *core)
{
    double s =
        core->forwarding.waiting || core->delegate.nserved || core->delegate.asking ? 0.2 : 1.0;
    if (core->role == BD_LEADER)
        s = core->lead.cycle_wanted && !core->lead.commit ? BD_CYCLE_INTERVAL_S : 0.25;
    return bd_add(core->now, bd_secs(s));
}

void bd_core_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                             struct timespec sent, bool dismissed)
{
    bd_delegate_dismissed(core, dismissed, revision, sent);
    bd_leadership_leader_observed(core, name, revision, sent);
}

void bd_core_leadership_acquired(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    bd_leadership_begin_term(core, acquisition);
    bd_core_leader_observed(core, core->settings->node, acquisition->term, acquisition->renewed,
                            false);
    bd_delegate_end(core);
    bd_leadership_reconcile(core, acquisition);
    bd_drain_leadership_acquired(core);
    bd_leadership_start_serving(core, acquisition);
}
