#include "wire/wire.h"
#include "wire/wire_internal.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int bd_wire_index_of(const char *const *names, int n, const char *s)
{
    for (int i = 0; s && i < n; i++)
        if (strcmp(names[i], s) == 0)
            return i;
    return -1;
}

/* FNV-1a, with a comma after each text */
uint64_t bd_wire_names_hash(json_t *names)
{
    const uint64_t prime = 1099511628211u;
    uint64_t hash = 1469598103934665603u;
    json_t *v;
    size_t i;
    json_array_foreach(names, i, v)
    {
        for (const char *s = json_string_value(v); s && *s; s++)
            hash = (hash ^ (unsigned char)*s) * prime;
        hash = (hash ^ ',') * prime;
    }
    return hash;
}

bool bd_wire_job_id(const char *id)
{
    if (!id || strncmp(id, "job-", 4) != 0)
        return false;
    size_t n = strspn(id + 4, "0123456789");
    return n >= 1 && n <= 18 && id[4 + n] == '\0';
}

bool bd_wire_task_name(const char *s, char job[BD_ID], uint32_t *task)
{
    const char *slash = s ? strchr(s, '/') : NULL;
    if (!slash || (size_t)(slash - s) >= BD_ID)
        return false;
    memcpy(job, s, (size_t)(slash - s));
    job[slash - s] = '\0';
    size_t n = strspn(slash + 1, "0123456789");
    if (!bd_wire_job_id(job) || n == 0 || n > 6 || slash[1 + n])
        return false;
    *task = (uint32_t)strtoul(slash + 1, NULL, 10);
    return *task < BD_MAX_TASKS;
}

bool bd_wire_label(json_t *o, const char *key, char *out)
{
    const char *s = json_string_value(json_object_get(o, key));
    if (!s || !*s || strlen(s) >= BD_LABEL)
        return false;
    strcpy(out, s);
    return true;
}

bool bd_wire_amount(json_t *o, const char *key, double *out)
{
    json_t *v = json_object_get(o, key);
    double d = json_number_value(v);
    if (!json_is_number(v) || !isfinite(d) || d < 0 || d > 1e9)
        return false;
    *out = d;
    return true;
}

bool bd_wire_flag(json_t *o, const char *key, bool *out)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_boolean(v))
        return false;
    *out = json_is_true(v);
    return true;
}

bool bd_wire_whole(json_t *o, const char *key, uint64_t *out)
{
    json_t *v = json_object_get(o, key);
    if (!json_is_integer(v) || json_integer_value(v) < 0)
        return false;
    *out = (uint64_t)json_integer_value(v);
    return true;
}

bool bd_wire_is_null(json_t *v)
{
    return !v || json_is_null(v);
}

char *bd_wire_redirect(const char *node)
{
    char buf[128];
    if (!node || !*node)
        return strdup("{}");
    snprintf(buf, sizeof buf, "{\"steward\":\"%s\"}", node);
    return strdup(buf);
}

bool bd_txn_begin(struct bd_txn *txn)
{
    txn->compares = json_array();
    txn->ops = json_array();
    return txn->compares && txn->ops;
}

void bd_txn_compare(struct bd_txn *txn, const char *key, uint64_t revision)
{
    json_array_append_new(txn->compares,
                          json_pack("{s:s,s:I}", "k", key, "mark", (json_int_t)revision));
}

void bd_txn_put(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant)
{
    json_t *o = json_pack("{s:s,s:o}", "set", key, "value", value);
    if (o && grant)
        json_object_set_new(o, "charter", json_integer((json_int_t)grant));
    json_array_append_new(txn->ops, o);
}

void bd_txn_delete(struct bd_txn *txn, const char *key)
{
    json_array_append_new(txn->ops, json_pack("{s:s}", "drop", key));
}

char *bd_txn_finish(struct bd_txn *txn)
{
    json_t *o = json_pack("{s:o,s:o}", "if", txn->compares, "apply", txn->ops);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    txn->compares = txn->ops = NULL;
    return s;
}

size_t bd_wire_bytes(const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    size_t bytes = text ? strlen(text) : SIZE_MAX;
    free(text);
    return bytes;
}

void bd_wire_set_revision(json_t *change, uint64_t revision)
{
    json_object_set_new(change, "mark", json_integer((json_int_t)revision));
}

uint64_t bd_wire_store_revision(json_t *o)
{
    uint64_t n = 0;
    return bd_wire_whole(o, "ring", &n) ? n : 0;
}

json_t *bd_wire_failed(json_t *o)
{
    return json_object_get(o, "failed");
}

bool bd_wire_no_grant(json_t *o)
{
    const char *s = json_string_value(json_object_get(o, "error"));
    return s && strcmp(s, "no such lease") == 0;
}

json_t *bd_wire_pairs(json_t *o, bool *more)
{
    *more = json_is_true(json_object_get(o, "more"));
    return json_object_get(o, "pairs");
}

json_t *bd_wire_log(json_t *o)
{
    return json_object_get(o, "log");
}

bool bd_wire_change(json_t *o, struct bd_change *c)
{
    c->value = json_object_get(o, "value");
    c->key = json_string_value(json_object_get(o, "k"));
    if (!c->key)
        c->key = json_string_value(json_object_get(o, "set"));
    if (!c->key) {
        c->key = json_string_value(json_object_get(o, "drop"));
        c->value = NULL;
    }
    return c->key && bd_wire_whole(o, "mark", &c->revision);
}

bool bd_wire_pair(json_t *o, struct bd_change *c, uint64_t *grant)
{
    *grant = 0;
    if (!bd_wire_change(o, c) || !c->value)
        return false;
    (void)bd_wire_whole(o, "charter", grant);
    return true;
}

uint64_t bd_wire_grant(json_t *o)
{
    uint64_t n = 0;
    return bd_wire_whole(o, "charter", &n) ? n : 0;
}

char *bd_wire_ttl(double s)
{
    char buf[48];
    snprintf(buf, sizeof buf, "{\"ttlMs\":%ld}", lround(s * 1000.0));
    return strdup(buf);
}