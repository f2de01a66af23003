/* Provisioning of replacement machines: of the same type and in the same zone, or in another zone
 * (for a spot machine, also on demand) if none can be provisioned or comes up there. Part of the
 * pure core. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "drain/drain_record.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 16u        /* provisioning requests in a tick, each to a different pool */
#define REQUEST_MACHINES_MAX 50 /* machines in a provisioning request */

struct pool {
    int type, zone;
    bool spot;
};

/* A provisioning request, and the entries whose replacements it provisions. */
struct request {
    struct pool pool;
    struct bd_drain_machine *entries[REQUEST_MACHINES_MAX];
    int count;
};

struct request_list {
    struct request *requests; /* capacity: REQUESTS_MAX */
    uint32_t nrequests;
};

/* ---- whether a replacement is up ---- */

/* NULL: the entry has no replacement, or the machine is not known yet in this term. */
static struct bd_machine *find_replacement(const struct bd_core *core,
                                           const struct bd_drain_machine *entry)
{
    return *entry->replacement ? bd_drain_find_machine(core, entry->replacement) : NULL;
}

bool bd_replacement_is_up(const struct bd_core *core, const struct bd_drain_machine *entry)
{
    const struct bd_machine *machine = find_replacement(core, entry);
    return machine && bd_machine_is_usable(core, machine);
}

static bool no_task_is_down(const struct bd_ledger *ledger)
{
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        if (ledger->budgets[i].down > 0)
            return false;
    return true;
}

bool bd_replacement_has_work(const struct bd_core *core, const struct bd_drain_machine *entry)
{
    const struct bd_machine *machine = find_replacement(core, entry);
    if (!machine || !bd_machine_is_usable(core, machine))
        return false;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        const struct bd_reservation *reservation = &machine->reservations[i];
        if (bd_ledger_is_up(core->ledger, reservation->job, reservation->task->index))
            return true;
    }
    return no_task_is_down(core->ledger);
}

/* ---- abandoned replacements ---- */

static void abandon_replacement(const struct bd_core *core, const struct bd_drain *drain,
                                struct bd_drain_machine *entry)
{
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: replacement %s of %s abandoned",
                 drain->record.name, entry->replacement, entry->id);
    entry->replacement[0] = '\0';
    entry->failed_replacements++;
}

static bool replacement_is_lost(const struct bd_machine *machine)
{
    /* a cordoned replacement is itself in another drain */
    return machine && (machine->terminated || machine->failed || machine->quarantined ||
                       machine->scaling_in || machine->cordoned);
}

static void check_replacement(struct bd_core *core, const struct bd_drain *drain,
                              struct bd_drain_machine *entry)
{
    if (!*entry->replacement)
        return;
    if (bd_time_is_zero(entry->replacement_requested_at)) /* requested by an earlier leader */
        entry->replacement_requested_at = core->now;
    const struct bd_machine *machine = find_replacement(core, entry);
    double waited_s = bd_seconds_between(entry->replacement_requested_at, core->now);
    bool has_come_up = machine && machine->has_seen_term;
    bool is_late = waited_s > core->drains->rules->replacement_timeout_s && !has_come_up;
    if (is_late || replacement_is_lost(machine))
        abandon_replacement(core, drain, entry);
}

/* ---- requests ---- */

/* Whether the entry's machine needs a replacement that has not taken over yet. */
static bool needs_replacement(const struct bd_core *core, const struct bd_drain *drain,
                              const struct bd_drain_machine *entry)
{
    return drain->record.mode == BD_DRAIN_REPLACE && drain->record.state == BD_DRAIN_ACTIVE &&
           entry->stage != BD_STAGE_REPLACED && !bd_drain_entry_is_mirror(core, entry);
}

/* Counts the replacements that are requested or provisioned but have not taken over yet. */
static uint32_t count_pending(const struct bd_core *core)
{
    uint32_t pending = 0;
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    const struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator)))
        pending += needs_replacement(core, iterator.drain, entry) &&
                   (*entry->replacement || *entry->provisioning_request);
    return pending;
}

static bool may_request_from(struct bd_core *core, const struct pool *pool)
{
    const struct bd_pool *pool_state = bd_pool_of(core, pool->type, pool->zone, pool->spot);
    return core->types[pool->type].zones >> pool->zone & 1 && !pool_state->request_in_flight &&
           !bd_time_is_before(core->now, pool_state->next_request_at);
}

/* Chooses the pool to request from: the machine's own, then the other zones', and for a spot
 * machine then the on-demand pools. Each failed replacement moves the start of the search by one.
 * False: no pool accepts requests now. */
static bool choose_pool(struct bd_core *core, const struct bd_drain_machine *entry,
                        struct pool *out)
{
    const struct bd_machine *machine = entry->machine;
    int npools = core->nzones * (machine->spot ? 2 : 1);
    for (int i = 0; i < npools; i++) {
        int pool_index = (i + (int)entry->failed_replacements) % npools;
        *out = (struct pool){.type = machine->type,
                             .zone = (machine->zone + pool_index) % core->nzones,
                             .spot = machine->spot && pool_index < core->nzones};
        if (may_request_from(core, out))
            return true;
    }
    return false;
}

/* Returns the list's request to the pool, or adds one. NULL: the list is full. */
static struct request *get_request(struct request_list *list, const struct pool *pool)
{
    for (uint32_t i = 0; i < list->nrequests; i++) {
        struct request *request = &list->requests[i];
        if (request->pool.type == pool->type && request->pool.zone == pool->zone &&
            request->pool.spot == pool->spot)
            return request;
    }
    if (list->nrequests == REQUESTS_MAX)
        return NULL;
    struct request *request = &list->requests[list->nrequests++];
    request->pool = *pool;
    request->count = 0;
    return request;
}

/* False: the entry needs no request, or no request is possible now. */
static bool add_to_request(struct bd_core *core, struct request_list *list,
                           struct bd_drain_machine *entry)
{
    const struct bd_machine *machine = entry->machine;
    struct pool pool;
    if (!machine || machine->terminated || machine->type < 0 || machine->zone < 0)
        return false;
    if (*entry->replacement || *entry->provisioning_request || !choose_pool(core, entry, &pool))
        return false;
    struct request *request = get_request(list, &pool);
    if (!request || request->count == REQUEST_MACHINES_MAX)
        return false;
    request->entries[request->count++] = entry;
    return true;
}

static void send_request(struct bd_core *core, const struct request *request)
{
    const char *id = bd_request_machines(core, request->pool.type, request->pool.zone,
                                         request->pool.spot, request->count);
    for (int i = 0; id && i < request->count; i++) {
        struct bd_drain_machine *entry = request->entries[i];
        snprintf(entry->provisioning_request, sizeof entry->provisioning_request, "%s", id);
        entry->replacement_requested_at = core->now;
    }
}

void bd_replacements_tick(struct bd_core *core)
{
    uint32_t pending = count_pending(core), max_pending = core->drains->rules->machines_in_step;
    struct request_list list = {.requests = calloc(REQUESTS_MAX, sizeof *list.requests)};
    if (!list.requests)
        abort();
    struct bd_drain_iterator iterator = bd_drain_entries(core);
    struct bd_drain_machine *entry;
    while ((entry = bd_drain_next_entry(&iterator))) {
        if (!needs_replacement(core, iterator.drain, entry))
            continue;
        check_replacement(core, iterator.drain, entry);
        if (pending < max_pending && core->lead.inventory_read)
            pending += add_to_request(core, &list, entry);
    }
    for (uint32_t i = 0; i < list.nrequests; i++)
        send_request(core, &list.requests[i]);
    free(list.requests);
}

/* ---- outcomes ---- */

static void set_replacement(struct bd_core *core, struct bd_drain *drain,
                            struct bd_drain_machine *entry, const char *id)
{
    snprintf(entry->replacement, sizeof entry->replacement, "%s", id);
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: %s will replace %s", drain->record.name, id,
                 entry->id);
    bd_drain_mark_entry_urgent(drain, entry);
}

void bd_drain_provisioning_completed(struct bd_core *core, const char *request,
                                     char (*machine_ids)[BD_LABEL_BYTES], int nmachines)
{
    int assigned = 0;
    if (!core->drains)
        return;
    /* also for drains that were cancelled after the request */
    for (struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next) {
        for (uint32_t i = 0; drain->is_loaded && i < drain->nmachines; i++) {
            struct bd_drain_machine *entry = &drain->machines[i];
            if (strcmp(entry->provisioning_request, request) != 0)
                continue;
            entry->provisioning_request[0] = '\0';
            if (assigned < nmachines)
                set_replacement(core, drain, entry, machine_ids[assigned++]);
            else
                entry->failed_replacements++;
        }
    }
}
