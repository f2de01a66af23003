/* Workers' reports as evidence, and the orders that go back to them. */
#include "base/metrics.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include "model/disruption_ledger.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include "workers/commands.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* named defaults */
#define FAILING_ERRORS 3u   /* failures in a row; those of a job that runs elsewhere count twice */
#define REFUSED_PAUSE_S 3.0 /* a machine that said no_room is left alone */
#define RETRY_FIRST_S 1.0   /* pause of a job whose tasks fail, doubled each time */
#define RETRY_MAX_S 30.0
#define SLOW_TASKS 2u   /* of a machine, */
#define SLOW_STEADY 3.0 /* report intervals heard without a gap before a machine is judged */
#define SLOW_FACTOR 1.6 /* this many times as long as the longest run */
#define SLOW_EXTRA_TENTHS 50u
#define SLOW_RUNS 4u        /* of at least so many */
#define DIRECT_DOUBLINGS 4u /* longest pause: 16 report intervals */
#define MISROUTED_MAX 2u    /* then a machine is taken not to hear */
#define OUTBOUND_PARTITION_SHARE                                                                   \
    0.34 /* of the machines: more than that do not go deaf together                                \
          */

static void record_task_failure(struct bd_core *core, struct bd_machine *machine,
                                struct bd_job *job)
{
    bool proven = job->ndone > 0 || job->nrunning > 0; /* its tasks do run on other machines */
    if (proven)
        machine->errors += 2;
    else if (machine->error_job != job)
        machine->errors++;
    machine->error_job = job;
    if (machine->errors >= FAILING_ERRORS && !machine->quarantined) {
        machine->quarantined = true;
        bd_log_write(core->log, BD_LOG_INFO, "%s is quarantined: its tasks fail", machine->id);
    }
}

/* A job that fails everywhere is slowed down; the machines are not blamed for it. */
static void back_off_failing_job(struct bd_core *core, struct bd_machine *machine,
                                 struct bd_job *job)
{
    job->errors++;
    if (machine->quarantined || job->ndone > 0)
        return;
    double pause = RETRY_FIRST_S;
    for (uint32_t k = 2; k < job->errors && pause < RETRY_MAX_S; k++)
        pause *= 2;
    job->hold_until = bd_add(core->now, bd_secs(pause < RETRY_MAX_S ? pause : RETRY_MAX_S));
}

/* A machine is slow if several of its tasks run far longer than any of their jobs' finished ones.
 */
void bd_machine_detect_slow(struct bd_core *core, struct bd_machine *machine)
{
    uint32_t late = 0;
    /* what was held back shows tasks running that have ended long since */
    if (machine->gone || machine->quarantined || !machine->fenced ||
        bd_between(machine->steady, machine->heard) <
            SLOW_STEADY * bd_to_secs(core->settings->heartbeat_interval))
        return;
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_job *job = machine->reservations[k].job;
        const struct bd_task *task = &job->tasks[machine->reservations[k].task];
        if (task->state != BD_TASK_CONFIRMED || task->execution != BD_EXECUTION_RUNNING ||
            !task->started_at || task->flags & BD_TASK_FLAG_EXITED ||
            job->spec.kind != BD_JOB_ARRAY || job->runs < SLOW_RUNS || 2 * job->runs < job->ntasks)
            continue; /* the first that finish are the short ones */
        /* as its last report showed it: a machine that we do not hear may be done long since */
        uint32_t run =
            bd_tenths(bd_max(machine->heard, bd_secs(task->started_at / 10.0))) - task->started_at;
        if (run <= SLOW_FACTOR * job->longest_run + SLOW_EXTRA_TENTHS)
            continue;
        late++;
        bd_log_write(core->log, BD_LOG_DEBUG,
                     "%s on %s runs for %.1f s, of %u others none over %.1f s", job->id,
                     machine->id, run / 10.0, job->runs, job->longest_run / 10.0);
    }
    if (late < SLOW_TASKS)
        return;
    machine->quarantined = true;
    bd_log_write(core->log, BD_LOG_INFO, "%s is quarantined: it runs %u tasks far too slowly",
                 machine->id, late);
}

static bool is_current_attempt(const struct bd_machine *machine, const struct bd_task *task,
                               uint64_t attempt)
{
    return task->machine == machine->index && task->attempt == attempt &&
           task->state != BD_TASK_PLANNED && task->state != BD_TASK_PENDING;
}

static void ended(struct bd_core *core, struct bd_machine *machine, struct bd_job *job, uint32_t i,
                  const struct bd_reported_task *s)
{
    if (s->exit_reason == BD_EXIT_ERROR) {
        record_task_failure(core, machine, job);
        back_off_failing_job(core, machine, job);
    } else if (s->exit_reason == BD_EXIT_NO_CAPACITY || s->exit_reason == BD_EXIT_BUSY) {
        machine->refuse_until = bd_add(core->now, bd_secs(REFUSED_PAUSE_S));
    } else if (s->exit_reason == BD_EXIT_UNKNOWN) {
        job->hold_until = bd_add(core->now, bd_secs(RETRY_FIRST_S));
    }
    bd_task_release(core, job, i, BD_RELEASE_EXITED);
}

/* Even a direct launch that was answered may come once more, as a late copy. The worker ignores it
 * while it knows the attempt, or once it has seen a higher token: what a token's direct launches
 * may have carried is not forgotten before. */
static void forget(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                   const struct bd_reported_task *s, struct bd_command_list *commands)
{
    if (s->attempt <= core->lead.fenced_attempt && heartbeat->fencing_token >= core->lead.term)
        bd_commands_append(commands, BD_COMMAND_FORGET, s->job, s->task, s->attempt, 0);
    else if (core->lead.withheld++ == 0)
        core->lead.withheld_at = core->now;
}

static void reconcile_exited_task(struct bd_core *core, struct bd_machine *machine,
                                  struct bd_job *job, const struct bd_heartbeat *heartbeat,
                                  const struct bd_reported_task *s,
                                  struct bd_command_list *commands)
{
    struct bd_task *task = &job->tasks[s->task];
    bool current = is_current_attempt(machine, task, s->attempt);
    /* a late copy of the launch would start a forgotten attempt again */
    bool late = current && task->flags & BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT;
    if (s->exit_reason == BD_EXIT_DONE && job->state == BD_JOB_ACTIVE) {
        if (current) /* older ones are shown until they are forgotten, and prove nothing */
            machine->errors = 0;
        if (late) {
            task->flags |= BD_TASK_FLAG_EXITED;
            return;
        }
        if (current && task->started_at) {
            uint32_t run = bd_tenths(core->now) - task->started_at;
            job->longest_run = run > job->longest_run ? run : job->longest_run;
            job->runs++;
        }
        bd_task_done(core, job, s->task);
        if (task->flags & BD_TASK_FLAG_RECEIPT_COMMITTED)
            forget(core, heartbeat, s, commands);
        return;
    }
    if (late) {
        task->flags |= BD_TASK_FLAG_EXITED;
        return;
    }
    if (current)
        ended(core, machine, job, s->task, s);
    forget(core, heartbeat, s, commands);
}

static void reconcile_running_task(struct bd_core *core, struct bd_machine *machine,
                                   struct bd_job *job, const struct bd_reported_task *s,
                                   struct bd_command_list *commands)
{
    struct bd_task *task = &job->tasks[s->task];
    if (!is_current_attempt(machine, task, s->attempt)) {
        if (task->state !=
            BD_TASK_PENDING) { /* the task is elsewhere or done: this one must not be */
            bd_commands_append(commands, BD_COMMAND_HALT, s->job, s->task, s->attempt, 0);
            return;
        }
        /* no intent names it, yet it runs: holding it here is what keeps it from running twice */
        bd_task_assign(core, job, s->task, machine, s->attempt, BD_TASK_CONFIRMED);
        bd_decision_log_task(core, "task_reconciled", job, s->task, s->attempt, machine,
                             "why=reported_without_intent");
        if (job->state != BD_JOB_ACTIVE)
            task->flags |= BD_TASK_FLAG_STOP_REQUESTED | BD_TASK_FLAG_FORCED_STOP;
    }
    if (task->state == BD_TASK_UNKNOWN)
        bd_decision_log_task(core, "task_reconciled", job, s->task, s->attempt, machine,
                             "why=intent_and_heartbeat");
    uint8_t flags = task->flags;
    if (s->execution == BD_EXECUTION_RUNNING &&
        (task->execution != BD_EXECUTION_RUNNING || task->state != BD_TASK_CONFIRMED)) {
        job->last_started_at = core->now;
        bd_remember_image(core, machine, &job->spec, true);
        /* one that was taken over running began before: how long ago is not known */
        task->started_at = task->state == BD_TASK_LAUNCHING || task->state == BD_TASK_CONFIRMED
                               ? bd_tenths(core->now)
                               : 0;
    }
    bd_task_set(core, job, s->task, BD_TASK_PENDING); /* so that the sums see the new sub-state */
    task->execution = (uint8_t)s->execution;
    bd_task_set(core, job, s->task, BD_TASK_CONFIRMED);
    task->flags = flags | BD_TASK_FLAG_LAUNCH_SENT;
    bd_ledger_task(core, job, s->task);
}

/* Tasks that we hold on the machine and that its report does not show. */
static void release_unreported_tasks(struct bd_core *core, struct bd_machine *machine)
{
    uint32_t k = 0;
    while (k < machine->nreservations) {
        struct bd_job *job = machine->reservations[k].job;
        uint32_t i = machine->reservations[k].task;
        struct bd_task *task = &job->tasks[i];
        bool shown = task->flags & BD_TASK_FLAG_IN_HEARTBEAT;
        task->flags &= (uint8_t)~BD_TASK_FLAG_IN_HEARTBEAT;
        bool hold =
            shown || task->state == BD_TASK_PLANNED ||
            task->flags & (BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT | BD_TASK_FLAG_LAUNCH_IN_REPLY);
        if (!hold && task->state == BD_TASK_LAUNCHING &&
            !(task->flags & BD_TASK_FLAG_STOP_REQUESTED))
            hold = true; /* the launch is repeated with this answer */
        if (hold) {
            k++;
            continue;
        }
        bd_task_release(core, job, i, BD_RELEASE_NOT_REPORTED);
        k = 0;
    }
}

static void mark_reported_tasks(struct bd_core *core, struct bd_machine *machine,
                                const struct bd_heartbeat *heartbeat)
{
    for (size_t k = 0; k < heartbeat->n; k++) {
        struct bd_job *job = bd_job_find(core, heartbeat->tasks[k].job);
        uint32_t i = heartbeat->tasks[k].task;
        if (job && job->tasks && i < job->ntasks &&
            is_current_attempt(machine, &job->tasks[i], heartbeat->tasks[k].attempt))
            job->tasks[i].flags |= BD_TASK_FLAG_IN_HEARTBEAT;
    }
}

/* A session change or a higher token excludes every direct launch that had no answer. */
static void exclude_late_launches(struct bd_machine *machine)
{
    machine->late_launch_token = 0;
    for (uint32_t k = 0; k < machine->nreservations; k++)
        machine->reservations[k].job->tasks[machine->reservations[k].task].flags &=
            (uint8_t) ~(BD_TASK_FLAG_DIRECT_LAUNCH_IN_FLIGHT | BD_TASK_FLAG_EXITED);
}

static void update_identity(struct bd_core *core, struct bd_machine *machine,
                            const struct bd_heartbeat *heartbeat)
{
    snprintf(machine->addr, sizeof machine->addr, "%s", heartbeat->addr);
    machine->type = bd_type_index(core, heartbeat->type);
    machine->zone = bd_zone_index(core, heartbeat->zone);
    machine->spot = heartbeat->spot;
    machine->notice_left = heartbeat->notice;
}

static void reconcile_reported_tasks(struct bd_core *core, struct bd_machine *machine,
                                     const struct bd_heartbeat *heartbeat,
                                     struct bd_command_list *commands)
{
    for (size_t k = 0; k < heartbeat->n; k++) {
        const struct bd_reported_task *s = &heartbeat->tasks[k];
        struct bd_job *job = bd_job_find(core, s->job);
        if (!job || !job->tasks || s->task >= job->ntasks) {
            /* done jobs' results may be forgotten; of others nothing is known here */
            if (s->execution == BD_EXECUTION_EXITED && job && job->state == BD_JOB_DONE)
                forget(core, heartbeat, s, commands);
            else if (s->execution != BD_EXECUTION_EXITED)
                bd_commands_append(commands, BD_COMMAND_HALT, s->job, s->task, s->attempt, 0);
            continue;
        }
        if (s->execution == BD_EXECUTION_EXITED)
            reconcile_exited_task(core, machine, job, heartbeat, s, commands);
        else
            reconcile_running_task(core, machine, job, s, commands);
    }
}

static bool newer(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return heartbeat->incarnation > machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation && heartbeat->seq > machine->seq);
}

/* What we know to be of the old session is gone. But the old session may be known only from a copy
 * that came before the first report itself: then the intents that earlier leaders left may be of
 * the new one, and only a report that has seen our term tells. */
static void incarnation_rose(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->fenced)
        bd_machine_lease_expired(core, machine, BD_RELEASE_NEW_INCARNATION);
    machine->asked_seq = 0;
    machine->outbound_partition =
        true; /* until it shows that it hears: its lease ran out, answered or not */
    /* the new session's own lease began at the latest now, whether a check-in is ever answered */
    machine->lease_expires_at = bd_max(machine->lease_expires_at, bd_lease_expiry(core, core->now));
}

/* Takes a report in. False: stale, nothing changed. */
static bool apply_heartbeat(struct bd_core *core, struct bd_machine *machine,
                            const struct bd_heartbeat *heartbeat, struct bd_command_list *commands)
{
    if (!newer(machine, heartbeat))
        return false;
    if (machine->incarnation && heartbeat->incarnation > machine->incarnation)
        incarnation_rose(core, machine);
    update_identity(core, machine, heartbeat);
    machine->incarnation = heartbeat->incarnation;
    machine->seq = heartbeat->seq;
    machine->fencing_token = heartbeat->fencing_token;
    if (bd_between(machine->heard, core->now) > 2 * bd_to_secs(core->settings->heartbeat_interval))
        machine->steady = core->now;
    machine->heard = core->now;
    if (heartbeat->fencing_token < core->lead.base_term)
        return true; /* an earlier term may still command it: no evidence yet */
    if (!machine->fenced)
        core->lead.cycle_wanted = true;
    machine->fenced = true;
    if (machine->late_launch_token && heartbeat->fencing_token > machine->late_launch_token &&
        !machine->direct_in_flight)
        exclude_late_launches(machine);
    mark_reported_tasks(core, machine, heartbeat);
    release_unreported_tasks(core, machine);
    reconcile_reported_tasks(core, machine, heartbeat, commands);
    return true;
}

/* The first answer in our term, and the first since the machine has seen it. */
static void log_first_reply(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->answered && (machine->answered_seen || !machine->fenced))
        return;
    bd_decision_log_machine(core, "lease_renewed", machine,
                            machine->fenced ? "by=leader fenced=yes" : "by=leader fenced=no");
    machine->answered = true;
    machine->answered_seen = machine->fenced;
}

static void reply_to_heartbeat(struct bd_core *core, void *request, struct bd_machine *machine,
                               const struct bd_heartbeat *heartbeat,
                               struct bd_command_list *commands)
{
    if (machine->fenced)
        bd_commands_pending(core, machine, commands);
    log_first_reply(core, machine);
    machine->lease_expires_at = bd_lease_expiry(core, core->now);
    if (!machine->fenced) /* if this answer is lost, an earlier term may still renew it */
        machine->lease_expires_at =
            bd_max(machine->lease_expires_at, core->lead.earlier_leases_expire_at);
    bd_commands_reply(core, request, heartbeat, commands, core->lead.term);
}

/* A worker has one check-in under way and numbers them upwards; one that is not newer than the
 * newest is a copy. A returned machine's, or a session's that is over, is one as well. */
static bool is_copy(const struct bd_machine *machine, const struct bd_heartbeat *heartbeat)
{
    return machine->gone ||
           (machine->expired_incarnation &&
            heartbeat->incarnation <= machine->expired_incarnation) ||
           heartbeat->incarnation < machine->incarnation ||
           (heartbeat->incarnation == machine->incarnation && heartbeat->seq <= machine->asked_seq);
}

/* A worker that gets its answer stays with the controller that gave it, one that gets none goes to
 * the next: two check-ins in a row tell which. Called before the report is taken in. */
static void detect_outbound_partition(struct bd_machine *machine,
                                      const struct bd_heartbeat *heartbeat, int via)
{
    bool next = heartbeat->incarnation == machine->incarnation && machine->asked_seq &&
                heartbeat->seq == machine->asked_seq + 1;
    if (next && via == machine->via) {
        machine->outbound_partition = false;
        machine->misrouted = 0;
    } else if (next) {
        machine->outbound_partition =
            machine->outbound_partition || ++machine->misrouted >= MISROUTED_MAX;
    }
    machine->via = via;
}

/* The worker has one check-in under way: with the next one, the answer to the last has arrived, or
 * never will. The answer to a direct command proves nothing of the kind. */
static void answers_settled(struct bd_machine *machine)
{
    for (uint32_t k = 0; k < machine->nreservations; k++)
        machine->reservations[k].job->tasks[machine->reservations[k].task].flags &=
            (uint8_t)~BD_TASK_FLAG_LAUNCH_IN_REPLY;
}

/* As leader, or in its grace. */
static void leader_heartbeat(struct bd_core *core, void *request,
                             const struct bd_heartbeat *heartbeat, int via)
{
    struct bd_machine *machine = NULL;
    bool direct = via < 0;
    if (heartbeat->fencing_token >
        core->lead.term) { /* it would drop our answer and stay here until its lease is over */
        if (!bd_leadership_lease_valid(core))
            bd_leadership_lost(core);
        bd_effect_reply(core, request, 421, bd_wire_redirect(""), 0);
        return;
    }
    machine = bd_machine_get(core, heartbeat->machine);
    /* a copy is no sign of life: nothing is learnt from it, and no lease renewed */
    if (is_copy(machine, heartbeat)) {
        bd_effect_reply(core, request, 503, bd_wire_redirect(""), 0);
        return;
    }
    int peer = direct ? bd_forward_redirect(core, machine, heartbeat) : -1;
    if (peer >= 0) {
        bd_effect_reply(core, request, 421, bd_wire_redirect(core->settings->peers[peer].name), 0);
        return;
    }
    if (direct && machine->delegated)
        bd_delegate_not_needed(core, machine);
    struct bd_command_list commands = {0};
    detect_outbound_partition(machine, heartbeat, via);
    answers_settled(machine);
    if (apply_heartbeat(core, machine, heartbeat, &commands))
        machine->direct = direct;
    machine->asked_seq = heartbeat->seq;
    machine->asked = core->now;
    if (!bd_leadership_lease_valid(core))
        commands.count = 0;
    reply_to_heartbeat(core, request, machine, heartbeat, &commands);
    free(commands.items);
    bd_commands_send_direct(core, machine);
}

void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len)
{
    if (bd_leadership_may_reply(core)) {
        leader_heartbeat(core, request, heartbeat, -1);
        return;
    }
    if (core->role == BD_FOLLOWER && (bd_forward_heartbeat(core, request, heartbeat, body, len) ||
                                      bd_delegate_heartbeat(core, request, heartbeat)))
        return;
    bd_forward_away(core, request, heartbeat);
}

void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].name, peer) != 0)
            continue;
        struct bd_remote *q = calloc(1, sizeof *q);
        if (!q)
            abort();
        q->remote = true;
        q->peer = i;
        q->id = id;
        if (bd_leadership_may_reply(core))
            leader_heartbeat(core, q, heartbeat, i);
        else if (!bd_forward_relay(core, q, heartbeat, body, len))
            bd_effect_reply(core, q, 421, bd_wire_redirect(""), 0);
    }
}

/* A machine that does not answer directly is left to its reports for a while. */
static void direct_failed(struct bd_core *core, struct bd_machine *machine)
{
    double pause = bd_to_secs(core->settings->heartbeat_interval);
    for (uint32_t k = 0; k < machine->direct_failures && k < DIRECT_DOUBLINGS; k++)
        pause *= 2;
    machine->direct_failures++;
    if (machine->zone >= 0)
        core->cloud.direct[machine->zone].fails++;
    machine->outbound_partition = true; /* nothing new for it until it shows that it hears */
    machine->direct_not_before = bd_add(core->now, bd_secs(pause));
}

/* As leader: whether so many seem not to hear that it is rather we who are not heard. */
void bd_machines_detect_outbound_partition(struct bd_core *core)
{
    uint32_t known = 0, outbound_partition = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->by_index[i];
        if (machine->gone || !machine->fenced)
            continue;
        known++;
        outbound_partition += machine->outbound_partition;
    }
    core->lead.outbound_partition_is_ours = outbound_partition > OUTBOUND_PARTITION_SHARE * known;
}

/* Nothing of the command is on its way. The machine is not to blame; what it is owed it gets with
 * its next check-in. */
static void direct_not_sent(struct bd_core *core, struct bd_machine *machine, bool launch)
{
    bd_decision_log_machine(core, "command_expired", machine, launch ? "launch=1" : "launch=0");
    if (launch && machine->late_launch_token == 0)
        exclude_late_launches(machine);
    machine->direct_not_before = bd_add(core->now, core->settings->heartbeat_interval);
}

void bd_worker_direct_command_completed(struct bd_core *core, uint32_t machine,
                                        uint64_t fencing_token, bool launch, long status,
                                        const struct bd_heartbeat *heartbeat)
{
    struct bd_machine *m = bd_machine_of(core, machine);
    if (core->role != BD_LEADER || !m || fencing_token < core->lead.base_term)
        return;
    m->direct_in_flight = false;
    bd_metrics_time(core->metrics, BD_TIMING_DIRECT, bd_between(m->direct_sent_at, core->now));
    if (status == BD_DIRECT_NOT_SENT) {
        direct_not_sent(core, m, launch);
        return;
    }
    bool answered = heartbeat && (status == 200 || status == 409);
    if (!answered) {
        direct_failed(core, m);
        if (launch && fencing_token > m->late_launch_token)
            m->late_launch_token = fencing_token;
        return;
    }
    m->direct_failures = 0;
    m->outbound_partition = false;
    if (m->zone >= 0)
        core->cloud.direct[m->zone].fails = 0;
    if (strcmp(heartbeat->machine, m->id) != 0) {
        direct_failed(core, m); /* the address serves another machine now */
        return;
    }
    struct bd_command_list commands = {0};
    if (launch && m->late_launch_token == 0)
        exclude_late_launches(m); /* answered: nothing of it is on its way any more */
    if (m->gone)
        return;
    (void)apply_heartbeat(core, m, heartbeat, &commands);
    free(commands.items); /* said again with the next report */
    if (m->nreservations)
        bd_commands_send_direct(core, m);
}