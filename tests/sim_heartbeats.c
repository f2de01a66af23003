/* The messages of the simulated workers: heartbeats, their answers, replayed heartbeats and direct
 * commands. */
#include "numbers.h"
#include "sim_worker.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"pulling", "gathering", "running", "saving", "exited"};

static char *heartbeat_text(struct sim *sim, struct sim_worker *worker)
{
    char name[BD_LABEL_BYTES], addr[24];
    snprintf(addr, sizeof addr, "w-%d", (int)(worker - sim->workers));
    json_t *list = json_array();
    for (int i = 0; i < worker->nslots; i++) {
        struct sim_slot *slot = &worker->slots[i];
        snprintf(name, sizeof name, "%.30s/%u", sim->jobs[slot->job].id, slot->task);
        json_t *item = json_pack("{s:s,s:I,s:s}", "chore", name, "try", (json_int_t)slot->attempt,
                                 "mood", state_names[slot->execution]);
        if (slot->execution == BD_EXECUTION_EXITED)
            json_object_set_new(item, "cause",
                                json_string(sim_exit_reason_name(slot->exit_reason)));
        json_array_append_new(list, item);
    }
    json_t *heartbeat =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", worker->id, "endpoint",
                  addr, "breed", worker->type, "glade", worker->zone, "windfall", 0, "tenancy",
                  (json_int_t)worker->incarnation, "tally", (json_int_t)++worker->seq, "seal",
                  (json_int_t)worker->fencing_token, "warningS", "chores", list);
    char *text = sim_spell(sim, heartbeat);
    json_decref(heartbeat);
    return text;
}

static bool is_reachable(const struct sim *sim, int node, const struct sim_worker *worker)
{
    return !worker->is_removed && sim->now >= worker->cut_until &&
           !(sim->now < sim->zones_cut_until &&
             strcmp(sim->nodes[node].settings.zone, worker->zone) != 0);
}

/* Draws whether a fault copies the heartbeat, and schedules or saves the copy for later. */
static void replay_heartbeat(struct sim *sim, const char *text, int node, int index)
{
    if (sim->now >= sim->replay_until || sim_random(sim) >= sim->replay_share)
        return;
    if (sim->replays_at_failover) { /* sent to every controller as a new leader starts */
        if (sim->nsaved_heartbeats <
            (int)(sizeof sim->saved_heartbeats / sizeof *sim->saved_heartbeats))
            sim->saved_heartbeats[sim->nsaved_heartbeats++] = strdup(text);
        return;
    }
    struct sim_event *event =
        sim_schedule(sim, sim_uniform(sim, 2, SIM_COPY_DELAY_MAX_S), SIM_HEARTBEAT_REPLAY);
    event->node = node;
    event->index = index;
    event->text = strdup(text);
}

void sim_replay_saved_heartbeats(struct sim *sim)
{
    for (int k = 0; k < sim->nsaved_heartbeats; k++) {
        for (int i = 0; i < SIM_NODES; i++) {
            struct sim_event *event =
                sim_schedule(sim, sim_uniform(sim, 0, 0.3), SIM_HEARTBEAT_REPLAY);
            event->node = i;
            event->text = strdup(sim->saved_heartbeats[k]);
        }
        free(sim->saved_heartbeats[k]);
    }
    sim->nsaved_heartbeats = 0;
}

void sim_send_heartbeat(struct sim *sim, struct sim_worker *worker)
{
    int index = (int)(worker - sim->workers);
    char *text = heartbeat_text(sim, worker);
    bool is_delivered =
        is_reachable(sim, worker->node, worker) && sim->now >= worker->outbound_cut_until;
    worker->awaits_answer = true;
    worker->pending_seq = worker->seq;
    worker->heartbeat_sent_at = sim->now;
    if (is_delivered) {
        struct sim_event *event = sim_schedule(sim, sim_network_delay(sim), SIM_HEARTBEAT_ARRIVAL);
        event->node = worker->node;
        event->index = index;
        event->number = worker->seq;
        event->text = strdup(text);
        replay_heartbeat(sim, text, worker->node, index);
    } else if (worker->is_cut_buffered && sim->now < worker->cut_until) {
        struct sim_event *event =
            sim_schedule(sim, worker->cut_until - sim->now + 0.1, SIM_HEARTBEAT_REPLAY);
        event->node = worker->node;
        event->index = index;
        event->text = strdup(text);
    }
    bool is_refused = is_delivered && !sim->nodes[worker->node].core;
    struct sim_event *timeout = sim_schedule(sim, is_refused ? 0.01 : 4.0, SIM_HEARTBEAT_TIMEOUT);
    timeout->index = index;
    timeout->number = worker->seq;
    free(text);
}

void sim_try_next_node(struct sim *sim, struct sim_worker *worker, double pause_s)
{
    worker->awaits_answer = false;
    worker->node = (worker->node + 1) % SIM_NODES;
    worker->next_heartbeat_at = sim->now + pause_s;
}

/* Sends the next heartbeat to the leader that the answer names or, if it names none, to the next
 * controller after a pause. */
static void follow_redirect(struct sim *sim, struct sim_worker *worker, json_t *answer)
{
    const char *leader = json_string_value(json_object_get(answer, "steward"));
    int node = leader ? parse_number(leader + strlen("node-")) : worker->node;
    if (!leader || node == worker->node) {
        sim_try_next_node(sim, worker, 1);
        return;
    }
    worker->awaits_answer = false;
    worker->node = node;
    worker->next_heartbeat_at = sim->now + 0.1;
}

static void heartbeat_accepted(struct sim *sim, struct sim_worker *worker, int node, json_t *answer)
{
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(answer, "seal"));
    worker->awaits_answer = false;
    worker->next_heartbeat_at =
        worker->heartbeat_sent_at + sim->heartbeat_s * sim_uniform(sim, 0.75, 1.25);
    if (fencing_token < worker->fencing_token)
        return;
    if (fencing_token > worker->fencing_token && worker->next_heartbeat_at > sim->now + 0.5)
        worker->next_heartbeat_at = sim->now + 0.5;
    worker->fencing_token = fencing_token;
    worker->lease_renewed_at = worker->heartbeat_sent_at;
    sim_trace(sim, "%s: heartbeat answered by node-%d, fencing token %llu", worker->id, node,
              (unsigned long long)fencing_token);
    sim_execute_commands(sim, worker, answer);
}

static void heartbeat_answered(struct sim *sim, struct sim_worker *worker, struct sim_event *event)
{
    bool is_lost = sim->now < worker->inbound_cut_until || !is_reachable(sim, event->node, worker);
    bool is_late = !worker->awaits_answer || worker->pending_seq != event->number;
    if (worker->is_removed || is_late || is_lost || sim->now < worker->hangs_until)
        return;
    json_t *answer = event->text ? json_loads(event->text, 0, NULL) : NULL;
    if (event->status == 200)
        heartbeat_accepted(sim, worker, event->node, answer);
    else if (event->status == 421)
        follow_redirect(sim, worker, answer);
    else
        sim_try_next_node(sim, worker, 1);
    json_decref(answer);
}

/* Executes a direct command and answers it with a heartbeat. */
static void execute_direct_command(struct sim *sim, struct sim_worker *worker,
                                   const struct sim_event *event)
{
    struct sim_direct_command *command = event->data;
    json_t *message = json_loads(event->text, 0, NULL);
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(message, "seal"));
    uint64_t incarnation = (uint64_t)json_integer_value(json_object_get(message, "tenancy"));
    bool is_accepted = fencing_token >= worker->fencing_token && incarnation == worker->incarnation;
    if (is_accepted) {
        worker->fencing_token = fencing_token;
        sim_execute_commands(sim, worker, message);
    }
    json_decref(message);
    bool is_delayed = sim_draw_command_delayed(sim);
    double delay_s = sim_network_delay(sim) + (is_delayed ? sim_uniform(sim, 0.3, 4) : 0);
    struct sim_event *answer = sim_schedule(sim, delay_s, SIM_COMMAND_ANSWER);
    answer->node = event->node;
    answer->epoch = event->epoch;
    answer->index = event->index;
    answer->status = is_accepted ? 200 : 409;
    answer->text = heartbeat_text(sim, worker);
    answer->data = command;
    command->references++;
}

static void receive_command(struct sim *sim, struct sim_event *event)
{
    struct sim_worker *worker = &sim->workers[event->index];
    struct sim_direct_command *command = event->data;
    bool is_delivered =
        is_reachable(sim, event->node, worker) && sim->now >= worker->inbound_cut_until;
    bool is_zone_cut = sim->now < sim->zones_cut_until &&
                       strcmp(sim->nodes[event->node].settings.zone, worker->zone) != 0;
    bool is_delayed = (!is_delivered && worker->is_cut_buffered && sim->now < worker->cut_until) ||
                      (is_delivered && sim->now < worker->hangs_until) ||
                      (is_zone_cut && sim_random(sim) < 0.5);
    if (is_delayed && !worker->is_removed) { /* executed when the cut ends or the machine resumes */
        double until = worker->cut_until;
        if (is_delivered)
            until = worker->hangs_until;
        else if (is_zone_cut)
            until = sim->zones_cut_until;
        (void)sim_reschedule(sim, event, until - sim->now + 0.05);
        command->references++;
    } else if (is_delivered && sim->now >= worker->up_at) {
        execute_direct_command(sim, worker, event);
    }
    if (--command->references == 0)
        free(command);
}

void sim_worker_handle_event(struct sim *sim, struct sim_event *event)
{
    struct sim_worker *worker = &sim->workers[event->index];
    if (event->kind == SIM_COMMAND_ARRIVAL)
        receive_command(sim, event);
    else if (event->kind == SIM_HEARTBEAT_ANSWER)
        heartbeat_answered(sim, worker, event);
    else if (event->kind == SIM_HEARTBEAT_TIMEOUT && worker->awaits_answer &&
             worker->pending_seq == event->number)
        sim_try_next_node(sim, worker, 1);
}
