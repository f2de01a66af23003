/* Delegates: a follower whose workers cannot reach the leader, since their zone is cut off from it,
 * replies to their heartbeats in its stead, so that their leases are renewed and their work
 * survives.
 *
 * What makes it safe: a delegate writes the machines that it answers into its own record,
 * conditional on the leader's key, before it answers them. It writes the record again at a short
 * interval, and stops BD_DELEGATE_FRESH_S after the last write that succeeded was sent. A machine
 * stays in the record for a while after its last heartbeat (see delegate_record.c). The leader
 * reads all records; no lease counts as expired while the newest read shows the machine, nor before
 * a read that began after the lease's end. The leader deletes the record of a delegate that does
 * not confirm it any more. A delegate sends no commands but halts of cancelled jobs.
 *
 * While nobody leads, the record is conditional on the leader's key being absent, and replies carry
 * the last term's fencing token: a new leader allows for such replies until BD_DELEGATE_FRESH_S
 * after it acquired the term, and no such record is written once it has its key. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/delegate_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/peers.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdlib.h>

#define WAIT_MAX_S 2.4     /* for the record; a worker gives up after 4 s */
#define WRITE_RETRY_S 0.15 /* after a refused write; the leader's key is read about as often */
#define AUTONOMOUS_LOG_INTERVAL_S 5.0 /* between log lines on replies of an autonomous zone */

/* A heartbeat that is answered once its machine is in the record, or the zone autonomous. */
struct bd_waiting_heartbeat {
    void *request;
    struct bd_heartbeat *heartbeat;
    struct timespec received_at;
    struct bd_waiting_heartbeat *next;
};

/* What becomes of waiting heartbeats whose machines are not in a written record. */
enum unconfirmed_action { KEEP_UNCONFIRMED, REDIRECT_UNCONFIRMED };

/* ---- whether a delegate is needed ---- */

static bool is_leader_silent(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    return leader >= 0 &&
           bd_seconds_between(core->peers[leader].heard, core->now) > BD_PEER_SILENT_S;
}

/* Whether the last leader's key is gone and no other controller has taken the lead. */
static bool is_leaderless(const struct bd_core *core)
{
    return !*core->leader_name && !core->leader_term && core->last_term;
}

void bd_delegate_dismissal_observed(struct bd_core *core, bool dismissed, uint64_t revision,
                                    struct timespec sent)
{
    struct bd_delegate *delegate = &core->delegate;
    if (dismissed && (!delegate->dismissed || revision != delegate->dismissed_revision)) {
        delegate->dismissed_revision = revision;
        delegate->dismissed_since = sent;
    }
    delegate->dismissed = dismissed;
}

/* A dismissal holds until the leader is heard once more: a silence after that is a new one. Just
 * after a failover, the record of a delegate that was needed is still there, and the new leader
 * takes it for one that is not. If the zone is cut off soon after, it needs its delegate again. */
static bool is_dismissed(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    bool heard_since =
        leader >= 0 && bd_time_is_before(core->delegate.dismissed_since, core->peers[leader].heard);
    return core->delegate.dismissed && !heard_since;
}

static bool has_fresh_leader_view(const struct bd_core *core)
{
    return bd_seconds_between(core->leader_seen_at, core->now) < BD_DELEGATE_FRESH_S;
}

/* By a fresh view another controller leads, and we do not hear it; or nobody does. Redirected
 * workers would then find nobody either, and in a zone that is cut off many nodes would let them
 * time out. */
static bool is_delegate_needed(const struct bd_core *core)
{
    bool other_leads_silently = *core->leader_name && core->leader_term && is_leader_silent(core);
    return core->role == BD_FOLLOWER && !is_dismissed(core) &&
           (other_leads_silently || is_leaderless(core)) && has_fresh_leader_view(core);
}

/* Whether another controller of our zone does not hear the leader either: then the zone is cut off
 * from it, not we alone. */
static bool is_zone_cut_off(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_is_local(core, i) && i != bd_leader_index(core) &&
            core->peers[i].flags & BD_PEER_KV_REACHABLE &&
            !(core->peers[i].flags & BD_PEER_RECEIVES_LEADER_STATUS) &&
            bd_peer_heard(core, i, BD_PEER_SILENT_S))
            return true;
    return false;
}

/* ---- replies ---- */

/* The record is written by other requests than those that refresh the jobs' records: both must have
 * been answered lately. */
static bool may_reply(const struct bd_core *core)
{
    return bd_time_is_before(core->now, core->delegate.confirmed_until) &&
           bd_may_renew_leases(core);
}

/* Logs the first reply to each machine of our record; of an autonomous zone, one per interval. */
static void log_first_reply(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                            uint64_t fencing_token, struct bd_served_machine *served)
{
    struct timespec *logged_at = &core->decision_log.autonomous_logged_at;
    if (served ? served->is_logged
               : bd_seconds_between(*logged_at, core->now) < AUTONOMOUS_LOG_INTERVAL_S)
        return;
    if (served)
        served->is_logged = true;
    else
        *logged_at = core->now;
    char evidence[BD_DECISION_LOG_EVIDENCE_BYTES];
    bd_decision_log_evidence(evidence, sizeof evidence, heartbeat->incarnation, heartbeat->seq,
                             heartbeat->fencing_token, fencing_token);
    bd_decision_log_note(core, "lease_renewed", "machine=%s by=%s %s refreshed_s=%.2f",
                         heartbeat->machine, served ? "delegate" : "autonomous_zone", evidence,
                         bd_seconds_between(core->replica.refreshed_at, core->now));
}

/* served: the machine's entry in our record; NULL: we reply as an autonomous zone. */
static void reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                  struct bd_served_machine *served)
{
    struct bd_command_list commands = {0};
    uint64_t fencing_token = served ? core->delegate.term : core->last_term;
    log_first_reply(core, heartbeat, fencing_token, served);
    bd_commands_reply(core, request, heartbeat, &commands, fencing_token);
    free(commands.items);
}

/* ---- waiting heartbeats ---- */

static void add_waiting(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat)
{
    struct bd_waiting_heartbeat *waiting = calloc(1, sizeof *waiting);
    if (!waiting)
        abort();
    waiting->request = request;
    waiting->heartbeat = bd_heartbeat_copy(heartbeat);
    waiting->received_at = core->now;
    waiting->next = core->delegate.asking;
    core->delegate.asking = waiting;
}

/* Replies to the heartbeat if it can be done now, or redirects it if it should not wait any longer.
 * False: it waits on, as do those that came while the record was being written. */
static bool settle_waiting(struct bd_core *core, const struct bd_waiting_heartbeat *waiting,
                           enum unconfirmed_action action)
{
    const struct bd_heartbeat *heartbeat = waiting->heartbeat;
    struct bd_served_machine *served = bd_delegate_find(core, heartbeat->machine);
    if (served && served->is_confirmed && may_reply(core)) {
        reply(core, waiting->request, heartbeat, served);
        return true;
    }
    if (bd_autonomous_zone_may_reply(core, heartbeat)) {
        reply(core, waiting->request, heartbeat, NULL);
        return true;
    }
    bool may_wait =
        (served && action == KEEP_UNCONFIRMED) || bd_autonomous_zone_may_begin(core, heartbeat);
    if (may_wait && bd_seconds_between(waiting->received_at, core->now) < WAIT_MAX_S)
        return false;
    bd_effect_reply(core, waiting->request, 421, bd_wire_write_redirect(""), 0);
    return true;
}

static void settle_all_waiting(struct bd_core *core, enum unconfirmed_action action)
{
    struct bd_waiting_heartbeat *waiting = core->delegate.asking;
    core->delegate.asking = NULL;
    while (waiting) {
        struct bd_waiting_heartbeat *next = waiting->next;
        if (settle_waiting(core, waiting, action)) {
            bd_heartbeat_free(waiting->heartbeat);
            free(waiting);
        } else {
            waiting->next = core->delegate.asking;
            core->delegate.asking = waiting;
        }
        waiting = next;
    }
}

bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (bd_autonomous_zone_may_reply(core, heartbeat)) {
        reply(core, request, heartbeat, NULL);
        return true;
    }
    if (!is_delegate_needed(core)) {
        bool waits = bd_autonomous_zone_may_begin(core, heartbeat);
        if (waits)
            add_waiting(core, request, heartbeat);
        return waits;
    }
    if (!is_leaderless(core) && !is_zone_cut_off(core) && bd_delegate_probe_leader(core, heartbeat))
        return false;
    struct bd_served_machine *served = bd_delegate_find_or_add(core, heartbeat->machine);
    if (!served)
        return false;
    served->heard = core->now;
    if (served->is_confirmed && delegate->leader_revision == core->leader_term && may_reply(core)) {
        reply(core, request, heartbeat, served);
        return true;
    }
    add_waiting(core, request, heartbeat);
    if (delegate->nserved == 1)
        bd_log_write(core->log, BD_LOG_INFO, "acts as delegate: %s is not heard; first worker %s",
                     core->leader_name, heartbeat->machine);
    delegate->next_write = core->now;
    return true;
}

/* ---- the record's life ---- */

void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent, bool revision_known)
{
    struct bd_delegate *delegate = &core->delegate;
    delegate->txn_in_flight = false;
    delegate->revision_known = revision_known;
    if (revision_known)
        delegate->revision = store_revision;
    if (status == 200) {
        double fresh_s = BD_DELEGATE_FRESH_S * (1 - BD_CLOCK_DRIFT);
        delegate->confirmed_until = bd_time_add(sent, bd_secs(fresh_s));
        bd_delegate_confirm_machines(core);
    }
    if (status == 0 && revision_known) { /* the revision was read: now the record itself */
        delegate->next_write = core->now;
        return;
    }
    if (status == 400)
        (void)bd_kv_limits_rejected(core, "the delegate's record");
    if (status != 200)
        bd_log_write(core->log, BD_LOG_INFO, "the delegate record was not written: status %ld",
                     status);
    /* a conflict may mean no more than that the leader's key was rewritten */
    bool may_still_serve = status == 200 || status == 409;
    settle_all_waiting(core, may_still_serve ? KEEP_UNCONFIRMED : REDIRECT_UNCONFIRMED);
    if (delegate->asking)
        delegate->next_write =
            status == 200 ? core->now : bd_time_add(core->now, bd_secs(WRITE_RETRY_S));
}

void bd_delegate_end(struct bd_core *core)
{
    core->delegate.confirmed_until = (struct timespec){0, 0};
    settle_all_waiting(core, REDIRECT_UNCONFIRMED);
    bd_delegate_forget(core);
}

void bd_delegate_tick(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    if (delegate->asking)
        settle_all_waiting(core, KEEP_UNCONFIRMED);
    if (delegate->nserved == 0 || delegate->txn_in_flight)
        return;
    bd_delegate_expire_machines(core);
    /* a record without machines is written at once, so that the leader need not wait for its end */
    if (delegate->nserved > 0 && bd_time_is_before(core->now, delegate->next_write))
        return;
    /* once the leader is heard again nobody is answered, but the machines stay for their retention
     */
    if ((core->leader_term || is_leaderless(core)) && has_fresh_leader_view(core))
        bd_delegate_write_record(core);
    else if (delegate->asking)
        settle_all_waiting(core, REDIRECT_UNCONFIRMED);
}

void bd_workers_free(struct bd_core *core)
{
    core->last_term = 0; /* nobody waits for a better reply any more */
    bd_delegate_end(core);
    bd_forwards_free(core);
    bd_redirects_free(core);
}
