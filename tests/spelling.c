#include "spelling.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistr.h>

#define DEEP_BRACKETS_MAX 3000
#define NUMBER_BYTES 96
#define UNKNOWN_MEMBER_SHARE 4 /* one in so many members is followed by an unknown one */
#define NULL_LEFT_OUT_SHARE 2

/* A text that grows. */
struct text {
    char *bytes;
    size_t len, capacity;
};

struct spelling spelling_from_seed(uint64_t seed)
{
    return (struct spelling){.state = seed * 0x9e3779b97f4a7c15u | 1u};
}

uint64_t spelling_draw(struct spelling *spelling, uint64_t end)
{
    spelling->state ^= spelling->state << 13;
    spelling->state ^= spelling->state >> 7;
    spelling->state ^= spelling->state << 17;
    return (spelling->state >> 11) % end;
}

static bool one_in(struct spelling *spelling, uint64_t share)
{
    return spelling_draw(spelling, share) == 0;
}

static void append_bytes(struct text *text, const char *bytes, size_t len)
{
    if (text->len + len + 1 > text->capacity) {
        text->capacity = 2 * (text->len + len + 1);
        text->bytes = realloc(text->bytes, text->capacity);
    }
    if (!text->bytes)
        abort();
    memcpy(text->bytes + text->len, bytes, len);
    text->len += len;
    text->bytes[text->len] = '\0';
}

static void append(struct text *text, const char *bytes)
{
    append_bytes(text, bytes, strlen(bytes));
}

static void append_space(struct spelling *spelling, struct text *text)
{
    static const char *const spaces[] = {"", "", "", "", " ", "\n", "\t", "\r\n", " \t "};
    append(text, spaces[spelling_draw(spelling, sizeof spaces / sizeof *spaces)]);
}

/* ---- strings ---- */

static void append_unit(struct spelling *spelling, struct text *text, unsigned unit)
{
    char escape[8];
    snprintf(escape, sizeof escape, one_in(spelling, 2) ? "\\u%04x" : "\\u%04X", unit);
    append(text, escape);
}

static void append_escaped(struct spelling *spelling, struct text *text, ucs4_t character)
{
    if (character < 0x10000u) {
        append_unit(spelling, text, character);
        return;
    }
    append_unit(spelling, text, 0xd800u + ((character - 0x10000u) >> 10));
    append_unit(spelling, text, 0xdc00u + ((character - 0x10000u) & 0x3ffu));
}

static void append_string(struct spelling *spelling, struct text *text, const char *string)
{
    const uint8_t *rest = (const uint8_t *)string, *end = rest + strlen(string);
    bool escapes = one_in(spelling, 3);
    append(text, "\"");
    while (rest < end) {
        ucs4_t character;
        int len = u8_mbtouc(&character, rest, (size_t)(end - rest));
        bool must_escape = character < 0x20u || character == '"' || character == '\\';
        if (character == '/' && one_in(spelling, 4))
            append(text, "\\/");
        else if (must_escape || (escapes && one_in(spelling, 3)))
            append_escaped(spelling, text, character);
        else
            append_bytes(text, (const char *)rest, (size_t)len);
        rest += len;
    }
    append(text, "\"");
}

/* ---- numbers ---- */

static void append_integer(struct spelling *spelling, struct text *text, unsigned long long number)
{
    static const char *const forms[] = {"%llu",      "%llu",    "%llu.0",     "%llue0",
                                        "%llu.000",  "%lluE+0", "%llu0e-1",   "%llu000E-3",
                                        "%llu.0e-0", "%llu",    "%llu00.0e-2"};
    static const char *const zeros[] = {"0", "0.0", "0e0", "-0", "0.00E-7", "0e+99"};
    char spelt[NUMBER_BYTES];
    if (number == 0) {
        append(text, zeros[spelling_draw(spelling, sizeof zeros / sizeof *zeros)]);
        return;
    }
    const char *form = forms[spelling_draw(spelling, sizeof forms / sizeof *forms)];
    snprintf(spelt, sizeof spelt, form, number); /* NOLINT(clang-diagnostic-format-nonliteral) */
    append(text, spelt);
}

/* Moves the decimal point of "123.45" to the end: "12345e-2". */
static void append_shifted(struct text *text, const char *number)
{
    const char *point = strchr(number, '.');
    struct text digits = {0};
    append_bytes(&digits, number, (size_t)(point - number));
    append(&digits, point + 1);
    const char *first = digits.bytes + strspn(digits.bytes, "0");
    append(text, *first ? first : "0");
    free(digits.bytes);
    char exponent[NUMBER_BYTES];
    snprintf(exponent, sizeof exponent, "e-%zu", strlen(point + 1));
    append(text, exponent);
}

static void append_real(struct spelling *spelling, struct text *text, json_t *real)
{
    char number[NUMBER_BYTES] = "";
    size_t len = json_dumpb(real, number, sizeof number - 1, JSON_ENCODE_ANY);
    bool is_plain = len > 0 && strchr(number, '.') && !strpbrk(number, "e-");
    if (is_plain && one_in(spelling, 3)) {
        append_shifted(text, number);
        return;
    }
    append(text, number);
    if (is_plain && one_in(spelling, 3))
        append(text, one_in(spelling, 2) ? "000" : "0E0");
}

/* ---- unknown members ---- */

static void append_brackets(struct spelling *spelling, struct text *text)
{
    uint64_t depth = 1 + spelling_draw(spelling, DEEP_BRACKETS_MAX);
    for (uint64_t i = 0; i < depth; i++)
        append(text, "[");
    for (uint64_t i = 0; i < depth; i++)
        append(text, "]");
}

static void append_unknown(struct spelling *spelling, struct text *text)
{
    static const char *const values[] = {
        "null",
        "true",
        "-7",
        "1.25",
        "\"lorem ipsum\"",
        "18446744073709551615",
        "-18446744073709551616",
        "123456789012345678901234567890",
        "1e400",
        "-1E+4000",
        "5e-9999",
        "0.0000000000000000000000000000000000001",
        "\"\\u0000\"",
        "\"a\\u0000b\"",
        "\"\\ud800\"",
        "\"\\udfff x\"",
        "\"\\ud800\\u0041\"",
        "{\"\\u0000\":1}",
        "{\"\\ud834\":[1]}",
        "{\"a\":1,\"a\":2}",
        "{\"id\":\"job-1\",\"kin\":7,\"tally\":5,\"chores\":[1e999]}",
        "[[],{},true,{\"deep\":[[[[[]]]]]}]",
        "{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,\"l\":[[],{}]}",
        "{\"\":[\"\",\"\"]}"};
    if (one_in(spelling, 16))
        append_brackets(spelling, text);
    else
        append(text, values[spelling_draw(spelling, sizeof values / sizeof *values)]);
}

char *spelling_unknown_value(struct spelling *spelling)
{
    struct text text = {0};
    append_unknown(spelling, &text);
    return text.bytes;
}

static void append_unknown_member(struct spelling *spelling, struct text *text)
{
    static const char *const names[] = {"\"x_text\"",   "\"x_labels\"",  "\"\"",      "\"kin \"",
                                        "\"k\\u0000\"", "\"\\ud800id\"", "\"größe\"", "\"KIN\"",
                                        "\"x_n\"",      "\"toString\"",  "\"x\\\"y\""};
    append(text, names[spelling_draw(spelling, sizeof names / sizeof *names)]);
    append_space(spelling, text);
    append(text, ":");
    append_space(spelling, text);
    append_unknown(spelling, text);
}

/* ---- objects and lists ---- */

static void append_value(struct spelling *spelling, struct text *text, json_t *value);

/* Begins a member or an element: a comma unless it is the first. */
static void begin_item(struct spelling *spelling, struct text *text, bool *is_first)
{
    append_space(spelling, text);
    if (!*is_first)
        append(text, ",");
    append_space(spelling, text);
    *is_first = false;
}

/* Returns the object's keys in a drawn order; `count` of them. The caller frees the list. */
static const char **shuffled_keys(struct spelling *spelling, json_t *object, size_t count)
{
    const char **keys = calloc(count + 1, sizeof *keys);
    void *iterator = json_object_iter(object);
    if (!keys)
        abort();
    for (size_t i = 0; i < count; i++) {
        keys[i] = json_object_iter_key(iterator);
        iterator = json_object_iter_next(object, iterator);
    }
    for (size_t i = count; i > 1; i--) {
        size_t other = spelling_draw(spelling, i);
        const char *key = keys[i - 1];
        keys[i - 1] = keys[other];
        keys[other] = key;
    }
    return keys;
}

static void append_object(struct spelling *spelling, struct text *text, json_t *object)
{
    size_t count = json_object_size(object);
    const char **keys = shuffled_keys(spelling, object, count);
    bool is_first = true, keeps_members = spelling->keeps_members;
    append(text, "{");
    for (size_t i = 0; i < count; i++) {
        json_t *value = json_object_get(object, keys[i]);
        if (!keeps_members && one_in(spelling, UNKNOWN_MEMBER_SHARE)) {
            begin_item(spelling, text, &is_first);
            append_unknown_member(spelling, text);
        }
        if (!keeps_members && json_is_null(value) && one_in(spelling, NULL_LEFT_OUT_SHARE))
            continue;
        begin_item(spelling, text, &is_first);
        append_string(spelling, text, keys[i]);
        append_space(spelling, text);
        append(text, ":");
        append_space(spelling, text);
        spelling->keeps_members = keeps_members || strcmp(keys[i], "value") == 0;
        append_value(spelling, text, value);
        spelling->keeps_members = keeps_members;
    }
    append_space(spelling, text);
    append(text, "}");
    free(keys);
}

static void append_array(struct spelling *spelling, struct text *text, json_t *array)
{
    bool is_first = true;
    append(text, "[");
    for (size_t i = 0; i < json_array_size(array); i++) {
        begin_item(spelling, text, &is_first);
        append_value(spelling, text, json_array_get(array, i));
    }
    append_space(spelling, text);
    append(text, "]");
}

static void append_value(struct spelling *spelling, struct text *text, json_t *value)
{
    if (json_is_object(value))
        append_object(spelling, text, value);
    else if (json_is_array(value))
        append_array(spelling, text, value);
    else if (json_is_string(value))
        append_string(spelling, text, json_string_value(value));
    else if (json_is_integer(value))
        append_integer(spelling, text, (unsigned long long)json_integer_value(value));
    else if (json_is_real(value))
        append_real(spelling, text, value);
    else if (json_is_boolean(value))
        append(text, json_is_true(value) ? "true" : "false");
    else
        append(text, "null");
}

char *spelling_write(struct spelling *spelling, json_t *value)
{
    struct text text = {0};
    append_space(spelling, &text);
    append_value(spelling, &text, value);
    append_space(spelling, &text);
    return text.bytes;
}
