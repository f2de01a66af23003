/* The stand-ins together: their start and end, and what a test asks of the workers' tasks. */
#include "fake_server_internal.h"
#include "key_table.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct fake_cluster *fake_cluster_new(int store_port, int cloud_port, int worker_port,
                                      const char *const *nodes, int nnodes)
{
    struct fake_cluster *cluster = calloc(1, sizeof *cluster);
    if (!cluster || pthread_mutex_init(&cluster->lock, NULL) != 0)
        return NULL;
    cluster->table.owner = cluster;
    cluster->table.is_grant_live = fake_grant_lives;
    cluster->worker_port = worker_port;
    cluster->capacity = CAPACITY_DEFAULT;
    cluster->nodes = nodes;
    cluster->nnodes = nnodes;
    cluster->cloud = fake_listen(cluster, cloud_port, fake_cloud_answer, cluster);
    bool good = cluster->cloud != NULL;
    for (int i = 0; i < STORE_ENDPOINTS; i++) {
        cluster->endpoints[i] = (struct fake_store_endpoint){.cluster = cluster, .node = i};
        cluster->store_daemons[i] =
            fake_listen(cluster, store_port + i, fake_store_answer, &cluster->endpoints[i]);
        good = good && cluster->store_daemons[i];
    }
    return good ? cluster : NULL;
}

static int read_counter(struct fake_cluster *cluster, const int *counter)
{
    pthread_mutex_lock(&cluster->lock);
    int value = *counter;
    pthread_mutex_unlock(&cluster->lock);
    return value;
}

int fake_starts(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->starts);
}

int fake_duplicate_runs(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->duplicate_runs);
}

int fake_early_starts(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->early_starts);
}

int fake_lease_expiries(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->lease_expiries);
}

/* Running tasks whose names begin so. */
static int count_running(struct fake_cluster *cluster, const char *prefix)
{
    int count = 0;
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        for (int k = 0; k < WORKER_TASKS_MAX; k++) {
            const struct fake_task *task = &cluster->workers[i].tasks[k];
            count +=
                task->state == FAKE_RUNNING && strncmp(task->name, prefix, strlen(prefix)) == 0;
        }
    }
    pthread_mutex_unlock(&cluster->lock);
    return count;
}

int fake_running(struct fake_cluster *cluster)
{
    return count_running(cluster, "");
}

int fake_running_of(struct fake_cluster *cluster, const char *job)
{
    char prefix[80];
    snprintf(prefix, sizeof prefix, "%s/", job);
    return count_running(cluster, prefix);
}

void fake_set_observer(struct fake_cluster *cluster, fake_observer observer, void *arg)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->observer = observer;
    cluster->observer_arg = arg;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_cluster_stop(struct fake_cluster *cluster)
{
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++)
        cluster->workers[i].stop = true;
    pthread_mutex_unlock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        (void)pthread_join(cluster->workers[i].thread, NULL);
        MHD_stop_daemon(cluster->workers[i].daemon);
    }
    for (int i = 0; i < STORE_ENDPOINTS; i++)
        MHD_stop_daemon(cluster->store_daemons[i]);
    for (int i = 0; i < cluster->nlate; i++)
        json_decref(cluster->late[i].txn);
    MHD_stop_daemon(cluster->cloud);
    table_free(&cluster->table);
    for (int i = 0; i < APPLIED_TXNS; i++)
        json_decref(cluster->applied[i]);
    (void)pthread_mutex_destroy(&cluster->lock);
    free(cluster);
}
