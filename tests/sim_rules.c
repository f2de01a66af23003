/* The rules that hold on every simulated day, at each step and at its end. */
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/job.h"
#include "model/task.h"
#include "model/task_table.h"
#include "sim_day.h"
#include "sim_drain.h"
#include "simulation.h"
#include "wire/wire.h"
#include "wire/wire_workers.h"

#define KNOWN_MARGIN_S 5.0 /* for reports and halts on their way */
#define WAIT_MAX_S 90.0    /* includes the expiry of an earlier lease */

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

/* The newest leader that holds a valid lease. NULL: none. A process that is paused does not see its
 * lease end. */
static struct bd_core *current_leader(const struct sim *sim)
{
    struct bd_core *leader = NULL;
    for (int i = 0; i < SIM_NODES; i++) {
        struct bd_core *core = sim->nodes[i].core;
        if (core && sim->now >= sim->nodes[i].paused_until && bd_leadership_lease_valid(core) &&
            (!leader || core->lead.term > leader->lead.term))
            leader = core;
    }
    return leader;
}

static bool is_known_to(struct bd_core *leader, const struct sim *sim, const struct sim_slot *slot)
{
    const struct bd_job *job = bd_job_find(leader, sim->jobs[slot->job].id);
    if (!job || !job->tasks || slot->task >= job->ntasks)
        return false;
    const struct bd_task *task = bd_job_task(job, slot->task);
    return task->attempt == slot->attempt && task->state != BD_TASK_PENDING;
}

/* Guards against a task that runs while no controller knows of it: its machine's lease is renewed
 * only by a leader that does, so it is known or over a lease after a leader is there. */
static void check_known_tasks(struct sim *sim)
{
    struct bd_core *leader = current_leader(sim);
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; !worker->is_removed && k < worker->nslots; k++) {
            struct sim_slot *slot = &worker->slots[k];
            if (!leader || slot->execution != BD_EXECUTION_RUNNING ||
                is_known_to(leader, sim, slot))
                slot->unknown_since = 0;
            else if (slot->unknown_since <= 0)
                slot->unknown_since = sim->now;
            else if (sim->now - slot->unknown_since > sim->lease_s + KNOWN_MARGIN_S)
                sim_violation(sim, "unknown: %s/%u runs on %s, and the leader does not know it",
                              sim->jobs[slot->job].id, slot->task, worker->id);
        }
    }
}

void sim_check_rules(struct sim *sim)
{
    check_known_tasks(sim);
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
