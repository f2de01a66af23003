/* The allocator of the JSON library. */
#ifndef BD_JSON_ALLOCATOR_H
#define BD_JSON_ALLOCATOR_H

/* From now on the process aborts if the JSON library runs out of memory. Otherwise the library
 * leaves a member or an element out, and a message would be sent, or a record written, without it.
 * Must be called before the library is used by several threads. */
void bd_json_allocator_install(void);
#endif
