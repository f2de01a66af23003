/* The tasks on the simulated workers, and the commands that start and stop them. Each start is
 * checked against the rules. */
#include "sim_drain.h"
#include "sim_worker.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>

#define GANG_WAIT_S 30.0
#define WORKER_CPUS 8
#define CPUS_TOLERANCE 1e-6

const char *sim_exit_reason_name(enum bd_exit_reason reason)
{
    static const char *const names[] = {"",      "done",    "stopped", "peers",  "alone",
                                        "error", "no_room", "busy",    "unknown"};
    return names[reason];
}

/* Lets the worker send its next heartbeat after this delay at the latest. */
static void limit_heartbeat_delay(const struct sim *sim, struct sim_worker *worker, double delay_s)
{
    if (worker->next_heartbeat_at > sim->now + delay_s)
        worker->next_heartbeat_at = sim->now + delay_s;
}

static void trace_usage(struct sim *sim, int team)
{
    for (int i = 0; i < sim->njobs; i++)
        for (uint32_t k = 0; sim->jobs[i].team == team && k < sim->jobs[i].tasks; k++)
            if (sim->jobs[i].machine[k] >= 0)
                sim_trace(sim, "in use: %s/%u on vm-%d, %.0f", sim->jobs[i].id, k,
                          sim->jobs[i].machine[k], sim->jobs[i].cpus);
}

/* Checks the start of a task against the rules of the protocol. */
static void check_start(struct sim *sim, const struct sim_worker *worker,
                        const struct sim_slot *slot)
{
    const struct sim_job *job = &sim->jobs[slot->job];
    if (job->machine[slot->task] >= 0)
        sim_violation(sim, "ran_twice: %s/%u starts on %s while on vm-%d", job->id, slot->task,
                      worker->id, job->machine[slot->task]);
    if (job->zone[0] == '"' && strncmp(job->zone + 1, worker->zone, strlen(worker->zone)) != 0)
        sim_violation(sim, "wrong_place: %s/%u, for zone %s, starts on %s", job->id, slot->task,
                      job->zone, worker->id);
    if (job->cancelled_at > 0 && sim->now > job->cancelled_at + sim->cancel_s)
        sim_violation(sim, "ran_cancelled: %s/%u starts on %s, %.1f s after its cancellation",
                      job->id, slot->task, worker->id, sim->now - job->cancelled_at);
    if (job->cancelled_at > 0 && sim->now > job->cancelled_at + sim->lease_s + 2)
        sim->starts_after_cancellation++;
}

static void start_task(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot)
{
    struct sim_job *job = &sim->jobs[slot->job];
    int index = (int)(worker - sim->workers);
    sim->starts++;
    sim_trace(sim, "%s/%u starts on %s", job->id, slot->task, worker->id);
    check_start(sim, worker, slot);
    job->machine[slot->task] = index;
    sim_drain_replica_running(sim, slot);
    job->nrunning++;
    sim->team_used_cpus[job->team] += job->cpus;
    if (sim->team_used_cpus[job->team] <= sim->team_quota_cpus[job->team] + CPUS_TOLERANCE)
        return;
    trace_usage(sim, job->team);
    sim_violation(sim, "quota: team %d uses %.0f with %s/%u on %s", job->team,
                  sim->team_used_cpus[job->team], job->id, slot->task, worker->id);
}

static void stop_task(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot)
{
    struct sim_job *job = &sim->jobs[slot->job];
    int index = (int)(worker - sim->workers);
    if (slot->execution != BD_EXECUTION_JOINING_GANG && slot->execution != BD_EXECUTION_RUNNING &&
        slot->execution != BD_EXECUTION_CHECKPOINTING)
        return;
    if (job->machine[slot->task] == index)
        job->machine[slot->task] = -1;
    job->nrunning--;
    sim->team_used_cpus[job->team] -= job->cpus;
}

static void complete_gang(struct sim *sim, const struct sim_slot *first);

void sim_task_exit(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot,
                   enum bd_exit_reason reason)
{
    stop_task(sim, worker, slot);
    slot->execution = BD_EXECUTION_EXITED;
    slot->exit_reason = reason;
    sim_trace(sim, "%s/%u exits on %s: %s", sim->jobs[slot->job].id, slot->task, worker->id,
              sim_exit_reason_name(reason));
    if (reason == BD_EXIT_DONE) {
        struct sim_job *job = &sim->jobs[slot->job];
        for (uint32_t k = 0; k < job->tasks; k++) /* a gang's tasks are done together */
            if (k == slot->task || job->kind == BD_JOB_GANG)
                job->done[k] = true;
        if (job->kind == BD_JOB_GANG)
            complete_gang(sim, slot);
    }
    limit_heartbeat_delay(sim, worker, 0.3);
}

/* All running tasks of the gang's attempt exit as done at the same moment. */
static void complete_gang(struct sim *sim, const struct sim_slot *first)
{
    int job = first->job;
    uint64_t attempt = first->attempt;
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; !worker->is_removed && k < worker->nslots; k++) {
            struct sim_slot *slot = &worker->slots[k];
            if (slot->job == job && slot->attempt == attempt &&
                slot->execution == BD_EXECUTION_RUNNING)
                sim_task_exit(sim, worker, slot, BD_EXIT_DONE);
        }
    }
}

void sim_kill_tasks(struct sim *sim, struct sim_worker *worker)
{
    for (int i = 0; i < worker->nslots; i++) {
        if (worker->slots[i].execution == BD_EXECUTION_RUNNING)
            sim_drain_replica_lost(sim, &worker->slots[i]);
        stop_task(sim, worker, &worker->slots[i]);
    }
    worker->nslots = 0;
}

static struct sim_slot *find_slot(struct sim_worker *worker, int job, uint32_t task,
                                  uint64_t attempt)
{
    for (int i = 0; i < worker->nslots; i++)
        if (worker->slots[i].job == job && worker->slots[i].task == task &&
            (!attempt || worker->slots[i].attempt == attempt))
            return &worker->slots[i];
    return NULL;
}

static bool read_task(struct sim *sim, json_t *command, int *job, uint32_t *task)
{
    char id[BD_JOB_ID_BYTES];
    if (!bd_wire_read_task_name(json_string_value(json_object_get(command, "chore")), id, task))
        return false;
    struct sim_job *found = sim_find_job(sim, id);
    *job = found ? (int)(found - sim->jobs) : -1;
    return found != NULL && *task < SIM_TASKS_MAX;
}

static double cpus_in_use(struct sim *sim, const struct sim_worker *worker)
{
    double sum = 0;
    for (int i = 0; i < worker->nslots; i++)
        if (worker->slots[i].execution != BD_EXECUTION_EXITED)
            sum += sim->jobs[worker->slots[i].job].cpus;
    return sum;
}

static void launch_task(struct sim *sim, struct sim_worker *worker, int job, uint32_t task,
                        uint64_t attempt)
{
    if (find_slot(worker, job, task, attempt))
        return;
    if (worker->nslots == SIM_SLOTS_MAX)
        abort();
    struct sim_slot *earlier = NULL;
    for (int i = 0; i < worker->nslots; i++)
        if (worker->slots[i].job == job && worker->slots[i].task == task &&
            worker->slots[i].execution != BD_EXECUTION_EXITED)
            earlier = &worker->slots[i];
    struct sim_slot *slot = &worker->slots[worker->nslots++];
    *slot = (struct sim_slot){.job = job,
                              .task = task,
                              .attempt = attempt,
                              .execution = BD_EXECUTION_FETCHING_IMAGE,
                              .exit_reason = BD_EXIT_NONE,
                              .phase_ends_at = sim->now + sim->image_fetch_s};
    if (earlier) {
        slot->execution = BD_EXECUTION_EXITED;
        slot->exit_reason = BD_EXIT_BUSY;
    } else if (cpus_in_use(sim, worker) > WORKER_CPUS + CPUS_TOLERANCE) {
        slot->execution = BD_EXECUTION_EXITED;
        slot->exit_reason = BD_EXIT_NO_CAPACITY;
    }
    limit_heartbeat_delay(sim, worker, 0.4);
}

void sim_execute_commands(struct sim *sim, struct sim_worker *worker, json_t *message)
{
    json_t *command;
    size_t i;
    json_array_foreach(json_object_get(message, "bids"), i, command)
    {
        int job;
        uint32_t task;
        const char *verb = json_string_value(json_object_get(command, "verb"));
        uint64_t attempt = (uint64_t)json_integer_value(json_object_get(command, "try"));
        if (!read_task(sim, command, &job, &task))
            continue;
        struct sim_slot *slot = find_slot(worker, job, task, attempt);
        if (strcmp(verb, "launch") == 0)
            launch_task(sim, worker, job, task, attempt);
        else if (strcmp(verb, "halt") == 0 && slot && slot->execution != BD_EXECUTION_EXITED) {
            if (slot->execution == BD_EXECUTION_RUNNING)
                sim_drain_replica_stopped(sim, worker, slot);
            sim_task_exit(sim, worker, slot, BD_EXIT_STOPPED);
        } else if (strcmp(verb, "forget") == 0 && slot && slot->execution == BD_EXECUTION_EXITED)
            *slot = worker->slots[--worker->nslots];
    }
}

/* Whether all tasks of the attempt join the gang or run. Tasks on hanging machines do not
 * count. */
static bool is_gang_complete(struct sim *sim, int job, uint64_t attempt)
{
    uint32_t present = 0;
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        for (int k = 0;
             !worker->is_removed && sim->now >= worker->hangs_until && k < worker->nslots; k++) {
            struct sim_slot *slot = &worker->slots[k];
            if (slot->job == job && slot->attempt == attempt)
                present += slot->execution == BD_EXECUTION_RUNNING ||
                           slot->execution == BD_EXECUTION_JOINING_GANG;
        }
    }
    return present == sim->jobs[job].tasks;
}

/* Why a task that joins its gang or runs must exit now. BD_EXIT_NONE: it continues. */
static enum bd_exit_reason current_exit_reason(struct sim *sim, const struct sim_slot *slot)
{
    const struct sim_job *job = &sim->jobs[slot->job];
    if (job->done[slot->task])
        return BD_EXIT_DONE;
    bool is_gang = job->kind == BD_JOB_GANG && job->tasks > 1;
    bool is_complete = !is_gang || is_gang_complete(sim, slot->job, slot->attempt);
    if (slot->execution == BD_EXECUTION_JOINING_GANG)
        return !is_complete && sim->now >= slot->phase_ends_at ? BD_EXIT_GANG_INCOMPLETE
                                                               : BD_EXIT_NONE;
    if (!is_complete)
        return BD_EXIT_GANG_MEMBER_LOST;
    return job->kind != BD_JOB_SERVICE && sim->now >= slot->phase_ends_at ? BD_EXIT_DONE
                                                                          : BD_EXIT_NONE;
}

void sim_run_task(struct sim *sim, struct sim_worker *worker, struct sim_slot *slot)
{
    struct sim_job *job = &sim->jobs[slot->job];
    if (slot->execution == BD_EXECUTION_FETCHING_IMAGE && sim->now >= slot->phase_ends_at) {
        bool is_gang = job->kind == BD_JOB_GANG && job->tasks > 1;
        if (job->done[slot->task]) { /* by an earlier attempt, whose result is kept */
            sim_task_exit(sim, worker, slot, BD_EXIT_DONE);
            return;
        }
        start_task(sim, worker, slot);
        slot->execution = is_gang ? BD_EXECUTION_JOINING_GANG : BD_EXECUTION_RUNNING;
        slot->phase_ends_at = sim->now + (is_gang ? GANG_WAIT_S : job->run_s);
        limit_heartbeat_delay(sim, worker, 0.4);
    }
    bool joins_gang = slot->execution == BD_EXECUTION_JOINING_GANG;
    if (!joins_gang && slot->execution != BD_EXECUTION_RUNNING)
        return;
    enum bd_exit_reason reason = current_exit_reason(sim, slot);
    if (reason != BD_EXIT_NONE) {
        sim_task_exit(sim, worker, slot, reason);
    } else if (joins_gang && is_gang_complete(sim, slot->job, slot->attempt)) {
        slot->execution = BD_EXECUTION_RUNNING;
        slot->phase_ends_at = sim->now + job->run_s;
    }
}
