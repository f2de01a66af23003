/* Readers for fields of JSON objects, and serialization of objects. */
#include "base/json_number.h"
#include "base/json_writer.h"
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <string.h>

#define AMOUNT_MAX 1e9

bool bd_wire_read_label(json_t *object, const char *key, char out[BD_LABEL_BYTES])
{
    const char *text = json_string_value(json_object_get(object, key));
    if (!text || !*text || strlen(text) >= BD_LABEL_BYTES)
        return false;
    strcpy(out, text);
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
