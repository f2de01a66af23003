/* What the leader asks of the cloud: demand and headroom, scale out and in, consolidation, and the
 * cloud's inventory.
 *
 * Owns core->cloud and what the inventory says of machines. Called by the runtime for the cloud's
 * answers, by core/ at each step, and by drain/ for replacements. */
#ifndef BD_AUTOSCALING_H
#define BD_AUTOSCALING_H
#include "model/core_state.h"
#include "wire/wire.h"

void bd_autoscaler_tick(struct bd_core *core);
void bd_inventory_types(struct bd_core *core, const struct bd_type_text *t, int n);
/* asked: when the list was asked for. */
void bd_inventory_machines(struct bd_core *core, const struct bd_cloud_machine *l, size_t n,
                           struct timespec asked);
void bd_scale_out_completed(struct bd_core *core, const char *request, long status,
                            char (*names)[BD_LABEL], int n);
void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL], int n, bool ok);
#endif
