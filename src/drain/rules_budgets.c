/* Reads the declarations of disruption budgets, by team and job class. */
#include "brambledoor/settings.h"
#include "drain/drain_rules.h"
#include "drain/rules_reader.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_BUDGET_PERCENT 1.0

static bool is_known_team(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nteams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return true;
    return false;
}

/* Reads `(down 3)` or `(down 5%)`. */
static void read_amount(struct bd_rules_reader *reader, const sexp_t *entry,
                        struct bd_budget_rule *rule)
{
    char text[BD_NAME_BYTES], *end = NULL;
    if (!bd_rules_read_text(reader, entry, text))
        return;
    double value = strtod(text, &end);
    rule->is_percentage = end != text && strcmp(end, "%") == 0;
    rule->amount = value;
    bool is_whole = value == floor(value) && !*end;
    if (end == text || (!is_whole && !rule->is_percentage) || !isfinite(value) || value < 0 ||
        value > (rule->is_percentage ? 100 : BD_RULES_NUMBER_MAX))
        bd_rules_report_error(reader, "down",
                              "needs a whole number of tasks, or a percentage such as 5%");
}

/* Returns the field to report for an error in a budget. */
static const char *budget_error_field(const char *team, const char *job_class)
{
    if (*job_class)
        return job_class;
    return *team ? team : "teams";
}

/* Adds a budget without an amount. NULL: an error was reported. */
static struct bd_budget_rule *add_budget(struct bd_rules_reader *reader, const char *team,
                                         const char *job_class)
{
    struct bd_drain_rules *rules = reader->rules;
    for (uint32_t i = 0; i < rules->nbudgets; i++)
        if (strcmp(rules->budgets[i].team, team) == 0 &&
            strcmp(rules->budgets[i].job_class, job_class) == 0)
            bd_rules_report_error(reader, budget_error_field(team, job_class), "is declared twice");
    if (rules->nbudgets == BD_BUDGET_RULES_MAX)
        bd_rules_report_error(reader, "team", "has too many entries");
    if (reader->has_failed)
        return NULL;
    struct bd_budget_rule *rule = &rules->budgets[rules->nbudgets++];
    memset(rule, 0, sizeof *rule);
    snprintf(rule->team, sizeof rule->team, "%s", team);
    snprintf(rule->job_class, sizeof rule->job_class, "%s", job_class);
    return rule;
}

/* Reads a team's `(class NAME (down N))`. */
static void read_class_budget(struct bd_rules_reader *reader, const sexp_t *entry, const char *team)
{
    const sexp_t *name = entry->list->next;
    const sexp_t *down = name ? name->next : NULL;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME_BYTES || !down ||
        down->next || !bd_rules_entry_name(reader, down) || strcmp(down->list->val, "down") != 0) {
        bd_rules_report_error(reader, "class", "needs the form (class NAME (down N))");
        return;
    }
    struct bd_budget_rule *rule = add_budget(reader, team, name->val);
    if (rule)
        read_amount(reader, down, rule);
}

void bd_rules_read_team_fields(struct bd_rules_reader *reader, const sexp_t *entry,
                               const char *team)
{
    for (; entry && !reader->has_failed; entry = entry->next) {
        const char *name = bd_rules_entry_name(reader, entry);
        if (reader->has_failed)
            return;
        struct bd_budget_rule *rule = NULL;
        if (strcmp(name, "down") == 0) {
            rule = add_budget(reader, team, "");
            if (rule)
                read_amount(reader, entry, rule);
        } else if (strcmp(name, "class") == 0 && *team) {
            read_class_budget(reader, entry, team);
        } else {
            bd_rules_report_error(reader, name, "unknown field");
        }
    }
}

void bd_rules_read_team(struct bd_rules_reader *reader, const sexp_t *entry)
{
    const sexp_t *name = entry->list->next;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME_BYTES)
        bd_rules_report_error(reader, "team", "needs the form (team NAME (down N) ...)");
    else if (!is_known_team(reader->settings, name->val))
        bd_rules_report_error(reader, name->val, "is not a team in the settings");
    else
        bd_rules_read_team_fields(reader, name->next, name->val);
}

void bd_rules_add_default_budget(struct bd_rules_reader *reader)
{
    for (uint32_t i = 0; i < reader->rules->nbudgets; i++)
        if (!*reader->rules->budgets[i].team)
            return;
    struct bd_budget_rule *rule = add_budget(reader, "", "");
    if (!rule)
        return;
    rule->is_percentage = true;
    rule->amount = DEFAULT_BUDGET_PERCENT;
}
