#include "base/json_allocator.h"
#include <jansson.h>
#include <stdlib.h>

static void *allocate_or_abort(size_t bytes)
{
    void *memory = malloc(bytes);
    if (!memory)
        abort();
    return memory;
}

void bd_json_allocator_install(void)
{
    json_set_alloc_funcs(allocate_or_abort, free);
}
