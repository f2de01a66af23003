/* The rules that hold on every simulated day, at each step and at its end. */
#include "model/job.h"
#include "model/task.h"
#include "model/task_table.h"
#include "sim_day.h"
#include "sim_drain.h"
#include "simulation.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"

#define WAIT_MAX_S 90.0 /* includes the expiry of an earlier lease */

/* What a leader may hold for the tasks of a job, in bytes. */
#define JOB_TASKS_BYTES_MAX 1024.0
#define TASK_BITS_MAX 4.0
#define LIVE_TASK_BYTES_MAX 1024.0

/* Checks that after the last fault no job waits longer than WAIT_MAX_S while its team's quota
 * allows the job to start. */
static void check_waiting(struct sim *sim, struct sim_job *job)
{
    uint32_t unfinished = 0, missing = 0;
    for (uint32_t i = 0; i < job->tasks; i++) {
        unfinished += !job->done[i];
        missing += !job->done[i] && job->machine[i] < 0;
    }
    double needed_cpus = job->cpus * (job->kind == BD_JOB_ARRAY ? 1 : missing);
    bool is_placeable =
        job->accepted_at > 0 && job->cancel_requested_at <= 0 && unfinished > 0 && missing > 0 &&
        sim->now > sim->faults_end_at &&
        sim->team_used_cpus[job->team] + needed_cpus <= sim->team_quota_cpus[job->team] + 1e-6;
    if (!is_placeable)
        job->placeable_since = 0;
    else if (job->placeable_since <= 0)
        job->placeable_since = sim->now;
    else if (sim->now - job->placeable_since > WAIT_MAX_S)
        sim_violation(sim, "waits: %s could start for %.0f s", job->id, WAIT_MAX_S);
}

bool sim_is_work_complete(const struct sim *sim)
{
    for (int i = 0; i < sim->njobs; i++) {
        const struct sim_job *job = &sim->jobs[i];
        if (!job->is_invalid && job->cancel_requested_at <= 0 &&
            (job->kind == BD_JOB_SERVICE ? job->nrunning < (int)job->tasks : job->done_at <= 0))
            return false;
    }
    return sim_drains_finished(sim);
}

static uint32_t count_running_tasks(const struct bd_job *job)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < job->ntasks; i++) {
        const struct bd_task *task = bd_job_task(job, i);
        count +=
            task->state == BD_TASK_CONFIRMED && (task->execution == BD_EXECUTION_RUNNING ||
                                                 task->execution == BD_EXECUTION_CHECKPOINTING);
    }
    return count;
}

/* Guards against a count of running tasks that differs from the tasks' states. */
static void check_running_counts(struct sim *sim, const struct sim_node *node)
{
    for (const struct bd_job *job = node->core->jobs; job; job = job->hh.next)
        if (job->tasks && job->nrunning != count_running_tasks(job))
            sim_violation(sim, "count: %s at %s has %u running tasks, and counts %u", job->id,
                          node->settings.node, count_running_tasks(job), job->nrunning);
}

/* Guards against a leader whose memory follows the tasks that were submitted, not those that are
 * alive. */
static void check_task_memory(struct sim *sim, const struct sim_node *node)
{
    for (const struct bd_job *job = node->core->jobs; job; job = job->hh.next) {
        double bytes = job->tasks ? (double)bd_task_table_bytes(job->tasks) : 0;
        double budget = JOB_TASKS_BYTES_MAX + job->ntasks * TASK_BITS_MAX / 8 +
                        job->nplaced * LIVE_TASK_BYTES_MAX;
        if (bytes > budget)
            sim_violation(sim, "memory: %s at %s takes %.0f bytes for %u tasks, %u of them alive",
                          job->id, node->settings.node, bytes, job->ntasks, job->nplaced);
    }
}

void sim_check_rules(struct sim *sim)
{
    for (int i = 0; i < SIM_NODES; i++) {
        if (!sim->nodes[i].core || sim->nodes[i].core->role != BD_LEADER)
            continue;
        check_running_counts(sim, &sim->nodes[i]);
        check_task_memory(sim, &sim->nodes[i]);
    }
    for (int i = 0; i < sim->njobs; i++) {
        struct sim_job *job = &sim->jobs[i];
        check_waiting(sim, job);
        if (job->cancelled_at > 0 && job->nrunning > 0 &&
            sim->now > job->cancelled_at + sim->cancel_s)
            sim_violation(sim, "ran_cancelled: %s is still on %d machines", job->id, job->nrunning);
    }
}

void sim_check_end(struct sim *sim)
{
    for (int i = 0; i < sim->njobs; i++) {
        struct sim_job *job = &sim->jobs[i];
        if (job->is_invalid || job->cancel_requested_at > 0)
            continue;
        if (job->accepted_at <= 0)
            sim_violation(sim, "not accepted: %s", job->id);
        else if (job->kind == BD_JOB_SERVICE && job->nrunning < (int)job->tasks)
            sim_violation(sim, "waits: %s has %d of %u replicas", job->id, job->nrunning,
                          job->tasks);
        else if (job->kind != BD_JOB_SERVICE && job->done_at <= 0)
            sim_violation(sim, "not served: %s (%u tasks of %.0f, on %d)", job->id, job->tasks,
                          job->cpus, job->nrunning);
    }
    if (!sim_drains_finished(sim))
        sim_violation(sim, "a drain is not over");
}
