/* Detection of asymmetric partitions by the leader. Outbound: heartbeats arrive, but the leader's
 * replies and direct commands do not. Inbound: heartbeats of most workers do not arrive. If very
 * many machines are affected at once, the cause is likely the leader's own link, not theirs. */
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

#define LOST_REPLIES_MIN 2u               /* consecutive, to assume that replies do not arrive */
#define OUTBOUND_PARTITION_SHARE 0.34     /* of the machines that have seen this term */
#define INBOUND_PARTITION_SHARE 0.6       /* of the machines that sent heartbeats until recently */
#define INBOUND_PARTITION_MACHINES_MIN 3u /* fewer may fail at the same time */
/* A heartbeat is late after LATE_INTERVALS heartbeat intervals and LATE_EXTRA_S. */
#define LATE_INTERVALS 1.5
#define LATE_EXTRA_S 0.5

void bd_machine_detect_outbound_partition(struct bd_machine *machine,
                                          const struct bd_heartbeat *heartbeat, int forwarding_peer)
{
    bool is_next = heartbeat->incarnation == machine->incarnation && machine->received_seq &&
                   heartbeat->seq == machine->received_seq + 1;
    if (is_next && forwarding_peer == machine->heartbeat_peer) {
        machine->outbound_partition = false;
        machine->unreceived_replies = 0;
    } else if (is_next) {
        machine->outbound_partition =
            machine->outbound_partition || ++machine->unreceived_replies >= LOST_REPLIES_MIN;
    }
    machine->heartbeat_peer = forwarding_peer;
}

void bd_machines_detect_outbound_partition(struct bd_core *core)
{
    uint32_t fenced = 0, partitioned = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (machine->terminated || !machine->has_seen_term)
            continue;
        fenced++;
        partitioned += machine->outbound_partition;
    }
    core->lead.leader_has_outbound_partition = partitioned > OUTBOUND_PARTITION_SHARE * fenced;
}

void bd_machines_detect_inbound_partition(struct bd_core *core)
{
    uint32_t reporting = 0, late = 0;
    double late_after_s =
        LATE_INTERVALS * bd_to_secs(core->settings->heartbeat_interval) + LATE_EXTRA_S;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        double contact_age_s = bd_seconds_between(machine->last_contact_at, core->now);
        if (machine->terminated || !machine->heartbeat_was_direct ||
            contact_age_s > late_after_s + bd_to_secs(core->settings->worker_lease))
            continue;
        reporting++;
        late += contact_age_s > late_after_s;
    }
    core->lead.inbound_partition =
        reporting >= INBOUND_PARTITION_MACHINES_MIN && late >= INBOUND_PARTITION_SHARE * reporting;
}
