/* Shared by the core's own files only. */
#ifndef BD_CORE_INTERNAL_H
#define BD_CORE_INTERNAL_H
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "core/core.h"
#include <stdlib.h>
#include <string.h>

#define CHUNK 4096u /* tasks a receipt record covers: 1 KiB of hex */
#define DRIFT 0.001 /* twice the steady clocks' bound */

enum bd_read_purpose {
    BD_READ_STATUS,
    BD_READ_CANCEL,
    BD_READ_INVALID_SUBMISSION,
    BD_READ_IMPOSSIBLE_SUBMISSION,
    BD_READ_ADMISSION, /* a submission that names jobs which are not in memory */
    BD_READ_PARENT     /* nobody: a record that a job waits for */
};
#define OUTAGE_RETRY_S 2

struct bd_pending_read { /* a poll that waits for a read barrier */
    void *request;
    char id[BD_ID];
    enum bd_read_purpose purpose;
    struct bd_admission *accept;
    struct bd_pending_read *next;
};

#define BD_CYCLE_INTENT_RECORDS_MAX 6 /* intent records in one transaction, at most */
#define BD_VALUE_SHARE 0.9            /* of a value, as counted */

/* bytes of a job's tasks on one machine in an intent record, without the tasks' numbers */
static inline size_t bd_group_bytes(const struct bd_job *job, const struct bd_machine *machine)
{
    return strlen(job->id) + strlen(machine->id) + 36;
}
#define BD_TASK_BYTES 7u /* of a task's number in it */

#define BD_CYCLE_JOBS_MAX 64 /* of each kind in one transaction; the rest comes with the next */

struct bd_commit { /* the one leader transaction in flight */
    struct bd_intent *plan;
    uint32_t nplan, cap;
    struct bd_receipt {
        struct bd_job *job;
        uint32_t chunk;
        unsigned char bits[CHUNK / 8];
    } * receipts;
    uint32_t nreceipts;
    struct bd_job *done[BD_CYCLE_JOBS_MAX];
    uint32_t ndone;
    struct bd_job *cancelled[BD_CYCLE_JOBS_MAX]; /* by derivation: now their records say so too */
    uint32_t ncancelled;
    struct bd_part { /* an intent record: a value takes only so many */
        char key[BD_LABEL];
        uint32_t from, n;
    } parts[BD_CYCLE_INTENT_RECORDS_MAX];
    uint32_t nparts;
    char dropped[BD_CYCLE_JOBS_MAX][BD_LABEL];
    uint32_t ndropped;
    bool raises_fencing_token;
};

static inline bool bd_peer_heard(const struct bd_core *core, int peer, double within_s)
{
    return bd_between(core->peers[peer].heard, core->now) < within_s;
}

#define BD_OLDER_HEARD_S 3.0 /* an older controller's word counts so long */

/* Whether a controller is heard whose status lacks the flag: one of a version before it. */
static inline bool bd_older_heard(const struct bd_core *core, uint8_t flag)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, BD_OLDER_HEARD_S) && !bd_is_zero(core->peers[i].heard) &&
            !(core->peers[i].flags & flag))
            return true;
    return false;
}

static inline bool bd_peer_near(const struct bd_core *core, int peer) /* of our own zone */
{
    return strcmp(core->settings->peers[peer].zone, core->settings->zone) == 0;
}

static inline bool bd_type_allowed(const struct bd_spec *spec, int type)
{
    return spec->any_type || (spec->types >> type & 1);
}

struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind);
void bd_effect_reply(struct bd_core *core, void *request, int status, char *body, int retry_after);
int bd_intern(struct bd_names **table, const char *name);
int bd_type_index(struct bd_core *core, const char *label);
int bd_zone_find(const struct bd_core *core, const char *name); /* -1: not known */
int bd_zone_index(struct bd_core *core, const char *name);
int bd_team_index(const struct bd_core *core, const char *name);
struct bd_job *bd_job_find(struct bd_core *core, const char *id);
struct bd_machine *bd_machine_get(struct bd_core *core, const char *id);
struct bd_machine *bd_machine_of(struct bd_core *core, uint32_t index);
void bd_spec_resolve(struct bd_core *core, const struct bd_spec_text *t, struct bd_spec *spec);

/* users */
void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after);
void bd_user_reply_status(struct bd_core *core, void *request, const struct bd_job *job);
bool bd_kv_reachable(const struct bd_core *core);
struct bd_pending_read *bd_read_after_barrier(struct bd_core *core, void *request, const char *id,
                                              enum bd_read_purpose purpose);
void bd_user_txn_emit(struct bd_core *core, void *request, const char *id, uint64_t revision,
                      json_t *record, enum bd_read_purpose purpose);
void bd_admission_proven(struct bd_core *core, struct bd_admission *admission);
void bd_admission_looked_up(struct bd_core *core, void *request, long status);
void bd_admission_drop(struct bd_admission *admission);
void bd_admission_end(struct bd_core *core);
json_t *bd_cancelled_record(const struct bd_job *job);
void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state);

/* dependencies */
static inline bool bd_job_has_open_parents(const struct bd_job *job)
{
    return job->nopen_parents > 0;
}
void bd_dag_record_loaded(struct bd_core *core, struct bd_job *job,
                          const struct bd_record_parents *r);
void bd_dag_parents_part_loaded(struct bd_core *core, const char *key, json_t *value);
void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job);
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job);
void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job);
double bd_deadline_slack(const struct bd_core *core, const struct bd_job *job);
void bd_dag_tick(struct bd_core *core);
void bd_dag_free(struct bd_core *core);

/* tasks: the only ways their state changes */
void bd_task_set(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_task_state st);
void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t i,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state st);
void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t i,
                     enum bd_release_reason why);
void bd_task_done(struct bd_core *core, struct bd_job *job, uint32_t i);
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                  bool force);
bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job);
void bd_job_stop_tracking(struct bd_job *job);
void bd_machine_lease_expired(struct bd_core *core, struct bd_machine *machine,
                              enum bd_release_reason why);
void bd_machine_gone(struct bd_core *core, struct bd_machine *machine);
bool bd_overdue(const struct bd_core *core, const struct bd_machine *machine);
bool bd_machine_usable(const struct bd_core *core, const struct bd_machine *machine);
struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec answered);
uint32_t bd_tenths(struct timespec t);
void bd_machine_detect_slow(struct bd_core *core, struct bd_machine *machine);
void bd_machines_detect_outbound_partition(struct bd_core *core);
void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine);
bool bd_has_image(const struct bd_machine *machine, int image);
double bd_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                  const struct bd_spec *spec);
void bd_remember_image(struct bd_core *core, struct bd_machine *machine, const struct bd_spec *spec,
                       bool there);

void bd_kv_limits_init(struct bd_core *core);
bool bd_kv_limits_rejected(struct bd_core *core, const char *what);
size_t bd_kv_limits_txn_ops(const struct bd_core *core);
void bd_kv_limits_tick(struct bd_core *core);
void bd_kv_limits_back_off(struct bd_core *core, struct bd_job *job);

void bd_leadership_step_down(struct bd_core *core);
void bd_leadership_resign_if_reads_fail(struct bd_core *core);
/* whether another controller has just said that the job is cancelled */
bool bd_job_cancellation_announced(const struct bd_core *core, const struct bd_job *job);

/* answering in time: lease_renewal.c */
double bd_renewal_window_s(const struct bd_settings *settings);
bool bd_within_renewal_window(const struct bd_core *core, struct timespec seen);
bool bd_may_renew_leases(const struct bd_core *core);
bool bd_may_launch(const struct bd_core *core);
struct timespec bd_command_deadline(const struct bd_core *core, bool launch);

/* prices: which machines a job may take, by how long it has waited */
enum bd_cost_tier { BD_TIER_SPOT, BD_TIER_CHEAP, BD_TIER_ANY };
const char *bd_class_name(const struct bd_core *core, int id);
int bd_tasks_a_machine(const struct bd_type *type, const struct bd_spec *spec);
bool bd_type_is_expensive(const struct bd_core *core, const struct bd_spec *spec, int type,
                          bool spot);
double bd_slack(const struct bd_core *core, int job_class, double estimate, const struct bd_slo *a);
enum bd_cost_tier bd_cost_tier_of(const struct bd_core *core, const struct bd_job *job);
bool bd_within_cost_tier(const struct bd_core *core, const struct bd_spec *spec,
                         enum bd_cost_tier cost_tier, int type, bool spot);

/* standing by in a zone that is cut off */
#define AUTONOMOUS_AFTER_S 3.0 /* without a word from the state service */
bool bd_autonomous_zone_may_reply(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
bool bd_autonomous_zone_is_local(const struct bd_core *core, const struct bd_heartbeat *heartbeat);
void bd_autonomous_zone_liveness_record(struct bd_core *core, const char *node, double at);
void bd_autonomous_zone_leases(struct bd_core *core, struct timespec *until);
struct timespec bd_autonomous_zone_lease_until(const struct bd_core *core,
                                               const struct bd_machine *machine,
                                               const struct timespec *until);

/* delegates */
#define LEADER_SILENT_S                                                                            \
    1.3                      /* not heard by the other controllers for so long: it may be cut off  \
                              */
#define DELEGATE_FRESH_S 1.5 /* a delegate answers so long after its record was last confirmed */
int bd_leader_index(const struct bd_core *core); /* among the peers, or -1 */
struct bd_heartbeat *bd_heartbeat_copy(const struct bd_heartbeat *heartbeat);
void bd_heartbeat_free(struct bd_heartbeat *heartbeat);
bool bd_forward_heartbeat(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                          const char *body, size_t len);
bool bd_forward_relay(struct bd_core *core, struct bd_remote *q,
                      const struct bd_heartbeat *heartbeat, const char *body, size_t len);
void bd_forward_away(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat);
int bd_forward_redirect(struct bd_core *core, struct bd_machine *machine,
                        const struct bd_heartbeat *heartbeat);
void bd_forward_listen(struct bd_core *core);
void bd_forward_tick(struct bd_core *core);
void bd_forward_end(struct bd_core *core);
bool bd_delegate_heartbeat(struct bd_core *core, void *request,
                           const struct bd_heartbeat *heartbeat);
void bd_delegate_tick(struct bd_core *core);
void bd_delegate_not_needed(struct bd_core *core, const struct bd_machine *machine);
void bd_delegate_dismissed(struct bd_core *core, bool dismissed, uint64_t revision,
                           struct timespec sent);
json_t *bd_delegates_dismissed(const struct bd_core *core);
void bd_delegate_end(struct bd_core *core);
/* forgets all machines that we answered for the leader */
void bd_delegate_forget(struct bd_core *core);

/* rounds */
void bd_cycle_place(struct bd_core *core); /* fills c->commit's plan */
uint32_t bd_cycle_intent_records(const struct bd_core *core);
void bd_cycle_commit(struct bd_core *core); /* builds and sends the transaction */
void bd_commit_free(struct bd_commit *commit);
uint32_t bd_jobs_in_order(struct bd_core *core, struct bd_job ***out);
bool bd_allowed(const struct bd_spec *spec, int type, int zone, bool spot);
/* How many tasks the team's limit leaves room for, up to `most`, with so much of it in use. */
uint32_t bd_team_free_quota(const struct bd_team_quota *team, double cpus, double gpus,
                            const struct bd_spec *spec, uint32_t most);
void bd_autoscaler_tick(struct bd_core *core);

/* shared by the parts of the core */
void bd_intent_records_free(struct bd_core *core);

/* intent records */
#define BD_HEX_DIGITS "0123456789abcdef"
void bd_intent_record_keep(struct bd_core *core, const char *key, struct bd_intent *e, uint32_t n);
#endif
