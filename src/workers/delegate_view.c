/* The leader's view of the delegates' records: which machines a delegate may have answered, and
 * which delegates are no longer needed. */
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "leadership/leadership.h"
#include "model/core_state.h"
#include "model/delegate_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include "workers/workers.h"
#include "workers/workers_internal.h"
#include <stdio.h>
#include <string.h>

#define DISMISSAL_S 30.0       /* how long the leader's key lists a dismissed delegate */
#define DISMISSAL_REPEAT_S 8.0 /* between rewrites while its workers come to the leader */
#define RECORD_STALE_S 5.0     /* without a change; a delegate writes its record twice a second */
#define READ_GAP_MAX_S 2.5     /* less than the retention of a record: no machine is missed */

static struct bd_delegate_record *find_or_add_record(struct bd_delegate_view *view, const char *key)
{
    for (int i = 0; i < view->count; i++)
        if (strcmp(view->records[i].key, key) == 0)
            return &view->records[i];
    if (view->count == (int)(sizeof view->records / sizeof *view->records))
        return NULL;
    struct bd_delegate_record *record = &view->records[view->count++];
    memset(record, 0, sizeof *record);
    snprintf(record->key, sizeof record->key, "%s", key);
    return record;
}

/* ---- reading ---- */

static void read_liveness_record(struct bd_core *core, const char *node, size_t node_length,
                                 json_t *value)
{
    char name[BD_LABEL_BYTES];
    snprintf(name, sizeof name, "%.*s", (int)node_length, node);
    bd_autonomous_zone_liveness_record_read(core, name,
                                            json_number_value(json_object_get(value, "at")));
}

/* record: NULL if there are more records than the view can hold. */
static void mark_delegated(struct bd_core *core, const char *id,
                           const struct bd_delegate_record *record)
{
    struct bd_machine *machine = NULL;
    HASH_FIND_STR(core->machines, id, machine);
    if (!machine)
        return;
    machine->is_delegated = true;
    if (record)
        machine->delegate_index = (int)(record - core->delegates.records);
}

static void read_delegate_record(struct bd_core *core, const struct bd_kv_change *change)
{
    struct bd_delegate_view *view = &core->delegates;
    const char *key = change->key + strlen(BD_NODE_RECORD_PREFIX);
    struct bd_delegate_record *record = find_or_add_record(view, key);
    json_t *name;
    size_t i;
    if (record && change->revision != record->revision) {
        record->revision = change->revision;
        record->changed_at = core->now;
    }
    if (record && bd_seconds_between(record->changed_at, core->now) > RECORD_STALE_S)
        snprintf(view->stale_key, sizeof view->stale_key, "%s", change->key);
    json_array_foreach(json_object_get(change->value, "m"), i, name)
    {
        if (json_string_value(name))
            mark_delegated(core, json_string_value(name), record);
    }
}

/* A controller writes its liveness record to NODE/at. As a delegate it writes its record to NODE,
 * and further parts to NODE/PART. */
static void read_record(struct bd_core *core, const struct bd_kv_change *change)
{
    const char *node = change->key + strlen(BD_NODE_RECORD_PREFIX);
    const char *slash = strchr(node, '/');
    if (slash && strcmp(slash, "/at") == 0)
        read_liveness_record(core, node, (size_t)(slash - node), change->value);
    else
        read_delegate_record(core, change);
}

static void extend_lease(struct bd_machine *machine, struct timespec until)
{
    machine->lease_expires_at = bd_time_max(machine->lease_expires_at, until);
}

/* Extends the leases of the machines in the last read of the records: a delegate may have answered
 * them until now, and may do so for a little longer. Extends all leases if that read was sent more
 * than READ_GAP_MAX_S before the present one: machines may have left the records unseen. */
static void extend_leases_of_last_read(struct bd_core *core, struct timespec sent_at,
                                       struct timespec until)
{
    bool has_gap = bd_seconds_between(core->delegates.read_sent_at, sent_at) > READ_GAP_MAX_S;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->machines_by_index[i];
        if (machine->is_delegated || has_gap)
            extend_lease(machine, until);
        machine->is_delegated = false;
    }
}

static void extend_leases_of_delegated(struct bd_core *core, struct timespec until)
{
    for (uint32_t i = 0; i < core->nmachines; i++)
        if (core->machines_by_index[i]->is_delegated)
            extend_lease(core->machines_by_index[i], until);
}

void bd_delegate_records_read(struct bd_core *core, json_t *pairs, struct timespec sent_at)
{
    struct bd_kv_change change;
    json_t *pair;
    size_t i;
    if (core->role != BD_LEADER)
        return;
    struct timespec answered_until =
        bd_time_add(core->now, bd_secs(BD_DELEGATE_CONFIRMATION_VALID_S));
    struct timespec lease_until = bd_lease_expiry(core, answered_until);
    extend_leases_of_last_read(core, sent_at, lease_until);
    json_array_foreach(pairs, i, pair)
    {
        if (bd_wire_read_change(pair, &change) &&
            strncmp(change.key, BD_NODE_RECORD_PREFIX, strlen(BD_NODE_RECORD_PREFIX)) == 0)
            read_record(core, &change);
    }
    extend_leases_of_delegated(core, lease_until);
    core->delegates.read_sent_at = sent_at;
}

/* ---- dismissing ---- */

static bool is_dismissal_announced(const struct bd_core *core,
                                   const struct bd_delegate_record *record)
{
    return !bd_time_is_zero(record->dismissed_at) &&
           bd_seconds_between(record->dismissed_at, core->now) <= DISMISSAL_S;
}

void bd_delegate_dismiss(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->delegate_index >= core->delegates.count)
        return;
    struct bd_delegate_record *record = &core->delegates.records[machine->delegate_index];
    /* A status of the leader may have reached the delegate meanwhile, which ends a dismissal. So
     * the dismissal is repeated. */
    if (!is_dismissal_announced(core, record) ||
        bd_seconds_between(record->announced_at, core->now) > DISMISSAL_REPEAT_S) {
        record->announced_at = core->now;
        bd_log_write(core->log, BD_LOG_INFO,
                     "dismissing delegate %s: %s sent its heartbeat to the leader", record->key,
                     machine->id);
        core->lead.token_raise_wanted = true;
    }
    record->dismissed_at = core->now;
}

json_t *bd_delegates_list_dismissed(const struct bd_core *core)
{
    json_t *names = json_array();
    for (int i = 0; i < core->delegates.count; i++) {
        const struct bd_delegate_record *record = &core->delegates.records[i];
        if (bd_time_is_zero(record->dismissed_at) ||
            bd_seconds_between(record->dismissed_at, core->now) >= DISMISSAL_S)
            continue;
        size_t node_length = strcspn(record->key, "/");
        (void)json_array_append_new(names, json_stringn(record->key, node_length));
    }
    return names;
}
