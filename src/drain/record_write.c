/* Writing of the drains' records in the leader's transactions, which are conditional on its term
 * and commit sequence. Part of the pure core. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <string.h>

/* After a transaction is rejected, the leader's transactions contain no drain records for this
 * time, so that these cannot block its other writes. */
#define REJECTED_TXN_DELAY_S 1.0
/* Between writes of a part in which only wait reasons changed. */
#define WAIT_WRITE_INTERVAL_S 2.0

/* ---- due writes ---- */

static bool part_is_due(const struct bd_core *core, const struct bd_drain_part *part)
{
    return part->is_dirty && !part->in_flight &&
           (part->is_urgent ||
            bd_seconds_between(part->last_written_at, core->now) > WAIT_WRITE_INTERVAL_S);
}

/* False: the part exceeds the maximum size of a value, which has been lowered. The write is retried
 * later, because the store would reject the whole transaction of the leader that holds it. */
static bool write_part(struct bd_core *core, struct bd_drain *drain, uint32_t number,
                       struct bd_drain_write *out)
{
    struct bd_drain_part *part = &drain->parts[number];
    struct bd_drain_machine *machines = drain->machines + part->first_machine;
    out->value = bd_drain_part_encode(machines, part->nmachines);
    out->bytes = bd_wire_value_bytes(out->value);
    part->last_written_at = core->now;
    if (out->bytes > core->kv_limits.kv_value_bytes_max) {
        bd_log_write(core->log, BD_LOG_ERROR,
                     "drain %s: record of %zu bytes exceeds the value size limit; retried later",
                     drain->record.name, out->bytes);
        json_decref(out->value);
        memset(out, 0, sizeof *out);
        part->is_urgent = false;
        return false;
    }
    for (uint32_t i = 0; i < part->nmachines; i++)
        machines[i].in_flight_stage = machines[i].stage;
    bd_drain_part_key(out->key, sizeof out->key, drain->record.machine_set_id, number);
    part->in_flight = true;
    part->is_dirty = part->is_urgent = false;
    return true;
}

static void format_record_key(const struct bd_drain *drain, struct bd_drain_write *out)
{
    snprintf(out->key, sizeof out->key, BD_DRAIN_KEY_PREFIX "%s", drain->record.name);
}

static bool write_done(struct bd_core *core, struct bd_drain *drain, struct bd_drain_write *out)
{
    if (!drain->is_over || drain->done_in_flight || drain->is_stale)
        return false;
    struct bd_drain_record record = drain->record;
    record.state = BD_DRAIN_DONE;
    record.ended_at_s = core->wall_s;
    format_record_key(drain, out);
    out->value = bd_drain_record_encode(&record);
    out->revision = drain->record.revision;
    out->bytes = core->kv_limits.kv_value_bytes_max;
    drain->done_in_flight = true;
    return true;
}

/* Deletes the records of a drain that ended record_retention_s ago, one by one, the drain's own
 * record last. */
static bool write_deletion(struct bd_core *core, struct bd_drain *drain, struct bd_drain_write *out)
{
    if (drain->deletions_in_flight > 0 || drain->records_deleted > drain->record.nparts ||
        core->wall_s - drain->record.ended_at_s < core->drains->rules->record_retention_s)
        return false;
    if (drain->records_deleted < drain->record.nparts)
        bd_drain_part_key(out->key, sizeof out->key, drain->record.machine_set_id,
                          drain->records_deleted);
    else
        format_record_key(drain, out);
    drain->deletions_in_flight = 1;
    return true;
}

static bool next_drain_write(struct bd_core *core, struct bd_drain *drain,
                             struct bd_drain_write *out)
{
    if (bd_drain_record_has_ended(&drain->record))
        return write_deletion(core, drain, out);
    for (uint32_t i = 0; drain->is_loaded && i < drain->record.nparts; i++)
        if (part_is_due(core, &drain->parts[i]) && write_part(core, drain, i, out))
            return true;
    return write_done(core, drain, out);
}

bool bd_drain_next_write(struct bd_core *core, struct bd_drain_write *out)
{
    memset(out, 0, sizeof *out);
    if (!core->drains || bd_time_is_before(core->now, core->drains->next_write_at))
        return false;
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next)
        if (next_drain_write(core, drain, out))
            return true;
    return false;
}

/* ---- outcome of the transaction ---- */

static void complete_part(struct bd_drain *drain, struct bd_drain_part *part, bool applied)
{
    part->in_flight = false;
    if (!applied) {
        part->is_dirty = part->is_urgent = true;
        return;
    }
    for (uint32_t i = part->first_machine; i < part->first_machine + part->nmachines; i++)
        drain->machines[i].recorded_stage = drain->machines[i].in_flight_stage;
}

static void complete_done(const struct bd_core *core, struct bd_drain *drain, bool applied)
{
    drain->done_in_flight = false;
    if (applied) {
        drain->record.state = BD_DRAIN_DONE;
        drain->record.ended_at_s = core->wall_s;
    } else {
        drain->is_stale = true; /* an administrator may have written another state */
    }
}

static void complete_writes(const struct bd_core *core, struct bd_drain *drain, bool applied)
{
    for (uint32_t i = 0; drain->is_loaded && i < drain->record.nparts; i++)
        if (drain->parts[i].in_flight)
            complete_part(drain, &drain->parts[i], applied);
    if (drain->done_in_flight)
        complete_done(core, drain, applied);
    if (applied)
        drain->records_deleted += drain->deletions_in_flight;
    drain->deletions_in_flight = 0;
}

void bd_drain_txn_completed(struct bd_core *core, bool applied)
{
    if (!core->drains)
        return;
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next)
        complete_writes(core, drain, applied);
    if (applied)
        bd_drain_execute_step(core);
    else
        core->drains->next_write_at = bd_time_add(core->now, bd_secs(REJECTED_TXN_DELAY_S));
}
