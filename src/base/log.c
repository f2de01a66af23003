#include "brambledoor/log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES 1024 /* including the newline */

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
    char line[LINE_BYTES];
    int prefix_len =
        snprintf(line, sizeof line, "%s %s ", names[level], log->node ? log->node : "-");
    if (prefix_len < 0)
        return;
    va_list args;
    va_start(args, fmt);
    /* One byte is reserved: the newline below replaces the terminator. */
    int text_len = vsnprintf(line + prefix_len, sizeof line - (size_t)prefix_len - 1, fmt, args);
    va_end(args);
    if (text_len < 0)
        return;
    size_t len = strlen(line);
    line[len++] = '\n';
    if (write(STDERR_FILENO, line, len) < 0)
        return; /* a failure to log cannot be reported */
}
