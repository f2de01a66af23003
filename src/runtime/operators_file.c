/* Reads the operators' settings file (S-expressions). */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "drain/drain_rules.h"
#include "runtime/settings_internal.h"
#include <math.h>
#include <sexp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX 65536u
#define MESSAGE_BYTES 96
#define DEADLINE_MIN_S 1.0 /* the interval at which deadlines are checked */

static void check_content(struct bd_settings_reader *reader, const char *content, size_t size)
{
    char message[MESSAGE_BYTES];
    if (size > FILE_BYTES_MAX) {
        snprintf(message, sizeof message, "is longer than %u bytes", FILE_BYTES_MAX);
        bd_settings_report_error(reader, "file", message);
    } else if (memchr(content, '\0', size)) {
        bd_settings_report_error(reader, "file", "contains a null byte");
    }
}

/* Reads the file into a null-terminated string, which the caller frees. Reports a file that cannot
 * be read as a whole. */
static char *read_file(struct bd_settings_reader *reader)
{
    FILE *file = fopen(reader->path, "rb");
    char *content = calloc(1, FILE_BYTES_MAX + 2);
    if (!content)
        abort();
    size_t size = file ? fread(content, 1, FILE_BYTES_MAX + 1, file) : 0;
    if (!file || ferror(file))
        bd_settings_report_error(reader, "file", "cannot be read");
    else
        check_content(reader, content, size);
    if (file)
        (void)fclose(file);
    return content;
}

static void read_field(struct bd_settings_reader *reader, struct bd_settings *settings,
                       const char *name, const char *value)
{
    char *end = NULL;
    double number = strtod(value, &end);
    if (end == value || *end || !isfinite(number) || number < 0)
        bd_settings_report_error(reader, name, "must be a number of at least 0");
    else if (strcmp(name, "leader-ttl-s") == 0)
        settings->leader_ttl = bd_secs(number);
    else if (strcmp(name, "spare-share") == 0)
        settings->headroom_share = number;
    else if (strcmp(name, "idle-boots") == 0)
        settings->idle_boot_times = number;
    else if (strcmp(name, "request-s") == 0 && number >= DEADLINE_MIN_S)
        settings->request_deadline = bd_secs(number);
    else if (strcmp(name, "answer-s") == 0 && number >= DEADLINE_MIN_S)
        settings->answer_deadline = bd_secs(number);
    else if (strcmp(name, "request-s") == 0 || strcmp(name, "answer-s") == 0)
        bd_settings_report_error(reader, name, "must be a number of at least 1");
    else
        bd_settings_report_error(reader, name, "unknown field");
}

/* Reads the entry (draining ...); see drain/drain_rules.h. */
static void read_draining(struct bd_settings_reader *reader, struct bd_settings *settings,
                          sexp_t *fields)
{
    struct bd_drain_rules_error error = {"", ""};
    if (settings->draining) {
        bd_settings_report_error(reader, "draining", "must occur only once");
        return;
    }
    settings->draining = bd_drain_rules_read(settings, fields, &error);
    if (!settings->draining)
        bd_settings_report_error(reader, error.field, error.message);
}

/* Reads this entry and all following entries. A (name value) pair may be at the top level or inside
 * a (brambledoor ...) list. */
static void read_pairs(struct bd_settings_reader *reader, struct bd_settings *settings,
                       sexp_t *entry)
{
    for (; entry && !reader->has_failed; entry = entry->next) {
        if (entry->ty != SEXP_LIST || !entry->list || entry->list->ty != SEXP_VALUE) {
            bd_settings_report_error(reader, "entry", "must have the form (name value)");
            return;
        }
        const char *name = entry->list->val;
        sexp_t *value = entry->list->next;
        if (strcmp(name, "brambledoor") == 0)
            read_pairs(reader, settings, value);
        else if (strcmp(name, "draining") == 0)
            read_draining(reader, settings, value);
        else if (!value || value->ty != SEXP_VALUE || value->next)
            bd_settings_report_error(reader, name, "must have the form (name value)");
        else
            read_field(reader, settings, name, value->val);
    }
}

/* Wraps the content in one list, because the parser reads a single expression. The caller frees the
 * result. */
static char *wrap_in_list(const char *content)
{
    size_t size = strlen(content) + sizeof "(\n)";
    char *wrapped = malloc(size);
    if (!wrapped)
        abort();
    snprintf(wrapped, size, "(%s\n)", content);
    return wrapped;
}

static void read_content(struct bd_settings_reader *reader, struct bd_settings *settings,
                         const char *content)
{
    char *wrapped = wrap_in_list(content);
    sexp_t *list = parse_sexp(wrapped, strlen(wrapped));
    if (list) {
        read_pairs(reader, settings, list->list);
        destroy_sexp(list);
    } else {
        bd_settings_report_error(reader, "file", "is not a well-formed S-expression");
    }
    sexp_cleanup();
    free(wrapped);
}

int bd_settings_load_operators_file(struct bd_settings *settings, const char *path, char *error,
                                    size_t error_size)
{
    struct bd_settings_reader reader = {path, error, error_size, false};
    char *content = read_file(&reader);
    if (!reader.has_failed)
        read_content(&reader, settings, content);
    free(content);
    return reader.has_failed ? -1 : 0;
}
