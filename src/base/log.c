#include "brambledoor/log.h"
#include "base/timeutil.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum bd_log_level bd_log_level_parse(const char *name)
{
    if (name && strcmp(name, "debug") == 0)
        return BD_LOG_DEBUG;
    if (name && strcmp(name, "error") == 0)
        return BD_LOG_ERROR;
    return BD_LOG_INFO;
}

void bd_log_write(const struct bd_log *log, enum bd_log_level level, const char *fmt, ...)
{
    static const char *const names[] = {"error", "info", "debug"};
    if (!log || level > log->level)
        return;
    char line[1024];
    int n = snprintf(line, sizeof line, "%s %s ", names[level], log->node ? log->node : "-");
    if (n < 0)
        return;
    va_list ap;
    va_start(ap, fmt);
    int m = vsnprintf(line + n, sizeof line - (size_t)n - 1, fmt, ap);
    va_end(ap);
    if (m < 0)
        return;
    size_t len = strlen(line);
    line[len++] = '\n';
    if (write(STDERR_FILENO, line, len) < 0)
        return; /* nowhere left to report to */
}
