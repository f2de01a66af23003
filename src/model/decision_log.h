/* The decision log: the events and evidence on which each controller acted, so that an operator can
 * follow one task through all controllers. docs/operations.md shows how, and lists the events.
 *
 * One line per event, at level info: `event=NAME key=value ...`, with the keys in the order job,
 * attempt, task, machine, then the evidence. Events that differ only in the task's index share a
 * line, as `task=0-3,7`. Lines beyond a rate limit are counted, not written:
 * `event=suppressed lines=N`.
 *
 * Owns core->decision_log. Called by all of the core, on the owner thread. Nothing is formatted
 * while the log's level is below info. */
#ifndef BD_DECISION_LOG_H
#define BD_DECISION_LOG_H
#include "model/job.h"
#include "model/machine.h"
#include <stdbool.h>

struct bd_core;

#define BD_DECISION_LOG_RANGES_BYTES 160
#define BD_DECISION_LOG_EVIDENCE_BYTES 160 /* enough for the evidence of any event */

struct bd_decision_log {
    /* the open line, to which further tasks may be added */
    char head[192];                            /* from event to attempt */
    char tail[256];                            /* machine and evidence */
    char ranges[BD_DECISION_LOG_RANGES_BYTES]; /* closed ranges of its tasks */
    uint32_t range_first, range_last;          /* the open range */
    bool is_open;
    /* the rate limit */
    double line_budget;             /* lines that may be written now */
    struct timespec line_budget_at; /* when the budget was last refilled */
    uint32_t suppressed;            /* lines suppressed since the last line that was written */
    /* when a reply of an autonomous zone was last logged */
    struct timespec autonomous_logged_at;
};

/* Whether events are written: the log's level is info or more detailed. */
bool bd_decision_log_is_enabled(const struct bd_core *core);
/* Logs an event of a task. details: more key=value text, or empty. machine may be NULL. */
void bd_decision_log_task(struct bd_core *core, const char *event, const struct bd_job *job,
                          uint32_t task, uint64_t attempt, const struct bd_machine *machine,
                          const char *details);
/* Logs an event of a machine, such as the reply to its heartbeat. */
void bd_decision_log_machine(struct bd_core *core, const char *event,
                             const struct bd_machine *machine, const char *details);
/* Logs any other event, with a text of key=value pairs. */
void bd_decision_log_note(struct bd_core *core, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Logs a leadership event. These are few, so the rate limit does not apply. */
void bd_decision_log_term(struct bd_core *core, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Writes and closes the open line, if there is one. */
void bd_decision_log_flush(struct bd_core *core);

/* Formats the evidence of a heartbeat as key=value text: the machine's incarnation, the heartbeat's
 * number, the highest fencing token that the machine has seen, and the term that acts on it. The
 * text is truncated to size bytes; BD_DECISION_LOG_EVIDENCE_BYTES is always enough. */
void bd_decision_log_evidence(char *out, size_t size, uint64_t incarnation, uint64_t heartbeat,
                              uint64_t token_seen, uint64_t term);

/* Logs that a task's reservation of its machine is released. */
void bd_decision_log_release(struct bd_core *core, const struct bd_job *job, uint32_t index,
                             enum bd_release_reason reason);
/* Logs that a stop of a task is requested. force: without time for a checkpoint. */
void bd_decision_log_stop(struct bd_core *core, const struct bd_job *job, uint32_t index,
                          enum bd_stop_reason reason, bool force);
#endif
