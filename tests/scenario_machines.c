/* The steps of scenarios for machines: heartbeats, direct commands and the cloud. */
#include "autoscaling/autoscaling.h"
#include "numbers.h"
#include "scenario_play.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static enum bd_execution_state read_execution(const char *text, enum bd_exit_reason *reason)
{
    static const char *const state_names[] = {"pulling", "gathering", "running", "saving"};
    static const char *const reason_names[] = {"",      "done",    "stopped", "peers",  "alone",
                                               "error", "no_room", "busy",    "unknown"};
    *reason = BD_EXIT_NONE;
    for (int i = 0; i < 4; i++)
        if (strcmp(text, state_names[i]) == 0)
            return (enum bd_execution_state)i;
    for (int i = 1; i < 9; i++)
        if (strcmp(text, reason_names[i]) == 0)
            *reason = (enum bd_exit_reason)i;
    return BD_EXECUTION_EXITED;
}

static void read_heartbeat(struct scenario *scenario, struct bd_heartbeat *heartbeat,
                           struct bd_reported_task *tasks)
{
    memset(heartbeat, 0, sizeof *heartbeat);
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "%s", scenario->words[1]);
    snprintf(heartbeat->address, sizeof heartbeat->address, "addr-%s", scenario->words[1]);
    heartbeat->incarnation = (uint64_t)scenario_find_number(scenario, "incarnation", 1);
    heartbeat->seq = (uint64_t)scenario_find_number(scenario, "seq", 1);
    heartbeat->fencing_token = (uint64_t)scenario_find_number(scenario, "token", 0);
    heartbeat->notice_s = scenario_find_number(scenario, "notice_s", -1);
    heartbeat->spot = scenario_find_flag(scenario, "spot");
    heartbeat->tasks = tasks;
    for (int i = 2; i < scenario->word_count; i++) {
        char name[64], attempt[64], state[64];
        if (sscanf(scenario->words[i], "%63[^:]:%63[^:]:%63s", name, attempt, state) != 3)
            continue;
        struct bd_reported_task *task = &tasks[heartbeat->task_count];
        if (!bd_wire_read_task_name(name, task->job, &task->task)) {
            scenario_fail(scenario, "malformed task name");
            return;
        }
        task->attempt = scenario_parse_attempt(attempt);
        task->execution = read_execution(state, &task->exit_reason);
        heartbeat->task_count++;
    }
}

static void step_heartbeat(struct scenario *scenario)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[SCENARIO_WORDS_MAX];
    memset(tasks, 0, sizeof tasks);
    read_heartbeat(scenario, &heartbeat, tasks);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s", scenario->words[2]);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", scenario->words[3]);
    bd_worker_heartbeat_received(scenario->core, NULL, &heartbeat, "{}", 2);
}

static void step_heartbeat_forwarded(struct scenario *scenario)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[SCENARIO_WORDS_MAX];
    char *peer = scenario->words[1];
    uint64_t id = strtoull(scenario->words[2], NULL, 10);
    memset(tasks, 0, sizeof tasks);
    for (int i = 1; i + 2 < scenario->word_count; i++)
        scenario->words[i] = scenario->words[i + 2];
    scenario->word_count -= 2;
    read_heartbeat(scenario, &heartbeat, tasks);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s", scenario->words[2]);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", scenario->words[3]);
    bd_worker_heartbeat_forwarded(scenario->core, peer, id, &heartbeat, "{}", 2);
}

static void step_forward_reply_received(struct scenario *scenario)
{
    bd_forward_reply_received(scenario->core, strtoull(scenario->words[1], NULL, 10),
                              parse_number(scenario->words[2]),
                              scenario->word_count > 3 ? scenario->words[3] : "",
                              scenario->word_count > 3 ? strlen(scenario->words[3]) : 0);
}

static void step_direct_command_completed(struct scenario *scenario)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[SCENARIO_WORDS_MAX];
    struct bd_machine *machine = NULL;
    memset(tasks, 0, sizeof tasks);
    HASH_FIND_STR(scenario->core->machines, scenario->words[1], machine);
    if (!machine) {
        scenario_fail(scenario, "no such machine");
        return;
    }
    read_heartbeat(scenario, &heartbeat, tasks);
    const char *from = scenario_find_text(scenario, "from");
    if (from)
        snprintf(heartbeat.machine, sizeof heartbeat.machine, "%s", from);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s",
             machine->type < 0 ? "?" : scenario->core->types[machine->type].label);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s",
             machine->zone < 0 ? "?" : scenario->core->zones[machine->zone]);
    long status = (long)scenario_find_number(scenario, "status", 200);
    bd_worker_direct_command_completed(
        scenario->core, machine->index, (uint64_t)scenario_find_number(scenario, "token", 0),
        scenario_find_number(scenario, "launch", 1) != 0, status, status ? &heartbeat : NULL);
}

static void step_machines_listed(struct scenario *scenario)
{
    struct bd_cloud_machine machines[SCENARIO_WORDS_MAX];
    memset(machines, 0, sizeof machines);
    size_t count = 0;
    for (int i = 1; i < scenario->word_count; i++, count++) {
        char state[32] = "running";
        if (sscanf(scenario->words[i], "%63[^:]:%63[^:]:%63[^:]:%31s", machines[count].id,
                   machines[count].type, machines[count].zone, state) < 3)
            scenario_fail(scenario, "machines have the form NAME:TYPE:ZONE");
        machines[count].state = *state == 'r'   ? BD_CLOUD_MACHINE_RUNNING
                                : *state == 'f' ? BD_CLOUD_MACHINE_FAILED
                                                : BD_CLOUD_MACHINE_BOOTING;
    }
    bd_inventory_machines_received(scenario->core, machines, count, scenario->core->now);
}

static void step_scale_out_completed(struct scenario *scenario)
{
    char names[SCENARIO_WORDS_MAX][BD_LABEL_BYTES];
    int count = 0;
    if (scenario->core->cloud.nprovision_requests == 0) {
        scenario_fail(scenario, "no provisioning request is open");
        return;
    }
    char request[BD_LABEL_BYTES];
    snprintf(request, sizeof request, "%s", scenario->core->cloud.provision_requests[0].id);
    bool is_refused = strcmp(scenario->words[1], "refused") == 0;
    for (int i = 2; i < scenario->word_count; i++)
        snprintf(names[count++], BD_LABEL_BYTES, "%s", scenario->words[i]);
    bd_core_scale_out_completed(scenario->core, request, is_refused ? 503 : 200, names, count);
}

static void step_scale_in_completed(struct scenario *scenario)
{
    char names[SCENARIO_WORDS_MAX][BD_LABEL_BYTES];
    int count = 0;
    for (int i = 1; i < scenario->word_count; i++)
        snprintf(names[count++], BD_LABEL_BYTES, "%s", scenario->words[i]);
    bd_scale_in_completed(scenario->core, names, count, true);
}

bool scenario_run_machine_step(struct scenario *scenario)
{
    static const struct scenario_step steps[] = {
        {"heartbeat", 4, step_heartbeat},
        {"heartbeat_forwarded", 6, step_heartbeat_forwarded},
        {"forward_reply_received", 3, step_forward_reply_received},
        {"direct_command_completed", 2, step_direct_command_completed},
        {"machines_listed", 1, step_machines_listed},
        {"scale_out_completed", 2, step_scale_out_completed},
        {"scale_in_completed", 2, step_scale_in_completed}};
    return scenario_run_step(scenario, steps, sizeof steps / sizeof *steps);
}
