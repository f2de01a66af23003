/* The leader's autoscaler: demand and headroom, scale-out and scale-in, consolidation, and the
 * cloud's inventory.
 *
 * Owns core->cloud and the machine fields that come from the inventory. Called by the runtime with
 * the cloud's responses, by core/ at each step, and by drain/ for replacement machines. */
#ifndef BD_AUTOSCALING_H
#define BD_AUTOSCALING_H
#include "model/core_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Evacuates machines, requests the machines that are needed from the cloud and returns those that
 * are not. Leader only. */
void bd_autoscaler_tick(struct bd_core *core);

/* ---- inventory (inventory.c) ---- */

/* Handles the cloud's list of machine types. */
void bd_inventory_types_received(struct bd_core *core, const struct bd_machine_type_text *types,
                                 int count);
/* Handles the cloud's list of machines, which was requested at requested_at. */
void bd_inventory_machines_received(struct bd_core *core, const struct bd_cloud_machine *machines,
                                    size_t count, struct timespec requested_at);

/* ---- provisioning (provisioning.c) ---- */

/* The pool of the machine type in the zone, spot or on demand. core->cloud owns it. */
struct bd_pool *bd_pool_of(struct bd_core *core, int type, int zone, bool spot);
/* Requests machines from the cloud. Returns the request's id, which core->cloud owns; NULL if too
 * many requests are open. */
const char *bd_request_machines(struct bd_core *core, int type, int zone, bool spot, int count);
/* Handles the cloud's response to a request. status: the HTTP status. names: the ngranted machines.
 * Returns false if the request is not one of this term's. */
bool bd_scale_out_completed(struct bd_core *core, const char *request_id, long status,
                            char (*names)[BD_LABEL_BYTES], int ngranted);

/* ---- scale-in (scale_in.c) ---- */

/* Handles the result of returning machines to the cloud. succeeded false: it is not known whether
 * the cloud has terminated the machines. */
void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL_BYTES], int count,
                           bool succeeded);
#endif
