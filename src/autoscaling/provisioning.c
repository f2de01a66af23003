/* Requests machines from the cloud: one request at a time for each pool, with backoff where the
 * cloud has no capacity. */
#include "autoscaling/autoscaling.h"
#include "autoscaling/autoscaling_internal.h"
#include "base/http.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/autoscaling_state.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_cloud.h"
#include "wire/wire_limits.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

#define BACKOFF_INITIAL_S 10.0
#define BACKOFF_MAX_S 60.0
#define REQUEST_MACHINES_MAX 50 /* in one request */
#define DEMAND_REQUESTS_MAX 3   /* demand makes no request while this many are open */

/* ---- pools ---- */

struct bd_pool *bd_pool_of(struct bd_core *core, int type, int zone, bool spot)
{
    return &core->cloud.pools[type][zone][spot ? 1 : 0];
}

static void back_off(const struct bd_core *core, struct bd_pool *pool)
{
    pool->backoff_s =
        pool->backoff_s <= 0 ? BACKOFF_INITIAL_S : fmin(pool->backoff_s * 2, BACKOFF_MAX_S);
    pool->next_request_at = bd_time_add(core->now, bd_secs(pool->backoff_s));
}

/* ---- requests ---- */

const char *bd_request_machines(struct bd_core *core, int type, int zone, bool spot, int count)
{
    struct bd_cloud_view *cloud = &core->cloud;
    if (cloud->nprovision_requests == BD_PROVISION_REQUESTS_MAX)
        return NULL;
    struct bd_provision_request_state *state =
        &cloud->provision_requests[cloud->nprovision_requests++];
    *state = (struct bd_provision_request_state){
        .type = type,
        .zone = zone,
        .count = count < REQUEST_MACHINES_MAX ? count : REQUEST_MACHINES_MAX,
        .spot = spot,
        .sent_at = core->now};
    /* unique: no other leader has this term, and the number is not used again in it */
    snprintf(state->id, sizeof state->id, "r-%llu-%llu", (unsigned long long)core->lead.base_term,
             (unsigned long long)++core->lead.last_provision_request);
    bd_pool_of(core, type, zone, spot)->request_in_flight = true;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_SCALE_OUT);
    snprintf(effect->key, sizeof effect->key, "%s", state->id);
    effect->body = bd_wire_write_provisioning_request(state->id, core->types[type].label,
                                                      core->zones[zone], spot, state->count);
    return state->id;
}

static bool is_same_pool(const struct bd_capacity_bin *a, const struct bd_capacity_bin *b)
{
    return a->type == b->type && a->zone == b->zone && a->spot == b->spot;
}

/* Counts the bins of pool_bin's pool that need a request, and clears their needs_request flags. */
static int take_needed_machines(struct bd_demand *demand, const struct bd_capacity_bin *pool_bin)
{
    int count = 0;
    for (int i = 0; i < demand->nbins; i++) {
        struct bd_capacity_bin *bin = &demand->bins[i];
        if (!bin->needs_request || !is_same_pool(bin, pool_bin))
            continue;
        bin->needs_request = false;
        count++;
    }
    return count;
}

void bd_provision_for_demand(struct bd_demand *demand)
{
    struct bd_core *core = demand->core;
    for (int i = 0; i < demand->nbins; i++) {
        const struct bd_capacity_bin *bin = &demand->bins[i];
        if (core->cloud.nprovision_requests >= DEMAND_REQUESTS_MAX)
            return;
        /* the response to an open request will show the pool's capacity */
        if (!bin->needs_request ||
            bd_pool_of(core, bin->type, bin->zone, bin->spot)->request_in_flight)
            continue;
        int count = take_needed_machines(demand, bin);
        (void)bd_request_machines(core, bin->type, bin->zone, bin->spot, count);
    }
}

/* ---- responses ---- */

/* Removes the request from the open requests. False: it is not open. */
static bool take_request(struct bd_cloud_view *cloud, const char *request_id,
                         struct bd_provision_request_state *out)
{
    for (int i = 0; i < cloud->nprovision_requests; i++) {
        if (strcmp(cloud->provision_requests[i].id, request_id) != 0)
            continue;
        *out = cloud->provision_requests[i];
        cloud->provision_requests[i] = cloud->provision_requests[--cloud->nprovision_requests];
        return true;
    }
    return false;
}

static void add_machine(struct bd_core *core, const char *name,
                        const struct bd_provision_request_state *request)
{
    struct bd_machine *machine = bd_machine_find_or_add(core, name);
    if (machine->terminated)
        return;
    machine->type = request->type;
    machine->zone = request->zone;
    machine->spot = request->spot;
    machine->reported_age_s = bd_seconds_between(request->sent_at, core->now);
    machine->age_reported_at = core->now;
}

bool bd_scale_out_completed(struct bd_core *core, const char *request_id, long status,
                            char (*names)[BD_LABEL_BYTES], int ngranted)
{
    struct bd_provision_request_state state;
    if (core->role != BD_LEADER || !take_request(&core->cloud, request_id, &state))
        return false;
    bool is_granted = status == BD_HTTP_OK;
    struct bd_pool *pool = bd_pool_of(core, state.type, state.zone, state.spot);
    pool->request_in_flight = false;
    /* the next tick turns to other pools for machines that were not granted */
    core->lead.next_autoscaling = core->now;
    if (!is_granted || ngranted < state.count)
        back_off(core, pool);
    else
        pool->backoff_s = 0;
    for (int i = 0; is_granted && i < ngranted; i++)
        add_machine(core, names[i], &state);
    bd_log_write(core->log, BD_LOG_INFO,
                 "scale-out by %d %s in %s%s: HTTP status %ld, %d machines granted", state.count,
                 core->types[state.type].label, core->zones[state.zone],
                 state.spot ? " (spot)" : "", status, ngranted);
    return true;
}
