/* Commands for one machine. */
#ifndef BD_ORDERS_H
#define BD_ORDERS_H
#include "core_internal.h"

struct orders {
    struct bd_order *o;
    size_t n, cap;
};
void bd_orders_add(struct orders *l, enum bd_verb verb, const char *job, uint32_t task,
                   uint64_t attempt, double grace);
bool bd_orders_owed(struct bd_core *core, struct bd_machine *machine, struct orders *l,
                    bool direct);
#endif
