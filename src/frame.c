#include "brambledoor/frame.h"
#include <string.h>

#define MAGIC 0x42444d31u
#define VERSION 2u
#define FIELDS_MOST 128u /* bytes of a frame beside its jobs and its text */

struct out {
    unsigned char *p;
    size_t len, cap;
    int bad;
};

static void put(struct out *o, uint64_t v, size_t bytes)
{
    if (o->len + bytes > o->cap) {
        o->bad = 1;
        return;
    }
    for (size_t i = 0; i < bytes; i++)
        o->p[o->len + i] = (unsigned char)(v >> (8 * (bytes - 1 - i)));
    o->len += bytes;
}

static void put_text(struct out *o, const char *s)
{
    size_t n = strlen(s);
    put(o, n, 1);
    if (n > 255 || o->bad || o->len + n > o->cap) {
        o->bad = 1;
        return;
    }
    memcpy(o->p + o->len, s, n);
    o->len += n;
}

static void put_bytes(struct out *o, const char *s, size_t n)
{
    put(o, n, 4);
    if (o->bad || o->len + n > o->cap) {
        o->bad = 1;
        return;
    }
    memcpy(o->p + o->len, s, n);
    o->len += n;
}

static void put_body(struct out *o, const struct bd_frame *f)
{
    switch (f->type) {
    case BD_FRAME_STATUS:
        put_text(o, f->name);
        put(o, f->term, 8);
        put(o, f->flags, 1);
        put(o, f->age_ms, 4);
        put(o, f->at_ms, 8);
        break;
    case BD_FRAME_PROGRESS:
        put(o, f->count, 2);
        for (unsigned i = 0; i < f->count; i++) {
            put_text(o, f->jobs[i].id);
            put(o, f->jobs[i].done, 4);
            put(o, f->jobs[i].running, 4);
        }
        break;
    case BD_FRAME_REPORT:
        put(o, f->id, 8);
        put_text(o, f->name);
        put_bytes(o, f->text, f->len);
        break;
    case BD_FRAME_ANSWER:
        put(o, f->id, 8);
        put(o, f->status, 2);
        put_bytes(o, f->text, f->len);
        break;
    case BD_FRAME_CANCELLED:
        put_bytes(o, f->text, f->len);
        break;
    }
}

size_t bd_frame_bytes(const struct bd_frame *f)
{
    return BD_FRAME_HEAD + FIELDS_MOST + f->count * sizeof f->jobs[0] + f->len;
}

size_t bd_frame_write(const struct bd_frame *f, unsigned char *buf, size_t cap)
{
    struct out o = {buf, 0, cap < BD_FRAME_MOST ? cap : BD_FRAME_MOST, 0};
    put(&o, MAGIC, 4);
    put(&o, VERSION, 1);
    put(&o, f->type, 1);
    put(&o, 0, 2);
    put(&o, 0, 4);
    put_body(&o, f);
    if (o.bad)
        return 0;
    struct out head = {buf + 8, 0, 4, 0};
    put(&head, o.len - BD_FRAME_HEAD, 4);
    return o.len;
}

struct in {
    const unsigned char *p;
    size_t len, at;
    int bad;
};

static uint64_t get(struct in *i, size_t bytes)
{
    uint64_t v = 0;
    if (i->at + bytes > i->len) {
        i->bad = 1;
        return 0;
    }
    for (size_t k = 0; k < bytes; k++)
        v = v << 8 | i->p[i->at + k];
    i->at += bytes;
    return v;
}

static void get_text(struct in *i, char *out, size_t cap)
{
    size_t n = (size_t)get(i, 1);
    out[0] = '\0';
    if (i->bad || n >= cap || i->at + n > i->len || memchr(i->p + i->at, 0, n)) {
        i->bad = 1;
        return;
    }
    memcpy(out, i->p + i->at, n);
    out[n] = '\0';
    i->at += n;
}

static void read_progress(struct in *i, struct bd_frame *f)
{
    f->count = (uint16_t)get(i, 2);
    if (f->count > BD_FRAME_JOBS)
        i->bad = 1;
    for (unsigned k = 0; k < f->count && !i->bad; k++) {
        get_text(i, f->jobs[k].id, sizeof f->jobs[k].id);
        f->jobs[k].done = (uint32_t)get(i, 4);
        f->jobs[k].running = (uint32_t)get(i, 4);
    }
}

static void get_bytes(struct in *i, struct bd_frame *f)
{
    f->len = (uint32_t)get(i, 4);
    if (i->bad || f->len > i->len - i->at) {
        i->bad = 1;
        f->len = 0;
        return;
    }
    f->text = (const char *)i->p + i->at;
    i->at += f->len;
}

static void get_body(struct in *i, struct bd_frame *f)
{
    switch (f->type) {
    case BD_FRAME_STATUS:
        get_text(i, f->name, sizeof f->name);
        f->term = get(i, 8);
        f->flags = (uint8_t)get(i, 1);
        f->age_ms = (uint32_t)get(i, 4);
        f->at_ms = get(i, 8);
        break;
    case BD_FRAME_PROGRESS:
        read_progress(i, f);
        break;
    case BD_FRAME_REPORT:
        f->id = get(i, 8);
        get_text(i, f->name, sizeof f->name);
        get_bytes(i, f);
        break;
    case BD_FRAME_ANSWER:
        f->id = get(i, 8);
        f->status = (uint16_t)get(i, 2);
        get_bytes(i, f);
        break;
    case BD_FRAME_CANCELLED:
        get_bytes(i, f);
        break;
    }
}

long bd_frame_read(const unsigned char *buf, size_t len, struct bd_frame *f)
{
    struct in head = {buf, len < BD_FRAME_HEAD ? len : BD_FRAME_HEAD, 0, 0};
    memset(f, 0, sizeof *f);
    if (len < BD_FRAME_HEAD)
        return 0;
    uint64_t magic = get(&head, 4), version = get(&head, 1), type = get(&head, 1);
    uint64_t zero = get(&head, 2);
    size_t body = (size_t)get(&head, 4);
    if (magic != MAGIC || version != VERSION || zero || body + BD_FRAME_HEAD > BD_FRAME_MOST ||
        type < BD_FRAME_STATUS || type > BD_FRAME_CANCELLED)
        return -1;
    if (len < BD_FRAME_HEAD + body)
        return 0;
    struct in i = {buf + BD_FRAME_HEAD, body, 0, 0};
    f->type = (enum bd_frame_type)type;
    get_body(&i, f);
    if (i.bad || i.at != body)
        return -1;
    return (long)(BD_FRAME_HEAD + body);
}
