/* Effects: what the core wants done by the adapters, in the order in which it was decided.
 *
 * Owns the list core->first_effect..last. Emitted by all of the core, taken and carried out by the
 * runtime. */
#ifndef BD_EFFECT_H
#define BD_EFFECT_H
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* What a request is to the core: the API server's own, or one that another controller forwarded.
 * Both begin alike, so that a reply finds its way. */
struct bd_request_origin {
    bool is_forwarded;
    int peer;    /* that forwarded it */
    uint64_t id; /* by which that peer knows it */
};

enum bd_effect_kind {
    BD_EFFECT_REPLY,
    BD_EFFECT_USER_TXN,
    BD_EFFECT_LEADER_TXN,
    BD_EFFECT_DIRECT_COMMAND,
    BD_EFFECT_SCALE_OUT,
    BD_EFFECT_SCALE_IN,
    BD_EFFECT_READ_BARRIER,
    BD_EFFECT_STEP_DOWN, /* the term is over */
    BD_EFFECT_DELEGATE_TXN,
    BD_EFFECT_JOB_LOOKUP,           /* reads one job's record: key is its id */
    BD_EFFECT_FORWARD_HEARTBEAT,    /* to the leader */
    BD_EFFECT_FORWARD_REPLY,        /* to the peer that forwarded the heartbeat */
    BD_EFFECT_ANNOUNCE_CANCELLATION /* a cancellation was confirmed: key is the job's id */
};

enum bd_step_down_reason {
    BD_STEP_DOWN_LEASE_LOST,
    BD_STEP_DOWN_RESIGNED /* the grant is still valid and is to be ended */
};

/* Instead of a direct command's HTTP status: it was still queued here when its deadline passed, and
 * was not sent. */
#define BD_DIRECT_NOT_SENT (-1L)

/* Which fields are set depends on the kind; those of the kinds in brackets. */
struct bd_effect {
    enum bd_effect_kind kind;
    void *request; /* [REPLY, USER_TXN, JOB_LOOKUP] */
    union {
        int status;                                /* [REPLY, FORWARD_REPLY] HTTP status */
        enum bd_read_purpose purpose;              /* [USER_TXN, JOB_LOOKUP] */
        enum bd_step_down_reason step_down_reason; /* [STEP_DOWN] */
    };
    int retry_after_s;             /* [REPLY] seconds; 0: none */
    char key[BD_LABEL_BYTES];      /* [LEADER_TXN] the term; see the other kinds */
    char *body;                    /* owned; NULL: none */
    char addr[BD_LABEL_BYTES];     /* [DIRECT_COMMAND] */
    uint64_t fencing_token;        /* [DIRECT_COMMAND] */
    struct timespec send_deadline; /* [DIRECT_COMMAND] deadline for sending, by our steady clock */
    uint32_t machine;              /* [DIRECT_COMMAND] */
    bool has_launches;             /* [DIRECT_COMMAND] launches are among the commands */
    uint64_t sequence;             /* [LEADER_TXN] */
    uint64_t forward_id;           /* [FORWARD_HEARTBEAT, FORWARD_REPLY] */
    int peer;                      /* [FORWARD_HEARTBEAT, FORWARD_REPLY] the receiver */
    struct bd_effect *next;
};

struct bd_core;

/* Appends an effect, which the caller fills in; the core owns it until it is taken. Never NULL:
 * without memory the process ends, and the key-value store has all that matters. */
struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind);
/* Replies to a request of a user, a worker or a peer. Takes body over. retry_after_s: 0 for none.
 */
void bd_effect_reply(struct bd_core *core, void *request, int status, char *body,
                     int retry_after_s);
/* Replies with {"error": WHY}. */
void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after_s);
/* Takes the list of all effects that were emitted. The caller frees each. */
struct bd_effect *bd_effects_take(struct bd_core *core);
void bd_effect_free(struct bd_effect *effect);
#endif
