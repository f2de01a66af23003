/* Validation of an administrator's request for a drain, and resolution of its machines. Part of the
 * pure core. */
#include "brambledoor/settings.h"
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* HTTP statuses */
enum { STATUS_BAD_REQUEST = 400, STATUS_NOT_FOUND = 404 };

/* Fills the refusal. Returns false, so that callers can return the result. */
static bool refuse(struct bd_drain_refusal *refusal, int status, const char *field,
                   const char *reason)
{
    refusal->status = status;
    snprintf(refusal->field, sizeof refusal->field, "%s", field);
    snprintf(refusal->reason, sizeof refusal->reason, "%s", reason);
    return false;
}

/* The name becomes part of keys and URL paths. */
static bool is_valid_name(const char *name)
{
    size_t length =
        name ? strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
             : 0;
    return length > 0 && length <= BD_DRAIN_NAME_MAX && name[length] == '\0';
}

static bool read_mode(json_t *object, enum bd_drain_mode *out, struct bd_drain_refusal *refusal)
{
    static const enum bd_drain_mode modes[] = {BD_DRAIN_RETIRE, BD_DRAIN_REPLACE};
    const char *text = json_string_value(json_object_get(object, "mode"));
    for (size_t i = 0; text && i < sizeof modes / sizeof modes[0]; i++) {
        if (strcmp(text, bd_drain_mode_name(modes[i])) != 0)
            continue;
        *out = modes[i];
        return true;
    }
    return refuse(refusal, STATUS_BAD_REQUEST, "mode", "is retire or replace");
}

static bool read_all(json_t *object, bool *out, struct bd_drain_refusal *refusal)
{
    json_t *value = json_object_get(object, "all");
    if (value && !json_is_boolean(value))
        return refuse(refusal, STATUS_BAD_REQUEST, "all", "is true or false");
    *out = json_is_true(value);
    return true;
}

/* Reads a text that may be missing or null. */
static bool read_optional_text(json_t *object, const char *key, char *out,
                               struct bd_drain_refusal *refusal)
{
    json_t *value = json_object_get(object, key);
    const char *text = json_string_value(value);
    out[0] = '\0';
    if (!value || json_is_null(value))
        return true;
    if (!text || !*text || strlen(text) >= BD_NAME_BYTES)
        return refuse(refusal, STATUS_BAD_REQUEST, key, "needs a short text");
    strcpy(out, text);
    return true;
}

/* Reads the list of machine ids, which may be missing or null. */
static bool read_machine_list(json_t *object, json_t **out, struct bd_drain_refusal *refusal)
{
    json_t *list = json_object_get(object, "machines"), *item;
    size_t i;
    *out = NULL;
    if (!list || json_is_null(list))
        return true;
    if (!json_is_array(list))
        return refuse(refusal, STATUS_BAD_REQUEST, "machines", "needs a list of ids");
    json_array_foreach(list, i, item)
    {
        const char *id = json_string_value(item);
        if (!id || !*id || strlen(id) >= BD_LABEL_BYTES)
            return refuse(refusal, STATUS_BAD_REQUEST, "machines", "needs a list of ids");
    }
    *out = list;
    return true;
}

/* Requires at most one way of selecting machines, and `all` if there is none. */
static bool check_selectors(const struct bd_drain_request *request,
                            struct bd_drain_refusal *refusal)
{
    bool has_filter = *request->type || *request->zone;
    bool has_selection = *request->selection != '\0';
    int selectors = (request->machines != NULL) + has_selection + has_filter;
    if (selectors > 1)
        return refuse(refusal, STATUS_BAD_REQUEST, "machines",
                      "name machines, or a selection, or a type and zone: one of them");
    if (selectors == 0 && !request->all)
        return refuse(refusal, STATUS_BAD_REQUEST, "machines",
                      "name machines, a selection, a type or a zone, or say all");
    return true;
}

static bool is_known_field(const char *name)
{
    static const char *const fields[] = {"name", "mode",      "machines", "type",
                                         "zone", "selection", "all"};
    for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
        if (strcmp(fields[i], name) == 0)
            return true;
    return false;
}

static bool check_field_names(json_t *object, struct bd_drain_refusal *refusal)
{
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (!is_known_field(key))
            return refuse(refusal, STATUS_BAD_REQUEST, key, "unknown field");
    }
    return true;
}

bool bd_drain_request_read(json_t *object, struct bd_drain_request *out,
                           struct bd_drain_refusal *refusal)
{
    memset(out, 0, sizeof *out);
    if (!json_is_object(object))
        return refuse(refusal, STATUS_BAD_REQUEST, "body", "needs a JSON object");
    const char *name = json_string_value(json_object_get(object, "name"));
    if (!is_valid_name(name))
        return refuse(refusal, STATUS_BAD_REQUEST, "name",
                      "needs up to 40 letters, digits, dots, dashes and underscores");
    snprintf(out->name, sizeof out->name, "%s", name);
    return read_mode(object, &out->mode, refusal) && read_all(object, &out->all, refusal) &&
           check_field_names(object, refusal) &&
           read_optional_text(object, "type", out->type, refusal) &&
           read_optional_text(object, "zone", out->zone, refusal) &&
           read_optional_text(object, "selection", out->selection, refusal) &&
           read_machine_list(object, &out->machines, refusal) && check_selectors(out, refusal);
}

/* ---- resolution of the machines ---- */

static const struct bd_machine_selection *find_selection(const struct bd_drain_rules *rules,
                                                         const char *label)
{
    for (uint32_t i = 0; i < rules->nselections; i++)
        if (strcmp(rules->selections[i].label, label) == 0)
            return &rules->selections[i];
    return NULL;
}

static int compare_ids(const void *x, const void *y)
{
    return strcmp(*(const char *const *)x, *(const char *const *)y);
}

/* Returns the machines' ids, sorted. The caller frees the array; the ids are borrowed. */
static const char **sorted_ids(const struct bd_cloud_machine *inventory, size_t ninventory)
{
    const char **ids = calloc(ninventory + 1, sizeof *ids);
    if (!ids)
        abort();
    for (size_t i = 0; i < ninventory; i++)
        ids[i] = inventory[i].id;
    qsort(ids, ninventory, sizeof *ids, compare_ids);
    return ids;
}

/* Resolves the request's list of ids. NULL with the refusal: an id is unknown or a duplicate. */
static json_t *resolve_listed_machines(const struct bd_drain_request *request,
                                       const struct bd_cloud_machine *inventory, size_t ninventory,
                                       struct bd_drain_refusal *refusal)
{
    const char **ids = sorted_ids(inventory, ninventory);
    json_t *item, *found = json_array(), *seen = json_object();
    size_t i;
    json_array_foreach(request->machines, i, item)
    {
        const char *id = json_string_value(item);
        if (!bsearch(&id, ids, ninventory, sizeof *ids, compare_ids))
            (void)refuse(refusal, STATUS_NOT_FOUND, id, "no such machine");
        else if (json_object_get(seen, id))
            (void)refuse(refusal, STATUS_BAD_REQUEST, "machines", "names a machine twice");
        json_object_set_new(seen, id, json_true());
        json_array_append(found, item);
    }
    json_decref(seen);
    free(ids);
    if (refusal->status == 0)
        return found;
    json_decref(found);
    return NULL;
}

/* Finds the machines of a type and zone; an empty type or zone matches all. */
static json_t *find_matching_machines(const char *type, const char *zone,
                                      const struct bd_cloud_machine *inventory, size_t ninventory)
{
    json_t *found = json_array();
    for (size_t i = 0; i < ninventory; i++)
        if ((!*type || strcmp(type, inventory[i].type) == 0) &&
            (!*zone || strcmp(zone, inventory[i].zone) == 0))
            json_array_append_new(found, json_string(inventory[i].id));
    return found;
}

json_t *bd_drain_request_resolve(const struct bd_drain_request *request,
                                 const struct bd_drain_rules *rules,
                                 const struct bd_cloud_machine *inventory, size_t ninventory,
                                 struct bd_drain_refusal *refusal)
{
    const char *type = request->type, *zone = request->zone;
    memset(refusal, 0, sizeof *refusal);
    if (*request->selection) {
        const struct bd_machine_selection *selection = find_selection(rules, request->selection);
        if (!selection) {
            (void)refuse(refusal, STATUS_NOT_FOUND, "selection", "no such selection");
            return NULL;
        }
        type = selection->type;
        zone = selection->zone;
    }
    json_t *found = request->machines
                        ? resolve_listed_machines(request, inventory, ninventory, refusal)
                        : find_matching_machines(type, zone, inventory, ninventory);
    if (found && json_array_size(found) == 0)
        (void)refuse(refusal, STATUS_BAD_REQUEST, "machines", "no machine is meant");
    else if (found && json_array_size(found) == ninventory && !request->all)
        (void)refuse(refusal, STATUS_BAD_REQUEST, "all", "all machines are meant: say so");
    if (refusal->status == 0)
        return found;
    json_decref(found);
    return NULL;
}
