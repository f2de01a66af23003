/* Accessors of S-expression entries, and error reporting. */
#include "drain/rules_reader.h"
#include "brambledoor/settings.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void bd_rules_report_error(struct bd_rules_reader *reader, const char *field, const char *message)
{
    if (reader->has_failed)
        return;
    reader->has_failed = true;
    snprintf(reader->error->field, sizeof reader->error->field, "%s", field);
    snprintf(reader->error->message, sizeof reader->error->message, "%s", message);
}

const char *bd_rules_entry_name(struct bd_rules_reader *reader, const sexp_t *entry)
{
    if (entry->ty == SEXP_LIST && entry->list && entry->list->ty == SEXP_VALUE)
        return entry->list->val;
    bd_rules_report_error(reader, "draining", "needs entries of the form (name value)");
    return NULL;
}

bool bd_rules_read_text(struct bd_rules_reader *reader, const sexp_t *entry, char *out)
{
    const sexp_t *value = entry->list->next;
    const char *name = entry->list->val;
    if (!value || value->ty != SEXP_VALUE || value->next)
        bd_rules_report_error(reader, name, "needs the form (name value)");
    else if (!*value->val || strlen(value->val) >= BD_NAME_BYTES)
        bd_rules_report_error(reader, name, "needs a text of 1 to 63 bytes");
    else
        strcpy(out, value->val);
    return !reader->has_failed;
}

double bd_rules_read_number(struct bd_rules_reader *reader, const sexp_t *entry, double min)
{
    char text[BD_NAME_BYTES], *end = NULL;
    if (!bd_rules_read_text(reader, entry, text))
        return 0;
    double value = strtod(text, &end);
    if (end == text || *end || !isfinite(value) || value < min || value > BD_RULES_NUMBER_MAX)
        bd_rules_report_error(reader, entry->list->val, "needs a number in the allowed range");
    return value;
}
