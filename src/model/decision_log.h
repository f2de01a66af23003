/* The decision log: what each controller acted on, so that an operator can follow one task through
 * all controllers. docs/operations.md shows how, and lists the events.
 *
 * One line for each event, at level info: `event=NAME key=value ...`, always in the order job,
 * attempt, task, machine, and then what allowed it. Events that differ only in the task's number
 * share a line, as `task=0-3,7`. Lines beyond a rate are counted and not written:
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
#define BD_DECISION_LOG_EVIDENCE_BYTES 160 /* bytes that hold all of an event's evidence */

struct bd_decision_log {
    /* the open line, which further tasks may join */
    char head[192];                            /* event to attempt */
    char tail[256];                            /* machine and evidence */
    char ranges[BD_DECISION_LOG_RANGES_BYTES]; /* closed ranges of its tasks */
    uint32_t from, to;                         /* the open range */
    bool open;
    /* the rate */
    double lines;             /* that may be written now */
    struct timespec lines_at; /* when that was computed */
    uint32_t suppressed;      /* lines since the last one that was written */
    struct timespec autonomous_logged_at;
};

/* Logs a task's event. details: more key=value text, or empty. machine may be NULL. */
void bd_decision_log_task(struct bd_core *core, const char *event, const struct bd_job *job,
                          uint32_t task, uint64_t attempt, const struct bd_machine *machine,
                          const char *details);
/* Logs a machine's event, such as the reply to its heartbeat. */
void bd_decision_log_machine(struct bd_core *core, const char *event,
                             const struct bd_machine *machine, const char *details);
/* Logs any other event; the text is key=value. */
void bd_decision_log_note(struct bd_core *core, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Logs an event of leadership: these are few, and written beyond the rate too. */
void bd_decision_log_term(struct bd_core *core, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Writes the open line. */
void bd_decision_log_flush(struct bd_core *core);

/* Writes the evidence of a heartbeat as key=value text: the machine's incarnation, the heartbeat's
 * number, the highest fencing token that the machine has seen, and the term that acts on it. The
 * text is cut to size; BD_DECISION_LOG_EVIDENCE_BYTES bytes always hold it. */
void bd_decision_log_evidence(char *out, size_t size, uint64_t incarnation, uint64_t heartbeat,
                              uint64_t token_seen, uint64_t term);

/* Logs that a task's reservation of its machine is released. */
void bd_decision_log_release(struct bd_core *core, const struct bd_job *job, uint32_t index,
                             enum bd_release_reason reason);
/* Logs that a task is asked to stop; force: without time for a checkpoint. */
void bd_decision_log_stop(struct bd_core *core, const struct bd_job *job, uint32_t index,
                          enum bd_stop_reason reason, bool force);
#endif
