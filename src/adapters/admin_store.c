#include "adapters/admin_store.h"
#include "adapters/admin_store_internal.h"
#include "adapters/kv_client.h"
#include "base/timeutil.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include "drain/drain_request.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STORE_TIMEOUT_S 2.5
#define BUSY_RETRY_S 1
#define PATH_BYTES 256

/* ---- responses ---- */

struct bd_admin_response bd_admin_refuse(enum bd_admin_status status, const char *field,
                                         const char *message)
{
    json_t *body = json_pack("{s:s}", "error", message);
    if (*field)
        json_object_set_new(body, "field", json_string(field));
    int retry_after_s = status == BD_ADMIN_UNAVAILABLE ? BUSY_RETRY_S : 0;
    return (struct bd_admin_response){status, retry_after_s, body};
}

struct bd_admin_response bd_admin_store_unreachable(void)
{
    return bd_admin_refuse(BD_ADMIN_UNAVAILABLE, "", "state service not reached");
}

static json_t *describe_drain(const struct bd_drain_record *record)
{
    json_t *drain =
        json_pack("{s:s,s:s,s:s,s:f,s:i}", "name", record->name, "mode",
                  bd_drain_mode_name(record->mode), "state", bd_drain_state_name(record->state),
                  "asked_at", record->requested_at_s, "machines", (int)record->nmachines);
    if (record->ended_at_s > 0)
        json_object_set_new(drain, "ended_at", json_real(record->ended_at_s));
    return drain;
}

struct bd_admin_response bd_admin_show_record(enum bd_admin_status status,
                                              const struct bd_drain_record *record)
{
    return (struct bd_admin_response){status, 0, describe_drain(record)};
}

static json_t *describe_machine(const struct bd_drain_machine *machine)
{
    json_t *entry = json_pack("{s:s,s:s,s:f}", "machine", machine->id, "stage",
                              bd_drain_stage_name(machine->stage), "since", machine->state_since_s);
    if (machine->wait != BD_DRAIN_WAIT_NOTHING)
        json_object_set_new(entry, "waits_for", json_string(bd_drain_wait_name(machine->wait)));
    if (*machine->team)
        json_object_set_new(entry, "team", json_string(machine->team));
    if (*machine->replacement)
        json_object_set_new(entry, "replacement", json_string(machine->replacement));
    return entry;
}

/* Counts the machines in each stage. */
static json_t *count_stages(const struct bd_drain_machine *machines, uint32_t count)
{
    uint32_t in_stage[BD_STAGES] = {0};
    json_t *stages = json_object();
    for (uint32_t i = 0; i < count; i++)
        in_stage[machines[i].stage]++;
    for (int i = 0; i < BD_STAGES; i++)
        json_object_set_new(stages, bd_drain_stage_name((enum bd_drain_stage)i),
                            json_integer((json_int_t)in_stage[i]));
    return stages;
}

/* ---- the drains' records ---- */

long bd_admin_read_drain(const struct bd_admin_store *store, const char *name,
                         struct bd_stored_drain *out)
{
    char path[PATH_BYTES];
    struct bd_kv_change pair;
    uint64_t grant;
    out->answer = NULL;
    snprintf(path, sizeof path, BD_PATH_KEYS "/" BD_DRAIN_KEY_PREFIX "%s", name);
    long status =
        bd_kv_call(store->node, store->http, "GET", path, NULL, STORE_TIMEOUT_S, &out->answer);
    if (status != BD_KV_OK)
        return status;
    bool is_valid = bd_wire_read_pair(out->answer, &pair, &grant) &&
                    bd_drain_record_decode(name, pair.value, pair.revision, &out->record);
    return is_valid ? BD_KV_OK : BD_KV_NO_ANSWER;
}

long bd_admin_commit(const struct bd_admin_store *store, struct bd_txn *txn)
{
    json_t *answer = NULL;
    char *body = bd_txn_finish(txn);
    if (!body)
        return BD_KV_NO_ANSWER;
    long status = bd_kv_call(store->node, store->http, "POST", BD_PATH_COMMIT, body,
                             STORE_TIMEOUT_S, &answer);
    json_decref(answer);
    free(body);
    return status;
}

long bd_admin_write_drain(const struct bd_admin_store *store, const struct bd_drain_record *record)
{
    struct bd_txn txn;
    char key[sizeof BD_DRAIN_KEY_PREFIX + BD_LABEL_BYTES];
    snprintf(key, sizeof key, BD_DRAIN_KEY_PREFIX "%s", record->name);
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, record->revision);
    bd_txn_put(&txn, key, bd_drain_record_encode(record), 0);
    return bd_admin_commit(store, &txn);
}

double bd_admin_wall_time_s(void)
{
    struct timespec wall = {0, 0};
    (void)clock_gettime(CLOCK_REALTIME, &wall);
    return bd_to_secs(wall);
}

/* ---- reading ---- */

struct bd_admin_response bd_admin_list_drains(const struct bd_admin_store *store)
{
    struct bd_drain_record record;
    struct bd_kv_change pair;
    json_t *value;
    size_t i;
    json_t *pairs = bd_kv_list(store->node, store->http, BD_DRAIN_KEY_PREFIX);
    if (!pairs)
        return bd_admin_store_unreachable();
    json_t *drains = json_array();
    json_array_foreach(pairs, i, value)
    {
        if (bd_wire_read_change(value, &pair) &&
            bd_drain_record_decode(pair.key + strlen(BD_DRAIN_KEY_PREFIX), pair.value,
                                   pair.revision, &record))
            json_array_append_new(drains, describe_drain(&record));
    }
    json_decref(pairs);
    return (struct bd_admin_response){BD_ADMIN_OK, 0, json_pack("{s:o}", "drains", drains)};
}

/* Reads the machines of a drain from the records of its machine set. False: the store did not
 * answer, or a record is malformed. The caller frees *machines in either case. */
static bool read_machines(const struct bd_admin_store *store, const char *set_id,
                          struct bd_drain_machine **machines, uint32_t *count)
{
    char prefix[BD_LABEL_BYTES];
    struct bd_kv_change pair;
    json_t *value;
    size_t i;
    snprintf(prefix, sizeof prefix, BD_DRAIN_MACHINES_KEY_PREFIX "%s/", set_id);
    json_t *pairs = bd_kv_list(store->node, store->http, prefix);
    bool is_complete = pairs != NULL;
    json_array_foreach(pairs, i, value)
    {
        is_complete = is_complete && bd_wire_read_change(value, &pair) &&
                      bd_drain_part_decode(pair.value, machines, count);
    }
    json_decref(pairs);
    return is_complete;
}

static struct bd_admin_response show_machines(const struct bd_drain_record *record,
                                              const struct bd_drain_machine *machines,
                                              uint32_t count)
{
    struct bd_admin_response response = bd_admin_show_record(BD_ADMIN_OK, record);
    json_t *entries = json_array();
    for (uint32_t i = 0; i < count; i++)
        json_array_append_new(entries, describe_machine(&machines[i]));
    json_object_set_new(response.body, "stages", count_stages(machines, count));
    json_object_set_new(response.body, "entries", entries);
    return response;
}

struct bd_admin_response bd_admin_show_drain(const struct bd_admin_store *store, const char *name)
{
    struct bd_stored_drain drain;
    struct bd_admin_response response;
    struct bd_drain_machine *machines = NULL;
    uint32_t count = 0;
    long status = bd_admin_read_drain(store, name, &drain);
    if (status == BD_KV_NOT_FOUND)
        response = bd_admin_refuse(BD_ADMIN_NOT_FOUND, "name", "no such drain");
    else if (status == BD_KV_OK &&
             read_machines(store, drain.record.machine_set_id, &machines, &count))
        response = show_machines(&drain.record, machines, count);
    else
        response = bd_admin_store_unreachable();
    json_decref(drain.answer);
    free(machines);
    return response;
}
