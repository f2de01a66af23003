#include "wire/heartbeat_cache.h"
#include "wire/wire_workers.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A cached heartbeat. Its key is its head: the text before the sequence number, which contains the
 * machine and its incarnation. */
struct entry {
    UT_hash_handle hh;
    struct bd_heartbeat heartbeat;
    size_t bytes; /* size of the entry with all memory that it owns */
    size_t head_len, tail_len;
    const char *tail; /* the text after the sequence number; points into `text` */
    char text[];      /* head and tail */
};

struct bd_heartbeat_cache {
    struct entry *entries; /* least recently used first */
    size_t bytes, bytes_max;
    struct bd_heartbeat uncached; /* the last heartbeat parsed, unless an entry owns it */
    bool has_uncached;
    uint32_t total, hits; /* reads and cache hits since the counts were last taken */
};

struct bd_heartbeat_cache *bd_heartbeat_cache_new(size_t bytes_max)
{
    struct bd_heartbeat_cache *cache = calloc(1, sizeof *cache);
    if (cache)
        cache->bytes_max = bytes_max;
    return cache;
}

static void free_entry(struct bd_heartbeat_cache *cache, struct entry *entry)
{
    HASH_DEL(cache->entries, entry);
    cache->bytes -= entry->bytes;
    bd_wire_release_heartbeat(&entry->heartbeat);
    free(entry);
}

static void release_uncached(struct bd_heartbeat_cache *cache)
{
    if (cache->has_uncached)
        bd_wire_release_heartbeat(&cache->uncached);
    cache->has_uncached = false;
}

void bd_heartbeat_cache_free(struct bd_heartbeat_cache *cache)
{
    struct entry *entry, *next;
    if (!cache)
        return;
    HASH_ITER(hh, cache->entries, entry, next)
    {
        free_entry(cache, entry);
    }
    release_uncached(cache);
    free(cache);
}

static struct entry *find_entry(struct bd_heartbeat_cache *cache, const char *text, size_t head_len)
{
    struct entry *entry = NULL;
    HASH_FIND(hh, cache->entries, text, head_len, entry);
    return entry;
}

/* Moves the heartbeat `uncached`, which was parsed from this text, into a new entry. Returns NULL
 * and leaves the heartbeat in `uncached` if the entry does not fit or if out of memory. */
static struct entry *add_entry(struct bd_heartbeat_cache *cache, const char *text, size_t len,
                               const struct bd_heartbeat_seq *seq)
{
    size_t tail_at = seq->offset + seq->len;
    size_t entry_bytes = sizeof(struct entry) + len - seq->len;
    size_t bytes = entry_bytes + cache->uncached.task_count * sizeof cache->uncached.tasks[0];
    if (bytes > cache->bytes_max)
        return NULL;
    while (cache->entries && cache->bytes + bytes > cache->bytes_max)
        free_entry(cache, cache->entries);
    struct entry *entry = malloc(entry_bytes);
    if (!entry)
        return NULL;
    memset(entry, 0, sizeof *entry);
    entry->heartbeat = cache->uncached;
    entry->bytes = bytes;
    entry->head_len = seq->offset;
    entry->tail_len = len - tail_at;
    memcpy(entry->text, text, entry->head_len);
    memcpy(entry->text + entry->head_len, text + tail_at, entry->tail_len);
    entry->tail = entry->text + entry->head_len;
    cache->has_uncached = false;
    cache->bytes += bytes;
    HASH_ADD_KEYPTR(hh, cache->entries, entry->text, entry->head_len, entry);
    return entry;
}

/* Parses the text into `uncached`. Returns false if it is malformed or if out of memory. */
static bool read_uncached(struct bd_heartbeat_cache *cache, const char *text, size_t len)
{
    json_t *body = text ? bd_wire_parse_heartbeat(text, len, NULL) : NULL;
    cache->has_uncached = body && bd_wire_read_heartbeat(body, &cache->uncached);
    json_decref(body);
    return cache->has_uncached;
}

/* Marks the entry as the most recently used one and gives it the new sequence number. */
static const struct bd_heartbeat *reuse_entry(struct bd_heartbeat_cache *cache, struct entry *entry,
                                              uint64_t seq)
{
    HASH_DEL(cache->entries, entry);
    HASH_ADD_KEYPTR(hh, cache->entries, entry->text, entry->head_len, entry);
    entry->heartbeat.seq = seq;
    cache->hits++;
    return &entry->heartbeat;
}

const struct bd_heartbeat *bd_heartbeat_cache_read(struct bd_heartbeat_cache *cache,
                                                   const char *text, size_t len)
{
    struct bd_heartbeat_seq seq;
    release_uncached(cache);
    cache->total++;
    if (!text || !bd_wire_find_heartbeat_seq(text, len, &seq))
        return read_uncached(cache, text, len) ? &cache->uncached : NULL;
    struct entry *entry = find_entry(cache, text, seq.offset);
    const char *tail = text + seq.offset + seq.len;
    size_t tail_len = len - seq.offset - seq.len;
    if (entry && entry->tail_len == tail_len && memcmp(entry->tail, tail, tail_len) == 0)
        return reuse_entry(cache, entry, seq.value);
    if (entry)
        free_entry(cache, entry);
    if (!read_uncached(cache, text, len))
        return NULL;
    entry = cache->uncached.seq == seq.value ? add_entry(cache, text, len, &seq) : NULL;
    return entry ? &entry->heartbeat : &cache->uncached;
}

void bd_heartbeat_cache_take_counts(struct bd_heartbeat_cache *cache, uint32_t *total,
                                    uint32_t *hits)
{
    *total = cache->total;
    *hits = cache->hits;
    cache->total = 0;
    cache->hits = 0;
}
