/* The drains' records as a leader takes them in, and as its transactions write them. Users' states
 * (paused, called off) are written by any controller on condition of the record's revision; the
 * machines' by the leader alone, with its term and commit sequence as conditions. Part of the pure
 * core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/leadership_state.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REFUSED_S 1.0 /* after a transaction that was not applied: others go on without ours */
#define REASONS_S 2.0 /* between two writes of a part that only hold reasons to wait */

static void free_drain(struct bd_drain *drain)
{
    json_decref(drain->record.asked);
    free(drain->machines);
    free(drain->parts);
    free(drain);
}

void bd_drains_forget(struct bd_drains *drains)
{
    struct bd_drain *drain, *tmp;
    HASH_ITER(hh, drains->drains, drain, tmp)
    {
        HASH_DEL(drains->drains, drain);
        free_drain(drain);
    }
    drains->nowners = 0;
    drains->want_sets = true;
}

bool bd_drain_wants_sets(const struct bd_core *core)
{
    return core->drains && core->drains->want_sets;
}

/* ---- taking in ---- */

static int by_name(const struct bd_drain *a, const struct bd_drain *b)
{
    return strcmp(a->name, b->name);
}

static struct bd_drain *new_drain(struct bd_drains *drains, const struct bd_drain_record *record)
{
    struct bd_drain *drain = calloc(1, sizeof *drain);
    if (!drain)
        abort();
    snprintf(drain->name, sizeof drain->name, "%s", record->name);
    drain->record = *record;
    json_incref(drain->record.asked);
    HASH_ADD_STR(drains->drains, name, drain);
    HASH_SORT(drains->drains, by_name);
    return drain;
}

static bool ended(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_DONE || record->state == BD_DRAIN_CALLED_OFF;
}

/* The newer record; a set never changes, so that what is known of the machines stays. */
static void take_record(struct bd_core *core, const struct bd_change *ch)
{
    struct bd_drain_record record;
    struct bd_drain *drain = NULL;
    const char *name = ch->key + strlen(BD_DRAIN_KEY);
    if (!bd_drain_record_read(name, ch->value, ch->revision, &record)) {
        bd_log_write(core->log, BD_LOG_ERROR, "record %s cannot be read: it is left alone",
                     ch->key);
        return;
    }
    HASH_FIND_STR(core->drains->drains, name, drain);
    if (!drain)
        drain = new_drain(core->drains, &record);
    drain->listed = true;
    drain->stale = false; /* one that is older than the change costs another refusal */
    if (record.revision <= drain->record.revision)
        return;
    drain->record.state = record.state;
    drain->record.ended = record.ended;
    drain->record.revision = record.revision;
}

static void parts_of(struct bd_drain *drain, uint32_t part, uint32_t before)
{
    struct bd_drain_part *grown = realloc(drain->parts, (part + 1) * sizeof *grown);
    if (!grown)
        abort();
    drain->parts = grown;
    grown[part] = (struct bd_drain_part){.from = before, .n = drain->nmachines - before};
}

/* The machines from the listing of all sets; a part that is missing or damaged: none of them. */
static void load(struct bd_core *core, struct bd_drain *drain, json_t *sets)
{
    char key[BD_LABEL];
    struct bd_change ch;
    json_t *v;
    size_t i;
    uint32_t part = 0;
    bd_drain_part_key(key, sizeof key, drain->record.set, part);
    json_array_foreach(sets, i, v)
    {
        if (part == drain->record.parts || !bd_wire_change(v, &ch) || strcmp(ch.key, key) != 0)
            continue;
        uint32_t before = drain->nmachines;
        if (!bd_drain_part_read(ch.value, &drain->machines, &drain->nmachines))
            break;
        parts_of(drain, part, before);
        bd_drain_part_key(key, sizeof key, drain->record.set, ++part);
    }
    drain->loaded = part == drain->record.parts && drain->nmachines > 0;
    drain->damaged = !drain->loaded;
    if (drain->damaged)
        bd_log_write(core->log, BD_LOG_ERROR,
                     "drain %s: its machines cannot be read: it is left alone", drain->name);
    else
        bd_log_write(core->log, BD_LOG_INFO, "drain %s: %u machines to %s, %s", drain->name,
                     drain->nmachines, bd_drain_mode_name(drain->record.mode),
                     bd_drain_state_name(drain->record.state));
}

void bd_drain_records(struct bd_core *core, json_t *records, json_t *sets)
{
    struct bd_drain *drain, *tmp;
    struct bd_change ch;
    json_t *v;
    size_t i;
    if (!core->drains || core->role != BD_LEADER)
        return;
    for (drain = core->drains->drains; drain; drain = drain->hh.next)
        drain->listed = false;
    json_array_foreach(records, i, v)
    {
        if (bd_wire_change(v, &ch) && strncmp(ch.key, BD_DRAIN_KEY, strlen(BD_DRAIN_KEY)) == 0)
            take_record(core, &ch);
    }
    core->drains->want_sets = false;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        bool known = drain->loaded || drain->damaged || ended(&drain->record);
        if (!drain->listed && !drain->over_sent && !drain->drop_sent) {
            HASH_DEL(core->drains->drains, drain);
            free_drain(drain);
        } else if (!known && sets) {
            load(core, drain, sets);
        } else if (!known) {
            core->drains->want_sets = true;
        }
    }
}

/* ---- writing ---- */

static bool part_due(const struct bd_core *core, const struct bd_drain_part *part)
{
    return part->dirty && !part->sent &&
           (part->urgent || bd_between(part->written, core->now) > REASONS_S);
}

/* False: the limit on values was lowered below it. It waits until that rises again; a transaction
 * with it would be refused, and all that the leader starts with it. */
static bool write_part(struct bd_core *core, struct bd_drain *drain, uint32_t number,
                       struct bd_drain_write *out)
{
    struct bd_drain_part *part = &drain->parts[number];
    struct bd_drain_machine *machines = drain->machines + part->from;
    out->value = bd_drain_part_value(machines, part->n);
    out->bytes = bd_wire_bytes(out->value);
    part->written = core->now;
    if (out->bytes > core->kv_limits.kv_value_bytes_max) {
        bd_log_write(core->log, BD_LOG_ERROR,
                     "drain %s: a record of %zu bytes is larger than a value may be", drain->name,
                     out->bytes);
        json_decref(out->value);
        memset(out, 0, sizeof *out);
        part->urgent = false;
        return false;
    }
    for (uint32_t i = 0; i < part->n; i++)
        machines[i].sent = machines[i].stage;
    bd_drain_part_key(out->key, sizeof out->key, drain->record.set, number);
    part->sent = true;
    part->dirty = part->urgent = false;
    return true;
}

static bool write_end(struct bd_core *core, struct bd_drain *drain, struct bd_drain_write *out)
{
    struct bd_drain_record record = drain->record;
    record.state = BD_DRAIN_DONE;
    record.ended = core->wall;
    snprintf(out->key, sizeof out->key, BD_DRAIN_KEY "%s", drain->name);
    out->value = bd_drain_record_value(&record);
    out->revision = drain->record.revision;
    out->bytes = core->kv_limits.kv_value_bytes_max;
    drain->over_sent = true;
    return true;
}

/* The records of a drain that ended long ago go one by one, its own last. */
static bool write_drop(struct bd_core *core, struct bd_drain *drain, struct bd_drain_write *out)
{
    if (drain->drop_sent > 0 || drain->dropped > drain->record.parts ||
        core->wall - drain->record.ended < core->drains->rules->keep_s)
        return false;
    if (drain->dropped < drain->record.parts)
        bd_drain_part_key(out->key, sizeof out->key, drain->record.set, drain->dropped);
    else
        snprintf(out->key, sizeof out->key, BD_DRAIN_KEY "%s", drain->name);
    drain->drop_sent = 1;
    return true;
}

static bool next_of(struct bd_core *core, struct bd_drain *drain, struct bd_drain_write *out)
{
    if (ended(&drain->record))
        return write_drop(core, drain, out);
    for (uint32_t k = 0; drain->loaded && k < drain->record.parts; k++)
        if (part_due(core, &drain->parts[k]) && write_part(core, drain, k, out))
            return true;
    return drain->over && !drain->over_sent && !drain->stale && write_end(core, drain, out);
}

bool bd_drain_next_write(struct bd_core *core, struct bd_drain_write *out)
{
    struct bd_drain *drain, *tmp;
    memset(out, 0, sizeof *out);
    if (!core->drains || bd_before(core->now, core->drains->hold_until))
        return false;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        if (next_of(core, drain, out))
            return true;
    }
    return false;
}

static void part_committed(struct bd_drain *drain, struct bd_drain_part *part, bool applied)
{
    part->sent = false;
    part->dirty = part->dirty || !applied;
    part->urgent = part->urgent || !applied;
    for (uint32_t i = part->from; applied && i < part->from + part->n; i++)
        drain->machines[i].recorded = drain->machines[i].sent;
}

void bd_drain_committed(struct bd_core *core, bool applied)
{
    struct bd_drain *drain, *tmp;
    if (!core->drains)
        return;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t k = 0; drain->loaded && k < drain->record.parts; k++)
            if (drain->parts[k].sent)
                part_committed(drain, &drain->parts[k], applied);
        if (drain->over_sent && applied)
            drain->record.state = BD_DRAIN_DONE;
        if (drain->over_sent && applied)
            drain->record.ended = core->wall;
        /* another state may have been written meanwhile: the next look tells */
        drain->stale = drain->stale || (drain->over_sent && !applied);
        drain->over_sent = false;
        drain->dropped += applied ? drain->drop_sent : 0;
        drain->drop_sent = 0;
    }
    if (applied)
        bd_drain_tell(core);
    else
        core->drains->hold_until = bd_add(core->now, bd_secs(REFUSED_S));
}
