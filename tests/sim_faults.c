/* The faults of a simulated day; the head of simulation.c lists them. */
#include "drain/drain.h"
#include "leadership/leadership.h"
#include "numbers.h"
#include "sim_day.h"
#include "sim_drain.h"
#include "sim_plan.h"
#include "simulation.h"
#include <string.h>

#define LAST_COPY_S 25 /* a copy is at most so late */

static int node_named(struct sim *sim, const char *who)
{
    for (int i = 0; strcmp(who, "leader") == 0 && i < SIM_NODES; i++)
        if (sim->nodes[i].core && bd_leadership_lease_valid(sim->nodes[i].core))
            return i;
    return *who >= '0' && *who <= '9' ? parse_number(who) : (int)(sim_random(sim) * SIM_NODES);
}

static void crash(struct sim *sim, int node, double back)
{
    if (!sim->nodes[node].core)
        return;
    sim_node_end(sim, node);
    sim_post(sim, back, SIM_NODE_UP)->node = node;
}

static void hit_machines(struct sim *sim, const struct sim_fault *fault)
{
    int left = (int)fault->a;
    for (int tries = 0; left > 0 && tries < 100; tries++) {
        struct sim_worker *worker = &sim->workers[(int)(sim_random(sim) * sim->nworkers)];
        double until = sim->now + fault->b;
        if (worker->gone || sim->now < worker->up_at || sim->now < worker->hangs_until ||
            sim->now < worker->cut_until)
            continue;
        left--;
        if (strcmp(fault->verb, "hang") == 0)
            worker->hangs_until = until;
        else if (strcmp(fault->verb, "inbound-cut") == 0)
            worker->inbound_cut_until = until;
        else if (strcmp(fault->verb, "outbound-cut") == 0)
            worker->outbound_cut_until = until;
        else if (strcmp(fault->verb, "die") == 0)
            sim_worker_gone(sim, worker);
        else {
            worker->cut_until = until;
            worker->delivers_late = strcmp(fault->verb, "cut-buffered") == 0;
        }
        sim_trace(sim, "%s %s until %.1f", worker->id, fault->verb, until);
    }
}

/* Users cancel jobs that run. */
static void cancel_jobs(struct sim *sim, int count)
{
    for (int i = 0; i < sim->njobs && count > 0; i++) {
        struct sim_job *job = &sim->jobs[i];
        if (job->accepted_at <= 0 || job->done_at > 0 || job->asked_cancel > 0 ||
            job->nrunning == 0)
            continue;
        job->cancel_at = sim->now;
        sim_ask_node(sim, i, sim_healthy_node(sim), SIM_CANCEL);
        count--;
    }
}

static bool is_verb(const struct sim_fault *fault, const char *verb)
{
    return strcmp(fault->verb, verb) == 0;
}

/* Each of these returns false for a fault that is none of its own. */
static bool apply_store_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->a;
    if (is_verb(fault, "store-outage"))
        sim->outage_until = until;
    else if (is_verb(fault, "store-slow"))
        sim->slow_until = until;
    else if (is_verb(fault, "store-refuse"))
        sim->refused_until[node_named(sim, fault->who)] = until;
    else if (is_verb(fault, "refresh-fail"))
        sim->reads_refused_until[node_named(sim, fault->who)] = until;
    else if (is_verb(fault, "late-writes")) {
        sim->late_share = fault->a;
        sim->late_until = sim->now + fault->b;
    } else if (is_verb(fault, "lost-answers")) {
        sim->lost_share = fault->a;
        sim->lost_until = sim->now + fault->b;
    } else
        return false;
    return true;
}

static bool apply_network_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->a;
    if (is_verb(fault, "peer-cut"))
        sim->peers_cut_until[node_named(sim, fault->who)] = until;
    else if (is_verb(fault, "isolate")) {
        int node = node_named(sim, fault->who);
        sim->peers_cut_until[node] = sim->refused_until[node] = until;
    } else if (is_verb(fault, "zone-cut"))
        sim->zones_cut_until = until;
    else if (is_verb(fault, "delay-commands"))
        sim->delayed_until = until;
    else if (is_verb(fault, "replay") || is_verb(fault, "replay-failover")) {
        sim->copies_share = fault->a;
        sim->copies_until = sim->now + fault->b;
        sim->copies_for_next = is_verb(fault, "replay-failover");
    } else
        return false;
    return true;
}

static bool apply_controller_fault(struct sim *sim, const struct sim_fault *fault)
{
    double until = sim->now + fault->a;
    if (is_verb(fault, "process-pause"))
        sim->nodes[node_named(sim, fault->who)].stalled_until = until;
    else if (is_verb(fault, "delay-sends"))
        sim->nodes[node_named(sim, fault->who)].senders_stalled_until = until;
    else if (is_verb(fault, "crash"))
        crash(sim, node_named(sim, fault->who), fault->a);
    else if (is_verb(fault, "crash-all")) {
        for (int i = 0; i < SIM_NODES; i++)
            crash(sim, i, fault->a * sim_between(sim, 0.7, 1.3));
    } else
        return false;
    return true;
}

/* What users and administrators do. */
static bool apply_requests(struct sim *sim, const struct sim_plan *plan,
                           const struct sim_fault *fault)
{
    if (is_verb(fault, "cancel"))
        cancel_jobs(sim, (int)fault->a);
    else if (is_verb(fault, "burst")) {
        for (int i = 0; i < (int)fault->a; i++)
            sim_add_job(sim, plan, sim_between(sim, 0, 5));
    } else if (is_verb(fault, "drain"))
        sim_drain_ask(sim, (uint32_t)fault->a, fault->b > 0);
    else if (is_verb(fault, "pause-drain"))
        sim_drain_change(sim, BD_DRAIN_PAUSED);
    else if (is_verb(fault, "resume-drain"))
        sim_drain_change(sim, BD_DRAIN_ACTIVE);
    else if (is_verb(fault, "cancel-drain"))
        sim_drain_change(sim, BD_DRAIN_CANCELLED);
    else
        return false;
    return true;
}

void sim_apply_fault(struct sim *sim, const struct sim_plan *plan, const struct sim_fault *fault)
{
    sim_trace(sim, "fault: %s %s %.2f %.2f", fault->verb, fault->who, fault->a, fault->b);
    if (!apply_store_fault(sim, fault) && !apply_network_fault(sim, fault) &&
        !apply_controller_fault(sim, fault) && !apply_requests(sim, plan, fault))
        hit_machines(sim, fault);
}

double sim_fault_duration(const struct sim_fault *fault)
{
    if (is_verb(fault, "cancel") || is_verb(fault, "burst"))
        return 5;
    if (is_verb(fault, "drain"))
        return 1;
    if (is_verb(fault, "replay"))
        return fault->b + LAST_COPY_S;
    bool is_share = is_verb(fault, "late-writes") || is_verb(fault, "lost-answers") ||
                    is_verb(fault, "replay-failover");
    return is_share || fault->b > 0 ? fault->b : fault->a;
}

void sim_outage_over(struct sim *sim)
{
    for (int i = 0; i < sim->ngrants; i++)
        sim->grant[i].ends = sim->now + sim->grant[i].ttl;
}
