/* Direct commands: sent to a worker ahead of its next heartbeat. At most one is in flight to a
 * machine. After a machine did not answer, its commands wait for its heartbeats during a pause that
 * grows with each failure. A zone whose machines do not answer is retried once per ZONE_RETRY_S. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAUSE_DOUBLINGS_MAX 4u   /* of the heartbeat interval: a pause of at most 16 intervals */
#define ZONE_FAILURES_TO_OPEN 4u /* consecutive direct commands without an answer from one zone */
#define ZONE_RETRY_S 4.0         /* between commands to a zone whose circuit breaker is open */

/* Circuit breaker per zone: whether a command may be sent to the machine's zone. To a zone that is
 * cut off from the leader, each command would occupy a sender until it times out. While the circuit
 * breaker is open, it admits one command per retry interval. */
static bool admit_to_zone(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->zone < 0 ||
        core->cloud.direct_by_zone[machine->zone].consecutive_failures < ZONE_FAILURES_TO_OPEN)
        return true;
    if (bd_time_is_before(core->now, core->cloud.direct_by_zone[machine->zone].next_probe_at))
        return false;
    core->cloud.direct_by_zone[machine->zone].next_probe_at =
        bd_time_add(core->now, bd_secs(ZONE_RETRY_S));
    return true;
}

static bool can_be_sent(const struct bd_core *core, const struct bd_machine *machine)
{
    return !machine->direct_in_flight && !bd_time_is_before(core->now, machine->next_direct_at) &&
           machine->has_seen_term && !machine->terminated && *machine->addr &&
           bd_leadership_lease_valid(core) && !bd_machine_is_overdue(core, machine);
}

void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine)
{
    struct bd_command_list commands = {0};
    if (!can_be_sent(core, machine) || !admit_to_zone(core, machine))
        return;
    bd_commands_add_halts(machine, &commands);
    bool has_launch = bd_commands_add_launches(core, machine, &commands, BD_COMMAND_DIRECT);
    if (commands.count == 0)
        return;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_DIRECT_COMMAND);
    effect->machine = machine->index;
    effect->fencing_token = core->lead.term;
    effect->has_launches = has_launch;
    effect->send_deadline = bd_command_deadline(core, has_launch);
    snprintf(effect->addr, sizeof effect->addr, "%s", machine->addr);
    effect->body = bd_wire_write_commands(core->lead.term, machine->incarnation, commands.items,
                                          commands.count);
    machine->direct_in_flight = true;
    machine->direct_sent_at = core->now;
    free(commands.items);
}

/* Handles a direct command that the machine did not answer. Nothing new is launched on the machine
 * until a heartbeat shows that replies reach it. Its launches may be carried out late. */
static void handle_command_unanswered(struct bd_core *core, struct bd_machine *machine,
                                      uint64_t fencing_token, bool has_launch)
{
    double pause_s = bd_to_secs(core->settings->heartbeat_interval);
    for (uint32_t i = 0; i < machine->direct_failures && i < PAUSE_DOUBLINGS_MAX; i++)
        pause_s *= 2;
    machine->direct_failures++;
    if (machine->zone >= 0)
        core->cloud.direct_by_zone[machine->zone].consecutive_failures++;
    machine->outbound_partition = true;
    machine->next_direct_at = bd_time_add(core->now, bd_secs(pause_s));
    if (has_launch && fencing_token > machine->unanswered_launch_token)
        machine->unanswered_launch_token = fencing_token;
}

static void reset_failures(struct bd_core *core, struct bd_machine *machine)
{
    machine->direct_failures = 0;
    machine->outbound_partition = false;
    if (machine->zone >= 0)
        core->cloud.direct_by_zone[machine->zone].consecutive_failures = 0;
}

/* Handles a direct command that was not sent. Its launches cannot arrive late, and the machine
 * did not fail. The commands are sent in the reply to the machine's next heartbeat. */
static void handle_command_not_sent(struct bd_core *core, struct bd_machine *machine,
                                    bool has_launch)
{
    bd_decision_log_machine(core, "command_expired", machine, has_launch ? "launch=1" : "launch=0");
    if (has_launch && machine->unanswered_launch_token == 0)
        bd_machine_exclude_late_launches(machine);
    machine->next_direct_at = bd_time_add(core->now, core->settings->heartbeat_interval);
}

/* Handles a direct command that the machine answered with a heartbeat. */
static void handle_command_answered(struct bd_core *core, struct bd_machine *machine,
                                    bool has_launch, const struct bd_heartbeat *heartbeat)
{
    struct bd_command_list commands = {0};
    reset_failures(core, machine);
    /* the command was answered, so its launches cannot arrive late */
    if (has_launch && machine->unanswered_launch_token == 0)
        bd_machine_exclude_late_launches(machine);
    if (machine->terminated)
        return;
    (void)bd_heartbeat_apply(core, machine, heartbeat, &commands);
    free(commands.items); /* the next heartbeat causes the same commands again */
    if (machine->nreservations)
        bd_commands_send_direct(core, machine);
}

void bd_worker_direct_command_completed(struct bd_core *core, uint32_t machine_index,
                                        uint64_t fencing_token, bool has_launch, long status,
                                        const struct bd_heartbeat *heartbeat)
{
    struct bd_machine *machine = bd_machine_by_index(core, machine_index);
    if (core->role != BD_LEADER || !machine || fencing_token < core->lead.base_term)
        return;
    machine->direct_in_flight = false;
    bd_metrics_record_duration(core->metrics, BD_TIMING_DIRECT_COMMAND,
                               bd_seconds_between(machine->direct_sent_at, core->now));
    if (status == BD_DIRECT_NOT_SENT) {
        handle_command_not_sent(core, machine, has_launch);
        return;
    }
    /* another machine may have the address now */
    bool is_answered = heartbeat && (status == 200 || status == 409) &&
                       strcmp(heartbeat->machine, machine->id) == 0;
    if (is_answered)
        handle_command_answered(core, machine, has_launch, heartbeat);
    else
        handle_command_unanswered(core, machine, fencing_token, has_launch);
}
