/* New machines for those that are replaced: one of the same type, where the old one is, or
 * elsewhere if none comes. Part of the pure core. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "drain/drain_internal.h"
#include "model/core_state.h"
#include "model/disruption_ledger.h"
#include "model/machine.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GROUPS_MAX 16u /* pools that are asked in one look */
#define GROUP_MAX 50   /* machines of one request */

struct pool {
    int type, zone;
    bool spot;
};

/* The entries that one request is for. */
struct group {
    struct pool pool;
    struct bd_drain_machine *entries[GROUP_MAX];
    int count;
};

bool bd_replacement_up(struct bd_core *core, const struct bd_drain_machine *m)
{
    struct bd_machine *machine =
        *m->replacement ? bd_drain_machine_named(core, m->replacement) : NULL;
    return machine && bd_machine_usable(core, machine);
}

static bool nothing_is_down(const struct bd_ledger *ledger)
{
    for (uint32_t i = 0; i < ledger->nbudgets; i++)
        if (ledger->budgets[i].down > 0)
            return false;
    return true;
}

bool bd_replacement_works(struct bd_core *core, const struct bd_drain_machine *m)
{
    if (!bd_replacement_up(core, m))
        return false;
    const struct bd_machine *machine = bd_drain_machine_named(core, m->replacement);
    for (uint32_t k = 0; k < machine->nreservations; k++)
        if (bd_ledger_is_up(core->ledger, machine->reservations[k].job,
                            machine->reservations[k].task))
            return true;
    /* there may be nothing for it to do: all that was moved runs */
    return nothing_is_down(core->ledger);
}

/* ---- those that came to nothing ---- */

static void resign(struct bd_core *core, const struct bd_drain *drain, struct bd_drain_machine *m)
{
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: replacement %s of %s is given up", drain->name,
                 m->replacement, m->id);
    m->replacement[0] = '\0';
    m->tries++;
}

static void check(struct bd_core *core, const struct bd_drain *drain, struct bd_drain_machine *m)
{
    if (!*m->replacement)
        return;
    if (bd_is_zero(m->asked)) /* an earlier leader asked for it */
        m->asked = core->now;
    const struct bd_machine *machine = bd_drain_machine_named(core, m->replacement);
    /* another drain may cover the replacement itself */
    bool lost = machine && (machine->gone || machine->failed || machine->quarantined ||
                            machine->scaling_in || bd_drain_cordoned(core, machine));
    bool late = bd_between(m->asked, core->now) > core->drains->rules->replace_s &&
                (!machine || !machine->fenced);
    if (lost || late)
        resign(core, drain, m);
}

/* ---- asking ---- */

/* Whether the entry is to have a replacement: it drives its machine, and is not that far yet. */
static bool wanted(const struct bd_core *core, const struct bd_drain *drain,
                   const struct bd_drain_machine *m)
{
    return drain->record.mode == BD_DRAIN_REPLACE && drain->record.state == BD_DRAIN_ACTIVE &&
           !bd_drain_final(m) && m->stage != BD_STAGE_REPLACED && !bd_drain_mirrors(core, m);
}

static uint32_t under_way(const struct bd_core *core)
{
    uint32_t n = 0;
    for (const struct bd_drain *drain = core->drains->drains; drain; drain = drain->hh.next)
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++)
            n += wanted(core, drain, &drain->machines[i]) &&
                 (*drain->machines[i].replacement || *drain->machines[i].request);
    return n;
}

static bool open_pool(struct bd_core *core, const struct pool *pool)
{
    const struct bd_pool *known = bd_pool_of(core, pool->type, pool->zone, pool->spot);
    return core->types[pool->type].zones >> pool->zone & 1 && !known->asked &&
           !bd_before(core->now, known->refuse_until);
}

/* The pool to ask: the machine's own, then other zones, then ordinary machines for a spot one. A
 * replacement that came to nothing moves the beginning on. */
static bool choose_pool(struct bd_core *core, const struct bd_drain_machine *m,
                        const struct bd_machine *machine, struct pool *out)
{
    int kinds = machine->spot ? 2 : 1, ways = core->nzones * kinds;
    for (int way = 0; way < ways; way++) {
        int at = (way + (int)m->tries) % ways;
        *out = (struct pool){.type = machine->type,
                             .zone = (machine->zone + at) % core->nzones,
                             .spot = machine->spot && at < core->nzones};
        if (open_pool(core, out))
            return true;
    }
    return false;
}

static struct group *group_of(struct group *groups, uint32_t *n, const struct pool *pool)
{
    for (uint32_t i = 0; i < *n; i++)
        if (groups[i].pool.type == pool->type && groups[i].pool.zone == pool->zone &&
            groups[i].pool.spot == pool->spot)
            return &groups[i];
    if (*n == GROUPS_MAX)
        return NULL;
    struct group *group = &groups[(*n)++];
    group->pool = *pool;
    group->count = 0;
    return group;
}

/* True: it is in a group. */
static bool join(struct bd_core *core, struct group *groups, uint32_t *n,
                 struct bd_drain_machine *m)
{
    const struct bd_machine *machine = m->machine;
    struct pool pool;
    if (!machine || machine->gone || machine->type < 0 || machine->zone < 0 || *m->replacement ||
        *m->request || !choose_pool(core, m, machine, &pool))
        return false;
    struct group *group = group_of(groups, n, &pool);
    if (!group || group->count == GROUP_MAX)
        return false;
    group->entries[group->count++] = m;
    return true;
}

static void ask(struct bd_core *core, const struct group *group)
{
    const char *request = bd_provision_request(core, group->pool.type, group->pool.zone,
                                               group->pool.spot, group->count);
    for (int i = 0; request && i < group->count; i++) {
        snprintf(group->entries[i]->request, sizeof group->entries[i]->request, "%s", request);
        group->entries[i]->asked = core->now;
    }
}

void bd_replacements_tick(struct bd_core *core)
{
    uint32_t open = under_way(core), most = core->drains->rules->machines_in_step, n = 0;
    struct bd_drain *drain, *tmp;
    struct group *groups = calloc(GROUPS_MAX, sizeof *groups);
    if (!groups)
        abort();
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; bd_drain_goes_on(drain) && i < drain->nmachines; i++) {
            struct bd_drain_machine *m = &drain->machines[i];
            if (!wanted(core, drain, m))
                continue;
            check(core, drain, m);
            if (open < most && core->lead.inventory_read)
                open += join(core, groups, &n, m);
        }
    }
    for (uint32_t i = 0; i < n; i++)
        ask(core, &groups[i]);
    free(groups);
}

static void note_replacement(struct bd_core *core, struct bd_drain *drain,
                             struct bd_drain_machine *m, const char *id)
{
    snprintf(m->replacement, sizeof m->replacement, "%s", id);
    bd_log_write(core->log, BD_LOG_INFO, "drain %s: %s is to replace %s", drain->name, id, m->id);
    bd_drain_note(drain, m);
}

void bd_drain_provisioned(struct bd_core *core, const char *request, char (*names)[BD_LABEL], int n)
{
    struct bd_drain *drain, *tmp;
    int used = 0;
    if (!core->drains)
        return;
    HASH_ITER(hh, core->drains->drains, drain, tmp)
    {
        for (uint32_t i = 0; drain->loaded && i < drain->nmachines; i++) {
            struct bd_drain_machine *m = &drain->machines[i];
            if (strcmp(m->request, request) != 0)
                continue;
            m->request[0] = '\0';
            if (used < n)
                note_replacement(core, drain, m, names[used++]);
            else
                m->tries++;
        }
    }
}
