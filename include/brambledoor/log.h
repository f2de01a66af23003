/* Levelled log of a controller: one line a call on standard error, "LEVEL NODE TEXT".
 *
 * Holds no state of its own; any thread may write. The level is the caller's to choose (the program
 * takes it from the environment's LOG_LEVEL).
 */
#ifndef BD_LOG_H
#define BD_LOG_H

/* In order of verbosity: a log at one level also writes the lines of the levels before it. */
enum bd_log_level { BD_LOG_ERROR, BD_LOG_INFO, BD_LOG_DEBUG };

struct bd_log {
    enum bd_log_level level; /* lines above it are dropped */
    const char *node;        /* the controller's name, borrowed; NULL: written as "-" */
};

/* "debug" and "error" by their names; any other name, or NULL, is BD_LOG_INFO. */
enum bd_log_level bd_log_level_parse(const char *name);
/* Writes a line, cut to 1 KiB, in a single write(2). A line that cannot be written is lost. `log`
 * may be NULL: nothing is written. */
void bd_log_write(const struct bd_log *log, enum bd_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
#endif
