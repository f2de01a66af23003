/* Shared by the files of this folder only. */
#ifndef BD_JOBS_INTERNAL_H
#define BD_JOBS_INTERNAL_H
#include "jobs/jobs.h"

#define OUTAGE_RETRY_S 2 /* users are asked to try again after this while the store is away */

void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job);
/* Whether the key-value store answered lately. */
bool bd_kv_reachable(const struct bd_core *core);
/* Queues a read behind the next read barrier. */
struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_read_purpose purpose);
/* Emits a user's transaction. Takes the record over. */
void bd_user_txn_emit(struct bd_core *core, void *request, const char *id, uint64_t revision,
                      json_t *record, enum bd_read_purpose purpose);
void bd_admission_proven(struct bd_core *core, struct bd_admission *admission);
void bd_admission_looked_up(struct bd_core *core, void *request, long status);

void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_record_parents *r);
void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value);
void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job);
#endif
