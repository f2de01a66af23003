/* The faults of a simulated day. The head of simulation.c lists them. */
#include "drain/drain.h"
#include "leadership/leadership.h"
#include "numbers.h"
#include "sim_day.h"
#include "sim_drain.h"
#include "sim_plan.h"
#include "simulation.h"
#include <string.h>

#define LATE_MAX_S 90.0 /* until a late command or call of the cloud is executed */

/* Returns a controller by its number, the leader, or a random one for "any" or without a leader. */
static int find_node(struct sim *sim, const char *name)
{
    for (int i = 0; strcmp(name, "leader") == 0 && i < SIM_NODES; i++)
        if (sim->nodes[i].core && bd_leadership_lease_valid(sim->nodes[i].core))
            return i;
    return *name >= '0' && *name <= '9' ? parse_number(name) : (int)(sim_random(sim) * SIM_NODES);
}

static void crash(struct sim *sim, int node, double restart_s)
{
    if (!sim->nodes[node].core)
        return;
    sim_node_stop(sim, node);
    sim_schedule(sim, restart_s, SIM_NODE_START)->node = node;
}

static void apply_machine_fault(struct sim *sim, const struct sim_fault *fault)
{
    int remaining = (int)fault->first_value;
    for (int tries = 0; remaining > 0 && tries < 100; tries++) {
        struct sim_worker *worker = &sim->workers[(int)(sim_random(sim) * sim->nworkers)];
        double until = sim->now + fault->second_value;
        if (worker->is_removed || sim->now < worker->up_at || sim->now < worker->hangs_until ||
            sim->now < worker->cut_until)
            continue;
        remaining--;
        if (strcmp(fault->kind, "hang") == 0)
            worker->hangs_until = until;
        else if (strcmp(fault->kind, "inbound-cut") == 0)
            worker->inbound_cut_until = until;
        else if (strcmp(fault->kind, "outbound-cut") == 0)
            worker->outbound_cut_until = until;
        else if (strcmp(fault->kind, "die") == 0)
            sim_worker_remove(sim, worker);
        else if (strcmp(fault->kind, "machine-restart") == 0)
            sim_worker_restart(sim, worker, fault->second_value);
        else {
            worker->cut_until = until;
            worker->is_cut_buffered = strcmp(fault->kind, "cut-buffered") == 0;
        }
        sim_trace(sim, "%s %s until %.1f", worker->id, fault->kind, until);
    }
}

/* Users cancel running jobs. */
static void cancel_jobs(struct sim *sim, int count)
{
    for (int i = 0; i < sim->njobs && count > 0; i++) {
        struct sim_job *job = &sim->jobs[i];
        if (job->accepted_at <= 0 || job->done_at > 0 || job->cancel_requested_at > 0 ||
            job->nrunning == 0)
            continue;
        job->cancel_at = sim->now;
        sim_send_request(sim, i, sim_healthy_node(sim), SIM_CANCEL);
        count--;
    }
}

static bool is_kind(const struct sim_fault *fault, const char *kind)
{
    return strcmp(fault->kind, kind) == 0;
}

/* Each of the following returns false if the fault is of another group. */
static bool apply_store_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->first_value;
    if (is_kind(fault, "store-outage"))
        sim->store_outage_until = until;
    else if (is_kind(fault, "store-slow"))
        sim->store_slow_until = until;
    else if (is_kind(fault, "store-refuse"))
        sim->store_refused_until[find_node(sim, fault->node)] = until;
    else if (is_kind(fault, "refresh-fail"))
        sim->refreshes_refused_until[find_node(sim, fault->node)] = until;
    else if (is_kind(fault, "drains-unread"))
        sim->drain_reads_refused_until[find_node(sim, fault->node)] = until;
    else if (is_kind(fault, "late-writes")) {
        sim->late_writes_share = fault->first_value;
        sim->late_writes_until = sim->now + fault->second_value;
    } else if (is_kind(fault, "lost-answers")) {
        sim->lost_answers_share = fault->first_value;
        sim->lost_answers_until = sim->now + fault->second_value;
    } else
        return false;
    return true;
}

static bool apply_network_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->first_value;
    if (is_kind(fault, "peer-cut"))
        sim->peers_cut_until[find_node(sim, fault->node)] = until;
    else if (is_kind(fault, "isolate")) {
        int node = find_node(sim, fault->node);
        sim->peers_cut_until[node] = sim->store_refused_until[node] = until;
    } else if (is_kind(fault, "zone-cut"))
        sim->zones_cut_until = until;
    else if (is_kind(fault, "delay-commands"))
        sim->commands_delayed_until = until;
    else if (is_kind(fault, "late-commands")) {
        sim->late_commands_share = fault->first_value;
        sim->late_commands_until = sim->now + fault->second_value;
    } else if (is_kind(fault, "late-cloud")) {
        sim->late_cloud_share = fault->first_value;
        sim->late_cloud_until = sim->now + fault->second_value;
    } else if (is_kind(fault, "replay") || is_kind(fault, "replay-failover")) {
        sim->replay_share = fault->first_value;
        sim->replay_until = sim->now + fault->second_value;
        sim->replays_at_failover = is_kind(fault, "replay-failover");
    } else
        return false;
    return true;
}

static bool apply_controller_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->first_value;
    if (is_kind(fault, "process-pause"))
        sim->nodes[find_node(sim, fault->node)].paused_until = until;
    else if (is_kind(fault, "delay-sends"))
        sim->nodes[find_node(sim, fault->node)].sends_delayed_until = until;
    else if (is_kind(fault, "crash"))
        crash(sim, find_node(sim, fault->node), fault->first_value);
    else if (is_kind(fault, "crash-all")) {
        for (int i = 0; i < SIM_NODES; i++)
            crash(sim, i, fault->first_value * sim_uniform(sim, 0.7, 1.3));
    } else
        return false;
    return true;
}

/* Requests of users and administrators. */
static bool apply_requests(struct sim *sim, const struct sim_plan *plan,
                           const struct sim_fault *fault)
{
    if (is_kind(fault, "cancel"))
        cancel_jobs(sim, (int)fault->first_value);
    else if (is_kind(fault, "burst")) {
        for (int i = 0; i < (int)fault->first_value; i++)
            sim_add_job(sim, plan, sim_uniform(sim, 0, 5));
    } else if (is_kind(fault, "drain"))
        sim_drain_request(sim, (uint32_t)fault->first_value, fault->second_value > 0);
    else if (is_kind(fault, "pause-drain"))
        sim_drain_set_state(sim, BD_DRAIN_PAUSED);
    else if (is_kind(fault, "resume-drain"))
        sim_drain_set_state(sim, BD_DRAIN_ACTIVE);
    else if (is_kind(fault, "cancel-drain"))
        sim_drain_set_state(sim, BD_DRAIN_CANCELLED);
    else
        return false;
    return true;
}

void sim_apply_fault(struct sim *sim, const struct sim_plan *plan, const struct sim_fault *fault)
{
    sim_trace(sim, "fault: %s %s %.2f %.2f", fault->kind, fault->node, fault->first_value,
              fault->second_value);
    if (!apply_store_fault(sim, fault) && !apply_network_fault(sim, fault) &&
        !apply_controller_fault(sim, fault) && !apply_requests(sim, plan, fault))
        apply_machine_fault(sim, fault);
}

double sim_fault_duration(const struct sim_fault *fault)
{
    if (is_kind(fault, "cancel") || is_kind(fault, "burst"))
        return 5;
    if (is_kind(fault, "drain"))
        return 1;
    if (is_kind(fault, "replay"))
        return fault->second_value + SIM_COPY_DELAY_MAX_S;
    if (is_kind(fault, "late-commands") || is_kind(fault, "late-cloud"))
        return fault->second_value + LATE_MAX_S;
    bool is_share = is_kind(fault, "late-writes") || is_kind(fault, "lost-answers") ||
                    is_kind(fault, "replay-failover");
    return is_share || fault->second_value > 0 ? fault->second_value : fault->first_value;
}

void sim_store_outage_ended(struct sim *sim)
{
    for (int i = 0; i < sim->ngrants; i++)
        sim->grants[i].expires_at = sim->now + sim->grants[i].ttl_s;
}
