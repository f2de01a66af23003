/* The dependency graph: jobs that wait until other jobs, their parents, are done.
 *
 * A job is ready only when the done record of each parent is committed; heartbeats and uncommitted
 * receipts do not count. A done record never changes back, and an active record becomes either done
 * or cancelled by one compare-and-swap transaction. So a parent's cancellation and a dependent's
 * start cannot both happen: the start requires that the parent's record is done, the cancellation
 * that it is not. No further fencing is needed.
 *
 * Cancellation is transitive: a job with a cancelled parent is cancelled. Every controller derives
 * this from the records after a read barrier. The leader writes the cancellation into the job's
 * own record later; nothing depends on when this happens. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "jobs/jobs.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define LOOKUP_INTERVAL_S 2.0     /* after a batch of look-ups that was not full */
#define FULL_BATCH_INTERVAL_S 0.2 /* after a full one: more parents are due */
#define LOOKUP_BATCH_MAX 8u
#define LOOKUP_RETRY_S (LOOKUP_INTERVAL_S * LOOKUP_BATCH_MAX) /* between look-ups of one parent */

bool bd_job_has_open_parents(const struct bd_job *job)
{
    return job->nopen_parents > 0;
}

/* ---- parents ---- */

static struct bd_parent_job *find_or_add_parent(struct bd_core *core, const char *id)
{
    struct bd_parent_job *parent = NULL;
    HASH_FIND_STR(core->graph.parents, id, parent);
    if (parent)
        return parent;
    parent = calloc(1, sizeof *parent);
    if (!parent)
        abort();
    snprintf(parent->id, sizeof parent->id, "%s", id);
    parent->job = bd_job_find(core, id);
    if (parent->job)
        parent->job->as_parent = parent;
    else
        core->graph.nunknown_parents++;
    HASH_ADD_STR(core->graph.parents, id, parent);
    return parent;
}

static void remove_parent(struct bd_core *core, struct bd_parent_job *parent)
{
    if (parent->job)
        parent->job->as_parent = NULL;
    else
        core->graph.nunknown_parents--;
    HASH_DEL(core->graph.parents, parent);
    free(parent);
}

void bd_dag_job_loaded(struct bd_core *core, struct bd_job *job)
{
    struct bd_parent_job *parent = NULL;
    HASH_FIND_STR(core->graph.parents, job->id, parent);
    if (!parent || parent->job)
        return;
    parent->job = job;
    job->as_parent = parent;
    core->graph.nunknown_parents--;
}

/* ---- edges ---- */

/* Removes all edges from the job to its parents. Called when the job is final or ready. */
static void remove_edges(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->nparent_edges; i++) {
        struct bd_dependency_edge *edge = &job->parent_edges[i];
        struct bd_parent_job *parent = edge->parent;
        if (!parent)
            continue;
        DL_DELETE(parent->dependents, edge);
        if (--parent->ndependents == 0)
            remove_parent(core, parent);
    }
    free(job->parent_edges);
    job->parent_edges = NULL;
    job->nparent_edges = job->nopen_parents = job->parent_parts = 0;
    core->graph.priorities_stale = true;
}

static void delay_ready_until(struct bd_job *job, double parent_ended_at)
{
    if (parent_ended_at > job->ready_at)
        job->ready_at = parent_ended_at;
}

/* Reduces the job's open parents by one. The job is ready after the last one. parent_ended_at: time
 * of day, in seconds. */
static void close_parent(struct bd_core *core, struct bd_job *job, double parent_ended_at)
{
    delay_ready_until(job, parent_ended_at);
    if (--job->nopen_parents > 0)
        return;
    remove_edges(core, job);
    bd_log_write(core->log, BD_LOG_INFO, "%s is runnable, %.1f s after its submission", job->id,
                 core->wall_s - job->submitted_at);
    core->lead.cycle_wanted = true;
}

static void cancel_by_parent(struct bd_core *core, struct bd_job *job)
{
    remove_edges(core, job);
    bd_job_set_state(core, job, BD_JOB_CANCELLED);
    job->cancelled_by_parent = true;
    core->graph.nunrecorded_cancellations++;
}

/* Removes one of the parent's edges and returns its dependent. */
static struct bd_job *detach_dependent(struct bd_parent_job *parent)
{
    struct bd_dependency_edge *edge = parent->dependents;
    DL_DELETE(parent->dependents, edge);
    parent->ndependents--;
    edge->parent = NULL;
    return edge->job;
}

/* Updates the direct dependents of a job that is done or cancelled. Adds the dependents that become
 * cancelled to the work list. */
static void update_dependents(struct bd_core *core, const struct bd_job *job,
                              struct bd_job **work_list)
{
    struct bd_parent_job *parent = job->as_parent;
    if (!parent)
        return;
    while (parent->dependents) {
        struct bd_job *dependent = detach_dependent(parent);
        if (job->state == BD_JOB_DONE) {
            close_parent(core, dependent, job->ended_at);
            continue;
        }
        cancel_by_parent(core, dependent);
        dependent->next_in_work_list = *work_list;
        *work_list = dependent;
    }
    remove_parent(core, parent);
}

/* Uses a work list instead of recursion, because dependency chains may be long. */
void bd_dag_job_ended(struct bd_core *core, struct bd_job *job)
{
    struct bd_job *work_list = job;
    if (job->parent_edges)
        remove_edges(core, job);
    job->next_in_work_list = NULL;
    while (work_list) {
        const struct bd_job *ended = work_list;
        work_list = ended->next_in_work_list;
        update_dependents(core, ended, &work_list);
    }
    core->graph.priorities_stale = true;
}

void bd_dag_cancellation_written(struct bd_core *core, struct bd_job *job)
{
    if (job->cancelled_by_parent)
        core->graph.nunrecorded_cancellations--;
    job->cancelled_by_parent = false;
}

/* ---- new jobs ---- */

static void add_open_edge(struct bd_core *core, struct bd_dependency_edge *edge, const char *name)
{
    struct bd_parent_job *parent = find_or_add_parent(core, name);
    /* A job's edges are added in succession, so an earlier edge of this job is the list's last. */
    bool is_repeated = parent->dependents && parent->dependents->prev->job == edge->job;
    if (is_repeated)
        return;
    edge->parent = parent;
    DL_APPEND(parent->dependents, edge);
    parent->ndependents++;
    edge->job->nopen_parents++;
}

/* Returns whether the parent is cancelled. */
static bool add_edge(struct bd_core *core, struct bd_job *job, const char *name)
{
    const struct bd_job *parent = bd_job_find(core, name);
    struct bd_dependency_edge *edge = &job->parent_edges[job->nparent_edges++];
    edge->job = job;
    if (parent && parent->state == BD_JOB_CANCELLED)
        return true;
    if (parent && parent->state == BD_JOB_DONE)
        delay_ready_until(job, parent->ended_at);
    else
        add_open_edge(core, edge, name);
    return false;
}

/* Returns whether one of the parents is cancelled. */
static bool add_edges(struct bd_core *core, struct bd_job *job, json_t *names)
{
    json_t *value;
    size_t i;
    bool has_cancelled = false;
    json_array_foreach(names, i, value)
    {
        const char *name = json_string_value(value);
        bool is_valid = bd_wire_is_job_id(name) && strcmp(name, job->id) != 0;
        if (!is_valid)
            job->nopen_parents++; /* no such parent can be done: the job never starts */
        else if (add_edge(core, job, name))
            has_cancelled = true;
    }
    return has_cancelled;
}

void bd_dag_add_parents(struct bd_core *core, struct bd_job *job, json_t *names)
{
    job->parent_edges = calloc(json_array_size(names) + 1, sizeof *job->parent_edges);
    if (!job->parent_edges)
        abort();
    job->nopen_parents = 1; /* keeps the job from being ready until all edges are added */
    bool has_cancelled = add_edges(core, job, names);
    core->graph.priorities_stale = true;
    if (has_cancelled) {
        cancel_by_parent(core, job);
        bd_dag_job_ended(core, job);
    } else {
        close_parent(core, job, job->ready_at);
    }
}

/* ---- parents that are not in memory ---- */

static bool is_lookup_due(const struct bd_core *core, const struct bd_parent_job *parent)
{
    return !parent->job &&
           (bd_time_is_zero(parent->lookup_sent_at) ||
            bd_seconds_between(parent->lookup_sent_at, core->now) >= LOOKUP_RETRY_S);
}

/* Needed because a parent's record may have been evicted before its dependent's record was read. */
void bd_dag_look_up_unknown_parents(struct bd_core *core)
{
    uint32_t sent = 0;
    if (core->graph.nunknown_parents == 0 || !core->replica.is_ready ||
        bd_time_is_before(core->now, core->graph.next_lookup))
        return;
    for (struct bd_parent_job *parent = core->graph.parents; parent && sent < LOOKUP_BATCH_MAX;
         parent = parent->hh.next) {
        if (!is_lookup_due(core, parent))
            continue;
        parent->lookup_sent_at = core->now;
        bd_job_lookup_emit(core, NULL, parent->id, BD_PURPOSE_PARENT);
        sent++;
    }
    double pause_s = sent == LOOKUP_BATCH_MAX ? FULL_BATCH_INTERVAL_S : LOOKUP_INTERVAL_S;
    core->graph.next_lookup = bd_time_add(core->now, bd_secs(pause_s));
}

void bd_dag_free(struct bd_core *core)
{
    struct bd_parent_job *parent, *next;
    HASH_ITER(hh, core->graph.parents, parent, next)
    {
        HASH_DEL(core->graph.parents, parent);
        free(parent);
    }
    bd_dag_parents_parts_free(core);
}
