#include "wire/wire_store.h"
#include "base/json_number.h"
#include "base/json_writer.h"
#include "wire/wire_internal.h"
#include "wire/wire_names.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
#define GRANT_BODY_BYTES 48

/* ---- transactions ---- */

bool bd_txn_begin(struct bd_txn *txn)
{
    txn->compares = json_array();
    txn->ops = json_array();
    txn->is_incomplete = false;
    return txn->compares && txn->ops;
}

/* Consumes the element; NULL: it could not be built. */
static void append(struct bd_txn *txn, json_t *list, json_t *element)
{
    if (json_array_append_new(list, element) != 0)
        txn->is_incomplete = true;
}

void bd_txn_compare(struct bd_txn *txn, const char *key, uint64_t revision)
{
    append(txn, txn->compares,
           json_pack("{s:s,s:o}", KEY_STORE_KEY, key, KEY_REVISION, bd_json_unsigned(revision)));
}

void bd_txn_put(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant)
{
    json_t *operation = json_pack("{s:s,s:o}", KEY_PUT_KEY, key, KEY_VALUE, value);
    if (operation && grant &&
        json_object_set_new(operation, KEY_GRANT, bd_json_unsigned(grant)) != 0)
        txn->is_incomplete = true;
    append(txn, txn->ops, operation);
}

void bd_txn_delete(struct bd_txn *txn, const char *key)
{
    append(txn, txn->ops, json_pack("{s:s}", KEY_DELETED_KEY, key));
}

char *bd_txn_finish(struct bd_txn *txn)
{
    json_t *body = json_pack("{s:o,s:o}", KEY_COMPARES, txn->compares, KEY_OPERATIONS, txn->ops);
    txn->compares = NULL;
    txn->ops = NULL;
    if (txn->is_incomplete) {
        json_decref(body);
        return NULL;
    }
    return bd_wire_serialize(body);
}

json_t *bd_wire_read_failed_compares(json_t *body)
{
    return json_object_get(body, KEY_FAILED_COMPARES);
}

/* ---- values and changes ---- */

bool bd_wire_read_change(json_t *entry, struct bd_kv_change *out)
{
    out->value = json_object_get(entry, KEY_VALUE);
    out->key = json_string_value(json_object_get(entry, KEY_STORE_KEY));
    if (!out->key)
        out->key = json_string_value(json_object_get(entry, KEY_PUT_KEY));
    if (!out->key) {
        out->key = json_string_value(json_object_get(entry, KEY_DELETED_KEY));
        out->value = NULL;
    }
    return out->key && bd_wire_read_unsigned(entry, KEY_REVISION, &out->revision);
}

void bd_wire_set_revision(json_t *operation, uint64_t revision)
{
    json_object_set_new(operation, KEY_REVISION, bd_json_unsigned(revision));
}

bool bd_wire_read_pair(json_t *body, struct bd_kv_change *out, uint64_t *grant)
{
    *grant = 0;
    if (!bd_wire_read_change(body, out) || !out->value)
        return false;
    (void)bd_wire_read_unsigned(body, KEY_GRANT, grant);
    return true;
}

json_t *bd_wire_read_pairs(json_t *body, bool *has_more)
{
    *has_more = json_is_true(json_object_get(body, KEY_MORE));
    return json_object_get(body, KEY_PAIRS);
}

json_t *bd_wire_read_change_log(json_t *body)
{
    return json_object_get(body, KEY_CHANGE_LOG);
}

uint64_t bd_wire_read_store_revision(json_t *body)
{
    uint64_t revision = 0;
    return bd_wire_read_unsigned(body, KEY_STORE_REVISION, &revision) ? revision : 0;
}

size_t bd_wire_value_bytes(json_t *value)
{
    return bd_json_written_bytes(value);
}

/* Each string is followed by a comma. */
uint64_t bd_wire_hash_names(json_t *names)
{
    uint64_t hash = BD_WIRE_HASH_BASIS;
    json_t *name;
    size_t i;
    json_array_foreach(names, i, name)
    {
        hash = bd_wire_hash_text(hash, json_string_value(name));
        hash = bd_wire_hash_text(hash, ",");
    }
    return hash;
}

/* ---- grants ---- */

uint64_t bd_wire_read_grant(json_t *body)
{
    uint64_t grant = 0;
    return bd_wire_read_unsigned(body, KEY_GRANT, &grant) ? grant : 0;
}

char *bd_wire_write_grant_request(double ttl_s)
{
    char body[GRANT_BODY_BYTES];
    snprintf(body, sizeof body, "{\"" KEY_GRANT_TTL_MS "\":%ld}", lround(ttl_s * MS_PER_S));
    return strdup(body);
}

bool bd_wire_is_grant_missing(json_t *body)
{
    const char *error = json_string_value(json_object_get(body, KEY_ERROR));
    return error && strcmp(error, ERROR_NO_GRANT) == 0;
}
