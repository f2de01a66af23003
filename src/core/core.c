#include "core/core.h"
#include "autoscaling/autoscaling.h"
#include "base/http.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "scheduling/scheduling.h"
#include "wire/wire_limits.h"
#include "workers/workers.h"
#include <stdlib.h>

#define REPLICA_EVICTION_INTERVAL_S 10.0
#define LEADER_CHECKS_INTERVAL_S 0.25
#define AUTOSCALING_INTERVAL_S 1.0
#define FOLLOWER_TICK_INTERVAL_S 1.0
#define FOLLOWER_TICK_INTERVAL_WAITING_S 0.2 /* while workers wait for a reply */

/* ---- construction and release ---- */

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log)
{
    const struct bd_drain_rules *rules = settings->draining;
    struct bd_core *core = calloc(1, sizeof *core);
    if (!core)
        return NULL;
    core->settings = settings;
    core->log = log;
    bd_kv_limits_init(core);
    for (int i = 0; i < settings->nzones; i++)
        (void)bd_zone_find_or_add(core, settings->zones[i]);
    if (rules) {
        core->ledger = bd_ledger_new(settings, rules->budgets, rules->nbudgets);
        core->drains = bd_drains_new(settings);
    }
    return core;
}

void bd_core_seed_forwarding_ids(struct bd_core *core, uint64_t seed)
{
    core->forwarding.last_id = seed;
}

static void free_effects(struct bd_core *core)
{
    struct bd_effect *effect = bd_effects_take(core);
    while (effect) {
        struct bd_effect *next = effect->next;
        bd_effect_free(effect);
        effect = next;
    }
}

void bd_core_free(struct bd_core *core)
{
    if (!core)
        return;
    bd_drains_free(core->drains);
    bd_ledger_free(core->ledger);
    core->drains = NULL;
    core->ledger = NULL;
    bd_jobs_free(core);
    bd_machines_free(core);
    bd_leadership_free(core);
    bd_workers_free(core);
    bd_name_table_free(&core->images);
    bd_name_table_free(&core->classes);
    free_effects(core);
    free(core);
}

void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall_s)
{
    core->now = now;
    core->wall_s = wall_s;
}

/* ---- tick ---- */

static void run_replica_eviction(struct bd_core *core)
{
    if (!bd_time_is_before(core->replica.next_eviction, core->now))
        return;
    core->replica.next_eviction = bd_time_add(core->now, bd_secs(REPLICA_EVICTION_INTERVAL_S));
    bd_replica_evict(core);
}

/* Checks that a leader makes even after its lease has expired, while it may still answer
 * heartbeats. */
static void run_leader_checks(struct bd_core *core)
{
    if (!bd_time_is_before(core->lead.next_checks, core->now))
        return;
    core->lead.next_checks = bd_time_add(core->now, bd_secs(LEADER_CHECKS_INTERVAL_S));
    bd_machines_detect_inbound_partition(core);
    bd_workers_expire_leases(core);
    bd_fencing_tick(core);
    bd_machines_detect_outbound_partition(core);
    bd_leadership_resign_if_reads_fail(core);
}

static void run_autoscaling(struct bd_core *core)
{
    if (!core->types_known || !bd_time_is_before(core->lead.next_autoscaling, core->now))
        return;
    core->lead.next_autoscaling = bd_time_add(core->now, bd_secs(AUTOSCALING_INTERVAL_S));
    bd_autoscaler_tick(core);
    core->lead.cycle_wanted = true; /* a job's hold or back-off ends without an event */
}

static void leader_tick(struct bd_core *core)
{
    run_leader_checks(core);
    if (!bd_leadership_lease_valid(core))
        return;
    bd_write_budget_refill(core);
    bd_drain_tick(core);
    run_autoscaling(core);
    bd_cycle_run(core);
}

void bd_core_tick(struct bd_core *core)
{
    run_replica_eviction(core);
    bd_pending_reads_start_barrier(core);
    bd_leadership_step_down_if_superseded(core);
    bd_dag_look_up_unknown_parents(core);
    bd_forward_tick(core);
    if (core->role == BD_LEADER)
        leader_tick(core);
    else
        bd_delegate_tick(core);
}

static double leader_tick_interval_s(const struct bd_core *core)
{
    bool is_cycle_due = core->lead.cycle_wanted && !core->lead.commit;
    return is_cycle_due ? BD_CYCLE_INTERVAL_S : LEADER_CHECKS_INTERVAL_S;
}

static double follower_tick_interval_s(const struct bd_core *core)
{
    bool has_waiting_workers = core->forwarding.awaiting_reply || core->delegate.nserved ||
                               core->delegate.waiting_heartbeats;
    return has_waiting_workers ? FOLLOWER_TICK_INTERVAL_WAITING_S : FOLLOWER_TICK_INTERVAL_S;
}

struct timespec bd_core_next_tick_at(const struct bd_core *core)
{
    double interval_s =
        core->role == BD_LEADER ? leader_tick_interval_s(core) : follower_tick_interval_s(core);
    return bd_time_add(core->now, bd_secs(interval_s));
}

/* ---- leadership ---- */

void bd_core_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                             struct timespec sent_at, bool dismissed)
{
    bd_delegate_dismissal_observed(core, dismissed, revision, sent_at);
    bd_leadership_leader_observed(core, name, revision, sent_at);
}

void bd_core_leadership_acquired(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    bd_leadership_begin_term(core, acquisition);
    bd_core_leader_observed(core, core->settings->node, acquisition->term,
                            acquisition->renewal_sent_at, false);
    bd_delegate_stop(core);
    bd_leadership_reconcile(core, acquisition);
    bd_drain_leadership_acquired(core);
    bd_leadership_start_serving(core, acquisition);
}

/* ---- outcomes that several modules handle ---- */

void bd_core_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                                  uint64_t store_revision, json_t *failed)
{
    if (bd_leader_txn_completed(core, outcome, store_revision, failed))
        bd_drain_txn_completed(core, outcome == BD_TXN_COMMITTED);
}

void bd_core_scale_out_completed(struct bd_core *core, const char *request, long status,
                                 char (*names)[BD_LABEL_BYTES], int nnames)
{
    if (bd_scale_out_completed(core, request, status, names, nnames))
        bd_drain_provisioning_completed(core, request, names, status == BD_HTTP_OK ? nnames : 0);
}
