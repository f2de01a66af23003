/* The newest heartbeat of each machine, as text and as read.
 *
 * Most heartbeats repeat the last one but for their sequence number, and reading their JSON is most
 * of what a heartbeat costs. A text that equals a cached one, byte for byte but for the digits of
 * that number, reads the same but for the number; so nothing in the cache can be out of date.
 *
 * A cache owns copies of the texts and what was read from them. The event loop's thread owns the
 * cache and alone calls it.
 */
#ifndef BD_HEARTBEAT_CACHE_H
#define BD_HEARTBEAT_CACHE_H
#include "wire/wire_workers.h"
#include <stddef.h>
#include <stdint.h>

struct bd_heartbeat_cache;

/* A cache of at most `bytes_max` bytes; the least recently used heartbeats are evicted first. NULL:
 * out of memory. */
struct bd_heartbeat_cache *bd_heartbeat_cache_new(size_t bytes_max);
/* `cache` may be NULL. */
void bd_heartbeat_cache_free(struct bd_heartbeat_cache *cache);
/* Reads a heartbeat of `len` bytes. What is returned belongs to the cache and is valid until its
 * next call. NULL: malformed, `text` is NULL, or out of memory. */
const struct bd_heartbeat *bd_heartbeat_cache_read(struct bd_heartbeat_cache *cache,
                                                   const char *text, size_t len);
/* Heartbeats read since the last call of this function, and how many of them came from the cache.
 */
void bd_heartbeat_cache_take_counts(struct bd_heartbeat_cache *cache, uint32_t *total,
                                    uint32_t *hits);
#endif
