/* Log of a controller with levels. Each call writes one line to standard error, "LEVEL NODE TEXT".
 *
 * It has no global state; any thread may write. The caller chooses the level (the program reads it
 * from the environment variable LOG_LEVEL). */
#ifndef BD_LOG_H
#define BD_LOG_H

/* In order of verbosity: a log at one level also writes the lines of the levels before it. */
enum bd_log_level { BD_LOG_ERROR, BD_LOG_INFO, BD_LOG_DEBUG };

struct bd_log {
    enum bd_log_level level; /* more verbose lines are dropped */
    const char *node;        /* the controller's name, borrowed; NULL: written as "-" */
};

/* Returns the level named "debug" or "error"; BD_LOG_INFO for any other name or NULL. */
enum bd_log_level bd_log_level_parse(const char *name);
/* Writes a line, truncated to 1 KiB, in a single write(2). A line that cannot be written is lost.
 * If `log` is NULL, nothing is written. */
void bd_log_write(const struct bd_log *log, enum bd_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
#endif
