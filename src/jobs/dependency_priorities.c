/* Priorities and latest finish times in the dependency graph. A job's effective priority is the
 * highest among its own and those of all its dependents, and it must finish early enough for all of
 * them to meet their deadlines. */
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <math.h>

/* Run time of a job's slowest task, relative to the estimate, as planned for with deadlines. */
#define DEADLINE_RUN_TIME_FACTOR 1.3
#define START_DELAY_S 4.0 /* from a parent's end to the dependent's start, with image fetch */

/* Expected seconds from when the job is ready until it is done, by the user's estimate. */
static double duration_s(const struct bd_job *job)
{
    return DEADLINE_RUN_TIME_FACTOR * job->spec.estimate_s + START_DELAY_S;
}

double bd_deadline_slack_s(const struct bd_core *core, const struct bd_job *job)
{
    return job->finish_by - duration_s(job) - core->wall_s;
}

static void reset_priority(struct bd_job *job)
{
    bool has_deadline = job->has_had_parents && job->spec.deadline_s >= 0;
    job->priority = job->spec.priority;
    job->finish_by = has_deadline ? job->submitted_at + job->spec.deadline_s : INFINITY;
}

/* Resets the priorities of all active jobs. Returns a work list of the jobs that have parents but
 * no dependents. */
static struct bd_job *reset_priorities(struct bd_core *core)
{
    struct bd_job *work_list = NULL;
    for (struct bd_parent_job *parent = core->graph.parents; parent; parent = parent->hh.next)
        parent->dependents_left = parent->ndependents;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->state != BD_JOB_ACTIVE)
            continue;
        reset_priority(job);
        if (job->parent_edges && !job->as_parent) {
            job->next_in_work_list = work_list;
            work_list = job;
        }
    }
    return work_list;
}

static void propagate_to_parent(struct bd_job *parent, const struct bd_job *dependent)
{
    if (dependent->priority > parent->priority)
        parent->priority = dependent->priority;
    parent->finish_by = fmin(parent->finish_by, dependent->finish_by - duration_s(dependent));
}

/* Goes from dependents to parents in topological order, over each edge once: a job's values are
 * final when all its dependents have been processed. All values are recomputed when the graph
 * changes, so that a raised priority lasts no longer than the dependents that raised it. */
void bd_dag_update_priorities(struct bd_core *core)
{
    if (!core->graph.priorities_stale)
        return;
    core->graph.priorities_stale = false;
    struct bd_job *work_list = reset_priorities(core);
    while (work_list) {
        const struct bd_job *job = work_list;
        work_list = job->next_in_work_list;
        for (uint32_t i = 0; i < job->nparent_edges; i++) {
            struct bd_parent_job *entry = job->parent_edges[i].parent;
            struct bd_job *parent = entry ? entry->job : NULL;
            if (!parent)
                continue;
            propagate_to_parent(parent, job);
            if (--entry->dependents_left == 0 && parent->parent_edges) {
                parent->next_in_work_list = work_list;
                work_list = parent;
            }
        }
    }
}
