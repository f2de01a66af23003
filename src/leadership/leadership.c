/* The leader's term: how long its lease is valid, and what ends the term. Part of the pure core. */
#include "leadership/leadership.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "leadership/commit.h"
#include "leadership/leadership_internal.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task_state.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_FAILURE_MAX_S 4.0 /* two answers in a row can be lost */
#define LEASE_MARGIN_S 0.1     /* the leader's lease ends this long before the store's grant */

/* ---- the lease ---- */

bool bd_leadership_lease_valid(const struct bd_core *core)
{
    return core->role == BD_LEADER && bd_time_is_before(core->now, core->lead.lease_valid_until);
}

bool bd_leadership_may_reply(const struct bd_core *core)
{
    if (core->role != BD_LEADER || !bd_may_renew_worker_leases(core))
        return false;
    if (bd_leadership_lease_valid(core))
        return true;
    /* a new leader takes replies in this window into account: see set_earlier_leases_expiry */
    return bd_peer_with_newer_term(core) < 0 && !bd_peer_has_fresher_reads(core) &&
           bd_is_within_renewal_window(core, core->lead.renewal_sent_at);
}

bool bd_leadership_is_healthy(const struct bd_core *core)
{
    return core->replica.is_ready && core->types_known && !bd_peer_has_fresher_reads(core) &&
           !bd_is_isolated(core);
}

void bd_leadership_lease_renewed(struct bd_core *core, uint64_t grant, struct timespec sent_at)
{
    if (core->role != BD_LEADER || grant != core->lead.grant)
        return;
    double ttl_s = bd_to_secs(core->settings->leader_ttl);
    double valid_s = ttl_s * (1 - BD_CLOCK_DRIFT) - LEASE_MARGIN_S;
    core->lead.lease_valid_until =
        bd_time_max(core->lead.lease_valid_until, bd_time_add(sent_at, bd_secs(valid_s)));
    core->lead.renewal_sent_at = bd_time_max(core->lead.renewal_sent_at, sent_at);
}

void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent_at)
{
    snprintf(core->leader_name, sizeof core->leader_name, "%s", name);
    core->leader_term = revision;
    core->last_term = revision ? revision : core->last_term;
    core->leader_read_sent_at = sent_at;
}

/* ---- the end of a term ---- */

static void log_term_lost(struct bd_core *core)
{
    const struct bd_leadership *lead = &core->lead;
    bd_log_write(core->log, BD_LOG_INFO, "leadership lost, term %llu",
                 (unsigned long long)lead->term);
    bd_decision_log_term(core, "term_lost", "base=%llu term=%llu valid_s=%.2f refreshed_s=%.2f",
                         (unsigned long long)lead->base_term, (unsigned long long)lead->term,
                         bd_seconds_between(core->now, lead->lease_valid_until),
                         bd_seconds_between(core->replica.refreshed_at, core->now));
}

static void free_leader_state(struct bd_core *core)
{
    struct bd_job *job, *next;
    HASH_ITER(hh, core->jobs, job, next)
    {
        bd_job_stop_tracking(job);
    }
    bd_machines_free(core);
    bd_intent_records_free(core);
    bd_commit_free(core->lead.commit);
    core->lead.commit = NULL;
    core->cloud.nprovision_requests = 0;
    memset(core->team_cpus, 0, sizeof core->team_cpus);
    memset(core->team_gpus, 0, sizeof core->team_gpus);
    memset(core->cloud.pools, 0, sizeof core->cloud.pools);
    memset(core->cloud.direct_by_zone, 0, sizeof core->cloud.direct_by_zone);
    core->delegates.count = 0;
}

static void end_term(struct bd_core *core, enum bd_step_down_reason reason)
{
    if (core->role != BD_LEADER)
        return;
    log_term_lost(core);
    core->role = BD_FOLLOWER;
    if (strcmp(core->leader_name, core->settings->node) == 0)
        core->leader_name[0] = '\0';
    bd_drain_leadership_lost(core);
    free_leader_state(core);
    bd_effect_emit(core, BD_EFFECT_STEP_DOWN)->step_down_reason = reason;
}

void bd_leadership_lost(struct bd_core *core)
{
    end_term(core, BD_STEP_DOWN_LEASE_LOST);
}

void bd_leadership_step_down_if_superseded(struct bd_core *core)
{
    if (core->role != BD_LEADER || bd_leadership_lease_valid(core))
        return;
    int peer = bd_peer_with_newer_term(core);
    if (peer < 0)
        return;
    bd_leadership_lost(core);
    snprintf(core->leader_name, sizeof core->leader_name, "%s", core->settings->peers[peer].name);
}

void bd_leadership_resign_if_reads_fail(struct bd_core *core)
{
    if (!bd_leadership_lease_valid(core) ||
        bd_seconds_between(core->replica.refreshed_at, core->now) < READ_FAILURE_MAX_S ||
        !bd_peer_has_fresher_reads(core))
        return;
    bd_log_write(core->log, BD_LOG_INFO,
                 "own reads of the records fail but a peer's succeed; resigning leadership");
    end_term(core, BD_STEP_DOWN_RESIGNED);
}

void bd_leadership_free(struct bd_core *core)
{
    bd_intent_records_free(core);
    bd_commit_free(core->lead.commit);
    core->lead.commit = NULL;
}
