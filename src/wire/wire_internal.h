/* Private to wire*.c: helpers to read fields of JSON objects, to serialize objects, and to read and
 * write job specs.
 *
 * Unless stated otherwise, a reader returns false and leaves `out` unchanged if the field is
 * missing or malformed.
 */
#ifndef BD_WIRE_INTERNAL_H
#define BD_WIRE_INTERNAL_H
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_names.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))

/* Reads a string of 1 to BD_LABEL_BYTES - 1 bytes. */
bool bd_wire_read_label(json_t *object, const char *key, char out[BD_LABEL_BYTES]);
#define BD_WIRE_HASH_BASIS 1469598103934665603u

/* Continues the hash (FNV-1a) with the text; NULL: an empty one. Hashes are stored, so the
 * algorithm must not change.
 */
uint64_t bd_wire_hash_text(uint64_t hash, const char *text);
/* Reads a string of 1 byte or more; see bd_wire_shorten_name. */
bool bd_wire_read_name(json_t *object, const char *key, char out[BD_LABEL_BYTES]);
/* Copies a name. One of BD_LABEL_BYTES or more is replaced by its beginning and a hash of all of
 * it: a job's names of any length are told apart, but take no more memory than a label. */
void bd_wire_shorten_name(const char *name, char out[BD_LABEL_BYTES]);
/* Reads a number from 0 to 1e9. */
bool bd_wire_read_amount(json_t *object, const char *key, double *out);
bool bd_wire_read_bool(json_t *object, const char *key, bool *out);
/* Reads an integer from 0 to 2^64 - 1. */
bool bd_wire_read_unsigned(json_t *object, const char *key, uint64_t *out);
/* Returns the index of the field's string in a table of `count` names; -1: missing or unknown. */
int bd_wire_read_enum(json_t *object, const char *key, const char *const *names, int count);
bool bd_wire_is_missing_or_null(json_t *value);

/* Serializes the object as compact JSON and consumes it. Returns NULL if out of memory, or if the
 * object is NULL because building it ran out of memory. */
char *bd_wire_serialize(json_t *object);

/* Reads a job spec. Returns NULL on success, or the name of the invalid field, a constant. */
const char *bd_wire_read_job_spec(json_t *object, struct bd_job_spec_text *out);
/* Returns a job spec as a JSON object, or NULL if out of memory. */
json_t *bd_wire_write_job_spec(const struct bd_job_spec_text *spec);
#endif
