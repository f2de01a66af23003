/* Readers for fields of JSON objects, and serialization of objects. */
#include "base/json_number.h"
#include "base/json_writer.h"
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

#define AMOUNT_MAX 1e9
#define NAME_START_BYTES 44 /* of a long name; the hash follows */
#define HASH_PRIME 1099511628211u

bool bd_wire_read_label(json_t *object, const char *key, char out[BD_LABEL_BYTES])
{
    const char *text = json_string_value(json_object_get(object, key));
    if (!text || !*text || strlen(text) >= BD_LABEL_BYTES)
        return false;
    strcpy(out, text);
    return true;
}

uint64_t bd_wire_hash_text(uint64_t hash, const char *text)
{
    for (const char *c = text; c && *c; c++)
        hash = (hash ^ (unsigned char)*c) * HASH_PRIME;
    return hash;
}

/* The largest length, at most `len`, at which the text ends with a whole character. */
static size_t whole_characters(const char *text, size_t len)
{
    while (len > 0 && ((unsigned char)text[len] & 0xc0u) == 0x80u)
        len--;
    return len;
}

void bd_wire_shorten_name(const char *name, char out[BD_LABEL_BYTES])
{
    if (strlen(name) < BD_LABEL_BYTES)
        strcpy(out, name);
    else
        snprintf(out, BD_LABEL_BYTES, "%.*s~%016llx", (int)whole_characters(name, NAME_START_BYTES),
                 name, (unsigned long long)bd_wire_hash_text(BD_WIRE_HASH_BASIS, name));
}

bool bd_wire_read_name(json_t *object, const char *key, char out[BD_LABEL_BYTES])
{
    const char *name = json_string_value(json_object_get(object, key));
    if (!name || !*name)
        return false;
    bd_wire_shorten_name(name, out);
    return true;
}

bool bd_wire_read_amount(json_t *object, const char *key, double *out)
{
    json_t *value = json_object_get(object, key);
    double amount = json_number_value(value);
    if (!json_is_number(value) || !isfinite(amount) || amount < 0 || amount > AMOUNT_MAX)
        return false;
    *out = amount + 0.0; /* no negative zero */
    return true;
}

bool bd_wire_read_bool(json_t *object, const char *key, bool *out)
{
    json_t *value = json_object_get(object, key);
    if (!json_is_boolean(value))
        return false;
    *out = json_is_true(value);
    return true;
}

bool bd_wire_read_unsigned(json_t *object, const char *key, uint64_t *out)
{
    return bd_json_read_unsigned(json_object_get(object, key), out);
}

int bd_wire_read_enum(json_t *object, const char *key, const char *const *names, int count)
{
    const char *text = json_string_value(json_object_get(object, key));
    for (int i = 0; text && i < count; i++)
        if (strcmp(names[i], text) == 0)
            return i;
    return -1;
}

bool bd_wire_is_missing_or_null(json_t *value)
{
    return !value || json_is_null(value);
}

char *bd_wire_serialize(json_t *object)
{
    char *text = bd_json_write(object);
    json_decref(object);
    return text;
}
