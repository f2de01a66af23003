/* Binary frames that controllers exchange over TCP. All integers are big-endian.
 *
 * A frame consists of a header of 12 bytes and a body:
 *
 *   header: magic u32 "BDM1", version u8 (2), type u8, zero u16, body length in bytes u32
 *
 *   type                     body
 *   1 peer status            sender's name short, term u64, flags u8, age u32 (ms since the
 *                            key-value store last answered the sender), wall clock u64 (ms since
 *                            the epoch)
 *   2 job progress           count u16, then for each job: id short, done u32, running u32
 *   3 forwarded heartbeat    id u64, sender's name short, worker's heartbeat long
 *   4 heartbeat reply        id u64, HTTP status u16, reply body long
 *   5 confirmed cancellation job id long; sent only to peers with BD_PEER_SUPPORTS_CANCELLATIONS
 *
 * "short" is a string preceded by its length as u8, "long" one preceded by its length as u32.
 *
 * The functions are pure. The peer transport and the peer listener (adapters/) call them.
 */
#ifndef BD_FRAME_H
#define BD_FRAME_H
#include "wire/wire_limits.h"
#include <stddef.h>
#include <stdint.h>

#define BD_FRAME_BYTES_MAX 70000u /* header and body */
#define BD_FRAME_JOBS_MAX 96u     /* jobs in a job progress frame */

/* The values are part of the protocol. */
enum bd_frame_type {
    BD_FRAME_PEER_STATUS = 1,
    BD_FRAME_JOB_PROGRESS = 2,
    BD_FRAME_HEARTBEAT = 3,
    BD_FRAME_HEARTBEAT_REPLY = 4,
    BD_FRAME_CANCELLATION = 5
};

/* Flag bits of a peer status: the state of the sending controller and the features that its version
 * supports. Receivers ignore bits that they do not know. */
enum bd_peer_flag {
    BD_PEER_IS_LEADER = 1,
    BD_PEER_KV_REACHABLE = 2,            /* the key-value store answers the sender */
    BD_PEER_INBOUND_PARTITION = 4,       /* leader only: most workers' heartbeats do not arrive */
    BD_PEER_RECEIVES_LEADER_STATUS = 8,  /* peer statuses of the leader arrive at the sender */
    BD_PEER_KV_OUTAGE = 16,              /* follower only: sent no liveness record for 3 s */
    BD_PEER_SUPPORTS_DEPENDENCIES = 32,  /* feature: dependencies between jobs */
    BD_PEER_SUPPORTS_CANCELLATIONS = 64, /* feature: frames of confirmed cancellations */
    BD_PEER_SUPPORTS_DRAINS = 128        /* feature: drains machines within disruption budgets */
};

/* A job's task counts according to the leader. */
struct bd_job_progress {
    char id[BD_JOB_ID_BYTES];
    uint32_t done;    /* completed tasks */
    uint32_t running; /* running tasks */
};

/* A frame of any type. The capitals in a field's comment name the types that use the field, without
 * BD_FRAME_. After a read, unused fields are zero. */
struct bd_frame {
    enum bd_frame_type type;
    char sender[BD_LABEL_BYTES]; /* PEER_STATUS, HEARTBEAT: name of the sender */
    uint64_t term;               /* PEER_STATUS: the sender's term as leader; 0: not leader */
    uint8_t flags;               /* PEER_STATUS: bits of enum bd_peer_flag */
    uint32_t kv_age_ms;          /* PEER_STATUS: time since the store last answered the sender */
    uint64_t wall_clock_ms;      /* PEER_STATUS: the sender's wall clock, since the epoch */
    uint64_t heartbeat_id; /* HEARTBEAT: number given by the sender; HEARTBEAT_REPLY: that number */
    uint16_t status;       /* HEARTBEAT_REPLY: HTTP status */
    const char *text; /* HEARTBEAT, HEARTBEAT_REPLY: body; CANCELLATION: job id. Borrowed. After a
                         read it points into the buffer and is not terminated. */
    uint32_t len;     /* bytes of `text` */
    uint16_t count;   /* JOB_PROGRESS: entries used in `jobs` */
    struct bd_job_progress
        jobs[BD_FRAME_JOBS_MAX]; /* last field, so that copies may omit unused entries */
};

/* Returns an upper bound of the encoded size of the frame in bytes. */
size_t bd_frame_bytes_max(const struct bd_frame *frame);
/* Encodes the frame into `buf` of `capacity` bytes. Returns the bytes written, or 0 if the frame
 * does not fit. */
size_t bd_frame_write(const struct bd_frame *frame, unsigned char *buf, size_t capacity);
/* Decodes the frame at the start of `buf`. Returns the bytes consumed; 0 if the frame is
 * incomplete; -1 if it is invalid and the connection must be closed. `frame` is valid only if the
 * result is positive, and its text as long as `buf` is. */
long bd_frame_read(const unsigned char *buf, size_t len, struct bd_frame *frame);
#endif
