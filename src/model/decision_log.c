#include "model/decision_log.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_table.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define LINES_PER_S 40.0
#define LINES_BURST 400.0 /* enough for a failover with some hundred machines */
#define LINE_BYTES 384
#define DETAILS_BYTES 64
#define RANGE_BYTES 32 /* one range of tasks, with its comma */

static const char *const release_names[] = {[BD_RELEASE_INTENT_NOT_COMMITTED] = "not_committed",
                                            [BD_RELEASE_LAUNCH_NOT_SENT] = "not_sent",
                                            [BD_RELEASE_EXITED] = "exited",
                                            [BD_RELEASE_NOT_REPORTED] = "not_reported",
                                            [BD_RELEASE_NEW_INCARNATION] = "new_incarnation",
                                            [BD_RELEASE_LEASE_EXPIRED] = "lease_expired",
                                            [BD_RELEASE_MACHINE_TERMINATED] = "machine_gone",
                                            [BD_RELEASE_MACHINE_FAILED] = "machine_failed",
                                            [BD_RELEASE_MOVED] = "moved",
                                            [BD_RELEASE_DONE] = "done"};
static const char *const stop_names[] = {
    [BD_STOP_CANCELLED] = "cancelled",       [BD_STOP_PREEMPTED] = "preempted",
    [BD_STOP_CONSOLIDATED] = "consolidated", [BD_STOP_DRAINED] = "drained",
    [BD_STOP_EVACUATED] = "evacuated",       [BD_STOP_GANG] = "gang"};
static const char *const state_names[] = {
    [BD_TASK_PENDING] = "pending",     [BD_TASK_PLANNED] = "planned",
    [BD_TASK_LAUNCHING] = "launching", [BD_TASK_CONFIRMED] = "confirmed",
    [BD_TASK_UNKNOWN] = "unknown",     [BD_TASK_DONE] = "done"};

bool bd_decision_log_is_enabled(const struct bd_core *core)
{
    return core->log && core->log->level >= BD_LOG_INFO;
}

/* ---- rate limit ---- */

static void refill_lines(struct bd_decision_log *decision_log, struct timespec now)
{
    double lines = decision_log->line_budget +
                   LINES_PER_S * bd_seconds_between(decision_log->line_budget_at, now);
    decision_log->line_budget = lines > LINES_BURST ? LINES_BURST : lines;
    decision_log->line_budget_at = now;
}

/* Takes one line from the budget, or counts the line as suppressed. After a suppression the budget
 * must first hold the lines of a second, so that whole runs of lines are written or suppressed. */
static bool may_write_line(struct bd_core *core)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    refill_lines(decision_log, core->now);
    double needed = decision_log->suppressed > 0 ? LINES_PER_S : 1;
    if (decision_log->line_budget < needed) {
        decision_log->suppressed++;
        return false;
    }
    if (decision_log->suppressed > 0)
        bd_log_write(core->log, BD_LOG_INFO, "event=suppressed lines=%u", decision_log->suppressed);
    decision_log->suppressed = 0;
    decision_log->line_budget--;
    return true;
}

/* ---- tasks that share a line ---- */

/* Appends the open range to the closed ones. False: no space left. */
static bool close_range(struct bd_decision_log *decision_log)
{
    size_t used = strlen(decision_log->ranges), size = sizeof decision_log->ranges - used;
    char *end = decision_log->ranges + used;
    const char *comma = used > 0 ? "," : "";
    int len = decision_log->range_first == decision_log->range_last
                  ? snprintf(end, size, "%s%u", comma, decision_log->range_first)
                  : snprintf(end, size, "%s%u-%u", comma, decision_log->range_first,
                             decision_log->range_last);
    if (len >= 0 && (size_t)len < size)
        return true;
    *end = '\0';
    return false;
}

void bd_decision_log_flush(struct bd_core *core)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    if (!decision_log->is_open)
        return;
    decision_log->is_open = false;
    if (!may_write_line(core))
        return;
    (void)close_range(decision_log);
    bd_log_write(core->log, BD_LOG_INFO, "%s task=%s %s", decision_log->head, decision_log->ranges,
                 decision_log->tail);
}

static bool continues_line(const struct bd_decision_log *decision_log, const char *head,
                           const char *tail)
{
    return decision_log->is_open && strcmp(decision_log->head, head) == 0 &&
           strcmp(decision_log->tail, tail) == 0;
}

/* Adds the task to the open line. False: no space left. */
static bool add_task(struct bd_decision_log *decision_log, uint32_t task)
{
    if (task == decision_log->range_last + 1) {
        decision_log->range_last = task;
        return true;
    }
    if (strlen(decision_log->ranges) + RANGE_BYTES > sizeof decision_log->ranges ||
        !close_range(decision_log))
        return false;
    decision_log->range_first = decision_log->range_last = task;
    return true;
}

static void open_line(struct bd_decision_log *decision_log, const char *head, const char *tail,
                      uint32_t task)
{
    snprintf(decision_log->head, sizeof decision_log->head, "%s", head);
    snprintf(decision_log->tail, sizeof decision_log->tail, "%s", tail);
    decision_log->ranges[0] = '\0';
    decision_log->range_first = decision_log->range_last = task;
    decision_log->is_open = true;
}

/* ---- evidence ---- */

void bd_decision_log_evidence(char *out, size_t size, uint64_t incarnation, uint64_t heartbeat,
                              uint64_t token_seen, uint64_t term)
{
    snprintf(out, size, "incarnation=%llu heartbeat=%llu token_seen=%llu term=%llu",
             (unsigned long long)incarnation, (unsigned long long)heartbeat,
             (unsigned long long)token_seen, (unsigned long long)term);
}

/* Formats the end of a line: the machine, the details and the evidence of its newest heartbeat. */
static void format_tail(const struct bd_core *core, const struct bd_machine *machine,
                        const char *details, char *out, size_t size)
{
    const char *text = details ? details : "", *space = *text ? " " : "";
    uint64_t term = core->lead.term;
    if (!machine) {
        snprintf(out, size, "machine=- %s%sterm=%llu", text, space, (unsigned long long)term);
        return;
    }
    char evidence[BD_DECISION_LOG_EVIDENCE_BYTES];
    bd_decision_log_evidence(evidence, sizeof evidence, machine->incarnation,
                             machine->heartbeat_seq, machine->fencing_token, term);
    snprintf(out, size, "machine=%s %s%s%s", machine->id, text, space, evidence);
}

/* ---- events ---- */

void bd_decision_log_task(struct bd_core *core, const char *event, const struct bd_job *job,
                          uint32_t task, uint64_t attempt, const struct bd_machine *machine,
                          const char *details)
{
    struct bd_decision_log *decision_log = &core->decision_log;
    char head[sizeof decision_log->head], tail[sizeof decision_log->tail];
    if (!bd_decision_log_is_enabled(core))
        return;
    snprintf(head, sizeof head, "event=%s job=%s attempt=%llu", event, job->id,
             (unsigned long long)attempt);
    format_tail(core, machine, details, tail, sizeof tail);
    if (continues_line(decision_log, head, tail) && add_task(decision_log, task))
        return;
    bd_decision_log_flush(core);
    open_line(decision_log, head, tail, task);
}

void bd_decision_log_machine(struct bd_core *core, const char *event,
                             const struct bd_machine *machine, const char *details)
{
    char tail[sizeof core->decision_log.tail];
    if (!bd_decision_log_is_enabled(core))
        return;
    bd_decision_log_flush(core);
    if (!may_write_line(core))
        return;
    format_tail(core, machine, details, tail, sizeof tail);
    bd_log_write(core->log, BD_LOG_INFO, "event=%s %s", event, tail);
}

static void write_event(const struct bd_core *core, const char *event, const char *format,
                        va_list arguments)
{
    char line[LINE_BYTES];
    int len = snprintf(line, sizeof line, "event=%s ", event);
    (void)vsnprintf(line + len, sizeof line - (size_t)len, format, arguments);
    bd_log_write(core->log, BD_LOG_INFO, "%s", line);
}

void bd_decision_log_note(struct bd_core *core, const char *event, const char *format, ...)
{
    va_list arguments;
    if (!bd_decision_log_is_enabled(core))
        return;
    bd_decision_log_flush(core);
    if (!may_write_line(core))
        return;
    va_start(arguments, format);
    write_event(core, event, format, arguments);
    va_end(arguments);
}

void bd_decision_log_term(struct bd_core *core, const char *event, const char *format, ...)
{
    va_list arguments;
    if (!bd_decision_log_is_enabled(core))
        return;
    bd_decision_log_flush(core);
    va_start(arguments, format);
    write_event(core, event, format, arguments);
    va_end(arguments);
}

void bd_decision_log_release(struct bd_core *core, const struct bd_job *job, uint32_t index,
                             enum bd_release_reason reason)
{
    const struct bd_task *task = bd_job_task(job, index);
    char details[DETAILS_BYTES];
    if (!bd_decision_log_is_enabled(core))
        return;
    snprintf(details, sizeof details, "why=%s state=%s", release_names[reason],
             state_names[task->state]);
    bd_decision_log_task(core, "reservation_released", job, index, task->attempt,
                         bd_machine_by_index(core, task->machine), details);
}

void bd_decision_log_stop(struct bd_core *core, const struct bd_job *job, uint32_t index,
                          enum bd_stop_reason reason, bool force)
{
    const struct bd_task *task = bd_job_task(job, index);
    char details[DETAILS_BYTES];
    if (!bd_decision_log_is_enabled(core))
        return;
    snprintf(details, sizeof details, "why=%s force=%d state=%s", stop_names[reason], force,
             state_names[task->state]);
    bd_decision_log_task(core, "stop_requested", job, index, task->attempt,
                         bd_machine_by_index(core, task->machine), details);
}
