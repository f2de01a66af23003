/* What the files of leadership/ share with each other: what the peers show of who leads, the
 * leader's transaction while it is built, and the two kinds of records that only the leader writes.
 */
#ifndef BD_LEADERSHIP_INTERNAL_H
#define BD_LEADERSHIP_INTERNAL_H
#include "model/core_state.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- peers (peer_status.c) ---- */

/* The index of a peer that names a newer term than ours, or -1. */
int bd_peer_with_newer_term(const struct bd_core *core);
/* Whether the store serves another controller while our own reads have fallen behind. */
bool bd_peer_has_fresher_reads(const struct bd_core *core);
/* Whether neither the store nor any peer was heard for a while: most likely we are cut off. */
bool bd_is_isolated(const struct bd_core *core);

/* ---- transaction builder (txn_builder.c) ---- */

#define BD_KEY_BYTES 80u /* of a comparison or a deletion, at most */

/* A compare-and-swap transaction that is being built, within the store's limits. */
struct bd_txn_builder {
    struct bd_txn txn;
    size_t ops, ops_max;
    size_t compares, compares_max;
    size_t bytes; /* an estimate from above */
};

/* Whether so many more changes, comparisons and bytes fit. */
bool bd_txn_builder_fits(const struct bd_txn_builder *builder, size_t ops, size_t compares,
                         size_t bytes);
/* Counts changes, comparisons and bytes that were added. */
void bd_txn_builder_count(struct bd_txn_builder *builder, size_t ops, size_t compares,
                          size_t bytes);
/* Adds the comparison of the job's record with the revision that we know. */
void bd_txn_builder_compare_job(struct bd_txn_builder *builder, const struct bd_job *job);
/* Adds the job's new record, of so many bytes at most, and its comparison. Takes record over. */
void bd_txn_builder_put_job(struct bd_txn_builder *builder, const struct bd_job *job,
                            json_t *record, size_t bytes);

/* ---- deletions (commit_garbage.c) ---- */

/* Adds the deletion of records that nothing needs any more, if it is time for that: stale
 * delegates', intent records, receipts of jobs that ended. A backlog is deleted faster, since the
 * next leader would have to read it. */
void bd_commit_collect_garbage(struct bd_core *core, struct bd_txn_builder *builder);

/* ---- intent records (intent_record.c) ---- */

/* The value of one record, made of as many of the *n intents as fit; *n becomes their number. */
json_t *bd_intent_record_value(struct bd_core *core, const struct bd_intent *intents, uint32_t *n);
/* Adds a record that earlier terms left. Machines and attempts that it names become known. */
void bd_intent_record_load(struct bd_core *core, const char *key, json_t *value);
/* Adds a committed record to the term's view. Takes the array of intents over. */
void bd_intent_record_add(struct bd_core *core, const char *key, struct bd_intent *intents,
                          uint32_t n);
/* Removes the record with the key, which was deleted from the store. */
void bd_intent_record_remove(struct bd_core *core, const char *key);
/* Whether any of its intents is still the newest of its task. */
bool bd_intent_record_is_needed(const struct bd_intent_record *record);

/* ---- receipts (receipt.c) ---- */

/* Bytes of the value of a chunk's receipt. */
size_t bd_receipt_value_bytes(const struct bd_job *job, uint32_t chunk);
/* Fills the receipt with what is done of its chunk. */
void bd_receipt_fill(struct bd_receipt *receipt, struct bd_job *job, uint32_t chunk);
json_t *bd_receipt_value(const struct bd_receipt *receipt);
/* Takes in a receipt of an earlier term: its tasks are done. */
void bd_receipt_load(struct bd_core *core, const char *key, json_t *value);
/* The receipt is committed: workers may drop these results. */
void bd_receipt_mark_committed(const struct bd_receipt *receipt);
#endif
