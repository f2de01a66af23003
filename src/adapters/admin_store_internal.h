/* Shared by the operations that read, create and change drains: access to a drain's record in the
 * key-value store, and the responses that show it. */
#ifndef BD_ADMIN_STORE_INTERNAL_H
#define BD_ADMIN_STORE_INTERNAL_H
#include "adapters/admin_store.h"
#include "drain/drain.h"
#include "wire/wire.h"

/* A drain's record as read from the store. */
struct bd_stored_drain {
    struct bd_drain_record record;
    json_t *answer; /* the store's answer, owned; the record borrows from it */
};

/* Reads the drain of that name. Returns an enum bd_kv_status; out->record is valid only with
 * BD_KV_OK. The caller releases out->answer with any status. */
long bd_admin_read_drain(const struct bd_admin_store *store, const char *name,
                         struct bd_stored_drain *out);
/* Writes the record on condition that its revision is unchanged. Returns an enum bd_kv_status. */
long bd_admin_write_drain(const struct bd_admin_store *store, const struct bd_drain_record *record);
/* Finishes and commits the transaction. Returns an enum bd_kv_status. */
long bd_admin_commit(const struct bd_admin_store *store, struct bd_txn *txn);

/* The response that shows the drain. */
struct bd_admin_response bd_admin_show_record(enum bd_admin_status status,
                                              const struct bd_drain_record *record);
/* The response when the key-value store returned no usable answer. */
struct bd_admin_response bd_admin_store_unreachable(void);
/* The wall-clock time, in seconds since the epoch. */
double bd_admin_wall_time_s(void);
#endif
