/* Declarations shared by the files of leadership/: the peers' statuses, the builder of the leader's
 * transaction, and the two kinds of records that only the leader writes. */
#ifndef BD_LEADERSHIP_INTERNAL_H
#define BD_LEADERSHIP_INTERNAL_H
#include "model/core_state.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- peers (peer_status.c) ---- */

/* The index of a peer whose valid status shows a newer term than lead.term, or -1. */
int bd_peer_with_newer_term(const struct bd_core *core);
/* Whether a peer can read the store while this controller's own reads have fallen behind. */
bool bd_peer_has_fresher_reads(const struct bd_core *core);
/* Whether neither the store nor any peer has answered for several seconds, so that this controller
 * is most likely cut off. False if there are no peers. */
bool bd_is_isolated(const struct bd_core *core);

/* ---- transaction builder (txn_builder.c) ---- */

#define BD_KEY_BYTES 80u /* upper bound for a comparison or a deletion */

/* A compare-and-swap transaction under construction, with its use of the store's limits. */
struct bd_txn_builder {
    struct bd_txn txn;
    size_t ops, ops_max;
    size_t compares, compares_max;
    size_t bytes; /* upper bound */
};

/* Whether the given numbers of changes, comparisons and bytes still fit. */
bool bd_txn_builder_fits(const struct bd_txn_builder *builder, size_t ops, size_t compares,
                         size_t bytes);
/* Counts changes, comparisons and bytes that were added to the transaction. */
void bd_txn_builder_count(struct bd_txn_builder *builder, size_t ops, size_t compares,
                          size_t bytes);
/* Adds a comparison: the job's record must still have the revision in bd_job.revision. */
void bd_txn_builder_compare_job(struct bd_txn_builder *builder, const struct bd_job *job);
/* Adds the job's new record and its comparison. bytes: upper bound of the record's size. Takes
 * ownership of record. */
void bd_txn_builder_put_job(struct bd_txn_builder *builder, const struct bd_job *job,
                            json_t *record, size_t bytes);

/* ---- deletions (commit_garbage.c) ---- */

/* Adds, at intervals, the deletion of obsolete records: the record of a stale delegate, intent
 * records, and receipts of jobs that ended. A backlog is deleted at shorter intervals, since the
 * next leader would have to read it. */
void bd_commit_collect_garbage(struct bd_core *core, struct bd_txn_builder *builder);

/* ---- intent records (intent_record.c) ---- */

/* Builds the value of one record from the first of the *count intents, as many as fit, and sets
 * *count to their number. */
json_t *bd_intent_record_value(struct bd_core *core, const struct bd_intent *intents,
                               uint32_t *count);
/* Loads a record of an earlier term. Adds the machines that it names, and raises the attempt
 * numbers of its tasks. */
void bd_intent_record_load(struct bd_core *core, const char *key, json_t *value);
/* Adds a committed record to lead.intent_records. Takes ownership of the array of intents. */
void bd_intent_record_add(struct bd_core *core, const char *key, struct bd_intent *intents,
                          uint32_t count);
/* Removes a record that was deleted from the store. No effect if there is none with the key. */
void bd_intent_record_remove(struct bd_core *core, const char *key);
/* Whether any intent of the record is still the newest one of its task. */
bool bd_intent_record_is_needed(const struct bd_intent_record *record);

/* ---- receipts (receipt.c) ---- */

/* Size in bytes of the value of a chunk's receipt. */
size_t bd_receipt_value_bytes(const struct bd_job *job, uint32_t chunk);
/* Fills the receipt with the completed tasks of the chunk. */
void bd_receipt_fill(struct bd_receipt *receipt, struct bd_job *job, uint32_t chunk);
json_t *bd_receipt_value(const struct bd_receipt *receipt);
/* Loads a receipt of an earlier term, and marks its tasks as done. */
void bd_receipt_load(struct bd_core *core, const char *key, json_t *value);
/* Marks the tasks of a committed receipt, so that workers may delete their results. */
void bd_receipt_mark_committed(const struct bd_receipt *receipt);
#endif
