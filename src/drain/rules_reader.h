/* Parser of the operators' declarations for draining, internal to the files rules*.c: its state,
 * the accessors of entries, and the disruption budgets. Errors are reported to the reader, which
 * keeps the first one. */
#ifndef BD_RULES_READER_H
#define BD_RULES_READER_H
#include "brambledoor/settings.h"
#include "drain/drain_rules.h"
#include <sexp.h>
#include <stdbool.h>

#define BD_RULES_NUMBER_MAX 1e6

/* State of the parser, which stops at the first error. */
struct bd_rules_reader {
    const struct bd_settings *settings;
    struct bd_drain_rules *rules;
    struct bd_drain_rules_error *error;
    bool has_failed;
};

/* ---- rules_reader.c ---- */

/* Stores the error unless one was reported before. */
void bd_rules_report_error(struct bd_rules_reader *reader, const char *field, const char *message);
/* The name of an entry `(name ...)`, borrowed from it. NULL: an error was reported. */
const char *bd_rules_entry_name(struct bd_rules_reader *reader, const sexp_t *entry);
/* Reads the text of an entry `(name text)` into a buffer of BD_NAME_BYTES bytes. False: an error
 * was reported. */
bool bd_rules_read_text(struct bd_rules_reader *reader, const sexp_t *entry, char *out);
/* Reads the number of an entry `(name number)`, which must be from min to BD_RULES_NUMBER_MAX. */
double bd_rules_read_number(struct bd_rules_reader *reader, const sexp_t *entry, double min);

/* ---- rules_budgets.c ---- */

/* Reads `(team NAME (down N) (class ...) ...)`. */
void bd_rules_read_team(struct bd_rules_reader *reader, const sexp_t *entry);
/* Reads the list of `(down N)` and `(class ...)` of one team. With team "", reads the default
 * budget of the teams without an entry; the default has no classes. */
void bd_rules_read_team_fields(struct bd_rules_reader *reader, const sexp_t *entry,
                               const char *team);
/* Adds the default budget of teams without an entry, unless it was declared. */
void bd_rules_add_default_budget(struct bd_rules_reader *reader);
#endif
