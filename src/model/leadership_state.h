/* The leader's term, its scheduling cycles and its transaction, as part of the core's state.
 *
 * Part of struct bd_core and so of the owner thread. Changed by src/leadership/, and where a
 * field's comment names it by another folder; read by all. */
#ifndef BD_LEADERSHIP_STATE_H
#define BD_LEADERSHIP_STATE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum bd_role { BD_FOLLOWER, BD_LEADER };

/* One task's planned launch: it may be sent once the intent is committed. */
struct bd_intent {
    struct bd_job *job;
    uint32_t task, machine; /* the machine's index */
    uint64_t attempt;
};

/* A committed intent record of the key-value store, `i/TERM-NUMBER`. Owns its intents. */
struct bd_intent_record {
    char key[BD_LABEL_BYTES];
    struct bd_intent *intents;
    uint32_t nintents;
};

/* What became of a leader's transaction, as the store's client hands it to the owner thread. */
enum bd_txn_outcome {
    BD_TXN_COMMITTED,
    BD_TXN_CONFLICT, /* not applied: a comparison failed, or the write rate was exceeded too long */
    BD_TXN_REJECTED, /* not applied: malformed or beyond a limit of the store (400) */
    BD_TXN_DEPOSED,  /* the term is over: another leads, or the grant has expired */
    BD_TXN_UNKNOWN   /* no answer shows it: to be sent again. Never leaves the client */
};

/* An acquired term with what earlier terms left in the store. Borrowed by the core for one step. */
struct bd_acquisition {
    uint64_t term, grant;                 /* the revision and the grant of the leader's key */
    uint64_t sequence_revision, sequence; /* of the commit sequence, the key `w`; 0: none yet */
    const char *nonce;                    /* tells this acquisition from others of the same node */
    struct timespec renewal_sent_at;      /* when the newest renewal that succeeded was sent */
    json_t *receipts, *intents;           /* arrays of pairs */
};

#define BD_CYCLE_INTENT_RECORDS_MAX 6 /* in one transaction */
#define BD_CYCLE_JOBS_MAX 64 /* of each kind in one transaction; the rest comes with the next */
#define BD_RECEIPT_CHUNK_TASKS 4096u /* tasks that a receipt record covers: 1 KiB of hex */
#define BD_RECEIPT_CHUNKS_MAX 64u    /* of a job: bits of bd_job.receipt_chunks */

/* Which tasks of one chunk of a job are done: the record `r/JOB/CHUNK`. */
struct bd_receipt {
    struct bd_job *job;
    uint32_t chunk;
    unsigned char bits[BD_RECEIPT_CHUNK_TASKS / 8];
};

/* An attempt's number: its term in the upper bits, and the term's count of attempts. */
#define BD_ATTEMPT_TERM_SHIFT 20

/* A run of the plan that one intent record holds, since a value takes only so many. */
struct bd_intent_slice {
    char key[BD_LABEL_BYTES];
    uint32_t from, count;
};

/* The one leader transaction in flight. Made by scheduling/ with its plan, which leadership/ writes
 * and frees when the outcome is known or the term ends. */
struct bd_commit {
    struct bd_intent *plan; /* grown by scheduling/ */
    uint32_t nplan, plan_cap;
    struct bd_receipt *receipts;
    uint32_t nreceipts;
    struct bd_job *done[BD_CYCLE_JOBS_MAX];
    uint32_t ndone;
    struct bd_job *cancelled[BD_CYCLE_JOBS_MAX]; /* by a parent: their records are to show it */
    uint32_t ncancelled;
    struct bd_intent_slice intent_slices[BD_CYCLE_INTENT_RECORDS_MAX];
    uint32_t nintent_slices;
    char deleted_keys[BD_CYCLE_JOBS_MAX][BD_LABEL_BYTES];
    uint32_t ndeleted_keys;
    bool raises_fencing_token;
};

/* The state of a term; it means nothing while the role is not BD_LEADER. */
struct bd_leadership {
    uint64_t base_term; /* the term as it was acquired */
    uint64_t term;      /* ... as raised since: the fencing token of our commands */
    uint64_t grant;     /* of the leader's key */
    char nonce[BD_LABEL_BYTES];
    struct timespec lease_valid_until; /* the term's lease is certainly valid before */
    struct timespec renewal_sent_at;   /* the newest renewal that succeeded */

    uint64_t attempt_count; /* attempts that were started in the term; counted by scheduling/ */
    uint64_t last_fenced_attempt; /* direct launches up to it all carried a lower token than ours */
    uint32_t nresults_withheld;   /* results that workers are to store until the token is higher;
                            counted by   workers/ since it last rose */
    struct timespec results_withheld_since; /* the first of them */
    bool token_raise_wanted;                /* set by workers/ too */
    struct timespec last_token_raise;
    struct timespec earlier_leases_expire_at; /* workers' leases that earlier terms renewed */

    uint64_t sequence_revision, sequence; /* of the commit sequence, the key `w` */
    uint64_t last_intent_record;          /* number of the newest one written in the term */
    struct bd_commit *commit;             /* NULL: none in flight; set by scheduling/ */
    struct bd_intent_record *intent_records;
    uint32_t nintent_records, cap_intent_records;

    bool cycle_wanted; /* a scheduling cycle is due at once; set by all */
    struct timespec next_cycle, next_autoscaling, next_gc, next_tick, next_summary;
    double write_budget; /* changes that may be written now; refilled by kv_limits.c */
    struct timespec write_budget_at;

    bool inventory_read;             /* the cloud's list was read in this term; autoscaling/ */
    uint64_t last_provision_request; /* provisioning requests of the term; autoscaling/ */
    bool is_class_limit_logged;      /* the limit of headroom's classes was logged; autoscaling/ */
    bool inbound_partition;          /* most workers are silent; workers/ */
    bool leader_has_outbound_partition; /* too many workers seem not to receive us; workers/ */
};
#endif
