/* Reads the operators' declarations for draining from the S-expressions of the operators' file. */
#include "brambledoor/settings.h"
#include "drain/drain_rules.h"
#include "drain/rules_reader.h"
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MACHINES_IN_STEP 1
#define DEFAULT_STOP_TIMEOUT_S 60.0
#define DEFAULT_COMPLETION_TIMEOUT_S 300.0
#define DEFAULT_REPLACEMENT_TIMEOUT_S 300.0
#define DEFAULT_RECORD_RETENTION_S 86400.0

static bool is_known_zone(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nzones; i++)
        if (strcmp(settings->zones[i], name) == 0)
            return true;
    return false;
}

/* Reads `(not-together ZONE ZONE)`. */
static void read_zone_conflict(struct bd_rules_reader *reader, const sexp_t *entry)
{
    const sexp_t *one = entry->list->next;
    const sexp_t *other = one ? one->next : NULL;
    if (!other || other->next || one->ty != SEXP_VALUE || other->ty != SEXP_VALUE ||
        !is_known_zone(reader->settings, one->val) ||
        !is_known_zone(reader->settings, other->val)) {
        bd_rules_report_error(reader, "not-together", "needs two zones in the settings");
        return;
    }
    if (reader->rules->nzone_conflicts == BD_ZONES_MAX) {
        bd_rules_report_error(reader, "not-together", "has too many entries");
        return;
    }
    struct bd_zone_conflict *conflict =
        &reader->rules->zone_conflicts[reader->rules->nzone_conflicts++];
    snprintf(conflict->one, sizeof conflict->one, "%s", one->val);
    snprintf(conflict->other, sizeof conflict->other, "%s", other->val);
}

/* Reads `(selection LABEL (type T) (zone Z))`. */
static void read_selection(struct bd_rules_reader *reader, const sexp_t *entry)
{
    const sexp_t *label = entry->list->next;
    if (!label || label->ty != SEXP_VALUE || strlen(label->val) >= BD_NAME_BYTES ||
        reader->rules->nselections == BD_SELECTIONS_MAX) {
        bd_rules_report_error(reader, "selection",
                              "needs the form (selection LABEL (type T) (zone Z)); at most 64");
        return;
    }
    struct bd_machine_selection *selection =
        &reader->rules->selections[reader->rules->nselections++];
    snprintf(selection->label, sizeof selection->label, "%s", label->val);
    for (const sexp_t *field = label->next; field && !reader->has_failed; field = field->next) {
        const char *name = bd_rules_entry_name(reader, field);
        if (reader->has_failed)
            return;
        if (strcmp(name, "type") == 0)
            (void)bd_rules_read_text(reader, field, selection->type);
        else if (strcmp(name, "zone") == 0)
            (void)bd_rules_read_text(reader, field, selection->zone);
        else
            bd_rules_report_error(reader, name, "unknown field");
    }
}

/* Reads `(planner solver)` or `(planner greedy)`. */
static void read_planner(struct bd_rules_reader *reader, const sexp_t *entry)
{
    char value[BD_NAME_BYTES] = "";
    if (!bd_rules_read_text(reader, entry, value))
        return;
    if (strcmp(value, "solver") == 0)
        reader->rules->planner = BD_PLANNER_SOLVER;
    else if (strcmp(value, "greedy") == 0)
        reader->rules->planner = BD_PLANNER_GREEDY;
    else
        bd_rules_report_error(reader, "planner", "must be solver or greedy");
}

static void read_entry(struct bd_rules_reader *reader, const sexp_t *entry)
{
    struct bd_drain_rules *rules = reader->rules;
    const char *name = bd_rules_entry_name(reader, entry);
    if (!name)
        return;
    if (strcmp(name, "admin") == 0)
        (void)bd_rules_read_text(reader, entry, rules->admin_addr);
    else if (strcmp(name, "machines-in-step") == 0)
        rules->machines_in_step = (uint32_t)bd_rules_read_number(reader, entry, 1);
    else if (strcmp(name, "stop-s") == 0)
        rules->stop_timeout_s = bd_rules_read_number(reader, entry, 0);
    else if (strcmp(name, "wait-s") == 0)
        rules->completion_timeout_s = bd_rules_read_number(reader, entry, 0);
    else if (strcmp(name, "replace-s") == 0)
        rules->replacement_timeout_s = bd_rules_read_number(reader, entry, 1);
    else if (strcmp(name, "keep-s") == 0)
        rules->record_retention_s = bd_rules_read_number(reader, entry, 1);
    else if (strcmp(name, "planner") == 0)
        read_planner(reader, entry);
    else if (strcmp(name, "team") == 0)
        bd_rules_read_team(reader, entry);
    else if (strcmp(name, "teams") == 0)
        bd_rules_read_team_fields(reader, entry->list->next, "");
    else if (strcmp(name, "not-together") == 0)
        read_zone_conflict(reader, entry);
    else if (strcmp(name, "selection") == 0)
        read_selection(reader, entry);
    else
        bd_rules_report_error(reader, name, "unknown field");
}

struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_drain_rules_error *error)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules = (struct bd_drain_rules){.machines_in_step = DEFAULT_MACHINES_IN_STEP,
                                     .stop_timeout_s = DEFAULT_STOP_TIMEOUT_S,
                                     .completion_timeout_s = DEFAULT_COMPLETION_TIMEOUT_S,
                                     .replacement_timeout_s = DEFAULT_REPLACEMENT_TIMEOUT_S,
                                     .record_retention_s = DEFAULT_RECORD_RETENTION_S};
    struct bd_rules_reader reader = {settings, rules, error, false};
    for (const sexp_t *entry = fields; entry && !reader.has_failed; entry = entry->next)
        read_entry(&reader, entry);
    if (!reader.has_failed)
        bd_rules_add_default_budget(&reader);
    if (reader.has_failed) {
        free(rules);
        return NULL;
    }
    return rules;
}
