/* How long a machine may take to boot. */
#include "autoscaling/autoscaling_internal.h"
#include "base/timeutil.h"
#include "model/core_state.h"
#include "model/machine.h"

/* Multiples of the type's usual boot time. BOOT_MARGIN_S is added to both. */
#define BOOT_EXPECTED_FACTOR 1.6 /* after this the machine is not counted as upcoming capacity */
#define BOOT_TIMEOUT_FACTOR 2.5  /* after this the machine is returned to the cloud */
#define BOOT_MARGIN_S 12.0

static bool is_booting(const struct bd_core *core, const struct bd_machine *machine)
{
    return !machine->incarnation && !machine->terminated && !machine->scaling_in &&
           !machine->failed && machine->type >= 0 && machine->zone >= 0 &&
           core->types[machine->type].known;
}

static double machine_age_s(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->reported_age_s + bd_seconds_between(machine->age_reported_at, core->now);
}

bool bd_boot_is_expected(const struct bd_core *core, const struct bd_machine *machine)
{
    return is_booting(core, machine) &&
           machine_age_s(core, machine) <
               BOOT_EXPECTED_FACTOR * core->types[machine->type].boot_s + BOOT_MARGIN_S;
}

bool bd_boot_has_timed_out(const struct bd_core *core, const struct bd_machine *machine)
{
    return is_booting(core, machine) &&
           machine_age_s(core, machine) >
               BOOT_TIMEOUT_FACTOR * core->types[machine->type].boot_s + BOOT_MARGIN_S;
}
