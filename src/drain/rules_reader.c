/* Entries of S-expressions: their names, texts and numbers, and the first fault. */
#include "drain/rules_reader.h"
#include "brambledoor/settings.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void bd_rules_report_fault(struct bd_rules_reader *reader, const char *field, const char *what)
{
    if (reader->has_failed)
        return;
    reader->has_failed = true;
    snprintf(reader->fault->field, sizeof reader->fault->field, "%s", field);
    snprintf(reader->fault->message, sizeof reader->fault->message, "%s", what);
}

const char *bd_rules_entry_name(struct bd_rules_reader *reader, const sexp_t *entry)
{
    if (entry->ty == SEXP_LIST && entry->list && entry->list->ty == SEXP_VALUE)
        return entry->list->val;
    bd_rules_report_fault(reader, "draining", "needs entries of the form (name value)");
    return NULL;
}

bool bd_rules_read_text(struct bd_rules_reader *reader, const sexp_t *entry, char *out)
{
    const sexp_t *value = entry->list->next;
    const char *name = entry->list->val;
    if (!value || value->ty != SEXP_VALUE || value->next)
        bd_rules_report_fault(reader, name, "needs the form (name value)");
    else if (!*value->val || strlen(value->val) >= BD_NAME_BYTES)
        bd_rules_report_fault(reader, name, "needs a short text");
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
        bd_rules_report_fault(reader, entry->list->val,
                              "is not a number in the range that is allowed");
    return value;
}
