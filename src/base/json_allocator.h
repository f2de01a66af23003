/* The allocator of the JSON libraries. */
#ifndef BD_JSON_ALLOCATOR_H
#define BD_JSON_ALLOCATOR_H
#include <stddef.h>

/* From now on the process aborts if jansson runs out of memory. Otherwise the library
 * leaves a member or an element out, and a message would be sent, or a record written, without it.
 * Must be called before the library is used by several threads. */
void bd_json_allocator_install(void);

/* Allocates memory, which free releases. Aborts the process if there is none. */
void *bd_json_allocate(size_t bytes);
/* Changes the size of allocated memory; NULL: allocates it. Aborts the process if there is none. */
void *bd_json_reallocate(void *memory, size_t bytes);
#endif
