/* Logs one line for each machine type, on demand and spot: how many machines are up and what they
 * run. */
#include "autoscaling/autoscaling_internal.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "model/core_state.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"

#define SUMMARY_INTERVAL_S 20.0

/* What a machine is used for. A machine with several kinds of tasks counts under the first kind in
 * this order; only a machine without tasks counts as booting or idle. */
enum machine_use { USE_BOOTING, USE_GPU, USE_SERVICES, USE_ARRAYS, USE_IDLE, USE_COUNT };

static enum machine_use use_of_task(const struct bd_spec *spec)
{
    if (spec->gpus > 0)
        return USE_GPU;
    return spec->kind == BD_JOB_SERVICE ? USE_SERVICES : USE_ARRAYS;
}

static enum machine_use use_of_machine(const struct bd_machine *machine)
{
    enum machine_use use = machine->incarnation ? USE_IDLE : USE_BOOTING;
    for (uint32_t i = 0; i < machine->nreservations; i++) {
        enum machine_use task_use = use_of_task(&machine->reservations[i].job->spec);
        if (use == USE_BOOTING || task_use < use)
            use = task_use;
    }
    return use;
}

static void log_machine_type(struct bd_core *core, int type, bool spot)
{
    const struct bd_machine_type *machine_type = &core->types[type];
    uint32_t counts[USE_COUNT] = {0}, up = 0;
    double cpus = 0, gpus = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->machines_by_index[i];
        if (machine->terminated || machine->type != type || machine->spot != spot)
            continue;
        counts[use_of_machine(machine)]++;
        up += machine->incarnation != 0;
        cpus += machine->reserved_cpus;
        gpus += machine->reserved_gpus;
    }
    if (up + counts[USE_BOOTING] == 0)
        return;
    bd_log_write(
        core->log, BD_LOG_INFO,
        "fleet %s%s: %u up, %u coming, %u idle; %u with gpu work, %u with services, %u with "
        "arrays; in use %.0f of %.0f cpus, %.0f of %.0f gpus",
        machine_type->label, spot ? " (spot)" : "", up, counts[USE_BOOTING], counts[USE_IDLE],
        counts[USE_GPU], counts[USE_SERVICES], counts[USE_ARRAYS], cpus, up * machine_type->cpus,
        gpus, up * machine_type->gpus);
}

void bd_log_fleet_summary(struct bd_core *core)
{
    if (bd_time_is_before(core->now, core->lead.next_summary))
        return;
    core->lead.next_summary = bd_time_add(core->now, bd_secs(SUMMARY_INTERVAL_S));
    for (int type = 0; type < core->ntypes; type++) {
        log_machine_type(core, type, false);
        log_machine_type(core, type, true);
    }
}
