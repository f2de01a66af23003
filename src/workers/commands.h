/* Commands of the leader to one machine: launch, halt, forget.
 *
 * Owns nothing beyond the list that a caller builds; marks in the tasks' flags which launches are
 * in flight. Called by the files of this folder, and with bd_commands_send_direct wherever a
 * command arises that should not wait for the machine's next heartbeat. */
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
    BD_COMMAND_DIRECT
};

/* grace_s: of a halt, the time for a checkpoint; 0: none. Ends the process if memory runs out. */
void bd_commands_append(struct bd_command_list *commands, enum bd_command_verb verb,
                        const char *job, uint32_t task, uint64_t attempt, double grace_s);
/* Appends halts of the machine's tasks whose stop is requested. */
void bd_commands_add_halts(const struct bd_machine *machine, struct bd_command_list *commands);
/* Appends launches of the machine's tasks whose intent is committed, and marks them as in flight by
 * that path. True: there are some. */
bool bd_commands_add_launches(struct bd_core *core, struct bd_machine *machine,
                              struct bd_command_list *commands, enum bd_command_path path);
/* Appends what is pending for the reply to a heartbeat; nothing while a direct command is in
 * flight. Halts of cancelled jobs, which must not wait for that, are added by bd_commands_reply. */
void bd_commands_add_pending(struct bd_core *core, struct bd_machine *machine,
                             struct bd_command_list *commands);
/* Replies to a heartbeat with 200, which renews the machine's lease: the one way to do so, for
 * leaders, delegates and autonomous zones. Appends halts of all that the heartbeat shows of
 * cancelled jobs. The caller knows whether this controller may reply (lease_renewal.c). */
void bd_commands_reply(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                       struct bd_command_list *commands, uint64_t fencing_token);
/* Sends what is pending directly, where the machine can be expected to answer. */
void bd_commands_send_direct(struct bd_core *core, struct bd_machine *machine);

/* The machine sent its next heartbeat: the reply to the last one has arrived, or never will. The
 * answer to a direct command shows nothing of the kind. */
void bd_machine_clear_launches_in_reply(struct bd_machine *machine);
/* No direct launch without an answer can start anything any more, by a new incarnation or a higher
 * fencing token. */
void bd_machine_exclude_late_launches(struct bd_machine *machine);
#endif
