/* Levelled log on standard error; the level comes from LOG_LEVEL. */
#ifndef BD_LOG_H
#define BD_LOG_H

enum bd_level { BD_ERROR, BD_INFO, BD_DEBUG };

struct bd_log {
    enum bd_level level;
    const char *node;
};

enum bd_level bd_level_of(const char *name);
void bd_say(const struct bd_log *log, enum bd_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
#endif
