/* Protocol of the key-value store: transactions, changes, pages of key-value pairs, and grants,
 * which are the store's leases. Used by the store client and the election (adapters/) and by the
 * modules that build transactions or apply changes. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_STORE_H
#define BD_WIRE_STORE_H
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- transactions ---- */

/* A compare-and-swap transaction under construction: the store applies its operations only if all
 * compares hold. */
struct bd_txn {
    json_t *compares; /* owned, as is `ops` */
    json_t *ops;
    bool is_incomplete; /* a compare or an operation could not be added */
};

/* Begins a transaction. Returns false if out of memory. */
bool bd_txn_begin(struct bd_txn *txn);
/* Adds the condition that the key has this revision; 0: that the key does not exist. */
void bd_txn_compare(struct bd_txn *txn, const char *key, uint64_t revision);
/* Adds a put of the value, which is consumed; NULL makes the transaction incomplete. The store
 * deletes the key when `grant` ends; 0: the key has no lease. */
void bd_txn_put(struct bd_txn *txn, const char *key, json_t *value, uint64_t grant);
/* Adds a deletion of the key. */
void bd_txn_delete(struct bd_txn *txn, const char *key);
/* Returns the request body of the transaction and frees its compares and operations. NULL: the
 * transaction is incomplete, or out of memory. */
char *bd_txn_finish(struct bd_txn *txn);
/* Returns the failed compares in the response to a transaction, borrowed. NULL: none. */
json_t *bd_wire_read_failed_compares(json_t *body);

/* ---- values and changes ---- */

/* A put or deletion of a key. `key` and `value` are borrowed from the JSON entry. */
struct bd_kv_change {
    const char *key;
    json_t *value; /* NULL: deleted */
    uint64_t revision;
};

/* Reads an entry of bd_wire_read_pairs or bd_wire_read_change_log. Returns false if malformed. */
bool bd_wire_read_change(json_t *entry, struct bd_kv_change *out);
/* Sets the revision in an operation of a committed transaction, so that bd_wire_read_change can
 * read it like an entry of a change log. */
void bd_wire_set_revision(json_t *operation, uint64_t revision);
/* Reads the response to a GET of one key; `grant` is the key's lease, 0: none. Returns false if the
 * response is malformed or has no value. */
bool bd_wire_read_pair(json_t *body, struct bd_kv_change *out, uint64_t *grant);
/* Returns the entries in a page of key-value pairs, borrowed; `has_more` is set if further pages
 * follow. NULL: malformed. */
json_t *bd_wire_read_pairs(json_t *body, bool *has_more);
/* Returns the changes in the response to a refresh, borrowed. NULL: malformed. */
json_t *bd_wire_read_change_log(json_t *body);
/* Returns the store revision of a response; 0: not given. */
uint64_t bd_wire_read_store_revision(json_t *body);
/* Returns the encoded size of the value in bytes; SIZE_MAX: out of memory. */
size_t bd_wire_value_bytes(json_t *value);
/* Returns a hash of a list of strings, for records that cannot hold the list. The hash is stored,
 * so the algorithm must not change. */
uint64_t bd_wire_hash_names(json_t *names);

/* ---- grants ---- */

/* Returns the grant in the response to a grant request; 0: not given. */
uint64_t bd_wire_read_grant(json_t *body);
/* Returns the body of a request for a grant that expires `ttl_s` seconds after its last renewal. */
char *bd_wire_write_grant_request(double ttl_s);
/* Whether an error response says that the grant no longer exists. */
bool bd_wire_is_grant_missing(json_t *body);
#endif
