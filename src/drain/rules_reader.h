/* Reading the operators' declarations, for the files rules*.c only: the state of one reading, the
 * forms of entries, and the disruption budgets. A function that finds a fault reports it to the
 * reader, which keeps the first one. */
#ifndef BD_RULES_READER_H
#define BD_RULES_READER_H
#include "brambledoor/settings.h"
#include "drain/drain_rules.h"
#include <sexp.h>
#include <stdbool.h>

#define BD_RULES_NUMBER_MAX 1e6

/* One reading; it ends at the first fault. */
struct bd_rules_reader {
    const struct bd_settings *settings;
    struct bd_drain_rules *rules;
    struct bd_drain_rules_error *fault;
    bool has_failed;
};

/* ---- rules_reader.c ---- */

/* Stores the fault unless there is one already. */
void bd_rules_report_fault(struct bd_rules_reader *reader, const char *field, const char *what);
/* The name of an entry `(name ...)`, borrowed from it, or NULL with a fault. */
const char *bd_rules_entry_name(struct bd_rules_reader *reader, const sexp_t *entry);
/* Reads the text of an entry `(name text)` into a buffer of BD_NAME_BYTES bytes. False with a
 * fault. */
bool bd_rules_read_text(struct bd_rules_reader *reader, const sexp_t *entry, char *out);
/* Reads the number of an entry `(name number)`, from min to BD_RULES_NUMBER_MAX. */
double bd_rules_read_number(struct bd_rules_reader *reader, const sexp_t *entry, double min);

/* ---- rules_budgets.c ---- */

/* Reads `(team NAME (down N) (class ...) ...)`. */
void bd_rules_read_team(struct bd_rules_reader *reader, const sexp_t *entry);
/* Reads a list of `(down N)` and `(class ...)` of one team, or of all teams without an entry of
 * their own (team ""). */
void bd_rules_read_team_fields(struct bd_rules_reader *reader, const sexp_t *entry,
                               const char *team);
/* Adds the budget of teams without an entry, unless it is declared. */
void bd_rules_add_default_budget(struct bd_rules_reader *reader);
#endif
