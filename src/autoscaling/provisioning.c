/* Requests to the cloud: one at a time for each pool, with backoff where there is no capacity. Part
 * of the pure core. */
#include "autoscaling/autoscaler_internal.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "drain/drain.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/task_state.h"
#include "wire/wire.h"
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* named defaults */
#define BACKOFF_FIRST_S 10.0
#define BACKOFF_MAX_S 60.0
#define PROVISION_MAX 50

/* ---- provisioning requests ---- */

struct bd_pool *bd_pool_of(struct bd_core *core, int type, int zone, bool spot)
{
    return &core->cloud.pools[type][zone][spot ? 1 : 0];
}

void bd_pool_back_off(struct bd_core *core, struct bd_pool *k)
{
    k->backoff = k->backoff <= 0 ? BACKOFF_FIRST_S : fmin(k->backoff * 2, BACKOFF_MAX_S);
    k->refuse_until = bd_add(core->now, bd_secs(k->backoff));
}

void bd_scale_out_completed(struct bd_core *core, const char *request, long status,
                            char (*names)[BD_LABEL], int n)
{
    int k = 0;
    while (k < core->cloud.nprovision_requests &&
           strcmp(core->cloud.provision_requests[k].request, request) != 0)
        k++;
    if (core->role != BD_LEADER || k == core->cloud.nprovision_requests)
        return;
    struct bd_provision_request_state r = core->cloud.provision_requests[k];
    core->cloud.provision_requests[k] =
        core->cloud.provision_requests[--core->cloud.nprovision_requests];
    struct bd_pool *mk = bd_pool_of(core, r.type, r.zone, r.spot);
    mk->asked = false;
    core->lead.next_autoscaling = core->now; /* what was not filled is sought elsewhere at once */
    if (status != 200 || n < r.count)
        bd_pool_back_off(core, mk);
    else
        mk->backoff = 0;
    for (int i = 0; status == 200 && i < n; i++) {
        struct bd_machine *machine = bd_machine_get(core, names[i]);
        if (machine->gone)
            continue;
        machine->type = r.type;
        machine->zone = r.zone;
        machine->spot = r.spot;
        machine->age_at_known = bd_between(r.sent, core->now);
        machine->age_known = core->now;
    }
    bd_drain_provisioned(core, request, names, status == 200 ? n : 0);
    bd_log_write(core->log, BD_LOG_INFO, "scale out by %d %s in %s%s: status %ld, %d machines",
                 r.count, core->types[r.type].label, core->zones[r.zone], r.spot ? " (spot)" : "",
                 status, n);
}

void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL], int n, bool ok)
{
    if (core->role != BD_LEADER)
        return;
    for (int i = 0; i < n; i++) {
        struct bd_machine *machine = NULL;
        HASH_FIND_STR(core->machines, names[i], machine);
        if (!machine)
            continue;
        if (ok) {
            if (machine->type >= 0 && machine->zone >= 0)
                bd_pool_of(core, machine->type, machine->zone, machine->spot)->refuse_until =
                    core->now;
            bd_machine_gone(core, machine);
        } else { /* it may be gone all the same: it is not used again, and asked for again */
            machine->scale_in_not_before = bd_add(core->now, bd_secs(3.0));
        }
    }
}

const char *bd_provision_request(struct bd_core *core, int type, int zone, bool spot, int count)
{
    if (core->cloud.nprovision_requests ==
        (int)(sizeof core->cloud.provision_requests / sizeof *core->cloud.provision_requests))
        return NULL;
    struct bd_provision_request_state *r =
        &core->cloud.provision_requests[core->cloud.nprovision_requests++];
    memset(r, 0, sizeof *r);
    /* never used again: the term is ours alone, and so is the number within it */
    snprintf(r->request, sizeof r->request, "r-%llu-%llu", (unsigned long long)core->lead.base_term,
             (unsigned long long)++core->lead.request_n);
    bd_pool_of(core, type, zone, spot)->asked = true;
    r->type = type;
    r->zone = zone;
    r->spot = spot;
    r->count = count < PROVISION_MAX ? count : PROVISION_MAX;
    r->sent = core->now;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_SCALE_OUT);
    snprintf(effect->key, sizeof effect->key, "%s", r->request);
    effect->body =
        bd_wire_provision(r->request, core->types[type].label, core->zones[zone], spot, r->count);
    return r->request;
}