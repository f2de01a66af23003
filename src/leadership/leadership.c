/* Who leads, what the other controllers say of it, and when a leader ends its term. Part of the
 * pure core. */
#include "leadership/leadership.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "leadership/commit.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "model/task_state.h"
#include "wire/frame.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARD_S 2.0 /* another controller's word counts so long */
#define BLIND_S 4.0 /* two answers of the state service in a row may be lost before */
#define ALONE_S 3.0 /* without a word from anywhere users are better sent elsewhere */

/* ---- leadership ---- */

static int newer_leader(const struct bd_core *core);
static bool cut_alone(const struct bd_core *core);

bool bd_leadership_lease_valid(const struct bd_core *core)
{
    return core->role == BD_LEADER && bd_before(core->now, core->lead.valid_until);
}

bool bd_leadership_may_reply(const struct bd_core *core)
{
    if (core->role != BD_LEADER || !bd_may_renew_leases(core))
        return false;
    if (bd_leadership_lease_valid(core))
        return true;
    /* a new leader counts with our answers from our last renewal on */
    return newer_leader(core) < 0 && !cut_alone(core) &&
           bd_within_renewal_window(core, core->lead.renewed);
}

void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent)
{
    snprintf(core->leader_name, sizeof core->leader_name, "%s", name);
    core->leader_term = revision;
    core->last_term = revision ? revision : core->last_term;
    core->leader_seen = sent;
}

/* ---- the other controllers ---- */

void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s, struct timespec heard)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].name, name) != 0)
            continue;
        core->peers[i].heard = heard;
        core->peers[i].term = term;
        core->peers[i].flags = flags;
        core->peers[i].status_sent_wall_s = status_sent_wall_s;
        core->peers[i].kv_seen_at = bd_sub(heard, bd_secs(kv_age_s));
    }
}

void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || core->role == BD_LEADER)
        return;
    job->shown_done = done;
    job->shown_running = running;
}

/* Whether another controller is served by the state service while we are not. */
static bool cut_alone(const struct bd_core *core)
{
    const double behind = 1.5;
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, HEARD_S) && core->peers[i].flags & BD_PEER_KV_REACHABLE &&
            bd_between(core->replica.refreshed_at, core->peers[i].kv_seen_at) > behind)
            return true;
    return false;
}

/* The controller that says it holds a newer term than ours, or -1. */
static int newer_leader(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (core->peers[i].term > core->lead.term && bd_peer_heard(core, i, HEARD_S))
            return i;
    return -1;
}

/* Without the state service we are told here, not there, that somebody else leads. */
void bd_leadership_step_down(struct bd_core *core)
{
    int i = core->role == BD_LEADER && !bd_leadership_lease_valid(core) ? newer_leader(core) : -1;
    if (i < 0)
        return;
    bd_leadership_lost(core);
    snprintf(core->leader_name, sizeof core->leader_name, "%s", core->settings->peers[i].name);
}

/* Neither the state service nor any other controller is heard: it is likely we who are cut off. */
static bool quite_alone(const struct bd_core *core)
{
    if (core->settings->npeers == 0 || bd_between(core->replica.refreshed_at, core->now) < ALONE_S)
        return false;
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, ALONE_S))
            return false;
    return true;
}

bool bd_leadership_healthy(const struct bd_core *core)
{
    return core->replica.ready && core->types_known && !cut_alone(core) && !quite_alone(core);
}

/* The lease is renewed, but our refreshes of the records are refused while another controller's are
 * served: nothing could start until ours are served again. Another may start work at once. */
void bd_leadership_resign_if_reads_fail(struct bd_core *core)
{
    if (!bd_leadership_lease_valid(core) ||
        bd_between(core->replica.refreshed_at, core->now) < BLIND_S || !cut_alone(core))
        return;
    bd_log_write(core->log, BD_LOG_INFO,
                 "the records cannot be read here but elsewhere: leadership resigned");
    bd_leadership_lost(core);
    core->last->status = BD_STEP_DOWN_RESIGNED;
}

void bd_leadership_lost(struct bd_core *core)
{
    if (core->role != BD_LEADER)
        return;
    bd_log_write(core->log, BD_LOG_INFO, "leadership lost, term %llu",
                 (unsigned long long)core->lead.term);
    bd_decision_log_term(core, "term_lost", "base=%llu term=%llu valid_s=%.2f refreshed_s=%.2f",
                         (unsigned long long)core->lead.base_term,
                         (unsigned long long)core->lead.term,
                         bd_between(core->now, core->lead.valid_until),
                         bd_between(core->replica.refreshed_at, core->now));
    core->role = BD_FOLLOWER;
    if (strcmp(core->leader_name, core->settings->node) == 0)
        core->leader_name[0] = '\0';
    bd_drain_leadership_lost(core);
    struct bd_job *job, *jt;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        bd_job_stop_tracking(job);
    }
    struct bd_machine *machine, *mt;
    HASH_ITER(hh, core->machines, machine, mt)
    {
        HASH_DEL(core->machines, machine);
        free(machine->reservations);
        free(machine);
    }
    free(core->by_index);
    core->by_index = NULL;
    core->nmachines = core->cap_machines = 0;
    bd_intent_records_free(core);
    bd_commit_free(core->lead.commit);
    core->lead.commit = NULL;
    core->cloud.nprovision_requests = 0;
    memset(core->team_cpus, 0, sizeof core->team_cpus);
    memset(core->team_gpus, 0, sizeof core->team_gpus);
    memset(core->cloud.pools, 0, sizeof core->cloud.pools);
    memset(core->cloud.direct, 0, sizeof core->cloud.direct);
    core->delegates.count = 0;
    (void)bd_effect_emit(core, BD_EFFECT_STEP_DOWN);
}

void bd_leadership_renewed(struct bd_core *core, uint64_t grant, struct timespec sent)
{
    if (core->role != BD_LEADER || grant != core->lead.grant)
        return;
    struct timespec ttl = core->settings->leader_ttl;
    double valid = bd_to_secs(ttl) * (1 - BD_CLOCK_DRIFT) - 0.1;
    core->lead.valid_until = bd_max(core->lead.valid_until, bd_add(sent, bd_secs(valid)));
    core->lead.renewed = bd_max(core->lead.renewed, sent);
}