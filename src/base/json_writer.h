/* Writes JSON for other processes: the counterpart of json_reader.h. */
#ifndef BD_JSON_WRITER_H
#define BD_JSON_WRITER_H
#include <jansson.h>
#include <stddef.h>

/* Returns the value as compact JSON, which the caller frees. Integers are written as unsigned, see
 * bd_json_number. NULL: out of memory, or the value is NULL. */
char *bd_json_write(json_t *value);
/* Returns the length of bd_json_write's text; SIZE_MAX: out of memory, or the value is NULL. */
size_t bd_json_written_bytes(json_t *value);
#endif
