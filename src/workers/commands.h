/* Commands for one machine. */
#ifndef BD_ORDERS_H
#define BD_ORDERS_H
#include "core/core_internal.h"

struct bd_order_list {
    struct bd_order *items;
    size_t count, capacity;
};
void bd_orders_add(struct bd_order_list *orders, enum bd_verb verb, const char *job, uint32_t task,
                   uint64_t attempt, double grace);
/* What the machine is owed in the answer to its check-in. */
void bd_orders_owed(struct bd_core *core, struct bd_machine *machine, struct bd_order_list *orders);
/* Answers a check-in with 200, and so renews the machine's lease: the one way to do so, for
 * leaders, delegates and controllers standing by. Adds to the orders a halt of all that the report
 * shows of cancelled jobs. Whether this controller may answer at all is the caller's to know
 * (lease_renewal.c). */
void bd_orders_answer(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                      struct bd_order_list *orders, uint64_t fencing_token);
#endif
