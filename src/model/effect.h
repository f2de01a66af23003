/* What the core wants done, for the adapters. */
#ifndef BD_EFFECT_H
#define BD_EFFECT_H
#include "wire/wire.h"

/* What a request is to the core: the API server's own, or one that another controller passed on.
 * Both begin alike, so that a reply finds its way. */
struct bd_remote {
    bool remote;
    int peer;
    uint64_t id;
};

enum bd_effect_kind {
    BD_EFFECT_REPLY,
    BD_EFFECT_USER_TXN,
    BD_EFFECT_LEADER_TXN,
    BD_EFFECT_DIRECT_COMMAND,
    BD_EFFECT_SCALE_OUT,
    BD_EFFECT_SCALE_IN,
    BD_EFFECT_READ_BARRIER,
    BD_EFFECT_STEP_DOWN, /* the term is over; status: BD_LOST_... */
    BD_EFFECT_DELEGATE_TXN,
    BD_EFFECT_JOB_LOOKUP, /* one job's record: request, key is the id, status is how it was asked */
    BD_EFFECT_FORWARD_HEARTBEAT,    /* a report to the leader */
    BD_EFFECT_FORWARD_REPLY,        /* the answer to a forwarded one */
    BD_EFFECT_ANNOUNCE_CANCELLATION /* a cancellation was confirmed: key is the job's id */
};

enum {
    BD_STEP_DOWN_LEASE_LOST,
    BD_STEP_DOWN_RESIGNED
}; /* given up: the grant still lives and is to be ended */

/* Instead of a direct command's HTTP status: it was still in our own queue when the right to it was
 * over, and was not sent. Nothing of it is on its way. */
#define BD_DIRECT_NOT_SENT (-1L)

struct bd_effect {
    enum bd_effect_kind kind;
    void *request;   /* REPLY, USER_COMMIT */
    int status;      /* REPLY; USER_COMMIT, LOOKUP: how it was asked */
    int retry_after; /* REPLY: 0 none */
    char key[BD_LABEL];
    char *body;
    char addr[BD_LABEL];    /* DO */
    uint64_t fencing_token; /* DO */
    struct timespec until;  /* DO: by our steady clock; later the right to it may be over */
    uint32_t machine;       /* DO */
    bool launch;            /* DO: launches are among the commands */
    uint64_t sequence;      /* COMMIT; key is the term */
    uint64_t forward_id;    /* FORWARD, ANSWER */
    int peer;               /* FORWARD, ANSWER: to whom */
    struct bd_effect *next;
};

struct bd_core;

/* Appends an effect to those that the core asks for. The caller fills it in. Never NULL: without
 * memory the process ends, and the key-value store has all that matters. */
struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind);
/* Replies to a request of a user, a worker or a peer. Takes the body over; retry_after in seconds,
 * 0: none. */
void bd_effect_reply(struct bd_core *core, void *request, int status, char *body, int retry_after);
/* ... with {"error": WHY}. */
void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after);
/* Takes the list of effects that were emitted; the caller frees each. */
struct bd_effect *bd_effects_take(struct bd_core *core);
void bd_effect_free(struct bd_effect *effect);
#endif
