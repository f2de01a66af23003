/* Functions that the files of src/jobs/ share, and nobody else calls. */
#ifndef BD_JOBS_INTERNAL_H
#define BD_JOBS_INTERNAL_H
#include "jobs/jobs.h"

#define BD_KV_OUTAGE_RETRY_S 2 /* Retry-After while the key-value store is not reachable */

/* ---- replies (user_requests.c) ---- */

/* Replies with the job's state and counts. */
void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job);
/* Replies 503: the key-value store is not reachable. */
void bd_user_reply_kv_unreachable(struct bd_core *core, void *request, int retry_after_s);
/* Whether the key-value store answered recently: without it nothing can be accepted. */
bool bd_kv_reachable(const struct bd_core *core);

/* ---- reads that the replica cannot answer (pending_reads.c) ---- */

/* Queues a read behind the next read barrier. The replica owns it. */
struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_read_purpose purpose);
/* Emits the look-up of a job's record in the store. */
void bd_job_lookup_emit(struct bd_core *core, void *request, const char *id,
                        enum bd_read_purpose purpose);

/* ---- users' transactions (user_txn.c) ---- */

/* A transaction that sets the job's record if its revision is this one; 0: if there is none. Takes
 * the record over; the caller owns the text. */
char *bd_record_txn(const char *id, uint64_t revision, json_t *record);
/* Emits a user's transactions, one a line, the one that counts last. Takes body over. */
void bd_user_txns_emit(struct bd_core *core, void *request, const char *id, char *body,
                       enum bd_read_purpose purpose);
/* Emits the transaction that cancels the job. */
void bd_user_cancel_emit(struct bd_core *core, void *request, const struct bd_job *job);

/* ---- admission (submission_feasibility.c, admission.c, admission_record.c) ---- */

/* Whether the job could run on an empty fleet of the known machine types. */
bool bd_submission_is_feasible(const struct bd_core *core, const struct bd_job_spec_text *spec);
/* Starts the admission of a valid submission. Takes parents (may be NULL) over. */
void bd_admission_start(struct bd_core *core, void *request, const char *id,
                        const struct bd_job_record *record, json_t *parents);
/* Continues behind a read barrier: a job that the replica lacks now was evicted or never accepted.
 * Takes the admission over. */
void bd_admission_resume(struct bd_core *core, struct bd_admission *admission);
/* Continues after the look-up of a parent's record, which the replica holds if status is 200. */
void bd_admission_lookup_completed(struct bd_core *core, void *request, long status);
/* The transactions that accept the job, one a line, the one with its record last. NULL: the record
 * does not fit the store's limits. The caller owns the text. */
char *bd_admission_txns(const struct bd_core *core, struct bd_admission *admission);

/* ---- dependency graph (dependency_graph.c, dependency_names.c) ---- */

/* A job's record is in memory now, for the first time. */
void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job);
/* Adds an active job to the graph, with the parents that its record names. */
void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_job_record_parents *parents);
/* A part of a job's list of parents was read. key: JOB/HASH/NUMBER. */
void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value);
/* Adds edges from the job to all parents in the list. */
void bd_dag_add_parents(struct bd_core *core, struct bd_job *job, json_t *names);
/* Frees the parts that wait for their job's record. */
void bd_dag_parents_parts_free(struct bd_core *core);
/* Frees the graph; the jobs' edges are freed with the jobs. */
void bd_dag_free(struct bd_core *core);

/* ---- admissions in progress (admission.c) ---- */

/* Frees an admission; NULL is allowed. */
void bd_admission_free(struct bd_admission *admission);
/* Frees all admissions that wait for a look-up. */
void bd_admissions_free(struct bd_core *core);

/* Frees the reads that wait for a barrier; nobody is replied to. */
void bd_pending_reads_free(struct bd_core *core);
#endif
