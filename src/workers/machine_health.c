/* Health of machines, judged by how their tasks run: a machine whose tasks fail or run far too
 * slowly is quarantined. A job whose tasks fail on every machine is retried after a pause that
 * grows with the failures, and no machine is quarantined for that job alone. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_workers.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"

#define QUARANTINE_FAILURES 3u /* consecutive failures on a machine */
/* Of a failure if other tasks of the job run or are done, since the job then is hardly at fault. */
#define PROVEN_JOB_FAILURE_WEIGHT 2u
#define REFUSAL_PAUSE_S 3.0   /* without launches on a machine that refused one */
#define RETRY_PAUSE_MIN_S 1.0 /* of a job whose tasks fail; doubled from the third failure on */
#define RETRY_PAUSE_MAX_S 30.0

#define SLOW_TASKS_MIN 2u         /* on a machine before it is quarantined as slow */
#define SLOW_FINISHED_RUNS_MIN 4u /* of a job before its tasks are compared with them */
/* A task is slow if it runs longer than the job's longest finished run times SLOW_RUN_FACTOR, plus
 * SLOW_RUN_EXTRA_TENTHS tenths of a second. */
#define SLOW_RUN_FACTOR 1.6
#define SLOW_RUN_EXTRA_TENTHS 50u
/* Heartbeat intervals without a gap before a machine is judged. */
#define SLOW_GAPLESS_INTERVALS 3.0

static void record_task_failure(struct bd_core *core, struct bd_machine *machine,
                                struct bd_job *job)
{
    bool is_proven_job = job->ndone > 0 || job->nrunning > 0;
    if (is_proven_job)
        machine->consecutive_failures += PROVEN_JOB_FAILURE_WEIGHT;
    else if (machine->last_failed_job != job)
        machine->consecutive_failures++;
    machine->last_failed_job = job;
    if (machine->consecutive_failures >= QUARANTINE_FAILURES && !machine->quarantined) {
        machine->quarantined = true;
        bd_log_write(core->log, BD_LOG_INFO, "%s quarantined: its tasks fail", machine->id);
    }
}

static void back_off_failing_job(struct bd_core *core, const struct bd_machine *machine,
                                 struct bd_job *job)
{
    job->failed_tasks++;
    if (machine->quarantined || job->ndone > 0)
        return;
    double pause_s = RETRY_PAUSE_MIN_S;
    for (uint32_t failure = 2; failure < job->failed_tasks && pause_s < RETRY_PAUSE_MAX_S;
         failure++)
        pause_s *= 2;
    pause_s = pause_s < RETRY_PAUSE_MAX_S ? pause_s : RETRY_PAUSE_MAX_S;
    job->placement_backoff_until = bd_time_add(core->now, bd_secs(pause_s));
}

void bd_machine_record_exit(struct bd_core *core, struct bd_machine *machine, struct bd_job *job,
                            enum bd_exit_reason reason)
{
    if (reason == BD_EXIT_ERROR) {
        record_task_failure(core, machine, job);
        back_off_failing_job(core, machine, job);
    } else if (reason == BD_EXIT_NO_CAPACITY || reason == BD_EXIT_BUSY) {
        machine->launch_backoff_until = bd_time_add(core->now, bd_secs(REFUSAL_PAUSE_S));
    } else if (reason == BD_EXIT_UNKNOWN) {
        job->placement_backoff_until = bd_time_add(core->now, bd_secs(RETRY_PAUSE_MIN_S));
    }
}

/* Whether the task runs and enough other tasks of its job have finished to compare it with. The
 * tasks that finish first are the short ones, so a few finished tasks are not enough. */
static bool has_comparable_runs(const struct bd_job *job, const struct bd_task *task)
{
    return task->state == BD_TASK_CONFIRMED && task->execution == BD_EXECUTION_RUNNING &&
           task->started_at && !(task->flags & BD_TASK_FLAG_EXITED) &&
           job->spec.kind == BD_JOB_ARRAY && job->finished_runs >= SLOW_FINISHED_RUNS_MIN &&
           2 * job->finished_runs >= job->ntasks;
}

/* Whether the task runs far longer than the finished tasks of its job did. Its run time counts up
 * to the machine's last heartbeat: the task may have ended since then. */
static bool is_slow_task(const struct bd_core *core, const struct bd_machine *machine,
                         const struct bd_job *job, const struct bd_task *task)
{
    if (!has_comparable_runs(job, task))
        return false;
    struct timespec started = bd_secs(task->started_at / 10.0);
    uint32_t run_tenths =
        bd_monotonic_tenths(bd_time_max(machine->last_contact_at, started)) - task->started_at;
    if (run_tenths <= SLOW_RUN_FACTOR * job->longest_run_tenths + SLOW_RUN_EXTRA_TENTHS)
        return false;
    bd_log_write(core->log, BD_LOG_DEBUG,
                 "%s on %s has run for %.1f s; longest of %u finished tasks: %.1f s", job->id,
                 machine->id, run_tenths / 10.0, job->finished_runs,
                 job->longest_run_tenths / 10.0);
    return true;
}

void bd_machine_detect_slow(struct bd_core *core, struct bd_machine *machine)
{
    uint32_t slow = 0;
    if (machine->terminated || machine->quarantined || !machine->has_seen_term)
        return;
    /* a delayed heartbeat shows tasks as running that ended long ago */
    if (bd_seconds_between(machine->heartbeats_steady_since, machine->last_contact_at) <
        SLOW_GAPLESS_INTERVALS * bd_to_secs(core->settings->heartbeat_interval))
        return;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_job *job = machine->reservations[i].job;
        slow += is_slow_task(core, machine, job, machine->reservations[i].task);
    }
    if (slow < SLOW_TASKS_MIN)
        return;
    machine->quarantined = true;
    bd_log_write(core->log, BD_LOG_INFO, "%s quarantined: %u of its tasks are far too slow",
                 machine->id, slow);
}
