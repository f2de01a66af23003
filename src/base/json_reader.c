#include "base/json_reader.h"
#include "base/json_allocator.h"
#include "base/json_number.h"
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistr.h>
#include <yajl/yajl_parse.h>

/* Results of yajl's callbacks. */
#define CONTINUE 1
#define STOP 0

/* A parse in progress: the values built so far, and where the next one belongs. */
struct builder {
    const struct bd_json_message *message;
    const char *text;
    yajl_handle parser;
    json_t *root;                    /* owned; NULL: not begun */
    json_t *open[BD_JSON_DEPTH_MAX]; /* the open containers, borrowed from the root */
    int depth, depth_max;
    size_t skipped_depth;  /* open containers below a value that is skipped */
    bool skips_value;      /* the next value belongs to an unused member */
    size_t token_end;      /* offset after the previous token */
    const char *duplicate; /* the repeated member that stops the parse */
    char *key;             /* owned: the member whose value is next */
    size_t key_len, key_capacity;
    char *number; /* owned: copy of a number's text */
    size_t number_capacity;
};

static const struct bd_json_message any_message = {0};

/* ---- memory: ends the process when it runs out, as jansson's allocator does ---- */

static void *allocate(void *context, size_t bytes)
{
    (void)context;
    return bd_json_allocate(bytes);
}

static void *reallocate(void *context, void *memory, size_t bytes)
{
    (void)context;
    return bd_json_reallocate(memory, bytes);
}

static void release(void *context, void *memory)
{
    (void)context;
    free(memory);
}

/* Copies the text into a buffer that grows, with a terminating zero. */
static void copy_text(char **buffer, size_t *capacity, const char *text, size_t len)
{
    if (len + 1 > *capacity) {
        *capacity = 2 * (len + 1);
        *buffer = bd_json_reallocate(*buffer, *capacity);
    }
    memcpy(*buffer, text, len);
    (*buffer)[len] = '\0';
}

/* ---- values ---- */

static size_t end_of_token(const struct builder *builder)
{
    return yajl_get_bytes_consumed(builder->parser);
}

/* Consumes the value, and puts it into the open container, or at the root. */
static int add_value(struct builder *builder, json_t *value)
{
    json_t *parent = builder->depth > 0 ? builder->open[builder->depth - 1] : NULL;
    builder->token_end = end_of_token(builder);
    if (!parent)
        builder->root = value;
    else if (json_is_array(parent))
        json_array_append_new(parent, value);
    else
        json_object_setn_new_nocheck(parent, builder->key, builder->key_len, value);
    return CONTINUE;
}

/* Whether the scalar at which the parse stands is skipped. */
static bool skip_scalar(struct builder *builder)
{
    bool is_skipped = builder->skips_value || builder->skipped_depth > 0;
    builder->skips_value = false;
    if (is_skipped)
        builder->token_end = end_of_token(builder);
    return is_skipped;
}

/* The string's text between the previous token and this one's end, with its quotes. */
static const char *raw_string(const struct builder *builder, size_t *len)
{
    const char *from = builder->text + builder->token_end;
    const char *end = builder->text + end_of_token(builder);
    const char *start = memchr(from, '"', (size_t)(end - from));
    *len = start ? (size_t)(end - start) : 0;
    return start;
}

/* The string at which the parse stands. yajl decodes an unpaired surrogate to other text, so
 * jansson decodes the strings with escapes, and refuses those that are no text. */
static json_t *read_string(const struct builder *builder, const char *decoded, size_t len)
{
    size_t raw_len = 0;
    const char *raw = raw_string(builder, &raw_len);
    if (!raw || !memchr(raw, '\\', raw_len))
        return json_stringn_nocheck(decoded, len);
    json_t *string = json_loadb(raw, raw_len, JSON_DECODE_ANY, NULL);
    return string ? string : json_object();
}

static int on_null(void *context)
{
    struct builder *builder = context;
    return skip_scalar(builder) ? CONTINUE : add_value(builder, json_null());
}

static int on_boolean(void *context, int value)
{
    struct builder *builder = context;
    return skip_scalar(builder) ? CONTINUE : add_value(builder, json_boolean(value));
}

static int on_number(void *context, const char *text, size_t len)
{
    struct builder *builder = context;
    if (skip_scalar(builder))
        return CONTINUE;
    copy_text(&builder->number, &builder->number_capacity, text, len);
    return add_value(builder, bd_json_number(builder->number, len));
}

static int on_string(void *context, const unsigned char *text, size_t len)
{
    struct builder *builder = context;
    if (skip_scalar(builder))
        return CONTINUE;
    return add_value(builder, read_string(builder, (const char *)text, len));
}

/* ---- containers and members ---- */

/* Whether the container at which the parse stands is skipped; one that is too deep is replaced. */
static bool skip_container(struct builder *builder)
{
    bool is_skipped = builder->skips_value || builder->skipped_depth > 0;
    if (!is_skipped && builder->depth < builder->depth_max)
        return false;
    if (!is_skipped)
        (void)add_value(builder, json_object());
    builder->skips_value = false;
    builder->skipped_depth++;
    builder->token_end = end_of_token(builder);
    return true;
}

/* Consumes the container. */
static int open_container(struct builder *builder, json_t *container)
{
    (void)add_value(builder, container);
    builder->open[builder->depth++] = container;
    return CONTINUE;
}

static int close_container(void *context)
{
    struct builder *builder = context;
    builder->token_end = end_of_token(builder);
    if (builder->skipped_depth > 0)
        builder->skipped_depth--;
    else
        builder->depth--;
    return CONTINUE;
}

static int on_start_object(void *context)
{
    return skip_container(context) ? CONTINUE : open_container(context, json_object());
}

static int on_start_array(void *context)
{
    return skip_container(context) ? CONTINUE : open_container(context, json_array());
}

/* Whether the message's reader uses a member of this name. */
static bool is_used(const struct bd_json_message *message, const char *name, size_t len)
{
    if (message->member_count == 0)
        return !memchr(name, '\0', len) && !u8_check((const uint8_t *)name, len);
    for (size_t i = 0; i < message->member_count; i++)
        if (strncmp(message->members[i], name, len) == 0 && message->members[i][len] == '\0')
            return true;
    return false;
}

static int on_key(void *context, const unsigned char *name, size_t len)
{
    struct builder *builder = context;
    builder->token_end = end_of_token(builder);
    if (builder->skipped_depth > 0)
        return CONTINUE;
    builder->skips_value = !is_used(builder->message, (const char *)name, len);
    if (builder->skips_value)
        return CONTINUE;
    copy_text(&builder->key, &builder->key_capacity, (const char *)name, len);
    builder->key_len = len;
    if (builder->message->refuses_duplicates &&
        json_object_get(builder->open[builder->depth - 1], builder->key)) {
        builder->duplicate = builder->key;
        return STOP;
    }
    return CONTINUE;
}

/* ---- the parse ---- */

static const yajl_callbacks callbacks = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number, /* the text, so that no number is out of range */
    .yajl_string = on_string,
    .yajl_start_map = on_start_object,
    .yajl_map_key = on_key,
    .yajl_end_map = close_container,
    .yajl_start_array = on_start_array,
    .yajl_end_array = close_container,
};

static void set_error(struct bd_json_error *error, size_t offset, const char *reason,
                      const char *detail)
{
    if (!error)
        return;
    error->offset = offset;
    snprintf(error->reason, sizeof error->reason, "%s%s", reason, detail);
}

/* Parses the whole text. Returns false and sets the error if it is refused. */
static bool parse(struct builder *builder, size_t len, struct bd_json_error *error)
{
    const unsigned char *bytes = (const unsigned char *)builder->text;
    const uint8_t *invalid = u8_check(bytes, len);
    if (invalid) {
        set_error(error, (size_t)(invalid - bytes), "not UTF-8", "");
        return false;
    }
    yajl_status status = yajl_parse(builder->parser, bytes, len);
    size_t offset = yajl_get_bytes_consumed(builder->parser);
    if (status == yajl_status_ok)
        status = yajl_complete_parse(builder->parser);
    if (builder->duplicate)
        set_error(error, offset, "member given twice: ", builder->duplicate);
    else if (status != yajl_status_ok)
        set_error(error, offset, "not JSON", "");
    return status == yajl_status_ok;
}

json_t *bd_json_read(const char *text, size_t len, const struct bd_json_message *message,
                     struct bd_json_error *error)
{
    yajl_alloc_funcs memory = {allocate, reallocate, release, NULL};
    struct builder builder = {.message = message ? message : &any_message, .text = text};
    builder.depth_max =
        builder.message->depth_max > 0 ? builder.message->depth_max : BD_JSON_DEPTH_MAX;
    builder.parser = yajl_alloc(&callbacks, &memory, &builder);
    if (!builder.parser)
        abort();
    bool is_read = parse(&builder, len, error);
    yajl_free(builder.parser);
    free(builder.key);
    free(builder.number);
    if (is_read)
        return builder.root;
    json_decref(builder.root);
    return NULL;
}
