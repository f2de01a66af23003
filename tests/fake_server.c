/* Starts and stops the fake store, cloud and workers, and counts the workers' tasks. */
#include "fake_server_internal.h"
#include "key_table.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct fake_cluster *fake_cluster_new(int store_port, int cloud_port, int worker_port,
                                      const char *const *node_addresses, int nnodes)
{
    struct fake_cluster *cluster = calloc(1, sizeof *cluster);
    if (!cluster || pthread_mutex_init(&cluster->lock, NULL) != 0)
        return NULL;
    cluster->store_table.owner = cluster;
    cluster->store_table.is_grant_live = fake_grant_is_valid;
    cluster->worker_port = worker_port;
    cluster->machine_capacity = DEFAULT_MACHINE_CAPACITY;
    cluster->node_addresses = node_addresses;
    cluster->nnodes = nnodes;
    cluster->cloud_daemon = fake_listen(cluster, cloud_port, fake_cloud_handle, cluster);
    bool is_listening = cluster->cloud_daemon != NULL;
    for (int i = 0; i < STORE_ENDPOINTS; i++) {
        cluster->endpoints[i] = (struct fake_store_endpoint){.cluster = cluster, .node = i};
        cluster->store_daemons[i] =
            fake_listen(cluster, store_port + i, fake_store_handle, &cluster->endpoints[i]);
        is_listening = is_listening && cluster->store_daemons[i];
    }
    return is_listening ? cluster : NULL;
}

static int read_counter(struct fake_cluster *cluster, const int *counter)
{
    pthread_mutex_lock(&cluster->lock);
    int value = *counter;
    pthread_mutex_unlock(&cluster->lock);
    return value;
}

int fake_task_starts(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->task_starts);
}

int fake_duplicate_runs(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->duplicate_runs);
}

int fake_early_task_starts(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->early_task_starts);
}

int fake_lease_expiries(struct fake_cluster *cluster)
{
    return read_counter(cluster, &cluster->lease_expiries);
}

static int count_running(struct fake_cluster *cluster, const char *name_prefix)
{
    int count = 0;
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        for (int k = 0; k < WORKER_TASKS_MAX; k++) {
            const struct fake_task *task = &cluster->workers[i].tasks[k];
            count += task->state == FAKE_RUNNING &&
                     strncmp(task->name, name_prefix, strlen(name_prefix)) == 0;
        }
    }
    pthread_mutex_unlock(&cluster->lock);
    return count;
}

int fake_running_tasks(struct fake_cluster *cluster)
{
    return count_running(cluster, "");
}

int fake_running_tasks_of_job(struct fake_cluster *cluster, const char *job)
{
    char prefix[80];
    snprintf(prefix, sizeof prefix, "%s/", job);
    return count_running(cluster, prefix);
}

void fake_set_task_observer(struct fake_cluster *cluster, fake_task_observer observer, void *arg)
{
    pthread_mutex_lock(&cluster->lock);
    cluster->task_observer = observer;
    cluster->task_observer_arg = arg;
    pthread_mutex_unlock(&cluster->lock);
}

void fake_cluster_stop(struct fake_cluster *cluster)
{
    pthread_mutex_lock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++)
        cluster->workers[i].is_returned = true;
    pthread_mutex_unlock(&cluster->lock);
    for (int i = 0; i < cluster->nworkers; i++) {
        (void)pthread_join(cluster->workers[i].thread, NULL);
        MHD_stop_daemon(cluster->workers[i].daemon);
    }
    for (int i = 0; i < STORE_ENDPOINTS; i++)
        MHD_stop_daemon(cluster->store_daemons[i]);
    for (int i = 0; i < cluster->ndelayed_txns; i++)
        json_decref(cluster->delayed_txns[i].txn);
    MHD_stop_daemon(cluster->cloud_daemon);
    table_free(&cluster->store_table);
    for (int i = 0; i < REPLAY_DELAY_TXNS; i++)
        json_decref(cluster->applied_txns[i]);
    (void)pthread_mutex_destroy(&cluster->lock);
    free(cluster);
}
