/* The simulated controllers' election: the leader's key, its grant and the grant's renewals. */
#include "base/timeutil.h"
#include "core/core.h"
#include "leadership/leadership.h"
#include "model/leadership_state.h"
#include "sim_node.h"
#include "simulation.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <string.h>

#define LEADER_TTL_S 2.0

static void schedule_election(struct sim *sim, struct sim_node *node, double delay_s)
{
    node->is_electing = false;
    sim_node_schedule(sim, node, delay_s, SIM_ELECTION);
}

void sim_election_step(struct sim *sim, struct sim_node *node)
{
    if (node->is_electing)
        return;
    node->is_electing = true;
    if (node->is_leading && node->wants_step_down)
        node->is_leading = false;
    node->wants_step_down = false;
    if (node->is_leading) {
        struct sim_call *renewal =
            sim_node_call(sim, node, SIM_RENEW, SIM_FOR_RENEW, NULL, NULL, LEADER_TTL_S / 3);
        renewal->number = node->grant;
        return;
    }
    (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_LEADER_KEY, "leader", NULL, LEADER_TTL_S / 3);
}

static void request_grant(struct sim *sim, struct sim_node *node, uint64_t revision)
{
    snprintf(node->nonce, sizeof node->nonce, "%d-%llu-%llu", (int)(node - sim->nodes),
             (unsigned long long)node->epoch, (unsigned long long)sim->order);
    node->granted_at = sim_node_monotonic(sim, node);
    struct sim_call *request =
        sim_node_call(sim, node, SIM_GRANT, SIM_FOR_GRANT, NULL, NULL, LEADER_TTL_S / 3);
    request->number = revision;
}

static void write_liveness(struct sim *sim, struct sim_node *node, uint64_t revision)
{
    struct bd_txn txn;
    char key[BD_LABEL_BYTES + 8];
    if (bd_seconds_between(node->liveness_sent_at, sim_node_monotonic(sim, node)) < 0.8 ||
        !bd_txn_begin(&txn))
        return;
    node->liveness_sent_at = sim_node_monotonic(sim, node);
    snprintf(key, sizeof key, "p/%.50s/at", node->settings.node);
    bd_txn_compare(&txn, "leader", revision);
    bd_txn_put(&txn, key, json_pack("{s:f}", "at", sim_node_wall_clock_s(sim, node)), 0);
    bd_liveness_record_sent(node->core, node->liveness_sent_at);
    (void)sim_node_call(sim, node, SIM_COMMIT, SIM_FOR_LIVENESS, NULL, bd_txn_finish(&txn),
                        LEADER_TTL_S / 3);
}

static void leader_key_read(struct sim *sim, struct sim_node *node, struct sim_call *call,
                            long status, json_t *answer)
{
    struct bd_kv_change change;
    uint64_t grant;
    bool is_follower = node->core->role == BD_FOLLOWER && !node->is_acquisition_pending;
    if (status == 404) {
        if (is_follower)
            bd_core_leader_observed(node->core, "", 0, call->sent_at, false);
        if (node->last_refresh_failed)
            schedule_election(sim, node, 0.3);
        else
            request_grant(sim, node, 0);
        return;
    }
    if (status == 200 && bd_wire_read_pair(answer, &change, &grant)) {
        const char *name = json_string_value(json_object_get(change.value, "node"));
        bool is_dismissed = false;
        json_t *item;
        size_t i;
        json_array_foreach(json_object_get(change.value, "away"), i, item)
        {
            is_dismissed =
                is_dismissed || strcmp(json_string_value(item), node->settings.node) == 0;
        }
        if (is_follower)
            bd_core_leader_observed(node->core, name, change.revision, call->sent_at, is_dismissed);
        if (strcmp(name, node->settings.node) == 0 && !node->last_refresh_failed) {
            request_grant(sim, node, change.revision);
            return;
        }
        write_liveness(sim, node, change.revision);
    }
    schedule_election(sim, node, sim_uniform(sim, 0.2, 0.4));
}

static void grant_received(struct sim *sim, struct sim_node *node, struct sim_call *call,
                           long status, json_t *answer)
{
    struct bd_txn txn;
    node->grant = status == 200 ? bd_wire_read_grant(answer) : 0;
    if (!node->grant || !bd_txn_begin(&txn)) {
        schedule_election(sim, node, 0.3);
        return;
    }
    bd_txn_compare(&txn, "leader", call->number);
    bd_txn_put(&txn, "leader",
               json_pack("{s:s,s:s}", "node", node->settings.node, "nonce", node->nonce),
               node->grant);
    (void)sim_node_call(sim, node, SIM_COMMIT, SIM_FOR_ACQUISITION, NULL, bd_txn_finish(&txn),
                        LEADER_TTL_S / 3);
}

static void leader_key_written(struct sim *sim, struct sim_node *node, uint64_t term)
{
    memset(&node->acquisition, 0, sizeof node->acquisition);
    node->acquisition.term = term;
    node->acquisition.grant = node->grant;
    (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_SEQUENCE, "w", NULL, SIM_STORE_TIMEOUT_S);
}

/* Reads the state of the last term: its sequence, then the receipts, then the intents. */
static void acquisition_read(struct sim *sim, struct sim_node *node, const struct sim_call *call,
                             long status, json_t *answer)
{
    struct bd_kv_change change;
    uint64_t grant;
    bool ignored;
    bool is_sequence = call->purpose == SIM_FOR_SEQUENCE;
    if (status != 200 && !(status == 404 && is_sequence)) {
        sim_release_acquisition(node); /* abandons the term; the key expires with its grant */
        schedule_election(sim, node, 0.3);
    } else if (is_sequence) {
        if (status == 200 && bd_wire_read_pair(answer, &change, &grant))
            node->acquisition.commit_sequence_revision = change.revision;
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_RECEIPTS, "r/", NULL, SIM_STORE_TIMEOUT_S);
    } else if (call->purpose == SIM_FOR_RECEIPTS) {
        node->acquisition.receipts = json_incref(bd_wire_read_pairs(answer, &ignored));
        (void)sim_node_call(sim, node, SIM_LIST, SIM_FOR_INTENTS, "i/", NULL, SIM_STORE_TIMEOUT_S);
    } else {
        node->acquisition.intents = json_incref(bd_wire_read_pairs(answer, &ignored));
        node->acquisition.renewal_sent_at = node->granted_at;
        node->wants_step_down = false;
        node->is_leading = node->is_acquisition_pending = true;
        schedule_election(sim, node, 0);
    }
}

void sim_election_answered(struct sim *sim, struct sim_node *node, struct sim_call *call,
                           long status, json_t *answer)
{
    struct bd_kv_change change;
    uint64_t grant;
    switch (call->purpose) {
    case SIM_FOR_LEADER_KEY:
        leader_key_read(sim, node, call, status, answer);
        break;
    case SIM_FOR_GRANT:
        grant_received(sim, node, call, status, answer);
        break;
    case SIM_FOR_ACQUISITION:
        if (status == 200)
            leader_key_written(sim, node, bd_wire_read_store_revision(answer));
        else if (status == 409 || status == 400)
            schedule_election(sim, node, 0.3);
        else
            (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_OWN_KEY, "leader", NULL,
                                LEADER_TTL_S / 3);
        break;
    case SIM_FOR_OWN_KEY:
        if (status == 200 && bd_wire_read_pair(answer, &change, &grant) &&
            strcmp(json_string_value(json_object_get(change.value, "nonce")), node->nonce) == 0)
            leader_key_written(sim, node, change.revision);
        else
            schedule_election(sim, node, 0.3);
        break;
    case SIM_FOR_SEQUENCE:
    case SIM_FOR_RECEIPTS:
    case SIM_FOR_INTENTS:
        acquisition_read(sim, node, call, status, answer);
        break;
    default:
        break;
    }
}

void sim_election_renewed(struct sim *sim, struct sim_node *node, struct sim_call *call,
                          long status)
{
    if (status == 404) {
        node->is_leading = false;
        sim_release_acquisition(node);
        node->is_acquisition_pending = false;
        bd_leadership_lost(node->core);
        schedule_election(sim, node, 0);
        return;
    }
    if (status == 200)
        bd_leadership_lease_renewed(node->core, call->number, call->sent_at);
    schedule_election(sim, node, LEADER_TTL_S / 6);
}
