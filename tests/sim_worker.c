/* The simulated workers: they come from the cloud, go back to it, and live from step to step. */
#include "sim_worker.h"
#include "numbers.h"
#include "simulation.h"
#include <stdio.h>
#include <string.h>

struct sim_job *sim_job_named(struct sim *sim, const char *id)
{
    int i = id && strncmp(id, "job-", 4) == 0 ? parse_number(id + 4) : -1;
    return i >= 0 && i < sim->njobs ? &sim->jobs[i] : NULL;
}

int sim_provision(struct sim *sim, const char *zone, double boot)
{
    if (sim->nworkers == SIM_MACHINES)
        return -1;
    int up = 0;
    for (int i = 0; i < sim->nworkers; i++)
        up += !sim->workers[i].gone;
    if (up >= sim->machines_max)
        return -1;
    struct sim_worker *worker = &sim->workers[sim->nworkers];
    memset(worker, 0, sizeof *worker);
    snprintf(worker->id, sizeof worker->id, "vm-%d", sim->nworkers);
    snprintf(worker->zone, sizeof worker->zone, "%s", zone);
    snprintf(worker->type, sizeof worker->type, "small");
    worker->provisioned_at = sim->now;
    worker->up_at = worker->answered = sim->now + boot;
    worker->next_heartbeat = worker->up_at + sim_between(sim, 0, 0.5);
    worker->incarnation = 1;
    worker->node = (int)(sim_random(sim) * SIM_NODES);
    return sim->nworkers++;
}

void sim_worker_gone(struct sim *sim, struct sim_worker *worker)
{
    if (worker->gone)
        return;
    sim_kill_tasks(sim, worker);
    worker->gone = true;
}

void sim_workers_tick(struct sim *sim)
{
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (worker->gone || sim->now < worker->up_at)
            continue;
        if (sim->now - worker->answered > sim->lease_s) {
            sim_trace(sim, "%s: its lease expires, %d tasks", worker->id, worker->nslots);
            sim_kill_tasks(sim, worker);
            worker->incarnation++;
            worker->answered = sim->now;
            worker->received_seq =
                0; /* answers to an earlier incarnation's heartbeats are dropped */
            if (worker->is_asking)
                sim_try_next_node(sim, worker, 1);
        }
        if (sim->now < worker->hangs_until)
            continue;
        for (int k = 0; k < worker->nslots; k++)
            sim_run_task(sim, worker, &worker->slots[k]);
        if (!worker->is_asking && sim->now >= worker->next_heartbeat)
            sim_send_heartbeat(sim, worker);
    }
}
