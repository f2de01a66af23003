#include "base/json_allocator.h"
#include <jansson.h>
#include <stdlib.h>

void *bd_json_allocate(size_t bytes)
{
    void *memory = malloc(bytes);
    if (!memory)
        abort();
    return memory;
}

void *bd_json_reallocate(void *memory, size_t bytes)
{
    void *grown = realloc(memory, bytes);
    if (!grown)
        abort();
    return grown;
}

void bd_json_allocator_install(void)
{
    json_set_alloc_funcs(bd_json_allocate, free);
}
