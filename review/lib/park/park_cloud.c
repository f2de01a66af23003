/* The project's fake cloud (tests/fake_cloud.c) with several machine types, each with a capacity of
 * its own. Machines are provisioned without delay. */
#include "base/timeutil.h"
#include "fake_server_internal.h"
#include "park.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct park_type park_types[PARK_TYPES] = {
    {"gran", 16, 64, 1.05, 0.27, 15, 0.25, 4}, /* as the brief of Norrvik has them */
    {"tall", 32, 256, 2.85, 0.83, 50, 0.8, 1},
};

static int type_of_worker[MACHINES_EVER_MAX];

const struct park_type *park_type_of(const struct fake_worker *worker)
{
    return &park_types[type_of_worker[worker - worker->cluster->workers]];
}

void park_set_capacity(struct fake_cluster *cluster, int type, int machines)
{
    pthread_mutex_lock(&cluster->lock);
    park_types[type].capacity = machines;
    pthread_mutex_unlock(&cluster->lock);
}

static int find_type(const char *label)
{
    for (int i = 0; i < PARK_TYPES; i++)
        if (label && strcmp(park_types[i].label, label) == 0)
            return i;
    return -1;
}

static void provision_machine(struct fake_cluster *cluster, int type, json_t *names)
{
    int nmachines = 0;
    for (int i = 0; i < cluster->nworkers; i++)
        nmachines += !cluster->workers[i].is_returned && type_of_worker[i] == type;
    if (cluster->nworkers == MACHINES_EVER_MAX || nmachines >= park_types[type].capacity)
        return;
    struct fake_worker *worker = &cluster->workers[cluster->nworkers];
    type_of_worker[cluster->nworkers] = type;
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
                      park_type_of(worker)->label, "glade", "a", "windfall", 0, "mood", failed ? "failed" : "running",
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

static json_t *describe_type(const struct park_type *type)
{
    return json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s]}", "label", type->label, "vcpus",
                     type->vcpus, "accelerators", 0.0, "memGb", type->mem_gb, "localGb", 50.0,
                     "fetchGbPerS", type->fetch_gb_per_s, "hourly", type->hourly, "marketPrice",
                     type->market_price, "readyS", type->ready_s, "glades", "a");
}

int fake_cloud_handle(void *arg, const char *method, const char *url,
                      struct MHD_Connection *connection, json_t *request, json_t **response)
{
    struct fake_cluster *cluster = arg;
    (void)connection;
    if (strcmp(url, "/machine_types") == 0) {
        json_t *types = json_array();
        for (int i = 0; i < PARK_TYPES; i++)
            json_array_append_new(types, describe_type(&park_types[i]));
        *response = json_pack("{s:o}", "breeds", types);
        return 200;
    }
    if (strcmp(url, "/machines/return") == 0) {
        return_machines(cluster, json_object_get(request, "hearths"));
        return 200;
    }
    if (strcmp(method, "POST") == 0) {
        json_t *names = json_array();
        int wanted = (int)json_integer_value(json_object_get(request, "howMany"));
        int type = find_type(json_string_value(json_object_get(request, "breed")));
        while (type >= 0 && wanted-- > 0)
            provision_machine(cluster, type, names);
        if (json_array_size(names) > 0) {
            *response = json_pack("{s:o}", "hearths", names);
            return 200;
        }
        json_decref(names);
        *response = json_pack("{s:s}", "error", "no capacity");
        return type < 0 ? 400 : 503;
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
