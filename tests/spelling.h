/* Spells a JSON value in a way drawn at random that means the same to every receiver that ignores
 * unknown members: order, white space, escapes in names and texts, spellings of numbers, nullable
 * members left out, and unknown members with any value. A member `value` is a key's value in the
 * store, which returns its members as they were written. */
#ifndef BD_TESTS_SPELLING_H
#define BD_TESTS_SPELLING_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The state of the draws. */
struct spelling {
    uint64_t state;     /* not 0 */
    bool keeps_members; /* inside a value that the receiver keeps: no member is added or left out */
};

struct spelling spelling_from_seed(uint64_t seed);
/* Draws a number from 0 to below `end`. */
uint64_t spelling_draw(struct spelling *spelling, uint64_t end);
/* Returns a drawn text of the value, which the caller frees. Integers are unsigned, as in
 * base/json_number.h. */
char *spelling_write(struct spelling *spelling, json_t *value);
/* Returns a drawn unknown value: any that RFC 8259 allows. */
char *spelling_unknown_value(struct spelling *spelling);
#endif
