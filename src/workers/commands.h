/* Commands for one machine. */
#ifndef BD_COMMANDS_H
#define BD_COMMANDS_H
#include "model/core_state.h"

struct bd_command_list {
    struct bd_command *items;
    size_t count, capacity;
};
void bd_commands_append(struct bd_command_list *commands, enum bd_command_verb verb,
                        const char *job, uint32_t task, uint64_t attempt, double grace);
/* What the machine is owed in the answer to its check-in. */
void bd_commands_pending(struct bd_core *core, struct bd_machine *machine,
                         struct bd_command_list *commands);
/* Answers a check-in with 200, and so renews the machine's lease: the one way to do so, for
 * leaders, delegates and controllers standing by. Adds to the orders a halt of all that the report
 * shows of cancelled jobs. Whether this controller may answer at all is the caller's to know
 * (lease_renewal.c). */
void bd_commands_reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                       struct bd_command_list *commands, uint64_t fencing_token);
/* Sends what is pending directly, where the machine can be expected to reply. */
void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine);
#endif
