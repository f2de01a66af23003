/* Builds the leader's transaction and checks its size against the store's limits. Part of the pure
 * core. */
#include "leadership/leadership_internal.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <stdio.h>

#define TXN_BYTES_MAX 56000u /* of a request's body, whose limit is 64 KiB */

bool bd_txn_builder_fits(const struct bd_txn_builder *builder, size_t ops, size_t compares,
                         size_t bytes)
{
    return builder->ops + ops <= builder->ops_max &&
           builder->compares + compares <= builder->compares_max &&
           builder->bytes + bytes <= TXN_BYTES_MAX;
}

void bd_txn_builder_count(struct bd_txn_builder *builder, size_t ops, size_t compares, size_t bytes)
{
    builder->ops += ops;
    builder->compares += compares;
    builder->bytes += bytes;
}

static void job_key(char key[BD_LABEL_BYTES], const struct bd_job *job)
{
    snprintf(key, BD_LABEL_BYTES, "j/%s", job->id);
}

void bd_txn_builder_compare_job(struct bd_txn_builder *builder, const struct bd_job *job)
{
    char key[BD_LABEL_BYTES];
    job_key(key, job);
    bd_txn_compare(&builder->txn, key, job->revision);
    bd_txn_builder_count(builder, 0, 1, BD_KEY_BYTES);
}

void bd_txn_builder_put_job(struct bd_txn_builder *builder, const struct bd_job *job,
                            json_t *record, size_t bytes)
{
    char key[BD_LABEL_BYTES];
    bd_txn_builder_compare_job(builder, job);
    job_key(key, job);
    bd_txn_put(&builder->txn, key, record, 0);
    bd_txn_builder_count(builder, 1, 0, bytes);
}
