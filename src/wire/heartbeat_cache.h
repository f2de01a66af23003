/* Cache of the newest heartbeat of each machine, as text and parsed.
 *
 * Most heartbeats differ from the previous one only in their sequence number, and parsing their
 * JSON is most of the cost of a heartbeat. A text that equals a cached one in all bytes but the
 * digits of the sequence number parses to the same heartbeat with the new number, so entries are
 * never stale.
 *
 * A cache owns copies of the texts and the parsed heartbeats. Only the event loop's thread may use
 * it.
 */
#ifndef BD_HEARTBEAT_CACHE_H
#define BD_HEARTBEAT_CACHE_H
#include "wire/wire_workers.h"
#include <stddef.h>
#include <stdint.h>

struct bd_heartbeat_cache;

/* Creates a cache of at most `bytes_max` bytes, with least-recently-used eviction. Returns NULL if
 * out of memory. */
struct bd_heartbeat_cache *bd_heartbeat_cache_new(size_t bytes_max);
/* `cache` may be NULL. */
void bd_heartbeat_cache_free(struct bd_heartbeat_cache *cache);
/* Parses a heartbeat of `len` bytes, or returns it from the cache. The result belongs to the cache
 * and is valid until the next call. Returns NULL if the text is malformed or NULL, or if out of
 * memory. */
const struct bd_heartbeat *bd_heartbeat_cache_read(struct bd_heartbeat_cache *cache,
                                                   const char *text, size_t len);
/* Returns the number of heartbeats read since the last call of this function and the number of
 * cache hits among them, and resets both. */
void bd_heartbeat_cache_take_counts(struct bd_heartbeat_cache *cache, uint32_t *total,
                                    uint32_t *hits);
#endif
