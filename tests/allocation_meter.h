/* Counts the bytes that a test program has allocated, and their peak. The program must be linked
 * with ALLOCATION_METER_WRAPS (tests/CMakeLists.txt). Allocations by shared libraries are not
 * counted, except those of the JSON library. Not thread-safe. */
#ifndef BD_TESTS_ALLOCATION_METER_H
#define BD_TESTS_ALLOCATION_METER_H
#include <stddef.h>

/* Counts the JSON library's allocations too. Call before the first use of the library. */
void allocation_meter_install(void);
/* The bytes that are allocated now. */
size_t allocation_meter_bytes(void);
/* The most bytes that were allocated at a time since the last reset. */
size_t allocation_meter_peak(void);
void allocation_meter_reset_peak(void);
#endif
