/* The record of a delegate in the key-value store: the names of the machines that it answers in
 * place of the leader. Several hundred names do not fit into one value, so the record has parts,
 * which are written in one transaction. */
#include "base/json_number.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/delegate_state.h"
#include "model/effect.h"
#include "model/kv_limits.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITE_INTERVAL_S 0.5 /* between writes of the record */

/* How long a machine stays in the record after its last heartbeat: RETENTION_INTERVALS heartbeat
 * intervals and RETENTION_EXTRA_S, but at least RETENTION_MIN_S. This is longer than the time
 * between two heartbeats of a worker; otherwise the machine would be added anew with each
 * heartbeat. */
#define RETENTION_MIN_S 3.0
#define RETENTION_INTERVALS 1.25
#define RETENTION_EXTRA_S 2.0

#define NAME_OVERHEAD_BYTES 3u     /* per name in the record: quotes and a comma */
#define PART_OVERHEAD_BYTES 64u    /* per part, in addition to the names */
#define TXN_NAMES_BYTES_MAX 56000u /* of the names in a transaction, whose limit is 64 KiB */
#define PART_SUFFIX_BYTES 16u      /* of a part's key, after the record's key */

static double retention_s(const struct bd_core *core)
{
    double normal_s =
        RETENTION_INTERVALS * bd_to_secs(core->settings->heartbeat_interval) + RETENTION_EXTRA_S;
    return normal_s > RETENTION_MIN_S ? normal_s : RETENTION_MIN_S;
}

/* ---- how many machines the record can name ---- */

static size_t name_bytes_max(const struct bd_delegate *delegate)
{
    return delegate->longest_id_length + NAME_OVERHEAD_BYTES;
}

static uint32_t machines_per_part(const struct bd_core *core)
{
    double bytes =
        BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max - PART_OVERHEAD_BYTES;
    double machines = bytes / (double)name_bytes_max(&core->delegate);
    return machines < 1 ? 1 : (uint32_t)machines;
}

/* All parts are written in one transaction. */
static uint32_t parts_max(const struct bd_core *core)
{
    return core->kv_limits.kv_txn_ops_max < BD_DELEGATE_PARTS_MAX
               ? (uint32_t)core->kv_limits.kv_txn_ops_max
               : BD_DELEGATE_PARTS_MAX;
}

static uint32_t machines_max(const struct bd_core *core)
{
    uint32_t by_parts = machines_per_part(core) * parts_max(core);
    uint32_t by_txn = (uint32_t)(TXN_NAMES_BYTES_MAX / name_bytes_max(&core->delegate));
    return by_parts < by_txn ? by_parts : by_txn;
}

static bool has_capacity_for(const struct bd_core *core, const char *id)
{
    return core->delegate.nserved < machines_max(core) &&
           strlen(id) + PART_OVERHEAD_BYTES < core->kv_limits.kv_value_bytes_max;
}

/* ---- the machines ---- */

struct bd_served_machine *bd_delegate_find(const struct bd_core *core, const char *id)
{
    struct bd_served_machine *machine = NULL;
    HASH_FIND_STR(core->delegate.served, id, machine);
    return machine;
}

struct bd_served_machine *bd_delegate_find_or_add(struct bd_core *core, const char *id)
{
    struct bd_delegate *delegate = &core->delegate;
    struct bd_served_machine *machine = bd_delegate_find(core, id);
    if (machine)
        return machine;
    if (strlen(id) > delegate->longest_id_length)
        delegate->longest_id_length = strlen(id);
    if (!has_capacity_for(core, id)) {
        bd_log_write(core->log, BD_LOG_ERROR, "delegate record is full: %u machines",
                     delegate->nserved);
        return NULL;
    }
    machine = calloc(1, sizeof *machine);
    if (!machine)
        return NULL;
    snprintf(machine->id, sizeof machine->id, "%s", id);
    machine->last_heartbeat_at = core->now;
    HASH_ADD_STR(delegate->served, id, machine);
    delegate->nserved++;
    return machine;
}

static void remove_machine(struct bd_delegate *delegate, struct bd_served_machine *machine)
{
    HASH_DEL(delegate->served, machine);
    free(machine);
    delegate->nserved--;
    if (delegate->nserved == 0)
        delegate->longest_id_length = 0;
}

void bd_delegate_remove_all_machines(struct bd_core *core)
{
    struct bd_served_machine *machine, *next;
    HASH_ITER(hh, core->delegate.served, machine, next)
    {
        remove_machine(&core->delegate, machine);
    }
}

void bd_delegate_expire_machines(struct bd_core *core)
{
    struct bd_served_machine *machine, *next;
    HASH_ITER(hh, core->delegate.served, machine, next)
    {
        if (bd_seconds_between(machine->last_heartbeat_at, core->now) > retention_s(core))
            remove_machine(&core->delegate, machine);
    }
}

void bd_delegate_confirm_machines(struct bd_core *core)
{
    for (struct bd_served_machine *machine = core->delegate.served; machine;
         machine = machine->hh.next)
        machine->is_confirmed |= machine->is_sent;
}

/* Removes the newest machines beyond the limit, which may have become lower with the store's
 * limits. Workers that are not in the record are redirected. */
static void truncate_machines(struct bd_delegate *delegate, uint32_t limit)
{
    struct bd_served_machine *machine, *next;
    uint32_t kept = 0;
    HASH_ITER(hh, delegate->served, machine, next)
    {
        if (kept++ >= limit)
            remove_machine(delegate, machine);
    }
}

/* ---- writing ---- */

/* Adds a part with as many names as fit to the transaction. next: in and out, the first machine
 * that is in no part yet. */
static void write_part(struct bd_core *core, struct bd_txn *txn, const char *record_key,
                       uint32_t part, struct bd_served_machine **next)
{
    char key[BD_LABEL_BYTES + PART_SUFFIX_BYTES];
    uint32_t limit = machines_per_part(core);
    json_t *names = json_array();
    snprintf(key, sizeof key, "%s", record_key);
    if (part > 0)
        snprintf(key + strlen(key), PART_SUFFIX_BYTES, "/%u", part);
    for (uint32_t count = 0; count < limit && *next; count++) {
        json_array_append_new(names, json_string((*next)->id));
        (*next)->is_sent = true;
        *next = (*next)->hh.next;
    }
    json_t *value = json_pack("{s:o,s:o}", "t", bd_json_unsigned(core->delegate.term), "m", names);
    bd_txn_put(txn, key, value, 0);
}

/* The number of parts to write: as many as before even if fewer are needed, since a part that is no
 * longer needed is written without names. At most as many as the store's limits allow. */
static uint32_t parts_to_write(const struct bd_core *core)
{
    const struct bd_delegate *delegate = &core->delegate;
    uint32_t per_part = machines_per_part(core);
    uint32_t needed = (delegate->nserved + per_part - 1) / per_part;
    uint32_t written_before = delegate->parts < parts_max(core) ? delegate->parts : parts_max(core);
    uint32_t parts = needed > written_before ? needed : written_before;
    return parts > 0 ? parts : 1;
}

static char *build_record_txn(struct bd_core *core, const char *key)
{
    struct bd_delegate *delegate = &core->delegate;
    struct bd_txn txn;
    delegate->term = core->leader_term ? core->leader_term : core->last_term;
    delegate->leader_revision = core->leader_term;
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, "leader", delegate->leader_revision);
    bd_txn_compare(&txn, key, delegate->revision);
    truncate_machines(delegate, machines_max(core));
    delegate->parts = parts_to_write(core);
    struct bd_served_machine *next = delegate->served;
    for (uint32_t part = 0; part < delegate->parts; part++)
        write_part(core, &txn, key, part, &next);
    char *body = bd_txn_finish(&txn);
    if (!body)
        abort();
    return body;
}

void bd_delegate_write_record(struct bd_core *core)
{
    struct bd_delegate *delegate = &core->delegate;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_DELEGATE_TXN);
    snprintf(effect->key, sizeof effect->key, BD_NODE_RECORD_PREFIX "%.60s", core->settings->node);
    delegate->txn_in_flight = true;
    delegate->next_write = bd_time_add(core->now, bd_secs(WRITE_INTERVAL_S));
    /* An effect without a body reads the record's revision: the record of an earlier process may
     * still exist. */
    if (delegate->revision_known)
        effect->body = build_record_txn(core, effect->key);
}
