/* Admission, status and cancellation of jobs, the replica of the job records, and the dependency
 * graph.
 *
 * Owns core->jobs, core->replica and core->graph. Called by the runtime with users' requests and
 * with responses of the key-value store, by the core's step, and by the modules that run on the
 * leader.
 *
 * `request` is the caller's opaque handle of a user's request; only bd_effect_reply reads it. Each
 * request gets exactly one reply, as an effect. */
#ifndef BD_JOBS_H
#define BD_JOBS_H
#include "model/core_state.h"

/* ---- users' requests (submission.c, user_requests.c, user_txn.c) ---- */

/* Submits a job. If a job with this id exists, the reply is its status. */
void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len);
/* Replies with the job's status: at once if the job is final, otherwise after a read barrier. */
void bd_user_status(struct bd_core *core, void *request, const char *id);
/* Cancels a job and replies once the cancellation is committed. If the job is final, the reply is
 * its status. */
void bd_user_cancel(struct bd_core *core, void *request, const char *id);
/* Handles the outcome of a user's transaction. body and purpose are those of the effect.
 * status: 200 committed at store_revision, 409 a comparison failed, 400 rejected as malformed, any
 * other value: outcome unknown. */
void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           enum bd_request_purpose purpose, long status, uint64_t store_revision);

/* ---- replica (replica.c, replica_eviction.c, pending_reads.c) ---- */

/* Applies one change of the store to the job that its key names. Ignores keys outside j/,
 * deletions, and revisions that are not newer than the job's. */
void bd_replica_apply(struct bd_core *core, const struct bd_kv_change *change);
/* Applies a list of changes of the store; borrowed, and NULL is an empty one. */
void bd_replica_apply_all(struct bd_core *core, json_t *changes);
/* Completes a refresh that was sent at sent_at. The caller has applied the refresh's changes, from
 * after_revision (exclusive) to store_revision. is_barrier: the refresh was the read barrier, so
 * the reads that wait for the barrier are answered. */
void bd_replica_refreshed(struct bd_core *core, uint64_t after_revision, uint64_t store_revision,
                          struct timespec sent_at, bool is_barrier, bool succeeded);
/* Completes the initial listing of all records, requested at sent_at. The replica is then ready. */
void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent_at);
/* Evicts old final records while the replica holds more than the memory setting allows. */
void bd_replica_evict(struct bd_core *core);
/* Completes the look-up of one job's record. status: 200 the record is in change, 404 there is no
 * record, any other value: unknown. purpose is that of the effect. */
void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id,
                                 enum bd_request_purpose purpose, long status,
                                 const struct bd_kv_change *change);
/* Handles a peer's announcement that the job's cancellation was committed. Stops the job's tasks
 * and prevents new starts until the record arrives; nothing else depends on the announcement. */
void bd_job_cancellation_announcement_received(struct bd_core *core, const char *id);
/* Whether a peer has announced the job's cancellation and the announcement has not expired. */
bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job);
/* Sets the job's state. Stops the tasks if the job is cancelled. */
void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state);
/* Frees the specification that is kept for rewriting the job's record. A final record is never
 * rewritten. */
void bd_job_release_record_spec(struct bd_job *job);
/* Builds the cancelled record that replaces the job's active record. The caller owns the result. */
json_t *bd_job_cancelled_record(const struct bd_job *job);

/* ---- dependency graph (dependency_graph.c, dependency_priorities.c) ---- */

/* Whether any parent of the job is not done. */
bool bd_job_has_open_parents(const struct bd_job *job);
/* Updates the direct and indirect dependents of a job that is done or cancelled. */
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job);
/* Records that the job's own record is final, so that a cancellation derived from a parent is no
 * longer to be written. */
void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job);
/* Seconds that the job's start can be delayed from now without the job or its dependents missing a
 * deadline. Negative: a deadline will be missed. Infinite: none of them has a deadline. */
double bd_deadline_slack_s(const struct bd_core *core, const struct bd_job *job);
/* Recomputes the jobs' priorities and latest finish times if the graph has changed. */
void bd_dag_update_priorities(struct bd_core *core);
/* Looks up the records of parents that are not in memory, a batch at a time. */
void bd_dag_look_up_unknown_parents(struct bd_core *core);

/* ---- step and shutdown ---- */

/* Starts a read barrier if reads are waiting and no barrier is in flight. */
void bd_pending_reads_start_barrier(struct bd_core *core);
/* Frees all jobs, pending reads, admissions and the dependency graph. Sends no replies. */
void bd_jobs_free(struct bd_core *core);
#endif
