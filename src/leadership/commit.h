/* The one leader transaction under way: what it holds, and its bounds. */
#ifndef BD_COMMIT_H
#define BD_COMMIT_H
#include "model/core_state.h"
#include "model/task_state.h"
#include "wire/wire.h"

#define BD_TASK_BYTES 7u /* of a task's number in an intent record */
#define BD_HEX_DIGITS "0123456789abcdef"

/* Bytes of a job's tasks on one machine in an intent record, without the tasks' numbers. */
size_t bd_group_bytes(const struct bd_job *job, const struct bd_machine *machine);
/* Intent records that a transaction may hold now. */
uint32_t bd_cycle_intent_records(const struct bd_core *core);
/* Builds the transaction of a cycle from its plan and emits it. */
void bd_cycle_commit(struct bd_core *core);
void bd_commit_free(struct bd_commit *commit);
/* Takes over the intents of a record that was written. */
void bd_intent_record_keep(struct bd_core *core, const char *key, struct bd_intent *e, uint32_t n);
void bd_intent_records_free(struct bd_core *core);
#endif
