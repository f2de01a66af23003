/* The evidence log: what each controller acted on, so that an operator can follow one task through
 * all of them. docs/operations.md shows how, and lists the events.
 *
 * A line an event, at info: `event=NAME key=value ...`, always in the order job, attempt, task,
 * machine, and then what allowed it. Tasks for which all but the number is the same share a line,
 * as `task=0-3,7`. Lines beyond a rate are counted and not written: `event=suppressed lines=N`.
 *
 * Owner thread only. Nothing is formatted while the log's level is below info. */
#ifndef BD_DECISION_LOG_H
#define BD_DECISION_LOG_H
#include "model/job.h"
#include "model/machine.h"
#include <stdbool.h>

struct bd_core;

#define BD_DECISION_LOG_RANGES 160

struct bd_decision_log {
    char head[192];                      /* of the line that is being gathered: event to attempt; */
    char tail[256];                      /* ... machine and evidence; */
    char ranges[BD_DECISION_LOG_RANGES]; /* ... and its tasks before the range that is open */
    uint32_t from, to;                   /* the open range */
    bool open;
    double lines; /* that may be written now */
    struct timespec lines_at;
    uint32_t suppressed;
    struct timespec autonomous_logged_at;
};

/* A task's event. `why` is more key=value text, or empty. */
void bd_decision_log_task(struct bd_core *core, const char *event, const struct bd_job *job,
                          uint32_t task, uint64_t attempt, const struct bd_machine *machine,
                          const char *why);
/* An event of a machine, such as the answer to its check-in. */
void bd_decision_log_machine(struct bd_core *core, const char *event,
                             const struct bd_machine *machine, const char *why);
/* Any other event; the text is key=value. */
void bd_decision_log_note(struct bd_core *core, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* ... of who leads, with which token and on which records: few, and written beyond the rate too. */
void bd_decision_log_term(struct bd_core *core, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Writes the line that is being gathered. */
void bd_decision_log_flush(struct bd_core *core);

/* The hold of a task on its machine ended. */
void bd_decision_log_release(struct bd_core *core, const struct bd_job *job, uint32_t task,
                             enum bd_release_reason why);
void bd_decision_log_stop(struct bd_core *core, const struct bd_job *job, uint32_t task,
                          enum bd_stop_reason why, bool force);
#endif
