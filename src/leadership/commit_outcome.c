/* Applies the leader's transaction after its commit, or reverts it. Part of the pure core. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "leadership/leadership.h"
#include "leadership/leadership_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "model/task_table.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "workers/commands.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- committed ---- */

static void apply_token_raise(struct bd_core *core, uint64_t store_revision)
{
    core->lead.term = store_revision;
    core->lead.last_token_raise = core->now;
    core->lead.last_fenced_attempt =
        (core->lead.base_term << BD_ATTEMPT_TERM_SHIFT) + core->lead.attempt_count;
    core->lead.nresults_withheld = 0;
    bd_decision_log_term(core, "fencing_token_raised", "base=%llu term=%llu",
                         (unsigned long long)core->lead.base_term,
                         (unsigned long long)store_revision);
}

/* The intent's task if it is still planned with the intent's attempt, else NULL. */
static const struct bd_task *planned_task(const struct bd_intent *intent)
{
    const struct bd_task *task = intent->job->tasks ? bd_job_task(intent->job, intent->task) : NULL;
    bool is_planned = task && task->state == BD_TASK_PLANNED && task->attempt == intent->attempt;
    return is_planned ? task : NULL;
}

/* Sets the intent's task to launching, or releases it if it must not be launched any more. */
static void begin_launch(struct bd_core *core, const struct bd_intent *intent)
{
    struct bd_job *job = intent->job;
    const struct bd_task *task = planned_task(intent);
    if (!task)
        return;
    struct bd_machine *machine = bd_machine_by_index(core, task->machine);
    if (job->state != BD_JOB_ACTIVE || bd_job_cancellation_announced(core, job) || !machine ||
        machine->terminated || machine->scaling_in) {
        bd_task_release(core, job, intent->task, BD_RELEASE_LAUNCH_NOT_SENT);
        return;
    }
    char committed[48];
    snprintf(committed, sizeof committed, "committed=%llu",
             (unsigned long long)core->lead.commit_sequence_revision);
    bd_task_set_state(core, job, intent->task, BD_TASK_LAUNCHING);
    bd_decision_log_task(core, "intent_committed", job, intent->task, intent->attempt, machine,
                         committed);
    if (!job->start_committed)
        bd_metrics_record_duration(core->metrics, BD_TIMING_START, core->wall_s - job->ready_at);
    job->start_committed = true;
    bd_machine_record_image_use(core, machine, &job->spec, false);
}

static void add_intent_slice(struct bd_core *core, const struct bd_commit *commit,
                             const struct bd_intent_slice *slice)
{
    struct bd_intent *intents = malloc((slice->count + 1) * sizeof *intents);
    if (!intents)
        abort();
    memcpy(intents, commit->plan + slice->first_intent, slice->count * sizeof *intents);
    bd_intent_record_add(core, slice->key, intents, slice->count);
}

/* Marks all launches before the first command is sent, so that one command can carry several. */
static void launch_plan(struct bd_core *core, const struct bd_commit *commit)
{
    for (uint32_t i = 0; i < commit->nplan; i++)
        begin_launch(core, &commit->plan[i]);
    for (uint32_t i = 0; i < commit->nplan; i++) {
        struct bd_machine *machine = bd_machine_by_index(core, commit->plan[i].machine);
        if (machine)
            bd_commands_send_direct(core, machine);
    }
    for (uint32_t i = 0; i < commit->nintent_slices; i++)
        add_intent_slice(core, commit, &commit->intent_slices[i]);
}

static void log_done(const struct bd_core *core, const struct bd_job *job)
{
    double age_s = core->wall_s - job->submitted_at;
    bd_log_write(core->log, BD_LOG_INFO,
                 "%s is done: %u tasks, priority %d, estimate %.0f s; last placed after %.1f s, "
                 "last started after %.1f s, done after %.1f s, %u reservations lost",
                 job->id, job->ntasks, (int)job->spec.priority, job->spec.estimate_s,
                 age_s - bd_seconds_between(job->last_placed_at, core->now),
                 age_s - bd_seconds_between(job->last_started_at, core->now), age_s,
                 job->reservations_lost);
}

static void finish_job(struct bd_core *core, struct bd_job *job, uint64_t store_revision)
{
    log_done(core, job);
    bd_decision_log_note(core, "user_confirmed", "job=%s state=done revision=%llu by=commit",
                         job->id, (unsigned long long)store_revision);
    job->revision = store_revision;
    job->state = BD_JOB_DONE;
    job->ended_at = core->wall_s;
    bd_ledger_remove_job(core, job);
    bd_job_stop_tracking(job);
    bd_job_release_record_spec(job);
    bd_dag_job_ended(core, job); /* only now may its dependents start */
}

static void apply_commit(struct bd_core *core, const struct bd_commit *commit,
                         uint64_t store_revision)
{
    core->lead.commit_sequence_revision = store_revision;
    if (commit->raises_fencing_token)
        apply_token_raise(core, store_revision);
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        bd_receipt_mark_committed(&commit->receipts[i]);
    for (uint32_t i = 0; i < commit->ndeleted_keys; i++)
        bd_intent_record_remove(core, commit->deleted_keys[i]);
    if (commit->nplan)
        launch_plan(core, commit);
    for (uint32_t i = 0; i < commit->ndone; i++)
        finish_job(core, commit->done[i], store_revision);
    for (uint32_t i = 0; i < commit->ncancelled; i++) {
        commit->cancelled[i]->revision = store_revision;
        bd_dag_cancellation_written(core, commit->cancelled[i]);
        bd_job_release_record_spec(commit->cancelled[i]);
    }
}

/* ---- not applied ---- */

static void mark_stale(struct bd_core *core, const char *key)
{
    struct bd_job *job = key && strncmp(key, "j/", 2) == 0 ? bd_job_find(core, key + 2) : NULL;
    if (job)
        job->record_stale = true; /* until the next refresh has read the record */
}

/* Releases the plan of a transaction that was not applied. The transaction's sequence number is not
 * used again, since a number must identify one content only. */
static void revert_commit(struct bd_core *core, const struct bd_commit *commit, json_t *failed)
{
    json_t *key;
    size_t i;
    json_array_foreach(failed, i, key)
    {
        mark_stale(core, json_string_value(key));
    }
    for (uint32_t k = 0; k < commit->nplan; k++)
        if (planned_task(&commit->plan[k]))
            bd_task_release(core, commit->plan[k].job, commit->plan[k].task,
                            BD_RELEASE_INTENT_NOT_COMMITTED);
    core->lead.token_raise_wanted = core->lead.token_raise_wanted || commit->raises_fencing_token;
}

/* Lowers the limits that are used for the store after the store rejected a transaction. If no limit
 * can be lowered further, one of the jobs must have caused the rejection: all of them are left out
 * of transactions for a while. */
static void back_off_rejected(struct bd_core *core, const struct bd_commit *commit)
{
    if (bd_kv_limits_lower_after_rejection(core, "the leader's transaction"))
        return;
    for (uint32_t i = 0; i < commit->nplan; i++)
        bd_kv_limits_back_off(core, commit->plan[i].job);
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        bd_kv_limits_back_off(core, commit->receipts[i].job);
    for (uint32_t i = 0; i < commit->ndone; i++)
        bd_kv_limits_back_off(core, commit->done[i]);
    for (uint32_t i = 0; i < commit->ncancelled; i++)
        bd_kv_limits_back_off(core, commit->cancelled[i]);
}

bool bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed)
{
    struct bd_commit *commit = core->lead.commit;
    if (!commit || core->role != BD_LEADER)
        return false;
    if (outcome == BD_TXN_DEPOSED) {
        bd_leadership_lost(core);
        return false;
    }
    core->lead.commit = NULL;
    if (outcome == BD_TXN_REJECTED)
        back_off_rejected(core, commit);
    if (outcome == BD_TXN_COMMITTED)
        apply_commit(core, commit, store_revision);
    else
        revert_commit(core, commit, failed);
    bd_commit_free(commit);
    core->lead.cycle_wanted = true;
    return true;
}
