/* The steps of scenarios that concern machines: heartbeats, direct commands and the cloud. */
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

static void read_heartbeat(struct play *play, struct bd_heartbeat *heartbeat,
                           struct bd_reported_task *tasks)
{
    memset(heartbeat, 0, sizeof *heartbeat);
    snprintf(heartbeat->machine, sizeof heartbeat->machine, "%s", play->words[1]);
    snprintf(heartbeat->addr, sizeof heartbeat->addr, "addr-%s", play->words[1]);
    heartbeat->incarnation = (uint64_t)play_number(play, "session", 1);
    heartbeat->seq = (uint64_t)play_number(play, "seq", 1);
    heartbeat->fencing_token = (uint64_t)play_number(play, "token", 0);
    heartbeat->notice = play_number(play, "notice", -1);
    heartbeat->spot = play_flag(play, "spot");
    heartbeat->tasks = tasks;
    for (int i = 2; i < play->nwords; i++) {
        char name[64], attempt[64], state[64];
        if (sscanf(play->words[i], "%63[^:]:%63[^:]:%63s", name, attempt, state) != 3)
            continue;
        struct bd_reported_task *task = &tasks[heartbeat->n];
        if (!bd_wire_read_task_name(name, task->job, &task->task)) {
            play_fail(play, "task name");
            return;
        }
        task->attempt = play_attempt(attempt);
        task->execution = read_execution(state, &task->exit_reason);
        heartbeat->n++;
    }
}

static void step_report(struct play *play)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[PLAY_WORDS_MAX];
    memset(tasks, 0, sizeof tasks);
    read_heartbeat(play, &heartbeat, tasks);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s", play->words[2]);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", play->words[3]);
    bd_worker_heartbeat_received(play->core, NULL, &heartbeat, "{}", 2);
}

static void step_forwarded(struct play *play)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[PLAY_WORDS_MAX];
    char *peer = play->words[1];
    uint64_t id = strtoull(play->words[2], NULL, 10);
    memset(tasks, 0, sizeof tasks);
    for (int i = 1; i + 2 < play->nwords; i++)
        play->words[i] = play->words[i + 2];
    play->nwords -= 2;
    read_heartbeat(play, &heartbeat, tasks);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s", play->words[2]);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s", play->words[3]);
    bd_worker_heartbeat_forwarded(play->core, peer, id, &heartbeat, "{}", 2);
}

static void step_answered(struct play *play)
{
    bd_forward_reply_received(play->core, strtoull(play->words[1], NULL, 10),
                              parse_number(play->words[2]), play->nwords > 3 ? play->words[3] : "",
                              play->nwords > 3 ? strlen(play->words[3]) : 0);
}

static void step_did(struct play *play)
{
    struct bd_heartbeat heartbeat;
    struct bd_reported_task tasks[PLAY_WORDS_MAX];
    struct bd_machine *machine = NULL;
    memset(tasks, 0, sizeof tasks);
    HASH_FIND_STR(play->core->machines, play->words[1], machine);
    if (!machine) {
        play_fail(play, "no such machine");
        return;
    }
    read_heartbeat(play, &heartbeat, tasks);
    snprintf(heartbeat.type, sizeof heartbeat.type, "%s",
             machine->type < 0 ? "?" : play->core->types[machine->type].label);
    snprintf(heartbeat.zone, sizeof heartbeat.zone, "%s",
             machine->zone < 0 ? "?" : play->core->zones[machine->zone]);
    long status = (long)play_number(play, "status", 200);
    bd_worker_direct_command_completed(
        play->core, machine->index, (uint64_t)play_number(play, "token", 0),
        play_number(play, "launch", 1) != 0, status, status ? &heartbeat : NULL);
}

static void step_listed(struct play *play)
{
    struct bd_cloud_machine machines[PLAY_WORDS_MAX];
    memset(machines, 0, sizeof machines);
    size_t count = 0;
    for (int i = 1; i < play->nwords; i++, count++) {
        char state[32] = "running";
        if (sscanf(play->words[i], "%63[^:]:%63[^:]:%63[^:]:%31s", machines[count].id,
                   machines[count].type, machines[count].zone, state) < 3)
            play_fail(play, "listed");
        machines[count].state = *state == 'r'   ? BD_MACHINE_UP
                                : *state == 'f' ? BD_MACHINE_FAILED
                                                : BD_MACHINE_BOOTING;
    }
    bd_inventory_machines_received(play->core, machines, count, play->core->now);
}

static void step_provisioned(struct play *play)
{
    char names[PLAY_WORDS_MAX][BD_LABEL_BYTES];
    int count = 0;
    if (play->core->cloud.nprovision_requests == 0) {
        play_fail(play, "no rental is open");
        return;
    }
    char request[BD_LABEL_BYTES];
    snprintf(request, sizeof request, "%s", play->core->cloud.provision_requests[0].request);
    bool refused = strcmp(play->words[1], "refused") == 0;
    for (int i = 2; i < play->nwords; i++)
        snprintf(names[count++], BD_LABEL_BYTES, "%s", play->words[i]);
    bd_core_scale_out_completed(play->core, request, refused ? 503 : 200, names, count);
}

static void step_returned(struct play *play)
{
    char names[PLAY_WORDS_MAX][BD_LABEL_BYTES];
    int count = 0;
    for (int i = 1; i < play->nwords; i++)
        snprintf(names[count++], BD_LABEL_BYTES, "%s", play->words[i]);
    bd_scale_in_completed(play->core, names, count, true);
}

bool play_machine_step(struct play *play)
{
    static const struct play_step steps[] = {
        {"report", 4, step_report},     {"forwarded", 6, step_forwarded},
        {"answered", 3, step_answered}, {"did", 2, step_did},
        {"listed", 1, step_listed},     {"rented", 2, step_provisioned},
        {"returned", 2, step_returned}};
    return play_run_step(play, steps, sizeof steps / sizeof *steps);
}
