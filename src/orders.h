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
/* What the machine is owed in the answer to its check-in. */
void bd_orders_owed(struct bd_core *core, struct bd_machine *machine, struct orders *l);
/* Answers a check-in with 200, and so renews the machine's lease: the one way to do so, for
 * leaders, delegates and controllers standing by. Adds to the orders a halt of all that the report
 * shows of cancelled jobs. Whether this controller may answer at all is the caller's to know
 * (grace.c). */
void bd_orders_answer(struct bd_core *core, void *request, const struct bd_report *report,
                      struct orders *l, uint64_t token);
#endif
