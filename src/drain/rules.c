/* The operators' declarations for draining, from the S-expressions of their file. */
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include <math.h>
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The defaults are cautious: one machine at a time, and one task in a hundred of each team, but at
 * least one. */
#define MACHINES_IN_STEP 1
#define STOP_S 60.0
#define WAIT_S 300.0
#define REPLACE_S 300.0
#define KEEP_S 86400.0
#define BUDGET_PER_CENT 1.0
#define NUMBER_MAX 1e6

struct reading {
    const struct bd_settings *settings;
    struct bd_drain_rules *rules;
    struct bd_rules_fault *fault;
    bool bad;
};

static void wrong(struct reading *r, const char *field, const char *what)
{
    if (r->bad)
        return;
    r->bad = true;
    snprintf(r->fault->field, sizeof r->fault->field, "%s", field);
    snprintf(r->fault->what, sizeof r->fault->what, "%s", what);
}

/* The name of an entry `(name ...)`, or NULL: it is none. */
static const char *name_of(struct reading *r, const sexp_t *e)
{
    if (e->ty == SEXP_LIST && e->list && e->list->ty == SEXP_VALUE)
        return e->list->val;
    wrong(r, "draining", "needs entries of the form (name value)");
    return NULL;
}

/* The one text after the name. */
static bool text(struct reading *r, const sexp_t *e, char *out)
{
    const sexp_t *v = e->list->next;
    const char *name = e->list->val;
    if (!v || v->ty != SEXP_VALUE || v->next)
        wrong(r, name, "needs the form (name value)");
    else if (!*v->val || strlen(v->val) >= BD_NAME)
        wrong(r, name, "needs a short text");
    else
        strcpy(out, v->val);
    return !r->bad;
}

static double number(struct reading *r, const sexp_t *e, double least)
{
    char value[BD_NAME], *end = NULL;
    if (!text(r, e, value))
        return 0;
    double d = strtod(value, &end);
    if (end == value || *end || !isfinite(d) || d < least || d > NUMBER_MAX)
        wrong(r, e->list->val, "is not a number in the range that is allowed");
    return d;
}

static bool known_team(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nteams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return true;
    return false;
}

static bool known_zone(const struct bd_settings *settings, const char *name)
{
    for (int i = 0; i < settings->nzones; i++)
        if (strcmp(settings->zones[i], name) == 0)
            return true;
    return false;
}

/* (down 3) or (down 5%) */
static void amount(struct reading *r, const sexp_t *e, struct bd_budget_rule *rule)
{
    char value[BD_NAME], *end = NULL;
    if (!text(r, e, value))
        return;
    double d = strtod(value, &end);
    rule->per_cent = end != value && strcmp(end, "%") == 0;
    rule->amount = d;
    bool whole = d == floor(d) && !*end;
    if (end == value || (!whole && !rule->per_cent) || !isfinite(d) || d < 0 ||
        d > (rule->per_cent ? 100 : NUMBER_MAX))
        wrong(r, "down", "needs a number of tasks, or a per cent figure such as 5%");
}

static struct bd_budget_rule *new_budget(struct reading *r, const char *team, const char *job_class)
{
    struct bd_drain_rules *rules = r->rules;
    for (uint32_t i = 0; i < rules->nbudgets; i++)
        if (strcmp(rules->budgets[i].team, team) == 0 &&
            strcmp(rules->budgets[i].job_class, job_class) == 0)
            wrong(r, *job_class ? job_class : *team ? team : "teams", "is declared twice");
    if (rules->nbudgets == BD_BUDGET_RULES)
        wrong(r, "team", "has too many entries");
    if (r->bad)
        return NULL;
    struct bd_budget_rule *rule = &rules->budgets[rules->nbudgets++];
    memset(rule, 0, sizeof *rule);
    snprintf(rule->team, sizeof rule->team, "%s", team);
    snprintf(rule->job_class, sizeof rule->job_class, "%s", job_class);
    return rule;
}

/* (class NAME (down N)) of a team */
static void class_budget(struct reading *r, const sexp_t *e, const char *team)
{
    const sexp_t *name = e->list->next;
    const sexp_t *down = name ? name->next : NULL;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME || !down || down->next ||
        !name_of(r, down) || strcmp(down->list->val, "down") != 0) {
        wrong(r, "class", "needs the form (class NAME (down N))");
        return;
    }
    struct bd_budget_rule *rule = new_budget(r, team, name->val);
    if (rule)
        amount(r, down, rule);
}

/* (down N) and (class ...) of one team, or of all that have no entry of their own */
static void team_fields(struct reading *r, const sexp_t *e, const char *team)
{
    for (; e && !r->bad; e = e->next) {
        const char *name = name_of(r, e);
        if (r->bad)
            return;
        struct bd_budget_rule *rule = NULL;
        if (strcmp(name, "down") == 0) {
            rule = new_budget(r, team, "");
            if (rule)
                amount(r, e, rule);
        } else if (strcmp(name, "class") == 0 && *team) {
            class_budget(r, e, team);
        } else {
            wrong(r, name, "unknown field");
        }
    }
}

static void team(struct reading *r, const sexp_t *e)
{
    const sexp_t *name = e->list->next;
    if (!name || name->ty != SEXP_VALUE || strlen(name->val) >= BD_NAME)
        wrong(r, "team", "needs the form (team NAME (down N) ...)");
    else if (!known_team(r->settings, name->val))
        wrong(r, name->val, "is not a team of the settings");
    else
        team_fields(r, name->next, name->val);
}

static void apart(struct reading *r, const sexp_t *e)
{
    const sexp_t *one = e->list->next;
    const sexp_t *other = one ? one->next : NULL;
    if (!other || other->next || one->ty != SEXP_VALUE || other->ty != SEXP_VALUE ||
        !known_zone(r->settings, one->val) || !known_zone(r->settings, other->val)) {
        wrong(r, "not-together", "needs two zones of the settings");
        return;
    }
    if (r->rules->napart == BD_MAX_ZONES) {
        wrong(r, "not-together", "has too many entries");
        return;
    }
    struct bd_zones_apart *pair = &r->rules->apart[r->rules->napart++];
    snprintf(pair->one, sizeof pair->one, "%s", one->val);
    snprintf(pair->other, sizeof pair->other, "%s", other->val);
}

/* (selection LABEL (type T) (zone Z)) */
static void selection(struct reading *r, const sexp_t *e)
{
    const sexp_t *label = e->list->next;
    if (!label || label->ty != SEXP_VALUE || strlen(label->val) >= BD_NAME ||
        r->rules->nselections == BD_SELECTIONS) {
        wrong(r, "selection", "needs the form (selection LABEL (type T) (zone Z)), 64 at most");
        return;
    }
    struct bd_selection *s = &r->rules->selections[r->rules->nselections++];
    snprintf(s->label, sizeof s->label, "%s", label->val);
    for (const sexp_t *f = label->next; f && !r->bad; f = f->next) {
        const char *name = name_of(r, f);
        if (r->bad)
            return;
        if (strcmp(name, "type") == 0)
            (void)text(r, f, s->type);
        else if (strcmp(name, "zone") == 0)
            (void)text(r, f, s->zone);
        else
            wrong(r, name, "unknown field");
    }
}

static void planner(struct reading *r, const sexp_t *e)
{
    char value[BD_NAME] = "";
    if (!text(r, e, value))
        return;
    if (strcmp(value, "solver") == 0)
        r->rules->planner = BD_PLANNER_SOLVER;
    else if (strcmp(value, "greedy") == 0)
        r->rules->planner = BD_PLANNER_GREEDY;
    else
        wrong(r, "planner", "is solver or greedy");
}

static void field(struct reading *r, const sexp_t *e)
{
    struct bd_drain_rules *rules = r->rules;
    const char *name = name_of(r, e);
    if (!name)
        return;
    if (strcmp(name, "admin") == 0)
        (void)text(r, e, rules->admin_addr);
    else if (strcmp(name, "machines-in-step") == 0)
        rules->machines_in_step = (uint32_t)number(r, e, 1);
    else if (strcmp(name, "stop-s") == 0)
        rules->stop_s = number(r, e, 0);
    else if (strcmp(name, "wait-s") == 0)
        rules->wait_s = number(r, e, 0);
    else if (strcmp(name, "replace-s") == 0)
        rules->replace_s = number(r, e, 1);
    else if (strcmp(name, "keep-s") == 0)
        rules->keep_s = number(r, e, 1);
    else if (strcmp(name, "planner") == 0)
        planner(r, e);
    else if (strcmp(name, "team") == 0)
        team(r, e);
    else if (strcmp(name, "teams") == 0)
        team_fields(r, e->list->next, "");
    else if (strcmp(name, "not-together") == 0)
        apart(r, e);
    else if (strcmp(name, "selection") == 0)
        selection(r, e);
    else
        wrong(r, name, "unknown field");
}

/* What holds for teams without an entry of their own. */
static void default_budget(struct reading *r)
{
    for (uint32_t i = 0; i < r->rules->nbudgets; i++)
        if (!*r->rules->budgets[i].team)
            return;
    struct bd_budget_rule *rule = new_budget(r, "", "");
    if (!rule)
        return;
    rule->per_cent = true;
    rule->amount = BUDGET_PER_CENT;
}

struct bd_drain_rules *bd_drain_rules_read(const struct bd_settings *settings, struct elt *fields,
                                           struct bd_rules_fault *fault)
{
    struct bd_drain_rules *rules = calloc(1, sizeof *rules);
    if (!rules)
        abort();
    *rules = (struct bd_drain_rules){.machines_in_step = MACHINES_IN_STEP,
                                     .stop_s = STOP_S,
                                     .wait_s = WAIT_S,
                                     .replace_s = REPLACE_S,
                                     .keep_s = KEEP_S};
    struct reading r = {settings, rules, fault, false};
    for (const sexp_t *e = fields; e && !r.bad; e = e->next)
        field(&r, e);
    if (!r.bad)
        default_budget(&r);
    if (r.bad) {
        free(rules);
        return NULL;
    }
    return rules;
}
