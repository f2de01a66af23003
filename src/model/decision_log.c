#include "model/decision_log.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* named defaults */
#define LINES_A_SECOND 40.0
#define LINES_AT_ONCE 400.0 /* a takeover of some hundred machines */

static const char *const ends[] = {[BD_RELEASE_INTENT_NOT_COMMITTED] = "not_committed",
                                   [BD_RELEASE_LAUNCH_NOT_SENT] = "not_sent",
                                   [BD_RELEASE_EXITED] = "exited",
                                   [BD_RELEASE_NOT_REPORTED] = "not_reported",
                                   [BD_RELEASE_NEW_INCARNATION] = "new_incarnation",
                                   [BD_RELEASE_LEASE_EXPIRED] = "lease_expired",
                                   [BD_RELEASE_MACHINE_GONE] = "machine_gone",
                                   [BD_RELEASE_MACHINE_FAILED] = "machine_failed",
                                   [BD_RELEASE_MOVED] = "moved",
                                   [BD_RELEASE_DONE] = "done"};
static const char *const stops[] = {
    [BD_STOP_CANCELLED] = "cancelled",       [BD_STOP_PREEMPTED] = "preempted",
    [BD_STOP_CONSOLIDATED] = "consolidated", [BD_STOP_DRAINED] = "drained",
    [BD_STOP_EVACUATED] = "evacuated",       [BD_STOP_GANG] = "gang"};
static const char *const states[] = {"pending",   "planned", "launching",
                                     "confirmed", "unknown", "done"};

static bool wanted(const struct bd_core *core)
{
    return core->log && core->log->level >= BD_LOG_INFO;
}

static void write_line(struct bd_core *core, const char *text)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    decision_log->lines += LINES_A_SECOND * bd_between(decision_log->lines_at, core->now);
    decision_log->lines = decision_log->lines > LINES_AT_ONCE ? LINES_AT_ONCE : decision_log->lines;
    decision_log->lines_at = core->now;
    /* once it is used up, not line by line: a second's lines at a time */
    double enough = decision_log->suppressed > 0 ? LINES_A_SECOND : 1;
    if (decision_log->lines < enough) {
        decision_log->suppressed++;
        return;
    }
    if (decision_log->suppressed > 0)
        bd_log_write(core->log, BD_LOG_INFO, "event=suppressed lines=%u", decision_log->suppressed);
    decision_log->suppressed = 0;
    decision_log->lines--;
    bd_log_write(core->log, BD_LOG_INFO, "%s", text);
}

/* The open range behind those that are closed. False: there is no room for it. */
static bool close_range(struct bd_decision_log *decision_log)
{
    size_t len = strlen(decision_log->ranges), capacity = sizeof decision_log->ranges - len;
    const char *comma = len > 0 ? "," : "";
    int n = decision_log->from == decision_log->to
                ? snprintf(decision_log->ranges + len, capacity, "%s%u", comma, decision_log->from)
                : snprintf(decision_log->ranges + len, capacity, "%s%u-%u", comma,
                           decision_log->from, decision_log->to);
    if (n >= 0 && (size_t)n < capacity)
        return true;
    decision_log->ranges[len] = '\0';
    return false;
}

void bd_decision_log_flush(struct bd_core *core)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    char line[sizeof decision_log->head + sizeof decision_log->tail + sizeof decision_log->ranges +
              16];
    if (!decision_log->open)
        return;
    decision_log->open = false;
    (void)close_range(decision_log);
    snprintf(line, sizeof line, "%s task=%s %s", decision_log->head, decision_log->ranges,
             decision_log->tail);
    write_line(core, line);
}

/* Adds the task to the line that is being gathered, if all else is the same. */
static bool joins(struct bd_decision_log *decision_log, const char *head, const char *tail,
                  uint32_t task)
{
    if (!decision_log->open || strcmp(decision_log->head, head) != 0 ||
        strcmp(decision_log->tail, tail) != 0)
        return false;
    if (task == decision_log->to + 1) {
        decision_log->to = task;
        return true;
    }
    if (strlen(decision_log->ranges) + 32 > sizeof decision_log->ranges ||
        !close_range(decision_log))
        return false;
    decision_log->from = decision_log->to = task;
    return true;
}

/* What is known of the machine: its session, the number of its newest report, the highest token
 * that it has seen; and the token by which we lead. */
static void evidence(const struct bd_core *core, const struct bd_machine *machine, const char *why,
                     char *out, size_t cap)
{
    const char *space = why && *why ? " " : "";
    if (machine)
        snprintf(out, cap,
                 "machine=%s %s%sincarnation=%llu heartbeat=%llu token_seen=%llu term=%llu",
                 machine->id, why ? why : "", space, (unsigned long long)machine->incarnation,
                 (unsigned long long)machine->seq, (unsigned long long)machine->fencing_token,
                 (unsigned long long)core->lead.term);
    else
        snprintf(out, cap, "machine=- %s%sterm=%llu", why ? why : "", space,
                 (unsigned long long)core->lead.term);
}

void bd_decision_log_task(struct bd_core *core, const char *event, const struct bd_job *job,
                          uint32_t task, uint64_t attempt, const struct bd_machine *machine,
                          const char *why)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    char head[sizeof decision_log->head], tail[sizeof decision_log->tail];
    if (!wanted(core))
        return;
    snprintf(head, sizeof head, "event=%s job=%s attempt=%llu", event, job->id,
             (unsigned long long)attempt);
    evidence(core, machine, why, tail, sizeof tail);
    if (joins(decision_log, head, tail, task))
        return;
    bd_decision_log_flush(core);
    memcpy(decision_log->head, head, sizeof head);
    memcpy(decision_log->tail, tail, sizeof tail);
    decision_log->ranges[0] = '\0';
    decision_log->from = decision_log->to = task;
    decision_log->open = true;
}

void bd_decision_log_machine(struct bd_core *core, const char *event,
                             const struct bd_machine *machine, const char *why)
{
    char line[384], tail[256];
    if (!wanted(core))
        return;
    bd_decision_log_flush(core);
    evidence(core, machine, why, tail, sizeof tail);
    snprintf(line, sizeof line, "event=%s %s", event, tail);
    write_line(core, line);
}

/* `always`: beyond the rate too. */
static void note(struct bd_core *core, bool always, const char *event, const char *fmt, va_list ap)
{
    char line[384];
    if (!wanted(core))
        return;
    bd_decision_log_flush(core);
    int n = snprintf(line, sizeof line, "event=%s ", event);
    (void)vsnprintf(line + n, sizeof line - (size_t)n, fmt, ap);
    if (always)
        bd_log_write(core->log, BD_LOG_INFO, "%s", line);
    else
        write_line(core, line);
}

void bd_decision_log_note(struct bd_core *core, const char *event, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    note(core, false, event, fmt, ap);
    va_end(ap);
}

void bd_decision_log_term(struct bd_core *core, const char *event, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    note(core, true, event, fmt, ap);
    va_end(ap);
}

void bd_decision_log_release(struct bd_core *core, const struct bd_job *job, uint32_t task,
                             enum bd_release_reason why)
{
    const struct bd_task *held = &job->tasks[task];
    char text[64];
    if (!wanted(core))
        return;
    snprintf(text, sizeof text, "why=%s state=%s", ends[why], states[held->state]);
    bd_decision_log_task(core, "reservation_released", job, task, held->attempt,
                         bd_machine_of(core, held->machine), text);
}

void bd_decision_log_stop(struct bd_core *core, const struct bd_job *job, uint32_t task,
                          enum bd_stop_reason why, bool force)
{
    const struct bd_task *held = &job->tasks[task];
    char text[64];
    if (!wanted(core))
        return;
    snprintf(text, sizeof text, "why=%s force=%d state=%s", stops[why], force, states[held->state]);
    bd_decision_log_task(core, "stop_requested", job, task, held->attempt,
                         bd_machine_of(core, held->machine), text);
}
