#include "key_table.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_ROOM 64

/* Room for one more element. */
static void *grown(void *list, size_t used, size_t *cap, size_t size)
{
    if (used < *cap)
        return list;
    *cap = *cap ? 2 * *cap : FIRST_ROOM;
    void *more = realloc(list, *cap * size);
    if (!more)
        abort();
    return more;
}

struct table_key *table_find(const struct key_table *t, const char *name)
{
    for (size_t i = 0; i < t->nkeys; i++)
        if (t->keys[i].value && strcmp(t->keys[i].name, name) == 0)
            return &t->keys[i];
    return NULL;
}

static void note(struct key_table *t, const char *name, json_t *value)
{
    t->log = grown(t->log, t->nlog, &t->cap_log, sizeof *t->log);
    struct table_change *c = &t->log[t->nlog++];
    snprintf(c->name, sizeof c->name, "%s", name);
    c->value = json_incref(value);
    c->revision = t->revision;
}

static struct table_key *free_key(struct key_table *t)
{
    for (size_t i = 0; i < t->nkeys; i++)
        if (!t->keys[i].value)
            return &t->keys[i];
    t->keys = grown(t->keys, t->nkeys, &t->cap_keys, sizeof *t->keys);
    return &t->keys[t->nkeys++];
}

static void set_key(struct key_table *t, const char *name, json_t *value, uint64_t grant)
{
    struct table_key *k = table_find(t, name);
    if (k)
        json_decref(k->value);
    else
        k = free_key(t);
    snprintf(k->name, sizeof k->name, "%s", name);
    k->value = json_incref(value);
    k->revision = t->revision;
    k->grant = grant;
    note(t, name, value);
}

static void drop_key(struct key_table *t, struct table_key *k)
{
    if (!k)
        return;
    note(t, k->name, NULL);
    json_decref(k->value);
    k->value = NULL;
}

void table_end_grant(struct key_table *t, uint64_t grant)
{
    for (size_t i = 0; i < t->nkeys; i++) {
        if (!t->keys[i].value || t->keys[i].grant != grant)
            continue;
        t->revision++;
        drop_key(t, &t->keys[i]);
    }
}

static bool grants_live(const struct key_table *t, json_t *in)
{
    json_t *v;
    size_t i;
    json_array_foreach(json_object_get(in, "apply"), i, v)
    {
        json_t *g = json_object_get(v, "charter");
        if (g && !t->grant_lives(t->owner, (uint64_t)json_integer_value(g)))
            return false;
    }
    return true;
}

/* The names of the keys whose conditions do not hold. */
static json_t *failed_conditions(const struct key_table *t, json_t *in)
{
    json_t *failed = json_array(), *v;
    size_t i;
    json_array_foreach(json_object_get(in, "if"), i, v)
    {
        const char *name = json_string_value(json_object_get(v, "k"));
        const struct table_key *k = table_find(t, name);
        if ((k ? k->revision : 0) != (uint64_t)json_integer_value(json_object_get(v, "mark")))
            json_array_append_new(failed, json_string(name));
    }
    return failed;
}

static void apply(struct key_table *t, json_t *ops)
{
    json_t *v;
    size_t i;
    json_array_foreach(ops, i, v)
    {
        const char *name = json_string_value(json_object_get(v, "set"));
        json_t *value = json_object_get(v, "value");
        if (name && t->before_set)
            t->before_set(t->owner, name, value);
        if (name)
            set_key(t, name, value, (uint64_t)json_integer_value(json_object_get(v, "charter")));
        else
            drop_key(t, table_find(t, json_string_value(json_object_get(v, "drop"))));
    }
}

int table_commit(struct key_table *t, json_t *in, json_t **out)
{
    json_t *ops = json_object_get(in, "apply");
    if (!grants_live(t, in)) {
        *out = json_pack("{s:s}", "error", "no such lease");
        return 400;
    }
    json_t *failed = failed_conditions(t, in);
    if (json_array_size(failed) > 0) {
        *out = json_pack("{s:o,s:I}", "failed", failed, "ring", (json_int_t)t->revision);
        return 409;
    }
    json_decref(failed);
    t->revision += json_array_size(ops) > 0;
    apply(t, ops);
    *out = json_pack("{s:I}", "ring", (json_int_t)t->revision);
    return 200;
}

json_t *table_pair(const struct table_key *k)
{
    return json_pack("{s:s,s:O,s:I,s:I}", "k", k->name, "value", k->value, "mark",
                     (json_int_t)k->revision, "charter", (json_int_t)k->grant);
}

int table_get(const struct key_table *t, const char *name, json_t **out)
{
    const struct table_key *k = table_find(t, name);
    *out = k ? table_pair(k) : json_pack("{s:I}", "ring", (json_int_t)t->revision);
    return k ? 200 : 404;
}

json_t *table_changes(const struct key_table *t, const char *prefix, uint64_t after)
{
    json_t *log = json_array();
    size_t from = t->nlog;
    while (from > 0 && t->log[from - 1].revision > after)
        from--;
    for (size_t i = from; i < t->nlog; i++) {
        const struct table_change *c = &t->log[i];
        if (strncmp(c->name, prefix, strlen(prefix)) != 0)
            continue;
        json_array_append_new(log, c->value ? json_pack("{s:s,s:O,s:I}", "set", c->name, "value",
                                                        c->value, "mark", (json_int_t)c->revision)
                                            : json_pack("{s:s,s:I}", "drop", c->name, "mark",
                                                        (json_int_t)c->revision));
    }
    return json_pack("{s:I,s:o}", "ring", (json_int_t)t->revision, "log", log);
}

void table_free(struct key_table *t)
{
    for (size_t i = 0; i < t->nkeys; i++)
        json_decref(t->keys[i].value);
    for (size_t i = 0; i < t->nlog; i++)
        json_decref(t->log[i].value);
    free(t->keys);
    free(t->log);
}
