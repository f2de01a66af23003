/* Private to wire*.c: reading single fields of a JSON object, writing one as text, and a job's
 * spec.
 *
 * The readers return false, and leave `out` as it is, where the field is missing or malformed.
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

/* A text that is neither empty nor too long. */
bool bd_wire_read_label(json_t *object, const char *key, char out[BD_LABEL_BYTES]);
/* A number from 0 to 1e9. */
bool bd_wire_read_amount(json_t *object, const char *key, double *out);
bool bd_wire_read_bool(json_t *object, const char *key, bool *out);
/* An integer of at least 0. */
bool bd_wire_read_unsigned(json_t *object, const char *key, uint64_t *out);
/* The place of a field's text in a table of `count` names; -1: it is not there. */
int bd_wire_read_enum(json_t *object, const char *key, const char *const *names, int count);
/* Whether a field is missing or null. */
bool bd_wire_is_null(json_t *value);

/* The object as compact text on the heap; the object is consumed. NULL: out of memory, also if the
 * object is NULL. */
char *bd_wire_write_text(json_t *object);

/* Reads a job's spec. NULL, or the name of the field at fault, a constant. */
const char *bd_wire_read_job_spec(json_t *object, struct bd_job_spec_text *out);
/* A job's spec as a JSON object. NULL: out of memory. */
json_t *bd_wire_write_job_spec(const struct bd_job_spec_text *spec);
#endif
