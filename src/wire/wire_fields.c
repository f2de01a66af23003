/* Readers for fields of JSON objects, and serialization of objects. */
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define AMOUNT_MAX 1e9
#define SERIALIZED_BYTES_MIN 64u /* first size of the buffer, which doubles */

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
    *out = amount;
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
    json_t *value = json_object_get(object, key);
    if (!json_is_integer(value) || json_integer_value(value) < 0)
        return false;
    *out = (uint64_t)json_integer_value(value);
    return true;
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

/* Serialized text that grows. */
struct serialized_text {
    char *text; /* null-terminated; NULL: empty */
    size_t len, capacity;
};

static bool reserve(struct serialized_text *out, size_t len)
{
    size_t capacity = out->capacity ? out->capacity : SERIALIZED_BYTES_MIN;
    if (len < out->capacity)
        return true;
    while (capacity <= len)
        capacity *= 2;
    char *grown = realloc(out->text, capacity);
    if (!grown)
        return false;
    out->text = grown;
    out->capacity = capacity;
    return true;
}

/* Appends a piece of the text. Returns 0, or -1 to end the serialization: out of memory. */
static int append_piece(const char *piece, size_t len, void *arg)
{
    struct serialized_text *out = arg;
    if (!reserve(out, out->len + len))
        return -1;
    memcpy(out->text + out->len, piece, len);
    out->len += len;
    out->text[out->len] = '\0';
    return 0;
}

/* json_dumps would leave out a piece for which memory runs out. */
char *bd_wire_serialize(json_t *object)
{
    struct serialized_text out = {0};
    if (json_dump_callback(object, append_piece, &out, JSON_COMPACT) != 0) {
        free(out.text);
        out.text = NULL;
    }
    json_decref(object);
    return out.text;
}
