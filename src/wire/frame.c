#include "wire/frame.h"
#include <stdbool.h>
#include <string.h>

#define MAGIC 0x42444d31u
#define VERSION 2u
#define HEADER_BYTES 12u
#define LENGTH_OFFSET 8u /* position of the body length in the header */
#define LENGTH_BYTES 4u
#define FIXED_FIELDS_BYTES_MAX 128u /* body without its jobs and its text */
#define SHORT_TEXT_BYTES_MAX 255u   /* the length is encoded in one byte */

/* ---- writing ---- */

/* Appends fields. Once a field does not fit, has_failed is set and the frame is discarded. */
struct frame_writer {
    unsigned char *bytes;
    size_t len, capacity;
    bool has_failed;
};

static void write_unsigned(struct frame_writer *writer, uint64_t value, size_t bytes)
{
    if (writer->len + bytes > writer->capacity) {
        writer->has_failed = true;
        return;
    }
    for (size_t i = 0; i < bytes; i++)
        writer->bytes[writer->len + i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
    writer->len += bytes;
}

static void write_bytes(struct frame_writer *writer, const char *bytes, size_t len)
{
    if (writer->has_failed || writer->len + len > writer->capacity) {
        writer->has_failed = true;
        return;
    }
    memcpy(writer->bytes + writer->len, bytes, len);
    writer->len += len;
}

static void write_short_text(struct frame_writer *writer, const char *text)
{
    size_t len = strlen(text);
    if (len > SHORT_TEXT_BYTES_MAX)
        writer->has_failed = true;
    write_unsigned(writer, len, 1);
    write_bytes(writer, text, len);
}

static void write_long_text(struct frame_writer *writer, const char *text, size_t len)
{
    write_unsigned(writer, len, LENGTH_BYTES);
    write_bytes(writer, text, len);
}

static void write_progress(struct frame_writer *writer, const struct bd_frame *frame)
{
    write_unsigned(writer, frame->count, 2);
    for (unsigned i = 0; i < frame->count; i++) {
        write_short_text(writer, frame->jobs[i].id);
        write_unsigned(writer, frame->jobs[i].done, 4);
        write_unsigned(writer, frame->jobs[i].running, 4);
    }
}

static void write_body(struct frame_writer *writer, const struct bd_frame *frame)
{
    switch (frame->type) {
    case BD_FRAME_PEER_STATUS:
        write_short_text(writer, frame->sender);
        write_unsigned(writer, frame->term, 8);
        write_unsigned(writer, frame->flags, 1);
        write_unsigned(writer, frame->kv_age_ms, 4);
        write_unsigned(writer, frame->wall_clock_ms, 8);
        break;
    case BD_FRAME_JOB_PROGRESS:
        write_progress(writer, frame);
        break;
    case BD_FRAME_HEARTBEAT:
        write_unsigned(writer, frame->heartbeat_id, 8);
        write_short_text(writer, frame->sender);
        write_long_text(writer, frame->text, frame->len);
        break;
    case BD_FRAME_HEARTBEAT_REPLY:
        write_unsigned(writer, frame->heartbeat_id, 8);
        write_unsigned(writer, frame->status, 2);
        write_long_text(writer, frame->text, frame->len);
        break;
    case BD_FRAME_CANCELLATION:
        write_long_text(writer, frame->text, frame->len);
        break;
    }
}

size_t bd_frame_bytes_max(const struct bd_frame *frame)
{
    return HEADER_BYTES + FIXED_FIELDS_BYTES_MAX + frame->count * sizeof frame->jobs[0] +
           frame->len;
}

size_t bd_frame_write(const struct bd_frame *frame, unsigned char *buf, size_t capacity)
{
    struct frame_writer writer = {
        buf, 0, capacity < BD_FRAME_BYTES_MAX ? capacity : BD_FRAME_BYTES_MAX, false};
    write_unsigned(&writer, MAGIC, 4);
    write_unsigned(&writer, VERSION, 1);
    write_unsigned(&writer, frame->type, 1);
    write_unsigned(&writer, 0, 2);
    write_unsigned(&writer, 0, LENGTH_BYTES); /* placeholder for the body length */
    write_body(&writer, frame);
    if (writer.has_failed)
        return 0;
    struct frame_writer length = {buf + LENGTH_OFFSET, 0, LENGTH_BYTES, false};
    write_unsigned(&length, writer.len - HEADER_BYTES, LENGTH_BYTES);
    return writer.len;
}

/* ---- reading ---- */

/* Reads fields in sequence. Once a field is missing or invalid, has_failed is set and the frame is
 * rejected. */
struct frame_reader {
    const unsigned char *bytes;
    size_t len, position;
    bool has_failed;
};

static uint64_t read_unsigned(struct frame_reader *reader, size_t bytes)
{
    uint64_t value = 0;
    if (reader->position + bytes > reader->len) {
        reader->has_failed = true;
        return 0;
    }
    for (size_t i = 0; i < bytes; i++)
        value = value << 8 | reader->bytes[reader->position + i];
    reader->position += bytes;
    return value;
}

/* Fails if the text does not fit into `out` of `size` bytes or contains a zero byte. */
static void read_short_text(struct frame_reader *reader, char *out, size_t size)
{
    size_t len = (size_t)read_unsigned(reader, 1);
    const unsigned char *text = reader->bytes + reader->position;
    out[0] = '\0';
    if (reader->has_failed || len >= size || len > reader->len - reader->position ||
        memchr(text, 0, len)) {
        reader->has_failed = true;
        return;
    }
    memcpy(out, text, len);
    out[len] = '\0';
    reader->position += len;
}

static void read_long_text(struct frame_reader *reader, struct bd_frame *frame)
{
    frame->len = (uint32_t)read_unsigned(reader, LENGTH_BYTES);
    if (reader->has_failed || frame->len > reader->len - reader->position) {
        reader->has_failed = true;
        frame->len = 0;
        return;
    }
    frame->text = (const char *)reader->bytes + reader->position;
    reader->position += frame->len;
}

static void read_progress(struct frame_reader *reader, struct bd_frame *frame)
{
    frame->count = (uint16_t)read_unsigned(reader, 2);
    if (frame->count > BD_FRAME_JOBS_MAX)
        reader->has_failed = true;
    for (unsigned i = 0; i < frame->count && !reader->has_failed; i++) {
        read_short_text(reader, frame->jobs[i].id, sizeof frame->jobs[i].id);
        frame->jobs[i].done = (uint32_t)read_unsigned(reader, 4);
        frame->jobs[i].running = (uint32_t)read_unsigned(reader, 4);
    }
}

static void read_body(struct frame_reader *reader, struct bd_frame *frame)
{
    switch (frame->type) {
    case BD_FRAME_PEER_STATUS:
        read_short_text(reader, frame->sender, sizeof frame->sender);
        frame->term = read_unsigned(reader, 8);
        frame->flags = (uint8_t)read_unsigned(reader, 1);
        frame->kv_age_ms = (uint32_t)read_unsigned(reader, 4);
        frame->wall_clock_ms = read_unsigned(reader, 8);
        break;
    case BD_FRAME_JOB_PROGRESS:
        read_progress(reader, frame);
        break;
    case BD_FRAME_HEARTBEAT:
        frame->heartbeat_id = read_unsigned(reader, 8);
        read_short_text(reader, frame->sender, sizeof frame->sender);
        read_long_text(reader, frame);
        break;
    case BD_FRAME_HEARTBEAT_REPLY:
        frame->heartbeat_id = read_unsigned(reader, 8);
        frame->status = (uint16_t)read_unsigned(reader, 2);
        read_long_text(reader, frame);
        break;
    case BD_FRAME_CANCELLATION:
        read_long_text(reader, frame);
        break;
    }
}

/* Returns false if the header is invalid or of another protocol version. */
static bool read_header(const unsigned char *buf, enum bd_frame_type *type, size_t *body_len)
{
    struct frame_reader reader = {buf, HEADER_BYTES, 0, false};
    uint64_t magic = read_unsigned(&reader, 4);
    uint64_t version = read_unsigned(&reader, 1);
    uint64_t type_code = read_unsigned(&reader, 1);
    uint64_t zero = read_unsigned(&reader, 2);
    *body_len = (size_t)read_unsigned(&reader, LENGTH_BYTES);
    if (magic != MAGIC || version != VERSION || zero != 0)
        return false;
    if (type_code < BD_FRAME_PEER_STATUS || type_code > BD_FRAME_CANCELLATION)
        return false;
    *type = (enum bd_frame_type)type_code;
    return HEADER_BYTES + *body_len <= BD_FRAME_BYTES_MAX;
}

long bd_frame_read(const unsigned char *buf, size_t len, struct bd_frame *frame)
{
    size_t body_len = 0;
    memset(frame, 0, sizeof *frame);
    if (len < HEADER_BYTES)
        return 0;
    enum bd_frame_type type = BD_FRAME_PEER_STATUS;
    if (!read_header(buf, &type, &body_len))
        return -1;
    if (len < HEADER_BYTES + body_len)
        return 0;
    struct frame_reader reader = {buf + HEADER_BYTES, body_len, 0, false};
    frame->type = type;
    read_body(&reader, frame);
    if (reader.has_failed || reader.position != body_len)
        return -1;
    return (long)(HEADER_BYTES + body_len);
}
