#include "wire/frame.h"
#include <string.h>

#define MAGIC 0x42444d31u
#define VERSION 2u
#define FIELDS_MAX 128u /* bytes of a frame beside its jobs and its text */

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

static void put_body(struct out *o, const struct bd_frame *frame)
{
    switch (frame->type) {
    case BD_FRAME_STATUS:
        put_text(o, frame->name);
        put(o, frame->term, 8);
        put(o, frame->flags, 1);
        put(o, frame->age_ms, 4);
        put(o, frame->at_ms, 8);
        break;
    case BD_FRAME_PROGRESS:
        put(o, frame->count, 2);
        for (unsigned i = 0; i < frame->count; i++) {
            put_text(o, frame->jobs[i].id);
            put(o, frame->jobs[i].done, 4);
            put(o, frame->jobs[i].running, 4);
        }
        break;
    case BD_FRAME_HEARTBEAT:
        put(o, frame->id, 8);
        put_text(o, frame->name);
        put_bytes(o, frame->text, frame->len);
        break;
    case BD_FRAME_ANSWER:
        put(o, frame->id, 8);
        put(o, frame->status, 2);
        put_bytes(o, frame->text, frame->len);
        break;
    case BD_FRAME_CANCELLED:
        put_bytes(o, frame->text, frame->len);
        break;
    }
}

size_t bd_frame_bytes(const struct bd_frame *frame)
{
    return BD_FRAME_HEAD + FIELDS_MAX + frame->count * sizeof frame->jobs[0] + frame->len;
}

size_t bd_frame_write(const struct bd_frame *frame, unsigned char *buf, size_t cap)
{
    struct out o = {buf, 0, cap < BD_FRAME_MAX ? cap : BD_FRAME_MAX, 0};
    put(&o, MAGIC, 4);
    put(&o, VERSION, 1);
    put(&o, frame->type, 1);
    put(&o, 0, 2);
    put(&o, 0, 4);
    put_body(&o, frame);
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

static void read_progress(struct in *i, struct bd_frame *frame)
{
    frame->count = (uint16_t)get(i, 2);
    if (frame->count > BD_FRAME_JOBS)
        i->bad = 1;
    for (unsigned k = 0; k < frame->count && !i->bad; k++) {
        get_text(i, frame->jobs[k].id, sizeof frame->jobs[k].id);
        frame->jobs[k].done = (uint32_t)get(i, 4);
        frame->jobs[k].running = (uint32_t)get(i, 4);
    }
}

static void get_bytes(struct in *i, struct bd_frame *frame)
{
    frame->len = (uint32_t)get(i, 4);
    if (i->bad || frame->len > i->len - i->at) {
        i->bad = 1;
        frame->len = 0;
        return;
    }
    frame->text = (const char *)i->p + i->at;
    i->at += frame->len;
}

static void get_body(struct in *i, struct bd_frame *frame)
{
    switch (frame->type) {
    case BD_FRAME_STATUS:
        get_text(i, frame->name, sizeof frame->name);
        frame->term = get(i, 8);
        frame->flags = (uint8_t)get(i, 1);
        frame->age_ms = (uint32_t)get(i, 4);
        frame->at_ms = get(i, 8);
        break;
    case BD_FRAME_PROGRESS:
        read_progress(i, frame);
        break;
    case BD_FRAME_HEARTBEAT:
        frame->id = get(i, 8);
        get_text(i, frame->name, sizeof frame->name);
        get_bytes(i, frame);
        break;
    case BD_FRAME_ANSWER:
        frame->id = get(i, 8);
        frame->status = (uint16_t)get(i, 2);
        get_bytes(i, frame);
        break;
    case BD_FRAME_CANCELLED:
        get_bytes(i, frame);
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
    if (magic != MAGIC || version != VERSION || zero || body + BD_FRAME_HEAD > BD_FRAME_MAX ||
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
