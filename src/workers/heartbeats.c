/* Heartbeats of workers, as they come in: which are copies, who replies to them, and what the
 * leader takes from one. */
#include "base/timeutil.h"
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

#define GAP_INTERVALS 2.0 /* without a heartbeat are a gap */

static void update_identity(struct bd_core *core, struct bd_machine *machine,
                            const struct bd_heartbeat *heartbeat)
{
    snprintf(machine->addr, sizeof machine->addr, "%s", heartbeat->address);
    machine->type = bd_type_find_or_add(core, heartbeat->type);
    machine->zone = bd_zone_find_or_add(core, heartbeat->zone);
    machine->spot = heartbeat->spot;
    machine->notice_left = heartbeat->notice_s;
}

static bool is_newer(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return heartbeat->incarnation > machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation && heartbeat->seq > machine->seq);
}

/* All that we know to be of the old incarnation is gone. But we may know the old one only from a
 * copy that arrived before the first heartbeat itself: then intents of earlier leaders may be of
 * the new one, and only a heartbeat that has seen our term shows which. */
static void begin_incarnation(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->fenced)
        bd_machine_release_reservations(core, machine, BD_RELEASE_NEW_INCARNATION);
    machine->received_seq = 0;
    /* the lease of the old one expired, so replies may not reach it */
    machine->outbound_partition = true;
    /* the lease of the new one began now at the latest, even if no heartbeat is ever answered */
    machine->lease_expires_at =
        bd_time_max(machine->lease_expires_at, bd_lease_expiry(core, core->now));
}

static void record_heard(struct bd_core *core, struct bd_machine *machine,
                         const struct bd_heartbeat *heartbeat)
{
    machine->incarnation = heartbeat->incarnation;
    machine->seq = heartbeat->seq;
    machine->fencing_token = heartbeat->fencing_token;
    if (bd_seconds_between(machine->heard, core->now) >
        GAP_INTERVALS * bd_to_secs(core->settings->heartbeat_interval))
        machine->steady = core->now;
    machine->heard = core->now;
}

bool bd_heartbeat_apply(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat, struct bd_command_list *commands)
{
    if (!is_newer(machine, heartbeat))
        return false;
    if (machine->incarnation && heartbeat->incarnation > machine->incarnation)
        begin_incarnation(core, machine);
    update_identity(core, machine, heartbeat);
    record_heard(core, machine, heartbeat);
    if (heartbeat->fencing_token < core->lead.base_term)
        return true; /* an earlier term may still command it: no evidence of its tasks yet */
    if (!machine->fenced)
        core->lead.cycle_wanted = true;
    machine->fenced = true;
    if (machine->unanswered_launch_token &&
        heartbeat->fencing_token > machine->unanswered_launch_token && !machine->direct_in_flight)
        bd_machine_exclude_late_launches(machine);
    bd_heartbeat_reconcile_tasks(core, machine, heartbeat, commands);
    return true;
}

/* Logs the first reply of our term, and the first since the machine has seen the term. */
static void log_first_reply(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->answered && (machine->answered_since_fenced || !machine->fenced))
        return;
    bd_decision_log_machine(core, "lease_renewed", machine,
                            machine->fenced ? "by=leader fenced=yes" : "by=leader fenced=no");
    machine->answered = true;
    machine->answered_since_fenced = machine->fenced;
}

static void reply_to_heartbeat(struct bd_core *core, void *request, struct bd_machine *machine,
                               const struct bd_heartbeat *heartbeat,
                               struct bd_command_list *commands)
{
    if (machine->fenced)
        bd_commands_pending(core, machine, commands);
    log_first_reply(core, machine);
    machine->lease_expires_at = bd_lease_expiry(core, core->now);
    if (!machine->fenced) /* if this reply is lost, an earlier term may still renew its lease */
        machine->lease_expires_at =
            bd_time_max(machine->lease_expires_at, core->lead.earlier_leases_expire_at);
    bd_commands_reply(core, request, heartbeat, commands, core->lead.term);
}

/* A worker has one heartbeat in flight and numbers them upwards: one that is not newer than the
 * newest is a copy. So is one of a machine that is gone, or of an incarnation that has ended. */
static bool is_copy(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return machine->gone ||
           (machine->expired_incarnation &&
            heartbeat->incarnation <= machine->expired_incarnation) ||
           heartbeat->incarnation < machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation &&
            heartbeat->seq <= machine->received_seq);
}

static void accept_heartbeat(struct bd_core *core, void *request, struct bd_machine *machine,
                             const struct bd_heartbeat *heartbeat, int via)
{
    struct bd_command_list commands = {0};
    bd_machine_detect_outbound_partition(machine, heartbeat, via);
    bd_machine_settle_last_reply(machine);
    if (bd_heartbeat_apply(core, machine, heartbeat, &commands))
        machine->direct = via == BD_VIA_NO_PEER;
    machine->received_seq = heartbeat->seq;
    machine->asked = core->now;
    if (!bd_leadership_lease_valid(core))
        commands.count = 0;
    reply_to_heartbeat(core, request, machine, heartbeat, &commands);
    free(commands.items);
    bd_commands_send_direct(core, machine);
}

/* As leader, or while it may still reply as one. */
static void receive_as_leader(struct bd_core *core, void *request,
                              const struct bd_heartbeat *heartbeat, int via)
{
    if (heartbeat->fencing_token > core->lead.term) {
        /* it would ignore our reply, and stay here until its lease expires */
        if (!bd_leadership_lease_valid(core))
            bd_leadership_lost(core);
        bd_effect_reply(core, request, 421, bd_wire_write_redirect(""), 0);
        return;
    }
    struct bd_machine *machine = bd_machine_find_or_add(core, heartbeat->machine);
    if (is_copy(machine, heartbeat)) { /* no sign of life: it renews no lease */
        bd_effect_reply(core, request, 503, bd_wire_write_redirect(""), 0);
        return;
    }
    bool is_direct = via == BD_VIA_NO_PEER;
    int peer = is_direct ? bd_redirect_zone_peer(core, machine, heartbeat) : -1;
    if (peer >= 0) {
        bd_effect_reply(core, request, 421,
                        bd_wire_write_redirect(core->settings->peers[peer].name), 0);
        return;
    }
    if (is_direct && machine->delegated)
        bd_delegate_not_needed(core, machine);
    accept_heartbeat(core, request, machine, heartbeat, via);
}

void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len)
{
    if (bd_leadership_may_reply(core)) {
        receive_as_leader(core, request, heartbeat, BD_VIA_NO_PEER);
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
    struct bd_remote *request = calloc(1, sizeof *request);
    if (!request)
        abort();
    request->remote = true;
    request->peer = peer;
    request->id = id;
    if (bd_leadership_may_reply(core))
        receive_as_leader(core, request, heartbeat, peer);
    else if (!bd_forward_relay(core, request, heartbeat, body, len))
        bd_effect_reply(core, request, 421, bd_wire_write_redirect(""), 0);
}

void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (strcmp(core->settings->peers[i].name, peer) == 0)
            receive_from_peer(core, i, id, heartbeat, body, len);
}
