/* What follows from the fate of the leader's transaction. Part of the pure core. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/kv_limits.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "workers/commands.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void bd_intent_record_keep(struct bd_core *core, const char *key, struct bd_intent *e, uint32_t n)
{
    if (core->lead.nintent_records == core->lead.cap_intent_records) {
        uint32_t cap = core->lead.cap_intent_records ? core->lead.cap_intent_records * 2 : 64;
        struct bd_intent_record *r = realloc(core->lead.intent_records, cap * sizeof *r);
        if (!r)
            abort();
        core->lead.intent_records = r;
        core->lead.cap_intent_records = cap;
    }
    struct bd_intent_record *r = &core->lead.intent_records[core->lead.nintent_records++];
    memset(r, 0, sizeof *r);
    snprintf(r->key, sizeof r->key, "%s", key);
    r->e = e;
    r->n = n;
}

static void launch_planned(struct bd_core *core, struct bd_commit *commit)
{
    char committed[48];
    snprintf(committed, sizeof committed, "committed=%llu",
             (unsigned long long)core->lead.sequence_revision);
    for (uint32_t i = 0; i < commit->nplan; i++) {
        struct bd_intent *e = &commit->plan[i];
        struct bd_task *task = e->job->tasks ? &e->job->tasks[e->task] : NULL;
        if (!task || task->state != BD_TASK_PLANNED || task->attempt != e->attempt)
            continue;
        struct bd_machine *machine = bd_machine_of(core, task->machine);
        if (e->job->state != BD_JOB_ACTIVE || bd_job_cancellation_announced(core, e->job) ||
            !machine || machine->gone || machine->scaling_in) {
            bd_task_release(core, e->job, e->task, BD_RELEASE_LAUNCH_NOT_SENT);
            continue;
        }
        bd_task_set(core, e->job, e->task, BD_TASK_LAUNCHING);
        bd_decision_log_task(core, "intent_committed", e->job, e->task, e->attempt, machine,
                             committed);
        if (!e->job->started)
            bd_metrics_time(core->metrics, BD_TIMING_START, core->wall - e->job->ready);
        e->job->started = true;
        bd_remember_image(core, machine, &e->job->spec, false);
    }
    for (uint32_t i = 0; i < commit->nplan; i++) {
        struct bd_machine *machine = bd_machine_of(core, commit->plan[i].machine);
        if (machine)
            bd_commands_send_direct(core, machine);
    }
    for (uint32_t i = 0; i < commit->nparts; i++) {
        const struct bd_part *p = &commit->parts[i];
        struct bd_intent *e = malloc((p->n + 1) * sizeof *e);
        if (!e)
            abort();
        memcpy(e, commit->plan + p->from, p->n * sizeof *e);
        bd_intent_record_keep(core, p->key, e, p->n);
    }
}

static void receipt_kept(struct bd_receipt *r)
{
    struct bd_job *job = r->job;
    if (!job->tasks)
        return;
    job->receipt_chunks |= 1ull << r->chunk;
    uint32_t from = r->chunk * BD_RECEIPT_CHUNK_TASKS;
    bool all = true;
    for (uint32_t i = 0; i < BD_RECEIPT_CHUNK_TASKS && from + i < job->ntasks; i++) {
        struct bd_task *task = &job->tasks[from + i];
        if (r->bits[i / 8] >> (i % 8) & 1)
            task->flags |= BD_TASK_FLAG_RECEIPT_COMMITTED;
        else if (task->state == BD_TASK_DONE)
            all = false;
    }
    if (all)
        job->dirty_chunks &= ~(1u << r->chunk);
    job->dirty = job->dirty_chunks != 0;
}

static void forget_rounds(struct bd_core *core, const struct bd_commit *commit)
{
    for (uint32_t d = 0; d < commit->ndropped; d++) {
        for (uint32_t i = 0; i < core->lead.nintent_records; i++) {
            if (strcmp(core->lead.intent_records[i].key, commit->dropped[d]) == 0) {
                free(core->lead.intent_records[i].e);
                core->lead.intent_records[i] =
                    core->lead.intent_records[--core->lead.nintent_records];
                break;
            }
        }
    }
}

static void done_kept(struct bd_core *core, struct bd_job *job, uint64_t store_revision)
{
    double age = core->wall - job->at;
    bd_log_write(core->log, BD_LOG_INFO,
                 "%s is done: %u tasks, priority %d, estimate %.0f s; last placed after %.1f s, "
                 "last started after "
                 "%.1f s, done after %.1f s, %u reservations lost",
                 job->id, job->ntasks, (int)job->spec.priority, job->spec.estimate,
                 age - bd_between(job->last_placed_at, core->now),
                 age - bd_between(job->last_started_at, core->now), age, job->restarts);
    bd_decision_log_note(core, "user_confirmed", "job=%s state=done revision=%llu by=commit",
                         job->id, (unsigned long long)store_revision);
    job->revision = store_revision;
    job->state = BD_JOB_DONE;
    job->end = core->wall;
    bd_ledger_forget(core, job);
    bd_job_stop_tracking(job);
    json_decref(job->record_spec);
    job->record_spec = NULL;
    bd_dag_job_ended(core, job); /* now, and not before, what waits for it may start */
}

static void kept(struct bd_core *core, struct bd_commit *commit, uint64_t store_revision)
{
    core->lead.sequence_revision = store_revision;
    if (commit->raises_fencing_token) {
        core->lead.term = store_revision;
        core->lead.last_token_raise = core->now;
        core->lead.fenced_attempt = (core->lead.base_term << 20) + core->lead.counter;
        core->lead.withheld = 0;
        bd_decision_log_term(core, "fencing_token_raised", "base=%llu term=%llu",
                             (unsigned long long)core->lead.base_term,
                             (unsigned long long)store_revision);
    }
    for (uint32_t i = 0; i < commit->nreceipts; i++)
        receipt_kept(&commit->receipts[i]);
    forget_rounds(core, commit);
    if (commit->nplan)
        launch_planned(core, commit);
    for (uint32_t i = 0; i < commit->ndone; i++)
        done_kept(core, commit->done[i], store_revision);
    for (uint32_t i = 0; i < commit->ncancelled; i++) {
        commit->cancelled[i]->revision = store_revision;
        bd_dag_cancellation_written(core, commit->cancelled[i]);
    }
}

static void refused(struct bd_core *core, struct bd_commit *commit, json_t *failed)
{
    json_t *v;
    size_t i;
    json_array_foreach(failed, i, v)
    {
        const char *key = json_string_value(v);
        struct bd_job *job = key && strncmp(key, "j/", 2) == 0 ? bd_job_find(core, key + 2) : NULL;
        if (job)
            job->stale = true; /* the change itself comes with the next refresh */
    }
    for (uint32_t n = 0; n < commit->nplan; n++) {
        struct bd_intent *e = &commit->plan[n];
        if (e->job->tasks && e->job->tasks[e->task].state == BD_TASK_PLANNED &&
            e->job->tasks[e->task].attempt == e->attempt)
            bd_task_release(core, e->job, e->task, BD_RELEASE_INTENT_NOT_COMMITTED);
    }
    core->lead.token_raise_wanted = core->lead.token_raise_wanted || commit->raises_fencing_token;
    /* the same number is never used for another content */
}

/* Called malformed: nothing was applied. All of it is decided anew, in smaller pieces. */
static void too_large(struct bd_core *core, struct bd_commit *commit)
{
    if (bd_kv_limits_rejected(core, "a round's transaction"))
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

void bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed)
{
    struct bd_commit *commit = core->lead.commit;
    if (!commit || core->role != BD_LEADER)
        return;
    if (outcome == BD_TXN_DEPOSED) {
        bd_leadership_lost(core);
        return;
    }
    core->lead.commit = NULL;
    if (outcome == BD_TXN_REJECTED)
        too_large(core, commit);
    if (outcome == BD_TXN_COMMITTED)
        kept(core, commit, store_revision);
    else
        refused(core, commit, failed);
    bd_commit_free(commit);
    bd_drain_committed(core, outcome == BD_TXN_COMMITTED);
    core->lead.cycle_wanted = true;
}

void bd_intent_records_free(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->lead.nintent_records; i++)
        free(core->lead.intent_records[i].e);
    free(core->lead.intent_records);
    core->lead.intent_records = NULL;
    core->lead.nintent_records = core->lead.cap_intent_records = 0;
}
