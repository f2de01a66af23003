/* Reads the operators' declarations for draining from the S-expressions of their file. */
#include "brambledoor/settings.h"
#include "drain/drain_rules.h"
#include <math.h>
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MACHINES_IN_STEP 1
#define DEFAULT_STOP_S 60.0
#define DEFAULT_WAIT_S 300.0
#define DEFAULT_REPLACE_S 300.0
#define DEFAULT_KEEP_S 86400.0
#define DEFAULT_BUDGET_PER_CENT 1.0
#define NUMBER_MAX 1e6

/* The rules that are being read. The first fault ends the reading. */
struct reader {
    const struct bd_settings *settings;
    struct bd_drain_rules *rules;
    struct bd_rules_fault *fault;
    bool has_failed;
};

static void report_fault(struct reader *reader, const char *field, const char *what)
{
    if (reader->has_failed)
        return;
    reader->has_failed = true;
    snprintf(reader->fault->field, sizeof reader->fault->field, "%s", field);
    snprintf(reader->fault->what, sizeof reader->fault->what, "%s", what);
}

/* The name of an entry `(name ...)`, or NULL with a fault. */
static const char *entry_name(struct reader *reader, const sexp_t *entry)
{
    if (entry->ty == SEXP_LIST && entry->list && entry->list->ty == SEXP_VALUE)
        return entry->list->val;
    report_fault(reader, "draining", "needs entries of the form (name value)");
    return NULL;
}

/* Reads the text of an entry `(name text)`, of up to BD_NAME bytes. */
static bool read_text(struct reader *reader, const sexp_t *entry, char *out)
{
    const sexp_t *value = entry->list->next;
    const char *name = entry->list->val;
    if (!value || value->ty != SEXP_VALUE || value->next)
        report_fault(reader, name, "needs the form (name value)");
    else if (!*value->val || strlen(value->val) >= BD_NAME)
        report_fault(reader, name, "needs a short text");
    else
        strcpy(out, value->val);
    return !reader->has_failed;
}

/* Reads the number of an entry `(name number)`. */
static double read_number(struct reader *reader, const sexp_t *entry, double min)
{
    char text[BD_NAME], *end = NULL;
    if (!read_text(reader, entry, text))
        return 0;
    double value = strtod(text, &end);
    if (end == text || *end || !isfinite(value) || value < min || value > NUMBER_MAX)
        report_fault(reader, entry->list->val, "is not a number in the range that is allowed");
    return value;
}

static bool is_known_team(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nteams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return true;
    return false;
}

static bool is_known_zone(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nzones; i++)
        if (strcmp(settings->zones[i], name) == 0)
            return true;
    return false;
}

/* Reads `(down 3)` or `(down 5%)`. */
static void read_amount(struct reader *reader, const sexp_t *entry, struct bd_budget_rule *rule)
{
    char text[BD_NAME], *end = NULL;
    if (!read_text(reader, entry, text))
        return;
    double value = strtod(text, &end);
    rule->per_cent = end != text && strcmp(end, "%") == 0;
    rule->amount = value;
    bool is_whole = value == floor(value) && !*end;
    if (end == text || (!is_whole && !rule->per_cent) || !isfinite(value) || value < 0 ||
        value > (rule->per_cent ? 100 : NUMBER_MAX))
        report_fault(reader, "down", "needs a number of tasks, or a per cent figure such as 5%");
}

/* How a fault names a budget. */
static const char *budget_label(const char *team, const char *job_class)
{
    if (*job_class)
        return job_class;
    return *team ? team : "teams";
}

/* Adds a budget without an amount; NULL with a fault. */
static struct bd_budget_rule *add_budget(struct reader *reader, const char *team,
                                         const char *job_class)
{
    struct bd_drain_rules *rules = reader->rules;
    for (uint32_t i = 0; i < rules->nbudgets; i++)
        if (strcmp(rules->budgets[i].team, team) == 0 &&
            strcmp(rules->budgets[i].job_class, job_class) == 0)
            report_fault(reader, budget_label(team, job_class), "is declared twice");
    if (rules->nbudgets == BD_BUDGET_RULES_MAX)
        report_fault(reader, "team", "has too many entries");
    if (reader->has_failed)
        return NULL;
    struct bd_budget_rule *rule = &rules->budgets[rules->nbudgets++];
    memset(rule, 0, sizeof *rule);
    snprintf(rule->team, sizeof rule->team, "%s", team);
    snprintf(rule->job_class, sizeof rule->job_class, "%s", job_class);
    return rule;
}

/* Reads `(class NAME (down N))` of a team. */
static void read_class_budget(struct reader *reader, const sexp_t *entry, const char *team)
{
    const sexp_t *name = entry->list->next;
    const sexp_t *down = name ? name->next : NULL;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME || !down || down->next ||
        !entry_name(reader, down) || strcmp(down->list->val, "down") != 0) {
        report_fault(reader, "class", "needs the form (class NAME (down N))");
        return;
    }
    struct bd_budget_rule *rule = add_budget(reader, team, name->val);
    if (rule)
        read_amount(reader, down, rule);
}

/* Reads `(down N)` and `(class ...)` of one team, or of all teams without an entry (""). */
static void read_team_fields(struct reader *reader, const sexp_t *entry, const char *team)
{
    for (; entry && !reader->has_failed; entry = entry->next) {
        const char *name = entry_name(reader, entry);
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
            report_fault(reader, name, "unknown field");
        }
    }
}

/* Reads `(team NAME (down N) (class ...) ...)`. */
static void read_team(struct reader *reader, const sexp_t *entry)
{
    const sexp_t *name = entry->list->next;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME)
        report_fault(reader, "team", "needs the form (team NAME (down N) ...)");
    else if (!is_known_team(reader->settings, name->val))
        report_fault(reader, name->val, "is not a team of the settings");
    else
        read_team_fields(reader, name->next, name->val);
}

/* Reads `(not-together ZONE ZONE)`. */
static void read_zone_conflict(struct reader *reader, const sexp_t *entry)
{
    const sexp_t *one = entry->list->next;
    const sexp_t *other = one ? one->next : NULL;
    if (!other || other->next || one->ty != SEXP_VALUE || other->ty != SEXP_VALUE ||
        !is_known_zone(reader->settings, one->val) ||
        !is_known_zone(reader->settings, other->val)) {
        report_fault(reader, "not-together", "needs two zones of the settings");
        return;
    }
    if (reader->rules->nzone_conflicts == BD_MAX_ZONES) {
        report_fault(reader, "not-together", "has too many entries");
        return;
    }
    struct bd_zone_conflict *pair =
        &reader->rules->zone_conflicts[reader->rules->nzone_conflicts++];
    snprintf(pair->one, sizeof pair->one, "%s", one->val);
    snprintf(pair->other, sizeof pair->other, "%s", other->val);
}

/* Reads `(selection LABEL (type T) (zone Z))`. */
static void read_selection(struct reader *reader, const sexp_t *entry)
{
    const sexp_t *label = entry->list->next;
    if (!label || label->ty != SEXP_VALUE || strlen(label->val) >= BD_NAME ||
        reader->rules->nselections == BD_SELECTIONS_MAX) {
        report_fault(reader, "selection",
                     "needs the form (selection LABEL (type T) (zone Z)), 64 at most");
        return;
    }
    struct bd_machine_selection *selection =
        &reader->rules->selections[reader->rules->nselections++];
    snprintf(selection->label, sizeof selection->label, "%s", label->val);
    for (const sexp_t *field = label->next; field && !reader->has_failed; field = field->next) {
        const char *name = entry_name(reader, field);
        if (reader->has_failed)
            return;
        if (strcmp(name, "type") == 0)
            (void)read_text(reader, field, selection->type);
        else if (strcmp(name, "zone") == 0)
            (void)read_text(reader, field, selection->zone);
        else
            report_fault(reader, name, "unknown field");
    }
}

/* Reads `(planner solver)` or `(planner greedy)`. */
static void read_planner(struct reader *reader, const sexp_t *entry)
{
    char value[BD_NAME] = "";
    if (!read_text(reader, entry, value))
        return;
    if (strcmp(value, "solver") == 0)
        reader->rules->planner = BD_PLANNER_SOLVER;
    else if (strcmp(value, "greedy") == 0)
        reader->rules->planner = BD_PLANNER_GREEDY;
    else
        report_fault(reader, "planner", "is solver or greedy");
}

static void read_entry(struct reader *reader, const sexp_t *entry)
{
    struct bd_drain_rules *rules = reader->rules;
    const char *name = entry_name(reader, entry);
    if (!name)
        return;
    if (strcmp(name, "admin") == 0)
        (void)read_text(reader, entry, rules->admin_addr);
    else if (strcmp(name, "machines-in-step") == 0)
        rules->machines_in_step = (uint32_t)read_number(reader, entry, 1);
    else if (strcmp(name, "stop-s") == 0)
        rules->stop_s = read_number(reader, entry, 0);
    else if (strcmp(name, "wait-s") == 0)
        rules->wait_s = read_number(reader, entry, 0);
    else if (strcmp(name, "replace-s") == 0)
        rules->replace_s = read_number(reader, entry, 1);
    else if (strcmp(name, "keep-s") == 0)
        rules->keep_s = read_number(reader, entry, 1);
    else if (strcmp(name, "planner") == 0)
        read_planner(reader, entry);
    else if (strcmp(name, "team") == 0)
        read_team(reader, entry);
    else if (strcmp(name, "teams") == 0)
        read_team_fields(reader, entry->list->next, "");
    else if (strcmp(name, "not-together") == 0)
        read_zone_conflict(reader, entry);
    else if (strcmp(name, "selection") == 0)
        read_selection(reader, entry);
    else
        report_fault(reader, name, "unknown field");
}

/* Adds the budget of teams without an entry, unless it is declared. */
static void add_default_budget(struct reader *reader)
{
    for (uint32_t i = 0; i < reader->rules->nbudgets; i++)
        if (!*reader->rules->budgets[i].team)
            return;
    struct bd_budget_rule *rule = add_budget(reader, "", "");
    if (!rule)
        return;
    rule->per_cent = true;
    rule->amount = DEFAULT_BUDGET_PER_CENT;
}

struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_rules_fault *fault)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules = (struct bd_drain_rules){.machines_in_step = DEFAULT_MACHINES_IN_STEP,
                                     .stop_s = DEFAULT_STOP_S,
                                     .wait_s = DEFAULT_WAIT_S,
                                     .replace_s = DEFAULT_REPLACE_S,
                                     .keep_s = DEFAULT_KEEP_S};
    struct reader reader = {settings, rules, fault, false};
    for (const sexp_t *entry = fields; entry && !reader.has_failed; entry = entry->next)
        read_entry(&reader, entry);
    if (!reader.has_failed)
        add_default_budget(&reader);
    if (reader.has_failed) {
        free(rules);
        return NULL;
    }
    return rules;
}
