/* Events: messages of the adapters to the owner thread, through its queue.
 *
 * Made and posted by the adapters' threads; taken, applied and freed by the runtime. Owns no state:
 * the queue is in struct bd_node. */
#ifndef BD_EVENT_H
#define BD_EVENT_H
#include "model/leadership_state.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

struct bd_frame;
struct bd_node;

enum bd_event_kind {
    /* from the API server */
    BD_EVENT_USER_SUBMIT,
    BD_EVENT_USER_STATUS,
    BD_EVENT_USER_CANCEL,
    BD_EVENT_HEARTBEAT,
    /* from the key-value store's client */
    BD_EVENT_USER_TXN_COMPLETED,
    BD_EVENT_JOB_LOOKUP_COMPLETED,
    BD_EVENT_LEADER_TXN_COMPLETED,
    BD_EVENT_DELEGATE_TXN_COMPLETED,
    BD_EVENT_REPLICA_REFRESHED,
    BD_EVENT_REPLICA_LISTED,
    BD_EVENT_DELEGATE_RECORDS_READ,
    BD_EVENT_DRAIN_RECORDS_READ,
    BD_EVENT_KV_RATE_EXCEEDED,
    /* from the election */
    BD_EVENT_LEADER_OBSERVED,
    BD_EVENT_LEADERSHIP_ACQUIRED,
    BD_EVENT_LEASE_RENEWED,
    BD_EVENT_LIVENESS_SENT,
    BD_EVENT_LIVENESS_WRITTEN,
    BD_EVENT_LEADERSHIP_LOST,
    /* from the clients of the workers and of the cloud */
    BD_EVENT_DIRECT_COMMAND_COMPLETED,
    BD_EVENT_MACHINE_TYPES_READ,
    BD_EVENT_INVENTORY_READ,
    BD_EVENT_SCALE_OUT_COMPLETED,
    BD_EVENT_SCALE_IN_COMPLETED,
    /* from the peer listener */
    BD_EVENT_PEER_FRAME_RECEIVED
};

/* A user's request or a worker's heartbeat, received by the API server. */
struct bd_event_api_request {
    void *request; /* owned by the API server; answered by bd_api_reply */
    char *text;    /* the body, null-terminated: a submission or a heartbeat */
    size_t len;
    char job_id[BD_LABEL_BYTES]; /* of status reads and cancellations */
};

/* The outcome of a user's transaction. */
struct bd_event_user_txn {
    void *request;
    char job_id[BD_LABEL_BYTES];
    char *body;                      /* the transactions as sent, one a line */
    enum bd_request_purpose purpose; /* as in the effect */
    long status;                     /* enum bd_kv_status */
    uint64_t store_revision;
};

/* The outcome of looking up one job's record. */
struct bd_event_job_lookup {
    void *request;
    char job_id[BD_LABEL_BYTES];
    enum bd_request_purpose purpose; /* as in the effect */
    long status;                     /* enum bd_kv_status */
    json_t *answer;
};

/* The outcome of a transaction of the leader. */
struct bd_event_leader_txn {
    uint64_t term, sequence; /* of the transaction */
    enum bd_txn_outcome outcome;
    uint64_t store_revision;
    json_t *answer; /* on a conflict: names the keys whose comparison failed */
};

/* The outcome of writing this node's delegate record, or of reading its revision. */
struct bd_event_delegate_txn {
    struct timespec sent_at;
    long status; /* enum bd_kv_status of the write; BD_KV_NO_ANSWER also if none was made */
    uint64_t store_revision;
    bool is_revision_known;
};

/* The changes of the jobs' records after a revision. */
struct bd_event_refresh {
    struct timespec sent_at;
    uint64_t after_revision, store_revision;
    bool is_barrier;  /* reads that were pending when the refresh was sent may now be answered */
    bool is_answered; /* the store returned the changes */
    json_t *answer;
};

/* A page of the list of all jobs' records. */
struct bd_event_list_page {
    struct timespec first_page_sent_at; /* when the first page was requested */
    uint64_t store_revision;
    bool is_last;
    json_t *pairs;
};

/* The delegates' records, or the drains' records and those of their machines. */
struct bd_event_records {
    struct timespec sent_at;
    json_t *records;
    json_t *machine_records; /* drains only: the records of their machines, or NULL if not read */
};

/* The leader's key, as read from the store. */
struct bd_event_leader {
    char name[BD_LABEL_BYTES]; /* of the leader's node; empty: there is no leader */
    uint64_t revision;
    struct timespec sent_at;
    bool dismisses_this_node; /* the leader no longer needs this node as a delegate */
};

/* This node acquired the leader's lease. */
struct bd_event_acquired {
    char nonce[BD_LABEL_BYTES];
    struct timespec acquired_at;
    struct bd_acquisition acquisition;
};

/* The grant of this node's lease was renewed. */
struct bd_event_renewed {
    uint64_t grant;
    struct timespec sent_at;
};

/* This node's liveness record is about to be sent, or was written. */
struct bd_event_liveness {
    struct timespec sent_at;
};

/* The outcome of a direct command. */
struct bd_event_direct_command {
    uint32_t machine; /* index of the receiver */
    uint64_t fencing_token;
    bool has_launches; /* launches are among the commands */
    long status;       /* HTTP status; 0: no answer; or BD_DIRECT_NOT_SENT */
    char *text;        /* the worker's heartbeat, null-terminated, or NULL */
    size_t len;
};

/* The cloud's machine types. */
struct bd_event_machine_types {
    struct bd_machine_type_text *types;
    size_t count;
};

/* The cloud's inventory. */
struct bd_event_inventory {
    struct timespec sent_at;
    struct bd_cloud_machine *machines;
    size_t count;
};

/* The outcome of a scale-out or scale-in request. */
struct bd_event_scaling {
    char request_id[BD_LABEL_BYTES];  /* scale-out only: id of the provisioning request */
    long status;                      /* HTTP status; 0: no answer */
    char (*machines)[BD_LABEL_BYTES]; /* ids of the machines */
    size_t count;
};

/* A frame from a peer. */
struct bd_event_peer_frame {
    struct timespec received_at;
    struct bd_frame *frame; /* frame->text is not valid; use the field text */
    char *text;             /* the frame's text, null-terminated, or NULL */
    size_t len;
};

/* One event. Once posted, it belongs to the queue; once taken, to the owner thread. An event owns
 * all that its fields point to, except requests. */
struct bd_event {
    enum bd_event_kind kind;
    struct timespec queued_at; /* when bd_event_post queued it; zero: queued otherwise */
    union {
        /* USER_SUBMIT, USER_STATUS, USER_CANCEL, HEARTBEAT */
        struct bd_event_api_request api_request;
        struct bd_event_user_txn user_txn;
        struct bd_event_job_lookup job_lookup;
        struct bd_event_leader_txn leader_txn;
        struct bd_event_delegate_txn delegate_txn;
        struct bd_event_refresh refresh;
        struct bd_event_list_page page;
        struct bd_event_records records; /* DELEGATE_RECORDS_READ, DRAIN_RECORDS_READ */
        struct bd_event_leader leader;
        struct bd_event_acquired acquired;
        struct bd_event_renewed renewed;
        struct bd_event_liveness liveness; /* LIVENESS_SENT, LIVENESS_WRITTEN */
        struct bd_event_direct_command direct_command;
        struct bd_event_machine_types machine_types;
        struct bd_event_inventory inventory;
        struct bd_event_scaling scaling; /* SCALE_OUT_COMPLETED, SCALE_IN_COMPLETED */
        struct bd_event_peer_frame peer_frame;
    };
};

/* Allocates an event of the kind, otherwise zeroed. Never NULL: aborts if out of memory. */
struct bd_event *bd_event_new(enum bd_event_kind kind);
/* The number of records in the store's answers that the event owns; 0 for events of other kinds. */
size_t bd_event_record_count(const struct bd_event *event);
/* Frees the event and all that it owns. */
void bd_event_free(struct bd_event *event);
/* Posts the event to the owner thread. Blocks while the queue is full. */
void bd_event_post(struct bd_node *node, struct bd_event *event);
/* Posts an event that is not urgent: the owner thread is not woken, and handles the event when it
 * next wakes. If the queue is full, posts as bd_event_post does. */
void bd_event_post_without_wakeup(struct bd_node *node, struct bd_event *event);
#endif
