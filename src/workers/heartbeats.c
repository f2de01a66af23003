/* Incoming heartbeats of workers: detects duplicates, decides which controller replies, and updates
 * the leader's view of the machine. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GAP_INTERVALS 2.0 /* heartbeat intervals; a longer time between heartbeats is a gap */
#define DROP_LOG_INTERVAL_S 10.0

static void update_identity(struct bd_core *core, struct bd_machine *machine,
                            const struct bd_heartbeat *heartbeat)
{
    snprintf(machine->addr, sizeof machine->addr, "%s", heartbeat->address);
    machine->type = bd_type_find_or_add(core, heartbeat->type);
    machine->zone = bd_zone_find_or_add(core, heartbeat->zone);
    machine->spot = heartbeat->spot;
    machine->termination_notice_s = heartbeat->notice_s;
}

static bool is_newer(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return heartbeat->incarnation > machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation &&
            heartbeat->seq > machine->heartbeat_seq);
}

/* Updates the machine for a new incarnation. If the machine has seen a fencing token of this term,
 * its reservations belong to the old incarnation and are released. Otherwise the leader may know
 * the old incarnation only from a late duplicate, which arrived before the first heartbeat of the
 * new one. Intents of earlier leaders may then belong to the new incarnation, and only a heartbeat
 * with a fencing token of this term shows which do. */
static void begin_incarnation(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->has_seen_term)
        bd_machine_release_reservations(core, machine, BD_RELEASE_NEW_INCARNATION);
    machine->received_seq = 0;
    /* the lease of the old incarnation expired, so replies may not reach the machine */
    machine->outbound_partition = true;
    /* the lease of the new incarnation has begun by now, even if no heartbeat is ever answered */
    machine->lease_expires_at =
        bd_time_max(machine->lease_expires_at, bd_lease_expiry(core, core->now));
}

static void record_heartbeat(struct bd_core *core, struct bd_machine *machine,
                             const struct bd_heartbeat *heartbeat)
{
    machine->incarnation = heartbeat->incarnation;
    machine->heartbeat_seq = heartbeat->seq;
    machine->fencing_token = heartbeat->fencing_token;
    if (bd_seconds_between(machine->last_contact_at, core->now) >
        GAP_INTERVALS * bd_to_secs(core->settings->heartbeat_interval))
        machine->heartbeats_steady_since = core->now;
    machine->last_contact_at = core->now;
}

bool bd_heartbeat_apply(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat, struct bd_command_list *commands)
{
    if (!is_newer(machine, heartbeat))
        return false;
    if (machine->incarnation && heartbeat->incarnation > machine->incarnation)
        begin_incarnation(core, machine);
    update_identity(core, machine, heartbeat);
    record_heartbeat(core, machine, heartbeat);
    if (heartbeat->fencing_token < core->lead.base_term)
        return true; /* an earlier term may still send commands: the reported tasks may change */
    if (!machine->has_seen_term)
        core->lead.cycle_wanted = true;
    machine->has_seen_term = true;
    if (machine->unanswered_launch_token &&
        heartbeat->fencing_token > machine->unanswered_launch_token && !machine->direct_in_flight)
        bd_machine_exclude_late_launches(machine);
    bd_heartbeat_reconcile_tasks(core, machine, heartbeat, commands);
    return true;
}

/* Logs the first reply of this term to the machine, and the first reply after the machine has seen
 * a fencing token of this term. */
static void log_first_reply(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->answered_in_term && (machine->answered_since_term_seen || !machine->has_seen_term))
        return;
    bd_decision_log_machine(core, "lease_renewed", machine,
                            machine->has_seen_term ? "by=leader fenced=yes"
                                                   : "by=leader fenced=no");
    machine->answered_in_term = true;
    machine->answered_since_term_seen = machine->has_seen_term;
}

/* As leader: replies with the pending commands, and extends the machine's lease. */
static void reply_to_heartbeat(struct bd_core *core, void *request, struct bd_machine *machine,
                               const struct bd_heartbeat *heartbeat,
                               struct bd_command_list *commands)
{
    if (machine->has_seen_term)
        bd_commands_add_pending(core, machine, commands);
    log_first_reply(core, machine);
    machine->lease_expires_at = bd_lease_expiry(core, core->now);
    /* if this reply is lost, an earlier term may still renew the lease */
    if (!machine->has_seen_term)
        machine->lease_expires_at =
            bd_time_max(machine->lease_expires_at, core->lead.earlier_leases_expire_at);
    bd_commands_reply(core, request, heartbeat, commands, core->lead.term);
}

/* Whether the heartbeat is a duplicate. A worker has one heartbeat in flight and numbers its
 * heartbeats in ascending order, so a heartbeat that is not newer than the newest one is a
 * duplicate. A heartbeat of a machine that no longer exists, or of an incarnation that has ended,
 * counts as a duplicate too. */
static bool is_duplicate(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return machine->terminated ||
           (machine->expired_incarnation &&
            heartbeat->incarnation <= machine->expired_incarnation) ||
           heartbeat->incarnation < machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation &&
            heartbeat->seq <= machine->received_seq);
}

static void accept_heartbeat(struct bd_core *core, void *request, struct bd_machine *machine,
                             const struct bd_heartbeat *heartbeat, int forwarding_peer)
{
    struct bd_command_list commands = {0};
    bd_machine_detect_outbound_partition(machine, heartbeat, forwarding_peer);
    bd_machine_clear_launches_in_reply(machine);
    if (bd_heartbeat_apply(core, machine, heartbeat, &commands))
        machine->heartbeat_was_direct = forwarding_peer == BD_NOT_FORWARDED;
    machine->received_seq = heartbeat->seq;
    machine->last_heartbeat_at = core->now;
    if (!bd_leadership_lease_valid(core))
        commands.count = 0;
    reply_to_heartbeat(core, request, machine, heartbeat, &commands);
    free(commands.items);
    bd_commands_send_direct(core, machine);
}

/* Handles a heartbeat as the leader, perhaps after its lease has expired: see
 * bd_leadership_may_reply. forwarding_peer: a peer's index or BD_NOT_FORWARDED. */
static void receive_as_leader(struct bd_core *core, void *request,
                              const struct bd_heartbeat *heartbeat, int forwarding_peer)
{
    if (heartbeat->fencing_token > core->lead.term) {
        /* the worker would ignore a reply with the lower token, and send its heartbeats to this
         * controller until its lease expires */
        if (!bd_leadership_lease_valid(core))
            bd_leadership_lost(core);
        bd_effect_reply(core, request, 421, bd_wire_write_redirect(""), 0);
        return;
    }
    struct bd_machine *machine = bd_machine_find_or_add(core, heartbeat->machine);
    if (is_duplicate(machine, heartbeat)) { /* does not show that the worker is alive: no renewal */
        bd_effect_reply(core, request, 503, bd_wire_write_redirect(""), 0);
        return;
    }
    bool is_direct = forwarding_peer == BD_NOT_FORWARDED;
    int peer = is_direct ? bd_redirect_zone_peer(core, machine, heartbeat) : -1;
    if (peer >= 0) {
        bd_effect_reply(core, request, 421,
                        bd_wire_write_redirect(core->settings->peers[peer].name), 0);
        return;
    }
    if (is_direct && machine->is_delegated)
        bd_delegate_dismiss(core, machine);
    accept_heartbeat(core, request, machine, heartbeat, forwarding_peer);
}

void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len)
{
    if (bd_leadership_may_reply(core)) {
        receive_as_leader(core, request, heartbeat, BD_NOT_FORWARDED);
        return;
    }
    if (core->role == BD_FOLLOWER && (bd_forward_heartbeat(core, request, heartbeat, body, len) ||
                                      bd_delegate_heartbeat(core, request, heartbeat)))
        return;
    bd_redirect_to_leader(core, request, heartbeat);
}

static void receive_from_peer(struct bd_core *core, int peer, uint64_t id,
                              const struct bd_heartbeat *heartbeat, const char *body, size_t len)
{
    struct bd_request_origin *request = calloc(1, sizeof *request);
    if (!request)
        abort();
    request->is_forwarded = true;
    request->peer = peer;
    request->id = id;
    if (bd_leadership_may_reply(core))
        receive_as_leader(core, request, heartbeat, peer);
    else if (!bd_forward_relay(core, request, heartbeat, body, len))
        bd_effect_reply(core, request, 421, bd_wire_write_redirect(""), 0);
}

/* There is no connection on which to answer, so the peer's own timeout ends the wait. */
static void drop_from_unknown(struct bd_core *core, const char *peer)
{
    core->forwarding.dropped_from_unknown++;
    if (bd_time_is_before(core->now, core->forwarding.next_drop_log_at))
        return;
    bd_log_write(core->log, BD_LOG_ERROR,
                 "dropped %u heartbeats that were forwarded by %s, which is not in the settings",
                 core->forwarding.dropped_from_unknown, peer);
    core->forwarding.dropped_from_unknown = 0;
    core->forwarding.next_drop_log_at = bd_time_add(core->now, bd_secs(DROP_LOG_INTERVAL_S));
}

void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].name, peer) != 0)
            continue;
        receive_from_peer(core, i, id, heartbeat, body, len);
        return;
    }
    drop_from_unknown(core, peer);
}
