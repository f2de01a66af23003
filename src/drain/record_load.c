/* Reading of the drains' records by the leader. Any controller may change a drain's state, on
 * condition that its record's revision is unchanged. The loaded machines stay valid, because only
 * the leader writes their records. Part of the pure core. */
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <stdlib.h>
#include <string.h>

/* ---- lifetime ---- */

static int compare_names(const struct bd_drain *a, const struct bd_drain *b)
{
    return strcmp(a->record.name, b->record.name);
}

static struct bd_drain *add_drain(struct bd_drains *drains, const struct bd_drain_record *record)
{
    struct bd_drain *drain = calloc(1, sizeof *drain);
    if (!drain)
        abort();
    drain->record = *record;
    json_incref(drain->record.request);
    HASH_ADD_STR(drains->drains, record.name, drain);
    HASH_SORT(drains->drains, compare_names);
    return drain;
}

static void remove_drain(struct bd_drains *drains, struct bd_drain *drain)
{
    HASH_DEL(drains->drains, drain);
    json_decref(drain->record.request);
    free(drain->machines);
    free(drain->parts);
    free(drain);
}

void bd_drains_clear(struct bd_drains *drains)
{
    struct bd_drain *drain, *next;
    HASH_ITER(hh, drains->drains, drain, next)
    {
        remove_drain(drains, drain);
    }
    drains->nowners = 0;
    drains->needs_machine_records = true;
}

/* ---- reading ---- */

bool bd_drain_needs_machine_records(const struct bd_core *core)
{
    return core->drains && core->drains->needs_machine_records;
}

bool bd_drain_record_has_ended(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_DONE || record->state == BD_DRAIN_CANCELLED;
}

/* Applies one drain's record if it is newer than the known revision. */
static void apply_record(struct bd_core *core, const struct bd_kv_change *change)
{
    struct bd_drain_record record;
    struct bd_drain *drain = NULL;
    const char *name = change->key + strlen(BD_DRAIN_KEY_PREFIX);
    if (!bd_drain_record_decode(name, change->value, change->revision, &record)) {
        bd_log_write(core->log, BD_LOG_ERROR, "drain record %s is malformed; ignored", change->key);
        return;
    }
    HASH_FIND_STR(core->drains->drains, name, drain);
    if (!drain)
        drain = add_drain(core->drains, &record);
    drain->is_listed = true;
    /* if the listing is outdated, one more transaction is rejected at worst */
    drain->is_stale = false;
    if (record.revision <= drain->record.revision)
        return;
    if (record.state != drain->record.state)
        bd_log_write(core->log, BD_LOG_INFO, "drain %s is %s, revision %llu", drain->record.name,
                     bd_drain_state_name(record.state), (unsigned long long)record.revision);
    drain->record.state = record.state;
    drain->record.ended_at_s = record.ended_at_s;
    drain->record.revision = record.revision;
}

/* Adds a part that holds the machines from index `first_machine` on. */
static void add_part(struct bd_drain *drain, uint32_t number, uint32_t first_machine)
{
    struct bd_drain_part *grown = realloc(drain->parts, (number + 1) * sizeof *grown);
    if (!grown)
        abort();
    drain->parts = grown;
    grown[number] = (struct bd_drain_part){.first_machine = first_machine,
                                           .nmachines = drain->nmachines - first_machine};
}

/* Reads the drain's parts from the machines' records of all drains, which are sorted by key.
 * Returns how many were read before the first one that is missing or malformed. */
static uint32_t read_parts(struct bd_drain *drain, json_t *machine_records)
{
    char key[BD_LABEL_BYTES];
    struct bd_kv_change change;
    json_t *pair;
    size_t i;
    uint32_t part = 0;
    bd_drain_part_key(key, sizeof key, drain->record.machine_set_id, part);
    json_array_foreach(machine_records, i, pair)
    {
        if (part == drain->record.nparts || !bd_wire_read_change(pair, &change) ||
            strcmp(change.key, key) != 0)
            continue;
        uint32_t first_machine = drain->nmachines;
        if (!bd_drain_part_decode(change.value, &drain->machines, &drain->nmachines))
            break;
        add_part(drain, part, first_machine);
        bd_drain_part_key(key, sizeof key, drain->record.machine_set_id, ++part);
    }
    return part;
}

static void load_machines(struct bd_core *core, struct bd_drain *drain, json_t *machine_records)
{
    uint32_t parts = read_parts(drain, machine_records);
    drain->is_loaded = parts == drain->record.nparts && drain->nmachines > 0;
    drain->is_damaged = !drain->is_loaded;
    if (drain->is_damaged)
        bd_log_write(core->log, BD_LOG_ERROR,
                     "drain %s: machine records missing or malformed; ignored", drain->record.name);
    else
        bd_log_write(core->log, BD_LOG_INFO, "drain %s loaded: %u machines to %s, %s",
                     drain->record.name, drain->nmachines, bd_drain_mode_name(drain->record.mode),
                     bd_drain_state_name(drain->record.state));
}

static void apply_records(struct bd_core *core, json_t *records)
{
    struct bd_kv_change change;
    json_t *pair;
    size_t i;
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next)
        drain->is_listed = false;
    json_array_foreach(records, i, pair)
    {
        if (bd_wire_read_change(pair, &change) &&
            strncmp(change.key, BD_DRAIN_KEY_PREFIX, strlen(BD_DRAIN_KEY_PREFIX)) == 0)
            apply_record(core, &change);
    }
}

void bd_drain_apply_records(struct bd_core *core, json_t *records, json_t *machine_records,
                            struct timespec sent_at)
{
    struct bd_drains *drains = core->drains;
    struct bd_drain *drain, *next;
    if (!drains || core->role != BD_LEADER)
        return;
    apply_records(core, records);
    bd_stop_permit_records_read(core, sent_at);
    drains->needs_machine_records = false;
    HASH_ITER(hh, drains->drains, drain, next)
    {
        bool needs_machines =
            !drain->is_loaded && !drain->is_damaged && !bd_drain_record_has_ended(&drain->record);
        if (!drain->is_listed && !drain->done_in_flight && drain->deletions_in_flight == 0)
            remove_drain(drains, drain);
        else if (needs_machines && machine_records)
            load_machines(core, drain, machine_records);
        else if (needs_machines)
            drains->needs_machine_records = true;
    }
}
