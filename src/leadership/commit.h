/* The leader's transaction: one at a time, made of a scheduling cycle's plan, receipts, and the
 * records of jobs that ended.
 *
 * Works on core->lead.commit. Called by scheduling/, which makes that struct and fills its plan,
 * and by core/ when it frees a core. What the store answered comes to bd_leader_txn_completed in
 * leadership.h. */
#ifndef BD_COMMIT_H
#define BD_COMMIT_H
#include "model/core_state.h"
#include <stddef.h>
#include <stdint.h>

#define BD_INTENT_TASK_NUMBER_BYTES 7u /* of a task's number in an intent record */

/* Bytes that one machine's tasks of a job take in an intent record, without the tasks' numbers. */
size_t bd_intent_group_bytes(const struct bd_job *job, const struct bd_machine *machine);
/* Intent records that a transaction may hold now, at least 1. The rest is left for receipts. */
uint32_t bd_txn_intent_records_max(const struct bd_core *core);
/* Builds the transaction of core->lead.commit and emits it; frees the commit if there is nothing to
 * write. Planned launches that fit no intent record are released. */
void bd_leader_txn_submit(struct bd_core *core);
/* NULL is allowed. */
void bd_commit_free(struct bd_commit *commit);
/* Drops the term's view of the committed intent records. */
void bd_intent_records_free(struct bd_core *core);
#endif
