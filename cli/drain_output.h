/* What `brambledoor drain` prints: a controller's responses as tables or JSON, and refusals. */
#ifndef BD_DRAIN_OUTPUT_H
#define BD_DRAIN_OUTPUT_H
#include <jansson.h>

/* The text of an object's field; "" if there is none. Borrowed from the object. */
const char *text_field(json_t *object, const char *key);
/* Prints a list of drains, or one drain with its machines, to the standard output. */
void print_drains(json_t *response);
/* Prints why a request failed to the standard error. HTTP status 0: no response. */
void print_refusal(long status, json_t *response);
#endif
