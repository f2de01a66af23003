/* Shared by the parts of the wire module: reading single fields. */
#ifndef BD_WIRE_INTERNAL_H
#define BD_WIRE_INTERNAL_H
#include "wire/wire.h"
#include <jansson.h>

#define COUNT(a) ((int)(sizeof(a) / sizeof((a)[0])))

int bd_wire_index_of(const char *const *names, int n, const char *s);
bool bd_wire_label(json_t *o, const char *key, char *out);
bool bd_wire_amount(json_t *o, const char *key, double *out);
bool bd_wire_flag(json_t *o, const char *key, bool *out);
bool bd_wire_whole(json_t *o, const char *key, uint64_t *out);
bool bd_wire_is_null(json_t *v);
#endif
