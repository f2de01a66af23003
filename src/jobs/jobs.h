/* Jobs as users know them: admission, status and cancellation, the replica of the jobs' records,
 * and the dependency graph.
 *
 * Owns core->jobs, core->replica and core->graph. Called by the runtime with users' requests and
 * with the key-value store's answers, by the core's step, and by the leader's folders, which read
 * jobs.
 *
 * `request` is the caller's handle of a user's request, which only bd_effect_reply looks into. Each
 * request gets exactly one reply, as an effect. */
#ifndef BD_JOBS_H
#define BD_JOBS_H
#include "model/core_state.h"

/* ---- users' requests (submission.c, user_requests.c, user_txn.c) ---- */

/* Submits a job. A repeated submission of a known id gets that job's status. */
void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len);
/* Replies with the job's status: at once if it is final, else behind a read barrier. */
void bd_user_status(struct bd_core *core, void *request, const char *id);
/* Cancels a job; the reply follows the commit. A final job gets its status. */
void bd_user_cancel(struct bd_core *core, void *request, const char *id);
/* Completes a user's transaction. body and purpose are those of the effect.
 * status: 200 committed at store_revision, 409 a condition failed, 400 rejected as malformed,
 * others: outcome unknown. */
void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           enum bd_read_purpose purpose, long status, uint64_t store_revision);

/* ---- replica (replica.c, replica_eviction.c, pending_reads.c) ---- */

/* Applies one change of the store. Ignored: other keys, deletions, and revisions that are not
 * newer. */
void bd_replica_apply(struct bd_core *core, const struct bd_kv_change *change);
/* Completes a refresh that asked for changes after `after` and was sent at `sent`; its changes have
 * been applied. barrier: it was the read barrier, whose reads are answered now. ok: it
 * succeeded. */
void bd_replica_refreshed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                          struct timespec sent, bool barrier, bool ok);
/* Completes the first listing of all records: the replica is ready from here on. */
void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent);
/* Frees old final records while there are more than the memory setting allows. */
void bd_replica_evict(struct bd_core *core);
/* Completes the look-up of one job's record. status: 200 with the record in change, 404 there is
 * none, others: unknown. purpose: that of the effect. */
void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id,
                                 enum bd_read_purpose purpose, long status,
                                 const struct bd_kv_change *change);
/* A peer announced that the job's cancellation was confirmed. Until the record shows it, its tasks
 * are stopped and none is started; nothing else depends on the announcement. */
void bd_job_cancellation_received(struct bd_core *core, const char *id);
/* Whether a peer has recently announced the job's cancellation. */
bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job);
/* Sets the job's state; the tasks of a cancelled job are stopped. */
void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state);
/* The job's record in the store once it is cancelled. The caller owns it. */
json_t *bd_job_cancelled_record(const struct bd_job *job);

/* ---- dependency graph (dependency_graph.c, dependency_priorities.c) ---- */

/* Whether the job waits for parents that are not done. */
bool bd_job_has_open_parents(const struct bd_job *job);
/* The job is done or cancelled: updates its dependents, and theirs. */
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job);
/* The job's own record says now that it is cancelled, not only the derivation from a parent. */
void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job);
/* Seconds by which the job's start may still be delayed so that it and its dependents meet their
 * deadlines; infinite: none of them has one. */
double bd_deadline_slack(const struct bd_core *core, const struct bd_job *job);
/* Recomputes the jobs' priorities and latest finish times if the graph has changed. */
void bd_dag_update_priorities(struct bd_core *core);
/* Looks up the records of parents that are not in memory. */
void bd_dag_tick(struct bd_core *core);

/* ---- the step and the end ---- */

/* Asks for a read barrier, if reads wait and none is in flight. */
void bd_pending_reads_start_barrier(struct bd_core *core);
/* Frees all jobs, and what waits for them. Nobody is replied to. */
void bd_jobs_free(struct bd_core *core);
#endif
