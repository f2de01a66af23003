#include "wire/heartbeat_cache.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A kept report: found by its text before the number, which names the machine and its session. */
struct entry {
    UT_hash_handle hh;
    struct bd_heartbeat heartbeat;
    size_t bytes; /* of this and all that belongs to it */
    size_t head, tail_len;
    const char *tail; /* after the number */
    char text[];      /* head and tail */
};

struct bd_heartbeat_cache {
    struct entry *entries; /* the least recently used first */
    size_t bytes, most_bytes;
    struct bd_heartbeat single; /* one that is not kept */
    bool has_single;
    uint32_t all, repeated;
};

struct bd_heartbeat_cache *bd_heartbeat_cache_new(size_t most_bytes)
{
    struct bd_heartbeat_cache *c = calloc(1, sizeof *c);
    if (c)
        c->most_bytes = most_bytes;
    return c;
}

static void drop_entry(struct bd_heartbeat_cache *c, struct entry *e)
{
    HASH_DEL(c->entries, e);
    c->bytes -= e->bytes;
    bd_wire_heartbeat_release(&e->heartbeat);
    free(e);
}

static void drop_single(struct bd_heartbeat_cache *c)
{
    if (c->has_single)
        bd_wire_heartbeat_release(&c->single);
    c->has_single = false;
}

void bd_heartbeat_cache_free(struct bd_heartbeat_cache *c)
{
    struct entry *e, *next;
    if (!c)
        return;
    HASH_ITER(hh, c->entries, e, next)
    {
        drop_entry(c, e);
    }
    drop_single(c);
    free(c);
}

static struct entry *find(struct bd_heartbeat_cache *c, const char *text, size_t head)
{
    struct entry *e = NULL;
    HASH_FIND(hh, c->entries, text, head, e);
    return e;
}

/* Moves the report of `c->single` into a new entry. NULL: it does not fit. */
static struct entry *keep(struct bd_heartbeat_cache *c, const char *text, size_t len,
                          const struct bd_heartbeat_number *number)
{
    size_t tail_at = number->at + number->len;
    size_t size = sizeof(struct entry) + len - number->len;
    size_t bytes = size + c->single.n * sizeof c->single.tasks[0];
    if (bytes > c->most_bytes)
        return NULL;
    while (c->entries && c->bytes + bytes > c->most_bytes)
        drop_entry(c, c->entries);
    struct entry *e = malloc(size);
    if (!e)
        return NULL;
    memset(e, 0, sizeof *e);
    e->heartbeat = c->single;
    e->bytes = bytes;
    e->head = number->at;
    e->tail_len = len - tail_at;
    memcpy(e->text, text, e->head);
    memcpy(e->text + e->head, text + tail_at, e->tail_len);
    e->tail = e->text + e->head;
    c->has_single = false;
    c->bytes += bytes;
    HASH_ADD_KEYPTR(hh, c->entries, e->text, e->head, e);
    return e;
}

static const struct bd_heartbeat *read_anew(struct bd_heartbeat_cache *c, const char *text,
                                            size_t len, const struct bd_heartbeat_number *number)
{
    json_t *o = text ? json_loadb(text, len, 0, NULL) : NULL;
    bool ok = o && bd_wire_heartbeat(o, &c->single);
    json_decref(o);
    c->has_single = ok;
    if (!ok)
        return NULL;
    struct entry *e = NULL;
    if (number && c->single.seq == number->value)
        e = keep(c, text, len, number);
    return e ? &e->heartbeat : &c->single;
}

const struct bd_heartbeat *bd_heartbeat_cache_read(struct bd_heartbeat_cache *c, const char *text,
                                                   size_t len)
{
    struct bd_heartbeat_number number;
    drop_single(c);
    c->all++;
    if (!text || !bd_wire_heartbeat_number(text, len, &number))
        return read_anew(c, text, len, NULL);
    struct entry *e = find(c, text, number.at);
    const char *tail = text + number.at + number.len;
    if (e && e->tail_len == len - number.at - number.len &&
        memcmp(e->tail, tail, e->tail_len) == 0) {
        HASH_DEL(c->entries, e); /* to the end: it is the most recently used */
        HASH_ADD_KEYPTR(hh, c->entries, e->text, e->head, e);
        e->heartbeat.seq = number.value;
        c->repeated++;
        return &e->heartbeat;
    }
    if (e)
        drop_entry(c, e);
    return read_anew(c, text, len, &number);
}

void bd_heartbeat_cache_counts(struct bd_heartbeat_cache *c, uint32_t *all, uint32_t *repeated)
{
    *all = c->all;
    *repeated = c->repeated;
    c->all = c->repeated = 0;
}
