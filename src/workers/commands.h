/* Commands of the leader to one machine: launch, halt, forget.
 *
 * Owns no state: a caller builds and frees each list. Marks in the tasks' flags which launches are
 * in flight. Called by the files of this folder. Other folders call only bd_commands_send_direct,
 * for commands that should not wait for the machine's next heartbeat. */
#ifndef BD_COMMANDS_H
#define BD_COMMANDS_H
#include "model/core_state.h"

/* The caller frees the items. */
struct bd_command_list {
    struct bd_command *items;
    size_t count, capacity;
};

/* How a command reaches the machine. */
enum bd_command_path {
    BD_COMMAND_IN_REPLY, /* in the reply to its heartbeat */
    BD_COMMAND_DIRECT    /* in a request of its own, ahead of the next heartbeat */
};

/* grace_s: for a halt, the seconds allowed for a checkpoint; 0: none. Ends the process if memory
 * runs out. */
void bd_commands_append(struct bd_command_list *commands, enum bd_command_verb verb,
                        const char *job, uint32_t task, uint64_t attempt, double grace_s);
/* Appends halts of the machine's tasks whose stop is requested. */
void bd_commands_add_halts(const struct bd_machine *machine, struct bd_command_list *commands);
/* Appends launches of the machine's tasks whose intent is committed, and marks these launches as in
 * flight by the given path. True: at least one was appended. */
bool bd_commands_add_launches(struct bd_core *core, struct bd_machine *machine,
                              struct bd_command_list *commands, enum bd_command_path path);
/* Appends the pending halts and launches for the reply to a heartbeat. Appends nothing while a
 * direct command is in flight. Halts of cancelled jobs must not wait for that command:
 * bd_commands_reply adds them. */
void bd_commands_add_pending(struct bd_core *core, struct bd_machine *machine,
                             struct bd_command_list *commands);
/* Replies to a heartbeat with status 200, which renews the machine's lease. Leaders, delegates and
 * autonomous zones renew leases by this function only. Appends halts of all tasks in the heartbeat
 * whose jobs are cancelled. The caller has checked that this controller may reply
 * (lease_renewal.c). */
void bd_commands_reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                       struct bd_command_list *commands, uint64_t fencing_token);
/* Sends the pending halts and launches directly, if the machine can be expected to answer. */
void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine);

/* Marks launches in the last reply as no longer in flight. Called when the machine's next heartbeat
 * arrives: the last reply has arrived by then, or never will. The response to a direct command is
 * no such evidence. */
void bd_machine_clear_launches_in_reply(struct bd_machine *machine);
/* Clears the marks of direct launches that may still arrive late. Called when they can start no
 * task any more: the command was answered or never sent, or a new incarnation or a higher fencing
 * token excludes them. */
void bd_machine_exclude_late_launches(struct bd_machine *machine);
#endif
