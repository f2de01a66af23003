/* A simulated day from start to end: its settings, its events, and the release of its memory. */
#include "sim_day.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "sim_drain.h"
#include "sim_plan.h"
#include "simulation.h"
#include "test_settings.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUIET_S 130.0 /* from the last fault to the day's end, for all work to finish */

/* The zones have two controllers each or, depending on the seed, three and one. */
static const char *zone_of(const struct sim *sim, int node)
{
    return (sim->seed / 2 % 2 ? node == 3 : node % 2) ? "b" : "a";
}

static void write_peers(struct sim *sim, int i)
{
    struct bd_settings *settings = &sim->nodes[i].settings;
    for (int k = 0; k < SIM_NODES; k++) {
        if (k == i)
            continue;
        struct bd_peer *peer = &settings->peers[settings->npeers++];
        snprintf(peer->name, sizeof peer->name, "node-%d", k);
        snprintf(peer->zone, sizeof peer->zone, "%s", zone_of(sim, k));
    }
}

static void write_settings(struct sim *sim, int i)
{
    struct bd_settings *settings = &sim->nodes[i].settings;
    test_settings_init(settings);
    snprintf(settings->node, sizeof settings->node, "node-%d", i);
    settings->worker_lease = bd_secs(sim->lease_s);
    settings->cancellation_limit = bd_secs(sim->cancel_s);
    settings->heartbeat_interval = bd_secs(sim->heartbeat_s);
    settings->leader_ttl = bd_secs(2);
    settings->clock_error = bd_secs(0.005);
    settings->inventory_lag = bd_secs(3);
    settings->ram_mb = 64;
    settings->max_sockets = 500;
    settings->cpu_cores = 0.5;
    settings->ncontrollers = SIM_NODES;
    settings->nzones = 2;
    snprintf(settings->zones[0], BD_NAME_BYTES, "a");
    snprintf(settings->zones[1], BD_NAME_BYTES, "b");
    snprintf(settings->zone, BD_NAME_BYTES, "%s", zone_of(sim, i));
    write_peers(sim, i);
    settings->nteams = 2;
    for (int k = 0; k < 2; k++) {
        snprintf(settings->teams[k].name, BD_NAME_BYTES, "%s", k ? "b" : "a");
        settings->teams[k].cpus_guaranteed = 4;
        settings->teams[k].cpus_quota = sim->team_quota_cpus[k];
    }
    if (sim->has_drains)
        settings->draining = sim_drain_rules(sim);
    sim->nodes[i].log = (struct bd_log){BD_LOG_ERROR, sim->nodes[i].settings.node};
}

void sim_day_begin(struct sim *sim, const struct sim_plan *plan, unsigned long seed)
{
    memset(sim, 0, sizeof *sim);
    sim->seed = seed;
    sim->rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!sim->rng)
        abort();
    gsl_rng_set(sim->rng, seed * 7919 + 1);
    /* two sets of operator settings, by the parity of the seed */
    sim->lease_s = seed % 2 ? 10 : 32;
    sim->cancel_s = seed % 2 ? 35 : 52;
    sim->heartbeat_s = seed % 2 ? 2 : 3;
    sim->image_fetch_s = plan->image_fetch_s;
    sim->team_quota_cpus[0] = 20.0 * plan->machines / SIM_PLAN_MACHINES;
    sim->team_quota_cpus[1] = 16.0 * plan->machines / SIM_PLAN_MACHINES;
    sim->machines_max = plan->machines * 3 / 2;
    sim->has_drains = plan->has_drains != 0;
    drain_check_start(&sim->check, plan->budgets);
    sim_store_start(sim);
    for (int i = 0; i < SIM_NODES; i++) {
        write_settings(sim, i);
        sim_node_start(sim, i);
    }
    for (int i = 0; i < plan->machines; i++)
        (void)sim_provision(sim, i % 2 ? "b" : "a", 0.1);
    for (int i = 0; i < plan->nfaults; i++) {
        const struct sim_fault *fault = &plan->faults[i];
        sim->faults_end_at = fmax(sim->faults_end_at, fault->at_s + sim_fault_duration(fault));
        sim_schedule(sim, fault->at_s, SIM_FAULT)->index = i;
    }
    sim->ends_at = sim->faults_end_at + QUIET_S;
    for (int i = 0; i < plan->jobs; i++)
        sim_add_job(sim, plan,
                    i < 6 ? sim_uniform(sim, 2, 6) : sim_uniform(sim, 3, sim->faults_end_at));
}

/* Postpones an event that reaches a paused process until the process resumes. Returns whether it
 * did. */
static bool wait_for_paused_node(struct sim *sim, struct sim_event *event)
{
    int node = -1;
    switch (event->kind) {
    case SIM_STORE_ANSWER:
    case SIM_STORE_TIMEOUT:
        node = event->call->node;
        break;
    case SIM_FRAME:
        node = event->index;
        break;
    case SIM_READER:
    case SIM_ELECTION:
    case SIM_NODE_TICK:
    case SIM_HEARTBEAT_ARRIVAL:
    case SIM_HEARTBEAT_REPLAY:
    case SIM_COMMAND_SEND:
    case SIM_COMMAND_ANSWER:
    case SIM_COMMAND_TIMEOUT:
    case SIM_CLOUD_ANSWER:
    case SIM_USER_REQUEST:
        node = event->node;
        break;
    default:
        return false;
    }
    double remaining_s = sim->nodes[node].paused_until - sim->now;
    if (remaining_s <= 0)
        return false;
    (void)sim_reschedule(sim, event, remaining_s + 0.001);
    return true;
}

void sim_day_handle_event(struct sim *sim, const struct sim_plan *plan, struct sim_event *event)
{
    if (wait_for_paused_node(sim, event))
        return;
    switch (event->kind) {
    case SIM_STORE_EXECUTE:
    case SIM_STORE_ANSWER:
    case SIM_STORE_TIMEOUT:
        sim_store_handle_event(sim, event);
        break;
    case SIM_COMMAND_ARRIVAL:
    case SIM_HEARTBEAT_ANSWER:
    case SIM_HEARTBEAT_TIMEOUT:
        sim_worker_handle_event(sim, event);
        break;
    case SIM_USER_TIMER:
        sim_user_timer(sim, event);
        break;
    case SIM_USER_ANSWER:
        sim_user_answered(sim, event);
        break;
    case SIM_FAULT:
        sim_apply_fault(sim, plan, &plan->faults[event->index]);
        break;
    default:
        sim_node_handle_event(sim, event);
    }
    sim->events++;
}

/* Frees an event that was never handled. */
static void free_event(struct sim_event *event)
{
    bool is_command = event->kind == SIM_COMMAND_SEND || event->kind == SIM_COMMAND_ARRIVAL ||
                      event->kind == SIM_COMMAND_ANSWER || event->kind == SIM_COMMAND_TIMEOUT;
    struct sim_direct_command *command = is_command ? event->data : NULL;
    if (command && --command->references == 0)
        free(command);
    if (event->kind == SIM_STORE_ANSWER)
        json_decref(event->data);
    if (event->kind == SIM_FRAME)
        free(event->data);
    if (event->call)
        sim_call_release(event->call);
    free(event->text);
    free(event);
}

void sim_day_end(struct sim *sim)
{
    for (int i = 0; i < SIM_NODES; i++)
        sim_node_stop(sim, i);
    for (int i = 0; i < SIM_NODES; i++)
        free(sim->nodes[i].settings.draining);
    while (sim->queue) {
        struct sim_event *event = sim->queue;
        sim->queue = event->next;
        free_event(event);
    }
    while (sim->requests) {
        struct sim_request *request = sim->requests;
        sim->requests = request->next;
        free(request);
    }
    for (int i = 0; i < sim->nsaved_heartbeats; i++)
        free(sim->saved_heartbeats[i]);
    sim_store_free(sim);
    gsl_rng_free(sim->rng);
}
