/* Reads JSON from outside this process: the only parser of messages.
 *
 * Accepts what RFC 8259 allows. Members that a message's reader does not use may hold any value:
 * they are checked for their form and leave nothing behind. Thread-safe; keeps no state. If memory
 * runs out, the process ends, so no message is refused for that. */
#ifndef BD_JSON_READER_H
#define BD_JSON_READER_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* Which parts of a message are read. */
struct bd_json_message {
    /* the names of all members that are used, at any depth; others are skipped with their values */
    const char *const *members;
    size_t member_count;     /* 0: all members are used */
    int depth_max;           /* of the containers that are used; 0: BD_JSON_DEPTH_MAX */
    bool refuses_duplicates; /* of the members that are used; otherwise the last one counts */
};

#define BD_JSON_DEPTH_MAX 64

#define BD_JSON_REASON_BYTES 64

/* Why a text was refused. */
struct bd_json_error {
    size_t offset;                     /* in bytes */
    char reason[BD_JSON_REASON_BYTES]; /* without quotes and control characters */
};

/* Parses a text. Returns a new reference, or NULL if the text is not JSON or repeats a member that
 * it must not; `error` may be NULL. message: NULL for any message.
 *
 * Numbers are as bd_json_number says. A string that is no Unicode text or contains U+0000, and a
 * container below the depth, is replaced by an empty object, which no reader takes for a string. */
json_t *bd_json_read(const char *text, size_t len, const struct bd_json_message *message,
                     struct bd_json_error *error);
#endif
