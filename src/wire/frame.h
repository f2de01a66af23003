/* What passes between controllers over their TCP connections: frames of packed fields, big-endian.
 *
 * A frame is a header of 12 bytes and a body:
 *
 *   header: magic u32 "BDM1", version u8 (2), type u8, zero u16, length of the body u32
 *
 *   type                     body
 *   1 peer status            name short, term u64, flags u8, age u32 (ms since the key-value store
 *                            last answered), time of day u64 (ms)
 *   2 progress of jobs       count u16, then for each job: id short, done u32, running u32
 *   3 forwarded heartbeat    id u64, sender's name short, a worker's heartbeat long
 *   4 reply to a heartbeat   id u64, HTTP status u16, the reply's body long
 *   5 confirmed cancellation a job's id long; only to peers with
 * BD_PEER_SUPPORTS_CANCELLATION_FRAMES
 *
 * where "short" is a text with its length as u8 before it, "long" one with its length as u32.
 *
 * Pure functions; the adapters' peer transport and listener call them.
 */
#ifndef BD_FRAME_H
#define BD_FRAME_H
#include "wire/wire_limits.h"
#include <stddef.h>
#include <stdint.h>

#define BD_FRAME_BYTES_MAX 70000u /* bytes of a whole frame */
#define BD_FRAME_JOBS_MAX 96u     /* jobs in one progress frame */

/* The values are those on the wire. */
enum bd_frame_type {
    BD_FRAME_PEER_STATUS = 1,
    BD_FRAME_JOB_PROGRESS = 2,
    BD_FRAME_HEARTBEAT = 3,
    BD_FRAME_HEARTBEAT_REPLY = 4,
    BD_FRAME_CANCELLATION = 5
};

/* Bits of a peer status: what a controller is and sees, and which features its version has. A
 * version that does not know a bit ignores it. */
enum bd_peer_flag {
    BD_PEER_IS_LEADER = 1,
    BD_PEER_KV_REACHABLE = 2,           /* the key-value store answers it */
    BD_PEER_INBOUND_PARTITION = 4,      /* as leader: most workers' heartbeats do not arrive */
    BD_PEER_RECEIVES_LEADER_STATUS = 8, /* the leader's statuses arrive at it */
    BD_PEER_KV_OUTAGE = 16,             /* the key-value store has not answered it for a while */
    BD_PEER_SUPPORTS_DEPENDENCIES = 32, /* feature: jobs may have parents */
    BD_PEER_SUPPORTS_CANCELLATION_FRAMES =
        64,                       /* feature: reads frames of confirmed cancellations */
    BD_PEER_SUPPORTS_DRAINS = 128 /* feature: drains machines within disruption budgets */
};

/* Progress of a job as the leader counts it. */
struct bd_job_progress {
    char id[BD_JOB_ID_BYTES];
    uint32_t done;    /* tasks that have completed */
    uint32_t running; /* tasks that run now */
};

/* A frame of any type; its type says which fields are used, the others are zero after a read. */
struct bd_frame {
    enum bd_frame_type type;
    char sender[BD_LABEL_BYTES]; /* STATUS, HEARTBEAT: the sender */
    uint64_t term;               /* STATUS: the term in which the sender leads; 0: it does not */
    uint8_t flags;               /* STATUS: bits of enum bd_peer_flag */
    uint32_t kv_age_ms;          /* STATUS: since the key-value store last answered the sender */
    uint64_t wall_clock_ms;      /* STATUS: the sender's time of day, ms since the epoch */
    uint64_t heartbeat_id; /* HEARTBEAT: the sender's number for it; ANSWER: the number answered */
    uint16_t status;       /* ANSWER: HTTP status */
    const char *text;      /* HEARTBEAT, ANSWER: a body; CANCELLED: a job's id. Borrowed; of a frame
                            * that was read: inside the buffer, not terminated */
    uint32_t len;          /* bytes of `text` */
    uint16_t count;        /* PROGRESS: jobs used */
    struct bd_job_progress
        jobs[BD_FRAME_JOBS_MAX]; /* last, so that a copy may end after those used */
};

/* An upper bound of the bytes that the frame takes when written. */
size_t bd_frame_bytes_max(const struct bd_frame *frame);
/* Writes the frame into `buf` of `cap` bytes. Returns the bytes written; 0: it does not fit. */
size_t bd_frame_write(const struct bd_frame *frame, unsigned char *buf, size_t cap);
/* Reads the frame at the start of `buf`. Returns the bytes that it took; 0: it is incomplete, more
 * bytes are needed; -1: the bytes are no valid frame, the connection must end. `frame` is valid
 * only where the result is positive, and its text for as long as `buf`. */
long bd_frame_read(const unsigned char *buf, size_t len, struct bd_frame *frame);
#endif
