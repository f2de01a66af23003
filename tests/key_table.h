/* The keys of the key-value store, for the fake store and the simulation: values with revisions and
 * grants, conditional transactions, and the log of changes. */
#ifndef KEY_TABLE_H
#define KEY_TABLE_H
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct table_key {
    char name[96];
    json_t *value; /* NULL: the entry is free */
    uint64_t revision, grant;
};

struct table_change {
    char name[96];
    json_t *value; /* NULL: the key was deleted */
    uint64_t revision;
};

struct key_table {
    struct table_key *keys;
    size_t nkeys, keys_capacity; /* nkeys includes free entries */
    struct table_change *log;
    size_t nlog, log_capacity;
    uint64_t revision;
    void *owner; /* passed to the two functions */
    bool (*is_grant_live)(void *owner, uint64_t grant);
    void (*before_set)(void *owner, const char *name, json_t *value); /* may be NULL */
};

/* NULL: there is no such key. */
struct table_key *table_find(const struct key_table *table, const char *name);
/* Deletes all keys of the grant, each with a revision of its own. */
void table_end_grant(struct key_table *table, uint64_t grant);
/* Applies a transaction if its conditions hold. Returns the HTTP status; the caller releases `out`.
 */
int table_commit(struct key_table *table, json_t *request, json_t **out);
/* A key and its value as in a list of keys. */
json_t *table_pair(const struct table_key *key);
/* Reads one key. Returns the HTTP status; the caller releases `out`. */
int table_get(const struct key_table *table, const char *name, json_t **out);
/* The changes after a revision of the keys with the prefix. */
json_t *table_changes(const struct key_table *table, const char *prefix, uint64_t after);
void table_free(struct key_table *table);
#endif
