/* Effects: the actions that the core requests of the adapters, in the order of the decisions.
 *
 * Owns the list from core->first_effect to core->last_effect. All of the core emits effects; the
 * runtime takes them and carries them out. */
#ifndef BD_EFFECT_H
#define BD_EFFECT_H
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Where a request came from: this controller's API server, or another controller that forwarded it.
 * Every request starts with this struct, so that the reply can be routed. */
struct bd_request_origin {
    bool is_forwarded; /* the other fields are set only then */
    int peer;          /* index of the peer that forwarded it */
    uint64_t id;       /* that peer's id for it */
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
    /* writes this controller's delegate record; body NULL: reads the record's revision */
    BD_EFFECT_DELEGATE_TXN,
    BD_EFFECT_JOB_LOOKUP,           /* reads a job's record */
    BD_EFFECT_FORWARD_HEARTBEAT,    /* to the leader */
    BD_EFFECT_FORWARD_REPLY,        /* to the peer that forwarded the heartbeat */
    BD_EFFECT_ANNOUNCE_CANCELLATION /* a cancellation was confirmed */
};

enum bd_step_down_reason {
    BD_STEP_DOWN_LEASE_LOST,
    BD_STEP_DOWN_RESIGNED /* the grant is still valid and must be revoked */
};

/* Reported in place of a direct command's HTTP status: the command was still queued in this process
 * when its deadline passed, and was not sent. */
#define BD_DIRECT_NOT_SENT (-1L)

/* A field is set for the kinds that its comment lists in brackets. */
struct bd_effect {
    enum bd_effect_kind kind;
    /* [REPLY, USER_TXN, JOB_LOOKUP] the API request that is answered, or that waits for the
     * outcome; NULL: none (JOB_LOOKUP for the dependency graph) */
    void *request;
    union {
        int status;                                /* [REPLY, FORWARD_REPLY] HTTP status */
        enum bd_request_purpose purpose;           /* [USER_TXN, JOB_LOOKUP] what it is for */
        enum bd_step_down_reason step_down_reason; /* [STEP_DOWN] */
    };
    int retry_after_s; /* [REPLY] seconds; 0: none */
    /* [USER_TXN, JOB_LOOKUP, ANNOUNCE_CANCELLATION] the job's id; [LEADER_TXN] the term as it was
     * acquired; [SCALE_OUT] the provisioning request's id; [DELEGATE_TXN] the record's key in the
     * store */
    char key[BD_LABEL_BYTES];
    char *body;                    /* owned; NULL: none */
    char addr[BD_LABEL_BYTES];     /* [DIRECT_COMMAND] */
    uint64_t fencing_token;        /* [DIRECT_COMMAND] */
    struct timespec send_deadline; /* [DIRECT_COMMAND] by the monotonic clock */
    uint32_t machine;              /* [DIRECT_COMMAND] index of the receiver */
    bool has_launches;             /* [DIRECT_COMMAND] the commands include launches */
    uint64_t commit_sequence;      /* [LEADER_TXN] */
    uint64_t forward_id;           /* [FORWARD_HEARTBEAT, FORWARD_REPLY] */
    int peer;                      /* [FORWARD_HEARTBEAT, FORWARD_REPLY] the receiver */
    struct bd_effect *next;
};

struct bd_core;

/* Appends an effect for the caller to fill in. The core owns it until it is taken. Never NULL: if
 * out of memory, the process aborts; the key-value store holds all state that matters. */
struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind);
/* Replies to a request of a user, a worker or a peer. Takes ownership of body. retry_after_s: 0 for
 * none. */
void bd_effect_reply(struct bd_core *core, void *request, int status, char *body,
                     int retry_after_s);
/* Replies with {"error": WHY}. */
void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after_s);
/* Returns the list of all emitted effects and clears it. The caller frees each effect. */
struct bd_effect *bd_effects_take(struct bd_core *core);
void bd_effect_free(struct bd_effect *effect);
#endif
