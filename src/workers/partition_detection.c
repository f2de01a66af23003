/* Asymmetric partitions, as the leader detects them. Outbound: heartbeats arrive, but our replies
 * and direct commands do not. Inbound: heartbeats of most workers do not arrive. Where very many
 * machines are affected at once, it is rather our own link than theirs. */
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

#define UNHEARD_REPLIES_MAX 2u            /* then a machine is taken not to receive replies */
#define OUTBOUND_PARTITION_SHARE 0.34     /* of the machines */
#define INBOUND_PARTITION_SHARE 0.6       /* of the machines heard before */
#define INBOUND_PARTITION_MACHINES_MIN 3u /* fewer may well fail together */
#define LATE_INTERVALS 1.5                /* without a heartbeat, */
#define LATE_EXTRA_S 0.5                  /* ... and so much more, is late */

void bd_machine_detect_outbound_partition(struct bd_machine *machine,
                                          const struct bd_heartbeat *heartbeat, int via)
{
    bool is_next = heartbeat->incarnation == machine->incarnation && machine->received_seq &&
                   heartbeat->seq == machine->received_seq + 1;
    if (is_next && via == machine->heartbeat_peer) {
        machine->outbound_partition = false;
        machine->unreceived_replies = 0;
    } else if (is_next) {
        machine->outbound_partition =
            machine->outbound_partition || ++machine->unreceived_replies >= UNHEARD_REPLIES_MAX;
    }
    machine->heartbeat_peer = via;
}

void bd_machines_detect_outbound_partition(struct bd_core *core)
{
    uint32_t known = 0, partitioned = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (machine->terminated || !machine->has_seen_term)
            continue;
        known++;
        partitioned += machine->outbound_partition;
    }
    core->lead.leader_has_outbound_partition = partitioned > OUTBOUND_PARTITION_SHARE * known;
}

void bd_machines_detect_inbound_partition(struct bd_core *core)
{
    uint32_t known = 0, silent = 0;
    double late_s = LATE_INTERVALS * bd_to_secs(core->settings->heartbeat_interval) + LATE_EXTRA_S;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        double silent_s = bd_seconds_between(machine->last_contact_at, core->now);
        if (machine->terminated || !machine->heartbeat_was_direct ||
            silent_s > late_s + bd_to_secs(core->settings->lease))
            continue;
        known++;
        silent += silent_s > late_s;
    }
    core->lead.inbound_partition =
        known >= INBOUND_PARTITION_MACHINES_MIN && silent >= INBOUND_PARTITION_SHARE * known;
}
