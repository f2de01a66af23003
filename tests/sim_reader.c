/* The simulated controllers' reads of the key-value store: the list of the jobs' records, its
 * refreshes, and the leader's reads of the records of delegates and drains. */
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "model/leadership_state.h"
#include "sim_node.h"
#include "simulation.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdlib.h>

void sim_reader_read(struct sim *sim, struct sim_node *node)
{
    if (node->is_reading)
        return;
    node->is_reading = true;
    if (node->wants_list) {
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_LIST, "j/", NULL, SIM_STORE_TIMEOUT_S);
        return;
    }
    if (node->core->role == BD_LEADER && sim->now > node->next_delegates_read_at) {
        node->next_delegates_read_at = sim->now + 0.7;
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_DELEGATES, "p/", NULL,
                            SIM_STORE_TIMEOUT_S);
        return;
    }
    if (sim->has_drains && node->core->role == BD_LEADER && sim->now > node->next_drains_read_at) {
        node->next_drains_read_at = sim->now + 1;
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_DRAINS, BD_DRAIN_KEY_PREFIX, NULL,
                            SIM_STORE_TIMEOUT_S);
        return;
    }
    struct sim_call *refresh =
        sim_node_call(sim, node, SIM_REFRESH, SIM_FOR_REFRESH, NULL, NULL, SIM_STORE_TIMEOUT_S);
    refresh->number = node->last_read_revision;
    refresh->is_barrier = node->wants_barrier;
    node->wants_barrier = false;
}

/* Passes the drains' records to the core. If the core does not know the drains' machines, they are
 * read first. */
void sim_drain_records_read(struct sim *sim, struct sim_node *node, struct sim_call *call,
                            long status, json_t *answer)
{
    bool ignored, is_machines_answer = call->purpose == SIM_FOR_DRAIN_MACHINES;
    json_t *pairs = status == 200 ? bd_wire_read_pairs(answer, &ignored) : NULL;
    if (!is_machines_answer && pairs && bd_drain_needs_machine_records(node->core)) {
        json_decref(node->drain_records);
        node->drain_records = json_incref(pairs);
        node->drain_records_sent_at = call->sent_at;
        node->is_reading = true;
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_DRAIN_MACHINES,
                            BD_DRAIN_MACHINES_KEY_PREFIX, NULL, SIM_STORE_TIMEOUT_S);
        return;
    }
    if (pairs)
        bd_drain_apply_records(node->core, is_machines_answer ? node->drain_records : pairs,
                               is_machines_answer ? pairs : NULL,
                               is_machines_answer ? node->drain_records_sent_at : call->sent_at);
    sim_node_schedule(sim, node, status == 200 ? 0.2 : 0.25, SIM_READER);
}

void sim_reader_answered(struct sim *sim, struct sim_node *node, struct sim_call *call, long status,
                         json_t *answer)
{
    bool ignored;
    node->is_reading = false;
    if (call->purpose == SIM_FOR_LIST && status == 200) {
        bd_replica_apply_all(node->core, bd_wire_read_pairs(answer, &ignored));
        bd_replica_listed(node->core, bd_wire_read_store_revision(answer), call->sent_at);
        node->last_read_revision = node->core->replica.store_revision;
        node->wants_list = false;
    } else if (call->purpose == SIM_FOR_REFRESH) {
        node->last_refresh_failed = status != 200;
        if (status == 200)
            bd_replica_apply_all(node->core, bd_wire_read_change_log(answer));
        bd_replica_refreshed(node->core, call->number, bd_wire_read_store_revision(answer),
                             call->sent_at, call->is_barrier, status == 200);
        if (status == 200 && bd_wire_read_store_revision(answer) > node->last_read_revision)
            node->last_read_revision = bd_wire_read_store_revision(answer);
    } else if (call->purpose == SIM_FOR_DELEGATES && status == 200) {
        if (sim->is_verbose && getenv("SIM_TRACE_DELEGATES")) {
            char *text = json_dumps(bd_wire_read_pairs(answer, &ignored), JSON_COMPACT);
            sim_trace(sim, "%s reads delegate records %s", node->settings.node, text);
            free(text);
        }
        bd_delegate_records_read(node->core, bd_wire_read_pairs(answer, &ignored), call->sent_at);
    }
    sim_node_schedule(sim, node, status == 200 ? (node->wants_barrier ? 0.04 : 0.2) : 0.25,
                      SIM_READER);
}
