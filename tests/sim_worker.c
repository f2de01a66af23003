/* The simulated workers: provisioning, removal, and their work at each step. */
#include "sim_worker.h"
#include "numbers.h"
#include "simulation.h"
#include <stdio.h>
#include <string.h>

struct sim_job *sim_find_job(struct sim *sim, const char *id)
{
    int i = id && strncmp(id, "job-", 4) == 0 ? parse_number(id + 4) : -1;
    return i >= 0 && i < sim->njobs ? &sim->jobs[i] : NULL;
}

int sim_provision(struct sim *sim, const char *zone, double boot_s)
{
    if (sim->nworkers == SIM_MACHINES_MAX)
        return -1;
    int count = 0;
    for (int i = 0; i < sim->nworkers; i++)
        count += !sim->workers[i].is_removed;
    if (count >= sim->machines_max)
        return -1;
    struct sim_worker *worker = &sim->workers[sim->nworkers];
    memset(worker, 0, sizeof *worker);
    snprintf(worker->id, sizeof worker->id, "vm-%d", sim->nworkers);
    snprintf(worker->zone, sizeof worker->zone, "%s", zone);
    snprintf(worker->type, sizeof worker->type, "small");
    worker->provisioned_at = sim->now;
    worker->up_at = worker->lease_renewed_at = sim->now + boot_s;
    worker->next_heartbeat_at = worker->up_at + sim_uniform(sim, 0, 0.5);
    worker->incarnation = 1;
    worker->node = (int)(sim_random(sim) * SIM_NODES);
    return sim->nworkers++;
}

void sim_worker_restart(struct sim *sim, struct sim_worker *worker, double seconds)
{
    sim_kill_tasks(sim, worker);
    worker->incarnation++;
    worker->up_at = worker->lease_renewed_at = sim->now + seconds;
    worker->next_heartbeat_at = worker->up_at;
    worker->awaits_answer = false;
    worker->pending_seq = 0; /* drops answers to the earlier incarnation */
    if (sim_random(sim) < 0.5)
        worker->fencing_token = 0;
}

void sim_worker_remove(struct sim *sim, struct sim_worker *worker)
{
    if (worker->is_removed)
        return;
    sim_kill_tasks(sim, worker);
    worker->is_removed = true;
}

void sim_workers_tick(struct sim *sim)
{
    for (int i = 0; i < sim->nworkers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (worker->is_removed || sim->now < worker->up_at)
            continue;
        if (sim->now - worker->lease_renewed_at > sim->lease_s) {
            sim_trace(sim, "%s: lease expired, %d tasks end", worker->id, worker->nslots);
            sim_kill_tasks(sim, worker);
            worker->incarnation++;
            worker->lease_renewed_at = sim->now;
            worker->pending_seq = 0; /* drops answers to the earlier incarnation */
            if (worker->awaits_answer)
                sim_try_next_node(sim, worker, 1);
        }
        if (sim->now < worker->hangs_until)
            continue;
        for (int k = 0; k < worker->nslots; k++)
            sim_run_task(sim, worker, &worker->slots[k]);
        if (!worker->awaits_answer && sim->now >= worker->next_heartbeat_at)
            sim_send_heartbeat(sim, worker);
    }
}
