/* The simulated leaders' transactions, which are sent until their outcome is known. */
#include "leadership/leadership.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "sim_node.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>

void sim_commit_send(struct sim *sim, struct sim_node *node)
{
    (void)sim_node_call(sim, node, SIM_COMMIT, SIM_FOR_COMMIT, NULL,
                        strdup(node->pending_commit->body), SIM_STORE_TIMEOUT_S);
}

static bool has_key(json_t *failed, const char *key)
{
    json_t *item;
    size_t i;
    json_array_foreach(failed, i, item)
    {
        if (strcmp(json_string_value(item), key) == 0)
            return true;
    }
    return false;
}

static void complete_commit(struct sim_node *node, enum bd_txn_outcome outcome,
                            uint64_t store_revision, json_t *answer)
{
    struct bd_effect *effect = node->pending_commit;
    struct bd_core *core = node->core;
    node->pending_commit = NULL;
    if (strtoull(effect->key, NULL, 10) == core->lead.base_term &&
        effect->commit_sequence == core->lead.commit_sequence)
        bd_core_leader_txn_completed(core, outcome, store_revision,
                                     bd_wire_read_failed_compares(answer));
    bd_effect_free(effect);
}

void sim_commit_answered(struct sim *sim, struct sim_node *node, struct sim_call *call, long status,
                         json_t *answer)
{
    struct bd_kv_change change;
    uint64_t grant;
    json_t *failed = bd_wire_read_failed_compares(answer);
    if (!node->pending_commit)
        return;
    if (call->purpose == SIM_FOR_COMMIT_OUTCOME) {
        bool is_own_write = status == 200 && bd_wire_read_pair(answer, &change, &grant) &&
                            (uint64_t)json_integer_value(json_object_get(change.value, "t")) ==
                                strtoull(node->pending_commit->key, NULL, 10) &&
                            (uint64_t)json_integer_value(json_object_get(change.value, "n")) ==
                                node->pending_commit->commit_sequence;
        if (is_own_write)
            complete_commit(node, BD_TXN_COMMITTED, change.revision, NULL);
        else if (status == 200 || status == 404)
            complete_commit(node, BD_TXN_DEPOSED, 0, NULL);
        else
            (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_COMMIT_OUTCOME, "w", NULL,
                                SIM_STORE_TIMEOUT_S);
    } else if (status == 200) {
        complete_commit(node, BD_TXN_COMMITTED, bd_wire_read_store_revision(answer), NULL);
    } else if (status == 409 && has_key(failed, "w")) {
        (void)sim_node_call(sim, node, SIM_GET, SIM_FOR_COMMIT_OUTCOME, "w", NULL,
                            SIM_STORE_TIMEOUT_S);
    } else if (status == 409) {
        complete_commit(node, has_key(failed, "leader") ? BD_TXN_DEPOSED : BD_TXN_CONFLICT, 0,
                        answer);
    } else if (status == 400 || !node->is_leading) {
        complete_commit(node, BD_TXN_DEPOSED, 0, NULL);
    } else {
        sim_node_schedule(sim, node, 0.25, SIM_ELECTION)->flag =
            true; /* retries the same transaction */
    }
}
