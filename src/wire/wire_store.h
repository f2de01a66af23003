/* The key-value store's protocol: transactions, changes, pages of pairs, and grants (its leases).
 * The store's client and the election (adapters/), and whoever builds transactions or applies
 * changes, call it. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_STORE_H
#define BD_WIRE_STORE_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- transactions ---- */

/* A compare-and-swap transaction that is being built: its changes apply only if all compares hold.
 * Lack of memory while it is built leaves a part of it out. */
struct bd_txn {
    json_t *compares; /* owned, as are the changes */
    json_t *ops;
};

/* Begins a transaction. False: out of memory. */
bool bd_txn_begin(struct bd_txn *txn);
/* Requires that the key has this revision; 0: that it does not exist. */
void bd_txn_compare(struct bd_txn *txn, const char *key, uint64_t revision);
/* Sets the key to the value, which is consumed. `grant`: the key is deleted when that ends; 0: it
 * stays. */
void bd_txn_put(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant);
/* Deletes the key. */
void bd_txn_delete(struct bd_txn *txn, const char *key);
/* Ends the transaction, frees its parts and returns the body of its request. */
char *bd_txn_finish(struct bd_txn *txn);
/* The list of compares that did not hold, in the answer to a transaction; borrowed, NULL: none. */
json_t *bd_wire_read_failed_compares(json_t *body);

/* ---- values and changes ---- */

/* A key with its new value, or its deletion; key and value are borrowed from the entry read. */
struct bd_kv_change {
    const char *key;
    json_t *value; /* NULL: deleted */
    uint64_t revision;
};

/* Reads an entry of bd_wire_read_pairs or bd_wire_read_change_log. False: malformed. */
bool bd_wire_read_change(json_t *entry, struct bd_kv_change *out);
/* Gives a change of a transaction its revision, so that bd_wire_read_change reads it as one of a
 * log. */
void bd_wire_set_revision(json_t *change, uint64_t revision);
/* Reads the answer to a GET of one key; `grant` is that of the key, 0: none. False: malformed, or
 * without a value. */
bool bd_wire_read_pair(json_t *body, struct bd_kv_change *out, uint64_t *grant);
/* The entries in a page of a list, borrowed; `more` says whether others follow. NULL: malformed. */
json_t *bd_wire_read_pairs(json_t *body, bool *more);
/* The changes in the answer to a refresh, borrowed. NULL: malformed. */
json_t *bd_wire_read_change_log(json_t *body);
/* The store's revision at an answer; 0: none is given. */
uint64_t bd_wire_read_store_revision(json_t *body);
/* Bytes of the value as it is sent; SIZE_MAX: out of memory. */
size_t bd_wire_value_bytes(const json_t *value);
/* A hash of a list of texts, for records that cannot hold the list. It is stored: it must not
 * change. */
uint64_t bd_wire_hash_names(json_t *names);

/* ---- grants ---- */

/* The grant in the answer to a request for one; 0: none is given. */
uint64_t bd_wire_read_grant(json_t *body);
/* The body of a request for a grant that ends after so many seconds unless renewed. */
char *bd_wire_write_grant_request(double seconds);
/* Whether a refusal says that the grant of a key does not exist any more. */
bool bd_wire_is_grant_missing(json_t *body);
#endif
