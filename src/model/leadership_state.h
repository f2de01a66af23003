/* The state of the leader's term: its scheduling cycles and its transaction.
 *
 * Part of struct bd_core, so used by the owner thread only. Changed by src/leadership/, unless a
 * field's comment names another folder. All folders may read it. */
#ifndef BD_LEADERSHIP_STATE_H
#define BD_LEADERSHIP_STATE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum bd_role { BD_FOLLOWER, BD_LEADER };

/* The planned launch of one task. It may be sent once the intent is committed. */
struct bd_intent {
    struct bd_job *job;
    uint32_t task, machine; /* indices */
    uint64_t attempt;
};

/* A committed intent record of the key-value store, `i/TERM-NUMBER`. Owns its intents. */
struct bd_intent_record {
    char key[BD_LABEL_BYTES];
    struct bd_intent *intents;
    uint32_t nintents;
};

/* The outcome of a leader's transaction, as the store's client reports it to the owner thread. */
enum bd_txn_outcome {
    BD_TXN_COMMITTED,
    BD_TXN_CONFLICT, /* not applied: a comparison failed, or the write rate was exceeded too long */
    BD_TXN_REJECTED, /* not applied: malformed or beyond a limit of the store (400) */
    BD_TXN_DEPOSED,  /* the term is over: another controller leads, or the grant has expired */
    BD_TXN_UNKNOWN   /* no answer: the client retries, and never reports this outcome */
};

/* An acquired term, with the records that earlier terms left in the store. The core borrows it for
 * one step. */
struct bd_acquisition {
    uint64_t term, grant; /* the revision and the grant of the leader's key */
    uint64_t commit_sequence_revision,
        commit_sequence;             /* of the key `w`, the commit sequence; 0: none yet */
    const char *nonce;               /* distinguishes acquisitions by the same node */
    struct timespec renewal_sent_at; /* when the newest renewal that succeeded was sent */
    json_t *receipts, *intents;      /* arrays of pairs */
};

#define BD_CYCLE_INTENT_RECORDS_MAX 6 /* in one transaction */
/* Maximum number of done jobs, of cancelled jobs and of deleted keys in one transaction. The rest
 * are left to the next transaction. */
#define BD_CYCLE_JOBS_MAX 64
#define BD_RECEIPT_CHUNK_TASKS 4096u /* tasks that a receipt record covers: 1 KiB of hex digits */
#define BD_RECEIPT_CHUNKS_MAX 64u    /* chunks of a job: the bits of bd_job.receipt_chunks */

/* The tasks of one chunk of a job that are done, as in the record `r/JOB/CHUNK`. */
struct bd_receipt {
    struct bd_job *job;
    uint32_t chunk;
    unsigned char bits[BD_RECEIPT_CHUNK_TASKS / 8];
};

/* An attempt number has the term in its upper bits, and the term's count of attempts in the lower
 * ones. */
#define BD_ATTEMPT_TERM_SHIFT 20

/* The part of the plan that one intent record holds. The plan is split since the size of a value is
 * limited. */
struct bd_intent_slice {
    char key[BD_LABEL_BYTES];
    uint32_t first_intent, count;
};

/* The leader's transaction; at most one is in flight. scheduling/ creates it with its plan;
 * leadership/ writes it, and frees it when the outcome is known or the term ends. */
struct bd_commit {
    struct bd_intent *plan; /* grown by scheduling/ */
    uint32_t nplan, plan_cap;
    struct bd_receipt *receipts;
    uint32_t nreceipts;
    struct bd_job *done[BD_CYCLE_JOBS_MAX];
    uint32_t ndone;
    /* jobs that a parent's cancellation has cancelled; the transaction updates their records */
    struct bd_job *cancelled[BD_CYCLE_JOBS_MAX];
    uint32_t ncancelled;
    struct bd_intent_slice intent_slices[BD_CYCLE_INTENT_RECORDS_MAX];
    uint32_t nintent_slices;
    char deleted_keys[BD_CYCLE_JOBS_MAX][BD_LABEL_BYTES];
    uint32_t ndeleted_keys;
    bool raises_fencing_token;
};

/* The state of a term; valid only while the role is BD_LEADER. */
struct bd_leadership {
    uint64_t base_term; /* the term as it was acquired */
    uint64_t term;      /* the term as last raised: the fencing token of the leader's commands */
    uint64_t grant;     /* of the leader's key */
    char nonce[BD_LABEL_BYTES];
    struct timespec lease_valid_until; /* the lease is certainly valid before this time */
    struct timespec renewal_sent_at;   /* when the newest renewal that succeeded was sent */

    uint64_t attempt_count; /* attempts started in the term; counted by scheduling/ */
    /* direct launches of attempts up to this one carried a lower token than the current one */
    uint64_t last_fenced_attempt;
    /* results that workers keep until the token is raised, and when the first was withheld; counted
     * by workers/ since the last raise */
    uint32_t nresults_withheld;
    struct timespec results_withheld_since;
    bool token_raise_wanted; /* also set by workers/ */
    struct timespec last_token_raise;
    /* by then all workers' leases that earlier terms renewed have expired */
    struct timespec earlier_leases_expire_at;

    uint64_t commit_sequence_revision, commit_sequence; /* of the key `w`, the commit sequence */
    uint64_t last_intent_record; /* number of the newest record written in the term */
    struct bd_commit *commit;    /* NULL: none in flight; set by scheduling/ */
    struct bd_intent_record *intent_records;
    uint32_t nintent_records, intent_records_cap;

    bool cycle_wanted; /* run a scheduling cycle at once; set by all folders */
    /* set by the folders that run these */
    struct timespec next_cycle, next_autoscaling, next_garbage_collection, next_checks,
        next_summary;
    /* changes that may be written now, and when this budget was last refilled; changed by
     * kv_limits.c */
    double write_budget;
    struct timespec write_budget_at;

    /* changed by autoscaling/ */
    bool inventory_read;             /* the cloud's list of machines was read in this term */
    uint64_t last_provision_request; /* number of the newest provisioning request of the term */
    bool is_class_limit_logged;      /* the limit on headroom's job classes was logged */

    /* changed by workers/ */
    bool inbound_partition; /* heartbeats of most workers do not arrive */
    /* so many workers seem not to receive replies that the fault is taken to be the leader's */
    bool leader_has_outbound_partition;
};
#endif
