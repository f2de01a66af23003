/* Shared by the parts of the autoscaler. */
#ifndef BD_AUTOSCALER_INTERNAL_H
#define BD_AUTOSCALER_INTERNAL_H
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "leadership/leadership.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"

struct bd_pool *bd_pool_of(struct bd_core *core, int type, int zone, bool spot);
void bd_pool_back_off(struct bd_core *core, struct bd_pool *k);
/* The request's name, or NULL: too many are open. */
const char *bd_provision_request(struct bd_core *core, int type, int zone, bool spot, int count);
bool bd_only_services(const struct bd_core *core, const struct bd_machine *machine,
                      double *services);
void bd_consolidate(struct bd_core *core);
#endif
