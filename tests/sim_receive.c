/* Messages that arrive at the simulated controllers: frames of peers, heartbeats, users' requests,
 * and the answers to direct commands and to calls of the cloud. */
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "model/effect.h"
#include "sim_node.h"
#include "simulation.h"
#include "wire/frame.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMAND_TIMEOUT_S 1.5
#define LATE_COMMAND_MIN_S 2.0
#define LATE_COMMAND_MARGIN_S 30.0 /* beyond cancel_s */
#define PROVISIONED_MAX 2          /* per request */
#define RETURNED_MAX 128           /* per request */
#define LIST_LAG_S 3               /* from provisioning a machine until the cloud lists it */

static bool is_cut_between(const struct sim *sim, int a, int b)
{
    return sim->now < sim->peers_cut_until[a] || sim->now < sim->peers_cut_until[b] ||
           (sim->now < sim->zones_cut_until &&
            strcmp(sim->nodes[a].settings.zone, sim->nodes[b].settings.zone) != 0);
}

static bool read_heartbeat(const char *text, struct bd_heartbeat *heartbeat)
{
    json_t *json = text ? bd_wire_parse_heartbeat(text, strlen(text), NULL) : NULL;
    bool is_valid = json && bd_wire_read_heartbeat(json, heartbeat);
    json_decref(json);
    return is_valid;
}

/* Delays half of the frames that a cut stops until the cut ends. Returns whether it did. */
static bool delay_frame(struct sim *sim, struct sim_event *event)
{
    double until = sim->peers_cut_until[event->node];
    until = sim->peers_cut_until[event->index] > until ? sim->peers_cut_until[event->index] : until;
    until = sim->zones_cut_until > until ? sim->zones_cut_until : until;
    if (!is_cut_between(sim, event->node, event->index) || sim_random(sim) < 0.5)
        return false;
    (void)sim_reschedule(sim, event, until - sim->now + sim_uniform(sim, 0.01, 0.3));
    return true;
}

void sim_receive_frame(struct sim *sim, struct sim_event *event)
{
    if (delay_frame(sim, event))
        return;
    struct sim_node *node = &sim->nodes[event->index];
    struct bd_frame *frame = event->data;
    struct bd_heartbeat heartbeat;
    if (node->core && node->epoch == event->epoch &&
        !is_cut_between(sim, event->node, event->index)) {
        sim_node_set_clock(sim, node);
        if (frame->type == BD_FRAME_PEER_STATUS)
            bd_peer_status_received(node->core, frame->sender, frame->term, frame->flags,
                                    frame->kv_age_ms / 1000.0,
                                    (double)frame->wall_clock_ms / 1000.0, node->core->now);
        if (frame->type == BD_FRAME_HEARTBEAT && read_heartbeat(event->text, &heartbeat)) {
            bd_worker_heartbeat_forwarded(node->core, frame->sender, frame->heartbeat_id,
                                          &heartbeat, event->text, strlen(event->text));
            bd_wire_release_heartbeat(&heartbeat);
        }
        if (frame->type == BD_FRAME_CANCELLATION)
            bd_job_cancellation_announcement_received(node->core, event->text);
        if (frame->type == BD_FRAME_HEARTBEAT_REPLY)
            bd_forward_reply_received(node->core, frame->heartbeat_id, frame->status, event->text,
                                      event->text ? strlen(event->text) : 0);
        sim_node_step(sim, node);
    }
    free(frame);
}

/* The request is freed only at the day's end, because a core that stops leaves some unanswered. */
static struct sim_request *new_request(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = calloc(1, sizeof *request);
    if (!request)
        abort();
    request->index = event->index;
    request->number = event->kind == SIM_HEARTBEAT_REPLAY
                          ? UINT64_MAX
                          : event->number; /* no worker awaits the answer to a copy */
    request->next = sim->requests;
    sim->requests = request;
    return request;
}

void sim_receive_heartbeat(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    struct bd_heartbeat heartbeat;
    if (!node->core || !read_heartbeat(event->text, &heartbeat))
        return;
    struct sim_request *request = new_request(sim, event);
    sim_node_set_clock(sim, node);
    bd_worker_heartbeat_received(node->core, request, &heartbeat, event->text, strlen(event->text));
    bd_wire_release_heartbeat(&heartbeat);
    sim_node_step(sim, node);
}

/* Takes a command out of the queue and sends it only before its deadline, as worker_client.c does.
 */
void sim_send_direct_command(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    struct sim_direct_command *command = event->data;
    if (!node->core || node->epoch != event->epoch) {
        free(command);
        return;
    }
    if (!bd_time_is_before(sim_node_monotonic(sim, node), command->deadline)) {
        sim_node_set_clock(sim, node);
        bd_worker_direct_command_completed(node->core, command->machine, command->fencing_token,
                                           command->is_launch, BD_DIRECT_NOT_SENT, NULL);
        sim_node_step(sim, node);
        free(command);
        return;
    }
    command->references = 2;
    double delay_s = sim_network_delay(sim);
    if (sim_draw_share(sim, sim->late_commands_share, sim->late_commands_until))
        delay_s = sim_uniform(sim, LATE_COMMAND_MIN_S, sim->cancel_s + LATE_COMMAND_MARGIN_S);
    else if (sim_draw_command_delayed(sim))
        delay_s += sim_uniform(sim, 0.5, 6);
    struct sim_event *arrival = sim_node_schedule(sim, node, delay_s, SIM_COMMAND_ARRIVAL);
    arrival->index = command->worker;
    arrival->text = event->text;
    arrival->data = command;
    event->text = NULL;
    struct sim_event *timeout =
        sim_node_schedule(sim, node, COMMAND_TIMEOUT_S, SIM_COMMAND_TIMEOUT);
    timeout->data = command;
}

void sim_direct_command_ended(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    struct sim_direct_command *command = event->data;
    struct bd_heartbeat heartbeat;
    if (!command->is_completed && node->core && node->epoch == event->epoch) {
        bool has_heartbeat =
            event->kind == SIM_COMMAND_ANSWER && read_heartbeat(event->text, &heartbeat);
        sim_node_set_clock(sim, node);
        bd_worker_direct_command_completed(node->core, command->machine, command->fencing_token,
                                           command->is_launch, has_heartbeat ? event->status : 0,
                                           has_heartbeat ? &heartbeat : NULL);
        if (has_heartbeat)
            bd_wire_release_heartbeat(&heartbeat);
        sim_node_step(sim, node);
    }
    command->is_completed = true;
    if (--command->references == 0)
        free(command);
}

void sim_receive_user_request(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    struct sim_job *job = &sim->jobs[event->index];
    if (!node->core)
        return;
    struct sim_request *request = new_request(sim, event);
    request->is_user = true;
    request->kind = (int)event->status;
    sim_node_set_clock(sim, node);
    if (event->status == SIM_SUBMIT)
        bd_user_submit(node->core, request, event->text, strlen(event->text));
    else if (event->status == SIM_CANCEL)
        bd_user_cancel(node->core, request, job->id);
    else
        bd_user_status(node->core, request, job->id);
    sim_node_step(sim, node);
}

/* Provisions machines that are up within 2 s, or only after 5 to 15 s. Returns their number and
 * writes their names to `names`. */
static int provision(struct sim *sim, json_t *request, char (*names)[BD_LABEL_BYTES])
{
    int requested = (int)json_integer_value(json_object_get(request, "howMany"));
    int count = 0;
    while (count < requested && count < PROVISIONED_MAX) {
        const char *zone = json_string_value(json_object_get(request, "glade"));
        double boot_s = sim_random(sim) < 0.6 ? sim_uniform(sim, 0.3, 2) : sim_uniform(sim, 5, 15);
        int worker = sim_provision(sim, zone, boot_s);
        if (worker < 0)
            break;
        snprintf(names[count++], BD_LABEL_BYTES, "%s", sim->workers[worker].id);
    }
    return count;
}

static void return_machines(struct sim *sim, json_t *request)
{
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(request, "hearths"), i, item)
    {
        for (int worker = 0; worker < sim->nworkers; worker++)
            if (strcmp(sim->workers[worker].id, json_string_value(item)) == 0)
                sim_worker_remove(sim, &sim->workers[worker]);
    }
}

/* Passes the answer of the cloud to the core that asked. status 0: there was none. */
static void pass_cloud_answer(struct sim_node *node, json_t *request, bool is_scale_out,
                              long status, char (*names)[BD_LABEL_BYTES], int count)
{
    if (is_scale_out) {
        bd_core_scale_out_completed(node->core, json_string_value(json_object_get(request, "plea")),
                                    status, names, count);
        return;
    }
    char(*returned)[BD_LABEL_BYTES] = calloc(RETURNED_MAX, sizeof *returned);
    count = bd_wire_read_machine_names(request, returned, RETURNED_MAX);
    bd_scale_in_completed(node->core, returned, count, status == 200);
    free(returned);
}

void sim_cloud_answered(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];
    json_t *request = json_loads(event->text, 0, NULL);
    char names[PROVISIONED_MAX][BD_LABEL_BYTES];
    bool is_scale_out = event->flag;
    long status = 0;
    int count = 0;
    if (event->status != SIM_CLOUD_UNANSWERED && is_scale_out)
        count = provision(sim, request, names);
    else if (event->status != SIM_CLOUD_UNANSWERED)
        return_machines(sim, request);
    if (event->status == SIM_CLOUD_ANSWERED)
        status = is_scale_out && count == 0 ? 503 : 200;
    if (event->status != SIM_CLOUD_LATE && node->core && node->epoch == event->epoch) {
        sim_node_set_clock(sim, node);
        pass_cloud_answer(node, request, is_scale_out, status, names, count);
        sim_node_step(sim, node);
    }
    json_decref(request);
}

void sim_list_machines(struct sim *sim, struct sim_node *node)
{
    struct bd_cloud_machine *machines = calloc(SIM_MACHINES_MAX, sizeof *machines);
    size_t count = 0;
    if (!machines)
        abort();
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (worker->is_removed || sim->now - worker->provisioned_at < LIST_LAG_S)
            continue;
        snprintf(machines[count].id, BD_LABEL_BYTES, "%s", worker->id);
        snprintf(machines[count].address, BD_LABEL_BYTES, "w-%d", i);
        snprintf(machines[count].type, BD_LABEL_BYTES, "%s", worker->type);
        snprintf(machines[count].zone, BD_LABEL_BYTES, "%s", worker->zone);
        machines[count].state =
            sim->now < worker->up_at ? BD_CLOUD_MACHINE_BOOTING : BD_CLOUD_MACHINE_RUNNING;
        machines[count++].age_s = sim->now - worker->provisioned_at;
    }
    bd_inventory_machines_received(node->core, machines, count,
                                   bd_time_sub(node->core->now, bd_secs(0.1)));
    free(machines);
}
