/* What passes between controllers: frames of packed fields, big-endian.
 *
 *   magic u32 "BDM1", version u8, type u8, length u16 of what follows
 *   status (1):   name (u8 length, bytes), term u64, flags u8, age u32 (ms since the state
 *                 service last answered)
 *   progress (2): count u16, then per job: id (u8 length, bytes), done u32, running u32 */
#ifndef BD_FRAME_H
#define BD_FRAME_H
#include "brambledoor/wire.h"
#include <stddef.h>
#include <stdint.h>

#define BD_FRAME_HEAD 8u
#define BD_FRAME_MOST 4096u
#define BD_FRAME_JOBS 96u

enum bd_frame_type { BD_FRAME_STATUS = 1, BD_FRAME_PROGRESS = 2 };
enum { BD_PEER_LEADS = 1, BD_PEER_STATE = 2 };

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
    uint16_t count;
    struct bd_progress jobs[BD_FRAME_JOBS];
};

/* bytes written, 0 if it does not fit */
size_t bd_frame_write(const struct bd_frame *f, unsigned char *out, size_t cap);
/* bytes taken; 0: more is needed; -1: not a frame, the connection must end */
long bd_frame_read(const unsigned char *in, size_t len, struct bd_frame *f);
#endif
