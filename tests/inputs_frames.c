/* Frames between controllers: malformed ones, and those that the version in production wrote. */
#include "inputs.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A status frame is read back as written. If it is truncated at any byte, the reader
 * waits for more bytes. */
static void check_status_frame(struct bd_frame *written, struct bd_frame *read)
{
    unsigned char bytes[BD_FRAME_BYTES_MAX];
    written->type = BD_FRAME_PEER_STATUS;
    snprintf(written->sender, sizeof written->sender, "node-7");
    written->term = 0x0102030405060708u;
    written->flags = BD_PEER_KV_REACHABLE;
    written->kv_age_ms = 1500;
    size_t length = bd_frame_write(written, bytes, sizeof bytes);
    inputs_check(length > 0 && bd_frame_read(bytes, length, read) == (long)length &&
                     strcmp(read->sender, "node-7") == 0 && read->term == written->term &&
                     read->flags == written->flags && read->kv_age_ms == 1500,
                 "a status frame is read as written");
    for (size_t i = 0; i < length; i++)
        inputs_check(bd_frame_read(bytes, i, read) == 0, "a truncated frame is incomplete");
    inputs_check(bd_frame_write(written, bytes, 16) == 0,
                 "a frame that does not fit is not written");
}

/* Flips each bit in turn. The reader must never use more bytes than the frame has. */
static void check_corrupted_frames(unsigned char *bytes, size_t length, struct bd_frame *read)
{
    int refused = 0;
    for (size_t i = 0; i < length; i++) {
        for (unsigned bit = 0; bit < 8; bit++) {
            bytes[i] ^= (unsigned char)(1u << bit);
            long used = bd_frame_read(bytes, length, read);
            inputs_check(used <= (long)length &&
                             read->count <= BD_FRAME_JOBS_MAX + 0u + (used < 0 ? 65535u : 0u),
                         "a corrupted frame is read within its bounds");
            refused += used < 0;
            bytes[i] ^= (unsigned char)(1u << bit);
        }
    }
    inputs_check(refused > 50, "more than 50 corrupted frames are refused");
    bytes[8] = 0xff;
    inputs_check(bd_frame_read(bytes, length, read) == -1,
                 "a frame over the maximum length is refused without waiting for its bytes");
}

static void check_progress_frame(struct bd_frame *written, struct bd_frame *read)
{
    unsigned char bytes[BD_FRAME_BYTES_MAX];
    written->type = BD_FRAME_JOB_PROGRESS;
    written->count = 2;
    snprintf(written->jobs[0].id, BD_JOB_ID_BYTES, "job-1");
    written->jobs[0].done = 3;
    snprintf(written->jobs[1].id, BD_JOB_ID_BYTES, "job-22");
    written->jobs[1].running = 100000;
    size_t length = bd_frame_write(written, bytes, sizeof bytes);
    inputs_check(length > 0 && bd_frame_read(bytes, length, read) == (long)length &&
                     read->count == 2 && read->jobs[0].done == 3 &&
                     strcmp(read->jobs[1].id, "job-22") == 0 && read->jobs[1].running == 100000,
                 "a progress frame is read as written");
    check_corrupted_frames(bytes, length, read);
}

static void check_text_frames(struct bd_frame *written, struct bd_frame *read)
{
    unsigned char bytes[BD_FRAME_BYTES_MAX];
    written->type = BD_FRAME_CANCELLATION;
    written->text = "job-23";
    written->len = 6;
    size_t length = bd_frame_write(written, bytes, sizeof bytes);
    inputs_check(length > 0 && bd_frame_read(bytes, length, read) == (long)length &&
                     read->len == 6 && memcmp(read->text, "job-23", 6) == 0,
                 "a cancellation frame is read as written");
    written->type = BD_FRAME_HEARTBEAT_REPLY;
    written->heartbeat_id = 77;
    written->status = 421;
    written->text = "{\"steward\":\"node-1\"}";
    written->len = (uint32_t)strlen(written->text);
    length = bd_frame_write(written, bytes, sizeof bytes);
    inputs_check(length > 0 && bd_frame_read(bytes, length, read) == (long)length &&
                     read->heartbeat_id == 77 && read->status == 421 && read->len == written->len &&
                     memcmp(read->text, written->text, written->len) == 0,
                 "a heartbeat reply frame is read as written");
    bytes[12 + 8 + 2 + 3]++; /* the text's length now exceeds the frame */
    inputs_check(bd_frame_read(bytes, length, read) == -1,
                 "a text longer than its frame is refused");
}

void inputs_frames(void)
{
    struct bd_frame *written = calloc(1, sizeof *written), *read = calloc(1, sizeof *read);
    if (!written || !read)
        abort();
    check_status_frame(written, read);
    check_progress_frame(written, read);
    check_text_frames(written, read);
    free(written);
    free(read);
}

void inputs_production(const char *directory)
{
    char path[512];
    unsigned char bytes[8192];
    struct bd_job_record record;
    struct bd_frame *frame = calloc(1, sizeof *frame);
    int jobs[3] = {0}, intents = 0, frames = 0;
    json_t *value;
    const char *key;
    snprintf(path, sizeof path, "%s/production-records.json", directory);
    json_t *all = json_load_file(path, 0, NULL);
    json_object_foreach(all, key, value)
    {
        intents += strncmp(key, "i/", 2) == 0;
        if (strncmp(key, "j/", 2) != 0)
            continue;
        bool ok = bd_wire_read_job_record(value, &record);
        inputs_check(ok && !record.parents.ids && !record.parents.part_count &&
                         !record.parents.is_unreadable && record.ended_at == 0,
                     key);
        jobs[ok ? record.state : 0]++;
    }
    inputs_check(jobs[BD_JOB_ACTIVE] == 2 && jobs[BD_JOB_DONE] == 1 &&
                     jobs[BD_JOB_CANCELLED] == 1 && intents > 0,
                 "the records of the version in production have the expected states");
    json_decref(all);
    snprintf(path, sizeof path, "%s/production-frames.bin", directory);
    FILE *file = fopen(path, "rb");
    size_t length = file ? fread(bytes, 1, sizeof bytes, file) : 0, offset = 0;
    if (file)
        (void)fclose(file);
    for (long used = 1; used > 0 && offset < length; offset += (size_t)(used > 0 ? used : 0)) {
        used = bd_frame_read(bytes + offset, length - offset, frame);
        inputs_check(used >= 0 && (used == 0 || frame->type != BD_FRAME_PEER_STATUS ||
                                   (strcmp(frame->sender, "node-0") == 0 &&
                                    !(frame->flags & BD_PEER_SUPPORTS_DEPENDENCIES))),
                     "a frame of the version in production is read");
        frames += used > 0;
    }
    inputs_check(
        frames > 5 && length - offset < 100,
        "more than 5 frames of the version in production are read, and under 100 bytes are left");
    free(frame);
}
