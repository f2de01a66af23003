/* Fake cloud with one machine type; machines are provisioned without delay. */
#include "base/timeutil.h"
#include "fake_server_internal.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void provision_machine(struct fake_cluster *cluster, json_t *names)
{
    int nmachines = 0;
    for (int i = 0; i < cluster->nworkers; i++)
        nmachines += !cluster->workers[i].is_returned;
    if (cluster->nworkers == MACHINES_EVER_MAX || nmachines >= cluster->machine_capacity)
        return;
    struct fake_worker *worker = &cluster->workers[cluster->nworkers];
    worker->cluster = cluster;
    worker->port = cluster->worker_port + cluster->nworkers;
    snprintf(worker->id, sizeof worker->id, "vm-%06d", ++cluster->nworkers);
    worker->is_used = true;
    worker->incarnation = 1;
    worker->lease_started_at = worker->provisioned_at = bd_now();
    worker->daemon = fake_listen(cluster, worker->port, fake_worker_handle, worker);
    if (!worker->daemon || pthread_create(&worker->thread, NULL, fake_worker_run, worker) != 0)
        abort();
    json_array_append_new(names, json_string(worker->id));
}

static json_t *inventory(struct fake_cluster *cluster)
{
    json_t *machines = json_array();
    for (int i = 0; i < cluster->nworkers; i++) {
        char addr[32];
        snprintf(addr, sizeof addr, "127.0.0.1:%d", cluster->workers[i].port);
        const struct fake_worker *worker = &cluster->workers[i];
        if (worker->is_returned)
            continue;
        bool failed = worker->is_dead &&
                      bd_seconds_between(worker->died_at, bd_now()) > LISTED_RUNNING_AFTER_DEATH_S;
        json_array_append_new(
            machines,
            json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "id", worker->id, "endpoint", addr, "breed",
                      "small", "glade", "a", "windfall", 0, "mood", failed ? "failed" : "running",
                      "heldS", bd_seconds_between(worker->provisioned_at, bd_now())));
    }
    return json_pack("{s:o,s:b}", "hearths", machines, "more", 0);
}

static void return_machines(struct fake_cluster *cluster, json_t *names)
{
    json_t *name;
    size_t i;
    json_array_foreach(names, i, name)
    {
        for (int k = 0; k < cluster->nworkers; k++) {
            struct fake_worker *worker = &cluster->workers[k];
            if (strcmp(worker->id, json_string_value(name)) != 0)
                continue;
            worker->is_returned = true;
            fake_lose_tasks(worker);
        }
    }
}

int fake_cloud_handle(void *arg, const char *method, const char *url,
                      struct MHD_Connection *connection, json_t *request, json_t **response)
{
    struct fake_cluster *cluster = arg;
    (void)connection;
    if (strcmp(url, "/machine_types") == 0) {
        *response = json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s]}]}", "breeds",
                              "label", "small", "vcpus", 4.0, "accelerators", 0.0, "memGb", 16.0,
                              "localGb", 50.0, "fetchGbPerS", 1.0, "hourly", 1.0, "marketPrice",
                              0.5, "readyS", 1.0, "glades", "a");
        return 200;
    }
    if (strcmp(url, "/machines/return") == 0) {
        return_machines(cluster, json_object_get(request, "hearths"));
        return 200;
    }
    if (strcmp(method, "POST") == 0) {
        json_t *names = json_array();
        int wanted = (int)json_integer_value(json_object_get(request, "howMany"));
        while (wanted-- > 0)
            provision_machine(cluster, names);
        *response = json_pack("{s:o}", "hearths", names);
        return json_array_size(names) ? 200 : 503;
    }
    *response = inventory(cluster);
    return 200;
}

void fake_cloud_set_capacity(struct fake_cluster *cluster, int machines)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->machine_capacity = machines;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_kill_machine(struct fake_cluster *cluster, const char *machine)
{
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        if (strcmp(cluster->workers[i].id, machine) != 0)
            continue;
        cluster->workers[i].is_dead = true;
        cluster->workers[i].died_at = bd_now();
        fake_lose_tasks(&cluster->workers[i]);
    }
    pthread_mutex_unlock(&cluster->lock);
}

int fake_machine_names(struct fake_cluster *cluster, char *names, size_t capacity)
{
    int count = 0;
    names[0] = '\0';
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        if (cluster->workers[i].is_returned || cluster->workers[i].is_dead)
            continue;
        count++;
        snprintf(names + strlen(names), capacity - strlen(names), "%s ", cluster->workers[i].id);
    }
    pthread_mutex_unlock(&cluster->lock);
    return count;
}
