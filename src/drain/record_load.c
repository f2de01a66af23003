/* The drains' records as the leader reads them. Any controller may write a drain's state on
 * condition of its record's revision; what is known of the machines stays, since only the leader
 * writes those. Part of the pure core. */
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
    json_incref(drain->record.asked);
    HASH_ADD_STR(drains->drains, record.name, drain);
    HASH_SORT(drains->drains, compare_names);
    return drain;
}

static void remove_drain(struct bd_drains *drains, struct bd_drain *drain)
{
    HASH_DEL(drains->drains, drain);
    json_decref(drain->record.asked);
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
    drains->wants_sets = true;
}

/* ---- reading ---- */

bool bd_drain_wants_sets(const struct bd_core *core)
{
    return core->drains && core->drains->wants_sets;
}

bool bd_drain_record_has_ended(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_DONE || record->state == BD_DRAIN_CANCELLED;
}

/* Applies one drain's record if it is newer than the known one. */
static void apply_record(struct bd_core *core, const struct bd_kv_change *change)
{
    struct bd_drain_record record;
    struct bd_drain *drain = NULL;
    const char *name = change->key + strlen(BD_DRAIN_KEY);
    if (!bd_drain_record_decode(name, change->value, change->revision, &record)) {
        bd_log_write(core->log, BD_LOG_ERROR, "record %s cannot be read: it is left alone",
                     change->key);
        return;
    }
    HASH_FIND_STR(core->drains->drains, name, drain);
    if (!drain)
        drain = add_drain(core->drains, &record);
    drain->is_listed = true;
    drain->is_stale = false; /* an old listing costs no more than another refused transaction */
    if (record.revision <= drain->record.revision)
        return;
    drain->record.state = record.state;
    drain->record.ended = record.ended;
    drain->record.revision = record.revision;
}

/* Adds the part that holds the machines from number `from` on. */
static void add_part(struct bd_drain *drain, uint32_t number, uint32_t from)
{
    struct bd_drain_part *grown = realloc(drain->parts, (number + 1) * sizeof *grown);
    if (!grown)
        abort();
    drain->parts = grown;
    grown[number] = (struct bd_drain_part){.from = from, .n = drain->nmachines - from};
}

/* Reads the drain's parts from the records of all sets, which are in the order of keys. Returns
 * how many were read before one that is missing or damaged. */
static uint32_t read_parts(struct bd_drain *drain, json_t *sets)
{
    char key[BD_LABEL_BYTES];
    struct bd_kv_change change;
    json_t *pair;
    size_t i;
    uint32_t part = 0;
    bd_drain_part_key(key, sizeof key, drain->record.set, part);
    json_array_foreach(sets, i, pair)
    {
        if (part == drain->record.parts || !bd_wire_read_change(pair, &change) ||
            strcmp(change.key, key) != 0)
            continue;
        uint32_t from = drain->nmachines;
        if (!bd_drain_part_decode(change.value, &drain->machines, &drain->nmachines))
            break;
        add_part(drain, part, from);
        bd_drain_part_key(key, sizeof key, drain->record.set, ++part);
    }
    return part;
}

static void load_machines(struct bd_core *core, struct bd_drain *drain, json_t *sets)
{
    uint32_t parts = read_parts(drain, sets);
    drain->is_loaded = parts == drain->record.parts && drain->nmachines > 0;
    drain->is_damaged = !drain->is_loaded;
    if (drain->is_damaged)
        bd_log_write(core->log, BD_LOG_ERROR,
                     "drain %s: its machines cannot be read: it is left alone", drain->record.name);
    else
        bd_log_write(core->log, BD_LOG_INFO, "drain %s: %u machines to %s, %s", drain->record.name,
                     drain->nmachines, bd_drain_mode_name(drain->record.mode),
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
            strncmp(change.key, BD_DRAIN_KEY, strlen(BD_DRAIN_KEY)) == 0)
            apply_record(core, &change);
    }
}

void bd_drain_apply_records(struct bd_core *core, json_t *records, json_t *sets)
{
    struct bd_drains *drains = core->drains;
    struct bd_drain *drain, *next;
    if (!drains || core->role != BD_LEADER)
        return;
    apply_records(core, records);
    drains->wants_sets = false;
    HASH_ITER(hh, drains->drains, drain, next)
    {
        bool needs_machines =
            !drain->is_loaded && !drain->is_damaged && !bd_drain_record_has_ended(&drain->record);
        if (!drain->is_listed && !drain->done_in_flight && drain->delete_in_flight == 0)
            remove_drain(drains, drain);
        else if (needs_machines && sets)
            load_machines(core, drain, sets);
        else if (needs_machines)
            drains->wants_sets = true;
    }
}
