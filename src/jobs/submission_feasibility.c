/* Checks whether a submitted job could ever run, by machine types, zones and the team's quota. */
#include "brambledoor/settings.h"
#include "jobs/jobs_internal.h"
#include "model/catalog.h"
#include "model/core_state.h"
#include "model/resources.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include <string.h>

/* Whether one task fits on a machine of the type, and the zone offers the type; zone -1: any. */
static bool fits_type(const struct bd_machine_type *type, const struct bd_job_spec_text *spec,
                      int zone)
{
    struct bd_spec amounts = {.cpus = spec->cpus, .gpus = spec->gpus, .mem_gb = spec->mem_gb};
    return bd_type_fit_count(type, &amounts, 1) > 0 && (zone < 0 || (type->zones >> zone & 1));
}

/* Whether the amount never fits the quota, even with no other task of the team. */
static bool exceeds_quota(double quota, double amount)
{
    return quota > 0 && bd_amount_fit_count(quota, amount, BD_RESOURCE_TOLERANCE, 1) == 0;
}

static bool allows_type(const struct bd_job_spec_text *spec, const char *label)
{
    for (int i = 0; i < spec->type_count; i++)
        if (strcmp(spec->types[i], label) == 0)
            return true;
    return spec->type_count < 0;
}

/* The zones in which the job's tasks could run, as a bit mask. */
static uint32_t feasible_zones(const struct bd_core *core, const struct bd_job_spec_text *spec)
{
    uint32_t zones = 0;
    int required_zone = bd_zone_find(core, spec->zone);
    if (*spec->zone && required_zone < 0)
        return 0;
    for (int i = 0; i < core->ntypes; i++) {
        const struct bd_machine_type *type = &core->types[i];
        if (allows_type(spec, type->label) && fits_type(type, spec, required_zone))
            zones |= type->zones & (required_zone < 0 ? UINT32_MAX : 1u << required_zone);
    }
    return zones;
}

bool bd_submission_is_feasible(const struct bd_core *core, const struct bd_job_spec_text *spec)
{
    int team = bd_team_find(core, spec->team);
    if (team < 0)
        return false;
    const struct bd_team_quota *quota = &core->settings->teams[team];
    double concurrent_tasks = spec->kind == BD_JOB_ARRAY ? 1 : spec->tasks;
    if (exceeds_quota(quota->cpus_quota, spec->cpus * concurrent_tasks) ||
        exceeds_quota(quota->gpus_quota, spec->gpus * concurrent_tasks))
        return false;
    uint32_t zones = feasible_zones(core, spec);
    bool is_limited_to_one_zone = spec->same_zone || (zones & (zones - 1)) == 0;
    bool needs_several_zones = spec->kind != BD_JOB_ARRAY && spec->tasks > 1 && spec->spread_zones;
    return zones != 0 && !(needs_several_zones && is_limited_to_one_zone);
}
