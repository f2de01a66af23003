/* The key-value store's keys, for the stand-in and the simulation: values with revisions and
 * grants, conditional transactions, and the log of changes. */
#ifndef KEY_TABLE_H
#define KEY_TABLE_H
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct table_key {
    char name[96];
    json_t *value; /* NULL: free */
    uint64_t revision, grant;
};

struct table_change {
    char name[96];
    json_t *value; /* NULL: dropped */
    uint64_t revision;
};

struct key_table {
    struct table_key *keys;
    size_t nkeys, cap_keys; /* free ones among them */
    struct table_change *log;
    size_t nlog, cap_log;
    uint64_t revision;
    void *owner; /* for the two below */
    bool (*is_grant_live)(void *owner, uint64_t grant);
    void (*before_set)(void *owner, const char *name, json_t *value); /* NULL: none */
};

struct table_key *table_find(const struct key_table *table, const char *name);
/* All keys on the grant are dropped, each with a revision of its own. */
void table_end_grant(struct key_table *table, uint64_t grant);
/* The status of a transaction, and the answer. */
int table_commit(struct key_table *table, json_t *in, json_t **out);
/* A key and its value as they are listed, and as they are read alone. */
json_t *table_pair(const struct table_key *key);
int table_get(const struct key_table *table, const char *name, json_t **out);
/* What has changed after a revision, of the keys with the prefix. */
json_t *table_changes(const struct key_table *table, const char *prefix, uint64_t after);
void table_free(struct key_table *table);
#endif
