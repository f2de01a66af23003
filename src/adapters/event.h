/* Events: what the adapters hand to the owner thread, through its queue. */
#ifndef BD_EVENT_H
#define BD_EVENT_H
#include "model/leadership_state.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

struct bd_node;

enum bd_event_kind {
    BD_EVENT_USER_SUBMIT,
    BD_EVENT_USER_STATUS,
    BD_EVENT_USER_CANCEL,
    BD_EVENT_HEARTBEAT,
    BD_EVENT_USER_TXN_COMPLETED,
    BD_EVENT_REPLICA_REFRESHED,
    BD_EVENT_REPLICA_LISTED,
    BD_EVENT_LEADER_OBSERVED,
    BD_EVENT_LEADERSHIP_ACQUIRED,
    BD_EVENT_LEASE_RENEWED,
    BD_EVENT_LIVENESS_SENT,
    BD_EVENT_LIVENESS_WRITTEN,
    BD_EVENT_LEADERSHIP_LOST,
    BD_EVENT_LEADER_TXN_COMPLETED,
    BD_EVENT_DIRECT_COMMAND_COMPLETED,
    BD_EVENT_MACHINE_TYPES,
    BD_EVENT_INVENTORY,
    BD_EVENT_SCALE_OUT_COMPLETED,
    BD_EVENT_SCALE_IN_COMPLETED,
    BD_EVENT_PEER_FRAME,
    BD_EVENT_DELEGATE_RECORDS,
    BD_EVENT_DELEGATE_TXN_COMPLETED,
    BD_EVENT_JOB_LOOKUP_COMPLETED,
    BD_EVENT_DRAIN_RECORDS,
    BD_EVENT_KV_RATE_EXCEEDED
};

/* One event. The queue owns it once it is posted, the owner thread once it is taken. */
struct bd_event {
    enum bd_event_kind kind;
    void *request;
    char *text;
    size_t len;
    char name[BD_LABEL];
    long status;
    enum bd_txn_outcome outcome; /* COMMITTED */
    int purpose;                 /* as the effect's status said how it was asked */
    bool ok;                     /* FOLLOWED: it was answered */
    uint64_t store_revision, after, number, term;
    struct timespec sent;
    struct timespec queued; /* when it was handed to the owner; zero: quietly, it may wait */
    bool flag;
    uint32_t machine;
    json_t *json;
    json_t *sets; /* DRAINS: their machines' records, or NULL */
    void *data;   /* one block, by kind */
    size_t n;
    struct bd_acquisition gain;
};

/* Never NULL. */
struct bd_event *bd_event_new(enum bd_event_kind kind);
/* Frees it with all that it holds. */
void bd_event_free(struct bd_event *event);
/* Hands the event to the owner thread, waiting while its queue is full. */
void bd_event_post(struct bd_node *node, struct bd_event *event);
/* The same for what brings nothing new: the owner is not woken, and handles it before the next
 * event that wakes it. */
void bd_event_post_quietly(struct bd_node *node, struct bd_event *event);
#endif
