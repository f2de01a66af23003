/* What the leader asks of the cloud: demand and headroom, scale out and in, consolidation, and the
 * cloud's inventory.
 *
 * Owns core->cloud and what the inventory says of machines. Called by the runtime for the cloud's
 * answers, by core/ at each step, and by drain/ for replacements. */
#ifndef BD_AUTOSCALING_H
#define BD_AUTOSCALING_H
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Evacuates machines, and asks the cloud for what is needed and to take back what is not. As
 * leader. */
void bd_autoscaler_tick(struct bd_core *core);

/* ---- inventory (inventory.c) ---- */

/* The cloud's n machine types were read. */
void bd_inventory_types_received(struct bd_core *core, const struct bd_machine_type_text *types,
                                 int n);
/* The cloud's list of n machines was read; it was asked for at the moment `asked`. */
void bd_inventory_machines_received(struct bd_core *core, const struct bd_cloud_machine *machines,
                                    size_t n, struct timespec asked);

/* ---- provisioning (provisioning.c) ---- */

struct bd_pool *bd_pool_of(struct bd_core *core, int type, int zone, bool spot);
/* Asks the cloud for machines. Returns the request's name, which core->cloud owns, or NULL: too
 * many requests are open. */
const char *bd_request_machines(struct bd_core *core, int type, int zone, bool spot, int count);
/* The cloud answered a request, with n machines. status: HTTP's. False: it is not
 * one of this term's requests. */
bool bd_scale_out_completed(struct bd_core *core, const char *request, long status,
                            char (*names)[BD_LABEL_BYTES], int n);

/* ---- scale in (scale_in.c) ---- */

/* The cloud took n machines back; not ok: whether it did is not known. */
void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL_BYTES], int n, bool ok);
#endif
