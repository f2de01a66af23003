/* The only machine of the graph test. It runs up to TASKS tasks. */
#include "graphs.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

static void execute_command(struct graph_run *run, json_t *command)
{
    const char *verb = json_string_value(json_object_get(command, "verb"));
    const char *name = json_string_value(json_object_get(command, "chore"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(command, "try"));
    struct graph_task *task = NULL, *free_slot = NULL;
    for (int i = 0; i < TASKS; i++) {
        if (run->tasks[i].is_used && strcmp(run->tasks[i].name, name) == 0 &&
            run->tasks[i].attempt == attempt)
            task = &run->tasks[i];
        if (!run->tasks[i].is_used)
            free_slot = &run->tasks[i];
    }
    if (strcmp(verb, "launch") == 0 && !task && free_slot) {
        graph_check_start(run, name);
        *free_slot = (struct graph_task){.attempt = attempt, .is_used = true};
        snprintf(free_slot->name, sizeof free_slot->name, "%s", name);
    } else if (task && strcmp(verb, "halt") == 0 && !task->has_exited) {
        task->has_exited = task->was_stopped = true;
    } else if (task && strcmp(verb, "forget") == 0 && task->has_exited) {
        task->is_used = false;
    }
}

void graph_execute_commands(struct graph_run *run, const char *body)
{
    json_t *message = json_loads(body, 0, NULL), *command;
    size_t i;
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(message, "seal"));
    if (fencing_token >= run->fencing_token) {
        run->fencing_token = fencing_token;
        json_array_foreach(json_object_get(message, "bids"), i, command)
        {
            execute_command(run, command);
        }
    }
    json_decref(message);
}

void graph_fill_heartbeat(struct graph_run *run, struct bd_heartbeat *heartbeat,
                          struct bd_reported_task *tasks)
{
    memset(heartbeat, 0, sizeof *heartbeat);
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "vm-1");
    snprintf(heartbeat->address, sizeof heartbeat->address, "addr");
    snprintf(heartbeat->type, sizeof heartbeat->type, "big");
    snprintf(heartbeat->zone, sizeof heartbeat->zone, "a");
    heartbeat->incarnation = 1;
    heartbeat->seq = ++run->heartbeat_seq;
    heartbeat->fencing_token = run->fencing_token;
    heartbeat->notice_s = -1;
    heartbeat->tasks = tasks;
    for (int i = 0; i < TASKS; i++) {
        struct graph_task *task = &run->tasks[i];
        if (!task->is_used)
            continue;
        struct bd_reported_task *reported = &tasks[heartbeat->task_count++];
        (void)bd_wire_read_task_name(task->name, reported->job, &reported->task);
        reported->attempt = task->attempt;
        reported->execution = task->has_exited ? BD_EXECUTION_EXITED : BD_EXECUTION_RUNNING;
        reported->exit_reason = !task->has_exited   ? BD_EXIT_NONE
                                : task->was_stopped ? BD_EXIT_STOPPED
                                                    : BD_EXIT_DONE;
    }
}

void graph_end_some_tasks(struct graph_run *run, unsigned one_in)
{
    for (int i = 0; i < TASKS; i++)
        if (run->tasks[i].is_used && !run->tasks[i].has_exited && graph_random(run, one_in) == 0)
            run->tasks[i].has_exited = true;
}
