#include "allocation_meter.h"
#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

/* NOLINTBEGIN(bugprone-reserved-identifier, cert-dcl37-c, cert-dcl51-cpp,
 * readability-identifier-naming): the linker's --wrap prescribes these names */

/* The linker replaces each call of NAME by one of __wrap_NAME, and __real_NAME is the original. */
void *__real_malloc(size_t bytes);
void *__real_calloc(size_t count, size_t bytes);
void *__real_realloc(void *memory, size_t bytes);
void __real_free(void *memory);
char *__real_strdup(const char *text);
char *__real_strndup(const char *text, size_t max);
void *__wrap_malloc(size_t bytes);
void *__wrap_calloc(size_t count, size_t bytes);
void *__wrap_realloc(void *memory, size_t bytes);
void __wrap_free(void *memory);
char *__wrap_strdup(const char *text);
char *__wrap_strndup(const char *text, size_t max);

static size_t bytes_now, bytes_peak;

static void *count_allocated(void *memory)
{
    bytes_now += malloc_usable_size(memory);
    bytes_peak = bytes_now > bytes_peak ? bytes_now : bytes_peak;
    return memory;
}

void *__wrap_malloc(size_t bytes)
{
    return count_allocated(__real_malloc(bytes));
}

void *__wrap_calloc(size_t count, size_t bytes)
{
    return count_allocated(__real_calloc(count, bytes));
}

/* Counts the old and the new block together for a moment, as a copy needs both. */
void *__wrap_realloc(void *memory, size_t bytes)
{
    size_t old_bytes = malloc_usable_size(memory);
    void *moved = count_allocated(__real_realloc(memory, bytes));
    if (moved)
        bytes_now -= old_bytes;
    return moved;
}

void __wrap_free(void *memory)
{
    bytes_now -= malloc_usable_size(memory);
    __real_free(memory);
}

char *__wrap_strdup(const char *text)
{
    return count_allocated(__real_strdup(text));
}

char *__wrap_strndup(const char *text, size_t max)
{
    return count_allocated(__real_strndup(text, max));
}

/* NOLINTEND(bugprone-reserved-identifier, cert-dcl37-c, cert-dcl51-cpp,
 * readability-identifier-naming) */

void allocation_meter_install(void)
{
    json_set_alloc_funcs(malloc, free); /* in this file, these are counted as well */
}

size_t allocation_meter_bytes(void)
{
    return bytes_now;
}

size_t allocation_meter_peak(void)
{
    return bytes_peak;
}

void allocation_meter_reset_peak(void)
{
    bytes_peak = bytes_now;
}
