/* Failover to this controller: the new term loads the receipts and intents of earlier terms, and
 * marks each task that may be running as unknown until heartbeats show its state. Part of the pure
 * core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "leadership/leadership_internal.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_store.h"
#include <stdio.h>

void bd_leadership_begin_term(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    struct bd_leadership *lead = &core->lead;
    core->role = BD_LEADER;
    lead->base_term = lead->term = acquisition->term;
    lead->grant = acquisition->grant;
    lead->attempt_count = 0;
    /* earlier terms' launches carried lower tokens */
    lead->last_fenced_attempt = acquisition->term << BD_ATTEMPT_TERM_SHIFT;
    lead->nresults_withheld = 0;
    lead->last_intent_record = 0;
    lead->last_provision_request = 0;
    lead->commit_sequence_revision = acquisition->commit_sequence_revision;
    lead->commit_sequence = acquisition->commit_sequence;
    lead->inventory_read = false;
    snprintf(lead->nonce, sizeof lead->nonce, "%s", acquisition->nonce);
}

/* Sets the time by which the worker leases that earlier terms renewed have expired. An earlier
 * leader within its renewal window, or a delegate of one, may answer heartbeats for at most
 * late_replies_s from now: the leader's window began with its last renewal, and the lease of
 * leader_ttl that it renewed has ended since. */
static void set_earlier_leases_expiry(struct bd_core *core)
{
    double late_replies_s =
        bd_renewal_window_s(core->settings) - bd_to_secs(core->settings->leader_ttl);
    late_replies_s = late_replies_s > BD_DELEGATE_CONFIRMATION_VALID_S
                         ? late_replies_s
                         : BD_DELEGATE_CONFIRMATION_VALID_S;
    core->lead.earlier_leases_expire_at =
        bd_lease_expiry(core, bd_time_add(core->now, bd_secs(late_replies_s)));
}

static void start_tracking_jobs(struct bd_core *core)
{
    struct bd_job *job, *next;
    HASH_ITER(hh, core->jobs, job, next)
    {
        job->receipt_chunks = 0;
        /* includes cancelled jobs: their running tasks use resources and must be stopped */
        if (job->state != BD_JOB_DONE && !bd_job_start_tracking(core, job))
            bd_log_write(core->log, BD_LOG_ERROR, "%s: out of memory for tasks", job->id);
    }
}

/* Calls load with the key and value of each well-formed pair. */
static void load_pairs(struct bd_core *core, json_t *pairs,
                       void (*load)(struct bd_core *core, const char *key, json_t *value))
{
    struct bd_kv_change change;
    json_t *pair;
    size_t i;
    json_array_foreach(pairs, i, pair)
    {
        if (bd_wire_read_change(pair, &change))
            load(core, change.key, change.value);
    }
}

/* Marks the intent's task as unknown if the attempt may be running, and returns whether it may.
 * Only a task's newest intent counts: it was written after the earlier attempts could no longer
 * run. evidence: key=value text for the decision log; NULL: the log is off. */
static bool mark_task_unknown(struct bd_core *core, const struct bd_intent *intent,
                              const char *evidence)
{
    struct bd_job *job = intent->job;
    struct bd_task *task = bd_job_task_record(job, intent->task); /* NULL: the task is done */
    struct bd_machine *machine = bd_machine_by_index(core, intent->machine);
    if (!task || task->state != BD_TASK_PENDING || task->attempt != intent->attempt || !machine)
        return false;
    bd_task_assign(core, job, intent->task, machine, intent->attempt, BD_TASK_UNKNOWN);
    task->flags |= BD_TASK_FLAG_LAUNCH_SENT;
    if (evidence)
        bd_decision_log_task(core, "task_unknown", job, intent->task, intent->attempt, machine,
                             evidence);
    if (job->state != BD_JOB_ACTIVE)
        task->flags |= BD_TASK_FLAG_STOP_REQUESTED | BD_TASK_FLAG_FORCED_STOP;
    return true;
}

static void mark_unknown_tasks(struct bd_core *core)
{
    uint32_t nunknown = 0;
    bool is_logged = bd_decision_log_is_enabled(core);
    for (uint32_t i = 0; i < core->lead.nintent_records; i++) {
        const struct bd_intent_record *record = &core->lead.intent_records[i];
        char evidence[sizeof record->key + sizeof "intent="] = "";
        if (is_logged)
            snprintf(evidence, sizeof evidence, "intent=%s", record->key);
        for (uint32_t k = 0; k < record->nintents; k++)
            nunknown += mark_task_unknown(core, &record->intents[k], is_logged ? evidence : NULL);
    }
    bd_log_write(core->log, BD_LOG_INFO, "term %llu: %u intent records, %u tasks to reconcile",
                 (unsigned long long)core->lead.base_term, core->lead.nintent_records, nunknown);
}

static void log_term_acquired(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    bd_decision_log_term(
        core, "term_acquired",
        "term=%llu grant=%llu replica=%llu replica_age_ms=%.0f w=%llu receipts=%zu "
        "intents=%zu earlier_leases_s=%.1f",
        (unsigned long long)acquisition->term, (unsigned long long)acquisition->grant,
        (unsigned long long)core->replica.store_revision,
        1000 * bd_seconds_between(core->replica.refreshed_at, core->now),
        (unsigned long long)acquisition->commit_sequence_revision,
        json_array_size(acquisition->receipts), json_array_size(acquisition->intents),
        bd_seconds_between(core->now, core->lead.earlier_leases_expire_at));
}

void bd_leadership_reconcile(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    core->delegates.read_sent_at = core->now;
    set_earlier_leases_expiry(core);
    start_tracking_jobs(core);
    load_pairs(core, acquisition->receipts, bd_receipt_load);
    load_pairs(core, acquisition->intents, bd_intent_record_load);
    mark_unknown_tasks(core);
    log_term_acquired(core, acquisition);
}

void bd_leadership_start_serving(struct bd_core *core, const struct bd_acquisition *acquisition)
{
    core->lead.lease_valid_until = core->lead.renewal_sent_at = acquisition->renewal_sent_at;
    bd_leadership_lease_renewed(core, acquisition->grant, acquisition->renewal_sent_at);
    core->lead.cycle_wanted = true;
}
