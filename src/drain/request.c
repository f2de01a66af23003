/* What an administrator asks for, judged: the request's fields, and which machines it means. Part
 * of the pure core. */
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { STATUS_MALFORMED = 400, STATUS_UNKNOWN = 404 };

static bool refuse(struct bd_drain_refusal *no, int status, const char *field, const char *why)
{
    no->status = status;
    snprintf(no->field, sizeof no->field, "%s", field);
    snprintf(no->why, sizeof no->why, "%s", why);
    return false;
}

/* A name goes into keys and paths. */
static bool is_name(const char *s)
{
    size_t n =
        s ? strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") : 0;
    return n > 0 && n <= BD_DRAIN_NAME_MAX && s[n] == '\0';
}

/* A field that may be missing or null. */
static bool optional_text(json_t *o, const char *key, char *out, struct bd_drain_refusal *no)
{
    json_t *v = json_object_get(o, key);
    const char *s = json_string_value(v);
    out[0] = '\0';
    if (!v || json_is_null(v))
        return true;
    if (!s || !*s || strlen(s) >= BD_NAME)
        return refuse(no, STATUS_MALFORMED, key, "needs a short text");
    strcpy(out, s);
    return true;
}

static bool machine_list(json_t *o, json_t **out, struct bd_drain_refusal *no)
{
    json_t *list = json_object_get(o, "machines"), *v;
    size_t i;
    *out = NULL;
    if (!list || json_is_null(list))
        return true;
    if (!json_is_array(list))
        return refuse(no, STATUS_MALFORMED, "machines", "needs a list of ids");
    json_array_foreach(list, i, v)
    {
        const char *s = json_string_value(v);
        if (!s || !*s || strlen(s) >= BD_LABEL)
            return refuse(no, STATUS_MALFORMED, "machines", "needs a list of ids");
    }
    *out = list;
    return true;
}

/* What decides which machines are meant: exactly one way of saying it. */
static bool one_way(const struct bd_drain_request *r, struct bd_drain_refusal *no)
{
    bool filter = *r->type || *r->zone;
    int ways = (r->machines != NULL) + (*r->selection != '\0') + filter;
    if (ways > 1)
        return refuse(no, STATUS_MALFORMED, "machines",
                      "name machines, or a selection, or a type and zone: one of them");
    if (ways == 0 && !r->all)
        return refuse(no, STATUS_MALFORMED, "machines",
                      "name machines, a selection, a type or a zone, or say all");
    return true;
}

static bool known_fields(json_t *o, struct bd_drain_refusal *no)
{
    static const char *const fields[] = {"name", "mode",      "machines", "type",
                                         "zone", "selection", "all"};
    const char *key;
    json_t *v;
    json_object_foreach(o, key, v)
    {
        bool known = false;
        for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
            known = known || strcmp(fields[i], key) == 0;
        if (!known)
            return refuse(no, STATUS_MALFORMED, key, "unknown field");
    }
    return true;
}

bool bd_drain_request_read(json_t *o, struct bd_drain_request *out, struct bd_drain_refusal *no)
{
    memset(out, 0, sizeof *out);
    if (!json_is_object(o))
        return refuse(no, STATUS_MALFORMED, "body", "needs a JSON object");
    const char *name = json_string_value(json_object_get(o, "name"));
    const char *mode = json_string_value(json_object_get(o, "mode"));
    json_t *all = json_object_get(o, "all");
    if (!is_name(name))
        return refuse(no, STATUS_MALFORMED, "name",
                      "needs up to 40 letters, digits, dots, dashes and underscores");
    strcpy(out->name, name);
    if (!mode || (strcmp(mode, "retire") != 0 && strcmp(mode, "replace") != 0))
        return refuse(no, STATUS_MALFORMED, "mode", "is retire or replace");
    out->mode = strcmp(mode, "retire") == 0 ? BD_DRAIN_RETIRE : BD_DRAIN_REPLACE;
    if (all && !json_is_boolean(all))
        return refuse(no, STATUS_MALFORMED, "all", "is true or false");
    out->all = json_is_true(all);
    return known_fields(o, no) && optional_text(o, "type", out->type, no) &&
           optional_text(o, "zone", out->zone, no) &&
           optional_text(o, "selection", out->selection, no) &&
           machine_list(o, &out->machines, no) && one_way(out, no);
}

/* ---- which machines ---- */

static const struct bd_selection *selection_of(const struct bd_drain_rules *rules,
                                               const char *label)
{
    for (uint32_t i = 0; i < rules->nselections; i++)
        if (strcmp(rules->selections[i].label, label) == 0)
            return &rules->selections[i];
    return NULL;
}

static int by_id(const void *x, const void *y)
{
    return strcmp(*(const char *const *)x, *(const char *const *)y);
}

/* The ids of the list, sorted; the caller frees it. */
static const char **sorted_ids(const struct bd_cloud_machine *listed, size_t n)
{
    const char **ids = calloc(n + 1, sizeof *ids);
    if (!ids)
        abort();
    for (size_t i = 0; i < n; i++)
        ids[i] = listed[i].id;
    qsort(ids, n, sizeof *ids, by_id);
    return ids;
}

static json_t *named(const struct bd_drain_request *request, const struct bd_cloud_machine *listed,
                     size_t n, struct bd_drain_refusal *no)
{
    const char **ids = sorted_ids(listed, n);
    json_t *v, *found = json_array(), *seen = json_object();
    size_t i;
    json_array_foreach(request->machines, i, v)
    {
        const char *id = json_string_value(v);
        if (!bsearch(&id, ids, n, sizeof *ids, by_id))
            (void)refuse(no, STATUS_UNKNOWN, id, "no such machine");
        else if (json_object_get(seen, id))
            (void)refuse(no, STATUS_MALFORMED, "machines", "names a machine twice");
        json_object_set_new(seen, id, json_true());
        json_array_append(found, v);
    }
    json_decref(seen);
    free(ids);
    if (no->status == 0)
        return found;
    json_decref(found);
    return NULL;
}

static json_t *matching(const char *type, const char *zone, const struct bd_cloud_machine *listed,
                        size_t n)
{
    json_t *found = json_array();
    for (size_t i = 0; i < n; i++)
        if ((!*type || strcmp(type, listed[i].type) == 0) &&
            (!*zone || strcmp(zone, listed[i].zone) == 0))
            json_array_append_new(found, json_string(listed[i].id));
    return found;
}

json_t *bd_drain_request_machines(const struct bd_drain_request *request,
                                  const struct bd_drain_rules *rules,
                                  const struct bd_cloud_machine *listed, size_t n,
                                  struct bd_drain_refusal *no)
{
    const char *type = request->type, *zone = request->zone;
    memset(no, 0, sizeof *no);
    if (*request->selection) {
        const struct bd_selection *s = selection_of(rules, request->selection);
        if (!s) {
            (void)refuse(no, STATUS_UNKNOWN, "selection", "no such selection");
            return NULL;
        }
        type = s->type;
        zone = s->zone;
    }
    json_t *found =
        request->machines ? named(request, listed, n, no) : matching(type, zone, listed, n);
    if (found && json_array_size(found) == 0)
        (void)refuse(no, STATUS_MALFORMED, "machines", "no machine is meant");
    else if (found && json_array_size(found) == n && !request->all)
        (void)refuse(no, STATUS_MALFORMED, "all", "all machines are meant: say so");
    if (no->status == 0)
        return found;
    json_decref(found);
    return NULL;
}
