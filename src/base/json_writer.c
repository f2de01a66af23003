#include "base/json_writer.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_gen.h>

#define TEXT_BYTES_MIN 64u /* first size of the buffer, which doubles */
#define NUMBER_BYTES 48    /* of any number's text */

/* Receives the pieces of the text. */
struct sink {
    char *text; /* owned, null-terminated; NULL: empty, or the pieces are only counted */
    size_t len, capacity;
    bool only_counts;
    bool has_failed; /* out of memory */
};

static bool reserve(struct sink *sink, size_t len)
{
    size_t capacity = sink->capacity ? sink->capacity : TEXT_BYTES_MIN;
    if (len < sink->capacity)
        return true;
    while (capacity <= len)
        capacity *= 2;
    char *grown = realloc(sink->text, capacity);
    if (!grown)
        return false;
    sink->text = grown;
    sink->capacity = capacity;
    return true;
}

static void append_piece(void *context, const char *piece, size_t len)
{
    struct sink *sink = context;
    if (!sink->only_counts && (sink->has_failed || !reserve(sink, sink->len + len))) {
        sink->has_failed = true;
        return;
    }
    if (!sink->only_counts) {
        memcpy(sink->text + sink->len, piece, len);
        sink->text[sink->len + len] = '\0';
    }
    sink->len += len;
}

static yajl_gen_status write_integer(yajl_gen generator, const json_t *value)
{
    char text[NUMBER_BYTES];
    int len = snprintf(text, sizeof text, "%llu", (unsigned long long)json_integer_value(value));
    return yajl_gen_number(generator, text, (size_t)len);
}

/* In the spelling of jansson: 17 digits, and a fraction or an exponent. */
static yajl_gen_status write_real(yajl_gen generator, const json_t *value)
{
    char text[NUMBER_BYTES];
    size_t len = json_dumpb(value, text, sizeof text, JSON_ENCODE_ANY);
    return len > 0 ? yajl_gen_number(generator, text, len) : yajl_gen_invalid_number;
}

static yajl_gen_status write_text(yajl_gen generator, const char *text, size_t len)
{
    return yajl_gen_string(generator, (const unsigned char *)text, len);
}

static yajl_gen_status write_value(yajl_gen generator, json_t *value);

static yajl_gen_status write_object(yajl_gen generator, json_t *object)
{
    yajl_gen_status status = yajl_gen_map_open(generator);
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (status == yajl_gen_status_ok)
            status = write_text(generator, key, strlen(key));
        if (status == yajl_gen_status_ok)
            status = write_value(generator, value);
    }
    return status == yajl_gen_status_ok ? yajl_gen_map_close(generator) : status;
}

static yajl_gen_status write_array(yajl_gen generator, json_t *array)
{
    yajl_gen_status status = yajl_gen_array_open(generator);
    json_t *value;
    size_t i;
    json_array_foreach(array, i, value)
    {
        if (status == yajl_gen_status_ok)
            status = write_value(generator, value);
    }
    return status == yajl_gen_status_ok ? yajl_gen_array_close(generator) : status;
}

static yajl_gen_status write_value(yajl_gen generator, json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        return write_object(generator, value);
    case JSON_ARRAY:
        return write_array(generator, value);
    case JSON_STRING:
        return write_text(generator, json_string_value(value), json_string_length(value));
    case JSON_INTEGER:
        return write_integer(generator, value);
    case JSON_REAL:
        return write_real(generator, value);
    case JSON_NULL:
        return yajl_gen_null(generator);
    default:
        return yajl_gen_bool(generator, json_is_true(value));
    }
}

/* Writes the value into the sink. Returns false if it is NULL or if out of memory. */
static bool write_into(struct sink *sink, json_t *value)
{
    yajl_gen generator = value ? yajl_gen_alloc(NULL) : NULL;
    if (!generator)
        return false;
    (void)yajl_gen_config(generator, yajl_gen_print_callback, append_piece, sink);
    yajl_gen_status status = write_value(generator, value);
    yajl_gen_free(generator);
    return status == yajl_gen_status_ok && !sink->has_failed;
}

char *bd_json_write(json_t *value)
{
    struct sink sink = {0};
    if (write_into(&sink, value))
        return sink.text;
    free(sink.text);
    return NULL;
}

size_t bd_json_written_bytes(json_t *value)
{
    struct sink sink = {.only_counts = true};
    return write_into(&sink, value) ? sink.len : SIZE_MAX;
}
