/* Output of `brambledoor drain`: drains as tables, and errors. */
#ifndef BD_DRAIN_OUTPUT_H
#define BD_DRAIN_OUTPUT_H
#include <jansson.h>

/* Returns the string in a field of the object, borrowed; "" if there is none. */
const char *text_field(json_t *object, const char *key);
/* Prints a list of drains, or one drain with its machines, to standard output. */
void print_drains(json_t *response);
/* Prints why a request failed to standard error. HTTP status 0: no response. */
void print_refusal(long status, json_t *response);
#endif
