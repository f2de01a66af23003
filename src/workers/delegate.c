/* Delegates: if the workers of a zone cannot reach the leader because the zone is cut off from it,
 * a follower replies to their heartbeats in place of the leader. Their leases are then renewed, and
 * their work continues.
 *
 * Why this is safe:
 *
 * - A delegate answers a machine only after it has written the machine into its own record in the
 *   key-value store, conditional on the leader's key. It writes the record again at a short
 *   interval. It stops answering BD_DELEGATE_CONFIRMATION_VALID_S after it sent the last write that
 *   succeeded. A machine stays in the record for a while after its last heartbeat (see
 *   delegate_record.c).
 * - The leader reads all records. A lease does not count as expired while the newest read contains
 *   the machine, nor before a read that began after the end of the lease. The leader deletes the
 *   record of a delegate that no longer rewrites it.
 * - A delegate sends no commands but halts of cancelled jobs.
 *
 * While no controller leads, the record is conditional on the absence of the leader's key, and
 * replies carry the last term's fencing token. A new leader allows for such replies until
 * BD_DELEGATE_CONFIRMATION_VALID_S after it acquired the term. No such record can be written once
 * the new leader has written its key. */
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

/* How long a heartbeat may wait for the record's write or for the zone to become autonomous. A
 * worker's request times out after 4 s. */
#define HEARTBEAT_WAIT_MAX_S 2.4
#define WRITE_RETRY_S 0.15 /* after a rejected write; the leader's key is read about as often */
#define AUTONOMOUS_LOG_INTERVAL_S 5.0 /* between log lines about replies of an autonomous zone */

/* A heartbeat that waits until its machine is in the record or the zone is autonomous. */
struct bd_waiting_heartbeat {
    void *request;
    struct bd_heartbeat *heartbeat;
    struct timespec received_at;
    struct bd_waiting_heartbeat *next;
};

/* What to do with waiting heartbeats whose machines are not in a written record yet. */
enum unconfirmed_action { KEEP_UNCONFIRMED, REDIRECT_UNCONFIRMED };

/* ---- whether a delegate is needed ---- */

static bool is_leader_status_overdue(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    return leader >= 0 && bd_seconds_between(core->peers[leader].status_received_at, core->now) >
                              BD_PEER_STATUS_TIMEOUT_S;
}

/* Whether the last leader's key has been deleted and no controller has become the leader since. */
static bool is_leaderless(const struct bd_core *core)
{
    return !*core->leader_name && !core->leader_term && core->last_term;
}

void bd_delegate_dismissal_observed(struct bd_core *core, bool dismissed, uint64_t revision,
                                    struct timespec sent_at)
{
    struct bd_delegate *delegate = &core->delegate;
    if (dismissed && (!delegate->dismissed || revision != delegate->dismissed_revision)) {
        delegate->dismissed_revision = revision;
        delegate->dismissed_since = sent_at;
    }
    delegate->dismissed = dismissed;
}

/* Whether the leader has dismissed this delegate. A dismissal ends when a status of the leader
 * arrives after it: if the statuses stop again later, that is a new partition. Just after a
 * failover, the record of a delegate that was needed still exists, and the new leader dismisses
 * that delegate as not needed. If the zone is cut off soon after, the zone needs it again: without
 * a delegate all leases of the zone would expire. */
static bool is_dismissed(const struct bd_core *core)
{
    int leader = bd_leader_index(core);
    bool status_arrived_since =
        leader >= 0 &&
        bd_time_is_before(core->delegate.dismissed_since, core->peers[leader].status_received_at);
    return core->delegate.dismissed && !status_arrived_since;
}

/* Whether the leader's key was read recently. */
static bool has_fresh_leader_view(const struct bd_core *core)
{
    return bd_seconds_between(core->leader_read_sent_at, core->now) <
           BD_DELEGATE_CONFIRMATION_VALID_S;
}

/* Whether a recent read of the leader's key shows that no controller leads, or that another one
 * leads whose statuses do not arrive here. Redirected workers would find no leader then
 * either, and in a zone that is cut off their requests to many nodes would time out. */
static bool is_delegate_needed(const struct bd_core *core)
{
    bool is_other_leader_unreachable =
        *core->leader_name && core->leader_term && is_leader_status_overdue(core);
    return core->role == BD_FOLLOWER && !is_dismissed(core) &&
           (is_other_leader_unreachable || is_leaderless(core)) && has_fresh_leader_view(core);
}

/* Whether another controller of this zone receives no statuses of the leader either. If so, the
 * zone is cut off from the leader, not only this controller. */
static bool is_zone_cut_off(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_is_local(core, i) && i != bd_leader_index(core) &&
            core->peers[i].flags & BD_PEER_KV_REACHABLE &&
            !(core->peers[i].flags & BD_PEER_RECEIVES_LEADER_STATUS) &&
            bd_peer_status_is_recent(core, i, BD_PEER_STATUS_TIMEOUT_S))
            return true;
    return false;
}

/* ---- replies ---- */

/* Whether this controller may reply as a delegate. The delegate's record and the refresh of the
 * jobs' records are separate requests to the store: both must have been answered recently. */
static bool may_reply(const struct bd_core *core)
{
    return bd_time_is_before(core->now, core->delegate.confirmed_until) &&
           bd_may_renew_worker_leases(core);
}

/* Logs the first reply to each machine in the record. Of the replies of an autonomous zone, logs
 * one per interval. */
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

/* Replies with status 200, which renews the machine's lease. served: the machine's entry in the
 * record; NULL: the reply is that of an autonomous zone. */
static void reply_to_heartbeat(struct bd_core *core, void *request,
                               const struct bd_heartbeat *heartbeat,
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
    waiting->next = core->delegate.waiting_heartbeats;
    core->delegate.waiting_heartbeats = waiting;
}

/* Replies to the heartbeat if that is allowed now, or redirects its worker if it should not wait
 * any longer. False: the heartbeat continues to wait, such as one that arrived while the record was
 * being written. */
static bool settle_waiting(struct bd_core *core, const struct bd_waiting_heartbeat *waiting,
                           enum unconfirmed_action action)
{
    const struct bd_heartbeat *heartbeat = waiting->heartbeat;
    struct bd_served_machine *served = bd_delegate_find(core, heartbeat->machine);
    if (served && served->is_confirmed && may_reply(core)) {
        reply_to_heartbeat(core, waiting->request, heartbeat, served);
        return true;
    }
    if (bd_autonomous_zone_may_reply(core, heartbeat)) {
        reply_to_heartbeat(core, waiting->request, heartbeat, NULL);
        return true;
    }
    bool may_wait =
        (served && action == KEEP_UNCONFIRMED) || bd_autonomous_zone_may_begin(core, heartbeat);
    if (may_wait && bd_seconds_between(waiting->received_at, core->now) < HEARTBEAT_WAIT_MAX_S)
        return false;
    bd_effect_reply(core, waiting->request, 421, bd_wire_write_redirect(""), 0);
    return true;
}

static void settle_all_waiting(struct bd_core *core, enum unconfirmed_action action)
{
    struct bd_waiting_heartbeat *waiting = core->delegate.waiting_heartbeats;
    core->delegate.waiting_heartbeats = NULL;
    while (waiting) {
        struct bd_waiting_heartbeat *next = waiting->next;
        if (settle_waiting(core, waiting, action)) {
            bd_heartbeat_free(waiting->heartbeat);
            free(waiting);
        } else {
            waiting->next = core->delegate.waiting_heartbeats;
            core->delegate.waiting_heartbeats = waiting;
        }
        waiting = next;
    }
}

bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat)
{
    struct bd_delegate *delegate = &core->delegate;
    if (bd_autonomous_zone_may_reply(core, heartbeat)) {
        reply_to_heartbeat(core, request, heartbeat, NULL);
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
    served->last_heartbeat_at = core->now;
    if (served->is_confirmed && delegate->leader_revision == core->leader_term && may_reply(core)) {
        reply_to_heartbeat(core, request, heartbeat, served);
        return true;
    }
    add_waiting(core, request, heartbeat);
    if (delegate->nserved == 1)
        bd_log_write(
            core->log, BD_LOG_INFO,
            "acting as delegate: no leader, or no status from leader \"%s\"; first worker %s",
            core->leader_name, heartbeat->machine);
    delegate->next_write = core->now;
    return true;
}

/* ---- writing and ending the record ---- */

void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent_at, bool revision_known)
{
    struct bd_delegate *delegate = &core->delegate;
    delegate->txn_in_flight = false;
    delegate->revision_known = revision_known;
    if (revision_known)
        delegate->revision = store_revision;
    if (status == 200) {
        double valid_s = BD_DELEGATE_CONFIRMATION_VALID_S * (1 - BD_CLOCK_DRIFT);
        delegate->confirmed_until = bd_time_add(sent_at, bd_secs(valid_s));
        bd_delegate_confirm_machines(core);
    }
    if (status == 0 && revision_known) { /* the revision was read: write the record next */
        delegate->next_write = core->now;
        return;
    }
    if (status == 400)
        (void)bd_kv_limits_lower_after_rejection(core, "the delegate's record");
    if (status != 200)
        bd_log_write(core->log, BD_LOG_INFO, "delegate record not written: status %ld", status);
    /* a conflict may only mean that the leader's key was rewritten */
    bool may_still_serve = status == 200 || status == 409;
    settle_all_waiting(core, may_still_serve ? KEEP_UNCONFIRMED : REDIRECT_UNCONFIRMED);
    if (delegate->waiting_heartbeats)
        delegate->next_write =
            status == 200 ? core->now : bd_time_add(core->now, bd_secs(WRITE_RETRY_S));
}

void bd_delegate_stop(struct bd_core *core)
{
    core->delegate.confirmed_until = (struct timespec){0, 0};
    settle_all_waiting(core, REDIRECT_UNCONFIRMED);
    bd_delegate_remove_all_machines(core);
}

void bd_delegate_tick(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    if (delegate->waiting_heartbeats)
        settle_all_waiting(core, KEEP_UNCONFIRMED);
    if (delegate->nserved == 0 || delegate->txn_in_flight)
        return;
    bd_delegate_expire_machines(core);
    /* a record that has become empty is written at once, so that the leader need not wait until
     * the record counts as stale */
    if (delegate->nserved > 0 && bd_time_is_before(core->now, delegate->next_write))
        return;
    /* Once the leader's statuses arrive again, this controller answers no machine, but still writes
     * the record: the machines stay in it for the retention time. */
    if ((core->leader_term || is_leaderless(core)) && has_fresh_leader_view(core))
        bd_delegate_write_record(core);
    else if (delegate->waiting_heartbeats)
        settle_all_waiting(core, REDIRECT_UNCONFIRMED);
}

void bd_workers_free(struct bd_core *core)
{
    core->last_term = 0; /* so that no heartbeat continues to wait for an autonomous zone */
    bd_delegate_stop(core);
    bd_forwarded_heartbeats_free(core);
    bd_redirects_free(core);
}
