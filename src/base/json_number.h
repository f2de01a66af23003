/* JSON numbers as jansson values. JSON's numbers have no range and many spellings; jansson holds
 * signed 64-bit integers and doubles. */
#ifndef BD_JSON_NUMBER_H
#define BD_JSON_NUMBER_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns the value of a number's text, which must be a valid JSON number with a terminating zero
 * after its `len` bytes.
 *
 * An integer from 0 to 2^64 - 1 is a json_integer that holds its bit pattern, so one of 2^63 or
 * more is negative there; read it with bd_json_read_unsigned. Every other number, and an integer
 * spelt with a fraction or an exponent if a double holds it exactly, is a json_real. A magnitude
 * above the range of doubles becomes the largest double. */
json_t *bd_json_number(const char *text, size_t len);

/* Returns the JSON value of an unsigned integer. */
json_t *bd_json_unsigned(uint64_t number);

/* Reads an integer from 0 to 2^64 - 1, whatever its spelling. Returns false and leaves `out`
 * unchanged if the value is NULL, not a number, negative, not whole or larger. */
bool bd_json_read_unsigned(const json_t *value, uint64_t *out);
#endif
