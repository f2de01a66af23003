/* Jobs as users know them: admission, status and cancellation, the replica of the records, and the
 * dependency graph.
 *
 * Owns core->jobs, core->replica and core->graph. Called by the runtime for users' requests and for
 * what the key-value store answered, and by the leader's folders, which read jobs. */
#ifndef BD_JOBS_H
#define BD_JOBS_H
#include "model/core_state.h"

/* ---- users' requests (admission.c, user_requests.c) ---- */

void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len);
void bd_user_status(struct bd_core *core, void *request, const char *id);
void bd_user_cancel(struct bd_core *core, void *request, const char *id);
/* The outcome of a user's transaction: status 200 with the revision, 409, or 0 and others: not
 * known. purpose: as in the effect. */
void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           int purpose, long status, uint64_t store_revision);

/* ---- replica (replica.c) ---- */

void bd_replica_apply(struct bd_core *core, const struct bd_change *ch);
void bd_replica_refreshed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                          struct timespec sent, bool barrier, bool ok);
void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent);
/* Keeps only the newer of the final records when there are many. */
void bd_replica_evict(struct bd_core *core);
/* One job's record was read: status 200 with the record, 404, or others: not known. */
void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id, int purpose,
                                 long status, const struct bd_change *ch);
/* A peer announced that the job's cancellation was confirmed: until the record shows it, that stops
 * the job's tasks and starts none. No rule rests on it. */
void bd_job_cancellation_received(struct bd_core *core, const char *id);
/* Whether a peer has just announced that the job is cancelled. */
bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job);
void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state);
/* The job's record once it is cancelled. The caller owns it. */
json_t *bd_cancelled_record(const struct bd_job *job);

/* ---- dependency graph (dependency_graph.c) ---- */

/* Whether the job waits for others. */
bool bd_job_has_open_parents(const struct bd_job *job);
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job);
/* A cancellation that followed from a parent's is in the job's record now. */
void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job);
/* Seconds that the job can spare and still be done by its deadline; infinite: it has none. */
double bd_deadline_slack(const struct bd_core *core, const struct bd_job *job);
/* Works out priorities and deadlines anew, if the graph has changed. */
void bd_dag_update_priorities(struct bd_core *core);
void bd_dag_tick(struct bd_core *core);
void bd_dag_free(struct bd_core *core);

void bd_admission_drop(struct bd_admission *admission);
void bd_admission_end(struct bd_core *core);
#endif
