/* The leader's term, its rounds and its transaction. */
#ifndef BD_LEADERSHIP_STATE_H
#define BD_LEADERSHIP_STATE_H
#include "model/job.h"
#include "wire/wire.h"

enum bd_role { BD_FOLLOWER, BD_LEADER };

struct bd_intent {
    struct bd_job *job;
    uint32_t task, machine;
    uint64_t attempt;
};

struct bd_intent_record { /* one intent record in the state service */
    char key[BD_LABEL];
    struct bd_intent *e;
    uint32_t n;
};

enum bd_txn_outcome {
    BD_TXN_COMMITTED,
    BD_TXN_CONFLICT, /* a condition failed: `failed` lists the keys */
    BD_TXN_REJECTED, /* not applied, and to be decided anew in smaller pieces */
    BD_TXN_DEPOSED,  /* leadership is gone */
    BD_TXN_UNKNOWN   /* to be sent again */
};

/* leadership */
struct bd_acquisition {
    uint64_t term, grant, sequence_revision, sequence;
    const char *nonce;
    struct timespec renewed; /* when the request that made the grant was sent */
    json_t *receipts;        /* arrays of pairs */
    json_t *intents;
};

#define BD_CYCLE_INTENT_RECORDS_MAX 6 /* in one transaction */
#define BD_CYCLE_JOBS_MAX 64 /* of each kind in one transaction; the rest comes with the next */
#define BD_RECEIPT_CHUNK_TASKS 4096u /* tasks that a receipt record covers: 1 KiB of hex */

struct bd_commit { /* the one leader transaction in flight */
    struct bd_intent *plan;
    uint32_t nplan, cap;
    struct bd_receipt {
        struct bd_job *job;
        uint32_t chunk;
        unsigned char bits[BD_RECEIPT_CHUNK_TASKS / 8];
    } * receipts;
    uint32_t nreceipts;
    struct bd_job *done[BD_CYCLE_JOBS_MAX];
    uint32_t ndone;
    struct bd_job *cancelled[BD_CYCLE_JOBS_MAX]; /* by derivation: now their records say so too */
    uint32_t ncancelled;
    struct bd_part { /* an intent record: a value takes only so many */
        char key[BD_LABEL];
        uint32_t from, n;
    } parts[BD_CYCLE_INTENT_RECORDS_MAX];
    uint32_t nparts;
    char dropped[BD_CYCLE_JOBS_MAX][BD_LABEL];
    uint32_t ndropped;
    bool raises_fencing_token;
};

/* As leader. Owned by leadership.c, cycle.c, commit.c and reconciliation.c. */
struct bd_leadership {
    uint64_t base_term, term, grant; /* at acquisition; as raised since; of the leader's key */
    char nonce[BD_LABEL];
    uint64_t counter;        /* attempts */
    uint64_t fenced_attempt; /* up to here all direct launches carried a lower token than ours */
    uint32_t withheld;       /* forgets that wait for a higher token, since it last rose */
    struct timespec withheld_at; /* the first of them */
    struct timespec valid_until, renewed;
    struct timespec
        earlier_leases_expire_at; /* sessions renewed by earlier terms are over by then */
    bool inventory_read;          /* the cloud's list was read in this term */
    uint64_t sequence_revision, sequence, cycle_number, request_n;
    struct bd_commit *commit; /* the one transaction under way */
    struct bd_intent_record *intent_records;
    uint32_t nintent_records, cap_intent_records;
    struct timespec next_cycle, next_autoscaling, next_gc, next_tick, last_token_raise,
        next_summary;
    bool token_raise_wanted, cycle_wanted;
    double write_budget;
    struct timespec write_budget_at;
    bool classes_said;               /* that there are more than spare room is kept for */
    bool inbound_partition;          /* most workers are silent */
    bool outbound_partition_is_ours; /* so many seem not to hear us that it is rather us */
};
#endif
