/* The key-value store of the graph test. */
#include "graphs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct graph_key *graph_find_key(struct graph_run *run, const char *name)
{
    for (int i = 0; i < run->nkeys; i++)
        if (strcmp(run->keys[i].name, name) == 0)
            return &run->keys[i];
    return NULL;
}

void graph_set_key(struct graph_run *run, const char *name, json_t *value)
{
    struct graph_key *key = graph_find_key(run, name);
    if (!key) {
        if (run->nkeys == (int)(sizeof run->keys / sizeof *run->keys))
            abort();
        key = &run->keys[run->nkeys++];
        snprintf(key->name, sizeof key->name, "%s", name);
        key->value = NULL;
    }
    json_incref(value);
    json_decref(key->value);
    key->value = value;
    key->revision = run->store_revision;
}

static void drop_key(struct graph_run *run, const char *name)
{
    struct graph_key *key = graph_find_key(run, name);
    if (!key)
        return;
    json_decref(key->value);
    *key = run->keys[--run->nkeys];
}

long graph_apply(struct graph_run *run, const char *body, json_t **failed)
{
    json_t *txn = json_loads(body, 0, NULL), *item;
    size_t i;
    *failed = json_array();
    json_array_foreach(json_object_get(txn, "if"), i, item)
    {
        const char *name = json_string_value(json_object_get(item, "k"));
        struct graph_key *key = graph_find_key(run, name);
        if ((key ? key->revision : 0) !=
            (uint64_t)json_integer_value(json_object_get(item, "mark")))
            json_array_append_new(*failed, json_string(name));
    }
    bool ok = json_array_size(*failed) == 0;
    run->store_revision += ok;
    json_array_foreach(ok ? json_object_get(txn, "apply") : NULL, i, item)
    {
        const char *name = json_string_value(json_object_get(item, "set"));
        if (name)
            graph_set_key(run, name, json_object_get(item, "value"));
        else
            drop_key(run, json_string_value(json_object_get(item, "drop")));
    }
    json_decref(txn);
    return ok ? 200 : 409;
}
