/* The leader's transaction. It holds the intents of a scheduling cycle, receipts, the records of
 * jobs that ended, and the records of drains. At most one is in flight.
 *
 * The functions work on core->lead.commit, which scheduling/ allocates and fills with its plan.
 * They are called by scheduling/, and when the term ends or the core is freed. The store's answer
 * is handled by bd_leader_txn_completed in leadership.h. */
#ifndef BD_COMMIT_H
#define BD_COMMIT_H
#include "model/core_state.h"
#include <stddef.h>
#include <stdint.h>

#define BD_INTENT_TASK_NUMBER_BYTES 7u /* counted for a task's number in an intent record */

/* Bytes that are counted for a group in an intent record, without its task numbers. A group holds
 * the tasks of one job and one attempt number on one machine. */
size_t bd_intent_group_bytes(const struct bd_job *job, const struct bd_machine *machine);
/* The maximum number of intent records in a transaction under the store's current limits, at least
 * 1. It leaves room for receipts. */
uint32_t bd_txn_intent_records_max(const struct bd_core *core);
/* Builds the transaction of core->lead.commit and emits it. If there is nothing to write, frees the
 * commit. Releases the planned launches that did not fit into the intent records. */
void bd_leader_txn_submit(struct bd_core *core);
/* `commit` may be NULL. */
void bd_commit_free(struct bd_commit *commit);
/* Frees the term's committed intent records in memory; the store keeps them. */
void bd_intent_records_free(struct bd_core *core);
#endif
