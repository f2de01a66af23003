#include "wire/wire_workers.h"
#include "wire/wire_internal.h"
#include "wire/wire_jobs.h"
#include "wire/wire_names.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_DEPTH 3 /* an object with a list of objects */
/* Numbers of 19 digits could overflow a signed integer and are left to the JSON parser. */
#define SEQ_DIGITS_MAX 18
/* Upper bounds of the encoded sizes. */
#define COMMANDS_FIXED_BYTES 96
#define COMMAND_BYTES 128
#define REDIRECT_BYTES 128

/* Indexed by enum bd_execution_state, enum bd_exit_reason and enum bd_command_verb. */
static const char *const execution_states[] = {"pulling", "gathering", "running", "saving",
                                               "exited"};
static const char *const exit_reasons[] = {"",      "done",    "stopped", "peers",  "alone",
                                           "error", "no_room", "busy",    "unknown"};
static const char *const command_verbs[] = {"launch", "halt", "forget"};

/* ---- heartbeats ---- */

static bool read_task(json_t *object, struct bd_reported_task *out)
{
    memset(out, 0, sizeof *out);
    if (!bd_wire_read_task_name(json_string_value(json_object_get(object, KEY_TASK)), out->job,
                                &out->task))
        return false;
    int execution =
        bd_wire_read_enum(object, KEY_STATE, execution_states, COUNT_OF(execution_states));
    if (execution < 0 || !bd_wire_read_unsigned(object, KEY_ATTEMPT, &out->attempt))
        return false;
    out->execution = (enum bd_execution_state)execution;
    int reason = bd_wire_read_enum(object, KEY_EXIT_REASON, exit_reasons, COUNT_OF(exit_reasons));
    out->exit_reason = reason < 0 ? BD_EXIT_NONE : (enum bd_exit_reason)reason;
    return true;
}

static bool read_machine(json_t *body, struct bd_heartbeat *out)
{
    if (!bd_wire_read_label(body, KEY_MACHINE, out->machine) ||
        !bd_wire_read_label(body, KEY_ADDRESS, out->address) ||
        !bd_wire_read_label(body, KEY_MACHINE_TYPE, out->type) ||
        !bd_wire_read_label(body, KEY_ZONE, out->zone) ||
        !bd_wire_read_bool(body, KEY_SPOT, &out->spot) ||
        !bd_wire_read_unsigned(body, KEY_INCARNATION, &out->incarnation) ||
        !bd_wire_read_unsigned(body, KEY_HEARTBEAT_SEQ, &out->seq) ||
        !bd_wire_read_unsigned(body, KEY_FENCING_TOKEN, &out->fencing_token))
        return false;
    out->notice_s = -1;
    return bd_wire_is_missing_or_null(json_object_get(body, KEY_NOTICE_S)) ||
           bd_wire_read_amount(body, KEY_NOTICE_S, &out->notice_s);
}

static bool read_tasks(json_t *body, struct bd_heartbeat *out)
{
    json_t *list = json_object_get(body, KEY_TASKS), *entry;
    size_t i;
    if (!json_is_array(list))
        return false;
    out->tasks = calloc(json_array_size(list) + 1, sizeof *out->tasks);
    if (!out->tasks)
        return false;
    json_array_foreach(list, i, entry)
    {
        if (!read_task(entry, &out->tasks[out->task_count])) {
            bd_wire_release_heartbeat(out);
            return false;
        }
        out->task_count++;
    }
    return true;
}

json_t *bd_wire_parse_heartbeat(const char *text, size_t len, struct bd_json_error *error)
{
    static const char *const fields[] = {
        KEY_TASK,          KEY_ATTEMPT,       KEY_STATE,    KEY_EXIT_REASON, KEY_MACHINE,
        KEY_ADDRESS,       KEY_MACHINE_TYPE,  KEY_ZONE,     KEY_SPOT,        KEY_INCARNATION,
        KEY_HEARTBEAT_SEQ, KEY_FENCING_TOKEN, KEY_NOTICE_S, KEY_TASKS};
    static const struct bd_json_message heartbeat = {
        .members = fields, .member_count = COUNT_OF(fields), .depth_max = HEARTBEAT_DEPTH};
    return bd_json_read(text, len, &heartbeat, error);
}

bool bd_wire_read_heartbeat(json_t *body, struct bd_heartbeat *out)
{
    memset(out, 0, sizeof *out);
    return json_is_object(body) && read_machine(body, out) && read_tasks(body, out);
}

void bd_wire_release_heartbeat(struct bd_heartbeat *heartbeat)
{
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->task_count = 0;
}

/* Returns the end of the key and colon before the sequence number, or NULL unless they occur
 * exactly once. An occurrence is always a key, because quotes inside strings are escaped. */
static const char *find_seq_key_end(const char *text, size_t len)
{
    static const char key[] = "\"" KEY_HEARTBEAT_SEQ "\":";
    const size_t key_len = sizeof key - 1;
    const char *found = memmem(text, len, key, key_len);
    if (!found)
        return NULL;
    const char *key_end = found + key_len;
    size_t rest = len - (size_t)(key_end - text);
    return memmem(key_end, rest, key, key_len) ? NULL : key_end;
}

bool bd_wire_find_heartbeat_seq(const char *text, size_t len, struct bd_heartbeat_seq *out)
{
    const char *text_end = text + len, *digits = find_seq_key_end(text, len);
    if (!digits)
        return false;
    while (digits < text_end && *digits == ' ')
        digits++;
    const char *digits_end = digits;
    out->offset = (size_t)(digits - text);
    out->value = 0;
    while (digits_end < text_end && *digits_end >= '0' && *digits_end <= '9' &&
           digits_end - digits <= SEQ_DIGITS_MAX)
        out->value = out->value * 10 + (uint64_t)(*digits_end++ - '0');
    out->len = (size_t)(digits_end - digits);
    if (out->len == 0 || out->len > SEQ_DIGITS_MAX)
        return false;
    bool has_leading_zero = *digits == '0' && out->len > 1;
    bool is_terminated =
        digits_end < text_end && (*digits_end == ',' || *digits_end == '}' || *digits_end == ' ');
    return !has_leading_zero && is_terminated;
}

/* ---- replies and commands ---- */

/* A buffer whose `capacity` is large enough for all text that is appended. */
struct text_buffer {
    char *bytes;
    size_t len, capacity;
};

__attribute__((format(printf, 2, 3))) static void append(struct text_buffer *buffer,
                                                         const char *format, ...)
{
    va_list args;
    va_start(args, format);
    int len = vsnprintf(buffer->bytes + buffer->len, buffer->capacity - buffer->len, format, args);
    va_end(args);
    if (len > 0)
        buffer->len += (size_t)len;
}

static void append_command(struct text_buffer *buffer, const struct bd_command *command)
{
    append(buffer, "{\"" KEY_COMMAND_VERB "\":\"%s\",\"" KEY_TASK "\":\"%s/%u\"",
           command_verbs[command->verb], command->job, command->task);
    append(buffer, ",\"" KEY_ATTEMPT "\":%llu", (unsigned long long)command->attempt);
    if (command->verb == BD_COMMAND_HALT)
        append(buffer, ",\"" KEY_STOP_GRACE_S "\":%.3f", command->grace_s);
    append(buffer, "}");
}

char *bd_wire_write_commands(uint64_t fencing_token, uint64_t incarnation,
                             const struct bd_command *commands, size_t count)
{
    struct text_buffer buffer = {NULL, 0, COMMANDS_FIXED_BYTES + count * COMMAND_BYTES};
    buffer.bytes = malloc(buffer.capacity);
    if (!buffer.bytes)
        return NULL;
    append(&buffer, "{\"" KEY_FENCING_TOKEN "\":%llu,", (unsigned long long)fencing_token);
    if (incarnation)
        append(&buffer, "\"" KEY_INCARNATION "\":%llu,", (unsigned long long)incarnation);
    append(&buffer, "\"" KEY_COMMANDS "\":[");
    for (size_t i = 0; i < count; i++) {
        if (i > 0)
            append(&buffer, ",\n"); /* lines of a reply are limited to 64 KiB */
        append_command(&buffer, &commands[i]);
    }
    append(&buffer, "]}");
    return buffer.bytes;
}

char *bd_wire_write_redirect(const char *node)
{
    char reply[REDIRECT_BYTES];
    if (!node || !*node)
        return strdup("{}");
    snprintf(reply, sizeof reply, "{\"" KEY_LEADER "\":\"%s\"}", node);
    return strdup(reply);
}
