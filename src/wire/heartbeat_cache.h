/* The newest report of each machine, as text and as read.
 *
 * Most reports repeat the last one but for their number: reading their JSON anew is most of what a
 * check-in costs. A text that is equal to a kept one, byte for byte but for the digits of that
 * number, reads the same but for the number; so nothing here can be out of date. Owner thread only.
 */
#ifndef BD_HEARTBEAT_CACHE_H
#define BD_HEARTBEAT_CACHE_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bd_heartbeat_cache;

/* Keeps at most so many bytes, the least recently used reports leaving first. NULL: no memory. */
struct bd_heartbeat_cache *bd_heartbeat_cache_new(size_t most_bytes);
void bd_heartbeat_cache_free(struct bd_heartbeat_cache *c);
/* Reads a report. It belongs to the cache, until the next call. NULL: malformed. */
const struct bd_heartbeat *bd_heartbeat_cache_read(struct bd_heartbeat_cache *c, const char *text,
                                                   size_t len);
/* Reports read since the last call, and how many of them were not read anew. */
void bd_heartbeat_cache_counts(struct bd_heartbeat_cache *c, uint32_t *all, uint32_t *repeated);
#endif
