/* Levelled log on standard error; the level comes from LOG_LEVEL. */
#ifndef BD_LOG_H
#define BD_LOG_H

enum bd_log_level { BD_LOG_ERROR, BD_LOG_INFO, BD_LOG_DEBUG };

struct bd_log {
    enum bd_log_level level;
    const char *node;
};

enum bd_log_level bd_log_level_parse(const char *name);
void bd_log_write(const struct bd_log *log, enum bd_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
#endif
