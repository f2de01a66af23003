/* What passes between controllers: frames of packed fields, big-endian.
 *
 *   magic u32 "BDM1", version u8, type u8, zero u16, length u32 of what follows
 *   status (1):   name (u8 length, bytes), term u64, flags u8, age u32 (ms since the state
 *                 service last answered), at u64 (its time of day in ms)
 *   progress (2): count u16, then per job: id (u8 length, bytes), done u32, running u32
 *   report (3):   id u64, sender's name (u8 length, bytes), a worker's report (u32 length, bytes)
 *   answer (4):   id u64, status u16, the answer to it (u32 length, bytes)
 *   cancelled (5): a job's id (u32 length, bytes); only to peers whose status has
 * BD_PEER_READS_CANCELLATIONS */
#ifndef BD_FRAME_H
#define BD_FRAME_H
#include "wire/wire.h"
#include <stddef.h>
#include <stdint.h>

#define BD_FRAME_HEAD 12u
#define BD_FRAME_MAX 70000u
#define BD_FRAME_JOBS 96u

enum bd_frame_type {
    BD_FRAME_STATUS = 1,
    BD_FRAME_PROGRESS = 2,
    BD_FRAME_HEARTBEAT = 3,
    BD_FRAME_ANSWER = 4,
    BD_FRAME_CANCELLED = 5
};
enum {
    BD_PEER_LEADS = 1,
    BD_PEER_KV_REACHABLE = 2,      /* the state service answers it */
    BD_PEER_INBOUND_PARTITION = 4, /* as leader: most workers are silent to it */
    BD_PEER_HEARS_LEADER = 8,      /* it hears the leader */
    BD_PEER_KV_LOST = 16,          /* it has not been in touch with the state service for a while */
    BD_PEER_KNOWS_DAG =
        32, /* it knows what a job may wait for; versions before that ignore the bit */
    BD_PEER_READS_CANCELLATIONS = 64, /* it reads frames of confirmed cancellations; likewise */
    BD_PEER_KNOWS_DRAINS = 128        /* it drains machines within budgets; likewise */
};

struct bd_progress {
    char id[BD_ID];
    uint32_t done, running;
};

struct bd_frame {
    enum bd_frame_type type;
    char name[BD_LABEL];
    uint64_t term;
    uint8_t flags;
    uint32_t age_ms;
    uint64_t at_ms;
    uint64_t id;
    uint16_t status;
    const char *text; /* of a frame that was read: inside the buffer, not terminated */
    uint32_t len;
    uint16_t count;
    struct bd_progress jobs[BD_FRAME_JOBS]; /* last, so that a copy may end after the ones used */
};

/* no fewer bytes than the frame takes */
size_t bd_frame_bytes(const struct bd_frame *frame);
/* bytes written, 0 if it does not fit */
size_t bd_frame_write(const struct bd_frame *frame, unsigned char *buf, size_t cap);
/* bytes taken; 0: more is needed; -1: not a frame, the connection must end */
long bd_frame_read(const unsigned char *buf, size_t len, struct bd_frame *frame);
#endif
