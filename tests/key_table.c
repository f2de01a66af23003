#include "key_table.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64

/* Returns the list with capacity for at least one more element. */
static void *grow(void *list, size_t used, size_t *capacity, size_t size)
{
    if (used < *capacity)
        return list;
    *capacity = *capacity ? 2 * *capacity : INITIAL_CAPACITY;
    void *grown = realloc(list, *capacity * size);
    if (!grown)
        abort();
    return grown;
}

struct table_key *table_find(const struct key_table *table, const char *name)
{
    for (size_t i = 0; i < table->nkeys; i++)
        if (table->keys[i].value && strcmp(table->keys[i].name, name) == 0)
            return &table->keys[i];
    return NULL;
}

static void log_change(struct key_table *table, const char *name, json_t *value)
{
    table->log = grow(table->log, table->nlog, &table->log_capacity, sizeof *table->log);
    struct table_change *change = &table->log[table->nlog++];
    snprintf(change->name, sizeof change->name, "%s", name);
    change->value = json_incref(value);
    change->revision = table->revision;
}

static struct table_key *find_free_entry(struct key_table *table)
{
    for (size_t i = 0; i < table->nkeys; i++)
        if (!table->keys[i].value)
            return &table->keys[i];
    table->keys = grow(table->keys, table->nkeys, &table->keys_capacity, sizeof *table->keys);
    return &table->keys[table->nkeys++];
}

static void set_key(struct key_table *table, const char *name, json_t *value, uint64_t grant)
{
    struct table_key *key = table_find(table, name);
    if (key)
        json_decref(key->value);
    else
        key = find_free_entry(table);
    snprintf(key->name, sizeof key->name, "%s", name);
    key->value = json_incref(value);
    key->revision = table->revision;
    key->grant = grant;
    log_change(table, name, value);
}

static void delete_key(struct key_table *table, struct table_key *key)
{
    if (!key)
        return;
    log_change(table, key->name, NULL);
    json_decref(key->value);
    key->value = NULL;
}

void table_end_grant(struct key_table *table, uint64_t grant)
{
    for (size_t i = 0; i < table->nkeys; i++) {
        if (!table->keys[i].value || table->keys[i].grant != grant)
            continue;
        table->revision++;
        delete_key(table, &table->keys[i]);
    }
}

static bool are_grants_live(const struct key_table *table, json_t *request)
{
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(request, "apply"), i, item)
    {
        json_t *grant = json_object_get(item, "charter");
        if (grant && !table->is_grant_live(table->owner, (uint64_t)json_integer_value(grant)))
            return false;
    }
    return true;
}

/* The names of the keys whose conditions are not met. */
static json_t *failed_conditions(const struct key_table *table, json_t *request)
{
    json_t *failed = json_array(), *item;
    size_t i;
    json_array_foreach(json_object_get(request, "if"), i, item)
    {
        const char *name = json_string_value(json_object_get(item, "k"));
        const struct table_key *key = table_find(table, name);
        if ((key ? key->revision : 0) !=
            (uint64_t)json_integer_value(json_object_get(item, "mark")))
            json_array_append_new(failed, json_string(name));
    }
    return failed;
}

static void apply(struct key_table *table, json_t *ops)
{
    json_t *item;
    size_t i;
    json_array_foreach(ops, i, item)
    {
        const char *name = json_string_value(json_object_get(item, "set"));
        json_t *value = json_object_get(item, "value");
        if (name && table->before_set)
            table->before_set(table->owner, name, value);
        if (name)
            set_key(table, name, value,
                    (uint64_t)json_integer_value(json_object_get(item, "charter")));
        else
            delete_key(table, table_find(table, json_string_value(json_object_get(item, "drop"))));
    }
}

int table_commit(struct key_table *table, json_t *request, json_t **out)
{
    json_t *ops = json_object_get(request, "apply");
    if (!are_grants_live(table, request)) {
        *out = json_pack("{s:s}", "error", "no such lease");
        return 400;
    }
    json_t *failed = failed_conditions(table, request);
    if (json_array_size(failed) > 0) {
        *out = json_pack("{s:o,s:I}", "failed", failed, "ring", (json_int_t)table->revision);
        return 409;
    }
    json_decref(failed);
    table->revision += json_array_size(ops) > 0;
    apply(table, ops);
    *out = json_pack("{s:I}", "ring", (json_int_t)table->revision);
    return 200;
}

json_t *table_pair(const struct table_key *key)
{
    return json_pack("{s:s,s:O,s:I,s:I}", "k", key->name, "value", key->value, "mark",
                     (json_int_t)key->revision, "charter", (json_int_t)key->grant);
}

int table_get(const struct key_table *table, const char *name, json_t **out)
{
    const struct table_key *key = table_find(table, name);
    *out = key ? table_pair(key) : json_pack("{s:I}", "ring", (json_int_t)table->revision);
    return key ? 200 : 404;
}

json_t *table_changes(const struct key_table *table, const char *prefix, uint64_t after)
{
    json_t *log = json_array();
    size_t from = table->nlog;
    while (from > 0 && table->log[from - 1].revision > after)
        from--;
    for (size_t i = from; i < table->nlog; i++) {
        const struct table_change *change = &table->log[i];
        if (strncmp(change->name, prefix, strlen(prefix)) != 0)
            continue;
        json_array_append_new(log, change->value ? json_pack("{s:s,s:O,s:I}", "set", change->name,
                                                             "value", change->value, "mark",
                                                             (json_int_t)change->revision)
                                                 : json_pack("{s:s,s:I}", "drop", change->name,
                                                             "mark", (json_int_t)change->revision));
    }
    return json_pack("{s:I,s:o}", "ring", (json_int_t)table->revision, "log", log);
}

void table_free(struct key_table *table)
{
    for (size_t i = 0; i < table->nkeys; i++)
        json_decref(table->keys[i].value);
    for (size_t i = 0; i < table->nlog; i++)
        json_decref(table->log[i].value);
    free(table->keys);
    free(table->log);
}
