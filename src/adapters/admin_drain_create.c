/* Creating a drain. The request's machines are selected from the cloud's inventory, and their
 * records are written first. The drain's own record follows, on condition that no drain has that
 * name. A crash in between leaves machines' records that no drain refers to. */
#include "adapters/admin_store.h"
#include "adapters/admin_store_internal.h"
#include "adapters/cloud_client.h"
#include "adapters/kv_client.h"
#include "adapters/node.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "model/kv_limits.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define TXN_BYTES_MAX 50000u /* of all values in a transaction, whose limit is 64 KiB */
#define SET_ID_BYTES 8       /* random bytes, in hexadecimal in the key */

/* ---- the machines' records ---- */

static bool generate_set_id(char *out)
{
    unsigned char random_bytes[SET_ID_BYTES];
    if (getrandom(random_bytes, sizeof random_bytes, 0) != (ssize_t)sizeof random_bytes)
        return false;
    for (size_t i = 0; i < sizeof random_bytes; i++)
        snprintf(out + 2 * i, 3, "%02x", random_bytes[i]);
    return true;
}

/* Returns an entry for each id, whose machine is cordoned from now on. The caller frees the array.
 * *longest_id_len: characters of the longest id. */
static struct bd_drain_machine *new_machines(const json_t *ids, size_t *longest_id_len)
{
    double now_s = bd_admin_wall_time_s();
    struct bd_drain_machine *machines = calloc(json_array_size(ids) + 1, sizeof *machines);
    if (!machines)
        abort();
    *longest_id_len = 0;
    for (size_t i = 0; i < json_array_size(ids); i++) {
        const char *id = json_string_value(json_array_get(ids, i));
        snprintf(machines[i].id, sizeof machines[i].id, "%s", id);
        machines[i].stage = BD_STAGE_CORDONED;
        machines[i].state_since_s = now_s;
        if (strlen(id) > *longest_id_len)
            *longest_id_len = strlen(id);
    }
    return machines;
}

/* Adds the record of the next part of the machine set to the transaction. Returns the bytes of its
 * value. */
static size_t put_part(struct bd_txn *txn, struct bd_drain_record *record,
                       const struct bd_drain_machine *machines, uint32_t count,
                       size_t value_bytes_max)
{
    char key[BD_LABEL_BYTES];
    json_t *value = bd_drain_part_encode(machines, count);
    char *text = json_dumps(value, JSON_COMPACT);
    size_t bytes = text ? strlen(text) : value_bytes_max;
    free(text);
    bd_drain_part_key(key, sizeof key, record->machine_set_id, record->nparts++);
    bd_txn_put(txn, key, value, 0);
    return bytes;
}

/* Writes the records of the drain's machines, machines_per_part in each record, and as many records
 * in each transaction as the store's limits allow. Sets the number of parts in the drain's record.
 * False: a transaction failed. */
static bool write_machines(const struct bd_admin_store *store, struct bd_drain_record *record,
                           const struct bd_drain_machine *machines, uint32_t machines_per_part)
{
    size_t ops_max = store->node->settings.kv_txn_ops_max;
    size_t value_bytes_max = bd_kv_limits_value_bytes(&store->node->settings);
    uint32_t written = 0;
    while (written < record->nmachines) {
        struct bd_txn txn;
        size_t ops = 0, bytes = 0;
        if (!bd_txn_begin(&txn))
            abort();
        while (written < record->nmachines && ops < ops_max &&
               (ops == 0 || bytes + value_bytes_max < TXN_BYTES_MAX)) {
            uint32_t remaining = record->nmachines - written;
            uint32_t count = remaining < machines_per_part ? remaining : machines_per_part;
            bytes += put_part(&txn, record, machines + written, count, value_bytes_max);
            written += count;
            ops++;
        }
        if (bd_admin_commit(store, &txn) != BD_KV_OK)
            return false;
    }
    return true;
}

/* ---- the drain's record ---- */

/* The form of the request that is stored, and compared with a repeated request. A hash replaces the
 * list of machines, which may be longer than a value of the store. The caller releases the result.
 */
static json_t *normalize_request(json_t *request)
{
    char hash[BD_HASH_BYTES];
    json_t *normalized = json_copy(request);
    json_t *machines = json_object_get(request, "machines");
    if (json_array_size(machines) > 0) {
        snprintf(hash, sizeof hash, "%016llx", (unsigned long long)bd_wire_hash_names(machines));
        json_object_set_new(normalized, "machines", json_string(hash));
    }
    return normalized;
}

/* The response if the name is taken: the drain if the requests are equal, else a conflict. */
static struct bd_admin_response show_existing(const struct bd_drain_record *record,
                                              const json_t *normalized)
{
    if (!json_equal(record->request, normalized))
        return bd_admin_refuse(BD_ADMIN_CONFLICT, "name", "another drain has this name");
    return bd_admin_show_record(BD_ADMIN_OK, record);
}

/* The response if another request, perhaps a retry of this one, created a drain of the name after
 * the name was checked. */
static struct bd_admin_response resolve_conflict(const struct bd_admin_store *store,
                                                 const char *name, const json_t *normalized)
{
    struct bd_stored_drain drain;
    long status = bd_admin_read_drain(store, name, &drain);
    struct bd_admin_response response = status == BD_KV_OK
                                            ? show_existing(&drain.record, normalized)
                                            : bd_admin_store_unreachable();
    json_decref(drain.answer);
    return response;
}

static struct bd_admin_response write_drain(const struct bd_admin_store *store,
                                            const struct bd_drain_request *request,
                                            json_t *normalized, const json_t *ids)
{
    const struct bd_settings *settings = &store->node->settings;
    struct bd_drain_record record = {.mode = request->mode,
                                     .state = BD_DRAIN_ACTIVE,
                                     .nmachines = (uint32_t)json_array_size(ids),
                                     .request = normalized};
    size_t longest_id_len;
    snprintf(record.name, sizeof record.name, "%s", request->name);
    struct bd_drain_machine *machines = new_machines(ids, &longest_id_len);
    record.requested_at_s = machines[0].state_since_s;
    uint32_t machines_per_part =
        bd_drain_part_machines_max(settings, bd_kv_limits_value_bytes(settings), longest_id_len);
    bool is_written = machines_per_part > 0 && generate_set_id(record.machine_set_id) &&
                      write_machines(store, &record, machines, machines_per_part);
    free(machines);
    if (machines_per_part == 0)
        return bd_admin_refuse(BD_ADMIN_MALFORMED, "machines",
                               "a value of the state service holds none");
    long status = is_written ? bd_admin_write_drain(store, &record) : BD_KV_NO_ANSWER;
    if (status == BD_KV_CONFLICT)
        return resolve_conflict(store, request->name, normalized);
    if (status != BD_KV_OK)
        return bd_admin_store_unreachable();
    return bd_admin_show_record(BD_ADMIN_CREATED, &record);
}

/* ---- the request ---- */

static struct bd_admin_response refuse_request(const struct bd_drain_refusal *refusal)
{
    return bd_admin_refuse((enum bd_admin_status)refusal->status, refusal->field, refusal->reason);
}

/* Selects the machines from the cloud's inventory rather than the leader's view of it, so that any
 * controller can serve the request. */
static struct bd_admin_response create_drain(const struct bd_admin_store *store,
                                             const struct bd_drain_request *request,
                                             json_t *normalized)
{
    struct bd_cloud_machine *inventory = NULL;
    struct bd_drain_refusal refusal;
    size_t count = 0;
    if (!bd_cloud_list_machines(store->node, store->http, &inventory, &count)) {
        free(inventory);
        return bd_admin_refuse(BD_ADMIN_UNAVAILABLE, "", "cloud not reached");
    }
    json_t *ids = bd_drain_request_resolve(request, store->node->settings.draining, inventory,
                                           count, &refusal);
    free(inventory);
    if (!ids)
        return refuse_request(&refusal);
    struct bd_admin_response response = write_drain(store, request, normalized, ids);
    json_decref(ids);
    return response;
}

struct bd_admin_response bd_admin_create_drain(const struct bd_admin_store *store, const char *body,
                                               size_t len)
{
    struct bd_drain_request request;
    struct bd_drain_refusal refusal;
    struct bd_stored_drain existing;
    struct bd_admin_response response;
    static const struct bd_json_message any_request = {.refuses_duplicates = true};
    json_t *parsed = bd_json_read(body, len, &any_request, NULL);
    if (!bd_drain_request_read(parsed, &request, &refusal)) {
        json_decref(parsed);
        return refuse_request(&refusal);
    }
    json_t *normalized = normalize_request(parsed);
    long status = bd_admin_read_drain(store, request.name, &existing);
    if (status == BD_KV_OK)
        response = show_existing(&existing.record, normalized);
    else if (status == BD_KV_NOT_FOUND)
        response = create_drain(store, &request, normalized);
    else
        response = bd_admin_store_unreachable();
    json_decref(existing.answer);
    json_decref(normalized);
    json_decref(parsed);
    return response;
}
