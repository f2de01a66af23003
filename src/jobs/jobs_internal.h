/* Functions that only the files of src/jobs/ use. */
#ifndef BD_JOBS_INTERNAL_H
#define BD_JOBS_INTERNAL_H
#include "jobs/jobs.h"

#define BD_KV_OUTAGE_RETRY_AFTER_S 2 /* Retry-After while the key-value store is unreachable */

/* ---- replies (user_requests.c) ---- */

/* Replies with the job's state and counts. */
void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job);
/* Replies 503 because the key-value store is unreachable. */
void bd_user_reply_kv_unreachable(struct bd_core *core, void *request, int retry_after_s);
/* Whether the key-value store answered recently. If not, requests that need the store get 503. */
bool bd_kv_reachable(const struct bd_core *core);

/* ---- reads that need the key-value store (pending_reads.c) ---- */

/* Queues a read that is answered after the next read barrier. The replica owns the result. */
struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_request_purpose purpose);
/* Emits a look-up of the job's record in the store. */
void bd_job_lookup_emit(struct bd_core *core, void *request, const char *id,
                        enum bd_request_purpose purpose);

/* ---- users' transactions (user_txn.c) ---- */

/* Builds a transaction that writes the job's record if the stored revision equals `revision`; 0: if
 * no record exists. Takes ownership of the record; the caller owns the returned text. */
char *bd_job_record_txn(const char *id, uint64_t revision, json_t *record);
/* Emits a user's transactions. body: the transactions, one per line; the last one decides the
 * outcome. Takes ownership of body. */
void bd_user_txns_emit(struct bd_core *core, void *request, const char *id, char *body,
                       enum bd_request_purpose purpose);
/* Emits the transaction that cancels the job. */
void bd_user_cancel_emit(struct bd_core *core, void *request, const struct bd_job *job);

/* ---- admission (submission_feasibility.c, unfinished_limit.c, admission.c, admission_record.c)
 * ---- */

/* Whether the job could run in an otherwise empty cluster: within its team's quota, and on the
 * known machine types and zones. */
bool bd_submission_is_feasible(const struct bd_core *core, const struct bd_job_spec_text *spec);
/* Whether the controllers' memory has room for another unfinished job (unfinished_limit.c). */
bool bd_unfinished_jobs_fit(const struct bd_core *core);
/* Starts the admission of a valid submission. Takes ownership of parents, which may be NULL. */
void bd_admission_start(struct bd_core *core, void *request, const char *id,
                        const struct bd_job_record *record, json_t *parents);
/* Continues an admission after a read barrier: a job that is not in the replica now was either
 * evicted or never accepted. Takes ownership of the admission. */
void bd_admission_resume(struct bd_core *core, struct bd_admission *admission);
/* Continues the admission of this request after the look-up of a parent's record. status: the HTTP
 * status of the look-up; 200: the record is in the replica. */
void bd_admission_lookup_completed(struct bd_core *core, void *request, long status);
/* Builds the transactions that accept the job, one per line. The last one writes the job's record.
 * Returns NULL if the record does not fit the store's limits. The caller owns the text. */
char *bd_admission_txns(const struct bd_core *core, struct bd_admission *admission);

/* ---- dependency graph (dependency_graph.c, dependency_names.c) ---- */

/* Links a job that is new in memory to its entry among the graph's parents, if other jobs depend on
 * the job. */
void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job);
/* Adds an active job to the graph with the parents that its record names. */
void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_job_record_parents *parents);
/* Handles one part of a job's list of parents. key: JOB/HASH/NUMBER. */
void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value);
/* Adds edges from the job to all parents in the list. */
void bd_dag_add_parents(struct bd_core *core, struct bd_job *job, json_t *names);
/* Frees the parts that wait for the rest of their list of parents. */
void bd_dag_parents_parts_free(struct bd_core *core);
/* Frees the graph, except the jobs' edges, which bd_jobs_free frees with the jobs. */
void bd_dag_free(struct bd_core *core);

/* ---- cleanup (admission.c, pending_reads.c) ---- */

/* Frees an admission; NULL is allowed. */
void bd_admission_free(struct bd_admission *admission);
/* Frees all admissions that wait for a look-up. */
void bd_admissions_free(struct bd_core *core);

/* Frees the reads that wait for a barrier. Sends no replies. */
void bd_pending_reads_free(struct bd_core *core);
#endif
